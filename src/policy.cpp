// All routing decisions of lotuslead. The types, events and actions are in include/lotuslead/router.hpp.
//
// A bounded LRU filter remembers the names of recently requested objects. A request whose name is in the
// filter goes to an edge cache of the router's own zone, which keeps a copy. Any other request goes straight
// to the object's parent, and no edge cache keeps a copy. All other code handles failures and overload and
// enforces five rules: a request gets one answer in time, no effect runs twice, nothing is sent to or through
// draining hosts, cold hosts stay within their budgets, and copies from before a purge are not accepted.
#include <algorithm>
#include <cmath>
#include <deque>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "lotuslead/router.hpp"
#include "support/hash.hpp"
#include "support/lru_map.hpp"
#include "support/token_bucket.hpp"
#include "support/window_sum.hpp"

namespace lotuslead {
namespace {

using namespace std::chrono_literals;
using HostIndex = std::uint32_t;
constexpr HostIndex kNoHost = ~HostIndex{0};

// Routing.
// Object names remembered per router: the default of the published design.
constexpr std::size_t kFilterCapacity = 4096;
// For this time after a start, the first attempt for an object that is not in the filter still goes through
// its cache: the filter does not yet hold all popular names.
constexpr Time kFilterWarmUpTime = 8s;
// Share of the mean link of the zone's caches. An object with several viewers whose transfers in the zone
// need more is hot: it is spread over two caches, and its parts over the parents.
constexpr double kHotObjectLinkShare = 0.25;
// Averaging time of an object's transfers.
constexpr Time kHotObjectAveragingTime = 4s;
// Keep the hash that picks a cache independent of the one that picks a parent or an origin host.
constexpr std::uint64_t kCacheHashSalt = 1, kUpstreamHashSalt = 2;

// Outlier ejection: a host is ejected after some failures in a row or a high share of them, and is reinstated
// after successful trial requests.
// Weight of one outcome in the moving average of failures: covers about the last five outcomes.
constexpr double kOutcomeWeight = 0.2;
// The moving average of a healthy host passes this at its third failure in a row. That of a host that fails a
// third of its requests fluctuates around 0.33, close to this.
constexpr double kEjectionFailureShare = 0.45;
// A host is ejected only if its failure share also exceeds the mean of its peers by this, or exceeds
// kLostHostFailureShare: a fault that hits all of them is not its own.
constexpr double kEjectionMarginOverPeers = 0.25;
// Above this share nearly all attempts fail, by error answers and refusals or without an answer: the host is
// ejected whatever the share of its peers.
constexpr double kLostHostFailureShare = 0.8;
// Weight of an attempt that is slow; one that failed weighs 1.
constexpr double kSlowAttemptFailureWeight = 0.5;
// Time until the first trial of an ejected host, doubled after each failed trial. The initial value is also
// the delay before a failed subscription to the host list is repeated.
constexpr Time kInitialBackoff = 500ms, kMaxBackoff = 4s;
constexpr int kTrialSuccessesToReinstate = 3;

// Retry and origin budgets.
// Added to the retry budget for each request. Keeps retries from multiplying an overload.
constexpr double kRetriesPerRequest = 0.1;
// Capacity and initial content of the retry budget. The bursts of all routers add up, and a dead host costs a
// few retries at each router.
constexpr double kRetryBurst = 6;
// Added for each request to the origin budget, which limits the attempts that are sent to the origin, or to a
// cache with the origin as its source, because no parent can be used.
constexpr double kOriginSendsPerRequest = 0.15;
// Capacity and initial content of the origin budget.
constexpr double kOriginSendBurst = 4;
// Added to the origin budget for each answer in time, and each noCopy, of an attempt whose source, or whose
// host if it has no source, is an origin host; not for hits at a cache, but for writes through a parent.
// Above 1, so that the origin's share grows for as long as it answers in time.
constexpr double kOriginSendsPerSuccess = 1.2;

// Timing.
// An attempt is expected to need the overhead below plus this multiple of its sending time at full pace. An
// answer counts as at full pace only within that time, and an attempt counts as slow only after it.
constexpr double kSlowSendTimeMultiple = 1.6;
// Share of the latency target for all but the sending: network, queue and a parent's lookup.
constexpr double kOverheadLatencyTargetShare = 0.15;
// Retry hint in a refusal, unless the settings limit it to less. Short: the client's latency target keeps
// running, and congestion clears within fractions of a second.
constexpr Time kRetryAfter = 100ms;

// Load of links. Above full utilization every transfer slows down in proportion.
// Weight of one report in the moving average: reports are late and noisy.
constexpr double kLoadReportWeight = 0.25;
// How long an answer at full pace proves free capacity: about as long as load reports lag.
constexpr Time kFullPaceLifetime = 400ms;
// Averaging time of the number of fills in flight, which fluctuates: about the time of one fill on a full
// link.
constexpr Time kFillsAveragingTime = 1s;
// Multiplies the utilization of the zone's link for a request that leaves no copy: the object crosses the
// link again when it is next asked for.
constexpr double kUncachedTransferWeight = 2;
// Without a newer report the utilization of a link is estimated from this router's own attempts. A zone's
// link is taken to be free if its capacity is not configured.
constexpr Time kLoadReportLifetime = 2s;

// Concurrency limiters before the parents and the origin. Each success adds up to a constant to the limit,
// which can double it per round trip; too many failures multiply it by kLimiterDecreaseFactor.

// Averaging time of successes and failures: covers a few dozen fills and is short compared with an outage.
// Also the time after a decrease during which isLimiting() is true.
constexpr Time kLimiterAveragingTime = 3s;
// Share of the outcomes: about twice the share that is late by chance.
constexpr double kLimiterFailureShare = 0.1;
// Weighted failures: a single late answer proves nothing.
constexpr double kLimiterMinFailures = 1.5;
// Weight of a missing answer; a late answer or a refusal weighs 1. Less than 1, since answers can also be
// lost on the way.
constexpr double kUnansweredFailureWeight = 0.3;
// Applied once for all attempts that were in flight at the time.
constexpr double kLimiterDecreaseFactor = 0.5;
// Added to the limit for each success, reduced by the share of the target time that the success took. Opens a
// limiter of any size quickly.
constexpr double kLimiterIncreasePerSuccess = 1;
// Below one attempt at a time there are pauses in between, after which an attempt probes the tier.
constexpr double kMinConcurrencyLimit = 0.25;
constexpr double kUnlimitedConcurrency = 1e9;

// A cold host's budget is a multiple of the least capacity that it can have at its age: the lower of the two
// limits below. It is meant not to slow the host down, and is far less than would overload it.

// First limit, as a multiple of that least capacity. Above 1, since most hosts have more capacity than that.
constexpr double kColdLoadCapacityMultiple = 1.2;
// Second limit, as a share of the setting coldOverloadMultiple (parentColdOverloadMultiple for a parent), the
// multiple of its capacity at which a cold host is overloaded.
constexpr double kColdLoadOverloadShare = 0.6;

// With many routers, one router's part of a cold host's budget is less than one request: a random draw then
// lets single requests through.
// Share of the budget that the draws use, since several routers may draw at the same time by chance.
constexpr double kRandomAdmissionBudgetShare = 0.5;
// Requests that the budget of all routers must hold for draws to be made. Of fewer, the number that chance
// lets through varies too much.
constexpr double kRandomAdmissionMinBudgetRequests = 8;

// Learned links, in transfers at a time at full pace.
// Where nothing has been learned: deliberately low.
constexpr double kDefaultLinkTransfers = 2;
// Lower bound of the link by which linkUtilizationOf() divides: a lower value moves keys to other hosts too
// often.
constexpr double kMinLinkTransfersForLoad = 4;
// Averaging time of the transfers that a host serves at a time. Links are learned only after the router has
// run for longer than this.
constexpr Time kServedAveragingTime = 2s;
// Share of the estimated transfers at a time that counts as proven for a host's link: the estimate fluctuates
// and its maximum is kept.
constexpr double kProvenServedShare = 0.75;

// Least delay of a request's timers. Also added to the time after which an attempt counts as late.
constexpr Time kMinTimerDelay = 1ms;
// After this the slot of a host that has gone may be used for another host.
constexpr Time kHostSlotReuseDelay = 5s;

double seconds(Time t) { return std::chrono::duration<double>(t).count(); }
Time fromSeconds(double s) { return Time{static_cast<std::int64_t>(s * 1e9)}; }

struct Host : LearnedHost {
    Host() { ejectionTime = kInitialBackoff; }
    HostEntry entry;
    std::uint64_t hash = 0;
    bool ready = false;
    int attemptsInFlight = 0;
    int trialSuccesses = 0;
    double reportedInFlight = 0;
    Time reportedAt = -1h;
    Time fullPaceAt = -1h;         // of the last answer at full pace
    WindowSum coldSendSeconds;     // seconds of sending time sent to it lately
    DecayingRate servedTransfers;  // mean concurrent transfers, in its answers to this router
    Time goneAt{};
    Time lastAnswerAt = -1h;  // of any kind
};

struct ObjectRecord : LearnedObject {
    DecayingRate transfers;
};

enum class Tier { caches, parents, origin };  // the highest that an attempt may use

struct Attempt {
    HostIndex host = kNoHost, source = kNoHost;
    Time sentAt{};
    bool inFlight = true;
    bool mayHaveRun = false;
    Tier highestTier = Tier::caches;
    bool wasSlow = false;      // attemptIsSlow() was called for it
    bool hostHadRoom = false;  // linkUtilizationOf() the host was below 1 when it was sent
    bool countedLate = false;  // recorded with the concurrency limiters
};

struct Pending {
    Request request;
    // Those in force on arrival, for its class, its number of attempts, hedging, cancelling and retry hints.
    // Routing uses the newest.
    std::shared_ptr<const Settings> settings;
    Time arrived{};
    // Arrival plus latency target and stretch, at most the deadline. An answer after it is late.
    Time targetAt{};
    double sendSeconds = 0;  // seconds of sending time
    bool inFilter = false, hot = false;
    // Of the copy to keep. 0: none is kept; 1: part; 2: part with several viewers, or whole object;
    // 3: whole object with several viewers.
    int keepRank = 0;
    // `finished`: answered, refused or failed, or the client has left.
    bool finished = false, streaming = false, retryAfterCancel = false;
    bool acceptStale = false;  // an attempt failed, or no fill is possible
    std::vector<Attempt> attempts;
    std::vector<HostIndex> excludedHosts;
    auto attemptsInFlight() const { return std::ranges::count(attempts, true, &Attempt::inFlight); }
    const ClassSettings& classSettings() const {
        return settings->classes[static_cast<std::size_t>(request.classIndex)];
    }
};

// Where to send an attempt, and where the host fills a miss from. Without a source of its own, a cache does
// not fill and a parent fills from the first origin host.
struct Route {
    HostIndex host = kNoHost, source = kNoHost;
    int keepRank = 0;
    bool sourceOnlyIfCached = false;
    bool ok() const { return host != kNoHost; }
};

// Adaptive limit on the concurrent attempts to a tier: it grows with answers in time and shrinks with
// failures.
struct ConcurrencyLimiter {
    double limit = kUnlimitedConcurrency;  // below 1: one attempt at a time, with pauses
    int inFlight = 0;
    Time decreasedAt = -1h, pausedUntil{};
    DecayingRate successes, failures;
    bool admits(Time now) const {
        return inFlight < std::max(1.0, limit) && (limit >= 1 || now >= pausedUntil);
    }
    bool isLimiting(Time now) const { return now - decreasedAt < kLimiterAveragingTime || !admits(now); }
};

}  // namespace

class Router::Impl {
public:
    Impl(Settings settings, std::uint64_t seed)
        : settings_(std::make_shared<Settings>(std::move(settings))),
          meanSendSeconds_(settings_->classes.size(), 0),
          randomState_(mix(seed)),
          drawSalt_(mix(seed + 1)) {}

