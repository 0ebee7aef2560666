#include "http_server.hpp"

#include <algorithm>

namespace lotuslead::net {

namespace {

using namespace std::chrono_literals;

constexpr Micros kLingerTime = 500ms;  // for the peer to read the response
constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;

const char* reasonOf(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 307:
            return "Temporary Redirect";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 409:
            return "Conflict";
        case 410:
            return "Gone";
        case 503:
            return "Service Unavailable";
        default:
            return "Error";
    }
}

}  // namespace

class HttpServer::Connection : public Stream::Observer, public std::enable_shared_from_this<Connection> {
public:
    Connection(HttpServer& owner, Descriptor fd)
        : owner_(owner),
          parser_(makeParser()),
          timer_(makeTimer()),
          stream_(owner.loop_, std::move(fd), *this, owner.priority_) {}
    ~Connection() override { owner_.loop_.cancel(timer_); }

    bool requestReceived() const { return requestReceived_; }
    bool responded() const { return responded_; }
    void end() {
        stream_.close();
        owner_.removeConnection(this);
    }

private:
    bool streamData(std::string_view data) override {
        if (responded_ && keepAlive_) finish();  // the next request came in the turn of the response
        // Data after a request ends a keep-alive connection as malformed; otherwise it is ignored.
        if (requestReceived_) return !keepAlive_;
        const auto status = parser_.feed(data);
        if (status == HttpParser::Status::needMore) return true;
        requestReceived_ = true;
        if (status != HttpParser::Status::message) {
            respond({400, "malformed request\n", {}});
            return true;
        }
        keepAlive_ = owner_.limits_.keepAlive && parser_.head().keepAlive();
        if (keepAlive_ && !data.empty()) return false;
        owner_.onRequest_(parser_.head(), parser_.body(),
                          [self = weak_from_this()](const Response& response) {
                              if (const auto connection = self.lock()) connection->respond(response);
                          });
        return true;
    }
    void respond(const Response& response) {
        responded_ = true;
        std::string head =
            "HTTP/1.1 " + std::to_string(response.status) + " " + reasonOf(response.status) + "\r\n";
        if (!response.extraHeader.first.empty())
            head += response.extraHeader.first + ": " + response.extraHeader.second + "\r\n";
        head +=
            "Content-Type: text/plain\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n";
        if (!keepAlive_) head += "Connection: close\r\n";
        stream_.write(head + "\r\n" + response.body);
        owner_.loop_.post([self = weak_from_this()] {
            if (const auto connection = self.lock()) connection->finish();
        });
    }
    // Must not run while a request is being parsed or handled, since it replaces the parser.
    void finish() {
        if (!responded_) return;
        if (!keepAlive_) return stream_.closeLingering(kLingerTime);
        requestReceived_ = responded_ = false;
        parser_ = makeParser();
        owner_.loop_.cancel(timer_);
        timer_ = makeTimer();
    }
    HttpParser makeParser() const {
        return {HttpParser::Kind::request, {kMaxHeadBytes, owner_.limits_.maxBodyBytes}};
    }
    Loop::TimerKey makeTimer() {
        return owner_.loop_.after(owner_.limits_.requestTimeout, [this] { end(); });
    }
    void streamEnded(Stream::CloseReason) override { end(); }

    HttpServer& owner_;
    HttpParser parser_;
    bool requestReceived_ = false, responded_ = false;
    bool keepAlive_ = false;  // another request may follow
    Loop::TimerKey timer_;
    Stream stream_;
};

HttpServer::HttpServer(Loop& loop, const settings::Endpoint& at, Limits limits, Priority priority,
                       RequestHandler onRequest)
    : loop_(loop),
      limits_(limits),
      priority_(priority),
      onRequest_(std::move(onRequest)),
      listener_(
          loop, at, [this](Descriptor fd) { accept(std::move(fd)); }, priority) {}

HttpServer::~HttpServer() = default;

void HttpServer::accept(Descriptor fd) {
    if (connections_.size() >= limits_.maxConnections) {
        auto idle = std::find_if(connections_.begin(), connections_.end(),
                                 [](const auto& connection) { return !connection->requestReceived(); });
        if (idle == connections_.end())
            idle = std::find_if(connections_.begin(), connections_.end(),
                                [](const auto& connection) { return connection->responded(); });
        if (idle == connections_.end()) return;  // all have a request in progress
        const auto held = *idle;
        held->end();
    }
    connections_.push_back(std::make_shared<Connection>(*this, std::move(fd)));
}

void HttpServer::removeConnection(Connection* connection) {
    const auto found = std::find_if(connections_.begin(), connections_.end(),
                                    [&](const auto& held) { return held.get() == connection; });
    if (found == connections_.end()) return;
    loop_.destroyAfterTurn(*found);
    connections_.erase(found);
}

}  // namespace lotuslead::net
