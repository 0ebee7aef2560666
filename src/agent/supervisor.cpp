#include "supervisor.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <system_error>

#include "../net/http_client.hpp"

namespace lotuslead::agent {

using namespace std::chrono_literals;

namespace {

constexpr net::Micros kMinRestartDelay = 200ms, kMaxRestartDelay = 5s;
constexpr net::Micros kReadyTimeout = 6s, kReadyPollInterval = 100ms,
                      kReadyCallTimeout = 1s;  // per call to the successor's /ready
// after running this long, an instance restarts with the minimum delay
constexpr net::Micros kStableAfter = 10s;

// Replaces the file by rename, so that readers see either the old or the new content.
bool writeAtomically(const std::string& path, const std::string& content) {
    const std::string temporary = path + ".new";
    {
        std::ofstream file(temporary, std::ios::trunc);
        file << content;
        file.close();
        if (!file) return false;
    }
    return std::rename(temporary.c_str(), path.c_str()) == 0;
}

}  // namespace

void Supervisor::setInstances(const std::map<std::string, Instance>& all, std::uint64_t self) {
    for (auto& [name, process] : processes_) {
        const auto found = all.find(name);
        process.keep = found != all.end() && found->second.agent == self;
        if (!process.keep) stop(process);
    }
    for (const auto& [name, instance] : all) {
        if (instance.agent != self) continue;
        const bool isNew = processes_.count(name) == 0;
        Process& process = processes_[name];
        process.desired = instance;
        isNew ? start(name, process) : reconcile(name, process);
    }
    std::erase_if(processes_, [](const auto& entry) { return !entry.second.keep && entry.second.pid == 0; });
}

void Supervisor::stopAll() {
    for (auto& [name, process] : processes_) {
        process.keep = false;
        stop(process);
    }
    std::erase_if(processes_, [](const auto& entry) { return entry.second.pid == 0; });
}

// Brings the running process in line with the desired instance. Does nothing while another operation is in
// progress, since each operation calls this again when it ends.
void Supervisor::reconcile(const std::string& name, Process& process) {
    const bool busy = process.pid == 0 || process.stopping || process.successor != 0 || process.timer;
    if (busy || process.runningRevision == process.desired.revision) return;
    switch (beginReplacement(name, process)) {
        case Replacement::begun:
            return;
        case Replacement::failed:
            return scheduleRetry(name, process);
        case Replacement::impossible:
            return stop(process);  // the new process starts after the old one has drained
    }
}

// With exponential backoff, so that an instance that cannot start does not cause a busy loop.
void Supervisor::scheduleRetry(const std::string& name, Process& process) {
    process.restartDelay = std::clamp(2 * process.restartDelay, kMinRestartDelay, kMaxRestartDelay);
    scheduleReconcile(process.restartDelay, name, process);
}

void Supervisor::scheduleReconcile(net::Micros restartDelay, const std::string& name, Process& process) {
    if (process.timer) loop_.cancel(*process.timer);
    process.timer = loop_.after(restartDelay, [this, name] {
        Process& again = processes_.at(name);
        again.timer.reset();
        again.pid == 0 ? start(name, again) : reconcile(name, again);
    });
}

void Supervisor::start(const std::string& name, Process& process) {
    process.runningRevision = process.desired.revision;
    process.stopping = false;
    process.startedAt = loop_.now();
    process.operatorAddress = settings::readConfiguration(process.desired.configuration).operatorAddress;
    process.pid = std::max<pid_t>(spawn(name, process, process.operatorAddress), 0);
    if (process.pid == 0) scheduleRetry(name, process);
}

void Supervisor::openListener(const std::string& name, Process& process, const settings::Endpoint& at) {
    if (process.socket && process.listenAddress == at) return;
    process.socket.reset();
    process.listenAddress = at;
    try {
        process.socket = net::listenOn(at);
    } catch (const std::system_error& problem) {  // the instance reports the error itself and exits
        std::fprintf(stderr, "agent: %s: %s\n", name.c_str(), problem.what());
    }
}

pid_t Supervisor::spawn(const std::string& name, Process& process,
                        const std::optional<settings::Endpoint>& operatorAddress) {
    openListener(name, process, settings::readConfiguration(process.desired.configuration).listen);
    const std::string base = folder_ + "/" + name;
    // Everything that the child needs is allocated before the fork.
    const std::string configurationFile = base + ".json", log = base + ".log", handOverFolder = base + ".tmp";
    if (!writeAtomically(configurationFile, process.desired.configuration)) {
        std::fprintf(stderr, "agent: cannot start %s: its configuration file cannot be written\n",
                     name.c_str());
        return -1;
    }
    ::mkdir(handOverFolder.c_str(), 0700);
    const std::string at =
        operatorAddress ? operatorAddress->host + ":" + std::to_string(operatorAddress->port) : "";
    constexpr int kSocketDescriptor = 5;
    const int socket = process.socket.get();
    const pid_t agent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
        sigset_t none;
        sigemptyset(&none);
        sigprocmask(SIG_SETMASK, &none, nullptr);
        ::prctl(PR_SET_PDEATHSIG,
                SIGTERM);  // nobody would stop the process without its agent
        if (::getppid() != agent) ::_exit(125);
        ::setenv("LB_CONFIG", configurationFile.c_str(), 1);
        ::setenv("LB_NAME", name.c_str(), 1);
        ::setenv("TMPDIR", handOverFolder.c_str(), 1);
        at.empty() ? ::unsetenv("LB_OPERATOR") : ::setenv("LB_OPERATOR", at.c_str(), 1);
        ::unsetenv("LB_SOCKET_FD");
        if (socket >= 0) {
            const bool passed = socket == kSocketDescriptor
                                    ? ::fcntl(socket, F_SETFD, 0) == 0
                                    : ::dup2(socket, kSocketDescriptor) == kSocketDescriptor;
            if (!passed) ::_exit(126);
            ::setenv("LB_SOCKET_FD", std::to_string(kSocketDescriptor).c_str(), 1);
        }
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (out < 0 || ::dup2(out, STDOUT_FILENO) < 0 || ::dup2(out, STDERR_FILENO) < 0) ::_exit(126);
        ::execl(program_.c_str(), program_.c_str(), nullptr);
        ::_exit(127);
    }
    if (pid < 0) std::fprintf(stderr, "agent: cannot start %s: fork failed\n", name.c_str());
    return pid;
}

