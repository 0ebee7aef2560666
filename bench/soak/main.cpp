// A soak over real processes and sockets on loopback: gateways, scripted stores, an event bus and clients,
// under faults that overlap in time, judged by the protocol's invariants.
//
//   lotuslead_soak --gateways 24 --seconds 30 --seed 1     exit code 0: nothing was violated
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

constexpr int kCaches = 8, kParents = 2;
constexpr double kLinkKbPerS = 4000;  // of one store, by its weight
constexpr int kWeight = 4;
constexpr Millis kWarmWithin = 6000ms, kFallWindow = 1000ms;
constexpr double kColdFrom = 0.1, kFallMultiple = 1.5;
constexpr Millis kDrainBeforeEnd = 1500ms;
constexpr rlim_t kDescriptors = 20'000;
constexpr int kCrowdEvery = 3;                      // seeds, without being asked for
constexpr int kCrowdedPart = 4;                     // one gateway of so many
constexpr int kCrowdClients = 4, kCrowdIdle = 100;  // times the clients, and connections at rest

struct Options {
    int gateways = 24, clientsEach = 3, seconds = 30;
    std::uint64_t seed = 1;
    bool keepsLogs = false, timeline = false, crowd = false;
    FaultOptions faultOptions;
};

ColdStart coldStart() {
    ColdStart cold;
    cold.callsAtFullPace = kLinkKbPerS * 1000 / static_cast<double>(kObjectBytes);
    cold.from = kColdFrom;
    cold.multiple = kFallMultiple;
    cold.warmWithin = kWarmWithin;
    cold.window = kFallWindow;
    return cold;
}

// Stores, the event bus, gateways and clients of one run.
class Soak {
public:
    explicit Soak(const Options& options)
        : options_(options),
          judge_(Clock::now(), options.timeline),
          random_(options.seed),
          folder_(makeFolder()) {
        for (int i = 1; i <= kCaches; ++i) addStore("cache-" + std::to_string(i), StoreKind::cache);
        for (int i = 1; i <= kParents; ++i) addStore("parent-" + std::to_string(i), StoreKind::parent);
        addStore("origin-1", StoreKind::origin);
        std::vector<json> hosts;
        for (const auto& store : stores_) hosts.push_back(listed(*store, "up", 0));
        bus_ = std::make_unique<EventBus>(topology(hosts, true));
    }
    ~Soak() {
        if (!options_.keepsLogs) std::filesystem::remove_all(folder_);
    }

    bool run();

private:
    static std::string makeFolder() {
        char folder[] = "/tmp/lotuslead-soak-XXXXXX";
        return ::mkdtemp(folder);
    }
    void addStore(const std::string& name, StoreKind kind) {
        stores_.push_back(std::make_unique<Store>(name, kind, judge_, purges_, coldStart(), random_()));
    }
    static json listed(const Store& store, const std::string& status, std::int64_t sinceMs) {
        const char* type = store.kind() == StoreKind::cache    ? "small"
                           : store.kind() == StoreKind::parent ? "parent"
                                                               : "origin";
        json entry = host(store.name(), store.address(), type, status);
        entry["weight"] = kWeight;
        entry["since_ms"] = sinceMs;
        return entry;
    }
    json configuration() const;
    void startGateways();
    void injectStoreFaults();
    void hangStore(Store& store, std::mt19937_64& random);
    void crashStore(Store& store, std::mt19937_64& random);
    void replaceStore(Store& store, std::mt19937_64& random);
    void injectBusFaults();
    void purgeNowAndThen();
    void watchForStalls();
    void addCrowd(int gateway, std::vector<std::thread>& clients);
    void sleepUnlessOver(Millis time) const;
    bool report();

    Options options_;
    Judge judge_;
    std::mt19937_64 random_;
    std::string folder_;
    Purges purges_;
    std::vector<std::unique_ptr<Store>> stores_;
    std::unique_ptr<EventBus> bus_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::vector<std::thread> faultThreads_;
    std::atomic<bool> over_{false}, clientsOver_{false};
};

json Soak::configuration() const {
    const auto ns = [](Millis time) { return time.count() * 1'000'000; };
    json all = lotuslead::testing::configuration({});
    all["known"] = bus_->known();
    all["bus"] = bus_->address();
    all["flow_bytes_per_s"] = kLinkKbPerS / kWeight * 1000;
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
    settings["obligations"]["coldFrom"] = kColdFrom;
    settings["obligations"]["warmWithin"] = ns(kWarmWithin);
    settings["obligations"]["fallMultiple"] = kFallMultiple;
    settings["obligations"]["fall"] = ns(kFallWindow);
    settings["extra"]["flowKbPerS"] = kLinkKbPerS / kWeight;
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
        gateways_.push_back(std::make_unique<Gateway>(plan, options_.faultOptions, judge_));
    }
    // Each process ends with the thread that has started it, so one thread runs it from start to end.
    std::latch ready(options_.gateways);
    for (const auto& gateway : gateways_)
        faultThreads_.emplace_back([this, &gateway, &ready] {
            gateway->start();
            ready.count_down();
            gateway->run(clientsOver_);
        });
    ready.wait();
}

