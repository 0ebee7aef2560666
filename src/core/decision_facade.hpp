// Wraps the decision module in calls that return plain decisions. It owns the Router and its timers; no event
// or action of the Router is visible outside.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "../settings/settings.hpp"
#include "byte_span.hpp"
#include "list_clock.hpp"
#include "lotuslead/router.hpp"

namespace lotuslead::core {

using Micros = std::chrono::microseconds;  // point in time on the monotonic clock, or a span

// A request as either front accepts it. The fields from `label` on are not read here.
struct Request {
    RequestId id = 0;  // unique within this process
    int classIndex = 0;
    std::string object;
    std::int64_t group = 0;
    std::int64_t part = 0;
    ByteSpan span;  // to be fetched in one response in place of the part; empty: the part
    Micros deadline{};
    bool repeated = false;
    std::string preferredHost;  // that served another part; empty: none
    std::string traceId;        // the client's id for the request
    std::string className;      // as the client wrote it
    std::string key;            // idempotency key
    std::string knownTag;       // tag of the copy that the client holds
    std::string body;
};

enum class DecisionKind { send, refuse, fail, cancel };

// One decision about a request. `kind` tells which of the fields apply.
struct Decision {
    DecisionKind kind = DecisionKind::fail;
    RequestId request = 0;
    int attempt = 0;                           // for send and cancel
    Micros retryAfter{};                       // for refuse: the client may retry after this
    GiveUpReason why = GiveUpReason::noRoute;  // for refuse and fail
    // The fields below are for send.
    std::string host;
    std::string source;  // host that a miss is filled from; empty: no fill
    int keepRank = 0;
    int localKeepRank = 0;  // rank of a local copy; zero: none is kept
    Micros maxCopyAge{};    // zero: the class's freshness lifetime
    // Time of the latest remembered purge of the object or its group, by the clock that dates purges and
    // copies; copies made before it must not be served. Zero: no purge is remembered.
    std::int64_t lastPurgeMs = 0;
    bool maxCopyAgeFromPurge = false;  // `maxCopyAge` results from that purge
    bool coalesceFill = false;
    bool sourceOnlyIfCached = false;
    bool staleWhileRevalidate = false;
    Micros timeout{};
    Micros pickedAt{};
};

// Outcome of an attempt, as the decision module needs it.
struct AttemptReport {
    RequestId request = 0;
    int attempt = 0;
    Outcome outcome = Outcome::error;
    Micros elapsed{};
    CacheStatus cacheStatus = CacheStatus::none;
    bool ignoreForHealth = false;
    std::size_t bytes = 0;  // bytes served
    bool unchanged = false;
    // Served from a local copy: the request is closed and no host was asked.
    bool servedLocally = false;
};

class DecisionFacade {
public:
    // `unixClockOffset` is the Unix clock minus the monotonic clock; it stays fixed for the life of the
    // process.
    DecisionFacade(settings::DecodedSettings decodedSettings, std::uint64_t seed, Micros now,
                   Micros unixClockOffset);

    const settings::DecodedSettings& decodedSettings() const { return decodedSettings_; }
    // Replaces the settings. The new ones must continue the old ones (settings::mergeReloaded).
    void reconfigure(settings::DecodedSettings decodedSettings);
    // Sets the number of processes that together form this gateway; each takes its share of the limits.
    void setProcessCount(int processes);
    // State for a successor process on this machine, as JSON. A successor keeps the entries whose names it
    // knows.
    nlohmann::json exportState(Micros now);
    void importState(Micros now, const nlohmann::json& known);  // throws if the form is invalid

    // `receivedLive`: the event has just occurred, as opposed to being read from the state known at the
    // start.
    void applyHostList(Micros now, const settings::BusEvent& event, bool receivedLive);
    // The state known at the start has been read: its hosts are compared by their dates once more, now that
    // all dates are known.
    void initialListsComplete(Micros now);
    // A purge counts as made when it is received, which is the latest possible time: its date comes from
    // another machine, and our wall clock may have been wrong when the process started. The date of one that
    // is received live shows how far the clock of the event bus has come.
    void applyPurge(Micros now, const settings::BusEvent& event, bool receivedLive);

    Decision pick(Micros now, const Request& request);
    std::vector<Decision> report(Micros now, const AttemptReport& report);
    std::vector<Decision> clientGone(Micros now, RequestId request);
    std::vector<Decision> tick(Micros now);
    Micros nextTick() const;  // Micros::max(): no timer is pending

    // Adds what a send must know about purges.
    void applyPurgeLimit(Micros now, const Request& request, Decision& send) const;
    // Whether a purge of the object or its group was received at or after this time.
    bool purgedSince(const Request& request, Micros when) const;
    // What the host list says about a host.
    struct ListedHost {
        Readiness readiness = Readiness::gone;
        int zone = 0;
        std::int64_t cell = 0;
        std::int64_t sinceMs = 0;  // start time, by the list's clock; zero: long ago
        Time startedAt{};          // the latest possible start, by the router's clock
        Role role = Role::cache;
        double weight = 1;
    };
    ListedHost findHost(const std::string& name) const;

    // Converts to Unix time, by the wall clock as it was at the start.
    std::int64_t unixMsOf(Micros when) const;

private:
    struct ReceivedPurge {
        Micros receivedAt{};
        std::int64_t purgedMs = 0;  // date that the event carries
    };

    // Empty if none is remembered.
    std::optional<ReceivedPurge> lastPurgeOf(const Request& request) const;
    Time routerTime(Micros now) const { return now + kRouterClockOffset; }
    std::vector<Decision> convertActions(Micros now);
    void forgetOldPurges(Micros now);
    Settings settingsForAllProcesses() const;
    void observeStartDates(Micros now, const settings::BusEvent& event, bool receivedLive);
    Time hostStartTime(Micros now, const settings::ListedStore& store, const ListedHost& before,
                       bool receivedLive) const;
    // Has the router use an earlier start of these hosts, where that is what is found for them.
    using StartOf = std::function<Time(const std::string& name, const ListedHost& host)>;
    void applyEarlierStarts(Micros now, const StartOf& startOf);

    // Offset of the router's clock from zero, so that a host that started before this machine booted still
    // has a time above zero (zero stands for "long ago").
    static constexpr std::chrono::hours kRouterClockOffset{24 * 365};

    settings::DecodedSettings decodedSettings_;
    int processCount_ = 1;
    Router router_;
    Micros unixClockOffset_;
    Actions actions_;
    std::multimap<Micros, TimerId> timers_;
    std::unordered_map<RequestId, int> attempts_;  // attempts so far, of requests without a final answer
    std::unordered_map<std::string, ListedHost> hosts_;  // hosts that are not gone
    ListClock listClock_;
    std::unordered_map<std::string, ReceivedPurge> objectPurges_;
    std::unordered_map<std::int64_t, ReceivedPurge> groupPurges_;
    Micros lastPurgeSweep_{};
};

}  // namespace lotuslead::core
