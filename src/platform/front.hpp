// The platform's front: handles CALL, CANCEL and CHECK of clients over RESP.
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
#include "../support/moving_average.hpp"
#include "client_memory.hpp"
#include "input_queue.hpp"

namespace lotuslead::platform {

class Front {
public:
    struct Counters {
        std::uint64_t connections = 0, rejectedConnections = 0, closedIdle = 0, closedSilent = 0,
                      closedMidMessage = 0, malformed = 0, invalidCalls = 0, refusedOverLimit = 0,
                      closedAsUseless = 0, refusedNoMemory = 0, refusedUnread = 0, droppedAnswers = 0,
                      checks = 0, drained = 0, drainRefused = 0, endedByClient = 0, reset = 0;
    };

    Front(net::Loop& loop, core::RequestDispatcher& requests, const settings::Configuration& configuration);
    ~Front();

    void open();
    // Uses this listening socket from open() on.
    void inherit(net::Descriptor listening) { inherited_ = std::move(listening); }
    void setProcessCount(int processes);  // that share the limits
    // Applies new limits and possibly a new address; throws without any change if that cannot be listened on.
    void reconfigure(const settings::Configuration& configuration);
    void stopListening();
    void startShutdown() { shuttingDown_ = true; }  // reported by CHECK
    // CHECK reports it at once, and connections close when they are idle; new calls are served, and refused
    // from kDrainRefuseAfter on. The few connections that are left then are closed at kDrainFailAfter.
    void drain();
    void undrain();
    // Another process listens on the same socket: this one stops listening and closes its connections as in a
    // drain, but CHECK keeps passing.
    void stopAcceptingForSuccessor();
    bool hasNoClients() const { return clients_.empty(); }
    void failOpenRequests();  // open calls are failed at once, new ones refused
    // No answer is owed, all answers have been handed to the kernel, and all input has been read. Accepts the
    // connections that are still in the backlog.
    bool isQuiescent();
    std::size_t clientCount() const { return clients_.size(); }
    std::uint16_t port() const { return listener_->port(); }
    const Counters& counters() const { return counters_; }
    net::Listener::Counters listenerCounters() const {
        return listener_ ? listener_->counters() : net::Listener::Counters{};
    }

private:
    class Client;

    void accept(net::Descriptor fd);
    bool evictClient();
    // For a call of a client that would then hold `own` bytes, this call included.
    bool hasRoomForCall(std::size_t own) const;
    // Fields of a refusal by this front, with a retry-after time if the settings support it.
    std::string refusalFields() const;
    void removeClient(Client* client);
    void scheduleInputResume();
    void scheduleMemoryTrim();
    void sweepForDrain();
    bool refusesCalls() const;
    bool reportsLeaving() const;
    void applyLimits();
    std::unique_ptr<net::Listener> listenOn(const settings::Endpoint& address);

    net::Loop& loop_;
    core::RequestDispatcher& requests_;
    const settings::DecodedSettings& settings_;
    settings::Endpoint address_;
    settings::Limits limits_;
    int processCount_ = 1;
    net::Descriptor inherited_;
    std::size_t maxClients_ = 0;
    ClientMemory memory_;
    InputQueue inputQueue_{memory_};
    std::optional<net::Loop::TimerKey> inputResumeTimer_, memoryTrimTimer_;
    // Sizes of about the last fifty answers; before the first one, a quarter of the maximum.
    MovingAverage answerBytes_{0.02, 0.02, 60'000};
    bool shuttingDown_ = false;
    bool failingRequests_ = false;
    bool successorServes_ = false;
    std::optional<core::Micros> drainingSince_;
    std::optional<net::Loop::TimerKey> drainSweepTimer_;
    core::Micros openedAt_{};
    RequestId nextId_ = 1;
    std::uint64_t lastClientNumber_ = 0;
    std::unique_ptr<net::Listener> listener_;
    net::PreviousListener previousListener_;
    std::unordered_map<Client*, std::shared_ptr<Client>> clients_;
    std::unordered_set<std::string> openTraceIds_;  // of the open requests
    Counters counters_;
};

}  // namespace lotuslead::platform