void Soak::sleepUnlessOver(Millis time) const {
    const TimePoint until = Clock::now() + time;
    while (!over_ && Clock::now() < until) std::this_thread::sleep_for(10ms);
}

void Soak::hangStore(Store& store, std::mt19937_64& random) {
    judge_.note(store.name() + " hangs");
    store.hang(true);
    sleepUnlessOver(Millis{300 + random() % 3000});
    store.hang(false);
    judge_.note(store.name() + " goes on");
}

void Soak::crashStore(Store& store, std::mt19937_64& random) {
    judge_.note(store.name() + " dies");
    store.crash();
    sleepUnlessOver(Millis{100 + random() % 2000});
    bus_->publish(topology({listed(store, "up", store.restartCold())}));
    judge_.note(store.name() + " is back, cold");
}

// Drained, removed, and later there again under its name, cold.
void Soak::replaceStore(Store& store, std::mt19937_64& random) {
    judge_.note(store.name() + " drains");
    bus_->publish(topology({listed(store, "draining", 0)}));
    judge_.withdrawnFromList(store.name());
    sleepUnlessOver(kDrainBeforeEnd + Millis{random() % 1500});
    if (random() % 2 == 0) {
        bus_->publish(topology({listed(store, "removed", 0)}));
        sleepUnlessOver(Millis{random() % 1000});
    }
    store.crash();
    sleepUnlessOver(Millis{random() % 500});
    judge_.listedAgain(store.name());
    bus_->publish(topology({listed(store, "up", store.restartCold())}));
    judge_.note(store.name() + " is back, cold");
}

// Two threads of this run at once: each has its own half of the caches.
void Soak::injectStoreFaults() {
    std::vector<std::thread> threads;
    for (int half = 0; half < 2; ++half)
        threads.emplace_back([this, half, seed = random_()] {
            std::mt19937_64 random(seed);
            while (!over_) {
                sleepUnlessOver(Millis{random() % 2500});
                if (over_) return;
                Store& store = *stores_[random() % (kCaches / 2) * 2 + static_cast<std::size_t>(half)];
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
                        store.faults().leastMs = 100;
                        store.faults().mostMs = 900;
                        sleepUnlessOver(Millis{random() % 3000});
                        store.faults().leastMs = 1;
                        store.faults().mostMs = 25;
                }
            }
        });
    for (std::thread& thread : threads) thread.join();
}

void Soak::injectBusFaults() {
    std::mt19937_64 random(options_.seed + 77);
    while (!over_) {
        sleepUnlessOver(Millis{2000 + random() % 5000});
        if (over_) return;
        const Millis time{200 + random() % 3500};
        judge_.busFault(time);
        judge_.note("event bus in trouble for " + std::to_string(time.count()) + " ms");
        switch (random() % 3) {
            case 0:
                bus_->down();
                sleepUnlessOver(time);
                bus_->up();
                break;
            case 1:
                bus_->hang(true);
                sleepUnlessOver(time);
                bus_->hang(false);
                break;
            default:
                bus_->slow(true);
                sleepUnlessOver(time);
                bus_->slow(false);
        }
    }
}

