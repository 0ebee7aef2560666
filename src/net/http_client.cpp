#include "http_client.hpp"

#include <memory>
#include <utility>

#include "http.hpp"

namespace lotuslead::net {

namespace {

class PendingRequest : public Stream::Observer {
public:
    PendingRequest(Loop& loop, const settings::Endpoint& to, std::string requestText, Micros timeout,
                   ResponseCallback onResponse)
        : loop_(loop),
          onResponse_(std::move(onResponse)),
          timer_(loop.after(timeout, [this] { finish(0, {}); })),
          stream_(loop, to, *this) {
        stream_.write(std::move(requestText));
    }
    void keepAlive(std::shared_ptr<PendingRequest> self) { self_ = std::move(self); }  // until finish()

private:
    bool streamData(std::string_view data) override {
        const auto status = parser_.feed(data);
        if (status == HttpParser::Status::needMore) return true;
        const bool complete = status == HttpParser::Status::message;
        finish(complete ? parser_.head().status : 0, complete ? parser_.body() : std::string{});
        return true;
    }
    void streamEnded(Stream::CloseReason) override {
        const bool complete = parser_.endOfStream();
        finish(complete ? parser_.head().status : 0, complete ? parser_.body() : std::string{});
    }
    void finish(int status, std::string body) {
        if (!self_) return;
        loop_.cancel(timer_);
        stream_.close();
        loop_.destroyAfterTurn(std::exchange(self_, nullptr));
        onResponse_(status, std::move(body));
    }

    Loop& loop_;
    ResponseCallback onResponse_;
    HttpParser parser_{HttpParser::Kind::response, {16 * 1024, 64 * 1024}};
    std::shared_ptr<PendingRequest> self_;
    Loop::TimerKey timer_;
    Stream stream_;
};

}  // namespace

void sendHttpRequest(Loop& loop, const settings::Endpoint& to, const std::string& method,
                     const std::string& target, Micros timeout, ResponseCallback onResponse) {
    const std::string requestText = method + " " + target + " HTTP/1.1\r\nHost: " + to.host + ":" +
                                    std::to_string(to.port) + "\r\nContent-Length: 0\r\n\r\n";
    const auto request =
        std::make_shared<PendingRequest>(loop, to, requestText, timeout, std::move(onResponse));
    request->keepAlive(request);
}

}  // namespace lotuslead::net
