#include "decision_facade.hpp"

#include <algorithm>
#include <utility>

#include "../support/hash.hpp"

namespace lotuslead::core {

using std::chrono::duration_cast;

namespace {

// The longest that the start of a host may take to be reported.
constexpr std::chrono::minutes kMaxReportDelay{1};

HostEntry entryOf(const std::string& name, const DecisionFacade::ListedHost& host) {
    HostEntry entry;
    entry.name = name;
    entry.role = host.role;
    entry.zone = host.zone;
    entry.cell = host.cell;
    entry.weight = host.weight;
    entry.startedAt = host.startedAt;
    entry.readiness = host.readiness;
    return entry;
}

// Whatever the settings allow, a request of this gateway has at most one attempt in flight.
settings::DecodedSettings withoutHedging(settings::DecodedSettings decodedSettings) {
    decodedSettings.settings.mayHedge = false;
    return decodedSettings;
}

}  // namespace

DecisionFacade::DecisionFacade(settings::DecodedSettings decodedSettings, std::uint64_t seed, Micros now,
                               Micros unixClockOffset)
    : decodedSettings_(withoutHedging(std::move(decodedSettings))),
      router_(decodedSettings_.settings, seed),
      unixClockOffset_(unixClockOffset) {
    router_.start(routerTime(now), actions_);
    convertActions(now);
}

void DecisionFacade::reconfigure(settings::DecodedSettings decodedSettings) {
    decodedSettings_ = withoutHedging(std::move(decodedSettings));
    router_.reconfigure(settingsForAllProcesses());
}

void DecisionFacade::setProcessCount(int processes) {
    if (processes == std::exchange(processCount_, processes)) return;
    router_.reconfigure(settingsForAllProcesses());
}

// To the decision module, each process of a gateway is a router of its own.
Settings DecisionFacade::settingsForAllProcesses() const {
    Settings settings = decodedSettings_.settings;
    settings.routers = std::max(1, settings.routers) * processCount_;
    for (int& routers : settings.routersByZone) routers *= processCount_;
    return settings;
}

nlohmann::json DecisionFacade::exportState(Micros now) {
    using nlohmann::json;
    const LearnedState known = router_.learnedState(routerTime(now));
    json work = json::object(), objects = json::array(), hosts = json::object();
    for (std::size_t i = 0; i < known.meanSendSeconds.size(); ++i)
        work[decodedSettings_.classNames[i]] = known.meanSendSeconds[i];
    for (const auto& [name, object] : known.objects)
        objects.push_back({name, object.lastPart, object.manyViewers, object.sendSeconds});
    for (const NamedLearnedHost& h : known.hosts) {
        const ListedHost listed = findHost(h.name);
        hosts[h.name] = {
            h.failureShare,  h.ejected,         h.ejectedUntil.count(), h.ejectionTime.count(),
            h.linkTransfers, h.coldSendSeconds, listed.sinceMs,         listed.startedAt.count()};
    }
    return {{"startedAt", known.startedAt.count()}, {"work", work}, {"objects", objects}, {"hosts", hosts}};
}

// Times need no conversion: predecessor and successor read the monotonic clock of the same machine.
void DecisionFacade::importState(Micros now, const nlohmann::json& known) {
    LearnedState learnedState;
    const auto time = [](const nlohmann::json& value) { return Time{value.get<std::int64_t>()}; };
    learnedState.startedAt = time(known.at("startedAt"));
    for (const std::string& name : decodedSettings_.classNames)
        learnedState.meanSendSeconds.push_back(known.at("work").value(name, 0.0));
    for (const auto& o : known.at("objects"))
        learnedState.objects.push_back({o.at(0), {o.at(1), o.at(2).get<bool>(), o.at(3)}});
    for (const auto& [name, h] : known.at("hosts").items())
        learnedState.hosts.push_back(
            {{h.at(0), h.at(1).get<bool>(), time(h.at(2)), time(h.at(3)), h.at(4)}, name, h.at(5)});
    // A predecessor heard of these starts earlier, by the same monotonic clock.
    const auto& hosts = known.at("hosts");
    applyEarlierStarts(now, [&](const std::string& name, const ListedHost& host) {
        const auto entry = hosts.find(name);
        if (entry == hosts.end() || entry->size() < 8 || entry->at(6) != host.sinceMs) return host.startedAt;
        return std::max(Time{1}, time(entry->at(7)));
    });
    router_.restore(routerTime(now), learnedState);
}

// A host that is reported live has started only now. Dates of before that say otherwise are from before a
// step of the list's clock, and prove nothing any more.
void DecisionFacade::observeStartDates(Micros now, const settings::BusEvent& event, bool receivedLive) {
    std::int64_t newest = 0;
    for (const settings::ListedStore& store : event.stores)
        if (store.startedAtMs != findHost(store.name).sinceMs) newest = std::max(newest, store.startedAtMs);
    if (newest <= 0) return;
    if (receivedLive && listClock_.latestTimeOf(newest) < now - kMaxReportDelay) listClock_.forget();
    listClock_.observe(now, newest);
}

// Starts are taken to be as late as they can have been, which leads to the stricter slow start.
Time DecisionFacade::hostStartTime(Micros now, const settings::ListedStore& store, const ListedHost& before,
                                   bool receivedLive) const {
    if (store.startedAtMs <= 0) return Time{0};
    if (store.startedAtMs == before.sinceMs) return before.startedAt;
    const Micros latest = listClock_.latestTimeOf(store.startedAtMs);
    const bool reportedTooLate = receivedLive && latest < now - kMaxReportDelay;
    return std::max(Time{1}, routerTime(reportedTooLate ? now : latest));
}

void DecisionFacade::applyHostList(Micros now, const settings::BusEvent& event, bool receivedLive) {
    observeStartDates(now, event, receivedLive);
    HostList list;
    list.whole = event.isSnapshot;
    // A complete list names every host that stays; all others are gone.
    std::unordered_map<std::string, ListedHost> replaced;
    if (event.isSnapshot) replaced.swap(hosts_);
    const auto& before = event.isSnapshot ? replaced : hosts_;
    for (const settings::ListedStore& store : event.stores) {
        const auto known = before.find(store.name);
        ListedHost host;
        host.readiness = store.readiness;
        host.zone = decodedSettings_.zoneOf(store.zone);
        host.cell = store.cell;
        host.sinceMs = store.startedAtMs;
        host.startedAt =
            hostStartTime(now, store, known == before.end() ? ListedHost{} : known->second, receivedLive);
        host.role = decodedSettings_.roleOf(store.type);
        host.weight = store.weight;
        list.entries.push_back(entryOf(store.name, host));
        // No state is kept for hosts that are gone, or the table would grow without bound.
        if (store.readiness == Readiness::gone)
            hosts_.erase(store.name);
        else
            hosts_[store.name] = host;
    }
    router_.handle(routerTime(now), list, actions_);
    convertActions(now);
}

void DecisionFacade::initialListsComplete(Micros now) {
    applyEarlierStarts(now, [this](const std::string&, const ListedHost& host) {
        return std::max(Time{1}, routerTime(listClock_.latestTimeOf(host.sinceMs)));
    });
}

void DecisionFacade::applyEarlierStarts(Micros now, const StartOf& startOf) {
    HostList list;
    for (auto& [name, host] : hosts_) {
        if (host.sinceMs <= 0) continue;
        const Time start = startOf(name, host);
        if (start >= host.startedAt) continue;
        host.startedAt = start;
        list.entries.push_back(entryOf(name, host));
    }
    if (list.entries.empty()) return;
    router_.handle(routerTime(now), list, actions_);
    convertActions(now);
}

void DecisionFacade::applyPurge(Micros now, const settings::BusEvent& event, bool receivedLive) {
    if (receivedLive && event.purgedMs > 0) listClock_.observe(now, event.purgedMs);
    Purge purge;
    purge.object = event.purgedObject.empty() ? 0 : fingerprint(event.purgedObject);
    purge.group = event.purgedGroup;
    ReceivedPurge& received =
        event.purgedObject.empty() ? groupPurges_[event.purgedGroup] : objectPurges_[event.purgedObject];
    received.receivedAt = now;
    received.purgedMs = std::max(received.purgedMs, event.purgedMs);
    forgetOldPurges(now);
    router_.handle(routerTime(now), purge, actions_);
    convertActions(now);
}

// No attempt outlives its request, so every decision still in force was made with older purges known. The
// decision module has forgotten those purges too.
void DecisionFacade::forgetOldPurges(Micros now) {
    constexpr std::chrono::minutes kPurgeRetention{2};
    const Micros kept =
        kPurgeRetention + 2 * duration_cast<Micros>(decodedSettings_.settings.purgeSettleTime);
    if (now - lastPurgeSweep_ < kPurgeRetention) return;
    lastPurgeSweep_ = now;
    const auto old = [&](const auto& entry) { return now - entry.second.receivedAt > kept; };
    std::erase_if(objectPurges_, old);
    std::erase_if(groupPurges_, old);
}

std::optional<DecisionFacade::ReceivedPurge> DecisionFacade::lastPurgeOf(const Request& request) const {
    const auto object = objectPurges_.find(request.object);
    const auto group = groupPurges_.find(request.group);
    if (object == objectPurges_.end() && group == groupPurges_.end()) return {};
    if (object == objectPurges_.end()) return group->second;
    if (group == groupPurges_.end()) return object->second;
    return {{std::max(object->second.receivedAt, group->second.receivedAt),
             std::max(object->second.purgedMs, group->second.purgedMs)}};
}

void DecisionFacade::applyPurgeLimit(Micros now, const Request& request, Decision& send) const {
    const auto purge = lastPurgeOf(request);
    if (!purge) return;
    constexpr Micros kRounding{1000};
    send.lastPurgeMs = purge->purgedMs;
    send.maxCopyAgeFromPurge = send.maxCopyAge + kRounding >= now - purge->receivedAt;
}

std::int64_t DecisionFacade::unixMsOf(Micros when) const {
    return duration_cast<std::chrono::milliseconds>(when + unixClockOffset_).count();
}

Decision DecisionFacade::pick(Micros now, const Request& request) {
    lotuslead::Request event;
    event.id = request.id;
    event.classIndex = request.classIndex;
    event.object = request.object.empty() ? 0 : fingerprint(request.object);
    event.group = request.group;
    event.part = request.part;
    if (decodedSettings_.bytesPerKb > 0)
        event.sizeKb = static_cast<double>(request.span.size()) / decodedSettings_.bytesPerKb;
    event.deadline = routerTime(request.deadline);
    event.repeated = request.repeated;
    event.preferredHost = request.preferredHost.empty() ? 0 : fingerprint(request.preferredHost);
    event.write = decodedSettings_.settings.classes[static_cast<std::size_t>(request.classIndex)].uncacheable;
    attempts_[request.id] = 0;
    router_.handle(routerTime(now), event, actions_);
    for (Decision& decision : convertActions(now))
        if (decision.kind != DecisionKind::cancel) return decision;
    Decision none;
    none.request = request.id;
    return none;
}

std::vector<Decision> DecisionFacade::report(Micros now, const AttemptReport& report) {
    AttemptEnded ended;
    ended.request = report.request;
    ended.attempt = report.attempt;
    ended.outcome = report.outcome;
    ended.elapsed = report.elapsed;
    ended.cacheStatus = report.cacheStatus;
    ended.ignoreForHealth = report.ignoreForHealth;
    if (report.unchanged)
        ended.sizeKb = -1;
    else if (decodedSettings_.bytesPerKb > 0)
        ended.sizeKb = static_cast<double>(report.bytes) / decodedSettings_.bytesPerKb;
    ended.requestClosed = report.outcome == Outcome::served || report.servedLocally;
    if (ended.requestClosed) attempts_.erase(report.request);
    router_.handle(routerTime(now), ended, actions_);
    return convertActions(now);
}

std::vector<Decision> DecisionFacade::clientGone(Micros now, RequestId request) {
    attempts_.erase(request);
    router_.handleClientGone(routerTime(now), request, actions_);
    return convertActions(now);
}

std::vector<Decision> DecisionFacade::tick(Micros now) {
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const TimerId timer = timers_.begin()->second;
        timers_.erase(timers_.begin());
        router_.handleTimer(routerTime(now), timer, actions_);
    }
    return convertActions(now);
}

