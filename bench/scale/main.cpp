// The scale run: how purges and changes of the list reach a fleet, and what that costs gateways and agents.
// Exit codes: 0 all gateways had all purges, 1 some did not or a run failed, 2 bad arguments.
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
    double (*of)(const RunResult&);
};
constexpr Figure kFigures[] = {
    {"purge to last gateway, p99", "ms", [](const RunResult& r) { return r.purgeLastMs.p99; }},
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
        r.plan.gateways, r.plan.purgesPerSecond, r.purgeGatewayMs.median, r.purgeGatewayMs.p99,
        r.purgeGatewayMs.worst, r.purgeLastMs.median, r.purgeLastMs.p99, r.purgeLastMs.worst,
        r.gatewayBytesPerSecond, r.gatewayCpuPercent, r.gatewayKb, r.leaderCpuPercent, r.followerCpuPercent,
        r.agentKb, r.restart.readyMs.p99, r.restart.mostMissing, r.zone.mostMissing, r.region.mostMissing);
    std::fflush(stdout);
}

void printState(const StateCost& c) {
    std::printf(
        "%7zu purges | apply %5.1f us, worst %5.1f ms | dump %6.1f ms %5.1f MB | load %6.1f ms | page %5.2f "
        "ms | "
        "resident %6.1f MB\n",
        c.purges, c.applyUs, c.worstApplyMs, c.dumpMs, c.snapshotMb, c.loadMs, c.pageMs, c.residentMb);
}

// A line through all sizes of one rate of purges; a figure beyond the largest size is extrapolated by it.
json slopes(const std::vector<RunResult>& results, double rate) {
    json all = json::array();
    for (const Figure& figure : kFigures) {
        std::vector<std::pair<double, double>> points;
        for (const RunResult& r : results)
            if (r.plan.purgesPerSecond == rate)
                points.emplace_back(static_cast<double>(r.plan.gateways), figure.of(r));
        const Line line = lineThrough(points);
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

int main(int argumentCount, char** arguments) {
    CLI::App app("Measures how purges and changes reach a fleet of hollow gateways, and what it costs.");
    std::vector<std::size_t> sizes{100, 300};
    std::vector<double> rates{13};
    RunPlan plan;
    std::string file;
    app.add_option("--sizes", sizes, "hollow gateways")->delimiter(',')->check(CLI::Range(1, 4000));
    app.add_option("--rates", rates, "purges a second")->delimiter(',')->check(CLI::Range(1, 200));
    app.add_option("--seconds", plan.seconds, "steady purges, for each size and rate")
        ->check(CLI::Range(1, 600));
    app.add_option("--stores", plan.stores, "stores in the list")->check(CLI::Range(0, 5000));
    app.add_option("--agents", plan.agents, "that agree by Raft")->check(CLI::Range(1, 5));
    app.add_option("--real", plan.realGateways, "real gateways beside the hollow ones")
        ->check(CLI::Range(0, 20));
    app.add_option("--per-process", plan.perProcess, "hollow gateways a process")->check(CLI::Range(1, 1000));
    app.add_option("--cut-purges", plan.cutPurges, "told while a region is cut off; 0: no cut")
        ->check(CLI::Range(0, 200'000));
    std::vector<std::size_t> states;
    app.add_option("--state", states, "measure an agent's state with so many purges, and nothing else")
        ->delimiter(',')
        ->check(CLI::Range(1, 400'000));
    app.add_option("--json", file, "where all figures go");
    try {
        app.parse(argumentCount, arguments);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? 0 : 2;
    }
    if (!states.empty()) {
        for (const std::size_t purges : states) printState(measureState(purges, plan.stores));
        return 0;
    }
    try {
        std::vector<RunResult> results;
        for (const double rate : rates)
            for (const std::size_t size : sizes) {
                plan.gateways = size;
                plan.purgesPerSecond = rate;
                results.push_back(run(plan));
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
                for (const json& line : slopes(results, rate)) report["slopes"].push_back(line);
        if (!file.empty()) std::ofstream(file) << report.dump(1) << "\n";
        if (!complete) std::printf("incomplete: some gateways were ready without all purges\n");
        return complete ? 0 : 1;
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "lotuslead_scale: %s\n", problem.what());
        return 1;
    }
}
