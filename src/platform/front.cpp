#include "front.hpp"

#include <algorithm>
#include <cstdio>

#include "fields.hpp"

namespace lotuslead::platform {

using core::Micros;
using core::Reply;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kLargestAnswer = 240'000;
constexpr std::size_t kClientBacklog = 2 * 1024 * 1024;  // unread answers at which a client is not read from
constexpr std::size_t kSparedDescriptors = 128;          // for stores, the event bus and the like
constexpr Micros kWayBack = 10ms;  // the client counts from when it sent; so long an answer is under way
constexpr Micros kNoRoomPause = 200ms;

bool isHex16(std::string_view text) {
    return text.size() == 16 && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
           });
}

}  // namespace

class Front::Client : public net::Stream::User {
public:
    Client(Front& owner, net::Descriptor fd)
        : owner_(owner), parser_({8, 64 * 1024, 80 * 1024}), stream_(owner.loop_, std::move(fd), *this) {}
    ~Client() override { count(0); }

    bool idle() const { return open_.empty() && stream_.unsent() == 0; }
    // Idle, has been used, and no part of a further call has come.
    bool resting() const { return idle() && used_ && !parser_.midMessage(); }
    void abandon() {
        stream_.close();
        const auto open = std::move(open_);
        open_.clear();
        for (const auto& [tag, id] : open) owner_.requests_.withdraw(owner_.loop_.now(), id);
        count(0);
    }

private:
    bool streamData(std::string_view data) override {
        while (!data.empty()) {
            const auto status = parser_.feed(data);
            if (status == net::RespParser::Status::malformed) return false;
            if (status == net::RespParser::Status::message && !take(parser_.take())) return false;
        }
        return true;
    }
    void streamDrained() override { settle(); }
    void streamEnded(net::Stream::End why) override {
        if (why == net::Stream::End::malformed) ++owner_.counters_.malformed;
        abandon();
        owner_.forget(this);
    }

    bool take(std::vector<std::string> words) {
        if (words.size() < 2 || words[1].empty()) return false;
        used_ = true;
        if (words[0] == "CALL") return call(words);
        if (words[0] == "CANCEL") {
            const auto found = open_.find(words[1]);
            if (found == open_.end()) return true;  // the answer was under way already
            const RequestId id = found->second;
            open_.erase(found);
            owner_.requests_.withdraw(owner_.loop_.now(), id);
            return true;
        }
        if (words[0] != "CHECK") return false;
        ++owner_.counters_.checks;
        answer(words[1], owner_.leaving_ ? "LEAVING" : "PASS", "-", {});
        return true;
    }

