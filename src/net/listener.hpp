// A listening socket: accepts what waits, and goes on where the system is short of memory or descriptors.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "../settings/settings.hpp"
#include "loop.hpp"

namespace lotuslead::net {

Descriptor listenOn(const settings::Endpoint& at);  // throws std::system_error

// A listening socket that was inherited; throws settings::Malformed, with the reason alone, where the
// descriptor is not one or has another address (port 0 stands for any).
Descriptor adoptListeningSocket(const std::string& number, const settings::Endpoint& at);

// A connection that waits is owed an answer, so a failing accept is tried again: at once where Linux says
// that the connection itself is gone, after a pause where something is short. Only where no descriptor is to
// be had for long is a connection taken and closed unread.
class Listener : public Handler {
public:
    using AcceptCallback = std::function<void(Descriptor)>;
    struct Counters {
        std::uint64_t failures = 0;      // accept calls that failed for anything but an empty queue
        std::uint64_t closedUnread = 0;  // connections closed since no descriptor was to be had
    };

    Listener(Loop& loop, const settings::Endpoint& at, AcceptCallback onAccept,
             Priority priority = Priority::normal);
    // One that listens already. Other processes may share it: a connection that was there may be gone, and it
    // is only ever closed, never shut down.
    Listener(Loop& loop, Descriptor listening, AcceptCallback onAccept, Priority priority = Priority::normal);
    ~Listener() override;

    std::uint16_t port() const;
    const Counters& counters() const { return counters_; }
    // Takes in connections that wait; false: there may be more.
    bool acceptPending() { return ready(EPOLLIN) == 0 && !retry_; }
    std::uint32_t ready(std::uint32_t events) override;

private:
    std::uint32_t retryLater();
    std::uint32_t handleDescriptorShortage();
    void closeOneUnread();

    Loop& loop_;
    Descriptor fd_;
    Descriptor reserveDescriptor_;  // given up for a moment to accept and close when no descriptor is left
    AcceptCallback onAccept_;
    Loop::HandlerId id_ = 0;
    std::optional<Loop::TimerKey> retry_;
    std::optional<Micros> descriptorShortageSince_;  // of descriptors, without a success since
    Counters counters_;
};

// Where the address has moved: the socket at the old one goes on for a while, since whoever has connected
// there, or is about to, is owed an answer.
class PreviousListener {
public:
    explicit PreviousListener(Loop& loop) : loop_(loop) {}
    ~PreviousListener() { close(); }

    // `current` becomes `next`, and what it was is kept open.
    void replace(std::unique_ptr<Listener>& current, std::unique_ptr<Listener> next);
    void close();
    bool settled() { return !listener_ || listener_->acceptPending(); }

private:
    void closeOnceEmpty();

    Loop& loop_;
    std::unique_ptr<Listener> listener_;
    std::optional<Loop::TimerKey> timer_;
};

}  // namespace lotuslead::net
