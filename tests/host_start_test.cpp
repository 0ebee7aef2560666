// Slow start of a host whose start is dated by a wall clock that is off.
//
// The start was taken to be the date of the list minus the offset of our own wall clock. With the list's
// clock an hour behind ours, a hub cache of the first list that had just started passed for warm and got 261
// to 277 fills in 3 s where 100 were allowed. So dates are compared with other dates of the list only.
#include <gtest/gtest.h>

#include "core/decision_facade.hpp"

namespace lotuslead::core {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr Micros kNow = 1000s;  // of the monotonic clock
constexpr Micros kUnixClockOffset = 1'764'576'000s;

settings::DecodedSettings testSettings() {
    return settings::readSettings(json::parse(R"({
        "zone": "edge", "zones": ["hub", "edge"], "shapes": ["small", "parent", "origin"],
        "categories": [{"name": "page", "effect": "free", "group": "all", "aim": 250000000,
                        "hardLimit": 3000000000, "value": 1, "window": 3000000000}],
        "allowed": {"mostTries": 8, "mayCancel": true, "retryAfter": true, "maxRetryAfter": 1000000000,
                    "connectTimeout": 400000000, "keepalive": 30000000000, "streamsPerConn": 100},
        "obligations": {"stopSendingWithin": 1000000000, "graceToAnswer": 8000000},
        "extra": {"flowKbPerS": 3700.0, "parentKind": 1, "originKind": 2, "siblings": "any", "noteLevel": "all",
                  "inParts": [false], "neverKept": [false], "obeyAfter": 500000000,
                  "purgeSettles": 6000000000}})"));
}

// A store dated by a clock that is ahead of ours by `clockError`; `at` is the true time by our monotonic
// clock.
settings::ListedStore storeStartedAt(const std::string& name, Micros at, Micros clockError,
                                     const std::string& type = "small") {
    settings::ListedStore store;
    store.name = name;
    store.type = type;
    store.zone = type == "small" ? "edge" : "hub";
    store.startedAtMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(at + kUnixClockOffset + clockError).count();
    return store;
}

settings::BusEvent listOf(std::vector<settings::ListedStore> stores, bool isSnapshot) {
    settings::BusEvent event;
    event.isStoreList = true;
    event.isSnapshot = isSnapshot;
    event.stores = std::move(stores);
    return event;
}

class HostStart : public ::testing::TestWithParam<Micros> {
protected:
    Micros error() const { return GetParam(); }
    // How long ago a host has started at the latest, as the slow start takes it.
    static Micros ageOf(const DecisionFacade& decisions, const std::string& name, Micros now) {
        constexpr std::chrono::hours kRouterClockOffset{24 * 365};
        const Time startedAt = decisions.findHost(name).startedAt;
        return now + kRouterClockOffset - std::chrono::duration_cast<Micros>(startedAt);
    }

