// Hollow gateways: the real event bus reader, decoder and decisions, without a front. Hundreds share one
// process and one loop, so that a fleet fits on one machine.
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

// Purges are numbered from 0 answerPipe; this is the object that the purge of a number names.
std::string purgedObject(std::size_t number);

// Changes of the list are told apart by the weight that they give a store: this, and their number.
inline constexpr double kFirstChangeWeight = 1000;

// When each gateway applied each purge and, behind those, each change of the list, on the machine's monotonic
// clock in microseconds; 0: not yet. The memory is shared by all processes that are forked after it was made.
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

// What one process of hollow gateways is made of.
struct HeadlessProcessOptions {
    std::size_t first = 0, count = 0;  // of the fleet's gateways
    std::vector<settings::Endpoint> buses;
    std::string configuration;  // JSON, as a gateway reads it
};

// One gateway that was started anew: how long it took to be ready, and how many purges it knew then.
struct Restart {
    std::int64_t readyAfterUs = 0;
    std::size_t purgesKnown = 0;
};
void to_json(nlohmann::json& into, const Restart& restart);
void from_json(const nlohmann::json& into, Restart& restart);

// One process's figures. Counters and processor time are sums over its gateways since it started.
struct HeadlessProcessStatus {
    std::size_t ready = 0;
    std::size_t minPurgesKnown = 0;  // purges, by the gateway that knows the fewest
    std::uint64_t polls = 0, events = 0, reconnects = 0, bytes = 0;
    std::int64_t cpuUs = 0;
    std::int64_t residentKb = 0;
    std::vector<Restart> restarts;  // those that were ready since they were last asked for
};
void to_json(nlohmann::json& into, const HeadlessProcessStatus& status);
void from_json(const nlohmann::json& into, HeadlessProcessStatus& status);

// A child process of hollow gateways, driven through a pair of pipes.
class HeadlessProcess {
public:
    HeadlessProcess(const HeadlessProcessOptions& options, ApplyTimes& times);
    ~HeadlessProcess();
    HeadlessProcess(const HeadlessProcess&) = delete;
    HeadlessProcess& operator=(const HeadlessProcess&) = delete;

    std::size_t gateways() const { return count_; }
    // The first `count` gateways lose all that they know and start anew, at once.
    void restart(std::size_t count) { command("restart", count); }
    // The first `count` gateways reach no agent until they are reconnected.
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
