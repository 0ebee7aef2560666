#include "scale_run.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>

#include "raft_cluster.hpp"

namespace lotuslead::scale {

using nlohmann::json;
using namespace lotuslead::testing;

namespace {

constexpr std::size_t kZones = 34, kRegions = 14;  // of the deployment that the service is designed for
constexpr std::size_t kRestartDivisor = 10;        // one gateway in ten restarts at a time
constexpr std::size_t kMaxChangesPerTransaction = 500;
constexpr auto kSettleTimeout = 60s;
constexpr auto kPollInterval = 20ms;
constexpr auto kFollowerLag = 500ms;  // a follower learns of a commit within one or two heartbeats

std::int64_t unixMs() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

class Run {
public:
    explicit Run(const RunOptions& options)
        : options_(options),
          steadyPurges_(static_cast<std::size_t>(options.purgesPerSecond * options.seconds)),
          times_(options.gateways, steadyPurges_,
                 static_cast<std::size_t>(options.seconds / options.changeIntervalSeconds) + 1),
          cluster_(options.agents, {{"election_ms", 1000}, {"heartbeat_ms", 50}}),
          leader_(cluster_.awaitLeader()) {
        result_.options = options;
    }

    RunResult execute() {
        commitStores();
        startGateways();
        steadyPurges();
        result_.restart = restart(std::max<std::size_t>(1, options_.gateways / kRestartDivisor));
        result_.zone = restart(std::max<std::size_t>(1, options_.gateways / kZones));
        if (options_.partitionPurges > 0) result_.region = partitionRegion();
        return result_;
    }

private:
    // ----- changes of the agreed state -----