    DecisionFacade decisions_{testSettings(), 1, kNow, kUnixClockOffset};
};

INSTANTIATE_TEST_SUITE_P(ClockErrors, HostStart, ::testing::Values(0s, 5s, -5s, 3600s, -3600s));

TEST_P(HostStart, NewestHostOfTheFirstListIsColdWhateverItsDate) {
    for (const char* type : {"small", "parent"}) {
        DecisionFacade decisions{testSettings(), 1, kNow, kUnixClockOffset};
        decisions.applyHostList(kNow, listOf({storeStartedAt("a", kNow, error(), type)}, true), false);
        decisions.initialListsComplete(kNow);
        EXPECT_EQ(ageOf(decisions, "a", kNow), 0s) << type;
    }
}

TEST_P(HostStart, OtherHostsOfTheFirstListAreOlderByTheDifferenceOfTheDates) {
    const auto first = listOf({storeStartedAt("old", kNow - 600s, error())}, true);
    const auto second = listOf({storeStartedAt("new", kNow - 2s, error())}, false);
    decisions_.applyHostList(kNow, first, false);
    decisions_.applyHostList(kNow, second, false);
    decisions_.initialListsComplete(kNow);
    EXPECT_EQ(ageOf(decisions_, "new", kNow), 0s);
    EXPECT_EQ(ageOf(decisions_, "old", kNow), 598s);
}

TEST_P(HostStart, LateReportIsSeenByAnEarlierQuickOne) {
    decisions_.applyHostList(kNow, listOf({storeStartedAt("quick", kNow, error())}, true), true);
    decisions_.applyHostList(kNow + 10s, listOf({storeStartedAt("late", kNow + 7s, error())}, false), true);
    EXPECT_EQ(ageOf(decisions_, "late", kNow + 10s), 3s);
}

// Purges are told quickly, lists seconds late.
TEST_P(HostStart, PurgesThatAreReceivedLiveShowThatAReportIsLate) {
    for (const bool live : {true, false}) {
        DecisionFacade decisions{testSettings(), 1, kNow, kUnixClockOffset};
        settings::BusEvent purge;
        purge.purgedObject = "object";
        purge.purgedMs = storeStartedAt("", kNow, error()).startedAtMs;
        decisions.applyPurge(kNow, purge, live);
        const Micros later = kNow + 10s;
        decisions.applyHostList(later, listOf({storeStartedAt("a", later - 3s, error())}, false), true);
        EXPECT_EQ(ageOf(decisions, "a", later), live ? 3s : 0s);
    }
}

// Whatever clock dates purges, it warms no host of the first list, and none that has started within a minute.
TEST_P(HostStart, PurgesDatedByAnotherClockWarmNoNewHost) {
    settings::BusEvent purge;
    purge.purgedObject = "object";
    purge.purgedMs = storeStartedAt("", kNow, error() + 3600s).startedAtMs;
    decisions_.applyPurge(kNow, purge, false);
    decisions_.applyHostList(kNow, listOf({storeStartedAt("first", kNow, error())}, true), false);
    decisions_.initialListsComplete(kNow);
    decisions_.applyPurge(kNow, purge, true);
    decisions_.applyHostList(kNow, listOf({storeStartedAt("next", kNow, error())}, false), true);
    EXPECT_EQ(ageOf(decisions_, "first", kNow), 0s);
    EXPECT_EQ(ageOf(decisions_, "next", kNow), 0s);
}

TEST_P(HostStart, StepOfTheListsClockDoesNotWarmANewHost) {
    decisions_.applyHostList(kNow, listOf({storeStartedAt("before", kNow, error())}, true), true);
    for (const Micros step : {-3600s, 3600s}) {
        const std::string name = "after" + std::to_string(step.count());
        decisions_.applyHostList(kNow + 10s, listOf({storeStartedAt(name, kNow + 9s, error() + step)}, false),
                                 true);
        EXPECT_EQ(ageOf(decisions_, name, kNow + 10s), 0s) << step.count();
        EXPECT_EQ(ageOf(decisions_, "before", kNow + 10s), 10s) << step.count();
    }
}

TEST_P(HostStart, OldDatesProveNothing) {
    decisions_.applyHostList(kNow, listOf({storeStartedAt("first", kNow, error())}, true), true);
    const Micros later = kNow + 300s;
    decisions_.applyHostList(later, listOf({storeStartedAt("second", later - 4s, error())}, false), true);
    EXPECT_EQ(ageOf(decisions_, "second", later), 0s);
}

TEST_P(HostStart, ListThatIsReadAgainKeepsTheStart) {
    const auto list = listOf({storeStartedAt("a", kNow - 1s, error())}, true);
    decisions_.applyHostList(kNow, list, false);
    decisions_.initialListsComplete(kNow);
    for (const bool live : {false, true}) {
        decisions_.applyHostList(kNow + 6s, list, live);
        EXPECT_EQ(ageOf(decisions_, "a", kNow + 6s), 6s);
    }
}

TEST_P(HostStart, SuccessorTakesTheStartsThatItsPredecessorHeardOf) {
    const auto list = listOf({storeStartedAt("a", kNow - 1s, error())}, true);
    decisions_.applyHostList(kNow, list, true);
    const Micros later = kNow + 30s;
    DecisionFacade successor{testSettings(), 2, later, kUnixClockOffset};
    successor.applyHostList(later, list, false);
    EXPECT_EQ(ageOf(successor, "a", later), 0s);
    successor.importState(later, decisions_.exportState(later));
    EXPECT_EQ(ageOf(successor, "a", later), 30s);
    successor.initialListsComplete(later);
    EXPECT_EQ(ageOf(successor, "a", later), 30s);
}

TEST_P(HostStart, SuccessorDoesNotTakeTheStartOfAnEarlierProcessOfTheHost) {
    decisions_.applyHostList(kNow, listOf({storeStartedAt("a", kNow - 1s, error())}, true), true);
    const Micros later = kNow + 30s;
    DecisionFacade successor{testSettings(), 2, later, kUnixClockOffset};
    successor.applyHostList(later, listOf({storeStartedAt("a", later - 1s, error())}, true), false);
    successor.importState(later, decisions_.exportState(later));
    EXPECT_EQ(ageOf(successor, "a", later), 0s);
}

}  // namespace
}  // namespace lotuslead::core
