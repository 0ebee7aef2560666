#include "stream.hpp"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "address.hpp"
#include "system_errors.hpp"

namespace lotuslead::net {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kReadChunkBytes = 64 * 1024;
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;  // of what comes in after the end
constexpr Micros kNoProgressTimeout = 3s;    // then nobody reads what a connection that ends still has
constexpr Micros kShortageRetryDelay = 2ms;  // of memory or descriptors: then the call is made again
constexpr int kMaxConnectAttempts = 6;       // with growing waits, 30 ms in all
constexpr std::size_t kMaxBytesPerTurn = 4 * kReadChunkBytes;  // then the others have their turn
constexpr int kMaxReadsPerTurn = 1024;                         // however short they are
constexpr int kSendBufferBytes =
    256 * 1024;  // else the kernel holds megabytes for each client that does not read

void disableNagle(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

Stream::Stream(Loop& loop, Descriptor fd, Observer& observer, Priority priority)
    : loop_(loop), fd_(std::move(fd)), observer_(observer), state_(State::open) {
    disableNagle(fd_.get());
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof kSendBufferBytes);
    id_ = loop_.add(fd_.get(), EPOLLIN | EPOLLOUT | EPOLLRDHUP, *this, priority);
}

Stream::Stream(Loop& loop, const settings::Endpoint& to, Observer& observer, Priority priority)
    : loop_(loop),
      observer_(observer),
      state_(State::connecting),
      to_(socketAddress(to)),
      priority_(priority) {
    connect();
}

// Where this machine is short of something the peer has not been asked, and the next try may succeed. A
// failure is told from the next turn on, as it would be with a connect that fails a little later.
void Stream::connect() {
    fd_.reset(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    int error = fd_ ? 0 : errno;
    if (fd_) {
        disableNagle(fd_.get());
        error = connectOnce();
    }
    if (error == 0) {
        id_ = loop_.add(fd_.get(), EPOLLIN | EPOLLOUT | EPOLLRDHUP, *this, priority_);
        return;
    }
    fd_.reset();
    if (!isLocalConnectFailure(error)) return endNextTurn(CloseReason::connectFailed);
    if (++connectAttempts_ >= kMaxConnectAttempts) return endNextTurn(CloseReason::localShortage);
    retry_ = loop_.after(kShortageRetryDelay * connectAttempts_, [this] {
        retry_.reset();
        connect();
    });
}

// Zero: it is up or under way.
int Stream::connectOnce() {
    int result = 0;
    do result = ::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&to_), sizeof to_);
    while (result != 0 && errno == EINTR);
    // EALREADY and EISCONN: the interrupted call had begun it.
    return result == 0 || errno == EINPROGRESS || errno == EALREADY || errno == EISCONN ? 0 : errno;
}

void Stream::endNextTurn(CloseReason reason) {
    retry_ = loop_.after(Micros{0}, [this, reason] {
        retry_.reset();
        end(reason);
    });
}

Stream::~Stream() { close(); }

void Stream::close() {
    if (state_ == State::closed) return;
    state_ = State::closed;
    if (lingering_) loop_.cancel(timer_);
    if (retry_) loop_.cancel(*retry_);
    retry_.reset();
    if (id_ != 0) loop_.remove(id_, fd_.get());
    fd_.reset();
    queue_.clear();
    unsentBytes_ = 0;
}

void Stream::closeAfterWriting() {
    closing_ = true;
    if (unsentBytes_ == 0) allWritten();
}

void Stream::closeLingering(Micros within) {
    if (state_ != State::open || std::exchange(lingering_, true)) return;
    lingerTime_ = within;
    unacknowledgedBytes_ = unacknowledgedBytes();
    lastProgressAt_ = loop_.now();
    timer_ = loop_.after(within, [this] { checkLinger(); });
    pauseReading(false);
    closeAfterWriting();
}

