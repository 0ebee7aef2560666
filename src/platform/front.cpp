#include "front.hpp"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <optional>
#include <utility>

#include "front_client.hpp"

namespace lotuslead::platform {

using core::Micros;
using core::Reply;
using namespace std::chrono_literals;
using namespace limits;

Front::Front(net::Loop& loop, core::RequestDispatcher& requests, const settings::Configuration& configuration)
    : loop_(loop),
      requests_(requests),
      settings_(configuration.decoded),
      address_(configuration.listen),
      previousListener_(loop) {
    limits_ = configuration.limits;
    applyLimits();
}

void Front::applyLimits() {
    const auto processes = static_cast<std::size_t>(processCount_);
    maxClients_ = static_cast<std::size_t>(limits_.sockets) / 3 / processes;  // the rest is for stores
    const std::size_t all = static_cast<std::size_t>(limits_.memoryMb) * 1024 * 1024;
    memory_.setLimits((all - std::min(all / 2, kProcessBaseBytes * processes)) / processes * 3 / 4,
                      maxClients_);
}

void Front::reconfigure(const settings::Configuration& configuration) {
    if (listener_ && !(configuration.listen == address_))
        previousListener_.replace(listener_, listenOn(configuration.listen));
    address_ = configuration.listen;
    limits_ = configuration.limits;
    applyLimits();
}

Front::~Front() {
    undrain();
    for (const auto& [key, client] : clients_) client->abortConnection();
    if (inputResumeTimer_) loop_.cancel(*inputResumeTimer_);
    if (memoryTrimTimer_) loop_.cancel(*memoryTrimTimer_);
}

void Front::open() {
    openedAt_ = loop_.now();
    if (!inherited_) {
        listener_ = listenOn(address_);
        return;
    }
    listener_ = std::make_unique<net::Listener>(loop_, std::move(inherited_),
                                                [this](net::Descriptor fd) { accept(std::move(fd)); });
}

std::unique_ptr<net::Listener> Front::listenOn(const settings::Endpoint& address) {
    return std::make_unique<net::Listener>(loop_, address,
                                           [this](net::Descriptor fd) { accept(std::move(fd)); });
}

void Front::drain() {
    if (drainingSince_) return;
    drainingSince_ = loop_.now();
    sweepForDrain();
}

bool Front::reportsLeaving() const { return shuttingDown_ || (drainingSince_ && !successorServes_); }

void Front::setProcessCount(int processes) {
    processCount_ = processes;
    applyLimits();
}

void Front::stopAcceptingForSuccessor() {
    stopListening();
    successorServes_ = true;
    drain();
}

void Front::undrain() {
    drainingSince_.reset();
    if (drainSweepTimer_) loop_.cancel(*drainSweepTimer_);
    drainSweepTimer_.reset();
}

bool Front::refusesCalls() const {
    return failingRequests_ || (drainingSince_ && loop_.now() - *drainingSince_ >= kDrainRefuseAfter);
}

void Front::sweepForDrain() {
    std::optional<Micros> refusing;
    if (refusesCalls()) refusing = *drainingSince_ + kDrainRefuseAfter;
    const bool last = loop_.now() - *drainingSince_ >= kDrainFailAfter;
    std::vector<std::shared_ptr<Client>> snapshot;  // closing removes from clients_
    for (const auto& [key, client] : clients_) snapshot.push_back(client);
    for (const auto& client : snapshot) client->closeForDrain(refusing, last);
    drainSweepTimer_ = loop_.after(kDrainSweepInterval, [this] {
        drainSweepTimer_.reset();
        sweepForDrain();
    });
}

void Front::stopListening() {
    listener_.reset();
    previousListener_.close();
}

void Front::accept(net::Descriptor fd) {
    if (clients_.size() >= maxClients_ && !evictClient()) {
        ++counters_.rejectedConnections;
        return;
    }
    ++counters_.connections;
    const auto client = std::make_shared<Client>(*this, std::move(fd));
    clients_[client.get()] = client;
}

// Picks a connection without an open request to close for a new one. First the one that has sent nothing for
// longest since it connected, then one that stalled within its first message, then the least recently used (a
// client that still needs it connects again), then a new one. Connections that have not sent a request yet
// may hold at most half of the places; otherwise many of them could push out the others.
bool Front::evictClient() {
    Client *silent = nullptr, *partial = nullptr, *idle = nullptr;
    std::size_t unusedCount = 0;
    for (const auto& [key, client] : clients_) {
        if (client->unused()) ++unusedCount;
        Client*& place = !client->unused() ? idle : client->inPartialMessage() ? partial : silent;
        const bool older = !place || client->lastUsed() < place->lastUsed();
        if (older && (client->unused() ? client->hasSentNothing() : client->idleAfterUse()))
            place = client.get();
    }
    if (!silent || (silent->recentlyActive() && partial && partial->lastUsed() < silent->lastUsed()))
        silent = partial;
    const bool silentFirst = silent && (!idle || !silent->recentlyActive() || 2 * unusedCount >= maxClients_);
    Client* victim = silentFirst ? silent : idle;
    if (!victim) return false;
    // A request may have arrived since the choice; then the next candidate is tried.
    if (!requests_.checks().allows(core::mayClose(victim->closeFacts()))) return evictClient();
    ++(victim == idle               ? counters_.closedIdle
       : victim->inPartialMessage() ? counters_.closedMidMessage
                                    : counters_.closedSilent);
    victim->abortConnection();
    removeClient(victim);
    return true;
}

// Estimates the bytes held now plus those that open requests may still bring: the recent mean size with a
// margin, and one answer of the largest size.
bool Front::hasRoomForCall(std::size_t own) const {
    const auto open = static_cast<double>(requests_.openCount() + 1);
    const double expectedBytes = open * answerBytes_.mean +
                                 kAnswerSizeDeviations * std::sqrt(open) * answerBytes_.deviation +
                                 kMaxAnswerBytes;
    return expectedBytes + static_cast<double>(memory_.usage().total()) <=
           static_cast<double>(memory_.admissionLimit(own));
}

void Front::scheduleInputResume() {
    if (inputQueue_.empty() || inputResumeTimer_) return;
    inputResumeTimer_ = loop_.after(kInputResumeInterval, [this] {
        inputResumeTimer_.reset();
        inputQueue_.resume();
        scheduleInputResume();
    });
}

// The allocator keeps what a burst has freed; the memory limit counts it all the same.
void Front::scheduleMemoryTrim() {
    if (memoryTrimTimer_ || !memory_.burstIsOver()) return;
    memoryTrimTimer_ = loop_.after(kMemoryTrimDelay, [this] {
        memoryTrimTimer_.reset();
        if (!memory_.burstIsOver()) return;
        memory_.forgetBurst();
        ::malloc_trim(0);
    });
}

std::string Front::refusalFields() const {
    const Settings& s = settings_.settings;
    const Micros maxRetryAfter = std::chrono::duration_cast<Micros>(s.maxRetryAfter);
    return retryAfterFields(s.retryAfterSupported ? std::min(kRefusalRetryAfter, maxRetryAfter) : Micros{0});
}

void Front::failOpenRequests() {
    failingRequests_ = true;
    std::vector<std::shared_ptr<Client>> snapshot;  // closing removes from clients_
    for (const auto& [key, client] : clients_) snapshot.push_back(client);
    for (const auto& client : snapshot) client->failAndClose();
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

}  // namespace lotuslead::platform
