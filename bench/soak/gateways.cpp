#include "gateways.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace lotuslead::soak {

using namespace std::chrono_literals;

namespace {

constexpr int kInheritedSocket = 5;
constexpr rlim_t kDescriptorLimit = 1024;
constexpr Millis kPollInterval = 10ms;
constexpr Millis kReadyTimeout = 30s;
// PROTOCOL, planned restarts: the longest deadline of the soak's classes, 2.5 s, and 0.7 s after SIGTERM.
constexpr Millis kShutdownTimeout = 3200ms;
constexpr int kBacklog = 512;

// Errors that Linux documents for these calls, each injected now and then; all of them are transient.
constexpr const char* kFaultRules[] = {
    "accept=ENFILE:3;accept=ECONNABORTED:7;socket=ENFILE:3;connect=EADDRNOTAVAIL:4",
    "accept=ENOBUFS:2;socket=ENOBUFS:2;connect=ENETUNREACH:5;epoll_ctl=ENOMEM:3",
    "send=short:7;recv=short:11;epoll_wait=EINTR:2",
    "send=ENOBUFS:3;recv=ENOMEM:3;peek=EINTR:2;poll=EINTR:2",
    "epoll_wait=EINTR:2;read=EINTR:2;recv=EINTR:2;send=EINTR:2;peek=ENOMEM:3",
    "epoll_ctl=ENOSPC:-2;accept=EPROTO:3;connect=EINTR:-2;send=short:100;open=ENFILE:2",
};

std::string contentsOf(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}  // namespace

Gateway::Gateway(GatewayPlan plan, const Disturbances& disturbances, Judge& judge)
    : plan_(std::move(plan)), disturbances_(disturbances), judge_(judge), random_(plan_.seed) {
    ::mkdir(plan_.folder.c_str(), 0755);
    ::mkdir((plan_.folder + "/tmp").c_str(), 0755);
    const int socket = listenOnNonEphemeralPort(kBacklog);
    port_ = portOf(socket);
    if (plan_.inheritsSocket)
        socket_ = socket;
    else
        ::close(socket);
    faultRules_ = kFaultRules[random_() % std::size(kFaultRules)];
    writeFaultSwitch(false);
}

Gateway::~Gateway() {
    if (process_.pid > 0) {
        ::kill(process_.pid, SIGKILL);
        ::waitpid(process_.pid, nullptr, 0);
    }
    if (socket_ >= 0) ::close(socket_);
}

void Gateway::writeFaultSwitch(bool faults) {
    faultsOn_ = faults;
    char text[64] = {};
    std::snprintf(text, sizeof text, "%c%.3f", faults ? '1' : '0', clockOffset_);
    const int fd = ::open((plan_.folder + "/switch").c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
    if (::pwrite(fd, text, sizeof text, 0) != sizeof text) std::abort();
    ::close(fd);
}

void Gateway::writeConfiguration(const json& configuration) {
    json own = configuration;
    own["name"] = "g" + std::to_string(plan_.number);
    own["listen"] = "127.0.0.1:" + std::to_string(port_);
    const std::string path = plan_.folder + "/config.json";
    std::ofstream(path + ".new") << own;
    std::rename((path + ".new").c_str(), path.c_str());
}

Gateway::Process Gateway::spawn() {
    writeConfiguration(plan_.configuration());
    Process process;
    process.log = plan_.folder + "/log." + std::to_string(logs_.size());
    logs_.push_back(process.log);
    const std::string configuration = plan_.folder + "/config.json", tmp = plan_.folder + "/tmp",
                      faultSwitch = plan_.folder + "/switch";
    const pid_t parent = ::getpid();
    process.pid = ::fork();
    if (process.pid != 0) return process;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(125);
    const int log = ::open(process.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (::dup2(log, STDERR_FILENO) < 0) ::_exit(126);
    if (socket_ >= 0) {
        if (::dup2(socket_, kInheritedSocket) != kInheritedSocket) ::_exit(126);
        ::setenv("LB_SOCKET_FD", std::to_string(kInheritedSocket).c_str(), 1);
    }
    const rlimit limit{kDescriptorLimit, kDescriptorLimit};
    ::setrlimit(RLIMIT_NOFILE, &limit);
    ::setenv("LB_CONFIG", configuration.c_str(), 1);
    ::setenv("TMPDIR", tmp.c_str(), 1);
    ::setenv("LD_PRELOAD", LOTUSLEAD_FAULT_LIBRARY, 1);
    ::setenv("LOTUSLEAD_FAULTS", faultRules_.c_str(), 1);
    ::setenv("LOTUSLEAD_FAULTS_SWITCH", faultSwitch.c_str(), 1);
    ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    ::execl(LOTUSLEAD_PROGRAM, LOTUSLEAD_PROGRAM, nullptr);
    ::_exit(127);
}

bool Gateway::awaitReady(const Process& process, Millis within) {
    const TimePoint startedAt = Clock::now();
    while (Clock::now() < startedAt + within) {
        if (contentsOf(process.log).find(": serving on ") != std::string::npos) {
            readyTimes_.push_back(std::chrono::duration_cast<Millis>(Clock::now() - startedAt));
            return true;
        }
        std::this_thread::sleep_for(kPollInterval);
    }
    judge_.recordViolation(Rule::lateReadiness,
                           "gateway " + std::to_string(plan_.number) + ", see " + process.log);
    return false;
}

void Gateway::start() {
    process_ = spawn();
    awaitReady(process_, kReadyTimeout);
}

void Gateway::awaitExit(const Process& process, TimePoint since, const char* how) {
    int status = 0;
    const TimePoint killAt = since + kShutdownTimeout + stoppedFor_;
    while (::waitpid(process.pid, &status, WNOHANG) == 0) {
        if (Clock::now() > killAt) {
            // Requests that it has not answered by now count as unanswered, without an excuse.
            judge_.recordViolation(Rule::slowShutdown, "gateway " + std::to_string(plan_.number) + " " + how +
                                                           ", see " + process.log);
            ::kill(process.pid, SIGKILL);
            ::waitpid(process.pid, &status, 0);
            stoppedFor_ = {};
            return;
        }
        std::this_thread::sleep_for(kPollInterval);
    }
    stoppedFor_ = {};
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
        judge_.recordViolation(Rule::crash, "gateway " + std::to_string(plan_.number) +
                                                " ended with status " + std::to_string(status) + " " + how +
                                                ", see " + process.log);
}

void Gateway::checkAlive() {
    int status = 0;
    if (::waitpid(process_.pid, &status, WNOHANG) == 0) return;
    judge_.recordKill(plan_.number);
    judge_.recordViolation(Rule::crash, "gateway " + std::to_string(plan_.number) +
                                            " ended by itself, status " + std::to_string(status) + ", see " +
                                            process_.log);
    start();
    judge_.recordServing(plan_.number);
}

void Gateway::restart() {
    logEvent("SIGTERM and restart");
    judge_.recordTermination(plan_.number);
    const TimePoint signalledAt = Clock::now();
    ::kill(process_.pid, SIGTERM);
    if (randomInt(0, 2) == 0) ::kill(process_.pid, SIGHUP);
    if (randomInt(0, 3) == 0) stopAndContinue();
    sendSignalSeries();
    awaitExit(process_, signalledAt, "after SIGTERM");
    start();
    judge_.recordServing(plan_.number);  // connections made meanwhile wait in the socket if it is inherited
}

// Sends signals to a process that is already shutting down.
void Gateway::sendSignalSeries() {
    constexpr int kSignals[] = {SIGTERM, SIGHUP, SIGINT, SIGUSR1};
    for (int i = randomInt(0, 5); i > 0; --i) {
        std::this_thread::sleep_for(Millis{randomInt(0, 250)});
        ::kill(process_.pid, kSignals[random_() % std::size(kSignals)]);
    }
}

void Gateway::killAndRestart() {
    logEvent("SIGKILL and restart");
    judge_.recordKill(plan_.number);
    ::kill(process_.pid, SIGKILL);
    ::waitpid(process_.pid, nullptr, 0);
    start();
    judge_.recordServing(plan_.number);
}

void Gateway::stopAndContinue() {
    const Millis time{randomInt(50, 900)};
    logEvent("stopped for " + std::to_string(time.count()) + " ms");
    ::kill(process_.pid, SIGSTOP);
    const TimePoint startedAt = Clock::now();
    std::this_thread::sleep_for(time);
    const auto held = std::chrono::duration_cast<Millis>(Clock::now() - startedAt);
    stoppedFor_ += held;
    judge_.recordStop(plan_.number, held);
    ::kill(process_.pid, SIGCONT);
}

void Gateway::reload() {
    logEvent("SIGHUP");
    for (int i = randomInt(1, 3); i > 0; --i) {
        json fresh = plan_.configuration();
        fresh["settings"]["allowed"]["mostTries"] = randomInt(3, 8);
        fresh["limits"]["memory_mb"] = randomInt(96, 192);
        writeConfiguration(fresh);
        ::kill(process_.pid, SIGHUP);
        std::this_thread::sleep_for(Millis{randomInt(0, 200)});
    }
}

void Gateway::handOver() {
    logEvent("replaced by a successor");
    if (socket_ < 0) return;
    const Process old = process_;
    const Process successor = spawn();
    const bool ready = awaitReady(successor, kReadyTimeout);
    if (randomInt(0, 3) == 0 && ready) stopAndContinue();
    if (!ready) {
        ::kill(successor.pid, SIGKILL);
        ::waitpid(successor.pid, nullptr, 0);
        return;
    }
    const TimePoint signalledAt = Clock::now();
    ::kill(old.pid, SIGTERM);
    process_ = successor;
    awaitExit(old, signalledAt, "after its successor took over");
}

void Gateway::failSystemCalls(const std::atomic<bool>& finished) {
    logEvent("system calls fail: " + faultRules_);
    writeFaultSwitch(true);
    const TimePoint until = Clock::now() + Millis{randomInt(300, 3000)};
    // Lets other disturbances overlap with the failing calls.
    if (randomInt(0, 2) == 0 && disturbances_.reloads) reload();
    if (randomInt(0, 3) == 0 && disturbances_.restarts) restart();
    while (!finished && Clock::now() < until) std::this_thread::sleep_for(kPollInterval);
    writeFaultSwitch(false);
    logEvent("system calls work again");
}

void Gateway::logEvent(const std::string& event) const {
    judge_.logEvent("gateway " + std::to_string(plan_.number) + ": " + event);
}

void Gateway::stepClock() {
    constexpr double kSteps[] = {0, 5, -5, 3600, -3600, 0.7};
    clockOffset_ = kSteps[random_() % std::size(kSteps)];
    logEvent("wall clock off by " + std::to_string(clockOffset_) + " s");
    writeFaultSwitch(faultsOn_);
}

void Gateway::run(const std::atomic<bool>& finished) {
    std::exponential_distribution<> wait(1.0 / static_cast<double>(disturbances_.meanInterval.count()));
    while (!finished) {
        const TimePoint next = Clock::now() + Millis{static_cast<int>(wait(random_))};
        while (!finished && Clock::now() < next) std::this_thread::sleep_for(kPollInterval);
        if (finished) break;
        checkAlive();
        const int draw = randomInt(0, 9);
        if (draw == 0 && disturbances_.restarts) restart();
        if (draw == 1 && disturbances_.kills) killAndRestart();
        if ((draw == 2 || draw == 3) && disturbances_.stops) stopAndContinue();
        if ((draw == 4 || draw == 5) && disturbances_.reloads) reload();
        if (draw == 6 && disturbances_.handOvers) handOver();
        if ((draw == 7 || draw == 8) && disturbances_.faults) failSystemCalls(finished);
        if (draw == 9 && disturbances_.clocks) stepClock();
    }
    writeFaultSwitch(false);
    checkAlive();
    const TimePoint signalledAt = Clock::now();
    ::kill(process_.pid, SIGTERM);
    awaitExit(process_, signalledAt, "at the end of the run");
    process_.pid = 0;
}

std::vector<std::string> Gateway::internalViolations() const {
    std::vector<std::string> found;
    for (const std::string& log : logs_) {
        std::istringstream lines(contentsOf(log));
        for (std::string line; std::getline(lines, line);)
            if (line.find("rule violation prevented") != std::string::npos ||
                line.find("runtime error") != std::string::npos ||
                line.find("AddressSanitizer") != std::string::npos)
                found.push_back(log + ": " + line);
    }
    return found;
}

}  // namespace lotuslead::soak
