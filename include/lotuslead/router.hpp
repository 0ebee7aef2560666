// The interface of the decision module: settings, events, actions and the Router.
// Declarations only; all decisions are made in src/policy.cpp.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace lotuslead {

using Time = std::chrono::nanoseconds;  // a time on the router's clock, or a duration
using RequestId = std::uint64_t;
using TimerId = std::uint64_t;

// Whether a request may run more than once: safe, keyed (repeats are dropped by its key) or unsafe.
enum class Effect { safe, keyed, unsafe };
// The hosts that share the keys by which repeats of a keyed request are dropped.
enum class DeduplicationScope { all, zone, cell };
enum class Role { cache, parent, origin };
enum class Readiness { gone, ready, draining };
// What a host's weight in the list means; `none` and `live` do not measure its link.
enum class WeightMeaning { none, nominal, rough, live };
// Which other caches may be the source of a fill.
enum class SiblingSources { none, zone, any };

struct ClassSettings {
    Time latencyTarget{};             // an answer within this time, plus the stretch, earns full value
    double latencyTargetStretch = 0;  // multiple of the answer's sending time that is added to the target
    Time clientTimeout{};             // over all tries of the client
    double value = 1;
    double lateValueShare = 0;  // share of the value that a late answer earns
    Effect effect = Effect::unsafe;
    DeduplicationScope deduplicationScope = DeduplicationScope::all;
    Time deduplicationWindow{};  // how long repeats of a keyed request are dropped
    bool streamed = false;
    bool inParts = false;  // viewers request an object part by part
    bool uncacheable = false;
    Time freshFor{};  // zero: until purged
    Time staleFor{};  // additional age at which a stale copy is acceptable
    double staleValueShare = 0;
};

struct Settings {
    std::vector<ClassSettings> classes;
    int zone = 0;                             // of this router
    std::vector<int> zoneHub;                 // by zone: the hub that it is connected to
    std::vector<int> routersByZone;           // empty: unknown
    std::vector<double> zoneLinkKbPerSecond;  // capacity into each zone; zero: unknown
    int routers = 1;                          // in all zones
    double maxFlowKbPerSecond = 0;            // of one answer; zero: unknown
    WeightMeaning weights = WeightMeaning::none;
    SiblingSources siblings = SiblingSources::none;
    bool directUpstream = false;       // requests may be sent directly to parents and the origin
    bool fillCoalescing = false;       // a request may wait for a fill in progress
    bool cacheStatusReported = false;  // outcomes report why a fill failed
    bool mayHedge = false;             // a second attempt while the first is in flight
    bool mayCancel = false;
    bool mayProbe = false;
    bool retryAfterSupported = false;
    bool mustSubscribeToList = false;  // changes are sent only to subscribers
    int maxAttempts = 1;
    Time maxRetryAfter{};
    Time answerGrace{};  // how long after the client's deadline an answer still counts
    Time askWithin{};
    Time drainGrace{};
    double coldStartShare = 1;  // least share of its capacity that a restarted cache has
    Time warmUpTime{};
    double coldOverloadMultiple = 0;  // of its capacity: the load at which a cold cache fails; zero: never
    Time coldLoadWindow{};            // over which the load of a cold host is measured
    double parentColdStartShare = 1;
    Time parentWarmUpTime{};
    double parentColdOverloadMultiple = 0;
    double originOverloadMultiple = 0;  // zero: the origin never fails
    Time originLoadWindow{};
    Time purgeGrace{};
    Time purgeSettleTime{};
};

// --- events ---

struct HostEntry {
    std::string name;
    Role role = Role::cache;
    int zone = -1;
    std::int64_t cell = 0;
    double weight = 1;
    Time startedAt{};  // zero: long ago
    Readiness readiness = Readiness::ready;
};

struct HostList {
    bool whole = false;  // otherwise only the entries that changed
    std::vector<HostEntry> entries;
};

struct Request {
    RequestId id = 0;
    int classIndex = 0;
    std::uint64_t object = 0;  // fingerprint of the object's name; zero: none
    std::int64_t group = 0;    // the group of objects that a purge may name
    std::int64_t part = 0;
    double sizeKb = 0;  // zero: unknown
    Time deadline{};
    bool repeated = false;  // a retry of the client
    bool write = false;
    // Fingerprint of the name of the host that served another part of the object, which is chosen again if it
    // may be used; zero: none. For parts of one version where hosts hold different ones.
    std::uint64_t preferredHost = 0;
};

enum class Outcome { served, error, rejected, timedOut, noConnection, broken, cancelled, notSent, noCopy };

// Where the answer came from, or why the fill failed, as far as reported.
enum class CacheStatus {
    none,
    hit,
    filled,
    filledByOrigin,
    joined,
    stale,
    sourceRefused,
    sourceUnreached,
    sourceLacks,
    noFillPlace,
    originFailed
};