    // --- host list ---

    void start(Time now, Actions& out) {
        startedAt_ = now;
        if (settings_->mustSubscribeToList) out.push_back(Watch{});
    }

    void reconfigure(Settings settings) {
        settings_ = std::make_shared<Settings>(std::move(settings));
        meanSendSeconds_.resize(settings_->classes.size(), 0);
        groupHosts();
    }

    void applyList(Time now, const HostList& list) {
        if (list.whole)
            for (Host& host : hosts_) markGone(now, host);
        for (const HostEntry& entry : list.entries) applyEntry(now, entry);
        groupHosts();
    }

    void groupHosts() {
        for (auto* group : {&caches_, &parents_, &origins_}) group->clear();
        for (HostIndex i = 0; i < hosts_.size(); ++i) {
            const HostEntry& entry = hosts_[i].entry;
            if (!hosts_[i].ready) continue;
            if (entry.role == Role::parent) parents_.push_back(i);
            if (entry.role == Role::origin) origins_.push_back(i);
            if (entry.role == Role::cache && entry.zone == settings_->zone) caches_.push_back(i);
        }
    }

    void listFailed(Time, Actions& out) {
        if (!settings_->mustSubscribeToList) return;
        out.push_back(SetTimer{watchTimer_ = nextTimer_++, kInitialBackoff});
    }

    // --- requests ---

    void handleRequest(Time now, const Request& request, Actions& out) {
        retryBudget_.deposit(kRetriesPerRequest);
        originBudget_.deposit(kOriginSendsPerRequest);
        Pending& p = pending_[request.id];
        p.request = request;
        p.settings = settings_;
        p.arrived = now;
        const ClassSettings& c = p.classSettings();
        if (request.sizeKb > 0 && settings_->maxFlowKbPerSecond > 0)
            learnSendSeconds(request.classIndex, request.sizeKb / settings_->maxFlowKbPerSecond);
        p.sendSeconds = estimateSendSeconds(request);
        setTargetAt(p);
        if (!c.uncacheable && !request.write && request.object != 0) lookUpInFilter(now, p, c);
        sendOrGiveUp(now, p, out);
    }

    void attemptEnded(Time now, const AttemptEnded& e, Actions& out) {
        const auto it = pending_.find(e.request);
        if (it == pending_.end()) return;
        Pending& p = it->second;
        if (e.attempt < 0 || e.attempt >= static_cast<int>(p.attempts.size())) return;
        Attempt& a = p.attempts[static_cast<std::size_t>(e.attempt)];
        if (!a.inFlight) return;
        a.inFlight = false;
        --hosts_[a.host].attemptsInFlight;
        a.mayHaveRun = mayHaveRun(e.outcome);
        if (isAnswerFromHost(e.outcome)) hosts_[a.host].lastAnswerAt = now;
        applyLoadReport(now, hosts_[a.host], e.load);
        countInFlight(now, a, -1);
        if (e.outcome == Outcome::served) learnFromAnswer(p, a, e);
        updateLimiters(now, p, a, e);
        updateHealth(now, p, a, e);
        if (e.requestClosed) markFinished(p, out);
        if (!p.finished && p.attemptsInFlight() == 0) {
            if (a.highestTier != Tier::origin && e.outcome == Outcome::noCopy)
                sendOrGiveUp(now, p, out);  // now it is known that a fill is needed
            else if (e.outcome != Outcome::cancelled || p.retryAfterCancel)
                retryOrGiveUp(now, p, e.ignoreForHealth, out);
            else
                giveUp(p, GiveUpReason::cancelled, out);
        }
        eraseIfDone(e.request);
    }

