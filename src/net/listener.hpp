// A listening socket that keeps accepting through shortages of memory or descriptors.
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

// Adopts an inherited listening socket by its descriptor number. Throws settings::DecodeError, without the
// name of a field, if it is not a listening socket or has another address (port 0 matches any port).
Descriptor adoptListeningSocket(const std::string& number, const settings::Endpoint& at);

// Retries a failing accept, since a pending connection must get an answer: at once if that connection itself
// failed, after a delay if a resource is short. After a long shortage of descriptors it accepts and closes
// pending connections with a reserved descriptor.
class Listener : public Handler {
public:
    using AcceptCallback = std::function<void(Descriptor)>;
    struct Counters {
        std::uint64_t failures = 0;      // failed accept calls, apart from an empty queue
        std::uint64_t closedUnread = 0;  // connections closed for lack of descriptors
    };

    Listener(Loop& loop, const settings::Endpoint& at, AcceptCallback onAccept,
             Priority priority = Priority::normal);
    // Takes a socket that listens already. Other processes may share it: they may accept a pending connection
    // first, and the socket must only be closed, never shut down.
    Listener(Loop& loop, Descriptor listening, AcceptCallback onAccept, Priority priority = Priority::normal);
    ~Listener() override;

    std::uint16_t port() const;
    const Counters& counters() const { return counters_; }
    // Accepts pending connections; false if there may be more.
    bool acceptPending() { return ready(EPOLLIN) == 0 && !retry_; }
    std::uint32_t ready(std::uint32_t events) override;

private:
    std::uint32_t retryLater();
    std::uint32_t handleDescriptorShortage();
    void closeOneUnread();

    Loop& loop_;
    Descriptor fd_;
    Descriptor reserveDescriptor_;  // closed for a moment to accept a connection when none is left
    AcceptCallback onAccept_;
    Loop::HandlerId id_ = 0;
    std::optional<Loop::TimerKey> retry_;
    std::optional<Micros> descriptorShortageSince_;  // start of the current descriptor shortage
    Counters counters_;
};

// Keeps the socket at the previous address open for a while after the address has changed, so that clients
// that are just connecting there are still served.
class PreviousListener {
public:
    explicit PreviousListener(Loop& loop) : loop_(loop) {}
    ~PreviousListener() { close(); }

    // Sets `current` to `next` and keeps the replaced listener open.
    void replace(std::unique_ptr<Listener>& current, std::unique_ptr<Listener> next);
    void close();
    bool acceptPending() { return !listener_ || listener_->acceptPending(); }

private:
    void closeOnceEmpty();

    Loop& loop_;
    std::unique_ptr<Listener> listener_;
    std::optional<Loop::TimerKey> timer_;
};

}  // namespace lotuslead::net
