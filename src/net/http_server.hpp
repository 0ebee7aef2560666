// An HTTP/1.1 server with one request per connection, or several in sequence with keep-alive. Connections are
// limited in number and in time, so that clients that never complete a request cannot block others.
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
        std::pair<std::string, std::string> extraHeader;  // sent if its name is not empty
    };
    using SendResponse = std::function<void(Response)>;
    using RequestHandler =
        std::function<void(const HttpHead& head, const std::string& body, SendResponse sendResponse)>;
    struct Limits {
        std::size_t maxConnections = 64;  // above it the oldest connection without a request is closed
        std::size_t maxBodyBytes = 1024 * 1024;
        Micros requestTimeout = std::chrono::seconds{15};  // from connecting, or from the previous response
        bool keepAlive = false;                            // allow further requests on a connection
    };

    HttpServer(Loop& loop, const settings::Endpoint& at, Limits limits, Priority priority,
               RequestHandler onRequest);
    ~HttpServer();
    std::uint16_t port() const { return listener_.port(); }

private:
    class Connection;

    void accept(Descriptor fd);
    void removeConnection(Connection* connection);

    Loop& loop_;
    Limits limits_;
    Priority priority_;
    RequestHandler onRequest_;
    std::list<std::shared_ptr<Connection>> connections_;  // in order of connecting
    Listener listener_;
};

}  // namespace lotuslead::net
