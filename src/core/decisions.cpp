#include "decisions.hpp"

#include <algorithm>
#include <utility>

#include "../support/hash.hpp"

namespace lotuslead::core {

using std::chrono::duration_cast;

namespace {

// Whatever a site allows, a request of the real gateway has one attempt out at a time.
settings::Vocabulary withoutSecondCopies(settings::Vocabulary words) {
    words.settings.mayHedge = false;
    return words;
}

}  // namespace

Decisions::Decisions(settings::Vocabulary words, std::uint64_t seed, Micros now, Micros unixAhead)
    : words_(withoutSecondCopies(std::move(words))), router_(words_.settings, seed), unixAhead_(unixAhead) {
    router_.start(moduleTime(now), actions_);
    collect(now);
}

void Decisions::reconfigure(settings::Vocabulary words) {
    words_ = withoutSecondCopies(std::move(words));
    router_.reconfigure(shared());
}

void Decisions::share(int processes) {
    if (processes == std::exchange(processes_, processes)) return;
    router_.reconfigure(shared());
}

// To the module the processes of a gateway are so many routers.
Settings Decisions::shared() const {
    Settings settings = words_.settings;
    settings.routers = std::max(1, settings.routers) * processes_;
    for (int& routers : settings.routersByZone) routers *= processes_;
    return settings;
}

nlohmann::json Decisions::handOver(Micros now) {
    using nlohmann::json;
    const LearnedState known = router_.learnedState(moduleTime(now));
    json work = json::object(), objects = json::array(), hosts = json::object();
    for (std::size_t i = 0; i < known.meanSendSeconds.size(); ++i)
        work[words_.classNames[i]] = known.meanSendSeconds[i];
    for (const auto& [name, object] : known.objects)
        objects.push_back({name, object.lastPart, object.manyViewers, object.sendSeconds});
    for (const NamedLearnedHost& h : known.hosts)
        hosts[h.name] = {h.failureShare,         h.ejected,       h.ejectedUntil.count(),
                         h.ejectionTime.count(), h.linkTransfers, h.coldSendSeconds};
    return {{"startedAt", known.startedAt.count()}, {"work", work}, {"objects", objects}, {"hosts", hosts}};
}

// Both read the same machine's monotonic clock.
void Decisions::takeOver(Micros now, const nlohmann::json& known) {
    LearnedState learnedState;
    const auto time = [](const nlohmann::json& value) { return Time{value.get<std::int64_t>()}; };
    learnedState.startedAt = time(known.at("startedAt"));
    for (const std::string& name : words_.classNames)
        learnedState.meanSendSeconds.push_back(known.at("work").value(name, 0.0));
    for (const auto& o : known.at("objects"))
        learnedState.objects.push_back({o.at(0), {o.at(1), o.at(2).get<bool>(), o.at(3)}});
    for (const auto& [name, h] : known.at("hosts").items())
        learnedState.hosts.push_back(
            {{h.at(0), h.at(1).get<bool>(), time(h.at(2)), time(h.at(3)), h.at(4)}, name, h.at(5)});
    router_.restore(moduleTime(now), learnedState);
}

// The list's clock and ours may be far apart: ours is read once, at the start, and may have been stepped.
// What it can't be is kept out: a start that is still to come, and one of long ago that is news now. Either
// counts as a start of this moment, which is the stricter end.
Time Decisions::startOf(Micros now, const settings::ListedStore& store, const ListedHost& before,
                        bool heardLive) const {
    constexpr std::chrono::minutes kLongAgo{1};
    if (store.sinceMs <= 0) return Time{0};
    if (store.sinceMs == before.sinceMs) return before.startedAt;
    const Micros told = std::chrono::milliseconds{store.sinceMs} - unixAhead_;
    const bool impossible = told > now || (heardLive && told < now - kLongAgo);
    return std::max(Time{1}, moduleTime(impossible ? now : told));
}

void Decisions::list(Micros now, const settings::BusEvent& event, bool heardLive) {
    HostList list;
    list.whole = event.whole;
    // A whole list names hosts that stay.
    std::unordered_map<std::string, ListedHost> replaced;
    if (event.whole) replaced.swap(hosts_);
    const auto& before = event.whole ? replaced : hosts_;
    for (const settings::ListedStore& store : event.stores) {
        HostEntry entry;
        entry.name = store.name;
        entry.role = words_.roleOf(store.shape);
        entry.zone = words_.zoneOf(store.zone);
        entry.cell = store.cell;
        entry.weight = store.weight;
        entry.readiness = store.readiness;
        const auto known = before.find(store.name);
        entry.startedAt =
            startOf(now, store, known == before.end() ? ListedHost{} : known->second, heardLive);
        // Nothing is kept of hosts that are gone: on a long day there is no end of them.
        if (store.readiness == Readiness::gone)
            hosts_.erase(store.name);
        else
            hosts_[store.name] = {store.readiness, entry.zone, entry.cell, store.sinceMs, entry.startedAt};
        list.entries.push_back(std::move(entry));
    }
    router_.handle(moduleTime(now), list, actions_);
    collect(now);
}

void Decisions::purge(Micros now, const settings::BusEvent& event) {
    Purge purge;
    purge.object = event.purgedObject.empty() ? 0 : fingerprint(event.purgedObject);
    purge.group = event.purgedGroup;
    HeardPurge& heard =
        event.purgedObject.empty() ? groupPurges_[event.purgedGroup] : objectPurges_[event.purgedObject];
    heard.heardAt = now;
    heard.atMs = std::max(heard.atMs, event.purgedMs);
    forgetOldPurges(now);
    router_.handle(moduleTime(now), purge, actions_);
    collect(now);
}

// No send waits longer than its request may, so older purges are known to every pick that still counts; and
// the module has forgotten them.
void Decisions::forgetOldPurges(Micros now) {
    constexpr std::chrono::minutes kLongEnough{2};
    const Micros kept = kLongEnough + 2 * duration_cast<Micros>(words_.settings.purgeSettleTime);
    if (now - purgesSwept_ < kLongEnough) return;
    purgesSwept_ = now;
    const auto old = [&](const auto& entry) { return now - entry.second.heardAt > kept; };
    std::erase_if(objectPurges_, old);
    std::erase_if(groupPurges_, old);
}

std::optional<Decisions::HeardPurge> Decisions::lastPurgeOf(const Request& request) const {
    const auto object = objectPurges_.find(request.object);
    const auto group = groupPurges_.find(request.group);
    if (object == objectPurges_.end() && group == groupPurges_.end()) return {};
    if (object == objectPurges_.end()) return group->second;
    if (group == groupPurges_.end()) return object->second;
    return {{std::max(object->second.heardAt, group->second.heardAt),
             std::max(object->second.atMs, group->second.atMs)}};
}

void Decisions::limitByPurge(Micros now, const Request& request, Verdict& send) const {
    const auto purge = lastPurgeOf(request);
    if (!purge) return;
    constexpr Micros kRounding{1000};
    send.purgedMs = purge->atMs;
    send.oldestByPurge = send.oldest + kRounding >= now - purge->heardAt;
}

std::int64_t Decisions::unixMsOf(Micros when) const {
    return duration_cast<std::chrono::milliseconds>(when + unixAhead_).count();
}

Verdict Decisions::pick(Micros now, const Request& request) {
    lotuslead::Request asked;
    asked.id = request.id;
    asked.classIndex = request.classIndex;
    asked.object = request.object.empty() ? 0 : fingerprint(request.object);
    asked.group = request.group;
    asked.part = request.part;
    asked.deadline = moduleTime(request.deadline);
    asked.repeated = request.repeated;
    asked.write = words_.settings.classes[static_cast<std::size_t>(request.classIndex)].uncacheable;
    attempts_[request.id] = 0;
    router_.handle(moduleTime(now), asked, actions_);
    for (Verdict& verdict : collect(now))
        if (verdict.verb != Verb::cancel) return verdict;
    Verdict none;
    none.request = request.id;
    return none;
}

std::vector<Verdict> Decisions::report(Micros now, const AttemptReport& report) {
    AttemptEnded ended;
    ended.request = report.request;
    ended.attempt = report.attempt;
    ended.outcome = report.outcome;
    ended.elapsed = report.elapsed;
    ended.cacheStatus = report.note;
    ended.blameless = report.blameless;
    if (report.unchanged)
        ended.sizeKb = -1;
    else if (words_.bytesPerKb > 0)
        ended.sizeKb = static_cast<double>(report.bytes) / words_.bytesPerKb;
    ended.requestClosed = report.outcome == Outcome::served || report.answered;
    if (ended.requestClosed) attempts_.erase(report.request);
    router_.handle(moduleTime(now), ended, actions_);
    return collect(now);
}

std::vector<Verdict> Decisions::clientGone(Micros now, RequestId request) {
    attempts_.erase(request);
    router_.handleClientGone(moduleTime(now), request, actions_);
    return collect(now);
}

std::vector<Verdict> Decisions::tick(Micros now) {
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const TimerId timer = timers_.begin()->second;
        timers_.erase(timers_.begin());
        router_.handleTimer(moduleTime(now), timer, actions_);
    }
    return collect(now);
}