// However long a slow reader takes for what it was sent: its time begins when it has all, and ends early only
// where it takes nothing any more.
void Stream::checkLinger() {
    const std::size_t remaining = unacknowledgedBytes();
    const bool progressed = remaining < unacknowledgedBytes_;
    if (progressed) lastProgressAt_ = loop_.now();
    if (unacknowledgedBytes_ == 0 || (!progressed && loop_.now() - lastProgressAt_ > kNoProgressTimeout))
        return end(CloseReason::closedByPeer);
    unacknowledgedBytes_ = remaining;
    timer_ = loop_.after(lingerTime_, [this] { checkLinger(); });
}

void Stream::allWritten() {
    if (!lingering_) return end(CloseReason::closedByPeer);
    // Once: each call makes an edge of its own, on which the next would follow, without a pause.
    if (!std::exchange(writeShutDown_, true)) ::shutdown(fd_.get(), SHUT_WR);
}

namespace {

// What recv would say now, with nothing taken.
ssize_t peek(int fd) {
    char byte = 0;
    ssize_t got = 0;
    do got = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    while (got < 0 && errno == EINTR);
    return got;
}

}  // namespace

bool Stream::nothingUnread() const { return !sendBroken_ && peek(fd_.get()) < 0 && wouldBlock(errno); }

bool Stream::peerHasClosed() const {
    if (sendBroken_) return true;
    const ssize_t got = peek(fd_.get());
    if (got <= 0) return got == 0 || (!wouldBlock(errno) && !isResourceShortage(errno));
    // Its end may stand behind what is still to be read.
    pollfd look{fd_.get(), POLLRDHUP, 0};
    int ready = 0;
    do ready = ::poll(&look, 1, 0);
    while (ready < 0 && errno == EINTR);
    return ready > 0 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

Micros Stream::timeSinceLastReceive() const {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(fd_.get(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return Micros{0};
    return std::chrono::milliseconds{info.tcpi_last_data_recv};
}

std::size_t Stream::unacknowledgedBytes() const {
    int unacknowledged = 0;
    if (::ioctl(fd_.get(), SIOCOUTQ, &unacknowledged) != 0) unacknowledged = 0;
    return unsentBytes_ + static_cast<std::size_t>(unacknowledged);
}

void Stream::end(CloseReason reason) {
    if (state_ == State::closed) return;
    close();
    observer_.streamEnded(reason);
}

void Stream::write(std::string bytes) {
    if (state_ == State::closed || bytes.empty()) return;
    unsentBytes_ += bytes.size();
    queue_.push_back(std::move(bytes));
    if (state_ == State::open && queue_.size() == 1) flush();
}

bool Stream::tryWrite(std::string bytes) {
    if (state_ != State::open || !queue_.empty()) return false;
    ssize_t sent = 0;
    do sent = ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    while (sent < 0 && errno == EINTR);
    if (sent < 0) {
        sendFailed(errno);
        return false;
    }
    if (static_cast<std::size_t>(sent) == bytes.size()) return true;
    frontSentBytes_ = static_cast<std::size_t>(sent);
    unsentBytes_ = bytes.size() - frontSentBytes_;
    queue_.push_back(std::move(bytes));
    flush();  // a short write is no word of a full buffer: the next edge may never come
    return true;
}

void Stream::flush() {
    constexpr std::size_t kPieces = 16;
    while (!queue_.empty()) {
        std::array<iovec, kPieces> pieces{};
        std::size_t count = 0;
        for (; count < std::min(kPieces, queue_.size()); ++count) {
            const std::size_t skip = count == 0 ? frontSentBytes_ : 0;
            pieces[count] = {queue_[count].data() + skip, queue_[count].size() - skip};
        }
        msghdr message{};
        message.msg_iov = pieces.data();
        message.msg_iovlen = count;
        const ssize_t sent = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) continue;
        if (sent < 0) return sendFailed(errno);
        unsentBytes_ -= static_cast<std::size_t>(sent);
        frontSentBytes_ += static_cast<std::size_t>(sent);
        while (!queue_.empty() && frontSentBytes_ >= queue_.front().size()) {
            frontSentBytes_ -= queue_.front().size();
            queue_.pop_front();
        }
    }
}

void Stream::sendFailed(int error) {
    if (wouldBlock(error)) return;  // an edge tells when there is room
    if (isResourceShortage(error)) return retryAfterShortage(EPOLLOUT);
    // Told in the next turn, never from within the caller's own write, and after what has come in before the
    // connection broke has been read. Reading may find nothing wrong: Linux tells an error once.
    sendBroken_ = true;
    paused_ = false;
    loop_.callNextTurn(id_, EPOLLIN);
}

// A shortage passes without an edge.
void Stream::retryAfterShortage(std::uint32_t events) {
    retryEvents_ |= events;
    if (retry_) return;
    retry_ = loop_.after(kShortageRetryDelay, [this] {
        retry_.reset();
        loop_.callNextTurn(id_, std::exchange(retryEvents_, 0));
    });
}

void Stream::pauseReading(bool paused) {
    if (paused_ == paused || state_ == State::closed) return;
    paused_ = paused;
    if (!paused && readable_) loop_.callNextTurn(id_, EPOLLIN);
}

std::uint32_t Stream::ready(std::uint32_t events) {
    if (state_ == State::connecting) {
        int problem = 0;
        socklen_t size = sizeof problem;
        ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &problem, &size);
        if (problem != 0) {
            end(CloseReason::connectFailed);
            return 0;
        }
        if ((events & EPOLLOUT) == 0) return 0;
        state_ = State::open;
        observer_.streamOpened();
        if (state_ == State::closed) return 0;
    }
    if ((events & EPOLLERR) != 0 && (events & EPOLLIN) == 0) {
        end(CloseReason::reset);
        return 0;
    }
    if ((events & (EPOLLRDHUP | EPOLLHUP)) != 0) peerClosed_ = true;
    // What it asked for before it left is wanted by nobody: taken now, it would only be sent on.
    if (peerClosed_ && dropInputOnPeerClose_ && !lingering_) {
        end(CloseReason::closedByPeer);
        return 0;
    }
    if ((events & EPOLLOUT) != 0) {
        flush();
        if (state_ == State::open && unsentBytes_ == 0) {
            if (closing_)
                allWritten();
            else
                observer_.streamFlushed();
        }
    }
    if (state_ == State::open && (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP)) != 0) return readAvailable();
    return 0;
}

