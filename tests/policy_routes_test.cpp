// Tests of the normal routes and of routing under failures and overload.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "harness.hpp"

namespace lotuslead::testing {
namespace {

TEST(Routing, UnknownObjectGoesDirectlyToItsParent) {
    Harness h;
    h.listBasicFleet();
    h.warmUpFilter();
    h.ask("new");
    const auto sent = h.one<Send>();
    ASSERT_TRUE(sent);
    EXPECT_TRUE(startsWith(sent->host, 'p'));
    EXPECT_EQ(sent->source, "o");
    EXPECT_EQ(sent->keepRank, 0);
}

TEST(Routing, KnownObjectGoesToACacheThatStoresIt) {
    Harness h;
    h.listBasicFleet();
    h.warmUpFilter();
    h.addToAdmissionFilter("a");
    h.ask("a");
    const auto sent = h.one<Send>();
    ASSERT_TRUE(sent);
    EXPECT_TRUE(startsWith(sent->host, 'c'));
    EXPECT_TRUE(startsWith(sent->source, 'p'));
    EXPECT_GE(sent->keepRank, 1);
}

TEST(Routing, UnknownObjectPassesThroughACacheIfDirectSendsAreDisabled) {
    Settings s = basicSettings();
    s.directUpstream = false;
    Harness h(s);
    h.listBasicFleet();
    h.warmUpFilter();
    h.ask("new");
    const auto sent = h.one<Send>();
    ASSERT_TRUE(sent);
    EXPECT_TRUE(startsWith(sent->host, 'c'));
    EXPECT_EQ(sent->keepRank, 0);
}

TEST(Routing, UncacheableClassSkipsTheFilterAndReachesTheOrigin) {
    Settings s = basicSettings();
    s.classes[1].uncacheable = true;
    Harness h(s);
    h.listBasicFleet();
    for (int i = 0; i < 3; ++i) {
        const RequestId id = h.ask("w");
        const auto sent = h.one<Send>();
        ASSERT_TRUE(sent);
        EXPECT_FALSE(startsWith(sent->host, 'c'));
        EXPECT_TRUE(sent->withoutSource || sent->source == "o");
        h.end(id, 0, Outcome::served);
    }
}

TEST(Routing, PartsSpreadOverCachesButShareOneParent) {
    Harness h;
    h.listBasicFleet();
    h.addToAdmissionFilter("film", 0, 0);
    std::set<std::string> caches, parents;
    for (int part = 1; part < 40; ++part) {
        const RequestId id = h.ask("film", part, 0, 5);
        const auto sent = h.one<Send>();
        ASSERT_TRUE(sent);
        caches.insert(std::string(sent->host));
        parents.insert(std::string(sent->source));
        h.end(id, 0, Outcome::served);
        h.now += 500ms;
    }
    EXPECT_EQ(caches.size(), 3u);
    EXPECT_EQ(parents.size(), 1u);
}

TEST(Routing, PartsOfOneViewerGetTheLowestRankUntilASecondViewer) {
    Harness h;
    h.listBasicFleet();
    h.addToAdmissionFilter("film", 0, 0);
    RequestId id = h.ask("film", 1, 0);
    EXPECT_EQ(h.one<Send>()->keepRank, 1);
    h.end(id, 0, Outcome::served);
    id = h.ask("film", 0, 0);  // the first part again: a second viewer
    EXPECT_GT(h.one<Send>()->keepRank, 1);
}

TEST(Routing, WholeObjectsRankAboveParts) {
    Harness h;
    h.listBasicFleet();
    h.addToAdmissionFilter("page", 0, 1);
    h.ask("page", 0, 1);
    const int whole = h.one<Send>()->keepRank;
    h.addToAdmissionFilter("film", 0, 0);
    h.ask("film", 0, 0);
    EXPECT_GT(whole, h.one<Send>()->keepRank);
}

TEST(Routing, HotObjectUsesTwoCaches) {
    Harness h;
    h.listBasicFleet();
    std::set<std::string> used;
    for (int i = 0; i < 60; ++i) {
        const RequestId id = h.ask("hot", 0, 1, 200);
        for (const Send& s : h.all<Send>()) used.insert(std::string(s.host));
        if (i > 3) h.end(id - 4, 0, Outcome::served);
        h.now += 20ms;
    }
    EXPECT_EQ(used.size(), 2u);
}

// The parts of a hot object are filled from more than one parent.
TEST(Routing, PartsOfAHotObjectUseDifferentParents) {
    Harness h;
    h.listBasicFleet();
    h.warmUpFilter();
    std::set<std::string> sources;
    for (int round = 0; round < 8; ++round) {
        for (int part = 0; part < 12; ++part) {
            const RequestId id = h.ask("hot", part, 0, 500);
            for (const Send& s : h.all<Send>())
                if (round > 4 && s.source != s.host) sources.insert(std::string(s.source));
            h.end(id, 0, Outcome::served);
            h.now += 10ms;
        }
    }
    EXPECT_TRUE(sources.count("p1") == 1 && sources.count("p2") == 1);
}

TEST(Routing, SameSeedGivesTheSameChoiceAtEveryRouter) {
    Harness a(basicSettings(), 1), b(basicSettings(), 99);
    a.listBasicFleet();
    b.listBasicFleet();
    a.warmUpFilter();
    b.warmUpFilter();
    for (int i = 0; i < 50; ++i) {
        const std::string name = "n" + std::to_string(i);
        a.ask(name);
        b.ask(name);
        EXPECT_EQ(a.one<Send>()->host, b.one<Send>()->host);
    }
}

TEST(FilterWarmUp, UnknownObjectGoesThroughItsCacheWithoutACopy) {
    Harness h;
    h.listBasicFleet();
    h.ask("new");
    const auto sent = h.one<Send>();
    ASSERT_TRUE(sent);
    EXPECT_TRUE(startsWith(sent->host, 'c'));
    EXPECT_EQ(sent->keepRank, 0);
}

// Regression: the warm-up of the filter never ended, since no router saw the number of names that it
// required.
TEST(FilterWarmUp, EndsSoonAfterTheStartEvenWithFewObjects) {
    Harness h;
    h.listBasicFleet();
    h.now += 15s;
    h.ask("new");
    EXPECT_TRUE(startsWith(h.one<Send>()->host, 'p'));
}

// While origin and parents do not answer, fewer fills are requested, but hits still are.
TEST(FillLimits, FillsDecreaseWhenParentsDoNotAnswer) {
    Harness h;
    h.listBasicFleet();
    h.warmUpFilter();
    int upward = 0;
    int held = 0;
    for (int i = 0; i < 300; ++i) {
        const RequestId id = h.ask("k" + std::to_string(i % 10));
        std::vector<Send> sent = h.all<Send>();
        for (std::size_t k = 0; k < sent.size(); ++k) {
            const bool fill = sent[k].source != sent[k].host && !sent[k].sourceOnlyIfCached;
            ++(fill ? upward : held);
            h.end(id, static_cast<int>(k), fill ? Outcome::error : Outcome::noCopy,
                  CacheStatus::originFailed);
            for (const Send& more : h.all<Send>()) sent.push_back(more);
        }
        h.now += 20ms;
    }
    EXPECT_LT(upward, 150);
    EXPECT_GT(held, 100);
    h.now += 10s;  // much later a fill is tried again
    h.ask("k1");
    EXPECT_NE(h.one<Send>()->source, h.one<Send>()->host);
}

// While fills are limited, a parent is first asked for its copy. If it has none, the same parent must fetch
// the object: a fetch by another parent would leave copies at two parents.
TEST(FillLimits, FetchAfterNoCopyGoesToTheSameParent) {
    Harness h;
    h.listBasicFleet();
    h.warmUpFilter();
    h.addToAdmissionFilter("a");
    for (int i = 0; i < 40; ++i) {  // refused fetches: the origin's limiter restricts from here on
        const RequestId id = h.ask("b" + std::to_string(i));
        for (int attempt = 0; !h.all<Send>().empty(); ++attempt) h.end(id, attempt, Outcome::rejected);
        h.now += 20ms;
    }
    int compared = 0;
    for (int i = 0; i < 200 && compared == 0; ++i) {
        const RequestId id = h.ask("a");
        const auto first = h.one<Send>();
        if (first) h.end(id, 0, Outcome::noCopy);
        const auto second = h.one<Send>();
        if (first && first->sourceOnlyIfCached && second && startsWith(second->source, 'p')) {
            EXPECT_FALSE(second->sourceOnlyIfCached);
            EXPECT_EQ(second->source, first->source);
            ++compared;
        }
        for (int k = 1; !h.all<Send>().empty(); ++k) h.end(id, k, Outcome::rejected);
        h.now += 50ms;
    }
    EXPECT_EQ(compared, 1);
}

// Missing answers weigh little while others arrive in time: a tier that loses some answers is not limited.
TEST(FillLimits, LostAnswersAloneDoNotLimitFills) {
    Harness h;
    h.listBasicFleet();
    h.warmUpFilter();
    int upward = 0;
    for (int i = 0; i < 200; ++i) {
        const RequestId id = h.ask("n" + std::to_string(i));
        const auto sent = h.one<Send>();
        ASSERT_TRUE(sent);
        upward += startsWith(sent->host, 'p') ? 1 : 0;
        h.end(id, 0, i % 5 == 0 ? Outcome::broken : Outcome::served);
        h.clientGone(id);
        h.now += 50ms;
    }
    EXPECT_GT(upward, 190);
}

// Prompt errors are a fault of their host: they do not limit fills, so that fills are still requested.
TEST(FillLimits, PromptErrorsDoNotLimitFills) {
    Harness h;
    h.listBasicFleet();
    h.warmUpFilter();
    for (int i = 0; i < 60; ++i) {
        const RequestId id = h.ask("e" + std::to_string(i));
        h.end(id, 0, Outcome::error);
        h.clientGone(id);
        h.now += 50ms;
    }
    h.ask("another");
    ASSERT_TRUE(h.one<Send>());
    EXPECT_NE(h.one<Send>()->source, h.one<Send>()->host);
}

// Three of four caches lose answers: the one that lost most is not ejected for a fault that they share.
TEST(Failures, SharedFaultsDoNotEjectAHost) {
    Harness h;
    h.list({Harness::cache("c1"), Harness::cache("c2"), Harness::cache("c3"), Harness::cache("c4"),
            Harness::host("p1", Role::parent, 0, 20), Harness::host("o", Role::origin, 0, 1)});
    std::map<std::string, std::string> objectAt;
    for (int i = 0; i < 40; ++i) {
        const std::string object = "s" + std::to_string(i);
        const RequestId id = h.ask(object);
        const auto sent = h.one<Send>();
        ASSERT_TRUE(sent);
        objectAt[std::string(sent->host)] = object;
        h.end(id, 0, Outcome::served);
    }
    ASSERT_EQ(objectAt.size(), 4U);
    const auto lose = [&](const std::string& cache) {
        const RequestId id = h.ask(objectAt[cache]);
        EXPECT_EQ(h.one<Send>()->host, cache);
        h.end(id, 0, Outcome::broken);
        h.clientGone(id);
    };
    for (const char* cache : {"c1", "c2", "c3", "c1", "c2", "c3", "c1"}) lose(cache);
    h.ask(objectAt["c1"]);
    EXPECT_EQ(h.one<Send>()->host, "c1");
}

// Without parents the origin takes over for as long as it answers in time.
TEST(Origin, AnswersInTimeRaiseItsShare) {
    const auto served = [](Outcome outcome) {
        Harness h;
        h.warmUpFilter(10);
        h.list({Harness::cache("c1"), Harness::host("o", Role::origin, 0, 1)});
        int toOrigin = 0;
        for (int i = 0; i < 200; ++i) {
            const RequestId id = h.ask("o" + std::to_string(i));
            for (const Send& s : h.all<Send>()) toOrigin += s.host == "o" || s.source == "o" ? 1 : 0;
            h.end(id, 0, outcome);
            h.clientGone(id);
            h.now += 50ms;
        }
        return toOrigin;
    };
    EXPECT_GT(served(Outcome::served), 150);
    EXPECT_LT(served(Outcome::rejected), 60);
}

// A full cache gets no request that it cannot answer in time; an answer at full pace proves free capacity.
TEST(HostLimits, FullCacheGetsNoRequestItCannotAnswerInTime) {
    Harness h;
    h.listBasicFleet();
    h.list({Harness::cache("c1")}, true);
    h.addToAdmissionFilter("a", 0, 0);
    int refused = 0;
    for (int i = 0; i < 60; ++i) {
        h.ask("a", 0, 0, 500);
        refused += static_cast<int>(h.all<Refuse>().size());
        h.now += 5ms;
    }
    EXPECT_GT(refused, 30);
    EXPECT_LT(refused, 60);
}

// While the parent is cold, hits are requested without a fill: they must not use up its budget.
TEST(ColdParent, OnlyFillsUseItsBudget) {
    Harness h;
    h.listBasicFleet();
    h.addToAdmissionFilter("a");
    h.list({Harness::cache("c1"), Harness::host("p1", Role::parent, 0, 20, h.now),
            Harness::host("o", Role::origin, 0, 1)});
    const RequestId id = h.ask("a");
    ASSERT_TRUE(h.one<Send>());
    EXPECT_EQ(h.one<Send>()->source, "c1");
    h.end(id, 0, Outcome::noCopy);
    ASSERT_TRUE(h.one<Send>());
    EXPECT_EQ(h.one<Send>()->source, "p1");
}

// Stale copies earn part of the value: none is used while a fresh one is available.
TEST(StaleCopies, AreUsedOnlyAfterAFailure) {
    Settings s = basicSettings();
    s.classes[1].freshFor = 8s;
    s.classes[1].staleFor = 10s;
    Harness h(s);
    h.listBasicFleet();
    h.addToAdmissionFilter("a");
    const RequestId id = h.ask("a");
    EXPECT_EQ(h.one<Send>()->maxCopyAge, 8s);
    EXPECT_TRUE(h.one<Send>()->staleWhileRevalidate);
    h.end(id, 0, Outcome::error, CacheStatus::sourceUnreached);
    ASSERT_TRUE(h.one<Send>());
    EXPECT_EQ(h.one<Send>()->maxCopyAge, 18s);
}

TEST(Failures, RetriesTakeAnotherRoute) {
    Harness h;
    h.listBasicFleet();
    h.warmUpFilter();
    h.addToAdmissionFilter("a");
    const RequestId id = h.ask("a");
    const auto first = h.one<Send>();
    ASSERT_TRUE(first);
    const std::string host(first->host);
    h.end(id, 0, Outcome::noConnection);
    const auto second = h.one<Send>();
    ASSERT_TRUE(second);
    EXPECT_NE(second->host, host);
}

TEST(Failures, CacheThatKeepsFailingIsEjected) {
    Harness h;
    h.listBasicFleet();
    h.addToAdmissionFilter("a");
    RequestId id = h.ask("a");
    const std::string bad(h.one<Send>()->host);
    h.end(id, 0, Outcome::noConnection);
    std::map<bool, int> firstWasBad;
    for (int i = 0; i < 12; ++i) {
        id = h.ask("a");
        const auto sent = h.one<Send>();
        ASSERT_TRUE(sent);
        const bool toBad = sent->host == bad;
        ++firstWasBad[toBad];
        h.end(id, 0, toBad ? Outcome::noConnection : Outcome::served);
        h.now += 10ms;
    }
    EXPECT_LE(firstWasBad[true], 4);
}

// When half of the hosts or all of them fail at once, trials continue and service resumes soon after they
// recover.
TEST(Failures, NoHostIsEjectedWhenAllFail) {
    Harness h;
    h.listBasicFleet();
    const auto play = [&](int requests, Outcome outcome) {
        int sends = 0;
        for (int i = 0; i < requests; ++i) {
            const RequestId id = h.ask("a" + std::to_string(i % 5));
            std::size_t sent = h.all<Send>().size();
            for (std::size_t k = 0; k < sent; ++k) {
                h.end(id, static_cast<int>(k), outcome);
                sent += h.all<Send>().size();
            }
            sends += static_cast<int>(sent);
            h.now += 20ms;
        }
        return sends;
    };
    play(100, Outcome::error);
    EXPECT_GE(play(100, Outcome::error), 2);
    play(300, Outcome::served);
    EXPECT_GE(play(100, Outcome::served), 90);
}

// When all caches of the zone fail without notice, the parents take over.
TEST(Failures, ParentsTakeOverWhenAllCachesFail) {
    Harness h;
    h.listBasicFleet();
    h.now += 10s;
    int toCaches = 0;
    for (int i = 0; i < 200; ++i) {
        const RequestId id = h.ask("k" + std::to_string(i % 10));
        std::vector<Send> sent = h.all<Send>();
        for (std::size_t k = 0; k < sent.size(); ++k) {
            const bool cache = startsWith(sent[k].host, 'c');
            if (i >= 100 && cache) ++toCaches;
            h.end(id, static_cast<int>(k), cache ? Outcome::noConnection : Outcome::served);
            for (const Send& more : h.all<Send>()) sent.push_back(more);
        }
        h.now += 20ms;
    }
    EXPECT_LT(toCaches, 20);
}

TEST(Failures, RetriesAreLimitedToAShareOfRequests) {
    Harness h;
    h.listBasicFleet();
    int sends = 0;
    constexpr int kRequests = 400;  // plus a tenth of them, plus the initial burst
    for (int i = 0; i < kRequests; ++i) {
        const RequestId id = h.ask("a" + std::to_string(i));
        std::size_t sent = h.all<Send>().size();
        for (std::size_t k = 0; k < sent; ++k) {
            h.end(id, static_cast<int>(k), Outcome::error);
            sent += h.all<Send>().size();
        }
        sends += static_cast<int>(sent);
        h.now += 10ms;
    }
    EXPECT_LE(sends, kRequests + kRequests / 10 + 12);
}

// When the zone's link is full, a request that cannot be answered in time over it is sent to the cache only,
// and is refused on a miss.
TEST(FullLink, RequestsAreSentForCachedCopiesOnly) {
    Harness h;
    h.listBasicFleet();
    h.warmUpFilter();
    for (int i = 0; i < 30; ++i) {
        h.addToAdmissionFilter("a");
        const RequestId id = h.ask("a");
        h.end(id, 0, Outcome::served, CacheStatus::none, 30.0);
    }
    const RequestId id = h.ask("big", 0, 0, 500);
    const auto sent = h.one<Send>();
    ASSERT_TRUE(sent);
    EXPECT_TRUE(startsWith(sent->host, 'c'));
    EXPECT_EQ(sent->source, sent->host);
    h.end(id, 0, Outcome::noCopy);
    EXPECT_TRUE(h.all<Send>().empty());
    EXPECT_EQ(h.all<Refuse>().size(), 1u);
}

TEST(FullLink, OldReportsExpire) {
    Harness h;
    h.listBasicFleet();
    h.warmUpFilter();
    h.addToAdmissionFilter("a");
    const RequestId id = h.ask("a");
    h.end(id, 0, Outcome::served, CacheStatus::none, 30.0);
    h.now += 10s;
    h.ask("big", 0, 0, 500);
    EXPECT_TRUE(startsWith(h.one<Send>()->host, 'p'));
}

struct DeploymentCase {
    const char* description;
    void (*change)(Settings&);
};

class OtherDeployments : public ::testing::TestWithParam<DeploymentCase> {};

TEST_P(OtherDeployments, AnswerEveryRequestWithoutLoops) {
    Settings s = basicSettings();
    GetParam().change(s);
    for (int fleet = 0; fleet < 4; ++fleet) {
        Harness h(s);
        std::vector<HostEntry> hosts;
        if (fleet != 0) hosts.push_back(Harness::host("o", Role::origin, 0, 1));
        if (fleet != 1) hosts.push_back(Harness::cache("c1"));
        if (fleet == 3) hosts.push_back(Harness::host("p1", Role::parent, 0, 10));
        h.list(hosts);
        for (int i = 0; i < 300; ++i) {
            const RequestId id = h.ask("n" + std::to_string(i % 20), i % 4, i % 2, i % 3 ? 0 : 80);
            int answers = static_cast<int>(h.all<Refuse>().size() + h.all<Fail>().size());
            std::size_t sent = h.all<Send>().size();
            for (std::size_t k = 0; k < sent; ++k) {
                const bool good = (i + static_cast<int>(k)) % 3 == 0;
                h.end(id, static_cast<int>(k), good ? Outcome::served : Outcome::rejected);
                if (good) {
                    ++answers;
                    break;
                }
                answers += static_cast<int>(h.all<Refuse>().size() + h.all<Fail>().size());
                sent += h.all<Send>().size();
            }
            EXPECT_EQ(answers, 1) << GetParam().description << ", fleet " << fleet << ", request " << i;
            EXPECT_LE(sent, static_cast<std::size_t>(s.maxAttempts));
            h.now += 7ms;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
    Settings, OtherDeployments,
    ::testing::Values(DeploymentCase{"as usual", [](Settings&) {}},
                      DeploymentCase{"no direct sends", [](Settings& s) { s.directUpstream = false; }},
                      DeploymentCase{"nothing configured",
                                     [](Settings& s) {
                                         s.maxFlowKbPerSecond = 0;
                                         s.weights = WeightMeaning::none;
                                         s.routersByZone.clear();
                                     }},
                      DeploymentCase{
                          "no cancel, no second copy",
                          [](Settings& s) { s.mayCancel = s.mayHedge = s.retryAfterSupported = false; }},
                      DeploymentCase{"one try", [](Settings& s) { s.maxAttempts = 1; }},
                      DeploymentCase{"keyed by cell",
                                     [](Settings& s) {
                                         for (auto& c : s.classes) {
                                             c.effect = Effect::keyed;
                                             c.deduplicationScope = DeduplicationScope::cell;
                                             c.deduplicationWindow = 1s;
                                         }
                                     }},
                      DeploymentCase{"unsafe and never kept",
                                     [](Settings& s) {
                                         for (auto& c : s.classes) {
                                             c.effect = Effect::unsafe;
                                             c.uncacheable = true;
                                         }
                                     }},
                      DeploymentCase{"siblings and joins off", [](Settings& s) {
                                         s.siblings = SiblingSources::none;
                                         s.fillCoalescing = false;
                                     }}));

TEST(Discovery, SubscribesIfRequiredAndRetriesAfterAFailure) {
    Settings s = basicSettings();
    s.mustSubscribeToList = true;
    Harness h(s);
    EXPECT_EQ(h.all<Watch>().size(), 1u);
    h.listFailed();
    const auto timer = h.one<SetTimer>();
    ASSERT_TRUE(timer);
    h.now += timer->delay;
    h.fire(timer->timer);
    EXPECT_EQ(h.all<Watch>().size(), 1u);
}

TEST(Streams, StartedStreamIsLeftRunning) {
    Settings s = basicSettings();
    for (auto& c : s.classes) c.streamed = true;
    Harness h(s);
    h.listBasicFleet();
    const RequestId id = h.ask("a");
    const auto timers = h.all<SetTimer>();
    ASSERT_FALSE(timers.empty());
    h.streamStarted(id, 0);
    EXPECT_TRUE(h.last.empty());
    h.now += timers.front().delay;
    h.fire(timers.front().timer);
    EXPECT_TRUE(h.last.empty());
}

// Actions refer to hosts by views of their names. Regression: a name too long for the small-string
// optimization moved with each list.
TEST(HostLists, RelistedHostKeepsItsNameStorage) {
    const std::string name = "a-cache-with-a-name-of-more-than-fifteen-characters";
    Harness h;
    h.list({Harness::cache(name), Harness::host("p1", Role::parent, 0, 20),
            Harness::host("o", Role::origin, 0, 1)});
    h.ask("before");
    const auto before = h.one<Send>();
    ASSERT_TRUE(before);
    ASSERT_EQ(before->host, name);
    h.list({Harness::cache(name)}, false);
    EXPECT_EQ(before->host, name);
    h.ask("after");
    EXPECT_EQ(h.one<Send>()->host.data(), before->host.data());
}

}  // namespace
}  // namespace lotuslead::testing
