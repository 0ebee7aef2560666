// One connection to a server of the event bus. It carries one read at a time: a long poll for the events
// behind a given one.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "../net/http.hpp"
#include "../net/loop.hpp"
#include "../net/stream.hpp"
#include "../settings/settings.hpp"

namespace lotuslead::platform {

// A read of the event bus: the events behind `from`, to be answered within `hold` if there are none yet.
struct BusRead {
    std::int64_t from = 0;
    net::Micros hold{};
    net::Micros begunAt{};
};

class BusConnection : private net::Stream::Observer, public std::enable_shared_from_this<BusConnection> {
public:
    class Observer {
    public:
        virtual ~Observer() = default;
        virtual void busConnected(BusConnection& connection) = 0;
        // An answer has come to the read, which is not pending any more. False: it cannot be used.
        virtual bool busAnswered(BusConnection& connection, const BusRead& read, const std::string& body) = 0;
        // The connection has ended, by itself or since its read was not answered in time.
        virtual void busEnded(BusConnection& connection, const char* why) = 0;
        virtual void busBytes(std::size_t bytes) = 0;  // sent or received
    };

    // `server`: its index among the configured ones.
    BusConnection(net::Loop& loop, const settings::Endpoint& to, std::size_t server, Observer& observer);
    ~BusConnection() override;

    void read(std::int64_t from, net::Micros hold);
    void close();  // without a callback

    std::size_t server() const { return server_; }
    bool idle() const { return opened_ && !pending_; }
    bool answering() const { return answerBegunAt_.has_value(); }  // within an answer
    bool gaveUpSilent() const { return gaveUpSilent_; }
    const std::optional<BusRead>& pendingRead() const { return pending_; }
    net::Micros begunAt() const { return pending_ ? pending_->begunAt : connectedAt_; }
    // The time of the last step forward: the start of the connection or the read, or a byte of the answer.
    net::Micros lastProgressAt() const { return lastProgressAt_; }

private:
    void streamOpened() override;
    bool streamData(std::string_view data) override;
    void streamEnded(net::Stream::CloseReason why) override;

    bool takeAnswer();
    void armGiveUp(net::Micros delay, const char* why);
    void end(const char* why);

    net::Loop& loop_;
    settings::Endpoint to_;
    std::size_t server_;
    Observer& observer_;
    net::HttpParser parser_;
    net::Stream stream_;
    bool opened_ = false;
    bool gaveUpSilent_ = false;  // ended since nothing came in time
    std::optional<BusRead> pending_;
    net::Micros connectedAt_, lastProgressAt_;
    std::optional<net::Micros> answerBegunAt_;
    std::optional<net::Loop::TimerKey> giveUpTimer_;
};

}  // namespace lotuslead::platform
