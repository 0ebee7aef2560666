#include "http_client.hpp"

#include <memory>
#include <utility>

#include "http.hpp"

namespace lotuslead::net {

namespace {

class Call : public Stream::User {
public:
    Call(Loop& loop, const settings::Endpoint& to, std::string words, Micros within, Called called)
        : loop_(loop),
          called_(std::move(called)),
          timer_(loop.after(within, [this] { end(0, {}); })),
          stream_(loop, to, *this) {
        stream_.write(std::move(words));
    }
    void hold(std::shared_ptr<Call> self) { self_ = std::move(self); }  // until its end

private:
    bool streamData(std::string_view data) override {
        const auto status = parser_.feed(data);
        if (status == HttpParser::Status::needMore) return true;
        const bool whole = status == HttpParser::Status::message;
        end(whole ? parser_.head().status : 0, whole ? parser_.body() : std::string{});
        return true;
    }
    void streamEnded(Stream::End) override {
        const bool whole = parser_.endOfStream();
        end(whole ? parser_.head().status : 0, whole ? parser_.body() : std::string{});
    }
    void end(int status, std::string body) {
        if (!self_) return;
        loop_.cancel(timer_);
        stream_.close();
        loop_.retire(std::exchange(self_, nullptr));
        called_(status, std::move(body));
    }

    Loop& loop_;
    Called called_;
    HttpParser parser_{HttpParser::Kind::response, {16 * 1024, 64 * 1024}};
    std::shared_ptr<Call> self_;
    Loop::TimerKey timer_;
    Stream stream_;
};

}  // namespace

void call(Loop& loop, const settings::Endpoint& to, const std::string& method, const std::string& target,
          Micros within, Called called) {
    const std::string words = method + " " + target + " HTTP/1.1\r\nHost: " + to.host + ":" +
                              std::to_string(to.port) + "\r\nContent-Length: 0\r\n\r\n";
    const auto one = std::make_shared<Call>(loop, to, words, within, std::move(called));
    one->hold(one);
}

}  // namespace lotuslead::net