// The processes of an instance alternate between two operator addresses: the configured one, and the same
// host with the next port.
bool Supervisor::replace(const std::string& name) {
    const auto found = processes_.find(name);
    if (found == processes_.end()) return false;
    Process& process = found->second;
    if (process.pid == 0 || process.stopping || process.successor != 0) return false;
    return beginReplacement(name, process) == Replacement::begun;
}

// The instance must be running, and neither stopping nor being replaced.
Supervisor::Replacement Supervisor::beginReplacement(const std::string& name, Process& process) {
    const auto configured = settings::readConfiguration(process.desired.configuration).operatorAddress;
    if (!process.operatorAddress || !configured) return Replacement::impossible;
    process.successorOperatorAddress = configured;
    if (*process.operatorAddress == *configured && ++process.successorOperatorAddress->port == 0)
        return Replacement::impossible;
    process.successorRevision = process.desired.revision;
    process.successorReady = false;
    process.successor = std::max<pid_t>(spawn(name, process, process.successorOperatorAddress), 0);
    if (process.successor == 0) return Replacement::failed;
    pollReadiness(name, process.successor, loop_.now() + kReadyTimeout);
    return Replacement::begun;
}

void Supervisor::pollReadiness(const std::string& name, pid_t successor, net::Micros until) {
    const auto current = [this, name, successor]() -> Process* {
        const auto found = processes_.find(name);
        return found != processes_.end() && found->second.successor == successor ? &found->second : nullptr;
    };
    Process* process = current();
    if (!process) return;
    net::sendHttpRequest(loop_, *process->successorOperatorAddress, "GET", "/ready", kReadyCallTimeout,
                         [this, name, successor, until, current](int status, const std::string&) {
                             Process* asked = current();
                             if (!asked) return;
                             if (status == 200) {
                                 asked->successorReady = true;
                                 ::kill(asked->pid, SIGTERM);
                             } else if (loop_.now() >= until) {
                                 ::kill(successor, SIGKILL);
                             } else {
                                 loop_.after(kReadyPollInterval, [this, name, successor, until] {
                                     pollReadiness(name, successor, until);
                                 });
                             }
                         });
}

