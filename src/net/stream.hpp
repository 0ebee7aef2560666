// One TCP connection: reads with a budget a turn, writes from a queue, and says why it ended.
#pragma once

#include <netinet/in.h>

#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "../settings/settings.hpp"
#include "loop.hpp"

namespace lotuslead::net {

class Stream : public Handler {
public:
    enum class CloseReason {
        connectFailed,  // never came up
        localShortage,  // never came up, for want of something on this machine: the peer was not asked
        closedByPeer,
        reset,
        malformed,
    };
    class Observer {
    public:
        virtual ~Observer() = default;
        virtual void streamOpened() {}
        // False: the peer sent what it may not; the stream ends as malformed.
        virtual bool streamData(std::string_view data) = 0;
        virtual void streamFlushed() {}  // all that was written is with the kernel
        virtual void streamEnded(CloseReason reason) = 0;
    };

    Stream(Loop& loop, Descriptor fd, Observer& observer, Priority priority = Priority::normal);  // accepted
    // Connects; may end in the next turn.
    Stream(Loop& loop, const settings::Endpoint& to, Observer& observer,
           Priority priority = Priority::normal);
    ~Stream() override;
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    bool opened() const { return state_ == State::open; }
    bool closed() const { return state_ == State::closed; }
    void write(std::string bytes);  // queued, and sent as far as the kernel takes it
    // As that, but only if a byte can go out at once; false: none did, and nothing is queued. With room again
    // streamFlushed comes, or streamEnded.
    bool tryWrite(std::string bytes);
    std::size_t unsentBytes() const { return unsentBytes_; }
    void pauseReading(bool paused);
    void close();              // at once; nothing is told any more
    void closeAfterWriting();  // once all is with the kernel
    // As that, but what the peer still sends is read and dropped until it closes too, the time is up or it
    // has sent too much: a close over unread bytes would be a reset, which takes back from the peer what it
    // has not yet read.
    void closeLingering(Micros within);
    bool nothingUnread() const;                                // nothing has come in that was not read
    bool peerHasClosed() const;                                // its end has come, read or not
    void readNextTurn() { loop_.callNextTurn(id_, EPOLLIN); }  // in the next turn; its end, if it has come
    // Once the peer has left, what it sent before that is not read any more.
    void dropInputOnPeerClose() { dropInputOnPeerClose_ = true; }
    // What has come in was more than a turn's share, for some turns now.
    bool readBacklogged() const {
        return backloggedSince_ && loop_.now() - *backloggedSince_ > kReadBacklogThreshold;
    }
    // How long ago the last byte came in, read or not; zero where the system does not tell.
    Micros timeSinceLastReceive() const;
    bool allAcknowledged() const {
        return unacknowledgedBytes() == 0;
    }  // the peer's machine has all that was written

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
    std::size_t unacknowledgedBytes() const;  // of what was written, by the peer's machine
    std::uint32_t readAvailable();

    Loop& loop_;
    Descriptor fd_;
    Observer& observer_;
    State state_;
    Loop::HandlerId id_ = 0;
    std::deque<std::string> queue_;
    std::size_t frontSentBytes_ = 0;
    std::size_t unsentBytes_ = 0;
    bool paused_ = false;
    bool readable_ = false;    // an edge came while paused
    bool peerClosed_ = false;  // its end was seen behind what is still to be read
    bool dropInputOnPeerClose_ = false;
    bool closing_ = false;
    bool lingering_ = false;
    bool writeShutDown_ = false;  // the peer has been told that nothing more comes
    std::size_t discardedBytes_ = 0;
    std::size_t unacknowledgedBytes_ = 0;  // untaken when last looked at
    Micros lingerTime_{}, lastProgressAt_{};
    Loop::TimerKey timer_{};
    static constexpr Micros kReadBacklogThreshold{10'000};
    std::optional<Micros> backloggedSince_;
    bool sendBroken_ = false;  // a send has failed for good; what came before is still read
    std::optional<Loop::TimerKey> retry_;
    std::uint32_t retryEvents_ = 0;
    sockaddr_in to_{};
    int connectAttempts_ = 0;
    Priority priority_ = Priority::normal;
};

}  // namespace lotuslead::net
