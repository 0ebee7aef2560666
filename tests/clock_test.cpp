// A wall clock that was wrong when the process started: slow start is kept to, and ends; no copy passes that
// is older than a purge.
//
// The gateway reads once at its start how far the wall clock is from the monotonic one, and takes a purge's
// age out of the date that another machine gave it. With a clock that is an hour ahead a purge of one second
// ago was an hour old: the PULL said `fresh=3601001` where 1001 is the most, and any store copy of the last
// hour would do. A purge that is heard counts as made then, the latest that it can
// have been, whatever the clocks say. The same clock judged `minted`: with a purge's age right and the
// clock wrong, good copies passed for too old.
#include "faults.hpp"
#include "moments.hpp"

namespace {

using namespace lotuslead::testing;

constexpr int kCalls = 160;
constexpr int kObjectBytes = 20'000;
constexpr double kLinkKbPerS = 4000;  // of a store: 200 calls a second at full pace
constexpr int kWeight = 4;
// At first 1.5 x a tenth of that: 30 calls in a second, and 2 x root of 30 and 2 more.
constexpr int kBudget = 43;
constexpr std::int64_t kHourMs = 3'600'000;

std::int64_t unixMs() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

json listed(json store, std::int64_t sinceMs) {
    store["weight"] = kWeight;
    store["since_ms"] = sinceMs;
    return store;
}

json slowStart(const std::vector<json>& hosts, long long warmMs) {
    json all = configuration(hosts);
    all["flow_bytes_per_s"] = kLinkKbPerS / kWeight * 1000;  // as sizes are told on the sockets
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

void callForMany(Connection& client, int first) {
    char entity[17];
    for (int i = 0; i < kCalls; ++i) {
        std::snprintf(entity, sizeof entity, "%016x", 0x5000 + first + i);
        callFor(client, first + i, entity);
        assert(!client.readResp().empty());
    }
}

// The store started just now. By a clock that is an hour ahead that is an hour ago.
void aClockThatIsAheadDoesNotWarmAColdStore() {
    EventCounter cold;
    Fleet fleet;
    const std::string body(kObjectBytes, 'b');
    Peer warm(store(serving(body))), fresh(store([&](Connection&c, const std::vector<std::string>&words) {
        cold.raise();
        serving(body)(c, words);
    }));
    Bus bus;
    json settings = slowStart(fleet.with({listed(host("cache-1", warm.address()), 0)}), 20'000);
    settings["bus"] = bus.address();
    Program program(settings, "LB_CONFIG", 1024, faultVariables("realtime=3600"));
    Connection client(program.port());
    callForMany(client, 1);
    bus.tell(topology({listed(host("cache-2", fresh.address()), unixMs())}));
    callForMany(client, 1 + kCalls);
    std::fprintf(stderr, "%d calls at the cold store, %d allowed\n", cold.count(), kBudget);
    assert(cold.count() <= kBudget);
}

// The same store in the list that the process starts with. Nothing else that it is told then contradicts the
// clock.
void aClockThatIsAheadDoesNotWarmAColdStoreOfTheFirstList() {
    EventCounter cold;
    Fleet fleet;
    const std::string body(kObjectBytes, 'b');
    Peer warm(store(serving(body)));
    Peer fresh(store([&](Connection& c, const std::vector<std::string>& words) {
        cold.raise();
        serving(body)(c, words);
    }));
    const json settings = slowStart(fleet.with({listed(host("cache-1", warm.address()), 0),
                                                listed(host("cache-2", fresh.address()), unixMs())}),
                                    20'000);
    Program program(settings, "LB_CONFIG", 1024, faultVariables("realtime=3600"));
    Connection client(program.port());
    callForMany(client, 1);
    std::fprintf(stderr, "%d calls at the cold store, %d allowed\n", cold.count(), kBudget);
    assert(cold.count() <= kBudget);
}

// The only store started a minute ago. By a clock that is an hour behind that is in an hour.
void aClockThatIsBehindDoesNotKeepAStoreCold() {
    Fleet fleet;
    std::atomic<int> pulls{0};
    const std::string body(kObjectBytes, 'b');
    Peer cache(store([&](Connection& c, const std::vector<std::string>& words) {
        ++pulls;
        serving(body)(c, words);
    }));
    const json settings =
        slowStart(fleet.with({listed(host("cache-1", cache.address()), unixMs() - kHourMs / 60)}), 1000);
    Program program(settings, "LB_CONFIG", 1024, faultVariables("realtime=-3600"));
    Connection client(program.port());
    std::this_thread::sleep_for(1500ms);
    callForMany(client, 1);
    std::fprintf(stderr, "%d of %d calls at the store\n", pulls.load(), kCalls);
    assert(pulls >= kCalls / 2);
}

// What the store is asked for one second after a purge, with a copy made after it.
struct AskedAfterAPurge {
    std::int64_t freshMs = 0;    // told to the store
    std::int64_t elapsedMs = 0;  // since the purge was made
    bool served = false;
};

constexpr std::int64_t kPurgedBeforeStartMs = 10'000;

AskedAfterAPurge askAfterAPurge(const std::string& clockRule, bool beforeTheStart) {
    AskedAfterAPurge seen;
    std::atomic<std::int64_t> freshMs{0}, pulledMs{0};
    Fleet fleet;
    Peer cache(store([&](Connection& c, const std::vector<std::string>& words) {
        freshMs = std::atoll(valueOf(words[2], "fresh").c_str());
        pulledMs = unixMs();
        c.sendResp({words[1], "ok",
                    "tag=4be0c1927d55a6f3,minted=" + std::to_string(unixMs()) + ",remark=local", "new"});
    }));
    Bus bus;
    json settings = configuration(fleet.with({host("cache-1", cache.address())}));
    settings["bus"] = bus.address();
    std::int64_t purgedMs = unixMs() - kPurgedBeforeStartMs;
    if (beforeTheStart) bus.note({{"ban", {{"url", kEntity}, {"ts", purgedMs}}}});
    Program program(settings, "LB_CONFIG", 1024, faultVariables(clockRule));
    Connection client(program.port());
    if (!beforeTheStart) {
        std::this_thread::sleep_for(300ms);
        purgedMs = unixMs();
        bus.tell({{"ban", {{"url", kEntity}, {"ts", purgedMs}}}});
    }
    std::this_thread::sleep_for(1s);
    call(client, "1");
    const std::vector<std::string> answer = client.readResp();
    seen.served = answer.size() > 3 && answer[3] == "new";
    seen.freshMs = freshMs;
    seen.elapsedMs = pulledMs - purgedMs;
    std::fprintf(stderr, "%s: fresh=%lld, purged %lld ms ago, %s\n", clockRule.c_str(),
                 static_cast<long long>(seen.freshMs), static_cast<long long>(seen.elapsedMs),
                 seen.served ? "served" : "not served");
    return seen;
}

void purgesHoldWithAWrongClock(bool beforeTheStart) {
    for (const char* clockRule :
         {"realtime=5", "realtime=3600", "realtime=-5", "realtime=-3600", "realtime=0"}) {
        const AskedAfterAPurge seen = askAfterAPurge(clockRule, beforeTheStart);
        assert(seen.freshMs > 0 && seen.freshMs <= seen.elapsedMs + 1);
        assert(seen.served);
    }
}
// A class with a fresh time: copies are a second old, a minute is allowed. By a clock that is an hour ahead
// they were an hour old, and passed for too old: 0 of 10 calls served. The youngest copy seen tells how far
// that clock can be.
void copiesAreServedWithAWrongClock() {
    constexpr int kCallsEach = 10;
    constexpr std::int64_t kMinute = 60'000'000'000;
    constexpr std::int64_t kAgeMs = 1000;
    for (const char* clockRule : {"realtime=3600", "realtime=5", "realtime=-3600", "realtime=0"}) {
        Fleet fleet;
        Peer cache(store([&](Connection& c, const std::vector<std::string>& words) {
            c.sendResp({words[1], "ok",
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

void aPurgeThatIsHeardHolds() { purgesHoldWithAWrongClock(false); }
void aPurgeFromBeforeTheStartHolds() { purgesHoldWithAWrongClock(true); }

}  // namespace

int main(int count, char** words) {
    const Story stories[] = {
        {"ahead", aClockThatIsAheadDoesNotWarmAColdStore},
        {"first-list-ahead", aClockThatIsAheadDoesNotWarmAColdStoreOfTheFirstList},
        {"behind", aClockThatIsBehindDoesNotKeepAStoreCold},
        {"fresh-time", copiesAreServedWithAWrongClock},
        {"purge-heard", aPurgeThatIsHeardHolds},
        {"purge-before-start", aPurgeFromBeforeTheStartHolds},
    };
    playStories(stories, count, words);
    return 0;
}
