// The interface of the decision module: settings, events, actions and the Router itself.
// It holds types only; every decision is in src/policy.cpp.
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

using Time = std::chrono::nanoseconds;  // a point on the router's clock, or a span of it
using RequestId = std::uint64_t;
using TimerId = std::uint64_t;

// What may happen when a request is run more than once.
enum class Effect { safe, keyed, unsafe };
// The hosts that together drop repeats of a keyed request.
enum class DeduplicationScope { all, zone, cell };
enum class Role { cache, parent, origin };
enum class Readiness { gone, ready, draining };
// What a host's weight in the list means; `none` and `live` are no measure of its link.
enum class Weights { none, nominal, rough, live };
// Which other caches may be named as the source of a fill.
enum class Siblings { none, zone, any };

struct ClassSettings {
    Time aim{};             // an answer within this, plus the stretch, earns full worth
    double aimStretch = 0;  // the aim grows by this multiple of the answer's own sending time
    Time giveUp{};          // the client's wait over all its tries
    double worth = 1;
    double lateWorth = 0;  // share of the worth that a late answer earns
    Effect effect = Effect::unsafe;
    DeduplicationScope group = DeduplicationScope::all;
    Time repeatWindow{};  // how long a keyed request's repeats are dropped
    bool streamed = false;
    bool inParts = false;
    bool neverKept = false;
    Time freshFor{};  // zero: good until purged
    Time staleFor{};  // how much older a copy may be when asked for
    double staleWorth = 0;
};

struct Settings {
    std::vector<ClassSettings> classes;
    int zone = 0;                    // the router's own zone
    std::vector<int> zoneHub;        // per zone, the hub it is tied to
    std::vector<int> routersByZone;  // empty: not told
    std::vector<double> zoneLinkKb;  // KB a second into each zone; zero: not told
    int routers = 1;                 // in all zones together
    double paceKb = 0;               // top pace of one answer, KB a second; zero: not told
    Weights weights = Weights::none;
    Siblings siblings = Siblings::none;
    bool direct = false;     // parents and the origin take requests too
    bool joins = false;      // a request may wait for a fill under way
    bool notesTold = false;  // outcomes tell why a fill failed
    bool secondCopies = false;
    bool mayCancel = false;
    bool mayProbe = false;
    bool retryHints = false;
    bool mustAskForList = false;  // changes come only to those who ask for them
    int mostTries = 1;
    Time maxRetryHint{};
    Time answerGrace{};  // how long after the client's deadline an answer still counts
    Time askWithin{};
    Time drainGrace{};
    double coldFrom = 1;  // share of its capacity that a cache starts with, at least
    Time warmWithin{};
    double fallMultiple = 0;  // a cold host falls over at this multiple; zero: never
    Time fallWindow{};
    double parentColdFrom = 1;
    Time parentWarmWithin{};
    double parentFallMultiple = 0;
    double originFallMultiple = 0;  // zero: the origin never stops
    Time originFallWindow{};
    Time purgeGrace{};
    Time purgeSettles{};
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
    bool whole = false;  // otherwise: changed entries only
    std::vector<HostEntry> entries;
};

struct Request {
    RequestId id = 0;
    int classIndex = 0;
    std::uint64_t object = 0;  // fingerprint of the object's name; zero: none
    std::int64_t group = 0;    // what a group purge may name
    std::int64_t part = 0;
    double sizeKb = 0;  // zero: not told
    Time deadline{};
    bool repeated = false;  // the client has asked before
    bool write = false;
};

enum class Outcome { served, error, notTaken, timedOut, noConnection, broken, cancelled, notSent, noCopy };

// How the answer came about or why the fill failed, where that is told.
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
    std::optional<double> inFlight, queued, busy, hitShare, linkFill;
};

struct AttemptEnded {
    RequestId request = 0;
    int attempt = 0;
    Outcome outcome = Outcome::error;
    Time elapsed{};
    bool over = false;       // the request is closed
    bool blameless = false;  // it says nothing of its host that another end has not said
    CacheStatus note = CacheStatus::none;
    double sizeKb = 0;  // of what was served; zero: not told, negative: no bytes, since the client had them
    LoadReport load;
};

struct StreamStarted {
    RequestId request = 0;
    int attempt = 0;
};

struct Purge {
    std::uint64_t object = 0;  // zero: the whole group
    std::int64_t group = 0;
    Time age{};  // how long ago it was made
};

struct ProbeEnded {
    std::string host;
    bool answered = false;
    LoadReport load;
};

// --- actions ---

struct Send {
    RequestId request = 0;
    std::string_view host;    // views stay valid as long as the router lives
    bool plain = false;       // ask only for what the host holds; the fields from here on don't apply
    std::string_view source;  // where a miss is filled from; the host itself: no fill
    int keepRank = 0;         // zero: leave no copy
    int rank = 0;             // at which a copy of the gateway's own is worth keeping; zero: it is not
    Time oldest{};            // oldest copy that will do; zero: the class's fresh time
    bool join = false;        // wait for a fill that runs already
    bool heldOnly = false;    // the source gives only what it holds
    bool renew = false;       // an ageing copy is served and fetched anew behind
    Time timeout{};
};
// Why a request was given up, which means answered at once; a refusal tells the client when to come back.
enum class GiveUpReason {
    noTime,         // left for another attempt
    attemptLimit,   // as many as the settings allow
    noRoute,        // no host that may be used now
    noRetryBudget,  // for retries
    cancelled       // its attempt was
};
struct Refuse {
    RequestId request = 0;
    Time retryIn{};
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
struct Watch {};      // ask for list changes from now on
struct FetchList {};  // ask for the whole list once
struct Probe {
    std::string_view host;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, SetTimer, Watch, FetchList, Probe>;
using Actions = std::vector<Action>;

// --- what a router that takes another's place should know ---

struct LearnedObject {  // of a name in the filter
    std::int64_t lastPart = -1;
    bool manyViewers = false;
    double work = 0;  // of one part, as last seen, in seconds of sending time; zero: not known
};
struct LearnedHost {
    double failures = 0;  // fading share
    bool out = false;     // left out; comes back by trials
    Time outUntil{}, pause{};
    double link = 0;  // the most transfers at a time that it has served: its link carries this much at least
};
struct NamedLearnedHost : LearnedHost {
    std::string name;
    double coldWork = 0;  // sent to it lately, in seconds of sending time
};
struct LearnedState {
    Time startedAt{};
    std::vector<double> meanWork;                                  // per class; zero: not known
    std::vector<std::pair<std::uint64_t, LearnedObject>> objects;  // oldest first
    std::vector<NamedLearnedHost> hosts;
};

// One router: fed with events in the order they came, it appends what is to be done.
// It shares nothing with other routers, and the same events give the same actions.
class Router {
public:
    Router(Settings settings, std::uint64_t seed);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;

    void start(Time now, Actions& out);
    // New settings for what comes from now on; requests in hand keep those that they came under. A class and
    // a zone keep their places; there may be further ones.
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
    void restore(Time now, const LearnedState& known);  // hosts that are not listed are passed over
    std::size_t hostSlots() const;                      // held for hosts, also those that are gone

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace lotuslead
