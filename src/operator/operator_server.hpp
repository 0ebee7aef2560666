// The operators' door: a second address, for the calls that staff and their tools make.
#pragma once

#include <string>

#include "../net/http_server.hpp"

namespace lotuslead::operators {

// What the door asks of the gateway.
class Desk {
public:
    virtual ~Desk() = default;
    virtual bool takesClients() const = 0;
    virtual const char* phaseName() const = 0;
    // True: it is so from now on, or was already.
    virtual bool drain() = 0;
    virtual bool undrain() = 0;
};

class Door {
public:
    struct Counters {
        std::uint64_t calls = 0, refused = 0;
    };

    Door(net::Loop& loop, const settings::Endpoint& at, Desk& desk);
    std::uint16_t port() const { return server_.port(); }
    const Counters& counters() const { return counters_; }

private:
    net::HttpServer::Response answer(const net::HttpHead& head);

    Desk& desk_;
    Counters counters_;
    net::HttpServer server_;
};

}  // namespace lotuslead::operators
