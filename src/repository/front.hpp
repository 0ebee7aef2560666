// The front for package repositories: serves indexes and files over HTTP/1.1.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "../core/request_dispatcher.hpp"
#include "../net/http.hpp"
#include "../net/listener.hpp"
#include "../net/loop.hpp"
#include "../net/stream.hpp"
#include "version_conflicts.hpp"

namespace lotuslead::repository {

class Front {
public:
    struct Counters {
        std::uint64_t connections = 0, rejectedConnections = 0, indexes = 0, files = 0, badRequests = 0,
                      notFound = 0, refused = 0, upstreamFailed = 0, late = 0, truncatedResponses = 0,
                      drained = 0, closedIdle = 0, closedMidRequest = 0;
        std::uint64_t otherVersions = 0;    // parts that did not continue the version of their download
        std::uint64_t singleResponses = 0;  // spans of several parts that were fetched in one response
    };

    Front(net::Loop& loop, core::RequestDispatcher& requests,
          const settings::RepositoryConfiguration& configuration);
    ~Front();

    // `drop` makes the copies of a file unusable that were made before the call, in all caches.
    void setDropCopies(std::function<void(const std::string& path)> drop) { dropCopies_ = std::move(drop); }
    void open();
    void setProcessCount(int processes);  // divides the limits by the number of processes
    // Applies a changed address and limits; routes are always read from the configuration that the
    // constructor was given. Throws like the platform's front.
    void reconfigure(const settings::RepositoryConfiguration& configuration);
    // Answers or aborts all open requests at once and refuses new ones.
    void failOpenRequests();
    void startShutdown() { shuttingDown_ = true; }  // ends connections after their answers
    // As in the platform's front: new requests are served at first and refused later; downloads continue.
    void drain();
    void undrain();
    void stopAcceptingForSuccessor() {
        listener_.reset();
        drain();
    }
    bool hasNoClients() const { return clients_.empty(); }
    bool isQuiescent();  // as in the platform's front
    std::uint16_t port() const { return listener_->port(); }
    const Counters& counters() const { return counters_; }

private:
    class Client;

    void accept(net::Descriptor fd);
    bool makeRoom();
    bool roomFor(std::size_t bytes) const;
    std::size_t maxSingleResponseBytes() const;
    void removeClient(Client* client);
    void sweepForDrain();
    bool refusesRequests() const;
    void applyLimits(const settings::Limits& limits);

    std::unique_ptr<net::Listener> listenOn(const settings::Endpoint& address);

    net::Loop& loop_;
    core::RequestDispatcher& requests_;
    const settings::RepositoryConfiguration& configuration_;
    std::size_t maxClients_ = 0;
    int processCount_ = 1;
    std::size_t maxBufferedBytes_ = 0;
    std::size_t unsentBytes_ = 0;    // of answers, not yet sent to clients
    std::size_t reservedBytes_ = 0;  // that open fetches may still deliver
    bool shuttingDown_ = false;
    bool failingRequests_ = false;
    std::optional<core::Micros> drainingSince_;
    std::optional<net::Loop::TimerKey> drainSweepTimer_;
    std::function<void(const std::string& path)> dropCopies_;
    VersionConflicts conflicts_;
    RequestId nextId_ = 1;
    std::unique_ptr<net::Listener> listener_;
    net::PreviousListener previousListener_;
    std::unordered_map<Client*, std::shared_ptr<Client>> clients_;
    Counters counters_;
};

}  // namespace lotuslead::repository
