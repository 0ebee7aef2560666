// A soak test with real gateway processes and loopback sockets: gateways, scripted stores, an event bus and
// clients, under disturbances that overlap in time, checked against the protocol's invariants.
//
//   lotuslead_soak --gateways 24 --seconds 30 --seed 1     exit code 0: no violations
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <latch>
#include <memory>

#include "clients.hpp"
#include "gateways.hpp"
#include "loopback.hpp"

namespace {

using namespace lotuslead::soak;
using lotuslead::testing::host;
using lotuslead::testing::topology;
using namespace std::chrono_literals;

constexpr int kCacheCount = 8, kParentCount = 2;
constexpr double kLinkKbPerS = 4000;  // to one store of weight kStoreWeight
constexpr int kStoreWeight = 4;
constexpr Millis kWarmUpTime = 6000ms, kBudgetWindow = 1000ms;
constexpr double kInitialShare = 0.1, kBurstFactor = 1.5;
constexpr Millis kMinDrainTime = 1500ms;
constexpr rlim_t kDescriptorLimit = 20'000;
constexpr int kCrowdSeedInterval = 3;     // every third seed has a crowd without --crowd
constexpr int kCrowdGatewayInterval = 4;  // one gateway in four gets the crowd
// Of each such gateway: additional clients, as a multiple of --clients, and idle connections.
constexpr int kCrowdClientFactor = 4, kCrowdIdleConnections = 100;

struct Options {
    int gateways = 24, clientsEach = 3, seconds = 30;
    std::uint64_t seed = 1;
    bool keepLogs = false, timeline = false, crowd = false;
    Disturbances disturbances;
};

SlowStartBudget slowStartBudget() {
    SlowStartBudget budget;
    budget.fullRateCallsPerWindow = kLinkKbPerS * 1000 / static_cast<double>(kObjectBytes);
    budget.initialShare = kInitialShare;
    budget.burstFactor = kBurstFactor;
    budget.warmUpTime = kWarmUpTime;
    budget.window = kBudgetWindow;
    return budget;
}

// One run: its stores, event bus, gateways and clients.
class Soak {
public:
    explicit Soak(const Options& options)
        : options_(options),
          judge_(Clock::now(), options.timeline),
          random_(options.seed),
          folder_(makeFolder()) {
        for (int i = 1; i <= kCacheCount; ++i) addStore("cache-" + std::to_string(i), StoreKind::cache);
        for (int i = 1; i <= kParentCount; ++i) addStore("parent-" + std::to_string(i), StoreKind::parent);
        addStore("origin-1", StoreKind::origin);
        std::vector<json> hosts;
        for (const auto& store : stores_) hosts.push_back(hostEntry(*store, "up", 0));
        bus_ = std::make_unique<EventBus>(topology(hosts, true));
    }
    ~Soak() {
        if (!options_.keepLogs) std::filesystem::remove_all(folder_);
    }

    bool run();

private:
    static std::string makeFolder() {
        char folder[] = "/tmp/lotuslead-soak-XXXXXX";
        return ::mkdtemp(folder);
    }
    void addStore(const std::string& name, StoreKind kind) {
        stores_.push_back(std::make_unique<Store>(name, kind, judge_, purges_, slowStartBudget(), random_()));
    }
    static json hostEntry(const Store& store, const std::string& status, std::int64_t sinceMs) {
        const char* type = store.kind() == StoreKind::cache    ? "small"
                           : store.kind() == StoreKind::parent ? "parent"
                                                               : "origin";
        json entry = host(store.name(), store.address(), type, status);
        entry["weight"] = kStoreWeight;
        entry["since_ms"] = sinceMs;
        return entry;
    }
    json configuration() const;
    void startGateways();
    void disturbStores();
    void hangStore(Store& store, std::mt19937_64& random);
    void crashStore(Store& store, std::mt19937_64& random);
    void replaceStore(Store& store, std::mt19937_64& random);
    void disturbBus();
    void purgeAtRandom();
    void watchForStalls();
    void addCrowdAt(int gateway, std::vector<std::thread>& clients);
    void sleepUnlessFinished(Millis time) const;
    bool report();

