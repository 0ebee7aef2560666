#include "bus_connection.hpp"

#include <utility>

namespace lotuslead::platform {

using namespace std::chrono_literals;

namespace {

// Events count as delivered after 7 s, whether they have arrived or not. A slow answer is waited for until
// then; other reads go on meanwhile (BusReader).
constexpr net::Micros kMaxAnswerDelay = 6s;  // beyond the hold time
constexpr net::Micros kMaxAnswerTime = 5s;   // from its first byte to its last, at whatever rate it arrives
constexpr net::Micros kMaxConnectTime = 3s;
// Parsed, the body takes several times as much memory.
constexpr net::HttpParser::Limits kHttpLimits{16 * 1024, 1024 * 1024};

}  // namespace

// High priority: first in a turn, so that a drain is known before a call that arrived with it is decided on.
BusConnection::BusConnection(net::Loop& loop, const settings::Endpoint& to, std::size_t server,
                             Observer& observer)
    : loop_(loop),
      to_(to),
      server_(server),
      observer_(observer),
      parser_(net::HttpParser::Kind::response, kHttpLimits),
      stream_(loop, to, static_cast<net::Stream::Observer&>(*this), net::Priority::high),
      connectedAt_(loop.now()),
      lastProgressAt_(loop.now()) {
    armGiveUp(kMaxConnectTime, "no connection in time");
}

BusConnection::~BusConnection() { close(); }

void BusConnection::close() {
    if (giveUpTimer_) loop_.cancel(*giveUpTimer_);
    giveUpTimer_.reset();
    pending_.reset();
    opened_ = false;
    stream_.close();
}

void BusConnection::armGiveUp(net::Micros delay, const char* why) {
    if (giveUpTimer_) loop_.cancel(*giveUpTimer_);
    giveUpTimer_ = loop_.after(delay, [this, why] {
        giveUpTimer_.reset();
        gaveUpSilent_ = true;
        end(why);
    });
}

void BusConnection::end(const char* why) {
    close();
    observer_.busEnded(*this, why);
}

void BusConnection::read(std::int64_t from, net::Micros hold) {
    pending_ = BusRead{from, hold, loop_.now()};
    lastProgressAt_ = loop_.now();
    std::string request = "GET /bus/read?from=" + std::to_string(from) +
                          "&hold=" + std::to_string(hold.count() / 1000) + " HTTP/1.1\r\nHost: " + to_.host +
                          ":" + std::to_string(to_.port) + "\r\n\r\n";
    observer_.busBytes(request.size());
    armGiveUp(hold + kMaxAnswerDelay, "silent");
    stream_.write(std::move(request));
}

void BusConnection::streamOpened() {
    opened_ = true;
    if (giveUpTimer_) loop_.cancel(*giveUpTimer_);
    giveUpTimer_.reset();
    observer_.busConnected(*this);
}

bool BusConnection::streamData(std::string_view data) {
    observer_.busBytes(data.size());
    lastProgressAt_ = loop_.now();
    const auto status = parser_.feed(data);
    if (status == net::HttpParser::Status::needMore) {
        // An answer may arrive byte by byte.
        if (parser_.midMessage() && !std::exchange(answerBegunAt_, answerBegunAt_.value_or(loop_.now())))
            armGiveUp(kMaxAnswerTime, "stopped within an answer");
        return true;
    }
    // Each answer triggers the next read, so unsolicited answers would trigger reads without end.
    const bool due = pending_ && stream_.unsentBytes() == 0;
    return status == net::HttpParser::Status::message && due && takeAnswer() && data.empty();
}

bool BusConnection::takeAnswer() {
    if (parser_.head().status != 200) return false;
    const BusRead read = *std::exchange(pending_, std::nullopt);
    answerBegunAt_.reset();
    if (giveUpTimer_) loop_.cancel(*giveUpTimer_);
    giveUpTimer_.reset();
    opened_ = parser_.head().keepAlive();
    return observer_.busAnswered(*this, read, parser_.body());
}

void BusConnection::streamEnded(net::Stream::CloseReason why) {
    // An answer without a length ends with its connection.
    if (why == net::Stream::CloseReason::closedByPeer && pending_ && parser_.endOfStream()) {
        opened_ = false;
        if (takeAnswer()) return;
    }
    end(why == net::Stream::CloseReason::connectFailed   ? "connection refused"
        : why == net::Stream::CloseReason::localShortage ? "no descriptor or memory for a connection"
        : why == net::Stream::CloseReason::malformed     ? "malformed answer"
                                                         : "connection ended");
}

}  // namespace lotuslead::platform
