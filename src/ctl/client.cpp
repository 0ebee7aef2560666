#include "client.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <chrono>
#include <thread>

#include "../net/descriptor.hpp"
#include "../net/http.hpp"
#include "../settings/settings.hpp"

namespace lotuslead::ctl {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr auto kChangeTimeout = 15s;  // an election takes 1 to 3 s
constexpr auto kRetryDelay = 200ms;

}  // namespace

std::string percentEncode(const std::string& text) {
    std::string result;
    for (const char c : text) {
        const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                           std::string_view("-._~/").find(c) != std::string_view::npos;
        char code[4];
        std::snprintf(code, sizeof code, "%%%02X", static_cast<unsigned char>(c));
        result += plain ? std::string(1, c) : code;
    }
    return result;
}

std::optional<Response> Client::callAgent(const std::string& agent, const std::string& method,
                                          const std::string& target, const std::string& body) {
    const settings::Endpoint to = settings::readEndpoint(agent, "--agents");
    const net::Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const timeval limit{10, 0};
    ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(fd.get(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    ::inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
    if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) return {};
    const std::string request = method + " " + target + " HTTP/1.1\r\nHost: " + agent +
                                "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (std::size_t sent = 0; sent < request.size();) {
        const ssize_t count = ::send(fd.get(), request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) return {};
        sent += static_cast<std::size_t>(count);
    }
    net::HttpParser parser(net::HttpParser::Kind::response, {16 * 1024, std::size_t{256} << 20});
    char chunk[65536];
    for (ssize_t got; (got = ::recv(fd.get(), chunk, sizeof chunk, 0)) > 0;) {
        std::string_view data(chunk, static_cast<std::size_t>(got));
        const auto status = parser.feed(data);
        if (status == net::HttpParser::Status::needMore) continue;
        if (status != net::HttpParser::Status::message) return {};
        const std::string* location = parser.head().field("location");
        return Response{parser.head().status, parser.body(), location ? *location : ""};
    }
    return {};
}

Response Client::callAny(const std::string& method, const std::string& target,
                         const std::string& body) const {
    Response last{0, "no agent can be reached\n", {}};
    for (std::string agent : agents_) {
        auto response = callAgent(agent, method, target, body);
        if (response && response->status == 307) {
            const std::size_t begin = std::string("http://").size();
            agent = response->location.substr(begin, response->location.find('/', begin) - begin);
            response = callAgent(agent, method, target, body);
        }
        if (!response) continue;
        // A later agent's refusal says nothing about a change that an earlier agent may have started.
        const bool begun = last.body.rfind("unknown", 0) == 0 && response->status == 503;
        if (!begun) last = std::move(*response);
        // Redirected twice: the leader has changed meanwhile, and the next agent may know the new one.
        if (last.status < 500 && last.status != 307) break;
    }
    return last;
}

Response Client::commit(json transaction) const {
    const auto until = std::chrono::steady_clock::now() + kChangeTimeout;
    Response answer;
    while (std::chrono::steady_clock::now() < until) {
        if (!transaction.contains("session")) {
            answer = callAny("POST", "/sessions");
            if (answer.status == 200) {
                transaction["session"] = json::parse(answer.body).at("revision");
                transaction["sequence"] = 1;
                continue;
            }
        } else {
            answer = callAny("POST", "/config", transaction.dump());
        }
        // Refused or lost: the session makes it safe to send the same request again.
        if (answer.status != 0 && answer.status != 503 && answer.status != 307) return answer;
        std::this_thread::sleep_for(kRetryDelay);
    }
    return answer;
}

}  // namespace lotuslead::ctl
