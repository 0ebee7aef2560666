// Sends attempts to repository servers over persistent HTTP/1.1 connections, one request at a time on each.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "../core/request_dispatcher.hpp"
#include "../net/http.hpp"
#include "../net/loop.hpp"
#include "../net/stream.hpp"

namespace lotuslead::repository {

// Names of the metadata entries of a payload.
inline constexpr const char* kStatus = "status";
inline constexpr const char* kTotal = "total";  // bytes of the whole file
inline constexpr const char* kFirst = "first";  // offset of the payload's first byte in the file

class Upstreams : public core::AttemptTransport {
public:
    struct Callbacks {
        std::function<bool(RequestId, int)> mayBegin;
        std::function<void(core::AttemptResult)> ended;
    };
    struct Counters {
        std::uint64_t connects = 0, connectFailures = 0, resets = 0, malformed = 0, tooOld = 0, notBegun = 0;
    };

    Upstreams(net::Loop& loop, const settings::RepositoryConfiguration& configuration);
    ~Upstreams() override;

    void setCallbacks(Callbacks callbacks) { callbacks_ = std::move(callbacks); }
    void applyHostList(const settings::BusEvent& event);
    void setProcessCount(int) {}  // not divided: kMaxConnectionsPerServer is low
    void reconfigure(const settings::RepositoryConfiguration& configuration);
    void send(core::Micros now, const core::Request& request, const core::Decision& send) override;
    bool cancel(core::Micros now, RequestId request, int attempt) override;

    const Counters& counters() const { return counters_; }

private:
    class Connection;
    struct QueuedAttempt {
        const core::Request* request;  // outlives the attempt
        core::Decision send;
    };
    struct Server {
        std::string address;
        bool origin = false;
        std::int64_t startedAtMs = 0;
        std::vector<std::shared_ptr<Connection>> connections;
        std::deque<QueuedAttempt> queue;
    };

    void serveQueue(const std::string& host);
    // Of an answer; more than a part or an index only where the request names such a span.
    std::size_t maxBodyBytes(const core::Request& request) const;
    std::string requestText(const core::Request& request, const core::Decision& send);
    void report(core::AttemptResult end);
    void report(const QueuedAttempt& attempt, Outcome outcome, bool ignoreForHealth = false);
    void removeConnection(const std::string& host, Connection* connection, bool ignoreForHealth);
    void closeConnections(Server& server);

    net::Loop& loop_;
    core::Micros unixClockOffset_;
    const settings::RepositoryConfiguration& configuration_;
    core::Micros connectTimeout_{}, idleTimeout_{};
    Callbacks callbacks_;
    Counters counters_;
    std::unordered_map<std::string, Server> servers_;
    std::unordered_map<RequestId, int> inFlight_;  // the attempt number of each request
};

}  // namespace lotuslead::repository
