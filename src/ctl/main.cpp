// The command-line tool: talks to the agents' control fronts.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "../net/descriptor.hpp"
#include "../net/http.hpp"
#include "../settings/settings.hpp"

namespace {

using namespace lotuslead;

constexpr const char* kUsage =
    "usage: lotusleadctl --agents ADDRESS:PORT[,ADDRESS:PORT...] COMMAND\n"
    "  status                  each agent: its leader, and the instances with "
    "their phases\n"
    "  put NAME AGENT FILE     runs the instance on that agent with that "
    "configuration\n"
    "  delete NAME             stops the instance\n"
    "  ready NAME              whether it takes clients; the exit code says "
    "so, too\n"
    "  drain NAME              sends its clients away; undrain NAME takes them "
    "again\n"
    "  replace NAME            starts a new process beside it that takes "
    "over\n";

struct Response {
    int status = 0;
    std::string body, location;
};

// Nothing where the agent can't be reached or breaks off.
std::optional<Response> ask(const std::string& agent, const std::string& method, const std::string& target,
                            const std::string& body) {
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
    const std::string words = method + " " + target + " HTTP/1.1\r\nHost: " + agent +
                              "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (std::size_t sent = 0; sent < words.size();) {
        const ssize_t some = ::send(fd.get(), words.data() + sent, words.size() - sent, MSG_NOSIGNAL);
        if (some <= 0) return {};
        sent += static_cast<std::size_t>(some);
    }
    net::HttpParser parser(net::HttpParser::Kind::response, {16 * 1024, 16 * 1024 * 1024});
    char chunk[16384];
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

// Any agent will do: one that doesn't lead names the one that does.
int change(const std::vector<std::string>& agents, const std::string& method, const std::string& target,
           const std::string& body) {
    std::string said = "no agent can be reached\n";
    for (std::string agent : agents) {
        auto response = ask(agent, method, target, body);
        if (response && response->status == 307) {
            const std::size_t begin = std::string("http://").size();
            agent = response->location.substr(begin, response->location.find('/', begin) - begin);
            response = ask(agent, method, target, body);
        }
        if (!response) continue;
        said = response->body;
        if (response->status == 200) {
            std::fputs(said.c_str(), stdout);
            return 0;
        }
        if (response->status < 500 && response->status >= 400) break;
    }
    std::fprintf(stderr, "lotusleadctl: %s", said.c_str());
    return 1;
}

int status(const std::vector<std::string>& agents) {
    int reached = 0;
    for (const std::string& agent : agents) {
        const auto response = ask(agent, "GET", "/status", "");
        reached += response ? 1 : 0;
        std::printf("%s\n%s", agent.c_str(), response ? response->body.c_str() : "cannot be reached\n");
    }
    return reached > 0 ? 0 : 1;
}

int run(const std::vector<std::string>& words) {
    if (words.size() < 3 || words[0] != "--agents") return 2;
    std::vector<std::string> agents;
    std::istringstream list(words[1]);
    for (std::string one; std::getline(list, one, ',');) agents.push_back(one);
    const std::string& command = words[2];
    if (command == "status" && words.size() == 3) return status(agents);
    if (command == "ready" && words.size() == 4)
        return change(agents, "GET", "/instances/" + words[3] + "/ready", "");
    if ((command == "drain" || command == "undrain" || command == "replace") && words.size() == 4)
        return change(agents, "POST", "/instances/" + words[3] + "/" + command, "");
    if (command == "delete" && words.size() == 4)
        return change(agents, "DELETE", "/instances/" + words[3], "");
    if (command != "put" || words.size() != 6) return 2;
    std::ifstream file(words[5]);
    const auto configuration = nlohmann::json::parse(file, nullptr, false);
    if (configuration.is_discarded()) throw settings::Malformed("'" + words[5] + "' is no JSON file");
    const nlohmann::json body = {{"agent", std::strtoull(words[4].c_str(), nullptr, 10)},
                                 {"configuration", configuration}};
    return change(agents, "PUT", "/instances/" + words[3], body.dump());
}

}  // namespace

int main(int count, char** words) {
    try {
        const int code = run({words + 1, words + count});
        if (code == 2) std::fputs(kUsage, stderr);
        return code;
    } catch (const settings::Malformed& problem) {
        std::fprintf(stderr, "lotusleadctl: %s\n", problem.what());
        return 2;
    }
}
