// RESP over blocking sockets with timeouts, for the soak's clients and stores. It shares no code with the
// gateway, so that a bug in the gateway's parser or streams cannot hide itself.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lotuslead::soak {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Millis = std::chrono::milliseconds;
using RespMessage = std::vector<std::string>;

std::int64_t unixMs();

class RespSocket {
public:
    enum class Read { message, closed, timedOut, malformed };

    explicit RespSocket(int fd) : fd_(fd) {}
    // Connects on loopback; if that fails, the result is not open().
    static RespSocket connectTo(std::uint16_t port);
    RespSocket(RespSocket&& other) noexcept;
    RespSocket& operator=(RespSocket&& other) noexcept;
    ~RespSocket() { close(); }

    bool open() const { return fd_ >= 0; }
    int fd() const { return fd_; }
    // The peer has closed the connection and no data is left to read.
    bool closedByPeer() const;
    bool send(const std::string& bytes);
    bool sendMessage(const RespMessage& message) { return send(encoded(message)); }
    Read read(RespMessage& message, TimePoint until);
    void close();
    void reset();  // closes with a TCP reset, like a crashed process

    static std::string encoded(const RespMessage& message);

private:
    enum class Parse { whole, partial, malformed };
    Parse parse(RespMessage& message);

    int fd_;
    std::string buffer_;
};

// Returns a listening socket on loopback; port 0 lets the system choose the port.
int listenOnLoopback(std::uint16_t port, int backlog);
// Listens on a port outside the ephemeral range, so that no outgoing connection takes it while its owner is
// down.
int listenOnNonEphemeralPort(int backlog);
std::uint16_t portOf(int fd);

}  // namespace lotuslead::soak
