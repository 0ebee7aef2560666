// The gateways' processes, and the thread that injects faults into each: signals, restarts, reloads,
// hand-overs, failing system calls and a wall clock that is stepped.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "stores.hpp"

namespace lotuslead::soak {

// The kinds of faults of one run; each may be left out to find a cause.
struct FaultOptions {
    bool restarts = true, kills = true, stops = true, reloads = true, handOvers = true;
    bool faults = true, clocks = true, stores = true, bus = true, badClients = true;
    Millis between{2500};  // between two faults of one gateway, in the mean
};

struct GatewayPlan {
    int number = 0;
    std::uint64_t seed = 0;
    std::string folder;  // for its files and logs
    bool inheritsSocket = false;
    std::function<json()> configuration;
};

class Gateway {
public:
    Gateway(GatewayPlan plan, const FaultOptions& faultOptions, Judge& judge);
    ~Gateway();
    std::uint16_t port() const { return port_; }
    void start();
    // Injects faults until `over`; then ends the process.
    void run(const std::atomic<bool>& over);
    std::vector<std::string> internalViolations() const;
    const std::vector<Millis>& readyTimes() const { return readyTimes_; }

private:
    struct Process {
        pid_t pid = 0;
        std::string log;
    };

    Process spawn();
    bool awaitReady(const Process& process, Millis within);
    void awaitEnd(const Process& process, TimePoint since, const char* how);
    void checkAlive();
    void writeConfiguration(const json& configuration);
    void setSwitch(bool faults);
    void injectFaults();
    void restart();
    void signalInSeries();
    void killAndRestart();
    void stopAndContinue();
    void reload();
    void handOver();
    void failCalls(const std::atomic<bool>& over);
    void stepClock();
    void note(const std::string& event) const;
    int between(int least, int most) { return std::uniform_int_distribution<>(least, most)(random_); }

    GatewayPlan plan_;
    const FaultOptions& faultOptions_;
    Judge& judge_;
    std::mt19937_64 random_;
    std::uint16_t port_ = 0;
    int socket_ = -1;
    Process process_;
    std::vector<std::string> logs_;
    std::vector<Millis> readyTimes_;
    std::string rules_;  // of the fault library, for the next process
    bool faultsOn_ = false;
    double clockOffset_ = 0;
    Millis stoppedTime_{};  // by SIGSTOP, since the end of the process was requested
};

}  // namespace lotuslead::soak
