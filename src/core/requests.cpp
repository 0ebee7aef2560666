#include "requests.hpp"

#include <algorithm>

namespace lotuslead::core {

namespace {

bool mayHaveRun(Outcome outcome) {
    return outcome != Outcome::notTaken && outcome != Outcome::noConnection && outcome != Outcome::notSent &&
           outcome != Outcome::noCopy;
}

}  // namespace

void Requests::take(Micros now, Request request, Answer answer) {
    const RequestId id = request.id;
    Job& job = jobs_[id];
    job.request = std::move(request);
    job.answer = std::move(answer);
    ++open_;
    ++counters_.taken;
    follow(now, {decisions_.pick(now, job.request)});
}

void Requests::withdraw(Micros now, RequestId id) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.answered) return;
    found->second.answered = true;
    found->second.answer = nullptr;
    --open_;
    ++counters_.gone;
    follow(now, decisions_.clientGone(now, id));
    forgetIfDone(id);
}

void Requests::ended(Micros now, AttemptEnd end) {
    const auto found = jobs_.find(end.request);
    // A late word on an attempt that was given up is nobody's any more.
    if (found == jobs_.end() || !found->second.out || found->second.send.attempt != end.attempt) return;
    Job& job = found->second;
    if (end.outcome == Outcome::served && purged_ == PurgedMeanwhile::fetchAnew &&
        decisions_.purgedSince(job.request, job.send.pickedAt))
        end.outcome = Outcome::notSent;
    AttemptReport report;
    report.outcome = end.outcome;
    if (end.own && end.outcome == Outcome::served) {
        report.outcome = Outcome::notSent;  // to its host
        report.answered = true;
        ++counters_.own;
    }
    report.note = end.note;
    report.blameless = end.blameless;
    report.bytes = end.payload.body.size();
    report.unchanged = end.payload.unchanged;
    if (end.outcome == Outcome::served && !job.answered) {
        Reply reply;
        reply.word = Reply::Word::served;
        reply.payload = std::move(end.payload);
        finish(job, std::move(reply));
    }
    follow(now, close(now, job, report));
    forgetIfDone(end.request);
}

void Requests::turn(Micros now) {
    follow(now, decisions_.tick(now));
    // Machines that went silent never reset: only this clock ends their attempts.
    while (!timeouts_.empty() && std::get<0>(*timeouts_.begin()) <= now) {
        const auto [at, id, attempt] = *timeouts_.begin();
        Job& job = jobs_.at(id);
        const bool unwritten = carrier_.cancel(now, id, attempt);
        follow(now, close(now, job, {.outcome = unwritten ? Outcome::notSent : Outcome::timedOut}));
        forgetIfDone(id);
    }
}

Micros Requests::nextTurn() const {
    const Micros timeout = timeouts_.empty() ? Micros::max() : std::get<0>(*timeouts_.begin());
    return std::min(timeout, decisions_.nextTick());
}

bool Requests::holds(Micros now, RequestId id, int attempt) const {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || !found->second.out || found->second.send.attempt != attempt) return false;
    const Job& job = found->second;
    // Its client has left, and the settings may bar cancels.
    if (job.answered) return false;
    // Picked in time, a repeat may have waited until it would run anew.
    if (job.mayHaveRun && !decisions_.mayRepeat(job.request, now - *job.mayHaveRun)) return false;
    return decisions_.holds(job.request, job.send);
}

void Requests::follow(Micros now, std::vector<Verdict> verdicts) {
    // Each verdict may lead to further ones; they are taken in the order in which they came.
    for (std::size_t i = 0; i < verdicts.size(); ++i) {
        Verdict verdict = std::move(verdicts[i]);
        const auto found = jobs_.find(verdict.request);
        if (found == jobs_.end()) continue;
        Job& job = found->second;
        if (verdict.verb == Verb::cancel) {
            if (!job.out || job.send.attempt != verdict.attempt) continue;
            const bool unwritten = carrier_.cancel(now, verdict.request, verdict.attempt);
            ++counters_.cancelled;
            for (Verdict& next :
                 close(now, job, {.outcome = unwritten ? Outcome::notSent : Outcome::cancelled}))
                verdicts.push_back(std::move(next));
            forgetIfDone(verdict.request);
        } else if (job.answered) {
            continue;
        } else if (verdict.verb == Verb::send) {
            begin(now, job, std::move(verdict));
        } else {
            Reply reply;
            reply.word = verdict.verb == Verb::refuse ? Reply::Word::refused : Reply::Word::failed;
            reply.pause = verdict.pause;
            reply.late = now >= job.request.deadline;
            reply.last = job.last;
            finish(job, std::move(reply));
            forgetIfDone(verdict.request);
        }
    }
}

void Requests::begin(Micros now, Job& job, Verdict&& send) {
    job.send = std::move(send);
    job.sentAt = now;
    job.out = true;
    // Never past the deadline: the final answer is owed by then.
    Micros until = job.request.deadline;
    if (job.send.timeout.count() > 0) until = std::min(until, now + job.send.timeout);
    timeouts_.emplace(until, job.request.id, job.send.attempt);
    ++counters_.sent;
    carrier_.send(now, job.request, job.send);
}

std::vector<Verdict> Requests::close(Micros now, Job& job, AttemptReport report) {
    job.out = false;
    job.last = report.outcome;
    if (mayHaveRun(report.outcome) && !job.mayHaveRun) job.mayHaveRun = job.sentAt;
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

void Requests::finish(Job& job, Reply&& reply) {
    job.answered = true;
    --open_;
    using Word = Reply::Word;
    ++(reply.word == Word::served    ? counters_.served
       : reply.word == Word::refused ? counters_.refused
                                     : counters_.failed);
    if (reply.payload.unchanged) ++counters_.unchanged;
    if (reply.late) ++counters_.overdue;
    const Answer answer = std::move(job.answer);
    job.answer = nullptr;
    if (answer) answer(job.request.id, std::move(reply));
}

void Requests::forgetIfDone(RequestId id) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second.answered && !found->second.out) jobs_.erase(found);
}

}  // namespace lotuslead::core
