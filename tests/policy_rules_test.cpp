// Tests of the five rules on the decision module alone.
#include <gtest/gtest.h>

#include <set>

#include "harness.hpp"

namespace lotuslead::testing {
namespace {

TEST(HostSlots, SlotsOfRemovedHostsAreReused) {
    Harness h;
    h.listBasicFleet();
    for (int i = 0; i < 200; ++i) {
        auto old = Harness::cache("c" + std::to_string(i + 1));
        old.readiness = Readiness::gone;
        h.list({old, Harness::cache("c" + std::to_string(i + 4))}, false);
        const RequestId id = h.ask("a" + std::to_string(i));
        ASSERT_EQ(h.all<Send>().size(), 1u);
        h.end(id, 0, Outcome::served);
        h.now += 6s;
    }
    EXPECT_LE(h.hostSlots(), 9u);
}

TEST(Health, OneConnectionFailureCountsOnceAgainstItsHost) {
    Harness h;
    h.list({Harness::cache("c1"), Harness::host("p1", Role::parent, 0, 20)});
    h.warmUpFilter();
    h.addToAdmissionFilter("a");
    std::vector<RequestId> ids;
    for (int i = 0; i < 5; ++i) ids.push_back(h.ask("a"));
    for (std::size_t i = 0; i < ids.size(); ++i)
        h.end(ids[i], 0, Outcome::broken, CacheStatus::none, {}, i > 0);
    h.ask("a");
    ASSERT_EQ(h.all<Send>().size(), 1u);
    EXPECT_EQ(h.all<Send>().front().host, "c1");
}

// Sizes and links that are not configured are learned from answers: an answer in time must not count as late.
TEST(Learning, AnswerSizeSetsTheLatencyTargetOfItsRequest) {
    Settings settings = basicSettings();
    settings.weights = WeightMeaning::none;
    settings.classes[1].latencyTarget =
        200ms;  // plus twice the sending time; the first estimate is a quarter of it
    Harness h(settings);
    h.listBasicFleet();
    h.warmUpFilter(60);
    const auto askAndEnd = [&](const std::string& object, Time attemptTime) {
        const RequestId id = h.ask(object, 0, 1, 0);
        h.now += attemptTime;
        h.attemptTime = attemptTime;
        h.end(id, 0, Outcome::served, CacheStatus::filledByOrigin, {}, false, 300);  // 300 ms to send
        return id;
    };
    for (int i = 0; i < 60; ++i) askAndEnd("large" + std::to_string(i), 700ms);  // all within 200 + 600 ms
    int sent = 0;
    for (int i = 0; i < 60; ++i) {
        const RequestId id = h.ask("next" + std::to_string(i), 0, 1, 0);
        const auto send = h.one<Send>();
        ASSERT_TRUE(send);
        sent += send->source == send->host ? 0 : 1;  // otherwise only a cached copy is requested
        h.end(id, 0, Outcome::served, CacheStatus::filledByOrigin, {}, false, 300);
        h.now += 10ms;
    }
    EXPECT_EQ(sent, 60);
}

TEST(SlowAttempts, AreNotRestartedWhileTheirHostAnswersOthers) {
    for (const bool answers : {true, false}) {
        Settings settings = basicSettings();
        settings.mayHedge = false;
        Harness h(settings);
        h.listBasicFleet();
        h.warmUpFilter();
        h.addToAdmissionFilter("a");
        const RequestId slow = h.ask("a");
        const auto timers = h.all<SetTimer>();  // the slow timer, then the late timer
        ASSERT_EQ(timers.size(), 2u);
        const std::string host(h.one<Send>()->host);
        for (int i = 0; answers; ++i) {  // until the same host has answered another request
            const RequestId other = h.ask("b" + std::to_string(i));
            const bool same = h.one<Send>()->host == host;
            h.now += 1ms;
            h.end(other, 0, Outcome::served, CacheStatus::hit);
            if (same) break;
            h.addToAdmissionFilter("b" + std::to_string(i + 1));
        }
        h.now += timers[0].delay;
        h.fire(timers[0].timer);
        EXPECT_EQ(h.all<Cancel>().size(), answers ? 0u : 1u);
        h.end(slow, 0, Outcome::served);
    }
}

// --- 1: exactly one answer, in time ---

TEST(Answers, ServedRequestIgnoresFurtherResults) {
    Harness h;
    h.listBasicFleet();
    const RequestId id = h.ask("a");
    ASSERT_EQ(h.all<Send>().size(), 1u);
    h.end(id, 0, Outcome::served);
    EXPECT_FALSE(h.answered());
    h.end(id, 0, Outcome::served);
    EXPECT_TRUE(h.last.empty());
}

TEST(Answers, TimeoutAtTheDeadlineIsAnsweredAtOnce) {
    Harness h;
    h.listBasicFleet();
    const RequestId id = h.ask("a");
    h.now += 3s;
    h.end(id, 0, Outcome::timedOut);
    EXPECT_TRUE(h.answered());
    EXPECT_TRUE(h.all<Send>().empty());
}

TEST(Answers, WithoutHostsRequestsAreRefusedPromptly) {
    Harness h;
    h.list({});
    h.ask("a");
    const auto refusal = h.one<Refuse>();
    ASSERT_TRUE(refusal);
    EXPECT_GT(refusal->retryAfter, 0ms);
    EXPECT_LT(refusal->retryAfter, 250ms);  // a retry can still meet the latency target
}

TEST(Answers, EveryRequestEndsExactlyOnceUnderFailures) {
    Harness h;
    h.listBasicFleet();
    for (int round = 0; round < 200; ++round) {
        const RequestId id = h.ask("x" + std::to_string(round % 9));
        int answers = static_cast<int>(h.all<Refuse>().size() + h.all<Fail>().size());
        std::size_t sent = h.all<Send>().size();
        for (std::size_t attempt = 0; attempt < sent; ++attempt) {
            h.end(id, static_cast<int>(attempt), attempt % 2 ? Outcome::noConnection : Outcome::error);
            answers += static_cast<int>(h.all<Refuse>().size() + h.all<Fail>().size());
            sent += h.all<Send>().size();
        }
        EXPECT_EQ(answers, 1) << "request " << round;
        EXPECT_LE(sent, 6u);
        h.now += 20ms;
    }
}

TEST(Answers, DisconnectedClientGetsNoAnswer) {
    Harness h;
    h.listBasicFleet();
    const RequestId id = h.ask("a");
    h.clientGone(id);
    EXPECT_EQ(h.all<Cancel>().size(), 1u);
    EXPECT_FALSE(h.answered());
    h.end(id, 0, Outcome::cancelled);
    EXPECT_TRUE(h.last.empty());
}

// --- 2: no effect twice ---

Settings withEffect(Effect effect, DeduplicationScope group = DeduplicationScope::all) {
    Settings s = basicSettings();
    for (ClassSettings& c : s.classes) {
        c.effect = effect;
        c.deduplicationScope = group;
        c.deduplicationWindow = 500ms;
    }
    return s;
}

TEST(Effects, UnsafeIsNotRepeatedNorRefusedAfterItMayHaveRun) {
    Harness h(withEffect(Effect::unsafe));
    h.listBasicFleet();
    const RequestId id = h.ask("a");
    h.end(id, 0, Outcome::error);
    EXPECT_TRUE(h.all<Send>().empty());
    EXPECT_TRUE(h.all<Refuse>().empty());
    EXPECT_EQ(h.all<Fail>().size(), 1u);
}

TEST(Effects, UnsafeIsRetriedIfItNeverRan) {
    Harness h(withEffect(Effect::unsafe));
    h.listBasicFleet();
    const RequestId id = h.ask("a");
    h.end(id, 0, Outcome::noConnection);
    EXPECT_EQ(h.all<Send>().size(), 1u);
}

TEST(Effects, UnsafeIsNeverSentTwiceAtOnce) {
    Harness h(withEffect(Effect::unsafe));
    h.listBasicFleet();
    h.ask("a");
    const auto timers = h.all<SetTimer>();
    h.now += 1s;
    for (const SetTimer& t : timers) {
        h.fire(t.timer);
        EXPECT_TRUE(h.all<Send>().empty());
    }
}

TEST(Effects, KeyedIsRetriedOnlyInItsZoneAndWindow) {
    Harness h(withEffect(Effect::keyed, DeduplicationScope::zone));
    h.listBasicFleet();
    h.warmUpFilter(3);
    const RequestId id = h.ask("a");
    const auto first = h.one<Send>();
    ASSERT_TRUE(first && startsWith(first->host, 'c'));
    h.now += 100ms;
    h.end(id, 0, Outcome::error);
    for (const Send& again : h.all<Send>()) EXPECT_TRUE(startsWith(again.host, 'c')) << again.host;
    EXPECT_TRUE(h.all<Refuse>().empty());
    const RequestId late = h.ask("b");
    h.now += 600ms;
    h.end(late, 0, Outcome::broken);
    EXPECT_TRUE(h.all<Send>().empty());
    EXPECT_EQ(h.all<Fail>().size(), 1u);
}

TEST(Effects, NoHedgingWhereDisabled) {
    Settings s = basicSettings();
    s.mayHedge = false;
    Harness h(s);
    h.listBasicFleet();
    const RequestId id = h.ask("a");
    const auto timers = h.all<SetTimer>();
    ASSERT_FALSE(timers.empty());
    h.now += timers.front().delay;
    h.fire(timers.front().timer);
    EXPECT_TRUE(h.all<Send>().empty());
    ASSERT_EQ(h.all<Cancel>().size(), 1u);
    h.end(id, 0, Outcome::cancelled);
    EXPECT_EQ(h.all<Send>().size() + h.all<Refuse>().size(), 1u);
}

// --- 3: drains, also as a source ---

TEST(Drains, NothingGoesToOrThroughADrainingHost) {
    Harness h;
    h.listBasicFleet();
    HostEntry draining = Harness::host("p1", Role::parent, 0, 20);
    draining.readiness = Readiness::draining;
    HostEntry gone = Harness::cache("c2");
    gone.readiness = Readiness::gone;
    h.list({draining, gone}, false);
    for (int i = 0; i < 100; ++i) {
        h.ask("o" + std::to_string(i % 40));
        for (const Send& s : h.all<Send>()) {
            EXPECT_NE(s.host, "p1");
            EXPECT_NE(s.source, "p1");
            EXPECT_NE(s.host, "c2");
        }
    }
}

TEST(Drains, RetriesUseTheCurrentHostList) {
    Harness h;
    h.listBasicFleet();
    h.addToAdmissionFilter("a");
    const RequestId id = h.ask("a");
    const auto first = h.one<Send>();
    ASSERT_TRUE(first);
    std::vector<HostEntry> left{Harness::cache("c1"), Harness::host("p2", Role::parent, 0, 20)};
    h.list(left);  // a whole list: a host that is not in it is gone
    h.end(id, 0, Outcome::noConnection);
    for (const Send& s : h.all<Send>()) {
        EXPECT_TRUE(s.host == "c1" || s.host == "p2");
        EXPECT_TRUE(s.source == "c1" || s.source == "p2");
    }
}

// --- 4: cold hosts ---

double sendSecondsSentTo(Harness& h, std::string_view name, int requests, Time gap) {
    double work = 0;
    for (int i = 0; i < requests; ++i) {
        const RequestId id = h.ask("cold" + std::to_string(i % 50), 0, 1, 100);
        const auto sent = h.all<Send>();
        for (const Send& s : sent)
            if (s.host == name || s.source == name) work += 0.1;
        for (std::size_t k = 0; k < sent.size(); ++k) h.end(id, static_cast<int>(k), Outcome::served);
        h.now += gap;
    }
    return work;
}

// Parts of one version are asked for where the first part came from, but only while that host may be used.
TEST(PreferredHost, IsChosenWhileItMayBeUsed) {
    Harness h;
    h.listBasicFleet();
    h.warmUpFilter();
    h.addToAdmissionFilter("a");
    for (const char* name : {"c1", "c2", "c3", "p1", "p2"}) {
        h.preferredHost = name;
        for (int part = 0; part < 8; ++part) {
            const RequestId id = h.ask("a", part, 0);
            ASSERT_TRUE(h.one<Send>());
            EXPECT_EQ(h.one<Send>()->host, name);
            h.end(id, 0, Outcome::served);
        }
    }
    HostEntry draining = Harness::host("p2", Role::parent, 0, 20);
    draining.readiness = Readiness::draining;
    h.list({draining}, false);
    const RequestId id = h.ask("a", 1, 0);
    ASSERT_TRUE(h.one<Send>());
    EXPECT_NE(h.one<Send>()->host, "p2");
    h.end(id, 0, Outcome::served);
    h.preferredHost = "c1";
    const RequestId failing = h.ask("a", 1, 0);
    h.end(failing, 0, Outcome::broken);
    ASSERT_TRUE(h.one<Send>());
    EXPECT_NE(h.one<Send>()->host, "c1");
    h.preferredHost = "unknown";
    h.ask("a", 1, 0);
    EXPECT_TRUE(h.one<Send>());
}

TEST(ColdHosts, CacheGetsNoMoreThanItsBudget) {
    Harness h;
    h.listBasicFleet();
    h.warmUpFilter(600);
    h.list({Harness::cache("c1", h.now), Harness::host("p1", Role::parent, 0, 20),
            Harness::host("p2", Role::parent, 0, 20)});
    // 0.2 of 5 transfers times 4 over 1.5 s is 6 s of sending time for all routers of the zone.
    EXPECT_LT(sendSecondsSentTo(h, "c1", 1000, 1ms), 6.0);
}

// Without sizes an attempt once counted for next to nothing, so that cold caches were overloaded and failed.
TEST(ColdHosts, WithoutSizesAnAttemptCountsAsTheMeanHit) {
    Settings settings = basicSettings();
    settings.weights = WeightMeaning::none;
    settings.directUpstream = false;
    Harness h(settings);
    h.listBasicFleet();
    h.attemptTime = 300ms;
    for (int i = 0; i < 300; ++i, h.now += 20ms)
        h.end(h.ask("warm" + std::to_string(i % 20), 0, 0, 0), 0, Outcome::served, CacheStatus::hit);
    h.list({Harness::cache("c1", h.now), Harness::cache("c2")}, false);
    int sent = 0;
    for (int i = 0; i < 200; ++i, h.now += 1ms) {
        const RequestId id = h.ask("warm" + std::to_string(i % 20), i, 0, 0);
        for (const Send& s : h.all<Send>()) sent += s.host == "c1" ? 1 : 0;
        h.end(id, 0, Outcome::served, CacheStatus::hit);
    }
    // By the low default its link carries 2 transfers: 0.2 of them times 4 over 1.5 s is 2.4 s of sending
    // time.
    EXPECT_LT(sent * 0.3, 2.4);
    EXPECT_GT(sent, 0);
}

TEST(ColdHosts, ParentBudgetCountsFillsAndIsSharedByAllRouters) {
    Harness h;
    h.listBasicFleet();
    h.warmUpFilter(600);
    h.list({Harness::cache("c1"), Harness::host("p1", Role::parent, 0, 20, h.now)});
    // 0.1 of 20 transfers times 2 over 1.5 s is 6 s of sending time, half of it for this router.
    const double work = sendSecondsSentTo(h, "p1", 1000, 1ms);
    EXPECT_LT(work, 3.0);
    EXPECT_GT(work, 0.0);
}

// With many routers, each one's part of the budget is less than one request. Some requests must still be
// sent, and all routers together must stay within the budget.
TEST(ColdHosts, ManyRoutersTogetherStayWithinAColdParentsBudget) {
    constexpr int kRouters = 200;
    double early = 0;
    for (int router = 0; router < kRouters; ++router) {
        Settings settings = basicSettings();
        settings.routers = kRouters;
        Harness h(settings, static_cast<std::uint64_t>(router) + 1);
        h.listBasicFleet();
        h.warmUpFilter(20);
        h.list({Harness::cache("c1"), Harness::host("p1", Role::parent, 0, 20, h.now)});
        for (int i = 0; i < 15; ++i) {
            const RequestId id = h.ask("cold" + std::to_string(i), 0, 1, 100);
            h.end(id, 0, Outcome::noCopy);  // a copy in the cache is requested first
            for (const Send& s : h.all<Send>())
                if (s.host == "p1" || s.source == "p1") early += 0.1;
            h.end(id, 1, Outcome::served);
            h.now += 100ms;
        }
    }
    EXPECT_GT(early, 0.5);
    EXPECT_LT(early, 6.0);  // 0.1 of 20 transfers times 2 over 1.5 s
}

// --- 5: purges ---

TEST(Purges, LimitTheCopyAgeOfThePurgedObjectOnly) {
    Harness h;
    h.listBasicFleet();
    h.purge("a", 7, 50ms);
    h.now += 200ms;
    h.ask("a");
    auto sent = h.one<Send>();
    ASSERT_TRUE(sent);
    EXPECT_FALSE(sent->withoutSource);
    EXPECT_GT(sent->maxCopyAge, 0ns);
    EXPECT_LE(sent->maxCopyAge, 250ms);
    h.ask("b");
    sent = h.one<Send>();
    ASSERT_TRUE(sent);
    EXPECT_EQ(sent->maxCopyAge, 0ns);
}

TEST(Purges, GroupPurgeOverridesHigherAgeLimitsOfItsObjects) {
    Settings s = basicSettings();
    s.classes[1].freshFor = 8s;
    s.classes[1].staleFor = 10s;
    Harness h(s);
    h.listBasicFleet();
    h.purge("", 7, 0ms);
    h.ask("any", 0, 1, 50, 3s, 7);
    auto sent = h.one<Send>();
    ASSERT_TRUE(sent);
    EXPECT_EQ(sent->maxCopyAge, 1ns);  // zero would mean any age
    h.now += 5s;
    h.ask("any", 0, 1, 50, 3s, 7);
    EXPECT_LE(h.one<Send>()->maxCopyAge, 5s);
    h.ask("other", 0, 1, 50, 3s, 8);
    EXPECT_EQ(h.one<Send>()->maxCopyAge, 8s);
}

TEST(Purges, ApplyToRetriesToo) {
    Settings s = basicSettings();
    s.classes[1].freshFor = 8s;
    s.classes[1].staleFor = 10s;
    Harness h(s);
    h.listBasicFleet();
    const RequestId id = h.ask("a");
    h.purge("a", 7, 10ms);
    h.now += 400ms;
    h.end(id, 0, Outcome::error);
    for (const Send& again : h.all<Send>()) {
        if (again.withoutSource) continue;
        EXPECT_GT(again.maxCopyAge, 0ns);
        EXPECT_LE(again.maxCopyAge, 410ms);
    }
    EXPECT_EQ(h.all<Send>().size(), 1u);
}

}  // namespace
}  // namespace lotuslead::testing
