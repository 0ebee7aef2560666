// The agent's control front: HTTP/1.1 with JSON, for the command-line tool.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "../net/http.hpp"
#include "../net/loop.hpp"
#include "../net/stream.hpp"

namespace lotuslead::agent {

class Control {
public:
    struct Answer {
        int status = 200;
        std::string body;
        std::string location;  // with 307
    };
    using Reply = std::function<void(Answer)>;
    using Handle = std::function<void(const net::HttpHead& head, const std::string& body, Reply reply)>;

    Control(net::Loop& loop, const settings::Endpoint& at, Handle handle);
    ~Control();

private:
    class Client;

    net::Loop& loop_;
    Handle handle_;
    std::unordered_map<Client*, std::shared_ptr<Client>> clients_;
    net::Listener listener_;
};

}  // namespace lotuslead::agent
