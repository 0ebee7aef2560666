// The platform's front: CALL, CANCEL and CHECK of clients, over RESP.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "../core/request_dispatcher.hpp"
#include "../net/listener.hpp"
#include "../net/loop.hpp"
#include "../net/resp.hpp"
#include "../net/stream.hpp"
#include "../support/running_mean.hpp"

namespace lotuslead::platform {

class Front {
public:
    struct Counters {
        std::uint64_t connections = 0, turnedAway = 0, closedIdle = 0, silent = 0, halfMessages = 0,
                      malformed = 0, unusable = 0, beyondBound = 0, retired = 0, noRoom = 0, dropped = 0,
                      checks = 0, drained = 0, drainRefused = 0, endedByClient = 0, reset = 0;
    };

    Front(net::Loop& loop, core::RequestDispatcher& requests, const settings::Configuration& configuration);
    ~Front();

    void open();  // starts to listen
    // Uses this listening socket from open() on.
    void inherit(net::Descriptor listening) { inherited_ = std::move(listening); }
    void setProcessCount(int processes);  // of the limits
    // Other limits, and perhaps another address; throws, with nothing changed, where that can't be listened
    // on.
    void reconfigure(const settings::Configuration& configuration);
    void stopListening();
    void leave() { leaving_ = true; }  // tells checks so
    // Checks are told so at once, and connections end when they are at rest; what still comes is served, and
    // refused from kDrainRefuses on. The few connections that are then still there end before kDrainEnds.
    void drain();
    void undrain();
    // Another process listens on the same socket: this one stops, and ends its connections as in a drain,
    // but says no to nobody.
    void leaveToSuccessor();
    bool hasNoClients() const { return clients_.empty(); }
    void failOpenRequests();  // what is open is failed at once, what still comes refused
    // Nothing is owed, all answers are with the kernel and all that has come is read; who waits is taken in.
    bool settled();
    std::size_t clients() const { return clients_.size(); }
    std::uint16_t port() const { return listener_->port(); }
    const Counters& counters() const { return counters_; }
    net::Listener::Counters listenerCounters() const {
        return listener_ ? listener_->counters() : net::Listener::Counters{};
    }

private:
    class Client;

    void accept(net::Descriptor fd);
    bool evictClient();
    bool hasRoomForCall(std::size_t backlog) const;
    // Bytes that may be held with those for a client that has so many unread.
    std::size_t heldBytesLimit(std::size_t backlog) const;
    std::string noMemoryFields() const;  // of a refusal here, as far as the settings allow a hint
    void forget(Client* client);
    std::size_t maxClientBacklog() const;
    void sweepForDrain();
    bool refusesCalls() const;
    bool reportsLeaving() const;
    void applyLimits();
    std::unique_ptr<net::Listener> listenOn(const settings::Endpoint& address);

    net::Loop& loop_;
    core::RequestDispatcher& requests_;
    const settings::Vocabulary& words_;
    settings::Endpoint address_;
    settings::Limits limits_;
    int processes_ = 1;
    net::Descriptor inherited_;
    std::size_t maxClients_ = 0;
    std::size_t maxHeldBytes_ = 0;
    std::size_t heldBytes_ =
        0;  // bytes of answers that clients have not yet read, and of calls not yet taken
    // Bytes of the last fifty answers or so; before any, a quarter of the largest.
    RunningMean answerBytes_{0.02, 0.02, 60'000};
    bool leaving_ = false;
    bool failingRequests_ = false;
    bool successorServes_ = false;
    std::optional<core::Micros> drainingSince_;
    std::optional<net::Loop::TimerKey> drainSweepTimer_;
    core::Micros openedAt_{};
    RequestId nextId_ = 1;
    std::uint64_t lastClient_ = 0;
    std::unique_ptr<net::Listener> listener_;
    net::FormerListener formerListener_;
    std::unordered_map<Client*, std::shared_ptr<Client>> clients_;
    std::unordered_set<std::string> openLabels_;  // of the open requests
    Counters counters_;
};

}  // namespace lotuslead::platform
