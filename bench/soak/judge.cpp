#include "judge.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace lotuslead::soak {

using namespace std::chrono_literals;

namespace {

// The protocol's figures, with the slack that it gives; kScheduling is for a machine that is busy with the
// soak itself, which reports an event to its judge some time after it.
constexpr Millis kScheduling = 250ms;
constexpr Millis kAnswerLate = 500ms;
constexpr Millis kAfterClientEnd = 100ms;
constexpr Millis kDeadlineSlack = 150ms;
constexpr Millis kDrainGrace = 1000ms, kPurgeGrace = 500ms, kRuleSlack = 50ms;
constexpr Millis kMaxBusDelay = 7000ms;
constexpr Millis kKeyWindow = 3000ms;
constexpr Millis kNewConnections = 400ms;  // go on coming after SIGTERM
constexpr std::uint64_t kMaxReportedViolations = 60;
constexpr int kNoGateway = -1;

}  // namespace

const char* nameOf(Rule rule) {
    constexpr std::array<const char*, static_cast<std::size_t>(Rule::count_)> names{
        "lost",    "second_answer", "after_cancel", "late_attempt",  "two_attempts_out", "duplicate",
        "drained", "long_deadline", "stale_copy",   "wrong_content", "unnamed_copy",     "cold_budget",
        "crash",   "slow_end",      "slow_start",   "internal_check"};
    return names[static_cast<std::size_t>(rule)];
}

const char* nameOf(Excuse excuse) {
    constexpr std::array<const char*, static_cast<std::size_t>(Excuse::count_)> names{
        "gateway_killed", "late_connection", "crossed_a_close", "held_up", "never_sent"};
    return names[static_cast<std::size_t>(excuse)];
}

void Judge::sent(const std::string& trace, int gateway, RequestClass kind, Millis patience, bool namedCopy,
                 TimePoint connectedAt) {
    const std::lock_guard lock(mutex_);
    Request& request = requests_[trace];
    request.gateway = gateway;
    request.kind = kind;
    request.sentAt = Clock::now();
    request.connectedAt = connectedAt;
    request.patience = patience;
    request.namedCopy = namedCopy;
    ++totals_.requests;
}

void Judge::countsFromNow(const std::string& trace) {
    const std::lock_guard lock(mutex_);
    requests_[trace].sentAt = Clock::now();
}

void Judge::clientEnded(const std::string& trace) {
    const std::lock_guard lock(mutex_);
    requests_[trace].clientEndedAt = Clock::now();
}

void Judge::answered(const std::string& trace, const RespElements& answer,
                     const std::string& expectedPrefix) {
    const std::lock_guard lock(mutex_);
    Request& request = requests_[trace];
    const TimePoint now = Clock::now();
    if (++request.answers > 1) return report(Rule::secondAnswer, trace);
    const Millis held = stoppedTime(request.gateway, request.sentAt);
    if (request.clientEndedAt) {
        return checkAfterCancel(trace, request, answer, now, held);
    }
    if (now > request.sentAt + request.patience + kAnswerLate + kScheduling + held && !excuseOf(request))
        report(Rule::lost, trace + " answered too late by gateway " + std::to_string(request.gateway));
    if (answer[1] == "SHED") {
        ++totals_.refused;
        return checkRefusal(trace, request);
    }
    if (answer[1] != "SERVED") {
        ++totals_.failed;
        return;
    }
    checkServed(trace, request, answer, expectedPrefix);
}

// An answer that was under way may cross a CANCEL. One that was written by a process that stood still may
// have been decided on before.
void Judge::checkAfterCancel(const std::string& trace, const Request& request, const RespElements& answer,
                             TimePoint now, Millis held) {
    const auto late = std::chrono::duration_cast<Millis>(now - *request.clientEndedAt);
    if (late <= kScheduling) return;
    const std::string what = trace + " by gateway " + std::to_string(request.gateway) + ": " + answer[1] +
                             ", " + std::to_string(late.count()) + " ms after CANCEL, held up for " +
                             std::to_string(held.count()) + " ms";
    if (late > kScheduling + held) return report(Rule::afterCancel, what);
    excuse(Excuse::gatewayStopped);
    note("excused, after CANCEL: " + what);
}

