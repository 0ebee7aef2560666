// Calls to agents, as a tool makes them: blocking, one connection a call, on to the next agent where one
// fails.
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
    // Nothing where it can't be reached or breaks off.
    static std::optional<Response> callAgent(const std::string& agent, const std::string& method,
                                             const std::string& target, const std::string& body = {});
    // Any agent will do: one that can't answer names the one that can. Answers of 500 and above, and none,
    // lead to the next agent; that may do a change twice, unless it carries a session.
    Response callAny(const std::string& method, const std::string& target,
                     const std::string& body = {}) const;
    // A change within a session: tried until it is answered for, applied once at most.
    Response commit(nlohmann::json transaction) const;

private:
    std::vector<std::string> agents_;
};

std::string percentEncode(const std::string& text);  // for a target (RFC 3986 2.1)

}  // namespace lotuslead::ctl