    void streamStarted(const StreamStarted& e, Actions& out) {
        const auto it = pending_.find(e.request);
        if (it == pending_.end()) return;
        it->second.streaming = true;
        cancelOthers(it->second, e.attempt, out);
    }

    void clientGone(RequestId id, Actions& out) {
        const auto it = pending_.find(id);
        if (it == pending_.end()) return;
        markFinished(it->second, out);
        eraseIfDone(id);
    }

    void timer(Time now, TimerId id, Actions& out) {
        if (id == watchTimer_) return out.push_back(Watch{});
        const auto it = timers_.find(id);
        if (it == timers_.end()) return;
        const auto [request, attempt, late] = it->second;
        timers_.erase(it);
        const auto found = pending_.find(request);
        if (found == pending_.end()) return;
        Pending& p = found->second;
        Attempt& a = p.attempts[static_cast<std::size_t>(attempt)];
        if (p.finished || p.streaming || !a.inFlight) return;
        late ? attemptIsLate(now, p, a) : attemptIsSlow(now, p, a, attempt, out);
    }

    // --- purges ---

    void purged(Time now, const Purge& purge) {
        const Time at = now - purge.age;
        auto& known = purge.object != 0 ? objectPurges_[purge.object] : groupPurges_[purge.group];
        known = std::max(known, at);
        purgeOrder_.emplace_back(now, purge);
        // Kept for twice the configured time. Keeping one longer does no harm: it never rejects a copy that
        // is younger than the purge.
        while (!purgeOrder_.empty() && purgeOrder_.front().first + 2 * settings_->purgeSettleTime < now) {
            const Purge old = purgeOrder_.front().second;
            const Time made = purgeOrder_.front().first - old.age;
            auto& table = old.object != 0 ? objectPurges_ : groupPurges_;
            const auto key = old.object != 0 ? old.object : static_cast<std::uint64_t>(old.group);
            if (const auto it = table.find(key); it != table.end() && it->second <= made) table.erase(it);
            purgeOrder_.pop_front();
        }
    }

    std::size_t hostSlots() const { return hosts_.size(); }

    // --- hand-over to a successor ---

    LearnedState learnedState(Time now) {
        LearnedState known{startedAt_, meanSendSeconds_, {}, {}};
        filter_.fromOldest([&](auto name, auto& record) { known.objects.emplace_back(name, record); });
        for (Host& h : hosts_)
            if (h.ready)
                known.hosts.push_back(
                    {h, h.entry.name, h.coldSendSeconds.over(now, settings_->coldLoadWindow)});
        return known;
    }

    void restore(Time now, const LearnedState& known) {
        (meanSendSeconds_ = known.meanSendSeconds).resize(settings_->classes.size(), 0);
        for (const auto& [name, object] : known.objects) filter_.touch(name).first = {object, {}};
        startedAt_ = std::min(startedAt_, known.startedAt);
        for (const NamedLearnedHost& from : known.hosts) {
            const auto it = hostsByName_.find(from.name);
            if (it == hostsByName_.end()) continue;
            static_cast<LearnedHost&>(hosts_[it->second]) = from;
            hosts_[it->second].coldSendSeconds.add(now, from.coldSendSeconds);
        }
    }

private:
    // ----- host list -----

    void markGone(Time now, Host& host) {
        if (host.entry.readiness != Readiness::gone) host.goneAt = now;
        host.entry.readiness = Readiness::gone;
        host.ready = false;
    }

    // Reuses the slot of a host that has been gone for some time and that no pending request refers to;
    // otherwise adds a slot.
    HostIndex acquireHostSlot(Time now) {
        for (HostIndex i = 0; i < hosts_.size(); ++i) {
            const Host& host = hosts_[i];
            if (host.entry.readiness != Readiness::gone || host.attemptsInFlight > 0 ||
                now - host.goneAt < kHostSlotReuseDelay)
                continue;
            const auto refers = [&](const auto& entry) {
                const Pending& p = entry.second;
                const auto at = [i](const Attempt& a) { return a.host == i || a.source == i; };
                return std::count(p.excludedHosts.begin(), p.excludedHosts.end(), i) > 0 ||
                       std::any_of(p.attempts.begin(), p.attempts.end(), at);
            };
            if (std::any_of(pending_.begin(), pending_.end(), refers)) continue;
            hostsByName_.erase(host.entry.name);
            hosts_[i] = Host{};
            return i;
        }
        hosts_.emplace_back();
        return static_cast<HostIndex>(hosts_.size() - 1);
    }

    void applyEntry(Time now, const HostEntry& entry) {
        const bool isNew = hostsByName_.count(entry.name) == 0;
        if (isNew && entry.readiness == Readiness::gone) return;
        const auto it = isNew ? hostsByName_.emplace(entry.name, acquireHostSlot(now)).first
                              : hostsByName_.find(entry.name);
        if (isNew) hosts_[it->second].hash = fingerprint(entry.name);
        Host& host = hosts_[it->second];
        if (!isNew && entry.startedAt > host.entry.startedAt) {  // a restart resets its health
            host.ejected = false;
            host.failureShare = 0;
            host.ejectionTime = kInitialBackoff;
        }
        if (entry.readiness == Readiness::gone) markGone(now, host);
        std::string name = isNew ? entry.name : std::move(host.entry.name);
        host.entry = entry;
        host.entry.name = std::move(name);  // keeps the string's storage, since actions hold views of it
        host.ready = entry.readiness == Readiness::ready;
    }

    // ----- filter and learned sizes -----

    double estimateSendSeconds(const Request& r) const {
        const auto c = static_cast<std::size_t>(r.classIndex);
        if (r.sizeKb > 0 && settings_->maxFlowKbPerSecond > 0)
            return r.sizeKb / settings_->maxFlowKbPerSecond;
        return meanSendSeconds_[c] > 0 ? meanSendSeconds_[c]
                                       : seconds(settings_->classes[c].latencyTarget) / 4;
    }

    void learnSendSeconds(int classIndex, double sendSeconds) {
        double& mean = meanSendSeconds_[static_cast<std::size_t>(classIndex)];
        mean = mean > 0 ? mean + 0.02 * (sendSeconds - mean) : sendSeconds;
    }

    void setTargetAt(Pending& p) const {
        const ClassSettings& c = p.classSettings();
        p.targetAt = std::min(p.request.deadline, p.arrived + c.latencyTarget +
                                                      fromSeconds(c.latencyTargetStretch * p.sendSeconds));
    }

    // Where requests carry no size it is learned from answers: from their bytes, or from the time of a hit on
    // a host with free capacity. A mean that is too low makes answers in time count as late, which shrinks
    // the concurrency limits.
    void learnFromAnswer(Pending& p, const Attempt& a, const AttemptEnded& e) {
        if (p.request.sizeKb > 0 || e.sizeKb < 0) return;
        const bool isKnown = e.sizeKb > 0 && settings_->maxFlowKbPerSecond > 0;
        if (!isKnown && (e.cacheStatus != CacheStatus::hit || !a.hostHadRoom)) return;
        const double sendSeconds = isKnown ? e.sizeKb / settings_->maxFlowKbPerSecond : seconds(e.elapsed);
        learnSendSeconds(p.request.classIndex, sendSeconds);
        if (!isKnown) return;
        if (p.request.object != 0 && p.inFilter)
            filter_.touch(p.request.object).first.sendSeconds = sendSeconds;
        p.sendSeconds = sendSeconds;
        setTargetAt(p);
    }

