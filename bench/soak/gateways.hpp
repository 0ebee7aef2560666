// The gateway processes, and the disturbances that each one's thread causes: signals, restarts, reloads,
// hand-overs, failing system calls and wall clock steps.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "stores.hpp"

namespace lotuslead::soak {

// The disturbances that a run may cause; each can be excluded to narrow down the cause of a failure.
struct Disturbances {
    bool restarts = true, kills = true, stops = true, reloads = true, handOvers = true;
    bool faults = true, clocks = true, stores = true, bus = true, badClients = true;
    Millis meanInterval{2500};  // between two disturbances of one gateway
};

struct GatewayPlan {
    int number = 0;
    std::uint64_t seed = 0;
    std::string folder;  // for configuration, logs and the fault switch
    bool inheritsSocket = false;
    std::function<json()> configuration;
};

class Gateway {
public:
    Gateway(GatewayPlan plan, const Disturbances& disturbances, Judge& judge);
    ~Gateway();
    std::uint16_t port() const { return port_; }
    void start();
    // Disturbs the gateway until `finished`; then ends it.
    void run(const std::atomic<bool>& finished);
    std::vector<std::string> internalViolations() const;
    const std::vector<Millis>& readyTimes() const { return readyTimes_; }

private:
    struct Process {
        pid_t pid = 0;
        std::string log;
    };

    Process spawn();
    bool awaitReady(const Process& process, Millis within);
    void awaitExit(const Process& process, TimePoint since, const char* how);
    void checkAlive();
    void writeConfiguration(const json& configuration);
    void writeFaultSwitch(bool faults);
    void disturb();
    void restart();
    void sendSignalSeries();
    void killAndRestart();
    void stopAndContinue();
    void reload();
    void handOver();
    void failSystemCalls(const std::atomic<bool>& finished);
    void stepClock();
    void logEvent(const std::string& event) const;
    int randomInt(int min, int max) { return std::uniform_int_distribution<>(min, max)(random_); }

    GatewayPlan plan_;
    const Disturbances& disturbances_;
    Judge& judge_;
    std::mt19937_64 random_;
    std::uint16_t port_ = 0;
    int socket_ = -1;
    Process process_;
    std::vector<std::string> logs_;
    std::vector<Millis> readyTimes_;
    std::string faultRules_;  // of the fault library; read by the next process
    bool faultsOn_ = false;
    double clockOffset_ = 0;
    Millis stoppedFor_{};  // by SIGSTOP, since the last process ended
};

}  // namespace lotuslead::soak