    Options options_;
    Judge judge_;
    std::mt19937_64 random_;
    std::string folder_;
    Purges purges_;
    std::vector<std::unique_ptr<Store>> stores_;
    std::unique_ptr<EventBus> bus_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::vector<std::thread> disturbanceThreads_;
    std::atomic<bool> finished_{false}, clientsFinished_{false};
};

json Soak::configuration() const {
    const auto ns = [](Millis time) { return time.count() * 1'000'000; };
    json all = lotuslead::testing::configuration({});
    all["known"] = bus_->allEvents();
    all["bus"] = bus_->address();
    all["flow_bytes_per_s"] = kLinkKbPerS / kStoreWeight * 1000;
    json& settings = all["settings"];
    settings["balancers"] = options_.gateways;
    settings["weights"] = "nominal";
    json& categories = settings["categories"];
    categories = json::array();
    for (const auto& [name, effect] :
         {std::pair{"page", "free"}, std::pair{"checkout", "guarded"}, std::pair{"order", "single_shot"}})
        categories.push_back({{"name", name},
                              {"effect", effect},
                              {"group", "all"},
                              {"aim", ns(800ms)},
                              {"hardLimit", ns(2500ms)},
                              {"value", 1},
                              {"window", ns(3000ms)}});
    settings["allowed"]["keepalive"] = ns(4000ms);
    settings["allowed"]["connectTimeout"] = ns(400ms);
    settings["allowed"]["mayProbe"] = true;
    settings["obligations"]["coldFrom"] = kInitialShare;
    settings["obligations"]["warmWithin"] = ns(kWarmUpTime);
    settings["obligations"]["fallMultiple"] = kBurstFactor;
    settings["obligations"]["fall"] = ns(kBudgetWindow);
    settings["extra"]["flowKbPerS"] = kLinkKbPerS / kStoreWeight;
    settings["extra"]["inParts"] = {false, false, false};
    settings["extra"]["neverKept"] = {false, true, true};
    return all;
}

void Soak::startGateways() {
    for (int i = 0; i < options_.gateways; ++i) {
        GatewayPlan plan;
        plan.number = i;
        plan.seed = random_();
        plan.folder = folder_ + "/g" + std::to_string(i);
        plan.inheritsSocket = i % 2 == 0;
        plan.configuration = [this] { return configuration(); };
        gateways_.push_back(std::make_unique<Gateway>(plan, options_.disturbances, judge_));
    }
    // PR_SET_PDEATHSIG ends a process with the thread that forked it, so one thread runs a gateway from start
    // to end.
    std::latch started(options_.gateways);
    for (const auto& gateway : gateways_)
        disturbanceThreads_.emplace_back([this, &gateway, &started] {
            gateway->start();
            started.count_down();
            gateway->run(clientsFinished_);
        });
    started.wait();
}

void Soak::sleepUnlessFinished(Millis time) const {
    const TimePoint until = Clock::now() + time;
    while (!finished_ && Clock::now() < until) std::this_thread::sleep_for(10ms);
}

void Soak::hangStore(Store& store, std::mt19937_64& random) {
    judge_.logEvent(store.name() + " hangs");
    store.hang(true);
    sleepUnlessFinished(Millis{300 + random() % 3000});
    store.hang(false);
    judge_.logEvent(store.name() + " resumes");
}

void Soak::crashStore(Store& store, std::mt19937_64& random) {
    judge_.logEvent(store.name() + " crashes");
    store.crash();
    sleepUnlessFinished(Millis{100 + random() % 2000});
    bus_->publish(topology({hostEntry(store, "up", store.restartCold())}));
    judge_.logEvent(store.name() + " is up again, cold");
}

// Drains and perhaps removes a store, then brings it back budget under the same name.
void Soak::replaceStore(Store& store, std::mt19937_64& random) {
    judge_.logEvent(store.name() + " drains");
    bus_->publish(topology({hostEntry(store, "draining", 0)}));
    judge_.recordWithdrawn(store.name());
    sleepUnlessFinished(kMinDrainTime + Millis{random() % 1500});
    if (random() % 2 == 0) {
        bus_->publish(topology({hostEntry(store, "removed", 0)}));
        sleepUnlessFinished(Millis{random() % 1000});
    }
    store.crash();
    sleepUnlessFinished(Millis{random() % 500});
    judge_.recordListed(store.name());
    bus_->publish(topology({hostEntry(store, "up", store.restartCold())}));
    judge_.logEvent(store.name() + " is up again, cold");
}

// Runs two threads, each disturbing its own half of the caches.
void Soak::disturbStores() {
    std::vector<std::thread> threads;
    for (int half = 0; half < 2; ++half)
        threads.emplace_back([this, half, seed = random_()] {
            std::mt19937_64 random(seed);
            while (!finished_) {
                sleepUnlessFinished(Millis{random() % 2500});
                if (finished_) return;
                Store& store = *stores_[random() % (kCacheCount / 2) * 2 + static_cast<std::size_t>(half)];
                switch (random() % 4) {
                    case 0:
                        hangStore(store, random);
                        break;
                    case 1:
                        crashStore(store, random);
                        break;
                    case 2:
                        replaceStore(store, random);
                        break;
                    default:
                        store.faults().minDelayMs = 100;
                        store.faults().maxDelayMs = 900;
                        sleepUnlessFinished(Millis{random() % 3000});
                        store.faults().minDelayMs = 1;
                        store.faults().maxDelayMs = 25;
                }
            }
        });
    for (std::thread& thread : threads) thread.join();
}

void Soak::disturbBus() {
    std::mt19937_64 random(options_.seed + 77);
    while (!finished_) {
        sleepUnlessFinished(Millis{2000 + random() % 5000});
        if (finished_) return;
        const Millis time{200 + random() % 3500};
        judge_.recordBusFault(time);
        judge_.logEvent("event bus disturbed for " + std::to_string(time.count()) + " ms");
        switch (random() % 3) {
            case 0:
                bus_->down();
                sleepUnlessFinished(time);
                bus_->up();
                break;
            case 1:
                bus_->hang(true);
                sleepUnlessFinished(time);
                bus_->hang(false);
                break;
            default:
                bus_->slow(true);
                sleepUnlessFinished(time);
                bus_->slow(false);
        }
    }
}

void Soak::purgeAtRandom() {
    std::mt19937_64 random(options_.seed + 99);
    while (!finished_) {
        sleepUnlessFinished(Millis{random() % 800});
        char entity[17];
        std::snprintf(entity, sizeof entity, "%016llx",
                      static_cast<unsigned long long>(0x1000'0000ULL + random() % 20));
        const std::int64_t now = unixMs();
        purges_.add(entity, now);
        bus_->publish({{"ban", {{"url", entity}, {"ts", now}}}});
        judge_.recordPurge(entity, now);
    }
}

// While this program gets no processor, it observes events late; the judge allows for that.
void Soak::watchForStalls() {
    constexpr Millis kTick = 5ms, kStall = 40ms;
    while (!finished_) {
        const TimePoint before = Clock::now();
        std::this_thread::sleep_for(kTick);
        const auto slept = std::chrono::duration_cast<Millis>(Clock::now() - before);
        if (slept > kStall) judge_.recordStall(slept);
    }
}

void Soak::addCrowdAt(int gateway, std::vector<std::thread>& clients) {
    ClientPlan plan{gateway, gateways_[static_cast<std::size_t>(gateway)]->port(), 0, 15ms, 200};
    for (int i = 0; i < options_.clientsEach * kCrowdClientFactor; ++i) {
        plan.seed = random_();
        clients.emplace_back([this, plan] { Client(plan, judge_, clientsFinished_).run(); });
    }
    clients.emplace_back([this, plan] { runIdleConnections(plan, kCrowdIdleConnections, clientsFinished_); });
}

bool Soak::run() {
    startGateways();
    std::vector<std::thread> clients;
    for (const auto& gateway : gateways_) {
        for (int i = 0; i < options_.clientsEach; ++i) {
            ClientPlan plan{static_cast<int>(&gateway - gateways_.data()), gateway->port(), random_(), 60ms,
                            200};
            clients.emplace_back([this, plan] { Client(plan, judge_, clientsFinished_).run(); });
        }
        if (options_.disturbances.badClients) {
            ClientPlan plan{static_cast<int>(&gateway - gateways_.data()), gateway->port(), random_(), 0ms,
                            0};
            clients.emplace_back([this, plan] { runMisbehavingClient(plan, clientsFinished_); });
        }
    }
    for (int i = 0; options_.crowd && i < options_.gateways; i += kCrowdGatewayInterval)
        addCrowdAt(i, clients);
    if (options_.disturbances.stores) disturbanceThreads_.emplace_back([this] { disturbStores(); });
    if (options_.disturbances.bus) disturbanceThreads_.emplace_back([this] { disturbBus(); });
    disturbanceThreads_.emplace_back([this] { purgeAtRandom(); });
    disturbanceThreads_.emplace_back([this] { watchForStalls(); });
    std::this_thread::sleep_for(std::chrono::seconds(options_.seconds));
    finished_ = true;
    clientsFinished_ = true;
    for (std::thread& client : clients) client.join();
    for (std::thread& thread : disturbanceThreads_) thread.join();
    return report();
}

bool Soak::report() {
    std::vector<Millis> readyTimes;
    for (const auto& gateway : gateways_) {
        for (const std::string& line : gateway->internalViolations())
            judge_.recordViolation(Rule::internalCheck, line);
        readyTimes.insert(readyTimes.end(), gateway->readyTimes().begin(), gateway->readyTimes().end());
    }
    std::sort(readyTimes.begin(), readyTimes.end());
    const Millis readyP90 = readyTimes.empty() ? Millis{} : readyTimes[readyTimes.size() * 9 / 10];
    if (readyP90 > 10s)
        judge_.recordViolation(Rule::lateReadiness,
                               "the 90th percentile of the time to readiness is above 10 s");
    const Judge::Totals t = judge_.totals();
    std::printf(
        "seed=%llu requests=%llu served=%llu unchanged=%llu refused=%llu failed=%llu "
        "attempts=%llu starts=%zu ready_p90_ms=%lld",
        static_cast<unsigned long long>(options_.seed), static_cast<unsigned long long>(t.requests),
        static_cast<unsigned long long>(t.served), static_cast<unsigned long long>(t.unchanged),
        static_cast<unsigned long long>(t.refused), static_cast<unsigned long long>(t.failed),
        static_cast<unsigned long long>(t.attempts), readyTimes.size(),
        static_cast<long long>(readyP90.count()));
    for (std::size_t i = 0; i < t.excused.size(); ++i)
        std::printf(" excused_%s=%llu", nameOf(static_cast<Excuse>(i)),
                    static_cast<unsigned long long>(t.excused[i]));
    for (std::size_t i = 0; i < t.violations.size(); ++i)
        if (t.violations[i] > 0)
            std::printf(" %s=%llu", nameOf(static_cast<Rule>(i)),
                        static_cast<unsigned long long>(t.violations[i]));
    std::printf("\nviolations=%llu\n", static_cast<unsigned long long>(judge_.violations()));
    if (options_.keepLogs) std::printf("logs in %s\n", folder_.c_str());
    return judge_.violations() == 0 && t.served > 0;
}

}  // namespace

int main(int argc, char** argv) {
    Options options;
    CLI::App app("Soak test of many gateways on loopback under overlapping disturbances");
    app.add_option("--gateways", options.gateways, "number of gateway processes")->check(CLI::Range(1, 60));
    app.add_option("--clients", options.clientsEach, "number of clients for each gateway")
        ->check(CLI::Range(1, 20));
    app.add_option("--seconds", options.seconds, "duration of the load")->check(CLI::Range(1, 3600));
    app.add_option("--seed", options.seed, "seed of all random choices");
    app.add_flag("--keep-logs", options.keepLogs, "keep the gateways' logs");
    app.add_flag(
        "--crowd", options.crowd,
        "adds four times the clients, and idle connections, at one gateway in four; always on for every "
        "third seed");
    app.add_flag("--timeline", options.timeline, "print each disturbance with its time");
    int meanIntervalMs = 2500;
    app.add_option("--between-ms", meanIntervalMs, "mean interval between disturbances of one gateway")
        ->check(CLI::Range(100, 60000));
    std::vector<std::string> without;
    app.add_option("--without", without,
                   "disturbances to exclude: restarts kills stops reloads handovers faults clocks stores bus "
                   "bad-clients");
    CLI11_PARSE(app, argc, argv);
    options.crowd = options.crowd || options.seed % kCrowdSeedInterval == 0;
    Disturbances& t = options.disturbances;
    t.meanInterval = Millis{meanIntervalMs};
    const std::pair<const char*, bool*> names[] = {
        {"restarts", &t.restarts},     {"kills", &t.kills},         {"stops", &t.stops},
        {"reloads", &t.reloads},       {"handovers", &t.handOvers}, {"faults", &t.faults},
        {"clocks", &t.clocks},         {"stores", &t.stores},       {"bus", &t.bus},
        {"bad-clients", &t.badClients}};
    for (const std::string& excluded : without)
        for (const auto& [name, flag] : names)
            if (excluded == name) *flag = false;
    const rlimit limit{kDescriptorLimit, kDescriptorLimit};
    ::setrlimit(RLIMIT_NOFILE, &limit);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    return Soak(options).run() ? 0 : 1;
}