    // Learns a lower bound of a host's link from the transfers that it serves at a time, assuming that every
    // router has as many there. A cold host is limited by its budget, so that only a figure above its assumed
    // link proves anything.
    void learnLinkTransfers(Time now, Host& host, double sendSeconds) {
        host.servedTransfers.add(now, kServedAveragingTime, sendSeconds);
        const double all = kProvenServedShare * host.servedTransfers.perSecond(now, kServedAveragingTime) *
                           routersSharing(host);
        const double known = isCold(now, host) ? linkTransfersOf(host) : host.linkTransfers;
        if (now - startedAt_ > kServedAveragingTime && all > known) host.linkTransfers = all;
    }

    void lookUpInFilter(Time now, Pending& p, const ClassSettings& c) {
        auto [record, found] = filter_.touch(p.request.object);
        if (found && record.sendSeconds > 0 && p.request.sizeKb <= 0) {
            p.sendSeconds = record.sendSeconds;
            setTargetAt(p);
        }
        // One viewer requests the parts in order, so that a repeated or earlier part comes from a second
        // viewer.
        if (found && !p.request.repeated && (!c.inParts || p.request.part <= record.lastPart))
            record.manyViewers = true;
        record.lastPart = std::max(record.lastPart, p.request.part);
        record.transfers.add(now, kHotObjectAveragingTime, p.sendSeconds);
        p.inFilter = found;
        // Copies with a second viewer rank higher, and so do whole objects: many small ones are worth more
        // than one part.
        p.keepRank = !found ? 0 : (record.manyViewers ? 2 : 1) + (c.inParts ? 0 : 1);
        p.hot =
            record.manyViewers && record.transfers.perSecond(now, kHotObjectAveragingTime) * routersInZone() >
                                      kHotObjectLinkShare * meanCacheLinkTransfers();
    }

    int routersInZone() const {
        const auto zone = static_cast<std::size_t>(settings_->zone);
        const bool isKnown = settings_->zone >= 0 && zone < settings_->routersByZone.size();
        return std::max(1, isKnown ? settings_->routersByZone[zone] : settings_->routers);
    }

    bool weightsAreLinks() const {
        return settings_->weights == WeightMeaning::nominal || settings_->weights == WeightMeaning::rough;
    }
    int routersSharing(const Host& host) const {
        return host.entry.role == Role::cache ? routersInZone() : std::max(1, settings_->routers);
    }

    // As configured, or as learned. A host without a figure of its own gets the lowest one of its group.
    double linkTransfersOf(const Host& host) const {
        if (weightsAreLinks() && host.entry.weight > 0) return host.entry.weight;
        if (host.linkTransfers > kDefaultLinkTransfers) return host.linkTransfers;
        double least = HUGE_VAL;
        for (const HostIndex i : host.entry.role == Role::parent ? parents_ : caches_)
            if (hosts_[i].linkTransfers > 0) least = std::min(least, hosts_[i].linkTransfers);
        return least < HUGE_VAL ? std::max(kDefaultLinkTransfers, least) : kDefaultLinkTransfers;
    }

    double meanCacheLinkTransfers() const {
        double sum = 0;
        for (const HostIndex i : caches_) sum += linkTransfersOf(hosts_[i]);
        return caches_.empty() ? kDefaultLinkTransfers : sum / static_cast<double>(caches_.size());
    }

    // ----- choosing a route -----

    // Weighted rendezvous hash: the host with the lowest score comes first.
    double rendezvousScore(HostIndex i, std::uint64_t key) const {
        return -std::log(unitInterval(combine(key, hosts_[i].hash))) /
               (weightsAreLinks() ? linkTransfersOf(hosts_[i]) : 1);
    }

    // Also true for an ejected host that is due for a trial: one attempt at a time.
    bool healthy(Time now, const Host& host) const {
        return !host.ejected || (now >= host.ejectedUntil && host.attemptsInFlight == 0);
    }

    // When most of a group fails at once the cause is probably elsewhere, and ejections are ignored.
    bool mostAreEjected(const std::vector<HostIndex>& group) const {
        const auto ejected = std::ranges::count_if(group, [&](HostIndex i) { return hosts_[i].ejected; });
        return 2 * ejected > static_cast<std::ptrdiff_t>(group.size());
    }

    bool isCold(Time now, const Host& host) const {
        const bool parent = host.entry.role == Role::parent;
        if (host.entry.role == Role::origin || host.entry.startedAt.count() <= 0) return false;
        return (parent ? settings_->parentColdOverloadMultiple : settings_->coldOverloadMultiple) > 0 &&
               now - host.entry.startedAt < (parent ? settings_->parentWarmUpTime : settings_->warmUpTime);
    }

    // A cold host has a budget per sliding window, shared by all routers; each router uses only its part of
    // it.
    bool withinColdBudget(Time now, Host& host, double sendSeconds) const {
        if (!isCold(now, host)) return true;
        const bool parent = host.entry.role == Role::parent;
        const Time warm = parent ? settings_->parentWarmUpTime : settings_->warmUpTime;
        const double multiple =
            parent ? settings_->parentColdOverloadMultiple : settings_->coldOverloadMultiple;
        const double age = seconds(now - host.entry.startedAt);
        const double from = parent ? settings_->parentColdStartShare : settings_->coldStartShare;
        const double present =
            linkTransfersOf(host) * (from + (1 - from) * std::max(0.0, age) / seconds(warm));
        const double share = std::min(kColdLoadCapacityMultiple, kColdLoadOverloadShare * multiple);
        const double routerBudget =
            share * present * seconds(settings_->coldLoadWindow) / routersSharing(host);
        const double used = host.coldSendSeconds.over(now, settings_->coldLoadWindow);
        if (used + sendSeconds <= routerBudget) return true;
        if (used > 0 || routerBudget * routersSharing(host) < kRandomAdmissionMinBudgetRequests * sendSeconds)
            return false;
        // One draw per window. The windows of different routers begin at different times.
        const auto window = static_cast<std::uint64_t>(settings_->coldLoadWindow.count());
        const std::uint64_t windowNumber =
            (static_cast<std::uint64_t>(now.count()) + drawSalt_ % window) / window;
        return unitInterval(combine(combine(drawSalt_, host.hash), windowNumber)) <
               kRandomAdmissionBudgetShare * routerBudget / sendSeconds;
    }

    // The load that an attempt counts for. Too low an estimate would overload a cold host unnoticed.
    double coldCharge(const Host& host, const Pending& p) const {
        const double mean = meanSendSeconds_[static_cast<std::size_t>(p.request.classIndex)];
        return std::max(mean > 0 ? mean : p.sendSeconds,
                        host.entry.role == Role::parent ? p.sendSeconds : 1e-3);
    }

    bool usable(Time now, HostIndex i, const Pending& p, bool ignoreHealth) {
        Host& host = hosts_[i];
        if (!host.ready || std::count(p.excludedHosts.begin(), p.excludedHosts.end(), i) > 0) return false;
        if (!ignoreHealth && !healthy(now, host)) return false;
        return hostMeetsTarget(now, p, host) && withinColdBudget(now, host, coldCharge(host, p)) &&
               repeatAllowed(now, p, host);
    }

