#include "clients.hpp"

#include <cstdio>
#include <cstdlib>
#include <vector>

#include "stores.hpp"

namespace lotuslead::soak {

using namespace std::chrono_literals;

namespace {

constexpr Millis kAnswerWaitGrace = 3500ms;     // after the deadline; then the request counts as unanswered
constexpr Millis kCloseCrossingWindow = 50ms;   // a request sent this close to a close is retried
constexpr Millis kCloseDetectionSlack = 100ms;  // delay until this process sees the close
constexpr Millis kWatchAfterCancel = 400ms;     // how long to watch for forbidden answers
constexpr Millis kReconnectDelay = 40ms;
constexpr std::size_t kMaxCachedTags = 64;

std::string hexOf(std::uint64_t number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

}  // namespace

void Client::run() {
    while (!finished_) {
        socket_ = RespSocket::connectTo(plan_.port);
        if (!socket_.open()) {
            std::this_thread::sleep_for(kReconnectDelay);
            continue;
        }
        connectedAt_ = Clock::now();
        cancelled_.clear();
        bool used = false;
        Outcome outcome = Outcome::keepConnection;
        while (outcome == Outcome::keepConnection && !finished_) {
            outcome = chance(0.1) ? sendManyRequests(used) : sendOneRequest(used);
            used = true;
            if (outcome == Outcome::connectionEnded) break;
            if (chance(0.03)) {
                pause(2000ms);  // idle, perhaps until the gateway closes the connection
            } else {
                pause(plan_.meanThinkTime);
            }
            // A client sends nothing on a connection that it knows to be closed.
            if (chance(0.05) || socket_.closedByPeer()) break;
        }
        socket_.close();
    }
}

Client::Call Client::makeCall(std::string& bytes) {
    Call call;
    call.tag = std::to_string(++nextTag_);
    call.trace = hexOf(random_());
    // Skewed popularity: half of the requests are for ten objects.
    const int entityIndex = chance(0.5) ? randomInt(0, 9) : randomInt(0, plan_.entities - 1);
    call.entity = hexOf(0x1000'0000ULL + static_cast<std::uint64_t>(entityIndex));
    const double draw = std::uniform_real_distribution<>(0, 1)(random_);
    const auto kind = draw < 0.7    ? RequestClass::page
                      : draw < 0.85 ? RequestClass::checkout
                                    : RequestClass::order;
    const Millis timeout{chance(0.1) ? randomInt(20, 150) : randomInt(300, 2500)};
    const std::string block = "0";
    call.expectedPrefix = call.entity + ":" + block + ":";
    std::string fields = "trace=" + call.trace + ",patience=" + std::to_string(timeout.count()) +
                         ",entity=" + call.entity + ",block=" + block +
                         ",family=" + std::to_string(entityIndex % 16);
    if (kind == RequestClass::checkout) fields += ",nonce=" + hexOf(random_()) + hexOf(random_());
    const auto copy = cachedTags_.find(call.entity);
    const bool conditional = kind == RequestClass::page && copy != cachedTags_.end() && chance(0.5);
    if (conditional) fields += ",cached=" + copy->second;
    const std::string body = kind == RequestClass::page ? "" : std::string(100, 'w');
    bytes +=
        RespSocket::encoded({"CALL", call.tag, kClassNames[static_cast<std::size_t>(kind)], fields, body});
    judge_.sent(call.trace, plan_.gateway, kind, timeout, conditional, connectedAt_);
    call.deadline = Clock::now() + timeout + kAnswerWaitGrace;
    return call;
}

void Client::cancel(Call& call) {
    judge_.requestAbandoned(call.trace);
    call.cancelled = true;
    call.deadline = Clock::now() + kWatchAfterCancel;
}

Client::Outcome Client::sendOneRequest(bool connectionIsUsed) {
    std::string bytes;
    std::map<std::string, Call> calls;
    Call made = makeCall(bytes);
    Call& call = calls[made.tag] = made;
    const double draw = std::uniform_real_distribution<>(0, 1)(random_);
    if (draw < 0.05) {  // sends the request in two pieces
        const std::size_t cut = static_cast<std::size_t>(randomInt(1, static_cast<int>(bytes.size()) - 1));
        if (!socket_.send(bytes.substr(0, cut))) return reportNeverSent(calls), Outcome::connectionEnded;
        std::this_thread::sleep_for(Millis{randomInt(1, 60)});
        bytes.erase(0, cut);
        judge_.lastByteSent(call.trace);
    }
    if (!socket_.send(bytes)) return reportNeverSent(calls), Outcome::connectionEnded;
    if (draw < 0.13) {  // cancels the request
        std::this_thread::sleep_for(Millis{randomInt(0, 120)});
        RespMessage message;
        if (socket_.read(message, Clock::now()) == RespSocket::Read::message) {
            judge_.answered(call.trace, message, call.expectedPrefix);
            return Outcome::keepConnection;
        }
        cancel(call);
        if (!socket_.sendMessage({"CANCEL", call.tag})) return Outcome::connectionEnded;
    } else if (draw < 0.18) {  // closes the connection
        std::this_thread::sleep_for(Millis{randomInt(0, 120)});
        judge_.requestAbandoned(call.trace);
        chance(0.5) ? socket_.reset() : socket_.close();
        return Outcome::connectionEnded;
    }
    return awaitAnswers(calls, connectionIsUsed);
}

Client::Outcome Client::sendManyRequests(bool connectionIsUsed) {
    std::string bytes;
    std::map<std::string, Call> calls;
    std::vector<std::string> cancelledTags;
    for (int i = randomInt(2, 12); i > 0; --i) {
        const Call call = makeCall(bytes);
        calls[call.tag] = call;
        if (chance(0.15)) cancelledTags.push_back(call.tag);
    }
    for (const std::string& tag : cancelledTags) {
        bytes += RespSocket::encoded({"CANCEL", tag});
        cancel(calls[tag]);
    }
    if (!socket_.send(bytes)) return reportNeverSent(calls), Outcome::connectionEnded;
    // Reads late, but not on an idle connection, where it would notice too late that its calls crossed a
    // close.
    if (!connectionIsUsed && chance(0.3)) std::this_thread::sleep_for(Millis{randomInt(100, 400)});
    return awaitAnswers(calls, connectionIsUsed);
}

Client::Outcome Client::awaitAnswers(std::map<std::string, Call>& calls, bool wasIdle) {
    while (!calls.empty()) {
        TimePoint until = TimePoint::max();
        for (const auto& [tag, call] : calls) until = std::min(until, call.deadline);
        RespMessage message;
        const auto read = socket_.read(message, until);
        if (read == RespSocket::Read::closed)
            return connectionLost(calls, "lost its connection", wasIdle), Outcome::connectionEnded;
        if (read == RespSocket::Read::malformed)
            return connectionLost(calls, "got a malformed answer", false), Outcome::connectionEnded;
        if (read == RespSocket::Read::message) {
            wasIdle = false;
            if (message.size() < 2) message.resize(2);
            const auto found = calls.find(message[0]);
            if (const auto late = cancelled_.find(message[0]);
                found == calls.end() && late != cancelled_.end()) {
                judge_.answered(late->second.trace, message, late->second.expectedPrefix);
                continue;
            }
            if (found == calls.end()) {
                judge_.recordViolation(Rule::secondAnswer,
                                       "answer for a tag that has no open request: " + message[0]);
                continue;
            }
            Call& call = found->second;
            judge_.answered(call.trace, message, call.expectedPrefix);
            if (message[1] == "SERVED" && message.size() > 3 &&
                message[3].rfind(call.expectedPrefix, 0) == 0 && cachedTags_.size() < kMaxCachedTags)
                cachedTags_[call.entity] =
                    tagOf(call.entity, std::atoll(message[3].c_str() + call.expectedPrefix.size()));
            calls.erase(found);
            continue;
        }
        for (auto at = calls.begin(); at != calls.end();) {
            if (at->second.deadline > Clock::now()) {
                ++at;
                continue;
            }
            judge_.unanswered(at->second.trace, "was never answered");
            if (at->second.cancelled) cancelled_.insert(*at);
            at = calls.erase(at);
        }
    }
    return Outcome::keepConnection;
}

// The last byte was not sent, so no answer is due.
void Client::reportNeverSent(const std::map<std::string, Call>& calls) {
    for (const auto& [tag, call] : calls)
        if (!call.cancelled) judge_.excusedRetry(call.trace, Excuse::neverSent);
}

void Client::connectionLost(std::map<std::string, Call>& calls, const char* how, bool wasIdle) {
    for (auto& [tag, call] : calls) {
        if (call.cancelled) continue;
        const bool crossed = wasIdle && judge_.age(call.trace) < kCloseCrossingWindow + kCloseDetectionSlack;
        crossed ? judge_.excusedRetry(call.trace, Excuse::crossedClose) : judge_.unanswered(call.trace, how);
    }
}

void Client::pause(Millis mean) {
    const double drawn = std::exponential_distribution<>(1.0 / static_cast<double>(mean.count()))(random_);
    std::this_thread::sleep_for(Millis{static_cast<int>(std::min(drawn, 5000.0))});
}

void runMisbehavingClient(const ClientPlan& plan, const std::atomic<bool>& finished) {
    std::mt19937_64 random(plan.seed);
    const std::string call = RespSocket::encoded(
        {"CALL", "1", "page", "trace=00000000000000aa,patience=500,entity=00000000000000bb,block=0", ""});
    while (!finished) {
        RespSocket socket = RespSocket::connectTo(plan.port);
        if (!socket.open()) {
            std::this_thread::sleep_for(kReconnectDelay);
            continue;
        }
        switch (random() % 6) {
            case 0:
                socket.send("GET / HTTP/1.1\r\n\r\n");
                break;
            case 1:
                socket.send(call.substr(0, random() % call.size()));
                break;
            case 2:
                break;  // sends nothing
            case 3:
                socket.send("*3\r\n$4\r\nCALL\r\n$99999999\r\n");
                break;
            case 4:
                for (int i = 0; i < 40; ++i) socket.sendMessage({"CHECK", std::to_string(i + 1), ""});
                break;
            default:
                socket.sendMessage({"CANCEL", "77"});
                socket.sendMessage({"CALL", "1", "nothing", "trace=1", ""});
                break;
        }
        RespMessage message;
        const TimePoint until = Clock::now() + Millis{random() % 1500};
        while (!finished && Clock::now() < until) {
            const auto read = socket.read(message, std::min(until, Clock::now() + 100ms));
            if (read == RespSocket::Read::closed || read == RespSocket::Read::malformed) break;
        }
        if (random() % 2 == 0) socket.reset();
        std::this_thread::sleep_for(Millis{random() % 200});
    }
}

void runIdleConnections(const ClientPlan& plan, int connections, const std::atomic<bool>& finished) {
    constexpr Millis kIdleTime = 4000ms;  // PROTOCOL, clients: idle connections are closed after 4 s
    while (!finished) {
        std::vector<RespSocket> connected;
        for (int i = 0; i < connections && !finished; ++i) {
            RespSocket socket = RespSocket::connectTo(plan.port);
            if (socket.open() && socket.sendMessage({"CHECK", "1", ""}))
                connected.push_back(std::move(socket));
        }
        const TimePoint until = Clock::now() + kIdleTime;
        while (!finished && Clock::now() < until) std::this_thread::sleep_for(kReconnectDelay);
    }
}

}  // namespace lotuslead::soak
