// Runs this agent's instances as child processes: starts, restarts, replaces and stops them.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "../net/listener.hpp"
#include "../net/loop.hpp"
#include "instances.hpp"

namespace lotuslead::agent {

class Supervisor {
public:
    Supervisor(net::Loop& loop, std::string program, std::string folder)
        : loop_(loop), program_(std::move(program)), folder_(std::move(folder)) {}

    void setInstances(const std::map<std::string, Instance>& all, std::uint64_t self);
    void stopAll();
    void reap();  // after SIGCHLD
    // Starts a successor process, and stops the old one as soon as the successor is ready. Returns false if
    // the instance is not running, is already being replaced, or has no operator address to poll for
    // readiness.
    bool replace(const std::string& name);
    std::optional<settings::Endpoint> operatorAddress(const std::string& name) const;
    bool empty() const { return processes_.empty(); }

    struct Status {
        std::string phase;  // running, replacing, stopping, waiting
        pid_t pid = 0;
        int restarts = 0;
    };
    std::optional<Status> status(const std::string& name) const;

private:
    struct Process {
        Instance desired;
        std::uint64_t runningRevision = 0;  // of the configuration that the process was started with
        bool keep = true;
        bool stopping = false;
        pid_t pid = 0;
        // The listening socket is kept here, so that every process of the instance inherits it.
        net::Descriptor socket;
        settings::Endpoint listenAddress;
        std::optional<settings::Endpoint> operatorAddress, successorOperatorAddress;
        pid_t successor = 0;
        std::uint64_t successorRevision = 0;
        bool successorReady = false;
        int restarts = 0;
        net::Micros startedAt{};
        net::Micros restartDelay{};
        std::optional<net::Loop::TimerKey> timer;
    };

    enum class Replacement {
        begun,
        failed,      // no process could be started; retry
        impossible,  // no operator address to poll for the readiness of the successor
    };

    void reconcile(const std::string& name, Process& process);
    void scheduleRetry(const std::string& name, Process& process);
    void scheduleReconcile(net::Micros restartDelay, const std::string& name, Process& process);
    Replacement beginReplacement(const std::string& name, Process& process);
    void start(const std::string& name, Process& process);
    pid_t spawn(const std::string& name, Process& process,
                const std::optional<settings::Endpoint>& operatorAddress);
    void openListener(const std::string& name, Process& process, const settings::Endpoint& at);
    void pollReadiness(const std::string& name, pid_t successor, net::Micros until);
    void promote(Process& process);
    void stop(Process& process);

    net::Loop& loop_;
    std::string program_, folder_;
    std::map<std::string, Process> processes_;
};

}  // namespace lotuslead::agent