// Called when the old process has ended. If the successor is not ready yet, it will be, or it exits and is
// restarted.
void Supervisor::promote(Process& process) {
    process.pid = std::exchange(process.successor, 0);
    process.runningRevision = process.successorRevision;
    process.operatorAddress = process.successorOperatorAddress;
    process.startedAt = loop_.now();
    process.restartDelay = {};
}

std::optional<settings::Endpoint> Supervisor::operatorAddress(const std::string& name) const {
    const auto found = processes_.find(name);
    if (found == processes_.end()) return std::nullopt;
    return found->second.successorReady && found->second.successor != 0
               ? found->second.successorOperatorAddress
               : found->second.operatorAddress;
}

void Supervisor::stop(Process& process) {
    if (process.timer) loop_.cancel(*process.timer);
    process.timer.reset();
    if (process.pid == 0 || process.stopping) return;
    process.stopping = true;
    ::kill(process.pid, SIGTERM);
    if (process.successor != 0) ::kill(process.successor, SIGTERM);
}

void Supervisor::reap() {
    for (int status = 0; const pid_t pid = ::waitpid(-1, &status, WNOHANG);) {
        if (pid < 0) break;
        const auto found = std::find_if(processes_.begin(), processes_.end(), [&](const auto& entry) {
            return entry.second.pid == pid || entry.second.successor == pid;
        });
        if (found == processes_.end()) continue;
        auto& [name, process] = *found;
        if (process.successor == pid) {
            process.successor = 0;
            if (process.stopping) continue;
            std::fprintf(stderr, "agent: the successor of %s has ended, the old process goes on\n",
                         name.c_str());
            if (process.runningRevision != process.desired.revision) scheduleRetry(name, process);
            continue;
        }
        if (process.successor != 0) {
            const bool stopping = std::exchange(process.stopping, false);
            promote(process);
            stopping ? stop(process) : reconcile(name, process);
            continue;
        }
        const bool expected = process.stopping;
        process.pid = 0;
        process.stopping = false;
        if (!process.keep) {
            processes_.erase(found);
            continue;
        }
        net::Micros restartDelay{};
        if (!expected) {
            const int code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
            std::fprintf(stderr, "agent: %s ended with %d, starting again\n", name.c_str(), code);
            ++process.restarts;
            const bool stable = loop_.now() - process.startedAt > kStableAfter;
            process.restartDelay =
                stable ? kMinRestartDelay
                       : std::clamp(2 * process.restartDelay, kMinRestartDelay, kMaxRestartDelay);
            restartDelay = process.restartDelay;
        }
        scheduleReconcile(restartDelay, name, process);
    }
}

std::optional<Supervisor::Status> Supervisor::status(const std::string& name) const {
    const auto found = processes_.find(name);
    if (found == processes_.end()) return std::nullopt;
    const Process& p = found->second;
    return Status{p.pid == 0         ? "waiting"
                  : p.stopping       ? "stopping"
                  : p.successor != 0 ? "replacing"
                                     : "running",
                  p.pid, p.restarts};
}

}  // namespace lotuslead::agent
