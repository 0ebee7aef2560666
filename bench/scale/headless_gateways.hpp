// Headless gateways: the real event bus reader, event decoder and decision code, without the front that
// clients connect to. Hundreds share one process and one event loop, so that a whole fleet fits on one
// machine. The output calls them hollow gateways.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "settings/settings.hpp"

namespace lotuslead::scale {

// The object that purge `number` names; purges are numbered from 0.
std::string purgedObject(std::size_t number);

// Change n of the store list gives a store the weight kFirstChangeWeight + n, which identifies the change.
inline constexpr double kFirstChangeWeight = 1000;

// When each gateway applied each purge and each change of the store list, on the machine's monotonic clock in
// microseconds; 0: not yet. The memory is shared with all processes that are forked after its construction.
class ApplyTimes {
public:
    ApplyTimes(std::size_t gateways, std::size_t purges, std::size_t changes);
    ~ApplyTimes();
    ApplyTimes(const ApplyTimes&) = delete;
    ApplyTimes& operator=(const ApplyTimes&) = delete;

    std::atomic<std::int64_t>& ofPurge(std::size_t gateway, std::size_t purge) {
        return times_[gateway * (purges_ + changes_) + purge];
    }
    std::atomic<std::int64_t>& ofChange(std::size_t gateway, std::size_t change) {
        return ofPurge(gateway, purges_ + change);
    }
    std::size_t gateways() const { return gateways_; }
    std::size_t purges() const { return purges_; }
    std::size_t changes() const { return changes_; }

private:
    std::size_t bytes() const { return gateways_ * (purges_ + changes_) * sizeof(std::atomic<std::int64_t>); }

    std::size_t gateways_, purges_, changes_;
    std::atomic<std::int64_t>* times_;
};

// The configuration of one process of headless gateways.
struct HeadlessProcessOptions {
    std::size_t first = 0, count = 0;  // the range of the fleet's gateways that it runs
    std::vector<settings::Endpoint> buses;
    std::string configuration;  // JSON, in the format that a gateway reads
};

// The start of one gateway: the time until it was ready, and the number of purges that it knew then.
struct Restart {
    std::int64_t readyAfterUs = 0;
    std::size_t purgesKnown = 0;
};
void to_json(nlohmann::json& into, const Restart& restart);
void from_json(const nlohmann::json& into, Restart& restart);

// The state of one process. Counters and CPU time are sums over its gateways since the process started.
struct HeadlessProcessStatus {
    std::size_t ready = 0;
    std::size_t minPurgesKnown = 0;  // of the gateway that knows the fewest purges
    std::uint64_t polls = 0, events = 0, reconnects = 0, bytes = 0;
    std::int64_t cpuUs = 0;
    std::int64_t residentKb = 0;
    std::vector<Restart> restarts;  // those that completed since the last status
};
void to_json(nlohmann::json& into, const HeadlessProcessStatus& status);
void from_json(const nlohmann::json& into, HeadlessProcessStatus& status);

// A child process of headless gateways, controlled through a pair of pipes.
class HeadlessProcess {
public:
    HeadlessProcess(const HeadlessProcessOptions& options, ApplyTimes& times);
    ~HeadlessProcess();
    HeadlessProcess(const HeadlessProcess&) = delete;
    HeadlessProcess& operator=(const HeadlessProcess&) = delete;

    std::size_t gateways() const { return count_; }
    // Restarts the first `count` gateways at the same time, without the state that they had.
    void restart(std::size_t count) { command("restart", count); }
    // Cuts the first `count` gateways off from all agents until reconnect().
    void disconnect(std::size_t count) { command("disconnect", count); }
    void reconnect() { command("reconnect", 0); }
    HeadlessProcessStatus status();

private:
    void command(const char* kind, std::size_t count);

    std::size_t count_;
    pid_t pid_ = -1;
    int commandFd_ = -1;
    FILE* answers_ = nullptr;
};

}  // namespace lotuslead::scale
