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
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;  // input discarded while lingering
constexpr Micros kNoProgressTimeout = 3s;  // a lingering peer that acknowledges nothing for so long is closed
constexpr Micros kShortageRetryDelay = 2ms;  // of memory or descriptors
constexpr int kMaxConnectAttempts = 6;       // with increasing delays, 30 ms in all
constexpr std::size_t kMaxBytesPerTurn =
    4 * kReadChunkBytes;                       // bounds the time that one stream takes from the others
constexpr int kMaxReadsPerTurn = 1024;         // also bounds many short reads
constexpr std::size_t kMinQueuedBytes = 4096;  // short writes share a string of the queue up to this size
constexpr int kSendBufferBytes = 256 * 1024;   // without a limit the kernel buffers megabytes per slow client

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

// Retries after a local shortage, in which the peer was not contacted. Failures are reported in a later turn,
// as for a connect that fails asynchronously.
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

// Returns zero if the connection is established or in progress, otherwise an errno.
int Stream::connectOnce() {
    int result = 0;
    do result = ::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&to_), sizeof to_);
    while (result != 0 && errno == EINTR);
    // EALREADY and EISCONN: the interrupted call had started the connect.
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

// The linger time starts once the peer has acknowledged everything, so that a slow reader gets all data. A
// peer that makes no progress for kNoProgressTimeout is closed earlier.
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
    // Only once: each shutdown triggers another epoll edge, which would call this again in a busy loop.
    if (!std::exchange(writeShutDown_, true)) ::shutdown(fd_.get(), SHUT_WR);
}

namespace {

// The result of recv, without consuming data.
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
    // The end may follow data that is still unread.
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

std::size_t Stream::queuedInputBytes() const {
    int queued = 0;
    if (::ioctl(fd_.get(), SIOCINQ, &queued) != 0) queued = 0;
    return static_cast<std::size_t>(queued);
}

void Stream::markQueuedInput() {
    if (!queuedInput_) queuedInput_ = QueuedInput{loop_.now(), loop_.now(), queuedInputBytes()};
}

void Stream::countQueuedInput(std::size_t readBytes) {
    if (!queuedInput_) return;
    if (readBytes < queuedInput_->markedBytes) {
        queuedInput_->markedBytes -= readBytes;
        return;
    }
    *queuedInput_ = {queuedInput_->markedAt, loop_.now(), queuedInputBytes()};
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
    // Many short answers to a slow reader would otherwise take several times their size.
    if (!queue_.empty() && queue_.back().size() + bytes.size() <= kMinQueuedBytes) {
        queue_.back() += bytes;
        return;
    }
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
    flush();  // a short write does not prove a full buffer, so an edge may never come
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
    if (wouldBlock(error)) return;  // an epoll edge follows when there is room
    if (isResourceShortage(error)) return retryAfterShortage(EPOLLOUT);
    // Reported in the next turn, never from within the caller's write, and only after input from before the
    // failure has been read. Linux reports a socket error only once, so the read may not see it.
    sendBroken_ = true;
    paused_ = false;
    loop_.callNextTurn(id_, EPOLLIN);
}

// The end of a shortage triggers no epoll edge, so a timer retries.
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
    // Requests sent before the close have no receiver any more; reading them would only cause upstream load.
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
        const std::size_t limit = paused_ ? 0 : lingering_ ? chunk.size() : observer_.streamReadLimit();
        if (limit == 0) {
            paused_ = true;
            markQueuedInput();
            // The close triggers no further edge and follows unread data; it must not wait until reading
            // resumes.
            if (peerClosed_ || sendBroken_) end(peerClosed_ ? CloseReason::closedByPeer : CloseReason::reset);
            return 0;
        }
        const ssize_t got = ::recv(fd_.get(), chunk.data(), std::min(limit, chunk.size()), 0);
        if (got < 0 && errno == EINTR) continue;
        if (got < 0 && wouldBlock(errno)) {
            readable_ = false;
            queuedInput_.reset();
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
        countQueuedInput(static_cast<std::size_t>(got));
    }
    markQueuedInput();
    return EPOLLIN;
}

}  // namespace lotuslead::net
