#include "request_dispatcher.hpp"

#include <algorithm>

#include "../support/trace.hpp"

namespace lotuslead::core {

const char* nameOf(Outcome outcome) {
    constexpr std::array<const char*, kOutcomes> names{"served",    "error",         "not_taken",
                                                       "timed_out", "no_connection", "broken",
                                                       "cancelled", "not_sent",      "no_copy"};
    return names[static_cast<std::size_t>(outcome)];
}

const char* nameOf(GiveUp why) {
    constexpr std::array<const char*, kGiveUps> names{"no_time", "most_attempts", "no_route", "no_allowance",
                                                      "cancelled"};
    return names[static_cast<std::size_t>(why)];
}

namespace {

bool mayHaveRun(Outcome outcome) {
    return outcome != Outcome::notTaken && outcome != Outcome::noConnection && outcome != Outcome::notSent &&
           outcome != Outcome::noCopy;
}

}  // namespace

void RequestDispatcher::submit(Micros now, Request request, AnswerCallback answer) {
    const RequestId id = request.id;
    Job& job = jobs_[id];
    job.request = std::move(request);
    job.rules = decisions_.words().settings.classes[static_cast<std::size_t>(job.request.classIndex)];
    job.answer = std::move(answer);
    ++openCount_;
    ++counters_.taken;
    if (Trace::on())
        Trace::write("take", {{"request", job.request.label},
                              {"class", job.request.className},
                              {"left_us", std::to_string((job.request.deadline - now).count())}});
    follow(now, {decisions_.pick(now, job.request)});
}

void RequestDispatcher::clientGone(Micros now, RequestId id) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.answered) return;
    found->second.answered = true;
    found->second.answer = nullptr;
    --openCount_;
    ++counters_.clientsGone;
    if (Trace::on()) Trace::write("withdraw", {{"request", found->second.request.label}});
    follow(now, decisions_.clientGone(now, id));
    forgetIfDone(id);
}

void RequestDispatcher::attemptEnded(Micros now, AttemptResult end) {
    const auto found = jobs_.find(end.request);
    // A late word on an attempt that was given up is nobody's any more.
    if (found == jobs_.end() || !found->second.out || found->second.send.attempt != end.attempt) return;
    Job& job = found->second;
    const AnswerFacts answer{false, end.payload.unchanged, !job.request.known.empty()};
    if (end.outcome == Outcome::served && !checks_.require(mayAnswer(answer), "answer", job.request.label))
        end.outcome = Outcome::error;
    if (end.outcome == Outcome::served && purged_ == PurgeDuringFetch::refetch &&
        decisions_.purgedSince(job.request, job.send.pickedAt))
        end.outcome = Outcome::notSent;
    AttemptReport report;
    report.outcome = end.outcome;
    if (end.servedLocally && end.outcome == Outcome::served) {
        report.outcome = Outcome::notSent;  // to its host
        report.servedLocally = true;
        ++counters_.servedLocally;
    }
    report.note = end.note;
    report.ignoreForHealth = end.ignoreForHealth;
    report.bytes = end.payload.body.size();
    report.unchanged = end.payload.unchanged;
    if (end.outcome == Outcome::served && !job.answered) {
        Reply reply;
        reply.kind = Reply::Kind::served;
        reply.payload = std::move(end.payload);
        finish(job, std::move(reply));
    }
    follow(now, close(now, job, report));
    forgetIfDone(end.request);
}

void RequestDispatcher::runTimers(Micros now) {
    follow(now, decisions_.tick(now));
    // Machines that went silent never reset: only this clock ends their attempts.
    while (!timeouts_.empty() && std::get<0>(*timeouts_.begin()) <= now) {
        const auto [at, id, attempt] = *timeouts_.begin();
        Job& job = jobs_.at(id);
        const bool unwritten = transport_.cancel(now, id, attempt);
        follow(now, close(now, job, {.outcome = unwritten ? Outcome::notSent : Outcome::timedOut}));
        forgetIfDone(id);
    }
}

Micros RequestDispatcher::nextTimerAt() const {
    const Micros timeout = timeouts_.empty() ? Micros::max() : std::get<0>(*timeouts_.begin());
    return std::min(timeout, decisions_.nextTick());
}

bool RequestDispatcher::mayBegin(Micros now, RequestId id, int attempt) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || !found->second.out || found->second.send.attempt != attempt) return false;
    const Job& job = found->second;
    const Denial denial = denialOf(now, job, job.send);
    if (denial != Denial::none && Trace::on())
        Trace::write(
            "hold_back",
            {{"request", job.request.label}, {"attempt", std::to_string(attempt)}, {"why", nameOf(denial)}});
    return checks_.allows(denial);
}

Denial RequestDispatcher::denialOf(Micros now, const Job& job, const Decision& send) const {
    SendFacts facts;
    facts.answered = job.answered;
    facts.now = now;
    facts.deadline = job.request.deadline;
    facts.host = decisions_.hostOf(send.host).readiness;
    if (!send.source.empty()) facts.source = decisions_.hostOf(send.source).readiness;
    // A pick knows of all purges that were told before it, also in the same turn.
    facts.purgedSincePick = now > send.pickedAt && decisions_.purgedSince(job.request, send.pickedAt);
    facts.to = localityOf(send.host);
    return maySend(job.rules, facts, job.earlier);
}

