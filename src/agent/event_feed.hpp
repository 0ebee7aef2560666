// The event feed: boxes and purges as agreed, in the form of the event bus, for gateways. An agent that knows
// of no leader, or is behind the reader, answers 503, so that the reader goes to another.
#pragma once

#include <list>
#include <map>
#include <optional>
#include <string>

#include "../config/store.hpp"
#include "../net/calls.hpp"
#include "../net/loop.hpp"
#include "consensus.hpp"

namespace lotuslead::agent {

class EventFeed {
public:
    struct Counters {
        std::uint64_t reads = 0, held = 0, behind = 0, leaderless = 0;
    };

    EventFeed(net::Loop& loop, const settings::Endpoint& at, const config::Store& store,
              Consensus& consensus);
    ~EventFeed();

    // The store is: those who wait are answered, at once after a pause and else together with what comes
    // soon.
    void changed();
    std::uint16_t port() const { return server_.port(); }
    const Counters& counters() const { return counters_; }

private:
    struct Waiting {
        std::int64_t from = 0;
        net::CallServer::Reply reply;
        net::Loop::TimerKey timer;
    };

    void handle(const net::HttpHead& head, net::CallServer::Reply reply);
    void answer(std::int64_t from, const net::CallServer::Reply& reply);
    void answerWaiting();
    std::string page(std::int64_t from);

    net::Loop& loop_;
    const config::Store& store_;
    Consensus& consensus_;
    std::list<Waiting> waiting_;
    // Most readers ask from one place: its answer is made once for all of them. So are full pages, for the
    // many that come back together.
    std::int64_t cachedFrom_ = -1, cachedLast_ = -1;
    std::string cachedAnswer_;
    std::map<std::int64_t, config::EventLog::Page> cachedPages_;  // by where they begin
    std::uint64_t cachedLoadCount_ = 0;                           // Store::loads() when they were made
    net::Micros lastAnsweredAt_{};                                // those who waited, last
    std::optional<net::Loop::TimerKey> batchTimer_;
    Counters counters_;
    net::CallServer server_;
};

}  // namespace lotuslead::agent
