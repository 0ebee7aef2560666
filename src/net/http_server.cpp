#include "http_server.hpp"

#include <algorithm>

namespace lotuslead::net {

namespace {

using namespace std::chrono_literals;

constexpr Micros kGentle = 500ms;  // for the answer to be read before the close
constexpr std::size_t kLargestHead = std::size_t{16} * 1024;

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

class HttpServer::Caller : public Stream::Observer, public std::enable_shared_from_this<Caller> {
public:
    Caller(HttpServer& owner, Descriptor fd)
        : owner_(owner),
          parser_(makeParser()),
          timer_(makeTimer()),
          stream_(owner.loop_, std::move(fd), *this, owner.priority_) {}
    ~Caller() override { owner_.loop_.cancel(timer_); }

    bool asked() const { return asked_; }
    bool answered() const { return answered_; }
    void end() {
        stream_.close();
        owner_.forget(this);
    }

private:
    bool streamData(std::string_view data) override {
        if (answered_ && keepsAlive_) finish();  // the caller was quicker than the end of the turn
        // Who is to be answered may say nothing more, but what comes behind a last call is only dropped.
        if (asked_) return !keepsAlive_;
        const auto status = parser_.feed(data);
        if (status == HttpParser::Status::needMore) return true;
        asked_ = true;
        if (status != HttpParser::Status::message) {
            answer({400, "malformed request\n", {}});
            return true;
        }
        keepsAlive_ = owner_.limits_.keepAlive && parser_.head().keepAlive();
        if (keepsAlive_ && !data.empty()) return false;
        owner_.handle_(parser_.head(), parser_.body(), [self = weak_from_this()](const Response& a) {
            if (const auto caller = self.lock()) caller->answer(a);
        });
        return true;
    }
    void answer(const Response& a) {
        answered_ = true;
        std::string words = "HTTP/1.1 " + std::to_string(a.status) + " " + reasonOf(a.status) + "\r\n";
        if (!a.field.first.empty()) words += a.field.first + ": " + a.field.second + "\r\n";
        words += "Content-Type: text/plain\r\nContent-Length: " + std::to_string(a.body.size()) + "\r\n";
        if (!keepsAlive_) words += "Connection: close\r\n";
        stream_.write(words + "\r\n" + a.body);
        owner_.loop_.post([self = weak_from_this()] {
            if (const auto caller = self.lock()) caller->finish();
        });
    }
    // Not while the call is being read or answered: the parser is in use.
    void finish() {
        if (!answered_) return;
        if (!keepsAlive_) return stream_.closeLingering(kGentle);
        asked_ = answered_ = false;
        parser_ = makeParser();
        owner_.loop_.cancel(timer_);
        timer_ = makeTimer();
    }
    HttpParser makeParser() const { return {HttpParser::Kind::request, {kLargestHead, owner_.limits_.body}}; }
    Loop::TimerKey makeTimer() {
        return owner_.loop_.after(owner_.limits_.call, [this] { end(); });
    }
    void streamEnded(Stream::CloseReason) override { end(); }

    HttpServer& owner_;
    HttpParser parser_;
    bool asked_ = false, answered_ = false;
    bool keepsAlive_ = false;  // a further call may follow the one in hand
    Loop::TimerKey timer_;
    Stream stream_;
};

HttpServer::HttpServer(Loop& loop, const settings::Endpoint& at, Limits limits, Priority priority,
                       RequestHandler handle)
    : loop_(loop),
      limits_(limits),
      priority_(priority),
      handle_(std::move(handle)),
      listener_(
          loop, at, [this](Descriptor fd) { accept(std::move(fd)); }, priority) {}

HttpServer::~HttpServer() = default;

void HttpServer::accept(Descriptor fd) {
    if (callers_.size() >= limits_.callers) {
        auto idle = std::find_if(callers_.begin(), callers_.end(),
                                 [](const auto& caller) { return !caller->asked(); });
        if (idle == callers_.end())
            idle = std::find_if(callers_.begin(), callers_.end(),
                                [](const auto& caller) { return caller->answered(); });
        if (idle == callers_.end()) return;  // all are being answered
        const auto held = *idle;
        held->end();
    }
    callers_.push_back(std::make_shared<Caller>(*this, std::move(fd)));
}

void HttpServer::forget(Caller* caller) {
    const auto found = std::find_if(callers_.begin(), callers_.end(),
                                    [&](const auto& held) { return held.get() == caller; });
    if (found == callers_.end()) return;
    loop_.destroyAfterTurn(*found);
    callers_.erase(found);
}

}  // namespace lotuslead::net
