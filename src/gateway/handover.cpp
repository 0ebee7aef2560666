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

// In the name and in the first word: processes of unlike versions do not meet.
constexpr const char* kName = "/lotuslead-1.sock";
constexpr const char* kVersion = "1";
constexpr net::RespParser::Limits kLimits{2, 2 * 1024 * 1024, 2 * 1024 * 1024};
constexpr net::Micros kHandOver = 700ms;  // then it is a cold start: the platform waits 6 s in all

bool addressOf(const std::string& path, sockaddr_un& address) {
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

class Meeting::Peer : public net::Stream::Observer {
public:
    Peer(Meeting& owner, net::Descriptor fd) : owner_(owner), stream_(owner.loop_, std::move(fd), *this) {}

    void say(std::initializer_list<std::string_view> words) {
        std::string text;
        net::appendResp(text, words);
        stream_.write(std::move(text));
    }

private:
    bool streamData(std::string_view data) override {
        while (!data.empty()) {
            const auto status = parser_.feed(data);
            if (status == net::RespParser::Status::malformed) return false;
            if (status == net::RespParser::Status::message) owner_.received(*this, parser_.takeMessage());
            if (stream_.closed()) return true;
        }
        return true;
    }
    void streamEnded(net::Stream::CloseReason) override { owner_.ended(*this); }

    Meeting& owner_;
    net::RespParser parser_{kLimits};
    net::Stream stream_;
};

Meeting::~Meeting() {
    if (wait_) loop_.cancel(*wait_);
}

void Meeting::open(const char* folder) {
    if (!folder) return;
    const std::string path = std::string(folder) + kName;
    connect(path);
    listen(folder, path);
}

// Nobody listens at what a dead process left: the connect is refused at once.
void Meeting::connect(const std::string& path) {
    sockaddr_un address{};
    net::Descriptor fd = unixSocket();
    if (!fd || !addressOf(path, address)) return;
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return;
    predecessor_ = std::make_shared<Peer>(*this, std::move(fd));
    wait_ = loop_.after(kHandOver, [this] { wait_.reset(); });
    predecessor_->say({"HELLO", kVersion});
    count();
}

// Bound under a name of its own and renamed, so that there is never a moment without a place to meet.
void Meeting::listen(const std::string& folder, const std::string& path) {
    const std::string own = folder + "/lotuslead-" + std::to_string(::getpid()) + ".sock";
    sockaddr_un address{};
    ::unlink(own.c_str());
    errno = 0;  // what is told is why there is no socket, not that there was nothing to unlink
    net::Descriptor fd = unixSocket();
    if (!fd || !addressOf(path, address) || !addressOf(own, address) ||
        ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd.get(), 4) != 0 || ::rename(own.c_str(), path.c_str()) != 0) {
        problem_ = errno != 0 ? std::strerror(errno) : "its path is too long";
        ::unlink(own.c_str());
        return;
    }
    listener_ = std::make_unique<net::Listener>(loop_, std::move(fd), [this](net::Descriptor from) {
        if (successor_) return;  // one at a time; a further one meets the successor
        successor_ = std::make_shared<Peer>(*this, std::move(from));
    });
}

void Meeting::received(Peer& peer, const std::vector<std::string>& words) {
    const bool fromSuccessor = successor_.get() == &peer;
    if (fromSuccessor && words[0] == "HELLO" && words.size() == 2 && words[1] == kVersion) {
        successor_->say({"STATE", desk_.handOver()});
        count();
    } else if (fromSuccessor && words[0] == "SERVING") {
        successorServes_ = true;
    } else if (!fromSuccessor && words[0] == "STATE" && words.size() == 2 && wait_) {
        stopWaiting();
        desk_.takeOver(words[1]);
    }
}

void Meeting::ended(Peer& peer) {
    const bool isSuccessor = successor_.get() == &peer;
    auto& ending = isSuccessor ? successor_ : predecessor_;
    if (isSuccessor) successorServes_ = false;
    if (!isSuccessor) stopWaiting();
    loop_.destroyAfterTurn(std::exchange(ending, nullptr));
    count();
}

void Meeting::serving() {
    if (predecessor_) predecessor_->say({"SERVING"});
}

void Meeting::count() { desk_.processesChanged(1 + (predecessor_ ? 1 : 0) + (successor_ ? 1 : 0)); }

void Meeting::stopWaiting() {
    if (wait_) loop_.cancel(*wait_);
    wait_.reset();
}

}  // namespace lotuslead::gateway
