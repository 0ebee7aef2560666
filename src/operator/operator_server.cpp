#include "operator_server.hpp"

namespace lotuslead::operators {

namespace {

using namespace std::chrono_literals;

// Clients that connect without completing a request must not block others, which wait 1 s.
constexpr net::HttpServer::Limits kLimits{24, 4 * 1024, 3s};

}  // namespace

OperatorServer::OperatorServer(net::Loop& loop, const settings::Endpoint& at, GatewayControl& gateway)
    : gateway_(gateway),
      server_(loop, at, kLimits, net::Priority::high,
              [this](const net::HttpHead& head, const std::string&, net::HttpServer::SendResponse reply) {
                  net::HttpServer::Response response = respond(head);
                  ++(response.status == 200 ? counters_.calls : counters_.refused);
                  reply(std::move(response));
              }) {}

net::HttpServer::Response OperatorServer::respond(const net::HttpHead& head) {
    const std::string path = head.target.substr(0, head.target.find('?'));
    const bool ready = path == "/ready", drain = path == "/drain", undrain = path == "/undrain";
    if (!ready && !drain && !undrain) return {404, "unknown path\n", {}};
    if (head.method != (ready ? "GET" : "POST"))
        return {405, "method not allowed\n", {"Allow", ready ? "GET" : "POST"}};
    const bool succeeded = ready ? gateway_.acceptsClients() : drain ? gateway_.drain() : gateway_.undrain();
    return {succeeded ? 200 : ready ? 503 : 409, std::string(gateway_.phaseName()) + "\n", {}};
}

}  // namespace lotuslead::operators
