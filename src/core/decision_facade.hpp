// The decision module behind calls that return plain verdicts. It owns the Router and its timers; nothing
// outside of it sees an event or an action.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "../settings/settings.hpp"
#include "lotuslead/router.hpp"

namespace lotuslead::core {

using Micros = std::chrono::microseconds;  // on the monotonic clock

// A request as any front takes it. The fields from `label` on pass through unread.
struct Request {
    RequestId id = 0;  // of this process
    int classIndex = 0;
    std::string object;
    std::int64_t group = 0;
    std::int64_t part = 0;
    Micros deadline{};
    bool repeated = false;
    std::string label;      // the client's id for it
    std::string className;  // as the client wrote it
    std::string key;        // idempotency key
    std::string known;      // tag of a copy that the client holds
    std::string body;
};

enum class DecisionKind { send, refuse, fail, cancel };

struct Decision {
    DecisionKind kind = DecisionKind::fail;
    RequestId request = 0;
    int attempt = 0;                           // send and cancel
    Micros retryAfter{};                       // refuse: the client may come back after this
    GiveUpReason why = GiveUpReason::noRoute;  // refuse and fail
    // send:
    std::string host;
    std::string source;  // where a miss is filled from; empty: no fill
    int keepRank = 0;
    int localKeepRank = 0;  // of a copy of the gateway's own; zero: none is kept
    Micros maxAge{};        // zero: the class's fresh time
    // Of the last purge of the object or its group that is remembered, by the clock that dates purges and
    // copies: no copy made before may pass. Zero: none.
    std::int64_t lastPurgeMs = 0;
    bool maxAgeFromPurge = false;  // `oldest` comes from that purge
    bool joinFill = false;
    bool onlyIfCached = false;
    bool staleWhileRevalidate = false;
    Micros timeout{};
    Micros pickedAt{};
};

struct AttemptReport {
    RequestId request = 0;
    int attempt = 0;
    Outcome outcome = Outcome::error;
    Micros elapsed{};
    CacheStatus note = CacheStatus::none;
    bool ignoreForHealth = false;
    std::size_t bytes = 0;  // served
    bool unchanged = false;
    bool servedLocally =
        false;  // by a copy of the gateway's own: the request is closed, and no host was asked
};

class DecisionFacade {
public:
    // `unixClockOffset` is what the Unix clock shows beyond the monotonic one, fixed for the life of the
    // process.
    DecisionFacade(settings::DecodedSettings vocabulary, std::uint64_t seed, Micros now,
                   Micros unixClockOffset);

    const settings::DecodedSettings& vocabulary() const { return vocabulary_; }
    // In place of those before, of which they are the continuation (settings::mergeReloaded).
    void reconfigure(settings::DecodedSettings vocabulary);
    // So many processes are one gateway now: each takes its part of what is allowed to all.
    void setProcessCount(int processes);
    // What a successor on this machine should know, in JSON; of what it takes it keeps what it knows by name.
    nlohmann::json exportState(Micros now);
    void importState(Micros now, const nlohmann::json& known);  // throws where it is not of that form

    // `heardLive`: as it came about, and not from what was known at the start.
    void applyHostList(Micros now, const settings::BusEvent& event, bool receivedLive);
    // Counts as made when it is heard, the latest that it can have been: its date is another machine's, and
    // our wall clock may have been wrong when the process started.
    void applyPurge(Micros now, const settings::BusEvent& event);

    Decision pick(Micros now, const Request& request);
    std::vector<Decision> report(Micros now, const AttemptReport& report);
    std::vector<Decision> clientGone(Micros now, RequestId request);
    std::vector<Decision> tick(Micros now);
    Micros nextTick() const;  // Micros::max(): nothing is due

    // Fills in what a send has to know of purges.
    void limitByPurge(Micros now, const Request& request, Decision& send) const;
    // Whether a purge of the object or its group was told at or after this moment.
    bool purgedSince(const Request& request, Micros when) const;
    // What the list says of a host.
    struct ListedHost {
        Readiness readiness = Readiness::gone;
        int zone = 0;
        std::int64_t cell = 0;
        std::int64_t sinceMs = 0;  // of a late start, by the list's clock
        Time startedAt{};          // by ours
    };
    ListedHost hostOf(const std::string& name) const;

    // The Unix date of a moment, by the wall clock as it was at the start.
    std::int64_t unixMsOf(Micros when) const;

private:
    struct ReceivedPurge {
        Micros receivedAt{};
        std::int64_t purgeUnixMs = 0;  // as it was told
    };

    // Empty where none is remembered.
    std::optional<ReceivedPurge> lastPurgeOf(const Request& request) const;
    Time routerTime(Micros now) const { return now + kRouterClockOffset; }
    std::vector<Decision> collect(Micros now);
    void forgetOldPurges(Micros now);
    Settings settingsForAllProcesses() const;
    Time hostStartTime(Micros now, const settings::ListedStore& store, const ListedHost& before,
                       bool receivedLive) const;

    // The router's clock starts this far from zero, so that a host that started before this machine did has
    // a time above zero (zero stands for "long ago").
    static constexpr std::chrono::hours kRouterClockOffset{24 * 365};

    settings::DecodedSettings vocabulary_;
    int processes_ = 1;
    Router router_;
    Micros unixClockOffset_;
    Actions actions_;
    std::multimap<Micros, TimerId> timers_;
    std::unordered_map<RequestId, int> attempts_;        // made so far, of requests without a final answer
    std::unordered_map<std::string, ListedHost> hosts_;  // those that are not gone
    std::unordered_map<std::string, ReceivedPurge> objectPurges_;
    std::unordered_map<std::int64_t, ReceivedPurge> groupPurges_;
    Micros lastPurgeSweep_{};
};

}  // namespace lotuslead::core
