// Drives one Router in unit tests: a manual clock, a small fleet and the actions of the last call.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lotuslead/router.hpp"
#include "support/hash.hpp"

namespace lotuslead::testing {

using namespace std::chrono_literals;

inline Settings basicSettings() {
    Settings s;
    ClassSettings video;
    video.latencyTarget = 400ms;
    video.latencyTargetStretch = 2;
    video.clientTimeout = 5s;
    video.value = 2;
    video.effect = Effect::safe;
    video.inParts = true;
    ClassSettings pages = video;
    pages.latencyTarget = 250ms;
    pages.clientTimeout = 3s;
    pages.value = 1;
    pages.inParts = false;
    s.classes = {video, pages};
    s.zone = 1;
    s.zoneHub = {0, 0, 0};
    s.routersByZone = {0, 1, 1};
    s.routers = 2;
    s.maxFlowKbPerSecond = 1000;
    s.weights = WeightMeaning::nominal;
    s.siblings = SiblingSources::any;
    s.directUpstream = true;
    s.fillCoalescing = true;
    s.mayHedge = true;
    s.mayCancel = true;
    s.retryAfterSupported = true;
    s.maxAttempts = 6;
    s.maxRetryAfter = 1s;
    s.answerGrace = 8ms;
    s.coldStartShare = 0.2;
    s.warmUpTime = 16s;
    s.coldOverloadMultiple = 4;
    s.coldLoadWindow = 1500ms;
    s.parentColdStartShare = 0.1;
    s.parentWarmUpTime = 20s;
    s.parentColdOverloadMultiple = 2;
    s.purgeGrace = 300ms;
    s.purgeSettleTime = 6s;
    return s;
}

class Harness {
public:
    explicit Harness(Settings settings = basicSettings(), std::uint64_t seed = 1)
        : router_(std::move(settings), seed) {
        router_.start(now, last);
    }

    void list(std::vector<HostEntry> entries, bool whole = true) {
        last.clear();
        router_.handle(now, HostList{whole, std::move(entries)}, last);
    }

    // Lists three caches of the router's own zone, two parents and the origin.
    void listBasicFleet() {
        list({cache("c1"), cache("c2"), cache("c3"), host("p1", Role::parent, 0, 20),
              host("p2", Role::parent, 0, 20), host("o", Role::origin, 0, 1)});
    }

    static HostEntry host(std::string name, Role role, int zone, double weight, Time startedAt = Time{0}) {
        HostEntry entry;
        entry.name = std::move(name);
        entry.role = role;
        entry.zone = zone;
        entry.weight = weight;
        entry.startedAt = startedAt;
        return entry;
    }
    static HostEntry cache(std::string name, Time startedAt = Time{0}) {
        return host(std::move(name), Role::cache, 1, 5, startedAt);
    }

    RequestId ask(const std::string& object, std::int64_t part = 0, int classIndex = 1, double kb = 50,
                  Time patience = 3s, std::int64_t group = 7) {
        Request r;
        r.id = ++lastId_;
        r.classIndex = classIndex;
        r.object = fingerprint(object);
        r.group = group;
        r.part = part;
        r.sizeKb = kb;
        r.deadline = now + patience;
        r.preferredHost = preferredHost.empty() ? 0 : fingerprint(preferredHost);
        last.clear();
        router_.handle(now, r, last);
        return r.id;
    }

    void end(RequestId id, int attempt, Outcome outcome, CacheStatus cacheStatus = CacheStatus::none,
             std::optional<double> linkFill = std::nullopt, bool ignoreForHealth = false, double sizeKb = 0) {
        AttemptEnded e;
        e.sizeKb = sizeKb;
        e.ignoreForHealth = ignoreForHealth;
        e.request = id;
        e.attempt = attempt;
        e.outcome = outcome;
        e.requestClosed = outcome == Outcome::served;
        e.cacheStatus = cacheStatus;
        e.elapsed = attemptTime;
        e.load.linkUtilization = linkFill;
        last.clear();
        router_.handle(now, e, last);
    }

    void purge(const std::string& object, std::int64_t group, Time age) {
        last.clear();
        router_.handle(now, Purge{object.empty() ? 0 : fingerprint(object), group, age}, last);
    }

    void fire(TimerId timer) {
        last.clear();
        router_.handleTimer(now, timer, last);
    }

    void clientGone(RequestId id) {
        last.clear();
        router_.handleClientGone(now, id, last);
    }

    void streamStarted(RequestId id, int attempt) {
        last.clear();
        router_.handle(now, StreamStarted{id, attempt}, last);
    }

    void listFailed() {
        last.clear();
        router_.handleListFailed(now, last);
    }

    template <class T>
    std::vector<T> all() const {
        std::vector<T> found;
        for (const Action& action : last)
            if (const T* match = std::get_if<T>(&action)) found.push_back(*match);
        return found;
    }
    template <class T>
    std::optional<T> one() const {
        const auto found = all<T>();
        return found.size() == 1 ? std::optional<T>(found.front()) : std::nullopt;
    }
    bool answered() const { return all<Refuse>().size() + all<Fail>().size() == 1; }

    // Sends requests for enough names, over enough time, for the admission filter to count as warmed up.
    void warmUpFilter(int names = 600) {
        for (int i = 0; i < names; ++i) {
            const RequestId id = ask("filler" + std::to_string(i));
            end(id, 0, Outcome::served);
            now += 20ms;
        }
    }

    // Requests the object once, so that the admission filter knows its name.
    void addToAdmissionFilter(const std::string& object, std::int64_t part = 0, int classIndex = 1) {
        const RequestId id = ask(object, part, classIndex);
        end(id, 0, Outcome::served);
    }

    std::size_t hostSlots() const { return router_.hostSlots(); }

    Time now = 1000s;
    Time attemptTime{};         // elapsed time that ended attempts report
    std::string preferredHost;  // of the requests that follow
    Actions last;

private:
    Router router_;
    RequestId lastId_ = 0;
};

inline bool startsWith(std::string_view text, char c) { return !text.empty() && text.front() == c; }

}  // namespace lotuslead::testing