    HostIndex pick(Time now, const std::vector<HostIndex>& group, std::uint64_t key, const Pending& p,
                   bool spread) {
        // If most caches fail while most parents answer, and the parents may be asked directly, the caches
        // are really down, for example with their whole zone, and their ejections hold.
        const bool cachesDown =
            &group == &caches_ && settings_->directUpstream && !parents_.empty() && !mostAreEjected(parents_);
        const bool ignoreHealth = mostAreEjected(group) && !cachesDown;
        HostIndex first = kNoHost, second = kNoHost;
        double best = HUGE_VAL, next = HUGE_VAL;
        for (const HostIndex i : group) {
            if (hosts_[i].hash == p.request.preferredHost && usable(now, i, p, ignoreHealth)) return i;
            const double score = rendezvousScore(i, key);
            if (score >= (spread ? next : best) || !usable(now, i, p, ignoreHealth)) continue;
            if (score < best) {
                next = std::exchange(best, score);
                second = std::exchange(first, i);
            } else {
                next = score;
                second = i;
            }
        }
        if (!spread || second == kNoHost) return first;
        const auto load = [&](HostIndex i) {
            return (hosts_[i].attemptsInFlight + 1) / linkTransfersOf(hosts_[i]);
        };
        return load(second) < load(first) ? second : first;
    }

    HostIndex pickCache(Time now, const Pending& p) {
        const auto part = static_cast<std::uint64_t>(p.request.part);
        const auto key = combine(combine(p.request.object, part), kCacheHashSalt);
        return pick(now, caches_, key, p, p.hot && p.attempts.empty());
    }

    // All zones fill an object from one parent, which the fills of a hot object overload if there are many
    // zones, for example forty.
    // The parts of a hot object are therefore spread over parents, with the same parent per part at every
    // router. Cost: the first fill of a part may be fetched twice.
    HostIndex pickParent(Time now, const Pending& p) {
        const auto part = p.hot ? static_cast<std::uint64_t>(p.request.part) : 0;
        return pick(now, parents_, combine(p.request.object + part, kUpstreamHashSalt), p, false);
    }

    HostIndex pickOrigin(Time now, const Pending& p) {
        const HostIndex i = pick(now, origins_, kUpstreamHashSalt, p, false);
        return i == kNoHost || hosts_[i].ejected ? kNoHost : i;
    }

    void applyLoadReport(Time now, Host& host, const LoadReport& load) {
        if (load.inFlight) {
            const bool recent = now - host.reportedAt < kLoadReportLifetime;
            const double before = recent ? host.reportedInFlight : *load.inFlight;
            host.reportedInFlight = before + kLoadReportWeight * (*load.inFlight - before);
            host.reportedAt = now;
        }
        if (host.entry.role != Role::cache || !load.linkUtilization) return;
        const bool fresh = now - zoneLinkReportAt_ < kLoadReportLifetime;
        zoneLinkUtilization_ =
            fresh ? zoneLinkUtilization_ + kLoadReportWeight * (*load.linkUtilization - zoneLinkUtilization_)
                  : *load.linkUtilization;
        zoneLinkReportAt_ = now;
    }

    // As reported. Without a recent report, and where the link's capacity is configured, it is estimated on
    // the assumption that all routers of the zone fetch as much as this one. The larger of the current number
    // of fills and its mean is used, since the current number fluctuates and admits too much when it is low.
    double zoneLinkUtilization(Time now) const {
        if (now - zoneLinkReportAt_ < kLoadReportLifetime) return zoneLinkUtilization_;
        const auto zone = static_cast<std::size_t>(settings_->zone);
        const bool isKnown = settings_->zone >= 0 && zone < settings_->zoneLinkKbPerSecond.size() &&
                             settings_->zoneLinkKbPerSecond[zone] > 0;
        if (!isKnown || now - zoneLinkFullPaceAt_ < kFullPaceLifetime) return 0;
        const double fills =
            std::max<double>(limiters_[0].inFlight, meanFillsInFlight_.mean(now, kFillsAveragingTime));
        return fills * routersInZone() * settings_->maxFlowKbPerSecond / settings_->zoneLinkKbPerSecond[zone];
    }

    bool canMeetTarget(Time now, const Pending& p, double utilization) const {
        return utilization <= 1 ||
               now + fromSeconds(p.sendSeconds * utilization) + overheadTime(p) <= p.targetAt;
    }

    // A full link that admits every request serves none in time. It is left to requests that can still meet
    // their target, and preferably to those that leave a copy. Guards against refills after purges, bursts,
    // scans and caches that return empty. Cost: a wrong report of a full link keeps requests off a free one.
    bool zoneLinkMeetsTarget(Time now, const Pending& p) const {
        return canMeetTarget(now, p,
                             zoneLinkUtilization(now) * (p.keepRank > 0 ? 1 : kUncachedTransferWeight));
    }

    Time overheadTime(const Pending& p) const {
        return fromSeconds(kOverheadLatencyTargetShare * seconds(p.classSettings().latencyTarget));
    }

    // Concurrent transfers at the host, divided by those that its own link carries at full pace: as reported
    // recently, or else estimated on the assumption that all routers send as much as this one.
    double linkUtilizationOf(Time now, const Host& host) const {
        const double own = host.attemptsInFlight;
        const bool recent = now - host.reportedAt < kLoadReportLifetime;
        const double estimated = own * routersSharing(host);
        return (recent ? std::max(own, host.reportedInFlight) : estimated) /
               std::max(kMinLinkTransfersForLoad, linkTransfersOf(host));
    }

    // Whether the host can still answer in time. A host that admits more serves all of them late, so the rest
    // goes elsewhere or is refused at once. Guards against overload, bursts, hot objects and slow hosts.
    bool hostMeetsTarget(Time now, const Pending& p, const Host& host) const {
        // The link of the origin is unknown; its concurrency limiter applies instead.
        const bool origin = host.entry.role == Role::origin;
        return origin || now - host.fullPaceAt < kFullPaceLifetime ||
               canMeetTarget(now, p, linkUtilizationOf(now, host));
    }

    // The normal route, or what remains of it when hosts are missing, ejected or already tried.
    Route chooseRoute(Time now, Pending& p) {
        const ClassSettings& c = p.classSettings();
        const bool write = c.uncacheable || p.request.write;
        if (!write && !zoneLinkMeetsTarget(now, p)) return staleCopyRoute(now, p, kNoHost);
        const HostIndex parent = pickParent(now, p);
        const HostIndex originHost = parent == kNoHost || write ? pickOrigin(now, p) : kNoHost;
        const HostIndex source = parent != kNoHost ? parent : originHost;
        // A filter that was started recently does not know all popular names: an unknown one still goes
        // through its cache, which keeps no copy of it.
        const bool filterWarmingUp = now - startedAt_ < kFilterWarmUpTime;
        const bool prefersParent = parent != kNoHost && hosts_[parent].hash == p.request.preferredHost;
        const bool bypassUnknown =
            !p.inFilter && p.request.preferredHost == 0 && (!filterWarmingUp || !p.attempts.empty());
        const bool bypassCache = settings_->directUpstream && (write || prefersParent || bypassUnknown);
        // The copy is requested first and the fill only after a miss where fills are limited, and where the
        // parent is cold: each attempt that could become a fill is charged to its budget.
        if (!write && p.attempts.empty() && source != kNoHost) {
            const bool cacheOnly = limiters_[0].isLimiting(now) || isCold(now, hosts_[source]);
            if (!bypassCache && cacheOnly) return cachedOnlyRoute(now, p, kNoHost);
            if (!cacheOnly && parent != kNoHost && limiters_[1].isLimiting(now))
                return bypassCache ? Route{parent, kNoHost, 0, true} : cachedOnlyRoute(now, p, parent);
        }
        if (!write && !limiters_[0].admits(now)) return staleCopyRoute(now, p, kNoHost);
        if (!write && !limiters_[1].admits(now)) return staleCopyRoute(now, p, parent);
        if (bypassCache && parent != kNoHost) return {parent, write ? originHost : kNoHost, 0, false};
        const HostIndex cache = pickCache(now, p);
        if (cache != kNoHost && source != kNoHost && (!bypassCache || originHost == kNoHost))
            if (source != originHost || originBudget_.tryTake()) return {cache, source, p.keepRank, false};
        if (settings_->directUpstream && parent != kNoHost) return {parent, kNoHost, 0, false};
        if (settings_->directUpstream && originHost != kNoHost && originBudget_.tryTake())
            return {originHost, kNoHost, 0};
        return write ? Route{} : staleCopyRoute(now, p, kNoHost);
    }