    bool call(std::vector<std::string>& words) {
        if (words.size() < 3 || open_.count(words[1]) > 0) return false;
        const std::string tag = words[1];
        const Fields fields(words.size() > 3 ? std::string_view(words[3]) : std::string_view{});
        core::Request request;
        const auto& classes = owner_.words_.classes;
        const auto known = classes.find(words[2]);
        request.label = fields.text("trace");
        request.object = fields.text("entity");
        const auto patience = fields.whole("patience");
        const bool badObject = !request.object.empty() && !isHex16(request.object);
        if (known == classes.end() || !isHex16(request.label) || badObject || patience.value_or(1) < 0) {
            ++owner_.counters_.unusable;
            answer(tag, "ERR", "-", {});
            return true;
        }
        if (!owner_.roomForOne()) {
            ++owner_.counters_.noRoom;
            answer(tag, "SHED", "pause=" + std::to_string(kNoRoomPause.count() / 1000), {});
            return true;
        }
        request.id = owner_.nextId_++;
        request.classIndex = known->second;
        request.className = words[2];
        request.group = fields.whole("family").value_or(0);
        request.part = fields.whole("block").value_or(0);
        const Micros now = owner_.loop_.now();
        const auto giveUp = owner_.words_.settings.classes[static_cast<std::size_t>(known->second)].giveUp;
        const Micros wait =
            patience ? Micros{std::chrono::milliseconds{std::min<std::int64_t>(*patience, 600'000)}}
                     : std::chrono::duration_cast<Micros>(giveUp);
        request.deadline = now + std::max(Micros{1ms}, wait - kWayBack);
        request.repeated = fields.text("redo") == "1";
        request.key = fields.text("nonce");
        request.known = fields.text("cached");
        if (words.size() > 4) request.body = std::move(words[4]);
        open_[tag] = request.id;
        owner_.requests_.take(now, std::move(request),
                              [this, tag](RequestId, Reply&& reply) { finish(tag, std::move(reply)); });
        return true;
    }

    void finish(const std::string& tag, Reply&& reply) {
        open_.erase(tag);
        if (reply.word == Reply::Word::served) {
            if (reply.payload.unchanged)
                answer(tag, "SERVED", "keep=1", {});
            else
                answer(tag, "SERVED", "-", std::move(reply.payload.body));
        } else if (reply.word == Reply::Word::refused) {
            const auto pause = reply.pause.count() / 1000;
            answer(tag, "SHED", pause > 0 ? "pause=" + std::to_string(pause) : "-", {});
        } else {
            answer(tag, "ERR", "-", {});
        }
    }

    // A body goes out as it came in, without a copy.
    void answer(const std::string& tag, std::string_view word, std::string_view fields, std::string body) {
        std::string head;
        net::appendRespHead(head, {tag, word, fields}, body.size());
        constexpr std::size_t kSmall = 4096;
        if (body.size() <= kSmall) {
            head += body;
            head += "\r\n";
            stream_.write(std::move(head));
        } else {
            body += "\r\n";
            stream_.write(std::move(head));
            stream_.write(std::move(body));
        }
        settle();
    }

    // A client that does not read its answers gets no further ones until it does.
    void settle() {
        count(stream_.unsent());
        stream_.pauseReading(stream_.unsent() > kClientBacklog);
    }
    void count(std::size_t unsent) {
        owner_.unsent_ += unsent;
        owner_.unsent_ -= counted_;
        counted_ = unsent;
    }

    Front& owner_;
    net::RespParser parser_;
    std::unordered_map<std::string, RequestId> open_;  // by tag
    std::size_t counted_ = 0;
    bool used_ = false;
    net::Stream stream_;
};

Front::Front(net::Loop& loop, core::Requests& requests, const settings::Configuration& configuration)
    : loop_(loop), requests_(requests), words_(configuration.words), address_(configuration.listen) {
    takeLimits(configuration.limits);
}

void Front::takeLimits(const settings::Limits& limits) {
    mostClients_ = static_cast<std::size_t>(limits.sockets) / 3;  // the rest is for stores
    mostBytes_ = static_cast<std::size_t>(limits.memoryMb) * 1024 * 1024 * 5 / 8;
}

void Front::reconfigure(const settings::Configuration& configuration) {
    if (listener_ && !(configuration.listen == address_)) listener_ = listenOn(configuration.listen);
    address_ = configuration.listen;
    takeLimits(configuration.limits);
}

Front::~Front() {
    for (const auto& [key, client] : clients_) client->abandon();
}

void Front::open() { listener_ = listenOn(address_); }

std::unique_ptr<net::Listener> Front::listenOn(const settings::Endpoint& address) {
    return std::make_unique<net::Listener>(loop_, address,
                                           [this](net::Descriptor fd) { accept(std::move(fd)); });
}

void Front::stopListening() { listener_.reset(); }

void Front::accept(net::Descriptor fd) {
    if (clients_.size() >= mostClients_ && !closeAnIdleClient()) {
        ++counters_.turnedAway;
        return;
    }
    ++counters_.connections;
    const auto client = std::make_shared<Client>(*this, std::move(fd));
    clients_[client.get()] = client;
}

// A connection without an open request may be closed; a client that does need it connects again.
bool Front::closeAnIdleClient() {
    const auto idle = std::find_if(clients_.begin(), clients_.end(),
                                   [](const auto& entry) { return entry.second->resting(); });
    if (idle == clients_.end()) return false;
    ++counters_.closedIdle;
    idle->second->abandon();
    forget(idle->first);
    return true;
}

// Every request in hand may yet bring the largest answer there is.
bool Front::roomForOne() const { return (requests_.open() + 1) * kLargestAnswer + unsent_ <= mostBytes_; }

bool Front::idle() const {
    return std::all_of(clients_.begin(), clients_.end(),
                       [](const auto& entry) { return entry.second->idle(); });
}

void Front::forget(Client* client) {
    const auto found = clients_.find(client);
    if (found == clients_.end()) return;
    loop_.retire(found->second);
    clients_.erase(found);
}

}  // namespace lotuslead::platform
