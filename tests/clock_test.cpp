// A wall clock that was wrong when the process started: slow start is kept to, and ends.
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
    Mark cold;
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

}  // namespace

int main(int count, char** words) {
    const Story stories[] = {
        {"ahead", aClockThatIsAheadDoesNotWarmAColdStore},
        {"behind", aClockThatIsBehindDoesNotKeepAStoreCold},
    };
    playStories(stories, count, words);
    return 0;
}
