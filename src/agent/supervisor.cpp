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

#include "../net/call.hpp"

namespace lotuslead::agent {

using namespace std::chrono_literals;

namespace {

constexpr net::Micros kFirstPause = 200ms, kLongestPause = 5s;
constexpr net::Micros kReadyWithin = 6s, kAskAgain = 100ms,
                      kAnswers = 1s;  // of a successor
constexpr net::Micros kWell = 10s;    // having run so long, it starts again without a pause

// Under another name first: a process that reads it finds the old content or the new.
bool writeWhole(const std::string& path, const std::string& content) {
    const std::string fresh = path + ".new";
    {
        std::ofstream file(fresh, std::ios::trunc);
        file << content;
        file.close();
        if (!file) return false;
    }
    return std::rename(fresh.c_str(), path.c_str()) == 0;
}

}  // namespace

void Supervisor::want(const std::map<std::string, Instance>& all, std::uint64_t self) {
    for (auto& [name, process] : processes_) {
        const auto found = all.find(name);
        process.keep = found != all.end() && found->second.agent == self;
        if (!process.keep) stop(process);
    }
    for (const auto& [name, instance] : all) {
        if (instance.agent != self) continue;
        const bool isNew = processes_.count(name) == 0;
        Process& process = processes_[name];
        process.wanted = instance;
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

// Brings what runs in line with what is wanted. Where something is under way already it does nothing:
// whatever ends that calls it again.
void Supervisor::reconcile(const std::string& name, Process& process) {
    const bool busy = process.pid == 0 || process.stopping || process.successor != 0 || process.timer;
    if (busy || process.runs == process.wanted.revision) return;
    switch (beginReplacement(name, process)) {
        case Replacement::begun:
            return;
        case Replacement::failed:
            return tryAgainLater(name, process);
        case Replacement::impossible:
            return stop(process);  // the new one starts when the old one has drained
    }
}

// With pauses that grow, so that a configuration that can't be started is no busy loop.
void Supervisor::tryAgainLater(const std::string& name, Process& process) {
    process.pause = std::clamp(2 * process.pause, kFirstPause, kLongestPause);
    attendAfter(process.pause, name, process);
}

void Supervisor::attendAfter(net::Micros pause, const std::string& name, Process& process) {
    if (process.timer) loop_.cancel(*process.timer);
    process.timer = loop_.after(pause, [this, name] {
        Process& again = processes_.at(name);
        again.timer.reset();
        again.pid == 0 ? start(name, again) : reconcile(name, again);
    });
}

void Supervisor::start(const std::string& name, Process& process) {
    process.runs = process.wanted.revision;
    process.stopping = false;
    process.startedAt = loop_.now();
    process.operatorAddress = settings::readConfiguration(process.wanted.configuration).operatorDoor;
    process.pid = std::max<pid_t>(spawn(name, process, process.operatorAddress), 0);
    if (process.pid == 0) tryAgainLater(name, process);
}

void Supervisor::hold(const std::string& name, Process& process, const settings::Endpoint& at) {
    if (process.socket && process.listens == at) return;
    process.socket.reset();
    process.listens = at;
    try {
        process.socket = net::listenOn(at);
    } catch (const std::system_error& problem) {  // the instance says so itself, and ends
        std::fprintf(stderr, "agent: %s: %s\n", name.c_str(), problem.what());
    }
}

pid_t Supervisor::spawn(const std::string& name, Process& process,
                        const std::optional<settings::Endpoint>& operatorAddress) {
    hold(name, process, settings::readConfiguration(process.wanted.configuration).listen);
    const std::string base = folder_ + "/" + name;
    // All that the child needs is made before the fork.
    const std::string setting = base + ".json", log = base + ".log", meeting = base + ".tmp";
    if (!writeWhole(setting, process.wanted.configuration)) {
        std::fprintf(stderr, "agent: cannot start %s: its configuration cannot be written\n", name.c_str());
        return -1;
    }
    ::mkdir(meeting.c_str(), 0700);
    const std::string at =
        operatorAddress ? operatorAddress->host + ":" + std::to_string(operatorAddress->port) : "";
    constexpr int kSocket = 5;
    const int socket = process.socket.get();
    const pid_t agent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
        sigset_t none;
        sigemptyset(&none);
        sigprocmask(SIG_SETMASK, &none, nullptr);
        ::prctl(PR_SET_PDEATHSIG,
                SIGTERM);  // without its agent nobody would stop it
        if (::getppid() != agent) ::_exit(125);
        ::setenv("LB_CONFIG", setting.c_str(), 1);
        ::setenv("LB_NAME", name.c_str(), 1);
        ::setenv("TMPDIR", meeting.c_str(), 1);
        at.empty() ? ::unsetenv("LB_OPERATOR") : ::setenv("LB_OPERATOR", at.c_str(), 1);
        ::unsetenv("LB_SOCKET_FD");
        if (socket >= 0) {
            const bool passed =
                socket == kSocket ? ::fcntl(socket, F_SETFD, 0) == 0 : ::dup2(socket, kSocket) == kSocket;
            if (!passed) ::_exit(126);
            ::setenv("LB_SOCKET_FD", std::to_string(kSocket).c_str(), 1);
        }
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (out < 0 || ::dup2(out, STDOUT_FILENO) < 0 || ::dup2(out, STDERR_FILENO) < 0) ::_exit(126);
        ::execl(program_.c_str(), program_.c_str(), nullptr);
        ::_exit(127);
    }
    if (pid < 0) std::fprintf(stderr, "agent: cannot start %s: no process is to be had\n", name.c_str());
    return pid;
}

// The doors of an instance's processes take turns: the configured address, and
// the port after it.
bool Supervisor::replace(const std::string& name) {
    const auto found = processes_.find(name);
    if (found == processes_.end()) return false;
    Process& process = found->second;
    if (process.pid == 0 || process.stopping || process.successor != 0) return false;
    return beginReplacement(name, process) == Replacement::begun;
}

// Of an instance that runs, and is neither stopping nor being replaced.
Supervisor::Replacement Supervisor::beginReplacement(const std::string& name, Process& process) {
    const auto configured = settings::readConfiguration(process.wanted.configuration).operatorDoor;
    if (!process.operatorAddress || !configured) return Replacement::impossible;
    process.successorOperatorAddress = configured;
    if (*process.operatorAddress == *configured && ++process.successorOperatorAddress->port == 0)
        return Replacement::impossible;
    process.successorRuns = process.wanted.revision;
    process.successorServes = false;
    process.successor = std::max<pid_t>(spawn(name, process, process.successorOperatorAddress), 0);
    if (process.successor == 0) return Replacement::failed;
    awaitReady(name, process.successor, loop_.now() + kReadyWithin);
    return Replacement::begun;
}

void Supervisor::awaitReady(const std::string& name, pid_t successor, net::Micros until) {
    const auto current = [this, name, successor]() -> Process* {
        const auto found = processes_.find(name);
        return found != processes_.end() && found->second.successor == successor ? &found->second : nullptr;
    };
    Process* process = current();
    if (!process) return;
    net::call(loop_, *process->successorOperatorAddress, "GET", "/ready", kAnswers,
              [this, name, successor, until, current](int status, const std::string&) {
                  Process* asked = current();
                  if (!asked) return;
                  if (status == 200) {
                      asked->successorServes = true;
                      ::kill(asked->pid, SIGTERM);
                  } else if (loop_.now() >= until) {
                      ::kill(successor, SIGKILL);
                  } else {
                      loop_.after(kAskAgain,
                                  [this, name, successor, until] { awaitReady(name, successor, until); });
                  }
              });
}

// The old process has ended. Where the successor does not serve yet it will, or
// ends and is started again.
void Supervisor::promote(Process& process) {
    process.pid = std::exchange(process.successor, 0);
    process.runs = process.successorRuns;
    process.operatorAddress = process.successorOperatorAddress;
    process.startedAt = loop_.now();
    process.pause = {};
}

std::optional<settings::Endpoint> Supervisor::operatorAddress(const std::string& name) const {
    const auto found = processes_.find(name);
    if (found == processes_.end()) return std::nullopt;
    return found->second.successorServes && found->second.successor != 0
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
            if (process.runs != process.wanted.revision) tryAgainLater(name, process);
            continue;
        }
        if (process.successor != 0) {
            const bool stopping = std::exchange(process.stopping, false);
            promote(process);
            stopping ? stop(process) : reconcile(name, process);
            continue;
        }
        const bool told = process.stopping;
        process.pid = 0;
        process.stopping = false;
        if (!process.keep) {
            processes_.erase(found);
            continue;
        }
        net::Micros pause{};
        if (!told) {
            const int code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
            std::fprintf(stderr, "agent: %s ended with %d, starting again\n", name.c_str(), code);
            ++process.restarts;
            const bool well = loop_.now() - process.startedAt > kWell;
            process.pause = well ? kFirstPause : std::clamp(2 * process.pause, kFirstPause, kLongestPause);
            pause = process.pause;
        }
        attendAfter(pause, name, process);
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
