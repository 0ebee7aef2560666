// The operators' HTTP endpoint at an address of its own: /ready, /drain and /undrain.
#pragma once

#include <string>

#include "../net/http_server.hpp"

namespace lotuslead::operators {

// The gateway's operations that the endpoint offers.
class GatewayControl {
public:
    virtual ~GatewayControl() = default;
    virtual bool acceptsClients() const = 0;
    virtual const char* phaseName() const = 0;
    // True if the gateway drains, or accepts clients, from now on or did so already.
    virtual bool drain() = 0;
    virtual bool undrain() = 0;
};

class OperatorServer {
public:
    struct Counters {
        std::uint64_t calls = 0, refused = 0;
    };

    OperatorServer(net::Loop& loop, const settings::Endpoint& at, GatewayControl& gateway);
    std::uint16_t port() const { return server_.port(); }
    const Counters& counters() const { return counters_; }

private:
    net::HttpServer::Response respond(const net::HttpHead& head);

    GatewayControl& gateway_;
    Counters counters_;
    net::HttpServer server_;
};

}  // namespace lotuslead::operators
