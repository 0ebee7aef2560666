// Serves boxes and purges to gateways in the event bus's format. An agent that may lack events, or is behind
// the reader's offset, answers 503, so that the reader switches to another agent.
#pragma once

#include <list>
#include <map>
#include <optional>
#include <string>

#include "../config/store.hpp"
#include "../net/http_server.hpp"
#include "../net/loop.hpp"
#include "catch_up.hpp"

namespace lotuslead::agent {

class EventFeed {
public:
    struct Counters {
        std::uint64_t reads = 0, heldReads = 0, behindReader = 0, mayLackEvents = 0;
    };

    EventFeed(net::Loop& loop, const settings::Endpoint& at, const config::Store& store,
              const CatchUp& catchUp);
    ~EventFeed();

    // Call when the store has changed. Answers held requests at once if the last round is long enough ago,
    // and else together with the events of the rest of the interval.
    void changed();
    std::uint16_t port() const { return server_.port(); }
    const Counters& counters() const { return counters_; }

private:
    struct HeldRead {
        std::int64_t from = 0;
        net::HttpServer::SendResponse reply;
        net::Loop::TimerKey timer;
    };

    void handle(const net::HttpHead& head, net::HttpServer::SendResponse reply);
    void answer(std::int64_t from, const net::HttpServer::SendResponse& reply);
    net::HttpServer::Response mayLackEvents() const;
    void answerHeldReads();
    std::string page(std::int64_t from);

    net::Loop& loop_;
    const config::Store& store_;
    const CatchUp& catchUp_;
    std::list<HeldRead> heldReads_;
    // Most readers are at the same offset, so their answer is built once. Full pages are cached as well,
    // for the many readers that reconnect at the same time.
    std::int64_t cachedFrom_ = -1, cachedLast_ = -1;
    std::string cachedAnswer_;
    std::map<std::int64_t, config::EventLog::Page> cachedPages_;  // by start offset
    std::uint64_t cachedLoadCount_ = 0;  // Store::loadCount() when the pages were built
    net::Micros lastAnsweredAt_{};       // time of the last round of answers to held requests
    std::optional<net::Loop::TimerKey> batchTimer_;
    Counters counters_;
    net::HttpServer server_;
};

}  // namespace lotuslead::agent
