// A non-blocking TCP connection on a Loop: reads with a budget per turn, queues writes, and reports why it
// ended.
#pragma once

#include <netinet/in.h>

#include <deque>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include "../settings/settings.hpp"
#include "loop.hpp"

namespace lotuslead::net {

class Stream : public Handler {
public:
    enum class CloseReason {
        connectFailed,  // refused, unreachable or timed out
        localShortage,  // this machine lacked a resource for the connect; the peer was not contacted
        closedByPeer,
        reset,
        malformed,
    };
    class Observer {
    public:
        virtual ~Observer() = default;
        virtual void streamOpened() {}
        // How many bytes may be read now. Zero pauses reading until pauseReading(false); input then waits in
        // the kernel.
        virtual std::size_t streamReadLimit() { return std::numeric_limits<std::size_t>::max(); }
        // False: the data violates the protocol; the stream ends as malformed.
        virtual bool streamData(std::string_view data) = 0;
        virtual void streamFlushed() {}  // the kernel has all that was written
        virtual void streamEnded(CloseReason reason) = 0;
    };

    Stream(Loop& loop, Descriptor fd, Observer& observer, Priority priority = Priority::normal);  // accepted
    // Connects; a failure is reported in a later turn, never from the constructor.
    Stream(Loop& loop, const settings::Endpoint& to, Observer& observer,
           Priority priority = Priority::normal);
    ~Stream() override;
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    bool opened() const { return state_ == State::open; }
    bool closed() const { return state_ == State::closed; }
    void write(std::string bytes);  // sends what the kernel accepts and queues the rest
    // Like write, but only if the kernel accepts at least one byte at once; otherwise returns false and
    // queues nothing. streamFlushed follows when there is room again, or streamEnded.
    bool tryWrite(std::string bytes);
    std::size_t unsentBytes() const { return unsentBytes_; }
    void pauseReading(bool paused);
    void close();              // at once, without a callback
    void closeAfterWriting();  // once the kernel has all that was written
    // Like closeAfterWriting, but first shuts down the write side and discards input until the peer closes,
    // the time is up or the peer has sent too much. Closing a socket with unread input sends a reset, upon
    // which the peer loses data that it has not read yet.
    void closeLingering(Micros within);
    bool nothingUnread() const;            // the receive buffer is empty
    std::size_t queuedInputBytes() const;  // unread in the kernel
    bool peerHasClosed() const;            // also where unread data precedes the end
    // Reads in the next turn, and reports the peer's close if it has come.
    void readNextTurn() { loop_.callNextTurn(id_, EPOLLIN); }
    // From now on, unread input is dropped once the peer has closed.
    void dropInputOnPeerClose() { dropInputOnPeerClose_ = true; }
    // How long the oldest unread input may have waited in the kernel because reading was paused or the budget
    // of a turn was used up; zero if none has.
    Micros inputQueuedFor() const {
        return queuedInput_ ? loop_.now() - queuedInput_->arrivedSince : Micros{0};
    }
    // Time since the kernel received the last byte, read or not; zero if unknown.
    Micros timeSinceLastReceive() const;
    bool allAcknowledged() const { return unacknowledgedBytes() == 0; }
    std::uint32_t ready(std::uint32_t events) override;

private:
    enum class State { connecting, open, closed };

    void connect();
    int connectOnce();
    void endNextTurn(CloseReason reason);
    void flush();
    void sendFailed(int error);
    void retryAfterShortage(std::uint32_t events);
    void end(CloseReason reason);
    void allWritten();
    void checkLinger();
    std::size_t unacknowledgedBytes() const;  // queued here or unacknowledged in the kernel
    std::uint32_t readAvailable();
    void markQueuedInput();
    void countQueuedInput(std::size_t readBytes);

    // Input that was left in the kernel. It is read in order: once the bytes that were queued at a moment
    // have been read, all further ones have arrived after that moment.
    struct QueuedInput {
        Micros arrivedSince{};  // no unread byte arrived before this moment
        Micros markedAt{};
        std::size_t markedBytes = 0;  // still unread of those that were queued then
    };

    Loop& loop_;
    Descriptor fd_;
    Observer& observer_;
    State state_;
    Loop::HandlerId id_ = 0;
    std::deque<std::string> queue_;
    std::size_t frontSentBytes_ = 0;
    std::size_t unsentBytes_ = 0;
    bool paused_ = false;
    bool readable_ = false;    // input may be available; set while paused
    bool peerClosed_ = false;  // possibly with unread data before the end
    bool dropInputOnPeerClose_ = false;
    bool closing_ = false;
    bool lingering_ = false;
    bool writeShutDown_ = false;
    std::size_t discardedBytes_ = 0;
    std::size_t unacknowledgedBytes_ = 0;  // at the last check of the linger
    Micros lingerTime_{}, lastProgressAt_{};
    Loop::TimerKey timer_{};
    std::optional<QueuedInput> queuedInput_;
    bool sendBroken_ = false;  // a send failed permanently; earlier input is still read
    std::optional<Loop::TimerKey> retry_;
    std::uint32_t retryEvents_ = 0;
    sockaddr_in to_{};
    int connectAttempts_ = 0;
    Priority priority_ = Priority::normal;
};

}  // namespace lotuslead::net
