#include "listener.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <system_error>
#include <utility>

#include "address.hpp"
#include "system_errors.hpp"

namespace lotuslead::net {

using namespace std::chrono_literals;

namespace {

// Then the new connections are read: when connections are limited, those with a request must be known before
// further ones are accepted.
constexpr int kMaxAcceptsPerTurn = 8;
constexpr Micros kAcceptRetryDelay = 5ms;
constexpr Micros kDescriptorShortageLimit = 500ms;  // then pending clients get a close
constexpr Micros kPreviousAddressOpenFor = 1s;
constexpr int kBacklog = 1024;

// Errors of accept(2) that concern one pending connection only; the next accept may succeed.
bool isPerConnectionError(int error) {
    switch (error) {
        case ECONNABORTED:
        case EPROTO:
        case EPERM:
        case ENETDOWN:
        case ENOPROTOOPT:
        case EHOSTDOWN:
        case ENONET:
        case EHOSTUNREACH:
        case EOPNOTSUPP:
        case ENETUNREACH:
        case ETIMEDOUT:
            return true;
        default:
            return false;
    }
}

}  // namespace

Descriptor listenOn(const settings::Endpoint& at) {
    Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    const sockaddr_in address = socketAddress(at);
    if (!fd || ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd.get(), kBacklog) != 0)
        throw std::system_error(errno, std::generic_category(),
                                "cannot listen at " + at.host + ":" + std::to_string(at.port));
    return fd;
}

Descriptor adoptListeningSocket(const std::string& number, const settings::Endpoint& at) {
    int fd = -1;
    const auto read = std::from_chars(number.data(), number.data() + number.size(), fd);
    if (read.ec != std::errc{} || read.ptr != number.data() + number.size() || fd < 0)
        throw settings::DecodeError("'" + number + "' is no descriptor");
    int listens = 0, kind = 0;
    socklen_t size = sizeof listens;
    if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0 ||
        ::getsockopt(fd, SOL_SOCKET, SO_TYPE, &kind, &size) != 0 || kind != SOCK_STREAM)
        throw settings::DecodeError("descriptor " + number + " is no listening socket");
    sockaddr_in is{};
    const sockaddr_in wanted = socketAddress(at);
    size = sizeof is;
    if (::getsockname(fd, reinterpret_cast<sockaddr*>(&is), &size) != 0 || is.sin_family != AF_INET ||
        is.sin_addr.s_addr != wanted.sin_addr.s_addr || (at.port != 0 && is.sin_port != wanted.sin_port))
        throw settings::DecodeError("descriptor " + number + " does not listen on the field 'listen'");
    // Non-blocking for all processes that share it: one that loses the race for a connection must not block.
    if (::fcntl(fd, F_SETFD, FD_CLOEXEC) != 0 || ::fcntl(fd, F_SETFL, O_NONBLOCK) != 0)
        throw settings::DecodeError("descriptor " + number + " cannot be set up");
    return Descriptor(fd);
}

Listener::Listener(Loop& loop, const settings::Endpoint& at, AcceptCallback onAccept, Priority priority)
    : Listener(loop, listenOn(at), std::move(onAccept), priority) {}

Listener::Listener(Loop& loop, Descriptor listening, AcceptCallback onAccept, Priority priority)
    : loop_(loop),
      fd_(std::move(listening)),
      reserveDescriptor_(::open("/dev/null", O_RDONLY | O_CLOEXEC)),
      onAccept_(std::move(onAccept)),
      id_(loop_.add(fd_.get(), EPOLLIN, *this, priority)) {}

Listener::~Listener() {
    if (retry_) loop_.cancel(*retry_);
    loop_.remove(id_, fd_.get());
}

std::uint16_t Listener::port() const {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

std::uint32_t Listener::ready(std::uint32_t) {
    bool any = false;
    for (int i = 0; i < kMaxAcceptsPerTurn; ++i) {
        Descriptor fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (fd) {
            any = true;
            descriptorShortageSince_.reset();
            onAccept_(std::move(fd));
            continue;
        }
        const int error = errno;
        if (wouldBlock(error)) {  // the queue is empty
            descriptorShortageSince_.reset();
            return 0;
        }
        ++counters_.failures;
        if (error == EINTR || isPerConnectionError(error)) continue;
        return isDescriptorShortage(error) ? handleDescriptorShortage() : retryLater();
    }
    // If every call failed, an immediate retry would be a busy loop.
    return any ? EPOLLIN : retryLater();
}

// Pending connections trigger no further epoll edge, so a timer retries.
std::uint32_t Listener::retryLater() {
    if (!retry_)
        retry_ = loop_.after(kAcceptRetryDelay, [this] {
            retry_.reset();
            loop_.callNextTurn(id_, EPOLLIN);
        });
    return 0;
}

std::uint32_t Listener::handleDescriptorShortage() {
    if (!descriptorShortageSince_) descriptorShortageSince_ = loop_.now();
    if (loop_.now() - *descriptorShortageSince_ >= kDescriptorShortageLimit) closeOneUnread();
    return retryLater();
}

void Listener::closeOneUnread() {
    reserveDescriptor_.reset();
    Descriptor surplus(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC));
    if (surplus) ++counters_.closedUnread;
    surplus.reset();
    reserveDescriptor_.reset(::open("/dev/null", O_RDONLY | O_CLOEXEC));
}

void PreviousListener::replace(std::unique_ptr<Listener>& current, std::unique_ptr<Listener> next) {
    close();  // only one previous address is kept
    listener_ = std::exchange(current, std::move(next));
    timer_ = loop_.after(kPreviousAddressOpenFor, [this] { closeOnceEmpty(); });
}

void PreviousListener::closeOnceEmpty() {
    timer_.reset();
    if (listener_->acceptPending()) return listener_.reset();
    timer_ = loop_.after(kAcceptRetryDelay, [this] { closeOnceEmpty(); });
}

void PreviousListener::close() {
    if (timer_) loop_.cancel(*timer_);
    timer_.reset();
    listener_.reset();
}

}  // namespace lotuslead::net
