#include "gateway.hpp"

#include <sys/signalfd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace lotuslead::gateway {

using core::Micros;
using namespace std::chrono_literals;

namespace {

// After SIGTERM connections and requests still come for up to 0.6 s. SIGKILL comes no sooner than the longest
// deadline (3 s at least) and 0.7 s after it.
constexpr Micros kStillComing = 700ms;
constexpr Micros kLeastDeadline = 3s;
constexpr Micros kBeforeKill = 200ms;
constexpr Micros kDrainTick = 20ms;

}  // namespace

Gateway::Gateway() {
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t set;
    sigemptyset(&set);
    for (const int number : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaddset(&set, number);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    signals_.reset(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    if (!signals_) throw std::system_error(errno, std::generic_category(), "signalfd");
    signalsId_ = loop_.add(signals_.get(), EPOLLIN, *this);
}

Gateway::~Gateway() { loop_.remove(signalsId_, signals_.get()); }

void Gateway::start() {
    for (const auto& service : services_) service->open();
    phase_ = Phase::serving;
}

int Gateway::run() {
    start();
    while (phase_ != Phase::stopped) {
        Micros until = Micros::max();
        for (const auto& service : services_) until = std::min(until, service->nextTurn());
        if (phase_ == Phase::draining) until = std::min(until, loop_.now() + kDrainTick);
        loop_.turn(until);
        reload();
        for (const auto& service : services_) service->turn(loop_.now());
        advance();
    }
    printCounters();
    return 0;
}

// Between two turns: nothing that a turn has begun meets other settings at its end.
void Gateway::reload() {
    if (!std::exchange(reloadAsked_, false)) return;
    for (const auto& service : services_) service->reload();
}

void Gateway::drain() {
    if (phase_ != Phase::serving) return;
    phase_ = Phase::draining;
    drainingSince_ = loop_.now();
    for (const auto& service : services_) service->leave();
    std::fprintf(stderr, "lotuslead: draining, %zu requests open\n", openRequests());
}

void Gateway::advance() {
    if (phase_ != Phase::draining) return;
    const Micros passed = loop_.now() - drainingSince_;
    if (passed < kStillComing) return;
    Micros longest = kLeastDeadline;
    bool settled = true;
    for (const auto& service : services_) {
        longest = std::max(longest, service->longestDeadline());
        settled = settled && service->settled();
    }
    if (!settled && passed < longest + kStillComing - kBeforeKill) return;
    for (const auto& service : services_) service->stopListening();
    phase_ = Phase::stopped;
    std::fprintf(stderr, "lotuslead: stopped, %zu requests open\n", openRequests());
}

std::size_t Gateway::openRequests() const {
    std::size_t open = 0;
    for (const auto& service : services_) open += service->openRequests();
    return open;
}

std::uint32_t Gateway::ready(std::uint32_t) {
    signalfd_siginfo info{};
    while (::read(signals_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
        if (info.ssi_signo == SIGUSR1)
            printCounters();
        else if (info.ssi_signo == SIGHUP)
            reloadAsked_ = true;
        else
            drain();
    }
    return 0;
}

void Gateway::printCounters() const {
    for (const auto& service : services_) service->printCounters();
}

}  // namespace lotuslead::gateway
