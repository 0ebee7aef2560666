// The wall clock is wrong when the process starts. Slow start must still be applied and must end, and no copy
// from before a purge may be served.
//
// The gateway reads the offset between its wall clock and the monotonic clock once, at the start. When it
// derived the age of a purge from the date that another machine had given it, a clock one hour ahead turned a
// purge of one second ago into one of an hour ago: the PULL said `fresh=3601001` where 1001 is the maximum,
// and any copy of the last hour was accepted. So a purge counts as made when it is received, the latest
// possible time, whatever the clocks say. The same wrong clock also judged `minted`: with the correct age of
// the purge, good copies were rejected as too old.
#include "faults.hpp"
#include "scenarios.hpp"

namespace {

using namespace lotuslead::testing;

constexpr int kCalls = 160;
constexpr int kObjectBytes = 20'000;
constexpr double kLinkKbPerS = 4000;  // of a store: 200 calls a second at full rate
constexpr int kWeight = 4;
// Initially 1.5 times a tenth of that: 30 calls in a second, plus 2 times the root of 30, plus 2.
constexpr int kSlowStartBudget = 43;
constexpr std::int64_t kHourMs = 3'600'000;

std::int64_t unixMs() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

json listedSince(json store, std::int64_t sinceMs) {
    store["weight"] = kWeight;
    store["since_ms"] = sinceMs;
    return store;
}

json slowStartConfiguration(const std::vector<json>& hosts, long long warmMs) {
    json all = configuration(hosts);
    all["flow_bytes_per_s"] = kLinkKbPerS / kWeight * 1000;  // in the units of the socket protocol
    json& settings = all["settings"];
    settings["weights"] = "nominal";
    settings["extra"]["flowKbPerS"] = kLinkKbPerS / kWeight;
    settings["extra"]["inParts"] = {false, false, false};
    settings["obligations"]["coldFrom"] = 0.1;
    settings["obligations"]["fallMultiple"] = 1.5;
    settings["obligations"]["fall"] = 1'000'000'000;
    settings["obligations"]["warmWithin"] = warmMs * 1'000'000;
    return all;
}

void callManyObjects(Connection& client, int first) {
    char entity[17];
    for (int i = 0; i < kCalls; ++i) {
        std::snprintf(entity, sizeof entity, "%016x", 0x5000 + first + i);
        callForObject(client, first + i, entity);
        assert(!client.readResp().empty());
    }
}

// The store has just started. By a clock one hour ahead, that was an hour ago.
void aClockThatIsAheadDoesNotWarmAColdStore() {
    EventCounter cold;
    Fleet fleet;
    const std::string body(kObjectBytes, 'b');
    Peer warm(store(serving(body))), fresh(store([&](Connection&c, const std::vector<std::string>&elements) {
        cold.raise();
        serving(body)(c, elements);
    }));
    Bus bus;
    json settings =
        slowStartConfiguration(fleet.with({listedSince(host("cache-1", warm.address()), 0)}), 20'000);
    settings["bus"] = bus.address();
    Program program(settings, "LB_CONFIG", 1024, faultVariables("realtime=3600"));
    Connection client(program.port());
    callManyObjects(client, 1);
    bus.publish(topology({listedSince(host("cache-2", fresh.address()), unixMs())}));
    callManyObjects(client, 1 + kCalls);
    std::fprintf(stderr, "%d calls at the cold store, %d allowed\n", cold.count(), kSlowStartBudget);
    assert(cold.count() <= kSlowStartBudget);
}

// Calls at a store that has just started and that the first list names, with our clock off by this rule.
int callsAtAColdStoreOfTheFirstList(const std::string& clockRule) {
    EventCounter cold;
    Fleet fleet;
    const std::string body(kObjectBytes, 'b');
    Peer warm(store(serving(body)));
    Peer fresh(store([&](Connection& c, const std::vector<std::string>& elements) {
        cold.raise();
        serving(body)(c, elements);
    }));
    const json settings =
        slowStartConfiguration(fleet.with({listedSince(host("cache-1", warm.address()), 0),
                                           listedSince(host("cache-2", fresh.address()), unixMs())}),
                               20'000);
    Program program(settings, "LB_CONFIG", 1024, faultVariables(clockRule));
    Connection client(program.port());
    callManyObjects(client, 1);
    std::fprintf(stderr, "%s: %d calls at the cold store, %d allowed\n", clockRule.c_str(), cold.count(),
                 kSlowStartBudget);
    return cold.count();
}

// The same store in the list that the process starts with. No later event contradicts the clock.
void aClockThatIsAheadDoesNotWarmAColdStoreOfTheFirstList() {
    assert(callsAtAColdStoreOfTheFirstList("realtime=3600") <= kSlowStartBudget);
}

// A clock that is off by seconds, which no bound on the delay of a report can tell from a late report.
void aClockThatIsOffBySecondsDoesNotWarmAColdStoreOfTheFirstList() {
    for (const char* clockRule : {"realtime=8", "realtime=-8"}) {
        const int calls = callsAtAColdStoreOfTheFirstList(clockRule);
        assert(calls > 0 && calls <= kSlowStartBudget);
    }
}

// The only store started a minute ago. By a clock one hour behind, that is an hour in the future.
void aClockThatIsBehindDoesNotKeepAStoreCold() {
    Fleet fleet;
    std::atomic<int> pulls{0};
    const std::string body(kObjectBytes, 'b');
    Peer cache(store([&](Connection& c, const std::vector<std::string>& elements) {
        ++pulls;
        serving(body)(c, elements);
    }));
    const json settings = slowStartConfiguration(
        fleet.with({listedSince(host("cache-1", cache.address()), unixMs() - kHourMs / 60)}), 1000);
    Program program(settings, "LB_CONFIG", 1024, faultVariables("realtime=-3600"));
    Connection client(program.port());
    std::this_thread::sleep_for(1500ms);
    callManyObjects(client, 1);
    std::fprintf(stderr, "%d of %d calls at the store\n", pulls.load(), kCalls);
    assert(pulls >= kCalls / 2);
}

// The PULL that a store receives one second after a purge; its copy was made after the purge.
struct PullAfterPurge {
    std::int64_t freshMs = 0;    // sent to the store
    std::int64_t elapsedMs = 0;  // since the purge was made
    bool served = false;
};

constexpr std::int64_t kPurgedBeforeStartMs = 10'000;

PullAfterPurge pullAfterPurge(const std::string& clockRule, bool beforeTheStart) {
    PullAfterPurge pull;
    std::atomic<std::int64_t> freshMs{0}, pulledMs{0};
    Fleet fleet;
    Peer cache(store([&](Connection& c, const std::vector<std::string>& elements) {
        freshMs = std::atoll(valueOf(elements[2], "fresh").c_str());
        pulledMs = unixMs();
        c.sendResp({elements[1], "ok",
                    "tag=4be0c1927d55a6f3,minted=" + std::to_string(unixMs()) + ",remark=local", "new"});
    }));
    Bus bus;
    json settings = configuration(fleet.with({host("cache-1", cache.address())}));
    settings["bus"] = bus.address();
    std::int64_t purgedMs = unixMs() - kPurgedBeforeStartMs;
    if (beforeTheStart) bus.publishWithoutWaiting({{"ban", {{"url", kEntity}, {"ts", purgedMs}}}});
    Program program(settings, "LB_CONFIG", 1024, faultVariables(clockRule));
    Connection client(program.port());
    if (!beforeTheStart) {
        std::this_thread::sleep_for(300ms);
        purgedMs = unixMs();
        bus.publish({{"ban", {{"url", kEntity}, {"ts", purgedMs}}}});
    }
    std::this_thread::sleep_for(1s);
    call(client, "1");
    const std::vector<std::string> answer = client.readResp();
    pull.served = answer.size() > 3 && answer[3] == "new";
    pull.freshMs = freshMs;
    pull.elapsedMs = pulledMs - purgedMs;
    std::fprintf(stderr, "%s: fresh=%lld, purged %lld ms ago, %s\n", clockRule.c_str(),
                 static_cast<long long>(pull.freshMs), static_cast<long long>(pull.elapsedMs),
                 pull.served ? "served" : "not served");
    return pull;
}

void purgesApplyWithAWrongClock(bool beforeTheStart) {
    for (const char* clockRule :
         {"realtime=5", "realtime=3600", "realtime=-5", "realtime=-3600", "realtime=0"}) {
        const PullAfterPurge pull = pullAfterPurge(clockRule, beforeTheStart);
        assert(pull.freshMs > 0 && pull.freshMs <= pull.elapsedMs + 1);
        assert(pull.served);
    }
}
// A class with a freshness lifetime: copies are a second old, a minute is allowed. By a clock one hour ahead
// they were an hour old and were rejected as too old: 0 of 10 calls served. The youngest copy seen bounds the
// error of that clock.
void copiesAreServedWithAWrongClock() {
    constexpr int kCallsEach = 10;
    constexpr std::int64_t kMinute = 60'000'000'000;
    constexpr std::int64_t kAgeMs = 1000;
    for (const char* clockRule : {"realtime=3600", "realtime=5", "realtime=-3600", "realtime=0"}) {
        Fleet fleet;
        Peer cache(store([&](Connection& c, const std::vector<std::string>& elements) {
            c.sendResp({elements[1], "ok",
                        "tag=4be0c1927d55a6f3,minted=" + std::to_string(unixMs() - kAgeMs) + ",remark=local",
                        "copy"});
        }));
        json settings = configuration(fleet.with({host("cache-1", cache.address())}));
        settings["settings"]["extra"]["maxAge"] = {kMinute, kMinute, kMinute};
        Program program(settings, "LB_CONFIG", 1024, faultVariables(clockRule));
        Connection client(program.port());
        int served = 0;
        for (int i = 1; i <= kCallsEach; ++i) {
            call(client, std::to_string(i));
            const std::vector<std::string> answer = client.readResp();
            served += answer.size() > 3 && answer[3] == "copy" ? 1 : 0;
        }
        std::fprintf(stderr, "%s: %d of %d served\n", clockRule, served, kCallsEach);
        assert(served == kCallsEach);
    }
}

void aReceivedPurgeApplies() { purgesApplyWithAWrongClock(false); }
void aPurgeFromBeforeTheStartApplies() { purgesApplyWithAWrongClock(true); }

}  // namespace

int main(int argumentCount, char** arguments) {
    const Scenario scenarios[] = {
        {"ahead", aClockThatIsAheadDoesNotWarmAColdStore},
        {"first-list-ahead", aClockThatIsAheadDoesNotWarmAColdStoreOfTheFirstList},
        {"first-list-seconds", aClockThatIsOffBySecondsDoesNotWarmAColdStoreOfTheFirstList},
        {"behind", aClockThatIsBehindDoesNotKeepAStoreCold},
        {"fresh-time", copiesAreServedWithAWrongClock},
        {"purge-heard", aReceivedPurgeApplies},
        {"purge-before-start", aPurgeFromBeforeTheStartApplies},
    };
    runScenarios(scenarios, argumentCount, arguments);
    return 0;
}
