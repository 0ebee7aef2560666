#include "supervisor.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace lotuslead::agent {

using namespace std::chrono_literals;

namespace {

constexpr net::Micros kFirstPause = 200ms, kLongestPause = 5s;
constexpr net::Micros kWell = 10s;  // having run so long, it starts again without a pause

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
        if (isNew)
            start(name, process);
        else if (process.runs != instance.revision)
            stop(process);  // the new one starts when the old one has drained
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

void Supervisor::start(const std::string& name, Process& process) {
    process.runs = process.wanted.revision;
    process.stopping = false;
    const std::string base = folder_ + "/" + name;
    std::ofstream(base + ".json", std::ios::trunc) << process.wanted.configuration;
    // All that the child needs is made before the fork.
    const std::string setting = base + ".json", log = base + ".log";
    process.startedAt = loop_.now();
    const pid_t agent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
        sigset_t none;
        sigemptyset(&none);
        sigprocmask(SIG_SETMASK, &none, nullptr);
        ::prctl(PR_SET_PDEATHSIG, SIGTERM);  // without its agent nobody would stop it
        if (::getppid() != agent) ::_exit(125);
        ::setenv("LB_CONFIG", setting.c_str(), 1);
        ::setenv("LB_NAME", name.c_str(), 1);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (out < 0 || ::dup2(out, STDOUT_FILENO) < 0 || ::dup2(out, STDERR_FILENO) < 0) ::_exit(126);
        ::execl(program_.c_str(), program_.c_str(), nullptr);
        ::_exit(127);
    }
    process.pid = std::max<pid_t>(pid, 0);
    if (pid < 0) std::fprintf(stderr, "agent: cannot start %s: no process is to be had\n", name.c_str());
}

void Supervisor::stop(Process& process) {
    if (process.timer) loop_.cancel(*process.timer);
    process.timer.reset();
    if (process.pid == 0 || process.stopping) return;
    process.stopping = true;
    ::kill(process.pid, SIGTERM);
}

void Supervisor::reap() {
    for (int status = 0; const pid_t pid = ::waitpid(-1, &status, WNOHANG);) {
        if (pid < 0) break;
        const auto found = std::find_if(processes_.begin(), processes_.end(),
                                        [&](const auto& entry) { return entry.second.pid == pid; });
        if (found == processes_.end()) continue;
        auto& [name, process] = *found;
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
        process.timer = loop_.after(pause, [this, key = name] {
            Process& again = processes_.at(key);
            again.timer.reset();
            start(key, again);
        });
    }
}

std::optional<Supervisor::Status> Supervisor::status(const std::string& name) const {
    const auto found = processes_.find(name);
    if (found == processes_.end()) return std::nullopt;
    const Process& p = found->second;
    return Status{p.pid == 0 ? "waiting" : p.stopping ? "stopping" : "running", p.pid, p.restarts};
}

}  // namespace lotuslead::agent