void Judge::checkServed(const std::string& trace, const Request& request, const RespElements& answer,
                        const std::string& expectedPrefix) {
    if (answer.size() > 2 && answer[2].find("keep=1") != std::string::npos) {
        ++totals_.unchanged;
        if (!request.answeredCurrent || !request.namedCopy) report(Rule::unnamedCopy, trace);
        return;
    }
    ++totals_.served;
    const std::string body = answer.size() > 3 ? answer[3] : "";
    if (body.rfind(expectedPrefix, 0) != 0)
        return report(Rule::wrongContent, trace + " " + body.substr(0, 60));
    if (request.kind != RequestClass::page || request.attempts.empty()) return;
    const std::string entity = expectedPrefix.substr(0, expectedPrefix.find(':'));
    const std::int64_t mintedMs = std::atoll(body.c_str() + expectedPrefix.size());
    const auto purge = purges_.find(entity);
    if (purge == purges_.end() || mintedMs >= purge->second.atMs) return;
    if (request.attempts.back().arrivedAt > purge->second.binds + kScheduling)
        report(Rule::staleCopy,
               trace + " minted " + std::to_string(purge->second.atMs - mintedMs) + " ms before the purge");
}

void Judge::checkRefusal(const std::string& trace, const Request& request) {
    if (request.kind != RequestClass::order) return;
    for (const Attempt& attempt : request.attempts)
        if (attempt.end != AttemptEnd::neverRan)
            return report(Rule::duplicate, trace + " was refused, and may have run at " + attempt.store);
}

void Judge::unanswered(const std::string& trace, const char* how) {
    const std::lock_guard lock(mutex_);
    const Request& request = requests_[trace];
    if (request.answers > 0 || request.clientEndedAt) return;
    if (const auto why = excuseOf(request)) return excuse(*why);
    std::string what =
        trace + " " + how + ", gateway " + std::to_string(request.gateway) + ", " +
        std::to_string(std::chrono::duration_cast<Millis>(Clock::now() - request.sentAt).count()) + " of " +
        std::to_string(request.patience.count()) + " ms, attempts";
    for (const Attempt& attempt : request.attempts) what += " " + attempt.store;
    report(Rule::lost, what);
}

void Judge::goesAgain(const std::string& trace, Excuse why) {
    const std::lock_guard lock(mutex_);
    requests_[trace].clientEndedAt = Clock::now();
    excuse(why);
}

Millis Judge::age(const std::string& trace) const {
    const std::lock_guard lock(mutex_);
    return std::chrono::duration_cast<Millis>(Clock::now() - requests_.at(trace).sentAt);
}

std::optional<Excuse> Judge::excuseOf(const Request& request) const {
    // An answer that was due before the kill is owed all the same.
    const TimePoint due = request.sentAt + request.patience + kAnswerLate + kScheduling;
    if (const auto found = dead_.find(request.gateway); found != dead_.end())
        for (const Period& dead : found->second)
            if (dead.since < due && request.sentAt < dead.until) return Excuse::gatewayKilled;
    if (const auto found = leaving_.find(request.gateway); found != leaving_.end())
        for (const Period& leaving : found->second)
            if (request.connectedAt > leaving.since + kNewConnections && request.connectedAt < leaving.until)
                return Excuse::lateConnection;
    return {};
}

