#include "gateway.hpp"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

#include "../net/signals.hpp"

namespace lotuslead::gateway {

using core::Micros;
using namespace std::chrono_literals;

namespace {

// After SIGTERM, clients still send connections and requests for up to 0.6 s. SIGKILL follows at the earliest
// after the longest deadline, limited to 3 s, plus 0.7 s.
constexpr Micros kTrafficAfterSigterm = 700ms;
constexpr Micros kMaxDeadline = 3s;
constexpr Micros kFailRequestsBeforeKill = 150ms;  // then all open requests are answered
constexpr Micros kExitBeforeKill = 40ms;           // then the process exits, even with unread answers
constexpr Micros kPhaseCheckInterval = 20ms;
constexpr Micros kMaxStartTime = 1500ms;    // the platform waits 6 s for a start
constexpr Micros kReloadRetryDelay = 50ms;  // after a shortage of descriptors or memory
constexpr int kMaxReloadRetries = 100;
constexpr Micros kMaxCatchUpTime = 25s;  // the platform counts a start as failed after 30 s

}  // namespace

sigset_t Gateway::blockSignals() {
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t set;
    sigemptyset(&set);
    for (const int number : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaddset(&set, number);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    return set;
}

Gateway::Gateway(std::optional<settings::Endpoint> operatorAddress, const char* folder)
    : folder_(folder), handover_(loop_, *this), operatorAddressOverride_(std::move(operatorAddress)) {
    const sigset_t set = blockSignals();
    signals_ = net::watchSignals(set);
    signalsId_ = loop_.add(signals_.get(), EPOLLIN, *this);
}

Gateway::~Gateway() { loop_.remove(signalsId_, signals_.get()); }

void Gateway::start() {
    startedAt_ = loop_.now();
    openAddresses(AddressSet::operators);  // first, so that /ready can report the start
    handover_.open(folder_);
    if (!handover_.openError().empty())
        std::fprintf(stderr, "lotuslead: no meeting place for a successor: %s\n",
                     handover_.openError().c_str());
    for (const auto& service : services_) service->startInitialSync();
}

// Starts serving once the predecessor's state and the events since the configuration was written have
// arrived. A silent event bus delays the start by kMaxStartTime only; one that has announced further events
// is waited for up to kMaxCatchUpTime, since a missing event may be a purge.
void Gateway::open() {
    if (phase_ != Phase::starting) return;
    const bool ready = std::all_of(services_.begin(), services_.end(),
                                   [](const auto& service) { return service->initialSyncComplete(); });
    const bool catchingUp = std::any_of(services_.begin(), services_.end(),
                                        [](const auto& service) { return service->catchingUp(); });
    const Micros longest = catchingUp ? kMaxCatchUpTime : kMaxStartTime;
    const core::StartFacts facts{ready, handover_.awaitsState(), loop_.now() - startedAt_ >= longest};
    if (core::mayServe(facts) != core::Denial::none) return;
    if (catchingUp) std::fprintf(stderr, "lotuslead: opens without all that the event bus has to tell\n");
    if (!openAddresses(AddressSet::all)) return;
    phase_ = Phase::serving;
    handover_.announceServing();
}

// Returns false if an address is not available yet, for example because an older process still holds it.
bool Gateway::openAddresses(AddressSet which) {
    try {
        openOperatorServer();
        if (which == AddressSet::operators) return true;
        for (; openedServices_ < services_.size(); ++openedServices_) services_[openedServices_]->open();
        return true;
    } catch (const std::system_error& problem) {
        const int error = problem.code().value();
        const bool mayPass = net::isResourceShortage(error) || error == EADDRINUSE || error == EINTR;
        if (!mayPass || loop_.now() - startedAt_ >= kMaxCatchUpTime) throw;
        if (problem.what() != addressProblem_)
            std::fprintf(stderr, "lotuslead: %s; it is tried again\n", problem.what());
        addressProblem_ = problem.what();
        return false;
    }
}

std::string Gateway::exportState() {
    nlohmann::json state = nlohmann::json::object();
    for (const auto& service : services_) state[service->stateKey()] = service->exportState();
    return state.dump();
}

void Gateway::importState(const std::string& state) {
    try {
        const auto parsed = nlohmann::json::parse(state);
        for (const auto& service : services_)
            if (parsed.contains(service->stateKey())) service->importState(parsed.at(service->stateKey()));
        std::fprintf(stderr, "lotuslead: taken over what the predecessor knew, %zu bytes\n", state.size());
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "lotuslead: cannot use what the predecessor knew: %s\n", problem.what());
    }
}

void Gateway::processCountChanged(int count) {
    for (const auto& service : services_) service->setProcessCount(count);
    std::fprintf(stderr, "lotuslead: %d processes are one gateway now\n", count);
}

int Gateway::run() {
    start();
    while (phase_ != Phase::stopped) {
        Micros until = Micros::max();
        for (const auto& service : services_) until = std::min(until, service->nextTimerAt());
        if (phase_ == Phase::starting || phase_ == Phase::shuttingDown)
            until = std::min(until, loop_.now() + kPhaseCheckInterval);
        loop_.turn(until);
        // After the turn, so that a successor's SERVING message from the same turn counts.
        if (std::exchange(shutdownRequested_, false)) startShutdown();
        reload();
        if (!loop_.timersDeferred())
            for (const auto& service : services_) service->runTimers(loop_.now());
        open();
        advanceShutdown();
    }
    printCounters();
    return 0;
}

// Runs between two turns, so that the settings never change within one.
void Gateway::reload() {
    if (!std::exchange(reloadRequested_, false)) return;
    bool read = true;
    for (const auto& service : services_) read = service->reload(failedReloads_ < kMaxReloadRetries) && read;
    failedReloads_ = read ? 0 : failedReloads_ + 1;
    if (!read) loop_.after(kReloadRetryDelay, [this] { reloadRequested_ = true; });
    try {
        openOperatorServer();
    } catch (const std::system_error& problem) {
        std::fprintf(stderr, "lotuslead: operators stay at the old address: %s\n", problem.what());
    }
}

// Throws, and keeps the old server, if it cannot listen at the new address.
void Gateway::openOperatorServer() {
    auto at = operatorAddressOverride_;
    for (const auto& service : services_)
        if (!at) at = service->operatorAddress();
    if (at == operatorAddress_) return;
    operators::GatewayControl& control = *this;
    auto server = at ? std::make_unique<operators::OperatorServer>(loop_, *at, control) : nullptr;
    // The old server may be in the middle of a response.
    loop_.destroyAfterTurn(std::shared_ptr<operators::OperatorServer>(std::move(operatorServer_)));
    operatorServer_ = std::move(server);
    operatorAddress_ = at;
    if (operatorServer_)
        std::fprintf(stderr, "lotuslead: operators at %s:%u\n", operatorAddress_->host.c_str(),
                     operatorServer_->port());
}

const char* Gateway::phaseName() const {
    switch (phase_) {
        case Phase::starting:
            return "starting";
        case Phase::serving:
            return "serving";
        case Phase::draining:
            return "draining";
        default:
            return "leaving";
    }
}

bool Gateway::drain() {
    if (phase_ == Phase::starting) return false;
    if (phase_ != Phase::serving) return true;
    phase_ = Phase::draining;
    for (const auto& service : services_) service->drain();
    std::fprintf(stderr, "lotuslead: draining, %zu requests open\n", openRequests());
    return true;
}

bool Gateway::undrain() {
    if (phase_ == Phase::serving) return true;
    if (phase_ != Phase::draining) return false;
    phase_ = Phase::serving;
    for (const auto& service : services_) service->undrain();
    std::fprintf(stderr, "lotuslead: taking clients again, %zu requests open\n", openRequests());
    return true;
}

void Gateway::startShutdown() {
    if (phase_ == Phase::starting) phase_ = Phase::stopped;
    if (phase_ != Phase::serving && phase_ != Phase::draining) return;
    phase_ = Phase::shuttingDown;
    shutdownStartedAt_ = loop_.now();
    longestDeadline_ = Micros::max();
    updateLongestDeadline();
    // Without a successor, new connections still arrive here for a while and must be served.
    handedOver_ = handover_.successorServes();
    for (const auto& service : services_)
        handedOver_ ? service->stopAcceptingForSuccessor() : service->startShutdown();
    std::fprintf(stderr, "lotuslead: leaving%s, %zu requests open\n", handedOver_ ? " to a successor" : "",
                 openRequests());
}

// A reload during the shutdown may change the longest deadline. Which one the platform uses is unknown, so
// the lowest counts.
void Gateway::updateLongestDeadline() {
    Micros longest{};
    for (const auto& service : services_) longest = std::max(longest, service->longestRequestTimeout());
    longestDeadline_ = std::min(longestDeadline_, longest);
}

void Gateway::advanceShutdown() {
    if (phase_ != Phase::shuttingDown) return;
    updateLongestDeadline();
    const Micros passed = loop_.now() - shutdownStartedAt_;
    if (passed < kTrafficAfterSigterm && !handedOver_) return;
    const Micros kill = std::min(longestDeadline_, kMaxDeadline) + kTrafficAfterSigterm;
    if (passed >= kill - kFailRequestsBeforeKill && !std::exchange(openRequestsFailed_, true)) {
        std::fprintf(stderr, "lotuslead: last call, %zu requests open\n", openRequests());
        for (const auto& service : services_) service->failOpenRequests();
    }
    bool allQuiescent = true;
    for (const auto& service : services_)
        allQuiescent = service->isQuiescent() && (!handedOver_ || service->hasNoClients()) && allQuiescent;
    if (!allQuiescent && passed < kill - kExitBeforeKill) return;
    phase_ = Phase::stopped;
    std::fprintf(stderr, "lotuslead: stopped, %zu requests open\n", openRequests());
}

std::size_t Gateway::openRequests() const {
    std::size_t open = 0;
    for (const auto& service : services_) open += service->openRequests();
    return open;
}

std::uint32_t Gateway::ready(std::uint32_t) {
    net::readSignals(signals_, [this](int number) {
        if (number == SIGUSR1)
            printCounters();
        else if (number == SIGHUP)
            reloadRequested_ = true;
        else
            shutdownRequested_ = true;
    });
    return 0;
}

void Gateway::printCounters() const {
    for (const auto& service : services_) service->printCounters();
    if (operatorServer_) {
        const auto& d = operatorServer_->counters();
        core::printCounterLine("lotuslead", "operators", {{"calls", d.calls}, {"refused", d.refused}});
    }
}

}  // namespace lotuslead::gateway
