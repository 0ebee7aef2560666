#include "control.hpp"

namespace lotuslead::agent {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMostClients = 64;
constexpr net::Micros kLongest = 15s;  // one request a connection, and no longer than this

}  // namespace

class Control::Client : public net::Stream::User, public std::enable_shared_from_this<Client> {
public:
    Client(Control& owner, net::Descriptor fd)
        : owner_(owner),
          parser_(net::HttpParser::Kind::request, {16 * 1024, 1024 * 1024}),
          timer_(owner.loop_.after(kLongest, [this] { streamEnded(net::Stream::End::closedByPeer); })),
          stream_(owner.loop_, std::move(fd), *this) {}
    ~Client() override { owner_.loop_.cancel(timer_); }

private:
    bool streamData(std::string_view data) override {
        if (asked_) return true;
        const auto status = parser_.feed(data);
        if (status == net::HttpParser::Status::needMore) return true;
        asked_ = true;
        if (status != net::HttpParser::Status::message) {
            answer({400, "malformed request\n", {}});
            return true;
        }
        owner_.handle_(parser_.head(), parser_.body(), [self = weak_from_this()](Answer a) {
            if (const auto client = self.lock()) client->answer(std::move(a));
        });
        return true;
    }
    void answer(Answer a) {
        const char* reason = a.status < 300 ? "OK" : a.status < 400 ? "Temporary Redirect" : "Error";
        std::string words = "HTTP/1.1 " + std::to_string(a.status) + " " + reason + "\r\n";
        if (!a.location.empty()) words += "Location: " + a.location + "\r\n";
        words +=
            "Content-Length: " + std::to_string(a.body.size()) + "\r\nConnection: close\r\n\r\n" + a.body;
        stream_.write(std::move(words));
        owner_.loop_.post([self = weak_from_this()] {
            if (const auto client = self.lock()) client->stream_.closeAfterWriting();
        });
    }
    void streamEnded(net::Stream::End) override {
        stream_.close();
        const auto found = owner_.clients_.find(this);
        if (found == owner_.clients_.end()) return;
        owner_.loop_.retire(found->second);
        owner_.clients_.erase(found);
    }

    Control& owner_;
    net::HttpParser parser_;
    bool asked_ = false;
    net::Loop::TimerKey timer_;
    net::Stream stream_;
};

Control::Control(net::Loop& loop, const settings::Endpoint& at, Handle handle)
    : loop_(loop), handle_(std::move(handle)), listener_(loop, at, [this](net::Descriptor fd) {
          if (clients_.size() >= kMostClients) return;
          const auto client = std::make_shared<Client>(*this, std::move(fd));
          clients_[client.get()] = client;
      }) {}

Control::~Control() = default;

}  // namespace lotuslead::agent