Locality RequestDispatcher::localityOf(const std::string& host) const {
    const DecisionFacade::ListedHost listed = decisions_.hostOf(host);
    return {listed.zone, listed.cell};
}

void RequestDispatcher::follow(Micros now, std::vector<Decision> decisions) {
    // Each verdict may lead to further ones; they are taken in the order in which they came.
    for (std::size_t i = 0; i < decisions.size(); ++i) {
        Decision decision = std::move(decisions[i]);
        const auto found = jobs_.find(decision.request);
        if (found == jobs_.end()) continue;
        Job& job = found->second;
        if (decision.kind == DecisionKind::cancel) {
            if (!job.out || job.send.attempt != decision.attempt) continue;
            const bool unwritten = transport_.cancel(now, decision.request, decision.attempt);
            ++counters_.cancelled;
            for (Decision& next :
                 close(now, job, {.outcome = unwritten ? Outcome::notSent : Outcome::cancelled}))
                decisions.push_back(std::move(next));
            forgetIfDone(decision.request);
        } else if (job.answered) {
            continue;
        } else if (decision.kind == DecisionKind::send) {
            for (Decision& next : begin(now, job, std::move(decision))) decisions.push_back(std::move(next));
        } else {
            giveUp(now, job, decision);
            forgetIfDone(decision.request);
        }
    }
}

void RequestDispatcher::giveUp(Micros now, Job& job, const Decision& decision) {
    const bool mayHave = job.out || job.earlier.has_value();
    const bool refused = decision.kind == DecisionKind::refuse &&
                         checks_.require(mayRefuse(job.rules, mayHave), "refusal", job.request.label);
    ++counters_.gaveUp[static_cast<std::size_t>(decision.why)];
    if (Trace::on())
        Trace::write("give_up", {{"request", job.request.label},
                                 {"word", refused ? "refused" : "failed"},
                                 {"why", nameOf(decision.why)}});
    Reply reply;
    reply.kind = refused ? Reply::Kind::refused : Reply::Kind::failed;
    reply.retryAfter = decision.retryAfter;
    reply.deadlineExceeded = now >= job.request.deadline;
    reply.lastOutcome = job.lastOutcome;
    finish(job, std::move(reply));
}

std::vector<Decision> RequestDispatcher::begin(Micros now, Job& job, Decision&& send) {
    const Denial denial = job.out ? Denial::attemptOut : denialOf(now, job, send);
    if (denial == Denial::attemptOut) {
        checks_.require(denial, "send", job.request.label);
        return {};
    }
    job.sentTo = localityOf(send.host);
    job.send = std::move(send);
    decisions_.limitByPurge(now, job.request, job.send);
    job.sentAt = now;
    job.out = true;
    // Never past the deadline: the final answer is owed by then.
    Micros until = job.request.deadline;
    if (job.send.timeout.count() > 0) until = std::min(until, now + job.send.timeout);
    timeouts_.emplace(until, job.request.id, job.send.attempt);
    ++counters_.sent;
    if (!checks_.require(denial, "send", job.request.label))
        return close(now, job, {.outcome = Outcome::notSent});
    if (Trace::on())
        Trace::write("send", {{"request", job.request.label},
                              {"attempt", std::to_string(job.send.attempt)},
                              {"host", job.send.host},
                              {"source", job.send.source}});
    transport_.send(now, job.request, job.send);
    return {};
}

std::vector<Decision> RequestDispatcher::close(Micros now, Job& job, AttemptReport report) {
    job.out = false;
    job.lastOutcome = report.outcome;
    if (mayHaveRun(report.outcome) && !job.earlier) job.earlier = EarlierRun{job.sentAt, job.sentTo};
    if (Trace::on())
        Trace::write("end", {{"request", job.request.label},
                             {"attempt", std::to_string(job.send.attempt)},
                             {"outcome", nameOf(report.outcome)},
                             {"took_us", std::to_string((now - job.sentAt).count())}});
    const Micros until = job.send.timeout.count() > 0
                             ? std::min(job.request.deadline, job.sentAt + job.send.timeout)
                             : job.request.deadline;
    timeouts_.erase({until, job.request.id, job.send.attempt});
    ++counters_.outcomes[static_cast<std::size_t>(report.outcome)];
    report.request = job.request.id;
    report.attempt = job.send.attempt;
    report.elapsed = now - job.sentAt;
    return decisions_.report(now, report);
}

void RequestDispatcher::finish(Job& job, Reply&& reply) {
    if (!checks_.require(mayAnswer({.answered = job.answered}), "answer", job.request.label)) return;
    job.answered = true;
    --openCount_;
    using Kind = Reply::Kind;
    ++(reply.kind == Kind::served    ? counters_.served
       : reply.kind == Kind::refused ? counters_.refused
                                     : counters_.failed);
    if (reply.payload.unchanged) ++counters_.unchanged;
    if (reply.deadlineExceeded) ++counters_.deadlineExceeded;
    const AnswerCallback answer = std::move(job.answer);
    job.answer = nullptr;
    if (answer) answer(job.request.id, std::move(reply));
}

void RequestDispatcher::forgetIfDone(RequestId id) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second.answered && !found->second.out) jobs_.erase(found);
}

}  // namespace lotuslead::core
