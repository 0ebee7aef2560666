#include "handover.hpp"

#include <sys/socket.h>
#include <sys/un.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>
#include <vector>

namespace lotuslead::gateway {

using namespace std::chrono_literals;

namespace {

// The protocol version is part of the socket's name and of the first message, so that processes with
// different versions do not meet. A HELLO of another version on this socket is not answered, but its sender
// stays connected and is included when processes are next counted.
constexpr const char* kSocketPathSuffix = "/lotuslead-1.sock";
constexpr const char* kProtocolVersion = "1";
// Elements of a message, bytes of one element, and bytes of all elements together.
constexpr net::RespParser::Limits kMessageLimits{2, 2 * 1024 * 1024, 2 * 1024 * 1024};
// Without the predecessor's state by then, this process starts cold: the platform waits 6 s for the whole
// start.
constexpr net::Micros kStateTimeout = 700ms;

bool setPath(const std::string& path, sockaddr_un& address) {
    address = {};
    address.sun_family = AF_UNIX;
    if (path.size() >= sizeof address.sun_path) return false;
    std::memcpy(address.sun_path, path.data(), path.size());
    return true;
}

net::Descriptor unixSocket() {
    return net::Descriptor(::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

}  // namespace

class HandoverChannel::Peer : public net::Stream::Observer {
public:
    Peer(HandoverChannel& owner, net::Descriptor fd)
        : owner_(owner), stream_(owner.loop_, std::move(fd), *this) {}

    void send(std::initializer_list<std::string_view> message) {
        std::string text;
        net::appendResp(text, message);
        stream_.write(std::move(text));
    }

private:
    bool streamData(std::string_view data) override {
        while (!data.empty()) {
            const auto status = parser_.feed(data);
            if (status == net::RespParser::Status::malformed) return false;
            if (status == net::RespParser::Status::message) owner_.onMessage(*this, parser_.takeMessage());
            if (stream_.closed()) return true;
        }
        return true;
    }
    void streamEnded(net::Stream::CloseReason) override { owner_.onPeerClosed(*this); }

    HandoverChannel& owner_;
    net::RespParser parser_{kMessageLimits};
    net::Stream stream_;
};

HandoverChannel::~HandoverChannel() {
    if (stateTimer_) loop_.cancel(*stateTimer_);
}

void HandoverChannel::open(const char* folder) {
    if (!folder) return;
    const std::string path = std::string(folder) + kSocketPathSuffix;
    connect(path);
    listen(folder, path);
}

// The socket of a dead process refuses the connection at once.
void HandoverChannel::connect(const std::string& path) {
    sockaddr_un address{};
    net::Descriptor fd = unixSocket();
    if (!fd || !setPath(path, address)) return;
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return;
    predecessor_ = std::make_shared<Peer>(*this, std::move(fd));
    stateTimer_ = loop_.after(kStateTimeout, [this] { stateTimer_.reset(); });
    predecessor_->send({"HELLO", kProtocolVersion});
    reportProcessCount();
}

// Binds a socket under its own name and renames it over the shared one, so that there is always a socket to
// connect to.
void HandoverChannel::listen(const std::string& folder, const std::string& path) {
    const std::string own = folder + "/lotuslead-" + std::to_string(::getpid()) + ".sock";
    sockaddr_un address{};
    ::unlink(own.c_str());
    errno = 0;  // so that openError_ never reports the unlink
    net::Descriptor fd = unixSocket();
    if (!fd || !setPath(path, address) || !setPath(own, address) ||
        ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd.get(), 4) != 0 || ::rename(own.c_str(), path.c_str()) != 0) {
        openError_ = errno != 0 ? std::strerror(errno) : "its path is too long";
        ::unlink(own.c_str());
        return;
    }
    listener_ = std::make_unique<net::Listener>(loop_, std::move(fd), [this](net::Descriptor from) {
        if (successor_) return;  // one at a time; a further one connects to the successor
        successor_ = std::make_shared<Peer>(*this, std::move(from));
    });
}

void HandoverChannel::onMessage(Peer& peer, const std::vector<std::string>& message) {
    const bool fromSuccessor = successor_.get() == &peer;
    if (fromSuccessor && message[0] == "HELLO" && message.size() == 2 && message[1] == kProtocolVersion) {
        successor_->send({"STATE", delegate_.exportState()});
        reportProcessCount();
    } else if (fromSuccessor && message[0] == "SERVING") {
        successorServes_ = true;
    } else if (!fromSuccessor && message[0] == "STATE" && message.size() == 2 && stateTimer_) {
        stopStateTimer();
        delegate_.importState(message[1]);
    }
}

void HandoverChannel::onPeerClosed(Peer& peer) {
    const bool isSuccessor = successor_.get() == &peer;
    auto& ending = isSuccessor ? successor_ : predecessor_;
    if (isSuccessor) successorServes_ = false;
    if (!isSuccessor) stopStateTimer();
    loop_.destroyAfterTurn(std::exchange(ending, nullptr));
    reportProcessCount();
}

void HandoverChannel::announceServing() {
    if (predecessor_) predecessor_->send({"SERVING"});
}

void HandoverChannel::reportProcessCount() {
    delegate_.processCountChanged(1 + (predecessor_ ? 1 : 0) + (successor_ ? 1 : 0));
}

void HandoverChannel::stopStateTimer() {
    if (stateTimer_) loop_.cancel(*stateTimer_);
    stateTimer_.reset();
}

}  // namespace lotuslead::gateway
