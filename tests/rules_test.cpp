// Tests of the rules that allow or deny a step, on given facts.
#include "core/rules.hpp"

#include <gtest/gtest.h>

namespace lotuslead::core {
namespace {

using namespace std::chrono_literals;

ClassSettings classOf(Effect effect, DeduplicationScope group = DeduplicationScope::all) {
    ClassSettings rules;
    rules.effect = effect;
    rules.deduplicationScope = group;
    rules.deduplicationWindow = 3s;
    return rules;
}

SendFacts goodSend() {
    SendFacts facts;
    facts.now = 10s;
    facts.deadline = 11s;
    facts.host = Readiness::ready;
    facts.to = {1, 7};
    return facts;
}

TEST(Rules, SendRequiresAWaitingClientAndReadyHosts) {
    const ClassSettings rules = classOf(Effect::unsafe);
    EXPECT_EQ(maySend(rules, goodSend(), {}), Denial::none);
    const auto with = [&](auto change) {
        SendFacts facts = goodSend();
        change(facts);
        return maySend(rules, facts, {});
    };
    EXPECT_EQ(with([](SendFacts& f) { f.answered = true; }), Denial::answered);
    EXPECT_EQ(with([](SendFacts& f) { f.attemptInFlight = true; }), Denial::attemptInFlight);
    EXPECT_EQ(with([](SendFacts& f) { f.now = f.deadline; }), Denial::deadlinePassed);
    EXPECT_EQ(with([](SendFacts& f) { f.host = Readiness::draining; }), Denial::hostNotReady);
    EXPECT_EQ(with([](SendFacts& f) { f.host = Readiness::gone; }), Denial::hostNotReady);
    EXPECT_EQ(with([](SendFacts& f) { f.source = Readiness::draining; }), Denial::sourceNotReady);
    EXPECT_EQ(with([](SendFacts& f) { f.purgedSincePick = true; }), Denial::purgedSincePick);
}

TEST(Rules, AttemptThatMayHaveRunIsRepeatedOnlyIfItsClassAllows) {
    const EarlierRun earlier{8s, {1, 7}};
    EXPECT_EQ(mayRepeat(classOf(Effect::unsafe), {}, 10s, {1, 7}), Denial::none);
    EXPECT_EQ(mayRepeat(classOf(Effect::unsafe), earlier, 10s, {1, 7}), Denial::mayRunTwice);
    EXPECT_EQ(mayRepeat(classOf(Effect::safe), earlier, 99s, {2, 8}), Denial::none);
    EXPECT_EQ(mayRepeat(classOf(Effect::keyed), earlier, 10s, {2, 8}), Denial::none);
    EXPECT_EQ(mayRepeat(classOf(Effect::keyed), earlier, 11s, {1, 7}), Denial::deduplicationWindowPassed);
    EXPECT_EQ(mayRepeat(classOf(Effect::keyed, DeduplicationScope::zone), earlier, 10s, {1, 8}),
              Denial::none);
    EXPECT_EQ(mayRepeat(classOf(Effect::keyed, DeduplicationScope::zone), earlier, 10s, {2, 7}),
              Denial::outsideDeduplicationScope);
    EXPECT_EQ(mayRepeat(classOf(Effect::keyed, DeduplicationScope::cell), earlier, 10s, {2, 7}),
              Denial::none);
    EXPECT_EQ(mayRepeat(classOf(Effect::keyed, DeduplicationScope::cell), earlier, 10s, {1, 8}),
              Denial::outsideDeduplicationScope);
}

TEST(Rules, RefusalRequiresThatNothingMayHaveTakenEffect) {
    EXPECT_EQ(mayRefuse(classOf(Effect::unsafe), false), Denial::none);
    EXPECT_EQ(mayRefuse(classOf(Effect::unsafe), true), Denial::mayHaveTakenEffect);
    EXPECT_EQ(mayRefuse(classOf(Effect::safe), true), Denial::none);
    EXPECT_EQ(mayRefuse(classOf(Effect::keyed), true), Denial::none);
    EXPECT_EQ(mayRefuse(classOf(Effect::keyed, DeduplicationScope::zone), true), Denial::mayHaveTakenEffect);
    EXPECT_EQ(mayRefuse(classOf(Effect::keyed, DeduplicationScope::cell), true), Denial::mayHaveTakenEffect);
}

TEST(Rules, AnswersOnceAndConfirmsOnlyACopyTheClientNamed) {
    EXPECT_EQ(mayAnswer({}), Denial::none);
    EXPECT_EQ(mayAnswer({.answered = true}), Denial::answered);
    EXPECT_EQ(mayAnswer({.unchanged = true}), Denial::copyNotNamed);
    EXPECT_EQ(mayAnswer({.unchanged = true, .copyIsNamed = true}), Denial::none);
}

TEST(Rules, AdmitsRequestsWithinTheLimitsOfProcessAndConnection) {
    const AdmissionFacts good{.openOnConnection = 31, .maxOnConnection = 32};
    EXPECT_EQ(mayAdmit(good), Denial::none);
    const auto with = [&](auto change) {
        AdmissionFacts facts = good;
        change(facts);
        return mayAdmit(facts);
    };
    EXPECT_EQ(with([](AdmissionFacts& f) { f.shuttingDown = true; }), Denial::shuttingDown);
    EXPECT_EQ(with([](AdmissionFacts& f) { f.draining = true; }), Denial::draining);
    EXPECT_EQ(with([](AdmissionFacts& f) { f.connectionClosing = true; }), Denial::connectionClosing);
    EXPECT_EQ(with([](AdmissionFacts& f) { f.openOnConnection = 32; }), Denial::tooManyOpen);
    EXPECT_EQ(with([](AdmissionFacts& f) { f.hasRoom = false; }), Denial::noMemory);
}

TEST(Rules, ClosesOnlyConnectionsWithoutPendingWork) {
    EXPECT_EQ(mayClose({}), Denial::none);
    EXPECT_EQ(mayClose({.openRequests = 1}), Denial::requestOpen);
    EXPECT_EQ(mayClose({.unreadBytes = true}), Denial::unreadBytes);
    EXPECT_EQ(mayClose({.unsentBytes = 1}), Denial::unsentAnswer);
}

TEST(Rules, ServesAfterTheInitialSyncOrALongWait) {
    EXPECT_EQ(mayServe({}), Denial::notReady);
    EXPECT_EQ(mayServe({.initialSyncComplete = true}), Denial::none);
    EXPECT_EQ(mayServe({.initialSyncComplete = true, .awaitsHandOver = true}), Denial::notReady);
    EXPECT_EQ(mayServe({.waitedLongEnough = true}), Denial::none);
}

TEST(Rules, OnlyDenialsOfRequiredStepsAreViolations) {
    RuleChecks checks;
    EXPECT_TRUE(checks.allows(Denial::none));
    EXPECT_TRUE(checks.require(Denial::none, "send", "a"));
    EXPECT_FALSE(checks.allows(Denial::hostNotReady));
    EXPECT_EQ(checks.violations(), 0U);
    EXPECT_FALSE(checks.require(Denial::mayRunTwice, "send", "a"));
    EXPECT_EQ(checks.violations(), 1U);
    EXPECT_EQ(checks.denials()[static_cast<std::size_t>(Denial::hostNotReady)], 1U);
    EXPECT_STREQ(nameOf(Denial::notReady), "not_prepared");
}

}  // namespace
}  // namespace lotuslead::core