std::uint32_t Stream::readAvailable() {
    static thread_local std::array<char, kReadChunkBytes> chunk;
    std::size_t all = 0;
    for (int i = 0; i < kMaxReadsPerTurn && all < kMaxBytesPerTurn; ++i) {
        readable_ = true;
        if (paused_) {
            // Its end makes no further edge, and stands behind what is not read: it must not wait for that.
            if (peerClosed_) end(CloseReason::closedByPeer);
            return 0;
        }
        const ssize_t got = ::recv(fd_.get(), chunk.data(), chunk.size(), 0);
        if (got < 0 && errno == EINTR) continue;
        if (got < 0 && wouldBlock(errno)) {
            readable_ = false;
            backloggedSince_.reset();
            if (sendBroken_) end(CloseReason::reset);
            return 0;
        }
        if (got < 0 && isResourceShortage(errno)) {
            retryAfterShortage(EPOLLIN);
            return 0;
        }
        if (got <= 0) {
            end(got == 0 ? CloseReason::closedByPeer : CloseReason::reset);
            return 0;
        }
        all += static_cast<std::size_t>(got);
        if (lingering_) {
            discardedBytes_ += static_cast<std::size_t>(got);
            if (discardedBytes_ <= kMaxDiscardedBytes) continue;
            end(CloseReason::closedByPeer);
            return 0;
        }
        if (!observer_.streamData({chunk.data(), static_cast<std::size_t>(got)})) {
            end(CloseReason::malformed);
            return 0;
        }
        if (state_ == State::closed) return 0;
    }
    if (!backloggedSince_) backloggedSince_ = loop_.now();
    return EPOLLIN;
}

}  // namespace lotuslead::net
