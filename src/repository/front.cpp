#include "front.hpp"

#include <algorithm>
#include <optional>

#include "front_client.hpp"

namespace lotuslead::repository {

namespace {

constexpr Micros kDrainSweepInterval = 50ms;       // for closing idle connections
constexpr Micros kRefuseAfterDrainStart = 1900ms;  // as in the platform's front
constexpr std::size_t kMaxReservedDescriptors = 128;
// One response may take this part of the memory for answers, so that one client does not take it all.
constexpr std::size_t kMaxBufferShareDivisor = 4;

}  // namespace

Front::Front(net::Loop& loop, core::RequestDispatcher& requests,
             const settings::RepositoryConfiguration& configuration)
    : loop_(loop), requests_(requests), configuration_(configuration), previousListener_(loop) {
    applyLimits(configuration.base.limits);
}

void Front::applyLimits(const settings::Limits& limits) {
    const auto sockets = static_cast<std::size_t>(limits.sockets);
    maxClients_ = std::min(sockets / 3, sockets - std::min(sockets / 2, kMaxReservedDescriptors));
    maxBufferedBytes_ = static_cast<std::size_t>(limits.memoryMb) * 1024 * 1024 / 2;
    maxClients_ /= static_cast<std::size_t>(processCount_);
    maxBufferedBytes_ /= static_cast<std::size_t>(processCount_);
}

void Front::setProcessCount(int processes) {
    processCount_ = processes;
    applyLimits(configuration_.base.limits);
}

Front::~Front() {
    undrain();
    clients_.clear();
}

void Front::open() { listener_ = listenOn(configuration_.base.listen); }

std::unique_ptr<net::Listener> Front::listenOn(const settings::Endpoint& address) {
    return std::make_unique<net::Listener>(loop_, address,
                                           [this](net::Descriptor fd) { accept(std::move(fd)); });
}

void Front::reconfigure(const settings::RepositoryConfiguration& configuration) {
    if (listener_ && !(configuration.base.listen == configuration_.base.listen))
        previousListener_.replace(listener_, listenOn(configuration.base.listen));
    applyLimits(configuration.base.limits);
}

void Front::drain() {
    if (drainingSince_) return;
    drainingSince_ = loop_.now();
    sweepForDrain();
}

void Front::undrain() {
    drainingSince_.reset();
    if (drainSweepTimer_) loop_.cancel(*drainSweepTimer_);
    drainSweepTimer_.reset();
}

bool Front::refusesRequests() const {
    return failingRequests_ || (drainingSince_ && loop_.now() - *drainingSince_ >= kRefuseAfterDrainStart);
}

void Front::sweepForDrain() {
    for (const auto& [key, client] : clients_) client->closeForDrain();
    drainSweepTimer_ = loop_.after(kDrainSweepInterval, [this] {
        drainSweepTimer_.reset();
        sweepForDrain();
    });
}

void Front::accept(net::Descriptor fd) {
    if (clients_.size() >= maxClients_ && !makeRoom()) {
        ++counters_.rejectedConnections;
        return;
    }
    ++counters_.connections;
    const auto client = std::make_shared<Client>(*this, std::move(fd));
    clients_[client.get()] = client;
}

bool Front::makeRoom() {
    Client* oldest = nullptr;
    for (const auto& [key, client] : clients_)
        if ((!oldest || client->lastActivity() < oldest->lastActivity()) && client->idleWithNoInput())
            oldest = client.get();
    if (!oldest) return false;
    ++counters_.closedIdle;
    oldest->abortConnection();
    removeClient(oldest);
    return true;
}

bool Front::roomFor(std::size_t bytes) const {
    return reservedBytes_ + unsentBytes_ + bytes <= maxBufferedBytes_;
}

std::size_t Front::maxSingleResponseBytes() const { return maxBufferedBytes_ / kMaxBufferShareDivisor; }

void Front::failOpenRequests() {
    failingRequests_ = true;
    for (const auto& [key, client] : clients_) client->failOpenRequest();
}

bool Front::isQuiescent() {
    if (listener_ && !listener_->acceptPending()) return false;
    if (!previousListener_.acceptPending()) return false;
    return std::all_of(clients_.begin(), clients_.end(),
                       [](const auto& entry) { return entry.second->isQuiescent(); });
}

void Front::removeClient(Client* client) {
    const auto found = clients_.find(client);
    if (found == clients_.end()) return;
    loop_.destroyAfterTurn(found->second);
    clients_.erase(found);
}

}  // namespace lotuslead::repository
