#include "rules.hpp"

#include <cstdio>

namespace lotuslead::core {

namespace {

constexpr std::uint64_t kMaxLoggedViolations = 100;  // logged; all are counted

}  // namespace

const char* nameOf(Denial denial) {
    constexpr std::array<const char*, static_cast<std::size_t>(Denial::count_)> names{
        "none",           "answered",         "attempt_out",        "deadline_passed",
        "host_not_ready", "source_not_ready", "purged_since_pick",  "runs_twice",
        "window_passed",  "other_group",      "promises_no_effect", "not_named",
        "ending",         "draining",         "connection_retired", "too_many_open",
        "no_memory",      "cancel_unread",    "request_open",       "unread_bytes",
        "unsent_answer",  "not_prepared"};
    return names[static_cast<std::size_t>(denial)];
}

Denial mayRepeat(const ClassSettings& rules, const std::optional<EarlierRun>& earlier, Micros now,
                 Locality to) {
    if (!earlier || rules.effect == Effect::safe) return Denial::none;
    if (rules.effect == Effect::unsafe) return Denial::mayRunTwice;
    if (now - earlier->sentAt >= rules.deduplicationWindow) return Denial::deduplicationWindowPassed;
    if (rules.deduplicationScope == DeduplicationScope::zone && to.zone != earlier->at.zone)
        return Denial::outsideDeduplicationScope;
    if (rules.deduplicationScope == DeduplicationScope::cell && to.cell != earlier->at.cell)
        return Denial::outsideDeduplicationScope;
    return Denial::none;
}

Denial maySend(const ClassSettings& rules, const SendFacts& facts, const std::optional<EarlierRun>& earlier) {
    if (facts.answered) return Denial::answered;
    if (facts.attemptInFlight) return Denial::attemptInFlight;
    if (facts.now >= facts.deadline) return Denial::deadlinePassed;
    if (facts.host != Readiness::ready) return Denial::hostNotReady;
    if (facts.source != Readiness::ready) return Denial::sourceNotReady;
    if (facts.purgedSincePick) return Denial::purgedSincePick;
    return mayRepeat(rules, earlier, facts.now, facts.to);
}

Denial mayRefuse(const ClassSettings& rules, bool mayHaveRun) {
    if (!mayHaveRun || rules.effect == Effect::safe) return Denial::none;
    // The key is known wherever the next attempt of the client goes.
    const bool keyKnown =
        rules.effect == Effect::keyed && rules.deduplicationScope == DeduplicationScope::all;
    return keyKnown ? Denial::none : Denial::mayHaveTakenEffect;
}

Denial mayAnswer(const AnswerFacts& facts) {
    if (facts.answered) return Denial::answered;
    return facts.unchanged && !facts.copyIsNamed ? Denial::copyNotNamed : Denial::none;
}

Denial mayAdmit(const AdmissionFacts& facts) {
    if (facts.shuttingDown) return Denial::shuttingDown;
    if (facts.draining) return Denial::draining;
    if (facts.connectionClosing) return Denial::connectionClosing;
    if (facts.openOnConnection >= facts.maxOnConnection) return Denial::tooManyOpen;
    if (facts.mayHaveCancelled) return Denial::cancelUnread;
    return facts.hasRoom ? Denial::none : Denial::noMemory;
}

Denial mayClose(const CloseFacts& facts) {
    if (facts.openRequests > 0) return Denial::requestOpen;
    if (facts.unreadBytes) return Denial::unreadBytes;
    return facts.unsentBytes > 0 ? Denial::unsentAnswer : Denial::none;
}

Denial mayServe(const StartFacts& facts) {
    const bool ready = facts.initialSyncComplete && !facts.awaitsHandOver;
    return ready || facts.waitedLongEnough ? Denial::none : Denial::notReady;
}

bool RuleChecks::allows(Denial denial) {
    if (denial == Denial::none) return true;
    ++denials_[static_cast<std::size_t>(denial)];
    return false;
}

bool RuleChecks::require(Denial denial, const char* step, const std::string& subject) {
    if (denial == Denial::none) return true;
    if (++violations_ <= kMaxLoggedViolations)
        std::fprintf(stderr, "rule violation prevented: %s of %s: %s\n", step, subject.c_str(),
                     nameOf(denial));
    return false;
}

}  // namespace lotuslead::core