Micros DecisionFacade::nextTick() const { return timers_.empty() ? Micros::max() : timers_.begin()->first; }

bool DecisionFacade::purgedSince(const Request& request, Micros when) const {
    const auto purge = lastPurgeOf(request);
    return purge && purge->receivedAt >= when;
}

DecisionFacade::ListedHost DecisionFacade::findHost(const std::string& name) const {
    const auto found = hosts_.find(name);
    return found == hosts_.end() ? ListedHost{} : found->second;
}

std::vector<Decision> DecisionFacade::convertActions(Micros now) {
    std::vector<Decision> decisions;
    const auto convert = [&](const auto& action) {
        using Kind = std::decay_t<decltype(action)>;
        Decision decision;
        if constexpr (std::is_same_v<Kind, Send>) {
            decision.kind = DecisionKind::send;
            decision.request = action.request;
            decision.attempt = attempts_[action.request]++;
            decision.host = action.host;
            if (!action.withoutSource && action.source != action.host) decision.source = action.source;
            decision.keepRank = action.withoutSource ? 0 : action.keepRank;
            decision.localKeepRank = action.localKeepRank;
            decision.maxCopyAge = duration_cast<Micros>(action.maxCopyAge);
            // Must not be rounded down to zero, which means "any age".
            if (action.maxCopyAge.count() > 0 && decision.maxCopyAge.count() == 0)
                decision.maxCopyAge = Micros{1};
            decision.coalesceFill = action.coalesceFill;
            decision.sourceOnlyIfCached = action.sourceOnlyIfCached;
            decision.staleWhileRevalidate = action.staleWhileRevalidate;
            decision.timeout = duration_cast<Micros>(action.timeout);
            decision.pickedAt = now;
        } else if constexpr (std::is_same_v<Kind, Refuse>) {
            decision.kind = DecisionKind::refuse;
            decision.request = action.request;
            decision.retryAfter = duration_cast<Micros>(action.retryAfter);
            decision.why = action.why;
            attempts_.erase(action.request);
        } else if constexpr (std::is_same_v<Kind, Fail>) {
            decision.kind = DecisionKind::fail;
            decision.request = action.request;
            decision.why = action.why;
            attempts_.erase(action.request);
        } else if constexpr (std::is_same_v<Kind, Cancel>) {
            decision.kind = DecisionKind::cancel;
            decision.request = action.request;
            decision.attempt = action.attempt;
        } else if constexpr (std::is_same_v<Kind, SetTimer>) {
            timers_.emplace(now + duration_cast<Micros>(action.delay) + Micros{1}, action.timer);
            return;
        } else {
            return;  // lists are pushed and hosts are not probed here
        }
        decisions.push_back(std::move(decision));
    };
    for (const Action& action : actions_) std::visit(convert, action);
    actions_.clear();
    return decisions;
}

}  // namespace lotuslead::core