    // Without a fill, a stale copy of the cache or of the parent is accepted.
    Route staleCopyRoute(Time now, Pending& p, HostIndex parent) {
        const bool older = p.classSettings().staleFor.count() > 0;
        if (!p.attempts.empty() && (p.acceptStale || !older)) return {};
        p.acceptStale = true;
        return cachedOnlyRoute(now, p, parent);
    }

    // Only a copy that the cache, or the parent, already holds; no fetch from the origin.
    Route cachedOnlyRoute(Time now, const Pending& p, HostIndex parent) {
        const HostIndex cache = pickCache(now, p);
        return {cache, parent == kNoHost ? cache : parent, p.keepRank, parent != kNoHost};
    }

    // ----- concurrency limiters before the parents and the origin -----

    void countInFlight(Time now, const Attempt& a, int by) {
        if (a.highestTier >= Tier::parents)
            meanFillsInFlight_.set(now, kFillsAveragingTime, limiters_[0].inFlight += by);
        if (a.highestTier >= Tier::origin) limiters_[1].inFlight += by;
    }

    // Attributes an outcome to the highest tier that was used, as far as known. Guards, without a need to
    // tell them apart, against an origin that is slow, refuses or has stopped, against parents that are
    // overloaded, cold or down, and against refills after a purge. A missing answer weighs less than a late
    // one (kUnansweredFailureWeight). Cost: when many answers are late by chance, the limits shrink a little.
    // Hits at the caches are not limited.
    void updateLimiters(Time now, const Pending& p, const Attempt& a, const AttemptEnded& e) {
        if (a.highestTier == Tier::caches || a.countedLate || e.outcome == Outcome::notSent ||
            e.ignoreForHealth)
            return;
        if (hosts_[a.host].entry.role == Role::cache) {
            if (e.cacheStatus == CacheStatus::hit || e.cacheStatus == CacheStatus::stale ||
                e.cacheStatus == CacheStatus::noFillPlace)
                return;
            if (e.outcome == Outcome::noConnection) return;
        }
        const bool silent = e.outcome == Outcome::timedOut || e.outcome == Outcome::cancelled ||
                            e.outcome == Outcome::broken || e.outcome == Outcome::noConnection;
        const bool served = e.outcome == Outcome::served;
        // The elapsed time is that of this attempt: time that the request lost before is not this tier's
        // fault. While the zone's own link is full, all answers count as in time, since a late one may be the
        // fault of that link and not of a tier.
        const bool inTime = e.elapsed <= p.targetAt - p.arrived || zoneLinkUtilization(now) > 1;
        // A prompt error is a fault of the host itself, and a cancelled attempt was not late yet.
        const bool prompt = e.outcome == Outcome::error && e.cacheStatus != CacheStatus::originFailed;
        if (inTime && (prompt || e.outcome == Outcome::cancelled)) return;
        const bool good = e.outcome == Outcome::noCopy || (served && inTime);
        const bool attributedToParents =
            a.highestTier == Tier::parents || e.cacheStatus == CacheStatus::filled;
        const HostIndex upper = a.source != kNoHost ? a.source : a.host;
        if (good && hosts_[upper].entry.role == Role::origin) originBudget_.deposit(kOriginSendsPerSuccess);

        const double failureWeight = good ? 0 : silent ? kUnansweredFailureWeight : 1;
        // Answers well in time raise the limit by more than those just in time.
        const double spare = 1 - seconds(e.elapsed) / std::max(1e-3, seconds(p.targetAt - p.arrived));
        if (good || attributedToParents) recordOutcome(now, limiters_[0], p, a, failureWeight, spare);
        if (!attributedToParents) recordOutcome(now, limiters_[1], p, a, failureWeight, spare);
    }

    void recordOutcome(Time now, ConcurrencyLimiter& limiter, const Pending& p, const Attempt& a,
                       double failureWeight, double spare) {
        (failureWeight > 0 ? limiter.failures : limiter.successes)
            .add(now, kLimiterAveragingTime, failureWeight > 0 ? failureWeight : 1);
        const double failureSum =
            limiter.failures.perSecond(now, kLimiterAveragingTime) * seconds(kLimiterAveragingTime);
        const double successSum =
            limiter.successes.perSecond(now, kLimiterAveragingTime) * seconds(kLimiterAveragingTime);
        if (failureWeight > 0 && failureSum >= kLimiterMinFailures &&
            failureSum > kLimiterFailureShare * (failureSum + successSum) && a.sentAt > limiter.decreasedAt) {
            limiter.limit =
                std::max(kMinConcurrencyLimit,
                         kLimiterDecreaseFactor * std::min(limiter.limit, limiter.inFlight + 1.0));
            limiter.decreasedAt = now;
        } else if (failureWeight <= 0 && limiter.limit < kUnlimitedConcurrency) {
            limiter.limit += kLimiterIncreasePerSuccess * std::max(0.0, spare);
        }
        if (limiter.limit >= 1) return;
        const double spread = 0.5 + unitInterval(randomState_ = mix(randomState_ + 1));
        // A refusal may take no time at all.
        const double took = seconds(std::max(overheadTime(p), now - a.sentAt));
        limiter.pausedUntil = now + fromSeconds(took * (1 / limiter.limit - 1) * spread);
    }

    // ----- sending -----

    void sendOrGiveUp(Time now, Pending& p, Actions& out) {
        const bool late = p.request.deadline - now <= fromSeconds(p.sendSeconds);
        if (late || static_cast<int>(p.attempts.size()) >= p.settings->maxAttempts)
            return giveUp(p, late ? GiveUpReason::noTime : GiveUpReason::attemptLimit, out);
        const Route route = chooseRoute(now, p);
        route.ok() ? send(now, p, route, out) : giveUp(p, GiveUpReason::noRoute, out);
    }

    void send(Time now, Pending& p, const Route& route, Actions& out) {
        Host& host = hosts_[route.host];
        const ClassSettings& c = p.classSettings();
        Send s;
        s.request = p.request.id;
        s.host = host.entry.name;
        s.timeout = p.request.deadline - now;
        s.withoutSource = host.entry.role == Role::origin;
        s.localKeepRank = p.keepRank;
        if (!s.withoutSource) {
            const HostIndex source = sourceOf(route);
            s.source = hosts_[source].entry.name;
            s.keepRank = host.entry.role == Role::cache ? route.keepRank : 0;
            s.maxCopyAge = maxCopyAgeFor(now, p, c);
            s.coalesceFill = settings_->fillCoalescing;
            s.sourceOnlyIfCached = route.sourceOnlyIfCached && host.entry.role == Role::cache;
            if (route.sourceOnlyIfCached && host.entry.role == Role::parent) s.source = host.entry.name;
            s.staleWhileRevalidate = c.freshFor.count() > 0 && p.inFilter;
            if (source != route.host) chargeColdBudget(now, hosts_[source], p);
        }
        chargeColdBudget(now, host, p);
        const bool hostHadRoom = linkUtilizationOf(now, host) < 1;
        ++host.attemptsInFlight;
        const int number = static_cast<int>(p.attempts.size());
        const Tier highestTier = s.withoutSource || (s.source != s.host && !route.sourceOnlyIfCached)
                                     ? Tier::origin
                                 : route.sourceOnlyIfCached ? Tier::parents
                                                            : Tier::caches;
        p.attempts.push_back(
            Attempt{route.host, route.source, now, true, true, highestTier, false, hostHadRoom});
        countInFlight(now, p.attempts.back(), 1);
        out.push_back(s);
        setTimers(now, p, number, out);
    }

