#include "request_dispatcher.hpp"

#include <algorithm>

#include "../support/trace.hpp"

namespace lotuslead::core {

const char* nameOf(Outcome outcome) {
    constexpr std::array<const char*, kOutcomeCount> names{"served",    "error",         "not_taken",
                                                           "timed_out", "no_connection", "broken",
                                                           "cancelled", "not_sent",      "no_copy"};
    return names[static_cast<std::size_t>(outcome)];
}

const char* nameOf(GiveUpReason why) {
    constexpr std::array<const char*, kGiveUpReasonCount> names{"no_time", "most_attempts", "no_route",
                                                                "no_allowance", "cancelled"};
    return names[static_cast<std::size_t>(why)];
}

namespace {

bool mayHaveRun(Outcome outcome) {
    return outcome != Outcome::rejected && outcome != Outcome::noConnection && outcome != Outcome::notSent &&
           outcome != Outcome::noCopy;
}

}  // namespace

void RequestDispatcher::submit(Micros now, Request request, AnswerCallback answer) {
    const RequestId id = request.id;
    RequestState& state = states_[id];
    state.request = std::move(request);
    state.classSettings =
        decisions_.decodedSettings().settings.classes[static_cast<std::size_t>(state.request.classIndex)];
    state.answer = std::move(answer);
    ++openCount_;
    ++counters_.submitted;
    if (Trace::on())
        Trace::write("take", {{"request", state.request.traceId},
                              {"class", state.request.className},
                              {"left_us", std::to_string((state.request.deadline - now).count())}});
    execute(now, {decisions_.pick(now, state.request)});
}

void RequestDispatcher::clientGone(Micros now, RequestId id) {
    const auto found = states_.find(id);
    if (found == states_.end() || found->second.answered) return;
    found->second.answered = true;
    found->second.answer = nullptr;
    --openCount_;
    ++counters_.clientsGone;
    if (Trace::on()) Trace::write("withdraw", {{"request", found->second.request.traceId}});
    execute(now, decisions_.clientGone(now, id));
    forgetIfDone(id);
}

void RequestDispatcher::attemptEnded(Micros now, AttemptResult result) {
    const auto found = states_.find(result.request);
    // A late result of an attempt that was given up is dropped.
    if (found == states_.end() || !found->second.attemptInFlight ||
        found->second.send.attempt != result.attempt)
        return;
    RequestState& state = found->second;
    const AnswerFacts answer{false, result.payload.unchanged, !state.request.knownTag.empty()};
    if (result.outcome == Outcome::served &&
        !checks_.require(mayAnswer(answer), "answer", state.request.traceId))
        result.outcome = Outcome::error;
    if (result.outcome == Outcome::served && purgeDuringFetch_ == PurgeDuringFetch::refetch &&
        decisions_.purgedSince(state.request, state.send.pickedAt))
        result.outcome = Outcome::notSent;
    AttemptReport report;
    report.outcome = result.outcome;
    if (result.servedLocally && result.outcome == Outcome::served) {
        report.outcome = Outcome::notSent;  // not sent to its host
        report.servedLocally = true;
        ++counters_.servedLocally;
    }
    report.cacheStatus = result.cacheStatus;
    report.ignoreForHealth = result.ignoreForHealth;
    report.bytes = result.payload.body.size();
    report.unchanged = result.payload.unchanged;
    if (result.outcome == Outcome::served && !state.answered) {
        Reply reply;
        reply.kind = Reply::Kind::served;
        if (!result.servedLocally) reply.host = state.send.host;
        reply.payload = std::move(result.payload);
        finish(state, std::move(reply));
    }
    execute(now, endAttempt(now, state, report));
    forgetIfDone(result.request);
}

void RequestDispatcher::runTimers(Micros now) {
    execute(now, decisions_.tick(now));
    // A machine that went silent never resets its connections: only this timeout ends the attempts there.
    while (!timeouts_.empty() && std::get<0>(*timeouts_.begin()) <= now) {
        const auto [at, id, attempt] = *timeouts_.begin();
        RequestState& state = states_.at(id);
        const bool unwritten = transport_.cancel(now, id, attempt);
        execute(now, endAttempt(now, state, {.outcome = unwritten ? Outcome::notSent : Outcome::timedOut}));
        forgetIfDone(id);
    }
}

Micros RequestDispatcher::nextTimerAt() const {
    const Micros timeout = timeouts_.empty() ? Micros::max() : std::get<0>(*timeouts_.begin());
    return std::min(timeout, decisions_.nextTick());
}

bool RequestDispatcher::mayBegin(Micros now, RequestId id, int attempt) {
    const auto found = states_.find(id);
    if (found == states_.end() || !found->second.attemptInFlight || found->second.send.attempt != attempt)
        return false;
    const RequestState& state = found->second;
    const Denial denial = denialOf(now, state, state.send);
    if (denial != Denial::none && Trace::on())
        Trace::write("hold_back", {{"request", state.request.traceId},
                                   {"attempt", std::to_string(attempt)},
                                   {"why", nameOf(denial)}});
    return checks_.allows(denial);
}

Denial RequestDispatcher::denialOf(Micros now, const RequestState& state, const Decision& send) const {
    SendFacts facts;
    facts.answered = state.answered;
    facts.now = now;
    facts.deadline = state.request.deadline;
    facts.host = decisions_.findHost(send.host).readiness;
    if (!send.source.empty()) facts.source = decisions_.findHost(send.source).readiness;
    // A decision takes into account every purge received before it, including those of the same turn.
    facts.purgedSincePick = now > send.pickedAt && decisions_.purgedSince(state.request, send.pickedAt);
    facts.to = localityOf(send.host);
    return maySend(state.classSettings, facts, state.earlier);
}

Locality RequestDispatcher::localityOf(const std::string& host) const {
    const DecisionFacade::ListedHost listed = decisions_.findHost(host);
    return {listed.zone, listed.cell};
}

void RequestDispatcher::execute(Micros now, std::vector<Decision> decisions) {
    // Each decision may lead to further ones, which are executed in order of arrival.
    for (std::size_t i = 0; i < decisions.size(); ++i) {
        Decision decision = std::move(decisions[i]);
        const auto found = states_.find(decision.request);
        if (found == states_.end()) continue;
        RequestState& state = found->second;
        if (decision.kind == DecisionKind::cancel) {
            if (!state.attemptInFlight || state.send.attempt != decision.attempt) continue;
            const bool unwritten = transport_.cancel(now, decision.request, decision.attempt);
            ++counters_.cancelled;
            for (Decision& next :
                 endAttempt(now, state, {.outcome = unwritten ? Outcome::notSent : Outcome::cancelled}))
                decisions.push_back(std::move(next));
            forgetIfDone(decision.request);
        } else if (state.answered) {
            continue;
        } else if (decision.kind == DecisionKind::send) {
            for (Decision& next : startAttempt(now, state, std::move(decision)))
                decisions.push_back(std::move(next));
        } else {
            giveUp(now, state, decision);
            forgetIfDone(decision.request);
        }
    }
}

void RequestDispatcher::giveUp(Micros now, RequestState& state, const Decision& decision) {
    const bool mayHave = state.attemptInFlight || state.earlier.has_value();
    const bool refused =
        decision.kind == DecisionKind::refuse &&
        checks_.require(mayRefuse(state.classSettings, mayHave), "refusal", state.request.traceId);
    ++counters_.gaveUp[static_cast<std::size_t>(decision.why)];
    if (Trace::on())
        Trace::write("give_up", {{"request", state.request.traceId},
                                 {"word", refused ? "refused" : "failed"},
                                 {"why", nameOf(decision.why)}});
    Reply reply;
    reply.kind = refused ? Reply::Kind::refused : Reply::Kind::failed;
    reply.retryAfter = decision.retryAfter;
    reply.deadlineExceeded = now >= state.request.deadline;
    reply.lastOutcome = state.lastOutcome;
    finish(state, std::move(reply));
}

std::vector<Decision> RequestDispatcher::startAttempt(Micros now, RequestState& state, Decision&& send) {
    const Denial denial = state.attemptInFlight ? Denial::attemptInFlight : denialOf(now, state, send);
    if (denial == Denial::attemptInFlight) {
        checks_.require(denial, "send", state.request.traceId);
        return {};
    }
    state.sentTo = localityOf(send.host);
    state.send = std::move(send);
    decisions_.applyPurgeLimit(now, state.request, state.send);
    state.sentAt = now;
    state.attemptInFlight = true;
    // Never beyond the deadline, when the final answer is due.
    Micros until = state.request.deadline;
    if (state.send.timeout.count() > 0) until = std::min(until, now + state.send.timeout);
    timeouts_.emplace(until, state.request.id, state.send.attempt);
    ++counters_.sent;
    if (!checks_.require(denial, "send", state.request.traceId))
        return endAttempt(now, state, {.outcome = Outcome::notSent});
    if (Trace::on())
        Trace::write("send", {{"request", state.request.traceId},
                              {"attempt", std::to_string(state.send.attempt)},
                              {"host", state.send.host},
                              {"source", state.send.source}});
    transport_.send(now, state.request, state.send);
    return {};
}

std::vector<Decision> RequestDispatcher::endAttempt(Micros now, RequestState& state, AttemptReport report) {
    state.attemptInFlight = false;
    state.lastOutcome = report.outcome;
    if (mayHaveRun(report.outcome) && !state.earlier) state.earlier = EarlierRun{state.sentAt, state.sentTo};
    if (Trace::on())
        Trace::write("end", {{"request", state.request.traceId},
                             {"attempt", std::to_string(state.send.attempt)},
                             {"outcome", nameOf(report.outcome)},
                             {"took_us", std::to_string((now - state.sentAt).count())}});
    const Micros until = state.send.timeout.count() > 0
                             ? std::min(state.request.deadline, state.sentAt + state.send.timeout)
                             : state.request.deadline;
    timeouts_.erase({until, state.request.id, state.send.attempt});
    ++counters_.outcomes[static_cast<std::size_t>(report.outcome)];
    report.request = state.request.id;
    report.attempt = state.send.attempt;
    report.elapsed = now - state.sentAt;
    return decisions_.report(now, report);
}

void RequestDispatcher::finish(RequestState& state, Reply&& reply) {
    if (!checks_.require(mayAnswer({.answered = state.answered}), "answer", state.request.traceId)) return;
    state.answered = true;
    --openCount_;
    using Kind = Reply::Kind;
    ++(reply.kind == Kind::served    ? counters_.served
       : reply.kind == Kind::refused ? counters_.refused
                                     : counters_.failed);
    if (reply.payload.unchanged) ++counters_.unchanged;
    if (reply.deadlineExceeded) ++counters_.deadlineExceeded;
    const AnswerCallback answer = std::move(state.answer);
    state.answer = nullptr;
    if (answer) answer(state.request.id, std::move(reply));
}

void RequestDispatcher::forgetIfDone(RequestId id) {
    const auto found = states_.find(id);
    if (found != states_.end() && found->second.answered && !found->second.attemptInFlight)
        states_.erase(found);
}

}  // namespace lotuslead::core