void Soak::purgeNowAndThen() {
    std::mt19937_64 random(options_.seed + 99);
    while (!over_) {
        sleepUnlessOver(Millis{random() % 800});
        char entity[17];
        std::snprintf(entity, sizeof entity, "%016llx",
                      static_cast<unsigned long long>(0x1000'0000ULL + random() % 20));
        const std::int64_t now = unixMs();
        purges_.add(entity, now);
        bus_->publish({{"ban", {{"url", entity}, {"ts", now}}}});
        judge_.purged(entity, now);
    }
}

// Where this program gets no processor, what it sees of others it sees late.
void Soak::watchForStalls() {
    constexpr Millis kTick = 5ms, kStall = 40ms;
    while (!over_) {
        const TimePoint before = Clock::now();
        std::this_thread::sleep_for(kTick);
        const auto slept = std::chrono::duration_cast<Millis>(Clock::now() - before);
        if (slept > kStall) judge_.stalled(slept);
    }
}

void Soak::addCrowd(int gateway, std::vector<std::thread>& clients) {
    ClientPlan plan{gateway, gateways_[static_cast<std::size_t>(gateway)]->port(), 0, 15ms, 200};
    for (int i = 0; i < options_.clientsEach * kCrowdClients; ++i) {
        plan.seed = random_();
        clients.emplace_back([this, plan] { Client(plan, judge_, clientsOver_).run(); });
    }
    clients.emplace_back([this, plan] { runIdleCrowd(plan, kCrowdIdle, clientsOver_); });
}

bool Soak::run() {
    startGateways();
    std::vector<std::thread> clients;
    for (const auto& gateway : gateways_) {
        for (int i = 0; i < options_.clientsEach; ++i) {
            ClientPlan plan{static_cast<int>(&gateway - gateways_.data()), gateway->port(), random_(), 60ms,
                            200};
            clients.emplace_back([this, plan] { Client(plan, judge_, clientsOver_).run(); });
        }
        if (options_.faultOptions.badClients) {
            ClientPlan plan{static_cast<int>(&gateway - gateways_.data()), gateway->port(), random_(), 0ms,
                            0};
            clients.emplace_back([this, plan] { runBadClient(plan, clientsOver_); });
        }
    }
    for (int i = 0; options_.crowd && i < options_.gateways; i += kCrowdedPart) addCrowd(i, clients);
    if (options_.faultOptions.stores) faultThreads_.emplace_back([this] { injectStoreFaults(); });
    if (options_.faultOptions.bus) faultThreads_.emplace_back([this] { injectBusFaults(); });
    faultThreads_.emplace_back([this] { purgeNowAndThen(); });
    faultThreads_.emplace_back([this] { watchForStalls(); });
    std::this_thread::sleep_for(std::chrono::seconds(options_.seconds));
    over_ = true;
    clientsOver_ = true;
    for (std::thread& client : clients) client.join();
    for (std::thread& thread : faultThreads_) thread.join();
    return report();
}

bool Soak::report() {
    std::vector<Millis> ready;
    for (const auto& gateway : gateways_) {
        for (const std::string& line : gateway->internalViolations())
            judge_.violation(Rule::internalCheck, line);
        ready.insert(ready.end(), gateway->readyTimes().begin(), gateway->readyTimes().end());
    }
    std::sort(ready.begin(), ready.end());
    const Millis ninth = ready.empty() ? Millis{} : ready[ready.size() * 9 / 10];
    if (ninth > 10s) judge_.violation(Rule::slowStart, "nine in ten were ready only after 10 s");
    const Judge::Totals t = judge_.totals();
    std::printf(
        "seed=%llu requests=%llu served=%llu unchanged=%llu refused=%llu failed=%llu "
        "attempts=%llu starts=%zu ready_p90_ms=%lld",
        static_cast<unsigned long long>(options_.seed), static_cast<unsigned long long>(t.requests),
        static_cast<unsigned long long>(t.served), static_cast<unsigned long long>(t.unchanged),
        static_cast<unsigned long long>(t.refused), static_cast<unsigned long long>(t.failed),
        static_cast<unsigned long long>(t.attempts), ready.size(), static_cast<long long>(ninth.count()));
    for (std::size_t i = 0; i < t.excused.size(); ++i)
        std::printf(" excused_%s=%llu", nameOf(static_cast<Excuse>(i)),
                    static_cast<unsigned long long>(t.excused[i]));
    for (std::size_t i = 0; i < t.violations.size(); ++i)
        if (t.violations[i] > 0)
            std::printf(" %s=%llu", nameOf(static_cast<Rule>(i)),
                        static_cast<unsigned long long>(t.violations[i]));
    std::printf("\nviolations=%llu\n", static_cast<unsigned long long>(judge_.violations()));
    if (options_.keepsLogs) std::printf("logs in %s\n", folder_.c_str());
    return judge_.violations() == 0 && t.served > 0;
}

}  // namespace

int main(int argumentCount, char** arguments) {
    Options options;
    CLI::App app("Soak of many gateways on loopback under overlapping faults");
    app.add_option("--gateways", options.gateways, "processes")->check(CLI::Range(1, 60));
    app.add_option("--clients", options.clientsEach, "clients of each gateway")->check(CLI::Range(1, 20));
    app.add_option("--seconds", options.seconds, "time under load")->check(CLI::Range(1, 3600));
    app.add_option("--seed", options.seed, "of all random choices");
    app.add_flag("--keep-logs", options.keepsLogs, "leave the gateways' logs where they are");
    app.add_flag("--crowd", options.crowd, "a crowd at one gateway of four; every third seed has one anyway");
    app.add_flag("--timeline", options.timeline, "print what is done to whom, and when");
    int betweenMs = 2500;
    app.add_option("--between-ms", betweenMs, "between two faults of one gateway, in the mean")
        ->check(CLI::Range(100, 60000));
    std::vector<std::string> without;
    app.add_option(
        "--without", without,
        "faults left out: restarts kills stops reloads handovers faults clocks stores bus bad-clients");
    CLI11_PARSE(app, argumentCount, arguments);
    options.crowd = options.crowd || options.seed % kCrowdEvery == 0;
    FaultOptions& t = options.faultOptions;
    t.between = Millis{betweenMs};
    const std::pair<const char*, bool*> names[] = {
        {"restarts", &t.restarts},     {"kills", &t.kills},         {"stops", &t.stops},
        {"reloads", &t.reloads},       {"handovers", &t.handOvers}, {"faults", &t.faults},
        {"clocks", &t.clocks},         {"stores", &t.stores},       {"bus", &t.bus},
        {"bad-clients", &t.badClients}};
    for (const std::string& left : without)
        for (const auto& [name, flag] : names)
            if (left == name) *flag = false;
    const rlimit limit{kDescriptors, kDescriptors};
    ::setrlimit(RLIMIT_NOFILE, &limit);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    return Soak(options).run() ? 0 : 1;
}