    HostIndex sourceOf(const Route& route) const {
        if (route.source != kNoHost) return route.source;
        if (hosts_[route.host].entry.role != Role::parent) return route.host;
        return origins_.empty() ? route.host : origins_.front();
    }

    void chargeColdBudget(Time now, Host& host, const Pending& p) {
        if (host.entry.startedAt.count() > 0) host.coldSendSeconds.add(now, coldCharge(host, p));
    }

    // A purge limits the age of acceptable copies. The limit is at least 1 ns, since zero would mean any age.
    Time maxCopyAgeFor(Time now, const Pending& p, const ClassSettings& c) const {
        Time limit{0};
        if (c.freshFor.count() > 0) limit = c.freshFor + (p.acceptStale ? c.staleFor : Time{0});
        Time purgedAt = Time::min();
        if (const auto it = objectPurges_.find(p.request.object); it != objectPurges_.end())
            purgedAt = it->second;
        if (const auto it = groupPurges_.find(static_cast<std::uint64_t>(p.request.group));
            it != groupPurges_.end())
            purgedAt = std::max(purgedAt, it->second);
        if (purgedAt == Time::min()) return limit;
        const Time since = std::max(Time{1}, now - purgedAt - 1us);
        return limit.count() > 0 ? std::min(limit, since) : since;
    }

    // Sets one timer for when another attempt must start to meet the latency target, and one for when this
    // attempt is late.
    void setTimers(Time now, const Pending& p, int attempt, Actions& out) {
        const Time needed = fromSeconds(kSlowSendTimeMultiple * p.sendSeconds) + overheadTime(p);
        const Time at = std::max(now + needed, p.targetAt - needed);
        if ((p.settings->mayHedge || p.settings->mayCancel) && at + needed < p.request.deadline)
            setTimer(at - now, p, attempt, false, out);
        if (p.attempts.back().highestTier != Tier::caches)
            setTimer(p.targetAt - p.arrived + kMinTimerDelay, p, attempt, true, out);
    }

    void setTimer(Time delay, const Pending& p, int attempt, bool late, Actions& out) {
        timers_[nextTimer_] = {p.request.id, attempt, late};
        out.push_back(SetTimer{nextTimer_++, std::max(kMinTimerDelay, delay)});
    }

    bool answeredSince(const Attempt& a) const { return hosts_[a.host].lastAnswerAt > a.sentAt; }

    // Recorded when the attempt becomes late, not when it ends: under congestion that is seconds later, and
    // all that is sent meanwhile adds to the congestion. If the host has answered other requests since this
    // one was sent, its fill is slow, which weighs 1; otherwise it weighs as much as a missing answer.
    void attemptIsLate(Time now, const Pending& p, Attempt& a) {
        if (zoneLinkUtilization(now) > 1) return;
        a.countedLate = true;
        const double failureWeight = answeredSince(a) ? 1 : kUnansweredFailureWeight;
        recordOutcome(now, limiters_[0], p, a, failureWeight, 0);
        if (a.highestTier == Tier::origin) recordOutcome(now, limiters_[1], p, a, failureWeight, 0);
    }

    void attemptIsSlow(Time now, Pending& p, Attempt& a, int number, Actions& out) {
        // If the host answers other requests, its fill is slow, and a new fill would be slower still.
        const bool hostAnswers = answeredSince(a);
        a.wasSlow = true;
        if (!hostAnswers) recordFailure(now, a.host, kSlowAttemptFailureWeight);
        if (a.source != kNoHost && a.source != a.host)
            recordFailure(now, a.source, kSlowAttemptFailureWeight);
        if (hostAnswers || static_cast<int>(p.attempts.size()) >= p.settings->maxAttempts ||
            p.attemptsInFlight() > 1)
            return;
        if (p.classSettings().effect != Effect::safe) return;
        excludeHost(p, a.host);
        if (a.source != kNoHost) excludeHost(p, a.source);
        const Route route = chooseRoute(now, p);
        if (!route.ok() || !retryBudget_.tryTake()) return;
        if (p.settings->mayHedge) return send(now, p, route, out);
        p.retryAfterCancel = true;
        out.push_back(Cancel{p.request.id, number});
    }

    // ----- after an attempt -----

    static bool mayHaveRun(Outcome o) {
        return o != Outcome::rejected && o != Outcome::noConnection && o != Outcome::notSent &&
               o != Outcome::noCopy;
    }

    static bool isAnswerFromHost(Outcome o) {
        return o == Outcome::served || o == Outcome::noCopy || o == Outcome::error || o == Outcome::rejected;
    }

    static void excludeHost(Pending& p, HostIndex i) {
        if (std::count(p.excludedHosts.begin(), p.excludedHosts.end(), i) == 0) p.excludedHosts.push_back(i);
    }

    void retryOrGiveUp(Time now, Pending& p, bool ignoreForHealth, Actions& out) {
        if (!p.retryAfterCancel && !ignoreForHealth && !retryBudget_.tryTake())
            return giveUp(p, GiveUpReason::noRetryBudget, out);
        p.retryAfterCancel = false;
        p.acceptStale = true;
        sendOrGiveUp(now, p, out);
    }

    // Whether the earlier attempts, which may have run, allow one at this host.
    bool repeatAllowed(Time now, const Pending& p, const Host& host) const {
        const ClassSettings& c = p.classSettings();
        if (c.effect == Effect::safe) return true;
        for (const Attempt& a : p.attempts) {
            if (!a.inFlight && !a.mayHaveRun) continue;
            if (c.effect == Effect::unsafe) return false;
            const HostEntry& before = hosts_[a.host].entry;
            if (now - a.sentAt >= c.deduplicationWindow) return false;
            if (c.deduplicationScope == DeduplicationScope::zone && before.zone != host.entry.zone)
                return false;
            if (c.deduplicationScope == DeduplicationScope::cell && before.cell != host.entry.cell)
                return false;
        }
        return true;
    }

    bool refusalAllowed(const Pending& p) const {
        const ClassSettings& c = p.classSettings();
        if (c.effect == Effect::safe) return true;
        const bool perhapsRun = std::any_of(p.attempts.begin(), p.attempts.end(),
                                            [](const Attempt& a) { return a.inFlight || a.mayHaveRun; });
        return !perhapsRun || (c.effect == Effect::keyed && c.deduplicationScope == DeduplicationScope::all);
    }

    void giveUp(Pending& p, GiveUpReason why, Actions& out) {
        const Time retryAfter =
            p.settings->retryAfterSupported ? std::min(kRetryAfter, p.settings->maxRetryAfter) : Time{0};
        refusalAllowed(p) ? out.push_back(Refuse{p.request.id, retryAfter, why})
                          : out.push_back(Fail{p.request.id, why});
        markFinished(p, out);
        eraseIfDone(p.request.id);
    }

    void markFinished(Pending& p, Actions& out) {
        p.finished = true;
        cancelOthers(p, -1, out);
    }

    void cancelOthers(const Pending& p, int except, Actions& out) {
        if (!p.settings->mayCancel) return;
        for (int i = 0; i < static_cast<int>(p.attempts.size()); ++i)
            if (i != except && p.attempts[static_cast<std::size_t>(i)].inFlight)
                out.push_back(Cancel{p.request.id, i});
    }

