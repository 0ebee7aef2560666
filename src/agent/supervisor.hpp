// Keeps the instances of this agent running: starts, restarts and stops them.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "../net/loop.hpp"
#include "state.hpp"

namespace lotuslead::agent {

class Supervisor {
public:
    Supervisor(net::Loop& loop, std::string program, std::string folder)
        : loop_(loop), program_(std::move(program)), folder_(std::move(folder)) {}

    void want(const std::map<std::string, Instance>& all, std::uint64_t self);
    void stopAll();
    void reap();  // after SIGCHLD
    bool empty() const { return processes_.empty(); }

    struct Status {
        std::string phase;  // running, stopping, waiting
        pid_t pid = 0;
        int restarts = 0;
    };
    std::optional<Status> status(const std::string& name) const;

private:
    struct Process {
        Instance wanted;
        std::uint64_t runs = 0;  // the revision that runs
        bool keep = true;
        bool stopping = false;
        pid_t pid = 0;
        int restarts = 0;
        net::Micros startedAt{};
        net::Micros pause{};
        std::optional<net::Loop::TimerKey> timer;
    };

    void start(const std::string& name, Process& process);
    void stop(Process& process);

    net::Loop& loop_;
    std::string program_, folder_;
    std::map<std::string, Process> processes_;
};

}  // namespace lotuslead::agent