Micros Decisions::nextTick() const { return timers_.empty() ? Micros::max() : timers_.begin()->first; }

bool Decisions::purgedSince(const Request& request, Micros when) const {
    const auto purge = lastPurgeOf(request);
    return purge && purge->heardAt >= when;
}

Decisions::ListedHost Decisions::hostOf(const std::string& name) const {
    const auto found = hosts_.find(name);
    return found == hosts_.end() ? ListedHost{} : found->second;
}

std::vector<Verdict> Decisions::collect(Micros now) {
    std::vector<Verdict> verdicts;
    const auto take = [&](const auto& action) {
        using Kind = std::decay_t<decltype(action)>;
        Verdict verdict;
        if constexpr (std::is_same_v<Kind, Send>) {
            verdict.verb = Verb::send;
            verdict.request = action.request;
            verdict.attempt = attempts_[action.request]++;
            verdict.host = action.host;
            if (!action.withoutSource && action.source != action.host) verdict.source = action.source;
            verdict.keepRank = action.withoutSource ? 0 : action.keepRank;
            verdict.rank = action.ownCopyRank;
            verdict.oldest = duration_cast<Micros>(action.maxCopyAge);
            // Rounded down to nothing it would mean "any age".
            if (action.maxCopyAge.count() > 0 && verdict.oldest.count() == 0) verdict.oldest = Micros{1};
            verdict.join = action.coalesce;
            verdict.heldOnly = action.sourceOnlyIfCached;
            verdict.renew = action.refreshInBackground;
            verdict.timeout = duration_cast<Micros>(action.timeout);
            verdict.pickedAt = now;
        } else if constexpr (std::is_same_v<Kind, Refuse>) {
            verdict.verb = Verb::refuse;
            verdict.request = action.request;
            verdict.pause = duration_cast<Micros>(action.retryIn);
            verdict.why = action.why;
            attempts_.erase(action.request);
        } else if constexpr (std::is_same_v<Kind, Fail>) {
            verdict.verb = Verb::fail;
            verdict.request = action.request;
            verdict.why = action.why;
            attempts_.erase(action.request);
        } else if constexpr (std::is_same_v<Kind, Cancel>) {
            verdict.verb = Verb::cancel;
            verdict.request = action.request;
            verdict.attempt = action.attempt;
        } else if constexpr (std::is_same_v<Kind, SetTimer>) {
            timers_.emplace(now + duration_cast<Micros>(action.delay) + Micros{1}, action.timer);
            return;
        } else {
            return;  // lists are pushed and nothing is probed on this deployment
        }
        verdicts.push_back(std::move(verdict));
    };
    for (const Action& action : actions_) std::visit(take, action);
    actions_.clear();
    return verdicts;
}

}  // namespace lotuslead::core
