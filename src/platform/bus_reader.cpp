#include "bus_reader.hpp"

#include <algorithm>
#include <cstdio>
#include <string>
#include <utility>

namespace lotuslead::platform {

using namespace std::chrono_literals;

namespace {

// Events count as delivered after 7 s whether they arrived or not, so a hanging poll must be noticed well
// before that. If the settings give a drain time, a poll and its successor must fit into it.
constexpr net::Micros kPollHold = 1s, kMinPollHold = 200ms;
constexpr net::Micros kFirstPollHold = 1ms;  // a starting gateway admits no client before it is answered
// Beyond the hold time, or within an answer.
constexpr net::Micros kSilenceTimeout = 500ms, kMinSilenceTimeout = 150ms;
constexpr net::Micros kAnswerTimeout = 5s;  // from its first byte to its last, at whatever rate it arrives
constexpr net::Micros kConnectTimeout = 400ms;
constexpr net::Micros kDurabilityTimeout = 200ms;  // for applied events to become durable
constexpr net::Micros kDurabilityCheckInterval = 1ms;
constexpr net::Micros kReconnectDelay = 50ms;  // from the second failure on, to avoid a busy loop
// Parsed, the body takes several times as much memory.
constexpr net::HttpParser::Limits kHttpLimits{16 * 1024, 1024 * 1024};

}  // namespace

BusReader::BusReader(net::Loop& loop, Apply apply)
    : loop_(loop),
      apply_(std::move(apply)),
      parser_(net::HttpParser::Kind::response, kHttpLimits),
      holdTime_(kPollHold),
      silenceTimeout_(kSilenceTimeout) {}

void BusReader::setDrainGrace(net::Micros grace) {
    holdTime_ = grace.count() > 0 ? std::clamp(grace / 2, kMinPollHold, kPollHold) : kPollHold;
    silenceTimeout_ =
        grace.count() > 0 ? std::clamp(grace * 3 / 10, kMinSilenceTimeout, kSilenceTimeout) : kSilenceTimeout;
}

BusReader::~BusReader() {
    if (timer_) loop_.cancel(*timer_);
}

void BusReader::setEndpoints(const std::vector<settings::Endpoint>& endpoints) {
    if (endpoints == endpoints_) return;
    endpoints_ = endpoints;
    current_ = 0;
    failures_ = 0;
    if (stream_) stream_->close();
    if (timer_) loop_.cancel(*timer_);
    timer_.reset();
    if (!endpoints_.empty()) connect();
}

void BusReader::applyBatch(const settings::BusBatch& batch) {
    for (const settings::BusEvent& event : batch.events) {
        if (event.offset <= offset_) continue;
        offset_ = event.offset;
        if (event.isStoreList && event.offset <= listsAppliedUpTo_) continue;
        ++counters_.events;
        apply_(event);
    }
    offset_ = std::max(offset_, batch.offset);
    listsAppliedUpTo_ = std::max(listsAppliedUpTo_, offset_);
}

void BusReader::rewindTo(std::int64_t offset) {
    if (offset >= offset_) return;
    offset_ = offset;
    if (endpoints_.empty()) return;
    // The answer to the current poll would skip the events that are wanted.
    if (stream_) stream_->close();
    connect();
}

void BusReader::arm(net::Micros delay, std::function<void()> task) {
    if (timer_) loop_.cancel(*timer_);
    timer_ = loop_.after(delay, [this, task = std::move(task)] {
        timer_.reset();
        task();
    });
}

void BusReader::connect() {
    parser_ = net::HttpParser(net::HttpParser::Kind::response, kHttpLimits);
    answerBegunAt_.reset();
    pollPending_ = false;
    if (stream_) loop_.destroyAfterTurn(stream_);
    // First in a turn, so that a drain is known before a call that arrived with it is decided on.
    stream_ = std::make_shared<net::Stream>(loop_, endpoint(), static_cast<net::Stream::Observer&>(*this),
                                            net::Priority::high);
    arm(kConnectTimeout, [this] { reconnect("no connection in time"); });
}

void BusReader::reconnect(const char* why) {
    ++counters_.reconnects;
    if (failures_ == 0) std::fprintf(stderr, "event bus: %s, connecting again\n", why);
    if (stream_) stream_->close();
    if (endpoints_.size() > 1) {
        current_ = (current_ + 1) % endpoints_.size();
        ++counters_.endpointSwitches;
        // Tries every endpoint once without delay, then with pauses.
        if (static_cast<std::size_t>(++failures_) < endpoints_.size()) return connect();
        return arm(kReconnectDelay, [this] { connect(); });
    }
    if (failures_++ == 0) return connect();
    arm(kReconnectDelay, [this] { connect(); });
}

void BusReader::poll() {
    ++counters_.polls;
    pollPending_ = true;
    const net::Micros hold = answeredOnce_ ? holdTime_ : kFirstPollHold;
    std::string request =
        "GET /bus/read?from=" + std::to_string(offset_) + "&hold=" + std::to_string(hold.count() / 1000) +
        " HTTP/1.1\r\nHost: " + endpoint().host + ":" + std::to_string(endpoint().port) + "\r\n\r\n";
    counters_.bytes += request.size();
    stream_->write(std::move(request));
    arm(hold + silenceTimeout_, [this] { reconnect("silent"); });
}

// A stuck disk delays the next poll only this long: further purges must get through.
void BusReader::pollOnceDurable() {
    if (!observer_.isDurable || observer_.isDurable() || loop_.now() >= durableDeadline_) return poll();
    arm(kDurabilityCheckInterval, [this] { pollOnceDurable(); });
}

void BusReader::streamOpened() { pollOnceDurable(); }

bool BusReader::streamData(std::string_view data) {
    counters_.bytes += data.size();
    while (!data.empty()) {
        const auto status = parser_.feed(data);
        if (status == net::HttpParser::Status::needMore) break;
        answerBegunAt_.reset();
        // Each answer triggers the next poll, so unsolicited answers would trigger polls without end.
        const bool due = std::exchange(pollPending_, false) && stream_->unsentBytes() == 0;
        if (status != net::HttpParser::Status::message || !due || !handleAnswer() || !data.empty())
            return false;
    }
    if (!parser_.midMessage()) return true;
    // An answer may arrive byte by byte; one that stalls is requested again from the last applied event.
    if (!answerBegunAt_) answerBegunAt_ = loop_.now();
    const net::Micros left = std::max(net::Micros{0}, *answerBegunAt_ + kAnswerTimeout - loop_.now());
    arm(std::min(silenceTimeout_, left), [this] { reconnect("stopped within an answer"); });
    return true;
}

bool BusReader::handleAnswer() {
    if (parser_.head().status != 200) return false;
    try {
        const settings::BusBatch batch = settings::readBatch(nlohmann::json::parse(parser_.body()));
        const std::int64_t from = offset_;
        // A server that lags behind the others is not waited for: the events that it lacks may be purges.
        if (endpoints_.size() > 1 && batch.offset < from) return false;
        // A server that announces more events but sends none would be polled in a busy loop.
        if (batch.last > batch.offset && batch.offset <= from) return false;
        std::vector<std::int64_t> offsets;
        for (const settings::BusEvent& event : batch.events) offsets.push_back(event.offset);
        applyBatch(batch);
        const bool complete = batch.last <= offset_;
        if (observer_.onBatch) observer_.onBatch(from, batch.offset, offsets, complete);
        caughtUp_ = caughtUp_ || complete;
    } catch (const std::exception& problem) {
        if (failures_ == 0) std::fprintf(stderr, "event bus: cannot use its answer: %s\n", problem.what());
        return false;
    }
    failures_ = 0;
    answeredOnce_ = true;
    durableDeadline_ = loop_.now() + kDurabilityTimeout;
    if (parser_.head().keepAlive())
        pollOnceDurable();
    else
        loop_.post([this] {
            stream_->close();
            connect();
        });
    return true;
}

void BusReader::streamEnded(net::Stream::CloseReason why) {
    // An answer without a length ends with its connection.
    if (why == net::Stream::CloseReason::closedByPeer && parser_.endOfStream() && handleAnswer()) return;
    reconnect(why == net::Stream::CloseReason::connectFailed   ? "connection refused"
              : why == net::Stream::CloseReason::localShortage ? "no descriptor or memory for a connection"
              : why == net::Stream::CloseReason::malformed     ? "malformed answer"
                                                               : "connection ended");
}

}  // namespace lotuslead::platform
