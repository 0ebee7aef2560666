// One scale run: agents, a few real gateways and a fleet of hollow ones, through purges, changes, restarts, a
// lost zone and a region that is cut off.
#pragma once

#include <nlohmann/json.hpp>

#include "hollow_gateways.hpp"
#include "scale_measures.hpp"

namespace lotuslead::scale {

struct RunPlan {
    std::size_t gateways = 100;  // hollow ones
    std::size_t perProcess = 300;
    std::size_t realGateways = 2;
    std::size_t stores = 750;
    int agents = 3;
    double purgesPerSecond = 13;
    double seconds = 10;        // of steady purges
    double changeEvery = 2;     // seconds between two changes of the list of stores
    std::size_t cutPurges = 0;  // published while a region is cut off; 0: no cut
};

// Gateways that came back, and what they lacked when they were ready.
struct Recovery {
    std::size_t gateways = 0;
    std::size_t ready = 0;
    Percentiles readyMs;
    std::size_t mostMissing = 0;  // purges that one of them did not know when it was ready
};

struct RunResult {
    RunPlan plan;
    Percentiles proposeMs;         // a purge's proposal to its answer
    Percentiles purgeGatewayMs;    // commit to each gateway
    Percentiles purgeLastMs;       // commit to the last gateway
    Percentiles changeLastMs;      // the same for a change of the list
    std::size_t neverApplied = 0;  // pairs of gateway and purge, or change
    double gatewayBytesPerSecond = 0, gatewayPollsPerSecond = 0;
    double gatewayCpuPercent = 0, gatewayKb = 0;
    double realCpuPercent = 0, realKb = 0;
    double leaderCpuPercent = 0, followerCpuPercent = 0, agentKb = 0;
    double raftBytesPerSecond = 0;
    Recovery restart, zone, region;

    bool complete() const;  // nothing was missing anywhere
};
nlohmann::json toJson(const RunResult& result);

RunResult run(const RunPlan& plan);

}  // namespace lotuslead::scale