int Judge::attemptArrived(const std::string& trace, const std::string& store, std::int64_t maxMs,
                          const std::string& source, bool seenLate) {
    const std::lock_guard lock(mutex_);
    const auto found = requests_.find(trace);
    if (found == requests_.end()) {
        report(Rule::wrongContent, "a store was asked for " + trace + ", which no client sent");
        return -1;
    }
    Request& request = found->second;
    const TimePoint now = Clock::now();
    ++totals_.attempts;
    if (!seenLate) checkTimes(trace, request, store, maxMs, source, now);
    checkRepeat(trace, request, now, seenLate);
    request.attempts.push_back({store, now, {}, AttemptEnd::out, seenLate});
    return static_cast<int>(request.attempts.size()) - 1;
}

void Judge::checkTimes(const std::string& trace, const Request& request, const std::string& store,
                       std::int64_t maxMs, const std::string& source, TimePoint now) {
    const auto millis = [](auto time) { return std::chrono::duration_cast<Millis>(time).count(); };
    // A stop that is over by now may have come between the decision and the first byte, once.
    const Millis held = stoppedTime(request.gateway, now - kScheduling);
    if (request.clientEndedAt && now > *request.clientEndedAt + kAfterClientEnd + kScheduling + held)
        report(Rule::lateAttempt, trace + " at " + store + " by gateway " + std::to_string(request.gateway) +
                                      ", " + std::to_string(millis(now - *request.clientEndedAt)) +
                                      " ms after its client's end");
    const auto left = millis(request.sentAt + request.patience - now);
    const Millis stalled = stoppedTime(kNoGateway, now - kScheduling);
    if (maxMs > left + (kDeadlineSlack + kScheduling + stalled).count())
        report(Rule::longDeadline, trace + " at " + store + " by gateway " + std::to_string(request.gateway) +
                                       ": " + std::to_string(maxMs) + " ms told, " + std::to_string(left) +
                                       " ms left of " + std::to_string(request.patience.count()) +
                                       ", on a connection " +
                                       std::to_string(millis(now - request.connectedAt)) +
                                       " ms old, attempt " + std::to_string(request.attempts.size() + 1));
    for (const std::string& name : {store, source}) {
        const auto withdrawn = withdrawnAt_.find(name);
        if (!name.empty() && withdrawn != withdrawnAt_.end() && now > withdrawn->second + kScheduling + held)
            report(Rule::drainedStore, trace + " by gateway " + std::to_string(request.gateway) + " at " +
                                           store + (name == store ? "" : " with source " + name));
    }
}

void Judge::checkRepeat(const std::string& trace, const Request& request, TimePoint now, bool seenLate) {
    for (const Attempt& earlier : request.attempts) {
        if (earlier.end == AttemptEnd::neverRan) continue;
        if (request.kind == RequestClass::order)
            report(Rule::duplicate, trace + " ran perhaps at " + earlier.store + " before");
        if (!seenLate && request.kind == RequestClass::checkout &&
            now > earlier.arrivedAt + kKeyWindow + kRuleSlack + kScheduling)
            report(Rule::duplicate, trace + " after the window of its key");
    }
}

void Judge::answeredCurrent(const std::string& trace) {
    const std::lock_guard lock(mutex_);
    requests_[trace].answeredCurrent = true;
}

void Judge::attemptEnded(const std::string& trace, int attempt, AttemptEnd end, bool seenLate) {
    const std::lock_guard lock(mutex_);
    if (attempt < 0) return;
    Request& request = requests_[trace];
    Attempt& ended = request.attempts[static_cast<std::size_t>(attempt)];
    ended.end = end;
    ended.endedAt = Clock::now();
    if (seenLate) return;
    // A later attempt that arrived long before this one's end: both were out.
    for (std::size_t i = static_cast<std::size_t>(attempt) + 1; i < request.attempts.size(); ++i)
        if (!request.attempts[i].arrivalSeenLate &&
            ended.endedAt >
                request.attempts[i].arrivedAt + kScheduling + stoppedTime(request.gateway, request.sentAt))
            report(Rule::twoAttemptsOut, trace + " by gateway " + std::to_string(request.gateway) + " at " +
                                             ended.store + " and " + request.attempts[i].store);
}

