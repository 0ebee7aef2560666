#include "wire.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace lotuslead::soak {

namespace {

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return at;
}

int millisUntil(TimePoint until) {
    const auto left = std::chrono::ceil<Millis>(until - Clock::now()).count();
    return left > 0 ? static_cast<int>(left) : 0;
}

}  // namespace

std::int64_t unixMs() {
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

RespSocket RespSocket::connectTo(std::uint16_t port) {
    RespSocket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in to = loopback(port);
    if (!socket.open() || ::connect(socket.fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
        socket.close();
    const int on = 1;
    if (socket.open()) ::setsockopt(socket.fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

RespSocket::RespSocket(RespSocket&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), buffer_(std::move(other.buffer_)) {}

RespSocket& RespSocket::operator=(RespSocket&& other) noexcept {
    close();
    fd_ = std::exchange(other.fd_, -1);
    buffer_ = std::move(other.buffer_);
    return *this;
}

void RespSocket::close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
}

void RespSocket::reset() {
    const linger now{1, 0};
    if (fd_ >= 0) ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

bool RespSocket::endedByPeer() const {
    char byte;
    const ssize_t got = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

bool RespSocket::send(const std::string& bytes) {
    std::size_t sent = 0;
    while (fd_ >= 0 && sent < bytes.size()) {
        const ssize_t now = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (now < 0 && errno == EINTR) continue;
        if (now <= 0) return false;
        sent += static_cast<std::size_t>(now);
    }
    return fd_ >= 0;
}

std::string RespSocket::encoded(const RespElements& elements) {
    std::string text = "*" + std::to_string(elements.size()) + "\r\n";
    for (const std::string& element : elements)
        text += "$" + std::to_string(element.size()) + "\r\n" + element + "\r\n";
    return text;
}

RespSocket::Read RespSocket::read(RespElements& elements, TimePoint until) {
    for (;;) {
        const Parse parsed = parse(elements);
        if (parsed == Parse::whole) return Read::message;
        if (parsed == Parse::malformed) return Read::malformed;
        pollfd waits{fd_, POLLIN, 0};
        const int ready = ::poll(&waits, 1, millisUntil(until));
        if (ready < 0 && errno == EINTR) continue;
        if (ready <= 0) return Read::timedOut;
        char chunk[65536];
        const ssize_t got = ::recv(fd_, chunk, sizeof chunk, 0);
        if (got < 0 && errno == EINTR) continue;
        if (got <= 0) return Read::closed;
        buffer_.append(chunk, static_cast<std::size_t>(got));
    }
}

RespSocket::Parse RespSocket::parse(RespElements& elements) {
    std::size_t at = 0;
    const auto number = [&](char kind, long& value) {
        const std::size_t end = buffer_.find("\r\n", at);
        if (end == std::string::npos) return Parse::partial;
        if (buffer_[at] != kind) return Parse::malformed;
        value = std::strtol(buffer_.c_str() + at + 1, nullptr, 10);
        at = end + 2;
        return value < 0 ? Parse::malformed : Parse::whole;
    };
    long count = 0;
    if (const Parse head = number('*', count); head != Parse::whole) return head;
    elements.clear();
    for (long i = 0; i < count; ++i) {
        long size = 0;
        if (const Parse head = number('$', size); head != Parse::whole) return head;
        const auto bytes = static_cast<std::size_t>(size);
        if (buffer_.size() < at + bytes + 2) return Parse::partial;
        elements.push_back(buffer_.substr(at, bytes));
        at += bytes + 2;
    }
    buffer_.erase(0, at);
    return Parse::whole;
}

int listenOnLoopback(std::uint16_t port, int backlog) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = loopback(port);
    if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(fd, backlog) != 0) {
        ::close(fd);
        throw std::runtime_error("soak: cannot listen on loopback port " + std::to_string(port));
    }
    return fd;
}

int listenOnLastingPort(int backlog) {
    constexpr int kFirst = 10'000, kLast = 30'000;  // below Linux's range for outgoing connections
    static std::atomic<int> next{kFirst + ::getpid() * 37 % (kLast - kFirst)};
    for (int tries = 0; tries < kLast - kFirst; ++tries) {
        const int port = kFirst + (next++ - kFirst) % (kLast - kFirst);
        try {
            return listenOnLoopback(static_cast<std::uint16_t>(port), backlog);
        } catch (const std::runtime_error&) {
            continue;  // somebody else's
        }
    }
    throw std::runtime_error("soak: no port is free");
}

std::uint16_t portOf(int fd) {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    return ntohs(at.sin_port);
}

}  // namespace lotuslead::soak
