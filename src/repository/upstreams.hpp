// Carries attempts to repository servers over HTTP/1.1: one request at a time on a connection, which is kept.
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

// The facts that come with a payload.
inline constexpr const char* kStatus = "status";
inline constexpr const char* kTotal = "total";  // bytes of the whole file
inline constexpr const char* kFirst = "first";  // place of the payload's first byte in it

class Upstreams : public core::AttemptTransport {
public:
    struct Callbacks {
        std::function<bool(RequestId, int)> mayBegin;
        std::function<void(core::AttemptResult)> ended;
    };
    struct Counters {
        std::uint64_t connects = 0, connectFailures = 0, resets = 0, malformed = 0, tooOld = 0, heldBack = 0;
    };

    Upstreams(net::Loop& loop, const settings::RepositoryConfiguration& configuration);
    ~Upstreams() override;

    void setCallbacks(Callbacks callbacks) { callbacks_ = std::move(callbacks); }
    void applyHostList(const settings::BusEvent& event);
    void setProcessCount(int) {}  // its connections are few: kMostLinks to a server
    void reconfigure(const settings::RepositoryConfiguration& configuration);
    void send(core::Micros now, const core::Request& request, const core::Decision& send) override;
    bool cancel(core::Micros now, RequestId request, int attempt) override;

    const Counters& counters() const { return counters_; }

private:
    class Link;
    struct Waiting {
        const core::Request* request;  // lives at least as long as the attempt is out
        core::Decision send;
    };
    struct Server {
        std::string address;
        bool origin = false;
        std::int64_t sinceMs = 0;
        std::vector<std::shared_ptr<Link>> links;
        std::deque<Waiting> waiting;
    };

    void serveWaiting(const std::string& host);
    std::string wordsFor(const core::Request& request, const core::Decision& send);
    void tell(core::AttemptResult end);
    void tell(const Waiting& waiting, Outcome outcome, bool blameless = false);
    void drop(const std::string& host, Link* link, bool blameless);
    void dropAll(Server& server);

    net::Loop& loop_;
    core::Micros unixAhead_;
    const settings::RepositoryConfiguration& configuration_;
    core::Micros connectTimeout_{}, idleClose_{};
    Callbacks callbacks_;
    Counters counters_;
    std::unordered_map<std::string, Server> servers_;
    std::unordered_map<RequestId, int> out_;  // the attempt of each request that is out
};

}  // namespace lotuslead::repository
