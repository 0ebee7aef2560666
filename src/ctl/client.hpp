// Blocking HTTP client for the agents' control addresses. Opens one connection per call, and goes on to the
// next agent when one fails.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lotuslead::ctl {

struct Response {
    int status = 0;  // zero: no agent could be reached
    std::string body, location;
};

class Client {
public:
    explicit Client(std::vector<std::string> agents) : agents_(std::move(agents)) {}

    const std::vector<std::string>& agents() const { return agents_; }
    // Returns nothing if the agent cannot be reached or the connection breaks.
    static std::optional<Response> callAgent(const std::string& agent, const std::string& method,
                                             const std::string& target, const std::string& body = {});
    // Sends the request to any agent, following a redirect to the agent that can serve it. Goes on to the
    // next agent if there is no answer or its status is 500 or above; a change without a session may then
    // be applied twice.
    Response callAny(const std::string& method, const std::string& target,
                     const std::string& body = {}) const;
    // Commits a transaction within a new session, retrying until it is answered. It is applied at most
    // once.
    Response commit(nlohmann::json transaction) const;

private:
    std::vector<std::string> agents_;
};

std::string percentEncode(const std::string& text);  // for use in a request target (RFC 3986 2.1)

}  // namespace lotuslead::ctl
