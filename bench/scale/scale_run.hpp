// One scale run: agents, a few real gateways and a fleet of headless ones, through steady purges and changes
// of the store list, restarts, the loss of a zone and a region that is cut off.
#pragma once

#include <nlohmann/json.hpp>

#include "headless_gateways.hpp"
#include "scale_measures.hpp"

namespace lotuslead::scale {

struct RunOptions {
    std::size_t gateways = 100;  // headless ones
    std::size_t perProcess = 300;
    std::size_t realGateways = 2;
    std::size_t stores = 750;
    int agents = 3;
    double purgesPerSecond = 13;
    double seconds = 10;               // duration of the steady purges
    double changeIntervalSeconds = 2;  // between two changes of the store list
    std::size_t partitionPurges = 0;   // committed while a region is cut off; 0: no such step
};

// How restarted gateways became ready, and the purges that they lacked then.
struct Recovery {
    std::size_t gateways = 0;
    std::size_t ready = 0;
    Percentiles readyMs;
    std::size_t maxMissingPurges = 0;  // the most that one of them lacked when it was ready
};

struct RunResult {
    RunOptions options;
    Percentiles proposeMs;              // from a purge's proposal to its answer
    Percentiles purgeToGatewayMs;       // from commit to each gateway
    Percentiles purgeToLastGatewayMs;   // from commit to the last gateway
    Percentiles changeToLastGatewayMs;  // the same for a change of the store list
    std::size_t neverApplied = 0;       // pairs of a gateway and a purge or change
    double gatewayBytesPerSecond = 0, gatewayPollsPerSecond = 0;
    double gatewayCpuPercent = 0, gatewayKb = 0;
    double realCpuPercent = 0, realKb = 0;
    double leaderCpuPercent = 0, followerCpuPercent = 0, agentKb = 0;
    double raftBytesPerSecond = 0;
    Recovery restart, zone, region;

    bool complete() const;  // every gateway became ready and applied everything
};
nlohmann::json toJson(const RunResult& result);

RunResult run(const RunOptions& options);

}  // namespace lotuslead::scale
