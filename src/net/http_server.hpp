// Serves HTTP/1.1: one call a connection, such as people's tools make, or call after call, as programs do
// that ask all day. Callers are bounded in number and time, so that those who finish no call keep nobody else
// out.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "http.hpp"
#include "listener.hpp"
#include "loop.hpp"
#include "stream.hpp"

namespace lotuslead::net {

class HttpServer {
public:
    struct Response {
        int status = 200;
        std::string body;
        std::pair<std::string, std::string>
            extraHeader;  // one further field of the head, where its name is given
    };
    using SendResponse = std::function<void(Response)>;
    using RequestHandler =
        std::function<void(const HttpHead& head, const std::string& body, SendResponse sendResponse)>;
    struct Limits {
        std::size_t maxConnections = 64;  // beyond it the one that has asked nothing for longest makes room
        std::size_t maxBodyBytes = 1024 * 1024;
        Micros requestTimeout =
            std::chrono::seconds{15};  // from connecting, or the answer before, to the answer
        bool keepAlive = false;        // whoever wants to may ask again on its connection
    };

    HttpServer(Loop& loop, const settings::Endpoint& at, Limits limits, Priority priority,
               RequestHandler onRequest);
    ~HttpServer();
    std::uint16_t port() const { return listener_.port(); }

private:
    class Connection;

    void accept(Descriptor fd);
    void forget(Connection* connection);

    Loop& loop_;
    Limits limits_;
    Priority priority_;
    RequestHandler onRequest_;
    std::list<std::shared_ptr<Connection>> connections_;  // by the time at which they connected
    Listener listener_;
};

}  // namespace lotuslead::net
