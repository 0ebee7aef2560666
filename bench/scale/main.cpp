// The scale run: measures how fast purges and changes of the store list reach a fleet of gateways, and what
// that costs the gateways and the agents. Exit codes: 0 all gateways had all purges, 1 some did not or a run
// failed, 2 invalid arguments.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>

#include "scale_run.hpp"
#include "state_cost.hpp"

namespace {

using namespace lotuslead::scale;
using nlohmann::json;

struct Figure {
    const char* name;
    const char* unit;
    double (*value)(const RunResult&);
};
constexpr Figure kFigures[] = {
    {"purge to last gateway, p99", "ms", [](const RunResult& r) { return r.purgeToLastGatewayMs.p99; }},
    {"bytes of a gateway", "B/s", [](const RunResult& r) { return r.gatewayBytesPerSecond; }},
    {"processor of a gateway", "% core", [](const RunResult& r) { return r.gatewayCpuPercent; }},
    {"memory of a hollow gateway", "KB", [](const RunResult& r) { return r.gatewayKb; }},
    {"processor of the leader", "% core", [](const RunResult& r) { return r.leaderCpuPercent; }},
    {"processor of a follower", "% core", [](const RunResult& r) { return r.followerCpuPercent; }},
    {"memory of an agent", "KB", [](const RunResult& r) { return r.agentKb; }},
};

void printRow(const RunResult& r) {
    std::printf(
        "%8zu %5.0f/s | each %6.1f %6.1f %7.1f  last %6.1f %6.1f %7.1f ms | %6.0f B/s %5.2f %% %6.0f KB | "
        "leader %5.1f %% follower %5.1f %% %7.0f KB | ready p99 %6.0f ms, missing %zu %zu %zu\n",
        r.options.gateways, r.options.purgesPerSecond, r.purgeToGatewayMs.median, r.purgeToGatewayMs.p99,
        r.purgeToGatewayMs.worst, r.purgeToLastGatewayMs.median, r.purgeToLastGatewayMs.p99,
        r.purgeToLastGatewayMs.worst, r.gatewayBytesPerSecond, r.gatewayCpuPercent, r.gatewayKb,
        r.leaderCpuPercent, r.followerCpuPercent, r.agentKb, r.restart.readyMs.p99,
        r.restart.maxMissingPurges, r.zone.maxMissingPurges, r.region.maxMissingPurges);
    std::fflush(stdout);
}

void printStateCost(const StateCost& c) {
    std::printf(
        "%7zu purges | apply %5.1f us, worst %5.1f ms | dump %6.1f ms %5.1f MB | load %6.1f ms | page %5.2f "
        "ms | "
        "resident %6.1f MB\n",
        c.purges, c.applyUs, c.worstApplyMs, c.dumpMs, c.snapshotMb, c.loadMs, c.pageMs, c.residentMb);
}

// Fits a line through all fleet sizes at one rate of purges, to extrapolate beyond the largest size.
json printAndFit(const std::vector<RunResult>& results, double rate) {
    json all = json::array();
    for (const Figure& figure : kFigures) {
        std::vector<std::pair<double, double>> points;
        for (const RunResult& r : results)
            if (r.options.purgesPerSecond == rate)
                points.emplace_back(static_cast<double>(r.options.gateways), figure.value(r));
        const LinearFit line = fitLine(points);
        std::printf("%-28s at %2.0f purges/s: %10.3f %s + %9.5f a gateway, residual %.3f\n", figure.name,
                    rate, line.intercept, figure.unit, line.slope, line.residual);
        all.push_back({{"figure", figure.name},
                       {"unit", figure.unit},
                       {"purges_per_second", rate},
                       {"intercept", line.intercept},
                       {"slope", line.slope},
                       {"residual", line.residual}});
    }
    return all;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("Measures how fast purges and changes reach a fleet of gateways, and what that costs.");
    std::vector<std::size_t> sizes{100, 300};
    std::vector<double> rates{13};
    RunOptions options;
    std::string jsonPath;
    app.add_option("--sizes", sizes, "numbers of headless (hollow) gateways")
        ->delimiter(',')
        ->check(CLI::Range(1, 4000));
    app.add_option("--rates", rates, "purges per second")->delimiter(',')->check(CLI::Range(1, 200));
    app.add_option("--seconds", options.seconds, "duration of the steady purges, for each size and rate")
        ->check(CLI::Range(1, 600));
    app.add_option("--stores", options.stores, "number of stores in the list")->check(CLI::Range(0, 5000));
    app.add_option("--agents", options.agents, "number of agents in the Raft cluster")
        ->check(CLI::Range(1, 5));
    app.add_option("--real", options.realGateways, "number of real gateways beside the headless ones")
        ->check(CLI::Range(0, 20));
    app.add_option("--per-process", options.perProcess, "number of headless gateways per process")
        ->check(CLI::Range(1, 1000));
    app.add_option("--cut-purges", options.partitionPurges,
                   "number of purges committed while a region is cut off; 0: no such step")
        ->check(CLI::Range(0, 200'000));
    std::vector<std::size_t> statePurgeCounts;
    app.add_option("--state", statePurgeCounts, "only measure an agent's state with these numbers of purges")
        ->delimiter(',')
        ->check(CLI::Range(1, 400'000));
    app.add_option("--json", jsonPath, "file to write all results to");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? 0 : 2;
    }
    if (!statePurgeCounts.empty()) {
        for (const std::size_t purges : statePurgeCounts)
            printStateCost(measureStateCost(purges, options.stores));
        return 0;
    }
    try {
        std::vector<RunResult> results;
        for (const double rate : rates)
            for (const std::size_t size : sizes) {
                options.gateways = size;
                options.purgesPerSecond = rate;
                results.push_back(run(options));
                printRow(results.back());
            }
        json report = {{"runs", json::array()}, {"slopes", json::array()}};
        bool complete = true;
        for (const RunResult& result : results) {
            report["runs"].push_back(toJson(result));
            complete = complete && result.complete();
        }
        if (sizes.size() > 1)
            for (const double rate : rates)
                for (const json& line : printAndFit(results, rate)) report["slopes"].push_back(line);
        if (!jsonPath.empty()) std::ofstream(jsonPath) << report.dump(1) << "\n";
        if (!complete) std::printf("incomplete: some gateways were ready without all purges\n");
        return complete ? 0 : 1;
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "lotuslead_scale: %s\n", problem.what());
        return 1;
    }
}
