// The front for package repositories: indexes and files over HTTP/1.1.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "../core/requests.hpp"
#include "../net/http.hpp"
#include "../net/listener.hpp"
#include "../net/loop.hpp"
#include "../net/stream.hpp"

namespace lotuslead::repository {

class Front {
public:
    struct Counters {
        std::uint64_t connections = 0, turnedAway = 0, indexes = 0, files = 0, badRequests = 0, notFound = 0,
                      refused = 0, upstreamFailed = 0, late = 0, brokenOff = 0, drained = 0, closedIdle = 0,
                      halfRequests = 0;
    };

    Front(net::Loop& loop, core::Requests& requests, const settings::RepositoryConfiguration& configuration);
    ~Front();

    void open();
    void share(int processes);  // of the limits
    // Other limits and routes are read from the configuration that it was given; throws like the platform's
    // front.
    void reconfigure(const settings::RepositoryConfiguration& configuration);
    // What is open is answered or broken off at once, what still comes refused.
    void lastCall();
    void leave() { leaving_ = true; }  // connections are not kept any more
    // As at the platform's front: what still comes is served, and refused later on. Downloads go on.
    void drain();
    void undrain();
    void yield() {
        listener_.reset();
        drain();
    }
    bool deserted() const { return clients_.empty(); }
    bool settled();  // as at the platform's front
    std::uint16_t port() const { return listener_->port(); }
    const Counters& counters() const { return counters_; }

private:
    class Client;

    void accept(net::Descriptor fd);
    bool makeRoom();
    bool roomFor(std::size_t bytes) const;
    void forget(Client* client);
    void sweepForDrain();
    bool refusesRequests() const;
    void applyLimits(const settings::Limits& limits);

    std::unique_ptr<net::Listener> listenOn(const settings::Endpoint& address);

    net::Loop& loop_;
    core::Requests& requests_;
    const settings::RepositoryConfiguration& configuration_;
    std::size_t maxClients_ = 0;
    int processes_ = 1;
    std::size_t maxBufferedBytes_ = 0;
    std::size_t unsentBytes_ = 0;    // bytes of answers that clients have not yet read
    std::size_t reservedBytes_ = 0;  // bytes that the requests in hand may yet bring
    bool leaving_ = false;
    bool lastCall_ = false;
    std::optional<core::Micros> drainingSince_;
    std::optional<net::Loop::TimerKey> drainSweepTimer_;
    RequestId nextId_ = 1;
    std::unique_ptr<net::Listener> listener_;
    net::PreviousListener previousListener_;
    std::unordered_map<Client*, std::shared_ptr<Client>> clients_;
    Counters counters_;
};

}  // namespace lotuslead::repository