    void commit(const json& changes) {
        const auto answer = ctl::Client::callAgent(cluster_.control(leader_), "POST", "/config",
                                                   json{{"do", changes}}.dump());
        if (!answer || answer->status != 200)
            throw std::runtime_error("the agents did not accept a change: " +
                                     (answer ? answer->body : std::string("no answer")));
    }
    static json storeChange(std::size_t number, double weight) {
        json store = host("", "127.0.0.1:" + std::to_string(20'000 + number));
        store.erase("name");
        store["weight"] = weight;
        return {{"key", "boxes/store-" + std::to_string(number)}, {"value", store}};
    }
    static json purgeChange(std::size_t number) {
        return {{"key", "purges/object/" + purgedObject(number)}, {"value", {{"ts", unixMs()}}}};
    }
    void commitStores() {
        for (std::size_t next = 0; next < options_.stores;) {
            json changes = json::array();
            for (; next < options_.stores && changes.size() < kMaxChangesPerTransaction; ++next)
                changes.push_back(storeChange(next, 1));
            commit(changes);
        }
    }
    // Commits without pacing, as the missed purges of an hour would reach a region that was cut off.
    void commitPurges(std::size_t count) {
        while (count > 0) {
            json changes = json::array();
            for (; count > 0 && changes.size() < kMaxChangesPerTransaction; --count)
                changes.push_back(purgeChange(committedPurges_ + changes.size()));
            commit(changes);
            committedPurges_ += changes.size();
        }
    }

    // ----- the fleet -----

    void startGateways() {
        json configuration = testing::configuration({});
        configuration["settings"]["balancers"] = options_.gateways;
        configuration["known"] = {{"offset", 0}, {"batch", json::array()}};
        std::vector<settings::Endpoint> buses;
        for (int id = 1; id <= options_.agents; ++id)
            buses.push_back(settings::readEndpoint(cluster_.bus(id), "bus"));
        for (std::size_t first = 0; first < options_.gateways; first += options_.perProcess) {
            HeadlessProcessOptions options;
            options.first = first;
            options.count = std::min(options_.perProcess, options_.gateways - first);
            options.buses = buses;
            options.configuration = configuration.dump();
            fleet_.push_back(std::make_unique<HeadlessProcess>(options, times_));
        }
        configuration["bus"] = json::array();
        for (int id = 1; id <= options_.agents; ++id) configuration["bus"].push_back(cluster_.bus(id));
        for (std::size_t i = 0; i < options_.realGateways; ++i)
            realGateways_.push_back(std::make_unique<Program>(configuration));
        for (const auto& program : realGateways_) program->port();
        awaitFleet("to start");
        takeRestarts();
    }
    std::vector<HeadlessProcessStatus> statuses() {
        std::vector<HeadlessProcessStatus> all;
        for (const auto& process : fleet_) all.push_back(process->status());
        return all;
    }
    // Waits until all gateways are ready and know all purges; false if kSettleTimeout passed before.
    bool awaitFleet(const char* what) {
        const auto until = std::chrono::steady_clock::now() + kSettleTimeout;
        while (std::chrono::steady_clock::now() < until) {
            std::size_t ready = 0, minPurgesKnown = SIZE_MAX;
            for (HeadlessProcessStatus& status : statuses()) {
                ready += status.ready;
                minPurgesKnown = std::min(minPurgesKnown, status.minPurgesKnown);
                restarts_.insert(restarts_.end(), status.restarts.begin(), status.restarts.end());
            }
            if (ready == options_.gateways && minPurgesKnown >= committedPurges_) return true;
            std::this_thread::sleep_for(kPollInterval);
        }
        std::fprintf(stderr, "scale: timed out waiting for %zu gateways %s\n", options_.gateways, what);
        return false;
    }
    std::vector<Restart> takeRestarts() { return std::exchange(restarts_, {}); }

    // ----- steady load -----

    struct Usage {
        std::int64_t atUs = 0;
        HeadlessProcessStatus headless;  // sums over all processes
        std::int64_t realCpuUs = 0, realKb = 0;
        std::vector<std::int64_t> agentCpuUs;
        std::int64_t agentKb = 0;  // of the largest agent
        std::uint64_t raftBytes = 0;
    };
    Usage usage() {
        Usage now;
        for (const HeadlessProcessStatus& status : statuses()) {
            now.headless.bytes += status.bytes;
            now.headless.polls += status.polls;
            now.headless.cpuUs += status.cpuUs;
            now.headless.residentKb += status.residentKb;
        }
        for (const auto& program : realGateways_) {
            const ProcessUsage one = usageOf(program->pid());
            now.realCpuUs += one.cpuUs;
            now.realKb += one.residentKb;
        }
        for (int id = 1; id <= options_.agents; ++id) {
            const ProcessUsage one = usageOf(cluster_.pid(id));
            now.agentCpuUs.push_back(one.cpuUs);
            now.agentKb = std::max(now.agentKb, one.residentKb);
        }
        now.raftBytes = cluster_.relay.bytes();
        now.atUs = monotonicUs();
        return now;
    }

    void steadyPurges() {
        const Usage before = usage();
        std::vector<std::int64_t> committedUs(steadyPurges_);
        std::vector<double> proposeMs;
        std::vector<std::int64_t> changeCommittedUs;
        const double intervalUs = 1e6 / options_.purgesPerSecond;
        const std::int64_t begin = monotonicUs();
        std::int64_t nextChangeUs = begin;
        for (std::size_t i = 0; i < steadyPurges_; ++i) {
            sleepUntil(begin + static_cast<std::int64_t>(intervalUs * static_cast<double>(i)));
            const std::int64_t proposedUs = monotonicUs();
            commit(json::array({purgeChange(i)}));
            committedUs[i] = monotonicUs();
            ++committedPurges_;
            proposeMs.push_back(static_cast<double>(committedUs[i] - proposedUs) / 1000);
            if (proposedUs < nextChangeUs || options_.stores == 0 ||
                changeCommittedUs.size() == times_.changes())
                continue;
            nextChangeUs += static_cast<std::int64_t>(options_.changeIntervalSeconds * 1e6);
            const double weight = kFirstChangeWeight + static_cast<double>(changeCommittedUs.size());
            commit(json::array({storeChange(i % options_.stores, weight)}));
            changeCommittedUs.push_back(monotonicUs());
        }
        const Usage after = usage();
        awaitFleet("to apply the purges");
        recordRates(before, after);
        result_.proposeMs = percentilesOf(std::move(proposeMs));
        recordPurgeLatencies(committedUs);
        result_.changeToLastGatewayMs = changeLatencies(changeCommittedUs);
    }
    Percentiles changeLatencies(const std::vector<std::int64_t>& changeCommittedUs) {
        std::vector<double> last;
        for (std::size_t change = 0; change < changeCommittedUs.size(); ++change) {
            double latestMs = 0;
            for (std::size_t gateway = 0; gateway < options_.gateways; ++gateway) {
                const std::int64_t at = times_.ofChange(gateway, change);
                result_.neverApplied += at == 0;
                latestMs = std::max(latestMs, static_cast<double>(at - changeCommittedUs[change]) / 1000);
            }
            last.push_back(latestMs);
        }
        return percentilesOf(std::move(last));
    }
    static void sleepUntil(std::int64_t atUs) {
        const std::int64_t left = atUs - monotonicUs();
        if (left > 0) std::this_thread::sleep_for(std::chrono::microseconds{left});
    }
    void recordRates(const Usage& before, const Usage& after) {
        const double seconds = static_cast<double>(after.atUs - before.atUs) / 1e6;
        const auto fleet = static_cast<double>(options_.gateways);
        const auto rate = [&](auto from, auto to) { return static_cast<double>(to - from) / seconds; };
        const auto percent = [&](auto from, auto to) { return rate(from, to) / 1e6 * 100; };
        result_.gatewayBytesPerSecond = rate(before.headless.bytes, after.headless.bytes) / fleet;
        result_.gatewayPollsPerSecond = rate(before.headless.polls, after.headless.polls) / fleet;
        result_.gatewayCpuPercent = percent(before.headless.cpuUs, after.headless.cpuUs) / fleet;
        result_.gatewayKb = static_cast<double>(after.headless.residentKb) / fleet;
        if (!realGateways_.empty()) {
            const auto count = static_cast<double>(realGateways_.size());
            result_.realCpuPercent = percent(before.realCpuUs, after.realCpuUs) / count;
            result_.realKb = static_cast<double>(after.realKb) / count;
        }
        for (std::size_t i = 0; i < after.agentCpuUs.size(); ++i) {
            const double share = percent(before.agentCpuUs[i], after.agentCpuUs[i]);
            const bool leads = static_cast<int>(i) + 1 == leader_;
            double& into = leads ? result_.leaderCpuPercent : result_.followerCpuPercent;
            into = std::max(into, share);
        }
        result_.agentKb = static_cast<double>(after.agentKb);
        result_.raftBytesPerSecond = rate(before.raftBytes, after.raftBytes);
    }
    void recordPurgeLatencies(const std::vector<std::int64_t>& committedUs) {
        std::vector<double> each, last;
        for (std::size_t purge = 0; purge < committedUs.size(); ++purge) {
            double latestMs = 0;
            for (std::size_t gateway = 0; gateway < options_.gateways; ++gateway) {
                const std::int64_t at = times_.ofPurge(gateway, purge);
                if (at == 0) {
                    ++result_.neverApplied;
                    continue;
                }
                // A gateway may learn of a purge from a follower before the writer has its answer.
                const double ms = std::max<double>(0, static_cast<double>(at - committedUs[purge]) / 1000);
                each.push_back(ms);
                latestMs = std::max(latestMs, ms);
            }
            last.push_back(latestMs);
        }
        result_.purgeToGatewayMs = percentilesOf(std::move(each));
        result_.purgeToLastGatewayMs = percentilesOf(std::move(last));
    }

    // ----- recoveries -----

    Recovery measureRecovery(std::size_t gateways, std::size_t committedBefore) {
        Recovery recovery;
        recovery.gateways = gateways;
        std::vector<double> readyMs;
        for (const Restart& one : takeRestarts()) {
            readyMs.push_back(static_cast<double>(one.readyAfterUs) / 1000);
            const std::size_t missing = committedBefore - std::min(committedBefore, one.purgesKnown);
            recovery.maxMissingPurges = std::max(recovery.maxMissingPurges, missing);
        }
        recovery.ready = readyMs.size();
        recovery.readyMs = percentilesOf(std::move(readyMs));
        return recovery;
    }
    Recovery restart(std::size_t count) {
        takeRestarts();
        std::this_thread::sleep_for(kFollowerLag);
        const std::size_t before = committedPurges_;
        std::size_t left = count;
        for (const auto& process : fleet_) {
            const std::size_t here = std::min(left, process->gateways());
            if (here > 0) process->restart(here);
            left -= here;
        }
        awaitFleet("to recover from a restart");
        return measureRecovery(count, before);
    }
    // Cuts the gateways of a region off while the purges of an hour are committed. Then they reconnect with
    // the state that they had, and after that all of them are restarted.
    Recovery partitionRegion() {
        const std::size_t count =
            std::min(fleet_.front()->gateways(), std::max<std::size_t>(1, options_.gateways / kRegions));
        fleet_.front()->disconnect(count);
        commitPurges(options_.partitionPurges);
        const std::int64_t begin = monotonicUs();
        fleet_.front()->reconnect();
        const bool caughtUp = awaitFleet("to recover from the cut");
        const double backMs = static_cast<double>(monotonicUs() - begin) / 1000;
        Recovery recovery = restart(count);
        std::fprintf(stderr, "scale: %zu gateways were cut off from %zu purges and %s after %.0f ms\n", count,
                     options_.partitionPurges, caughtUp ? "had all" : "did not have all", backMs);
        if (!caughtUp)
            recovery.maxMissingPurges =
                std::max(recovery.maxMissingPurges, committedPurges_ - minPurgesKnown());
        return recovery;
    }
    std::size_t minPurgesKnown() {
        std::size_t least = SIZE_MAX;
        for (const HeadlessProcessStatus& status : statuses()) least = std::min(least, status.minPurgesKnown);
        return least;
    }

    RunOptions options_;
    std::size_t steadyPurges_;
    ApplyTimes times_;
    Cluster cluster_;
    int leader_;
    std::vector<std::unique_ptr<HeadlessProcess>> fleet_;
    std::vector<std::unique_ptr<Program>> realGateways_;
    std::vector<Restart> restarts_;
    std::size_t committedPurges_ = 0;
    RunResult result_;
};

json toJson(const Percentiles& p) { return {{"median", p.median}, {"p99", p.p99}, {"worst", p.worst}}; }
json toJson(const Recovery& r) {
    return {{"gateways", r.gateways},
            {"ready", r.ready},
            {"ready_ms", toJson(r.readyMs)},
            {"most_missing", r.maxMissingPurges}};
}

}  // namespace

bool RunResult::complete() const {
    const auto recovered = [](const Recovery& r) { return r.ready == r.gateways && r.maxMissingPurges == 0; };
    return neverApplied == 0 && recovered(restart) && recovered(zone) && recovered(region);
}

json toJson(const RunResult& r) {
    return {{"gateways", r.options.gateways},
            {"agents", r.options.agents},
            {"stores", r.options.stores},
            {"purges_per_second", r.options.purgesPerSecond},
            {"seconds", r.options.seconds},
            {"propose_ms", toJson(r.proposeMs)},
            {"purge_to_gateway_ms", toJson(r.purgeToGatewayMs)},
            {"purge_to_last_gateway_ms", toJson(r.purgeToLastGatewayMs)},
            {"change_to_last_gateway_ms", toJson(r.changeToLastGatewayMs)},
            {"never_applied", r.neverApplied},
            {"gateway_bytes_per_second", r.gatewayBytesPerSecond},
            {"gateway_polls_per_second", r.gatewayPollsPerSecond},
            {"gateway_cpu_percent", r.gatewayCpuPercent},
            {"gateway_kb", r.gatewayKb},
            {"real_gateway_cpu_percent", r.realCpuPercent},
            {"real_gateway_kb", r.realKb},
            {"leader_cpu_percent", r.leaderCpuPercent},
            {"follower_cpu_percent", r.followerCpuPercent},
            {"agent_kb", r.agentKb},
            {"raft_bytes_per_second", r.raftBytesPerSecond},
            {"restart", toJson(r.restart)},
            {"zone", toJson(r.zone)},
            {"region", toJson(r.region)},
            {"complete", r.complete()}};
}

RunResult run(const RunOptions& options) { return Run(options).execute(); }

}  // namespace lotuslead::scale
