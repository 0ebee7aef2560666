#include "judge.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace lotuslead::soak {

using namespace std::chrono_literals;

namespace {

// The protocol's limits, with the slack that it allows. kSchedulingSlack is for a machine that is busy with
// the soak itself: the judge learns of an event some time after it.
constexpr Millis kSchedulingSlack = 250ms;
constexpr Millis kAnswerGrace = 500ms;
constexpr Millis kAttemptAfterClientEndGrace = 100ms;
constexpr Millis kDeadlineSlack = 150ms;
constexpr Millis kDrainGrace = 1000ms, kPurgeGrace = 500ms, kRuleSlack = 50ms;
constexpr Millis kMaxBusDelay = 7000ms;
constexpr Millis kRepeatWindow = 3000ms;
constexpr Millis kLateConnectionGrace = 400ms;  // new connections still arrive this long after SIGTERM
constexpr std::uint64_t kMaxPrintedViolations = 60;
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

void Judge::sent(const std::string& trace, int gateway, RequestClass kind, Millis timeout, bool conditional,
                 TimePoint connectedAt) {
    const std::lock_guard lock(mutex_);
    Request& request = requests_[trace];
    request.gateway = gateway;
    request.kind = kind;
    request.sentAt = Clock::now();
    request.connectedAt = connectedAt;
    request.timeout = timeout;
    request.conditional = conditional;
    ++totals_.requests;
}

void Judge::lastByteSent(const std::string& trace) {
    const std::lock_guard lock(mutex_);
    requests_[trace].sentAt = Clock::now();
}

void Judge::requestAbandoned(const std::string& trace) {
    const std::lock_guard lock(mutex_);
    requests_[trace].abandonedAt = Clock::now();
}

void Judge::answered(const std::string& trace, const RespMessage& answer, const std::string& expectedPrefix) {
    const std::lock_guard lock(mutex_);
    Request& request = requests_[trace];
    const TimePoint now = Clock::now();
    if (++request.answers > 1) return report(Rule::secondAnswer, trace);
    const Millis held = stoppedTime(request.gateway, request.sentAt);
    if (request.abandonedAt) {
        return checkAfterCancel(trace, request, answer, now, held);
    }
    if (now > request.sentAt + request.timeout + kAnswerGrace + kSchedulingSlack + held && !excuseOf(request))
        report(Rule::noAnswerInTime,
               trace + " answered too late by gateway " + std::to_string(request.gateway));
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

// An answer in flight may cross a CANCEL. An answer that was written by a stopped process may have been
// decided before the stop.
void Judge::checkAfterCancel(const std::string& trace, const Request& request, const RespMessage& answer,
                             TimePoint now, Millis held) {
    const auto late = std::chrono::duration_cast<Millis>(now - *request.abandonedAt);
    if (late <= kSchedulingSlack) return;
    const std::string what = trace + " by gateway " + std::to_string(request.gateway) + ": " + answer[1] +
                             ", " + std::to_string(late.count()) + " ms after CANCEL, gateway stopped for " +
                             std::to_string(held.count()) + " ms";
    if (late > kSchedulingSlack + held) return report(Rule::answerAfterCancel, what);
    countExcuse(Excuse::gatewayStopped);
    logEvent("excused, after CANCEL: " + what);
}

void Judge::checkServed(const std::string& trace, const Request& request, const RespMessage& answer,
                        const std::string& expectedPrefix) {
    if (answer.size() > 2 && answer[2].find("keep=1") != std::string::npos) {
        ++totals_.unchanged;
        if (!request.copyConfirmed || !request.conditional) report(Rule::unconfirmedCopy, trace);
        return;
    }
    ++totals_.served;
    const std::string body = answer.size() > 3 ? answer[3] : "";
    if (body.rfind(expectedPrefix, 0) != 0)
        return report(Rule::wrongContent, trace + " " + body.substr(0, 60));
    if (request.kind != RequestClass::page || request.attempts.empty()) return;
    const std::string entity = expectedPrefix.substr(0, expectedPrefix.find(':'));
    const std::int64_t createdMs = std::atoll(body.c_str() + expectedPrefix.size());
    const auto purge = purges_.find(entity);
    if (purge == purges_.end() || createdMs >= purge->second.atMs) return;
    if (request.attempts.back().arrivedAt > purge->second.effectiveAt + kSchedulingSlack)
        report(Rule::staleCopy,
               trace + " created " + std::to_string(purge->second.atMs - createdMs) + " ms before the purge");
}

void Judge::checkRefusal(const std::string& trace, const Request& request) {
    if (request.kind != RequestClass::order) return;
    for (const Attempt& attempt : request.attempts)
        if (attempt.end != AttemptEnd::neverRan)
            return report(Rule::duplicate,
                          trace + " was refused although it may have run at " + attempt.store);
}

void Judge::unanswered(const std::string& trace, const char* how) {
    const std::lock_guard lock(mutex_);
    const Request& request = requests_[trace];
    if (request.answers > 0 || request.abandonedAt) return;
    if (const auto why = excuseOf(request)) return countExcuse(*why);
    std::string what =
        trace + " " + how + ", gateway " + std::to_string(request.gateway) + ", " +
        std::to_string(std::chrono::duration_cast<Millis>(Clock::now() - request.sentAt).count()) + " of " +
        std::to_string(request.timeout.count()) + " ms, attempts";
    for (const Attempt& attempt : request.attempts) what += " " + attempt.store;
    report(Rule::noAnswerInTime, what);
}

void Judge::excusedRetry(const std::string& trace, Excuse why) {
    const std::lock_guard lock(mutex_);
    requests_[trace].abandonedAt = Clock::now();
    countExcuse(why);
}

Millis Judge::age(const std::string& trace) const {
    const std::lock_guard lock(mutex_);
    return std::chrono::duration_cast<Millis>(Clock::now() - requests_.at(trace).sentAt);
}

std::optional<Excuse> Judge::excuseOf(const Request& request) const {
    // A kill does not excuse an answer that was due before it.
    const TimePoint due = request.sentAt + request.timeout + kAnswerGrace + kSchedulingSlack;
    if (const auto found = deadPeriods_.find(request.gateway); found != deadPeriods_.end())
        for (const Period& dead : found->second)
            if (dead.since < due && request.sentAt < dead.until) return Excuse::gatewayKilled;
    if (const auto found = shutdownPeriods_.find(request.gateway); found != shutdownPeriods_.end())
        for (const Period& leaving : found->second)
            if (request.connectedAt > leaving.since + kLateConnectionGrace &&
                request.connectedAt < leaving.until)
                return Excuse::lateConnection;
    return {};
}

int Judge::attemptArrived(const std::string& trace, const std::string& store, std::int64_t attemptTimeoutMs,
                          const std::string& source, bool observedLate) {
    const std::lock_guard lock(mutex_);
    const auto found = requests_.find(trace);
    if (found == requests_.end()) {
        report(Rule::wrongContent, "a store was asked for " + trace + ", which no client requested");
        return -1;
    }
    Request& request = found->second;
    const TimePoint now = Clock::now();
    ++totals_.attempts;
    if (!observedLate) checkAttemptTiming(trace, request, store, attemptTimeoutMs, source, now);
    checkDuplicate(trace, request, now, observedLate);
    request.attempts.push_back({store, now, {}, AttemptEnd::inFlight, observedLate});
    return static_cast<int>(request.attempts.size()) - 1;
}

void Judge::checkAttemptTiming(const std::string& trace, const Request& request, const std::string& store,
                               std::int64_t attemptTimeoutMs, const std::string& source, TimePoint now) {
    const auto millis = [](auto time) { return std::chrono::duration_cast<Millis>(time).count(); };
    // A stop that has ended may have come between the gateway's decision and the first byte it sent.
    const Millis held = stoppedTime(request.gateway, now - kSchedulingSlack);
    if (request.abandonedAt &&
        now > *request.abandonedAt + kAttemptAfterClientEndGrace + kSchedulingSlack + held)
        report(Rule::attemptAfterClientEnd,
               trace + " at " + store + " by gateway " + std::to_string(request.gateway) + ", " +
                   std::to_string(millis(now - *request.abandonedAt)) + " ms after its client gave it up");
    const auto left = millis(request.sentAt + request.timeout - now);
    const Millis stalled = stoppedTime(kNoGateway, now - kSchedulingSlack);
    if (attemptTimeoutMs > left + (kDeadlineSlack + kSchedulingSlack + stalled).count())
        report(Rule::longDeadline, trace + " at " + store + " by gateway " + std::to_string(request.gateway) +
                                       ": " + std::to_string(attemptTimeoutMs) + " ms given, " +
                                       std::to_string(left) + " ms left of " +
                                       std::to_string(request.timeout.count()) + ", on a connection " +
                                       std::to_string(millis(now - request.connectedAt)) +
                                       " ms old, attempt " + std::to_string(request.attempts.size() + 1));
    for (const std::string& name : {store, source}) {
        const auto withdrawn = noSendsFrom_.find(name);
        if (!name.empty() && withdrawn != noSendsFrom_.end() &&
            now > withdrawn->second + kSchedulingSlack + held)
            report(Rule::sendToWithdrawnStore, trace + " by gateway " + std::to_string(request.gateway) +
                                                   " at " + store +
                                                   (name == store ? "" : " with source " + name));
    }
}

void Judge::checkDuplicate(const std::string& trace, const Request& request, TimePoint now,
                           bool observedLate) {
    for (const Attempt& earlier : request.attempts) {
        if (earlier.end == AttemptEnd::neverRan) continue;
        if (request.kind == RequestClass::order)
            report(Rule::duplicate, trace + " was sent again although it may have run at " + earlier.store);
        if (!observedLate && request.kind == RequestClass::checkout &&
            now > earlier.arrivedAt + kRepeatWindow + kRuleSlack + kSchedulingSlack)
            report(Rule::duplicate, trace + " was sent again after its repeat window");
    }
}

void Judge::copyConfirmed(const std::string& trace) {
    const std::lock_guard lock(mutex_);
    requests_[trace].copyConfirmed = true;
}

void Judge::attemptEnded(const std::string& trace, int attempt, AttemptEnd end, bool observedLate) {
    const std::lock_guard lock(mutex_);
    if (attempt < 0) return;
    Request& request = requests_[trace];
    Attempt& ended = request.attempts[static_cast<std::size_t>(attempt)];
    ended.end = end;
    ended.endedAt = Clock::now();
    if (observedLate) return;
    // A later attempt that arrived well before this one ended: both were in flight at once.
    for (std::size_t i = static_cast<std::size_t>(attempt) + 1; i < request.attempts.size(); ++i)
        if (!request.attempts[i].arrivalObservedLate &&
            ended.endedAt > request.attempts[i].arrivedAt + kSchedulingSlack +
                                stoppedTime(request.gateway, request.sentAt))
            report(Rule::concurrentAttempts, trace + " by gateway " + std::to_string(request.gateway) +
                                                 " at " + ended.store + " and " + request.attempts[i].store);
}

void Judge::recordKill(int gateway) {
    const std::lock_guard lock(mutex_);
    deadPeriods_[gateway].push_back({Clock::now()});
}

void Judge::recordTermination(int gateway) {
    const std::lock_guard lock(mutex_);
    shutdownPeriods_[gateway].push_back({Clock::now()});
}

void Judge::recordServing(int gateway) {
    const std::lock_guard lock(mutex_);
    for (auto* periods : {&deadPeriods_[gateway], &shutdownPeriods_[gateway]})
        if (!periods->empty() && periods->back().until == TimePoint::max())
            periods->back().until = Clock::now();
}

void Judge::recordStop(int gateway, Millis time) {
    const std::lock_guard lock(mutex_);
    stops_[gateway].push_back({Clock::now(), time});
}

void Judge::recordStall(Millis time) {
    logEvent("this program got no processor for " + std::to_string(time.count()) + " ms");
    const std::lock_guard lock(mutex_);
    stalls_.push_back({Clock::now(), time});
}

Millis Judge::stoppedTime(int gateway, TimePoint since) const {
    const auto found = stops_.find(gateway);
    Millis sum{};
    for (const Stop& stall : stalls_)
        if (stall.endedAt + kSchedulingSlack > since) sum += stall.time;
    if (found == stops_.end()) return sum;
    for (const Stop& stop : found->second)
        if (stop.endedAt + kSchedulingSlack > since) sum += stop.time;
    return sum;
}

TimePoint Judge::latestBusDelivery() const {
    const TimePoint now = Clock::now();
    return now < busDelayedUntil_ ? now + kMaxBusDelay : now;
}

void Judge::recordWithdrawn(const std::string& store) {
    const std::lock_guard lock(mutex_);
    noSendsFrom_[store] = latestBusDelivery() + kDrainGrace + kRuleSlack;
}

void Judge::recordListed(const std::string& store) {
    const std::lock_guard lock(mutex_);
    noSendsFrom_.erase(store);
}

bool Judge::busMayBeDelayed() const {
    const std::lock_guard lock(mutex_);
    return Clock::now() < busDelayedUntil_;
}

void Judge::recordBusFault(Millis time) {
    const std::lock_guard lock(mutex_);
    // Events that were published shortly before may not have been delivered either.
    for (auto& [store, at] : noSendsFrom_)
        if (at > Clock::now()) at += kMaxBusDelay;
    for (auto& [entity, purge] : purges_)
        if (purge.effectiveAt > Clock::now()) purge.effectiveAt += kMaxBusDelay;
    busDelayedUntil_ = std::max(busDelayedUntil_, Clock::now() + time + 1s);
}

void Judge::recordPurge(const std::string& entity, std::int64_t purgeMs) {
    const std::lock_guard lock(mutex_);
    purges_[entity] = {purgeMs, latestBusDelivery() + kPurgeGrace + kRuleSlack};
}

void Judge::recordViolation(Rule rule, const std::string& what) {
    const std::lock_guard lock(mutex_);
    report(rule, what);
}

void Judge::logEvent(const std::string& event) const {
    if (!timeline_) return;
    const std::chrono::duration<double> at = Clock::now() - startedAt_;
    std::printf("%.3f event %s\n", at.count(), event.c_str());
}

void Judge::report(Rule rule, const std::string& what) {
    ++totals_.violations[static_cast<std::size_t>(rule)];
    std::uint64_t all = 0;
    for (const std::uint64_t count : totals_.violations) all += count;
    if (all > kMaxPrintedViolations) return;
    const std::chrono::duration<double> at = Clock::now() - startedAt_;
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
