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
constexpr rlim_t kDescriptors = 1024;
constexpr Millis kLookAgain = 10ms;
constexpr Millis kReadyAtLatest = 30s;
// PROTOCOL, planned restarts: the longest deadline of the soak's classes, 2.5 s, and 0.7 s after SIGTERM.
constexpr Millis kEarliestKill = 3200ms;
constexpr int kBacklog = 512;

// What Linux documents, each now and then; all of it passes.
constexpr const char* kRules[] = {
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

Gateway::Gateway(GatewayPlan plan, const FaultOptions& faultOptions, Judge& judge)
    : plan_(std::move(plan)), faultOptions_(faultOptions), judge_(judge), random_(plan_.seed) {
    ::mkdir(plan_.folder.c_str(), 0755);
    ::mkdir((plan_.folder + "/tmp").c_str(), 0755);
    const int socket = listenOnLastingPort(kBacklog);
    port_ = portOf(socket);
    if (plan_.inheritsSocket)
        socket_ = socket;
    else
        ::close(socket);
    rules_ = kRules[random_() % std::size(kRules)];
    setSwitch(false);
}

Gateway::~Gateway() {
    if (process_.pid > 0) {
        ::kill(process_.pid, SIGKILL);
        ::waitpid(process_.pid, nullptr, 0);
    }
    if (socket_ >= 0) ::close(socket_);
}

void Gateway::setSwitch(bool faults) {
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
    const rlimit limit{kDescriptors, kDescriptors};
    ::setrlimit(RLIMIT_NOFILE, &limit);
    ::setenv("LB_CONFIG", configuration.c_str(), 1);
    ::setenv("TMPDIR", tmp.c_str(), 1);
    ::setenv("LD_PRELOAD", LOTUSLEAD_FAULT_LIBRARY, 1);
    ::setenv("LOTUSLEAD_FAULTS", rules_.c_str(), 1);
    ::setenv("LOTUSLEAD_FAULTS_SWITCH", faultSwitch.c_str(), 1);
    ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    ::execl(LOTUSLEAD_PROGRAM, LOTUSLEAD_PROGRAM, nullptr);
    ::_exit(127);
}

bool Gateway::awaitReady(const Process& process, Millis within) {
    const TimePoint begun = Clock::now();
    while (Clock::now() < begun + within) {
        if (contentsOf(process.log).find(": serving on ") != std::string::npos) {
            readyTimes_.push_back(std::chrono::duration_cast<Millis>(Clock::now() - begun));
            return true;
        }
        std::this_thread::sleep_for(kLookAgain);
    }
    judge_.violation(Rule::slowStart, "gateway " + std::to_string(plan_.number) + ", see " + process.log);
    return false;
}

void Gateway::start() {
    process_ = spawn();
    awaitReady(process_, kReadyAtLatest);
}

void Gateway::awaitEnd(const Process& process, TimePoint since, const char* how) {
    int status = 0;
    const TimePoint kill = since + kEarliestKill + stoppedTime_;
    while (::waitpid(process.pid, &status, WNOHANG) == 0) {
        if (Clock::now() > kill) {
            // What it has not answered by now is lost: no excuse.
            judge_.violation(Rule::slowEnd,
                             "gateway " + std::to_string(plan_.number) + " " + how + ", see " + process.log);
            ::kill(process.pid, SIGKILL);
            ::waitpid(process.pid, &status, 0);
            stoppedTime_ = {};
            return;
        }
        std::this_thread::sleep_for(kLookAgain);
    }
    stoppedTime_ = {};
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
        judge_.violation(Rule::crash, "gateway " + std::to_string(plan_.number) + " ended with status " +
                                          std::to_string(status) + " " + how + ", see " + process.log);
}

void Gateway::checkAlive() {
    int status = 0;
    if (::waitpid(process_.pid, &status, WNOHANG) == 0) return;
    judge_.killed(plan_.number);
    judge_.violation(Rule::crash, "gateway " + std::to_string(plan_.number) + " ended by itself, status " +
                                      std::to_string(status) + ", see " + process_.log);
    start();
    judge_.servesAgain(plan_.number);
}

void Gateway::restart() {
    note("SIGTERM and restart");
    judge_.leaves(plan_.number);
    const TimePoint endRequestedAt = Clock::now();
    ::kill(process_.pid, SIGTERM);
    if (between(0, 2) == 0) ::kill(process_.pid, SIGHUP);
    if (between(0, 3) == 0) stopAndContinue();
    signalInSeries();
    awaitEnd(process_, endRequestedAt, "after SIGTERM");
    start();
    judge_.servesAgain(
        plan_.number);  // what came while nobody listened waits in the socket, if it is inherited
}

// To a process that is leaving already.
void Gateway::signalInSeries() {
    constexpr int kSignals[] = {SIGTERM, SIGHUP, SIGINT, SIGUSR1};
    for (int i = between(0, 5); i > 0; --i) {
        std::this_thread::sleep_for(Millis{between(0, 250)});
        ::kill(process_.pid, kSignals[random_() % std::size(kSignals)]);
    }
}

void Gateway::killAndRestart() {
    note("SIGKILL and restart");
    judge_.killed(plan_.number);
    ::kill(process_.pid, SIGKILL);
    ::waitpid(process_.pid, nullptr, 0);
    start();
    judge_.servesAgain(plan_.number);
}

void Gateway::stopAndContinue() {
    const Millis time{between(50, 900)};
    note("stopped for " + std::to_string(time.count()) + " ms");
    ::kill(process_.pid, SIGSTOP);
    const TimePoint begun = Clock::now();
    std::this_thread::sleep_for(time);
    const auto held = std::chrono::duration_cast<Millis>(Clock::now() - begun);
    stoppedTime_ += held;
    judge_.stopped(plan_.number, held);
    ::kill(process_.pid, SIGCONT);
}

void Gateway::reload() {
    note("SIGHUP");
    for (int i = between(1, 3); i > 0; --i) {
        json fresh = plan_.configuration();
        fresh["settings"]["allowed"]["mostTries"] = between(3, 8);
        fresh["limits"]["memory_mb"] = between(96, 192);
        writeConfiguration(fresh);
        ::kill(process_.pid, SIGHUP);
        std::this_thread::sleep_for(Millis{between(0, 200)});
    }
}

void Gateway::handOver() {
    note("replaced by a successor");
    if (socket_ < 0) return;
    const Process old = process_;
    const Process successor = spawn();
    const bool ready = awaitReady(successor, kReadyAtLatest);
    if (between(0, 3) == 0 && ready) stopAndContinue();
    if (!ready) {
        ::kill(successor.pid, SIGKILL);
        ::waitpid(successor.pid, nullptr, 0);
        return;
    }
    const TimePoint endRequestedAt = Clock::now();
    ::kill(old.pid, SIGTERM);
    process_ = successor;
    awaitEnd(old, endRequestedAt, "after its successor's start");
}

void Gateway::failCalls(const std::atomic<bool>& over) {
    note("calls fail: " + rules_);
    setSwitch(true);
    const TimePoint until = Clock::now() + Millis{between(300, 3000)};
    // Other faults overlap with the failing calls.
    if (between(0, 2) == 0 && faultOptions_.reloads) reload();
    if (between(0, 3) == 0 && faultOptions_.restarts) restart();
    while (!over && Clock::now() < until) std::this_thread::sleep_for(kLookAgain);
    setSwitch(false);
    note("calls work again");
}

void Gateway::note(const std::string& event) const {
    judge_.note("gateway " + std::to_string(plan_.number) + ": " + event);
}

void Gateway::stepClock() {
    constexpr double kSteps[] = {0, 5, -5, 3600, -3600, 0.7};
    clockOffset_ = kSteps[random_() % std::size(kSteps)];
    note("wall clock off by " + std::to_string(clockOffset_) + " s");
    setSwitch(faultsOn_);
}

void Gateway::run(const std::atomic<bool>& over) {
    std::exponential_distribution<> wait(1.0 / static_cast<double>(faultOptions_.between.count()));
    while (!over) {
        const TimePoint next = Clock::now() + Millis{static_cast<int>(wait(random_))};
        while (!over && Clock::now() < next) std::this_thread::sleep_for(kLookAgain);
        if (over) break;
        checkAlive();
        const int draw = between(0, 9);
        if (draw == 0 && faultOptions_.restarts) restart();
        if (draw == 1 && faultOptions_.kills) killAndRestart();
        if ((draw == 2 || draw == 3) && faultOptions_.stops) stopAndContinue();
        if ((draw == 4 || draw == 5) && faultOptions_.reloads) reload();
        if (draw == 6 && faultOptions_.handOvers) handOver();
        if ((draw == 7 || draw == 8) && faultOptions_.faults) failCalls(over);
        if (draw == 9 && faultOptions_.clocks) stepClock();
    }
    setSwitch(false);
    checkAlive();
    const TimePoint endRequestedAt = Clock::now();
    ::kill(process_.pid, SIGTERM);
    awaitEnd(process_, endRequestedAt, "at the end of the run");
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