void Judge::killed(int gateway) {
    const std::lock_guard lock(mutex_);
    dead_[gateway].push_back({Clock::now()});
}

void Judge::leaves(int gateway) {
    const std::lock_guard lock(mutex_);
    leaving_[gateway].push_back({Clock::now()});
}

void Judge::servesAgain(int gateway) {
    const std::lock_guard lock(mutex_);
    for (auto* periods : {&dead_[gateway], &leaving_[gateway]})
        if (!periods->empty() && periods->back().until == TimePoint::max())
            periods->back().until = Clock::now();
}

void Judge::stopped(int gateway, Millis time) {
    const std::lock_guard lock(mutex_);
    stops_[gateway].push_back({Clock::now(), time});
}

void Judge::stalled(Millis time) {
    note("this program stood still for " + std::to_string(time.count()) + " ms");
    const std::lock_guard lock(mutex_);
    stalls_.push_back({Clock::now(), time});
}

Millis Judge::stoppedTime(int gateway, TimePoint since) const {
    const auto found = stops_.find(gateway);
    Millis sum{};
    for (const Stop& stall : stalls_)
        if (stall.endedAt + kScheduling > since) sum += stall.time;
    if (found == stops_.end()) return sum;
    for (const Stop& stop : found->second)
        if (stop.endedAt + kScheduling > since) sum += stop.time;
    return sum;
}

TimePoint Judge::latestBusDelivery() const {
    const TimePoint now = Clock::now();
    return now < busFaultUntil_ ? now + kMaxBusDelay : now;
}

void Judge::withdrawnFromList(const std::string& store) {
    const std::lock_guard lock(mutex_);
    withdrawnAt_[store] = latestBusDelivery() + kDrainGrace + kRuleSlack;
}

void Judge::listedAgain(const std::string& store) {
    const std::lock_guard lock(mutex_);
    withdrawnAt_.erase(store);
}

bool Judge::busMayBeLate() const {
    const std::lock_guard lock(mutex_);
    return Clock::now() < busFaultUntil_;
}

void Judge::busFault(Millis time) {
    const std::lock_guard lock(mutex_);
    // Events sent shortly before may not have been received either.
    for (auto& [store, at] : withdrawnAt_)
        if (at > Clock::now()) at += kMaxBusDelay;
    for (auto& [entity, purge] : purges_)
        if (purge.binds > Clock::now()) purge.binds += kMaxBusDelay;
    busFaultUntil_ = std::max(busFaultUntil_, Clock::now() + time + 1s);
}

void Judge::purged(const std::string& entity, std::int64_t purgeMs) {
    const std::lock_guard lock(mutex_);
    purges_[entity] = {purgeMs, latestBusDelivery() + kPurgeGrace + kRuleSlack};
}

void Judge::violation(Rule rule, const std::string& what) {
    const std::lock_guard lock(mutex_);
    report(rule, what);
}

void Judge::note(const std::string& event) const {
    if (!timeline_) return;
    const std::chrono::duration<double> at = Clock::now() - begun_;
    std::printf("%.3f event %s\n", at.count(), event.c_str());
}

void Judge::report(Rule rule, const std::string& what) {
    ++totals_.violations[static_cast<std::size_t>(rule)];
    std::uint64_t all = 0;
    for (const std::uint64_t count : totals_.violations) all += count;
    if (all > kMaxReportedViolations) return;
    const std::chrono::duration<double> at = Clock::now() - begun_;
    std::printf("%.3f violation %s: %s\n", at.count(), nameOf(rule), what.c_str());
}

Judge::Totals Judge::totals() const {
    const std::lock_guard lock(mutex_);
    return totals_;
}

std::uint64_t Judge::violations() const {
    std::uint64_t all = 0;
    for (const std::uint64_t count : totals().violations) all += count;
    return all;
}

}  // namespace lotuslead::soak
