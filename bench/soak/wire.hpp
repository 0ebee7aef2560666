// RESP over blocking sockets with time limits, for the soak's clients and stores. It shares no code with the
// gateway, so that a fault of the gateway's parser or streams does not hide itself.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lotuslead::soak {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Millis = std::chrono::milliseconds;
using RespElements = std::vector<std::string>;

std::int64_t unixMs();

class RespSocket {
public:
    enum class Read { message, closed, timedOut, malformed };

    explicit RespSocket(int fd) : fd_(fd) {}
    // Connects on loopback; an object that is not open where that fails.
    static RespSocket connectTo(std::uint16_t port);
    RespSocket(RespSocket&& other) noexcept;
    RespSocket& operator=(RespSocket&& other) noexcept;
    ~RespSocket() { close(); }

    bool open() const { return fd_ >= 0; }
    int fd() const { return fd_; }
    // The peer has closed it, and nothing is left to be read.
    bool endedByPeer() const;
    bool send(const std::string& bytes);
    bool sendMessage(const RespElements& elements) { return send(encoded(elements)); }
    Read read(RespElements& elements, TimePoint until);
    void close();
    void reset();  // as a process that dies

    static std::string encoded(const RespElements& elements);

private:
    enum class Parse { whole, partial, malformed };
    Parse parse(RespElements& elements);

    int fd_;
    std::string buffer_;
};

// A listening socket on loopback; port 0: one of the system's choice.
int listenOnLoopback(std::uint16_t port, int backlog);
// On a port that no outgoing connection gets as its own, so that it can be listened on again after a while.
int listenOnLastingPort(int backlog);
std::uint16_t portOf(int fd);

}  // namespace lotuslead::soak
