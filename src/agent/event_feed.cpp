#include "event_feed.hpp"

#include <algorithm>
#include <utility>

#include "request_target.hpp"

namespace lotuslead::agent {

namespace {

constexpr std::int64_t kMaxHoldMs = 5000;  // the event bus's limit
// Minimum interval between two rounds of answers to held requests. With many purges per second, answering
// each event separately would cost every gateway several KB per second, mostly for headers. The interval is
// small compared with the 1.9 s within which a purge must reach all gateways.
constexpr net::Micros kBatchInterval = std::chrono::milliseconds{250};
// at most 128 KB each; enough for one hour of 26 purges per second
constexpr std::size_t kMaxCachedPages = 128;
constexpr net::HttpServer::Limits kLimits{4096, 1024, std::chrono::seconds{8}, true};

}  // namespace

EventFeed::EventFeed(net::Loop& loop, const settings::Endpoint& at, const config::Store& store,
                     const CatchUp& catchUp)
    : loop_(loop),
      store_(store),
      catchUp_(catchUp),
      server_(loop, at, kLimits, net::Priority::normal,
              [this](const net::HttpHead& head, const std::string&, net::HttpServer::SendResponse reply) {
                  handle(head, std::move(reply));
              }) {}

EventFeed::~EventFeed() {
    for (const HeldRead& read : heldReads_) loop_.cancel(read.timer);
    if (batchTimer_) loop_.cancel(*batchTimer_);
}

void EventFeed::handle(const net::HttpHead& head, net::HttpServer::SendResponse reply) {
    const RequestTarget target(head.target);
    if (target.path != "/bus/read") return reply({404, "no such path\n", {}});
    if (head.method != "GET") return reply({405, "GET only\n", {}});
    const std::int64_t from = target.integerParameter("from").value_or(-1);
    const std::int64_t hold =
        std::clamp<std::int64_t>(target.integerParameter("hold").value_or(0), 0, kMaxHoldMs);
    if (from < 0) return reply({400, "'from' is not a number\n", {}});
    ++counters_.reads;
    if (!catchUp_.caughtUp()) {
        ++counters_.mayLackEvents;
        return reply(mayLackEvents());
    }
    if (from > store_.lastEvent()) {
        ++counters_.behindReader;
        return reply({503, "this agent is behind\n", {}});
    }
    if (from < store_.lastEvent() || hold == 0) return answer(from, reply);
    ++counters_.heldReads;
    const auto at = heldReads_.insert(heldReads_.end(), HeldRead{from, std::move(reply), {}});
    at->timer = loop_.after(std::chrono::milliseconds{hold}, [this, at] {
        const HeldRead ended = std::move(*at);
        heldReads_.erase(at);
        // Events may be missing here, so this must not look like "no events".
        if (!catchUp_.caughtUp()) return ended.reply(mayLackEvents());
        answer(ended.from, ended.reply);
    });
}

net::HttpServer::Response EventFeed::mayLackEvents() const {
    return {503, "this agent is " + std::string(catchUp_.description()) + "\n", {}};
}

void EventFeed::answer(std::int64_t from, const net::HttpServer::SendResponse& reply) {
    if (cachedFrom_ != from || cachedLast_ != store_.lastEvent()) {
        cachedAnswer_ = page(from);
        cachedFrom_ = from;
        cachedLast_ = store_.lastEvent();
    }
    reply({200, cachedAnswer_, {}});
}

std::string EventFeed::page(std::int64_t from) {
    const config::EventLog& log = store_.eventLog();
    if (std::exchange(cachedLoadCount_, store_.loadCount()) != store_.loadCount()) cachedPages_.clear();
    if (const auto found = cachedPages_.find(from); found != cachedPages_.end())
        return log.encodePage(found->second);
    config::EventLog::Page page = log.read(from);
    std::string text = log.encodePage(page);
    if (!page.cacheable) return text;
    cachedPages_.emplace(from, std::move(page));
    if (cachedPages_.size() > kMaxCachedPages)
        cachedPages_.erase(cachedPages_.begin());  // the oldest events are requested least
    return text;
}

void EventFeed::changed() {
    cachedFrom_ = -1;  // a restored store may have other events under the same offsets
    if (batchTimer_ || heldReads_.empty()) return;
    const net::Micros left = lastAnsweredAt_ + kBatchInterval - loop_.now();
    if (left.count() <= 0) return answerHeldReads();
    batchTimer_ = loop_.after(left, [this] {
        batchTimer_.reset();
        answerHeldReads();
    });
}

void EventFeed::answerHeldReads() {
    lastAnsweredAt_ = loop_.now();
    for (auto at = heldReads_.begin(); at != heldReads_.end();) {
        if (at->from >= store_.lastEvent()) {
            ++at;
            continue;
        }
        const HeldRead one = std::move(*at);
        at = heldReads_.erase(at);
        loop_.cancel(one.timer);
        answer(one.from, one.reply);
    }
}

}  // namespace lotuslead::agent