struct LoadReport {
    std::optional<double> inFlight, queued, busy, hitShare, linkUtilization;
};

struct AttemptEnded {
    RequestId request = 0;
    int attempt = 0;
    Outcome outcome = Outcome::error;
    Time elapsed{};
    bool requestClosed = false;    // the request is closed: it needs no further answer
    bool ignoreForHealth = false;  // tells nothing about its host beyond an outcome already reported
    CacheStatus cacheStatus = CacheStatus::none;
    double sizeKb = 0;  // of the answer; zero: unknown; negative: not sent, since the client had it
    LoadReport load;
};

struct StreamStarted {
    RequestId request = 0;
    int attempt = 0;
};

struct Purge {
    std::uint64_t object = 0;  // zero: the whole group
    std::int64_t group = 0;
    Time age{};  // of the purge at this event
};

struct ProbeEnded {
    std::string host;
    bool answered = false;
    LoadReport load;
};

// --- actions ---

struct Send {
    RequestId request = 0;
    std::string_view host;              // views stay valid for the lifetime of the router
    bool withoutSource = false;         // an ordinary request: no fill, and the host keeps no copy
    std::string_view source;            // where a miss is filled from; equal to `host`: no fill
    int keepRank = 0;                   // rank of the copy that the host keeps; zero: none
    int localKeepRank = 0;              // rank of a copy that the gateway itself keeps; zero: none
    Time maxCopyAge{};                  // of an acceptable copy; zero: the class's freshness lifetime
    bool coalesceFill = false;          // wait for a fill in progress
    bool sourceOnlyIfCached = false;    // the source answers only from its own copies
    bool staleWhileRevalidate = false;  // an aging copy is served and refreshed in the background
    Time timeout{};
};
// Why a request was given up, that is, answered at once by Refuse or Fail.
enum class GiveUpReason {
    noTime,         // for another attempt before the deadline
    attemptLimit,   // the settings allow no further attempt
    noRoute,        // no usable host
    noRetryBudget,  // the retry budget is used up
    cancelled       // its attempt was cancelled
};
struct Refuse {
    RequestId request = 0;
    Time retryAfter{};
    GiveUpReason why = GiveUpReason::noRoute;
};
struct Fail {
    RequestId request = 0;
    GiveUpReason why = GiveUpReason::noRoute;
};
struct Cancel {
    RequestId request = 0;
    int attempt = 0;
};
struct SetTimer {
    TimerId timer = 0;
    Time delay{};
};
struct Watch {};      // subscribe to list changes
struct FetchList {};  // request the whole list once
struct Probe {
    std::string_view host;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, SetTimer, Watch, FetchList, Probe>;
using Actions = std::vector<Action>;

// --- state handed over to the successor of a router ---

struct LearnedObject {  // an object name in the filter
    std::int64_t lastPart = -1;
    bool manyViewers = false;
    double sendSeconds = 0;  // sending time of one part at full pace, as last seen; zero: unknown
};
struct LearnedHost {
    double failureShare = 0;  // moving average
    bool ejected = false;     // gets only trial requests until some succeed
    Time ejectedUntil{}, ejectionTime{};
    double linkTransfers = 0;  // lower bound of its link: the most transfers at a time that it has served
};
struct NamedLearnedHost : LearnedHost {
    std::string name;
    double coldSendSeconds = 0;  // sending time of what was sent to it lately
};
struct LearnedState {
    Time startedAt{};
    std::vector<double> meanSendSeconds;                           // by class; zero: unknown
    std::vector<std::pair<std::uint64_t, LearnedObject>> objects;  // oldest first
    std::vector<NamedLearnedHost> hosts;
};

// Takes events in order and appends the resulting actions. Routers share no state, and equal events result in
// equal actions.
class Router {
public:
    Router(Settings settings, std::uint64_t seed);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;

    void start(Time now, Actions& out);
    // Applies to new requests; pending ones keep the settings that were in force on their arrival. Existing
    // classes and zones must keep their indices; further ones may be added.
    void reconfigure(Settings settings);
    void handle(Time now, const HostList& event, Actions& out);
    void handleListFailed(Time now, Actions& out);
    void handle(Time now, const Request& event, Actions& out);
    void handle(Time now, const AttemptEnded& event, Actions& out);
    void handle(Time now, const StreamStarted& event, Actions& out);
    void handle(Time now, const Purge& event, Actions& out);
    void handle(Time now, const ProbeEnded& event, Actions& out);
    void handleClientGone(Time now, RequestId request, Actions& out);
    void handleTimer(Time now, TimerId timer, Actions& out);
    LearnedState learnedState(Time now);
    void restore(Time now, const LearnedState& known);  // hosts that are not listed are skipped
    std::size_t hostSlots() const;                      // in use for hosts, including hosts that are gone

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace lotuslead