    // A request is kept until all its attempts have ended, since their outcomes still update host health.
    void eraseIfDone(RequestId id) {
        const auto it = pending_.find(id);
        if (it != pending_.end() && it->second.finished && it->second.attemptsInFlight() == 0)
            pending_.erase(it);
    }

    // ----- health -----

    // Attributes an outcome to the host, to its source, or half to each where that is unknown.
    void updateHealth(Time now, Pending& p, const Attempt& a, const AttemptEnded& e) {
        const bool hasSource = a.source != kNoHost && a.source != a.host;
        switch (e.outcome) {
            case Outcome::served: {
                recordSuccess(a.host);
                const bool fetched = e.cacheStatus == CacheStatus::filled ||
                                     e.cacheStatus == CacheStatus::filledByOrigin ||
                                     e.cacheStatus == CacheStatus::joined;
                const Time overhead = overheadTime(p);
                if (p.sendSeconds > seconds(overhead) &&
                    seconds(e.elapsed - overhead) < kSlowSendTimeMultiple * p.sendSeconds) {
                    hosts_[a.host].fullPaceAt = now;
                    if (fetched) zoneLinkFullPaceAt_ = now;
                }
                if (hasSource && fetched) recordSuccess(a.source);
                if (e.sizeKb < 0) return;
                learnLinkTransfers(now, hosts_[a.host], p.sendSeconds);
                if (hasSource && fetched) learnLinkTransfers(now, hosts_[a.source], p.sendSeconds);
                return;
            }
            case Outcome::cancelled:
            case Outcome::notSent:
                return;
            case Outcome::noCopy:
                if (hasSource && a.highestTier == Tier::origin)
                    excludeHost(p, a.source);  // otherwise the source only lacks a copy
                return;
            case Outcome::noConnection:
            case Outcome::broken:
                if (e.ignoreForHealth && answeredSince(a))
                    return;  // may be retried at once over another connection
                return excludeAndRecordFailure(now, p, a.host, e.ignoreForHealth ? 0 : 1);
            default:
                break;
        }
        const double weight = e.ignoreForHealth ? 0 : a.wasSlow ? 1 - kSlowAttemptFailureWeight : 1;
        // This value and the later ones tell why a fill failed.
        if (e.cacheStatus >= CacheStatus::sourceRefused) {
            const bool atSource = hasSource && e.cacheStatus != CacheStatus::noFillPlace;
            const bool itsOwn = atSource && e.cacheStatus != CacheStatus::originFailed;
            return excludeAndRecordFailure(now, p, atSource ? a.source : a.host, itsOwn ? weight : 0);
        }
        excludeAndRecordFailure(now, p, a.host, hasSource ? weight / 2 : weight);
        if (hasSource) excludeAndRecordFailure(now, p, a.source, weight / 2);
    }

    void excludeAndRecordFailure(Time now, Pending& p, HostIndex i, double weight) {
        excludeHost(p, i);
        if (weight > 0) recordFailure(now, i, weight);
    }

    void recordFailure(Time now, HostIndex i, double weight) {
        Host& host = hosts_[i];
        host.failureShare += kOutcomeWeight * weight * (1 - host.failureShare);
        host.trialSuccesses = 0;
        if (host.ejected) {
            if (now < host.ejectedUntil) return;
            host.ejectionTime = std::min(2 * host.ejectionTime, kMaxBackoff);
            host.ejectedUntil = now + host.ejectionTime;
        } else if (host.failureShare > kEjectionFailureShare &&
                   host.failureShare >
                       std::min(kLostHostFailureShare, meanPeerFailureShare(i) + kEjectionMarginOverPeers)) {
            host.ejected = true;
            host.ejectedUntil = now + host.ejectionTime;
        }
    }

    // Mean failure share of the other parents for a parent, otherwise of the other caches, also for an origin
    // host.
    double meanPeerFailureShare(HostIndex i) const {
        const auto& group = hosts_[i].entry.role == Role::parent ? parents_ : caches_;
        double sum = 0;
        for (const HostIndex other : group) sum += other == i ? 0 : hosts_[other].failureShare;
        return group.size() > 1 ? sum / static_cast<double>(group.size() - 1) : 0;
    }

    void recordSuccess(HostIndex i) {
        Host& host = hosts_[i];
        host.failureShare -= kOutcomeWeight * host.failureShare;
        if (!host.ejected || ++host.trialSuccesses < kTrialSuccessesToReinstate) return;
        host.ejected = false;
        host.failureShare = 0;
        host.ejectionTime = kInitialBackoff;
        host.trialSuccesses = 0;
    }

    std::shared_ptr<const Settings> settings_;
    std::deque<Host> hosts_;  // never shrinks: indices stay valid, and slots are reused
    std::unordered_map<std::string, HostIndex> hostsByName_;
    std::vector<HostIndex> caches_, parents_, origins_;  // ready hosts; caches of this router's zone only
    std::vector<double> meanSendSeconds_;                // by class
    std::uint64_t randomState_;
    std::uint64_t drawSalt_;  // fixed, so that all draws within one window are equal
    LruMap<std::uint64_t, ObjectRecord> filter_{kFilterCapacity};
    std::unordered_map<RequestId, Pending> pending_;
    std::unordered_map<TimerId, std::tuple<RequestId, int, bool>>
        timers_;  // request, attempt, late (or slow)
    std::unordered_map<std::uint64_t, Time> objectPurges_, groupPurges_;
    std::deque<std::pair<Time, Purge>> purgeOrder_;
    ConcurrencyLimiter limiters_[2];  // of the parents, and of the origin
    TokenBucket retryBudget_{kRetryBurst, kRetryBurst};
    TokenBucket originBudget_{kOriginSendBurst, kOriginSendBurst};
    Time startedAt_{};
    TimerId nextTimer_ = 1;
    TimerId watchTimer_ = 0;
    double zoneLinkUtilization_ = 0;  // transfers divided by those that fit at full pace
    Time zoneLinkReportAt_ = -kLoadReportLifetime;
    DecayingMean meanFillsInFlight_;                // of this router
    Time zoneLinkFullPaceAt_ = -kFullPaceLifetime;  // of the last fill at full pace
};

Router::Router(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::start(Time now, Actions& out) { impl_->start(now, out); }
void Router::reconfigure(Settings settings) { impl_->reconfigure(std::move(settings)); }
void Router::handle(Time now, const HostList& event, Actions&) { impl_->applyList(now, event); }
void Router::handleListFailed(Time now, Actions& out) { impl_->listFailed(now, out); }
void Router::handle(Time now, const Request& event, Actions& out) { impl_->handleRequest(now, event, out); }
void Router::handle(Time now, const AttemptEnded& event, Actions& out) {
    impl_->attemptEnded(now, event, out);
}
void Router::handle(Time, const StreamStarted& event, Actions& out) { impl_->streamStarted(event, out); }
void Router::handle(Time now, const Purge& event, Actions&) { impl_->purged(now, event); }
void Router::handle(Time, const ProbeEnded&, Actions&) {}
void Router::handleClientGone(Time, RequestId request, Actions& out) { impl_->clientGone(request, out); }
void Router::handleTimer(Time now, TimerId timer, Actions& out) { impl_->timer(now, timer, out); }
LearnedState Router::learnedState(Time now) { return impl_->learnedState(now); }
void Router::restore(Time now, const LearnedState& known) { impl_->restore(now, known); }
std::size_t Router::hostSlots() const { return impl_->hostSlots(); }

}  // namespace lotuslead
