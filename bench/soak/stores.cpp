#include "stores.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace lotuslead::soak {

using namespace std::chrono_literals;

namespace {

constexpr Millis kPollInterval = 20ms;
constexpr std::int64_t kMaxPurgeDelayMs = 5000;  // within this, a store drops purged copies by itself
constexpr int kBacklog = 256;

std::string valueOf(const std::string& fields, const std::string& name) {
    const std::string wanted = name + "=";
    std::size_t at = 0;
    while (at < fields.size()) {
        const std::size_t end = std::min(fields.find(',', at), fields.size());
        if (fields.compare(at, wanted.size(), wanted) == 0)
            return fields.substr(at + wanted.size(), end - at - wanted.size());
        at = end + 1;
    }
    return {};
}

}  // namespace

// ----- Server -----

Server::Server(Serve serve) : serve_(std::move(serve)) { up(); }

Server::~Server() { down(); }

void Server::up() {
    if (up_.exchange(true)) return;
    listener_ = port_ == 0 ? listenOnNonEphemeralPort(kBacklog) : listenOnLoopback(port_, kBacklog);
    port_ = portOf(listener_);
    acceptor_ = std::thread([this] { accept(); });
}

void Server::accept() {
    for (int fd; (fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
        const std::lock_guard lock(mutex_);
        reap();
        Connection& connection = connections_.emplace_back();
        connection.socket = std::make_shared<RespSocket>(fd);
        connection.thread = std::thread([this, &connection] {
            serve_(*connection.socket);
            ::shutdown(connection.socket->fd(), SHUT_RDWR);
            connection.finished = true;
        });
    }
}

// Needs the lock to be held.
void Server::reap() {
    connections_.remove_if([](Connection& connection) {
        if (!connection.finished) return false;
        connection.thread.join();
        return true;
    });
}

void Server::down() {
    if (!up_.exchange(false)) return;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    std::list<Connection> ended;
    {
        const std::lock_guard lock(mutex_);
        ended.swap(connections_);
    }
    for (Connection& connection : ended) {
        const linger now{1, 0};
        ::setsockopt(connection.socket->fd(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::shutdown(connection.socket->fd(),
                   SHUT_RD);  // wakes the connection's thread; the close then sends a reset
    }
    for (Connection& connection : ended) {
        connection.thread.join();
        connection.socket->reset();
    }
}

// ----- Purges -----

void Purges::add(const std::string& entity, std::int64_t atMs) {
    const std::lock_guard lock(mutex_);
    atMs_[entity] = atMs;
}

std::int64_t Purges::of(const std::string& entity) const {
    const std::lock_guard lock(mutex_);
    const auto found = atMs_.find(entity);
    return found == atMs_.end() ? 0 : found->second;
}

// ----- Store -----

std::string tagOf(const std::string& entity, std::int64_t createdMs) {
    char tag[17];
    std::snprintf(tag, sizeof tag, "%016zx", std::hash<std::string>{}(entity + std::to_string(createdMs)));
    return tag;
}

Store::Store(std::string name, StoreKind kind, Judge& judge, const Purges& purges,
             const SlowStartBudget& budget, std::uint64_t seed)
    : name_(std::move(name)),
      kind_(kind),
      judge_(judge),
      purges_(purges),
      slowStartBudget_(budget),
      random_(seed),
      server_([this](RespSocket& socket) { serve(socket); }) {}

Store::~Store() {
    finished_ = true;
    hung_ = false;
    server_.down();
}

bool Store::chance(double probability) {
    const std::lock_guard lock(mutex_);
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

int Store::randomInt(int min, int max) {
    const std::lock_guard lock(mutex_);
    return std::uniform_int_distribution<>(min, std::max(min, max))(random_);
}

void Store::crash() {
    server_.down();
    const std::lock_guard lock(mutex_);
    copies_.clear();
}

std::int64_t Store::restartCold() {
    {
        const std::lock_guard lock(mutex_);
        copies_.clear();
        slowStartedAt_ = Clock::now();
        slowStartCalls_.clear();
        budgetExceeded_ = false;
    }
    hung_ = false;
    server_.up();
    return unixMs();
}

// The limit in every window, for a budget of N calls: N + 2 * sqrt(N) + 2; below 30 calls: N + 3 * sqrt(N)
// + 3.
void Store::checkSlowStartBudget() {
    const bool busDelayed = judge_.busMayBeDelayed();
    const std::lock_guard lock(mutex_);
    if (!slowStartedAt_) return;
    if (busDelayed) return slowStartCalls_.clear();  // gateways that don't know of the start keep no budget
    const TimePoint now = Clock::now();
    const std::chrono::duration<double> age = now - *slowStartedAt_, warm = slowStartBudget_.warmUpTime;
    if (age >= warm) {
        slowStartedAt_.reset();
        return;
    }
    slowStartCalls_.push_back(now);
    while (slowStartCalls_.front() < now - slowStartBudget_.window) slowStartCalls_.pop_front();
    const double share = slowStartBudget_.initialShare + (1 - slowStartBudget_.initialShare) * age / warm;
    const double allowed = slowStartBudget_.burstFactor * share * slowStartBudget_.fullRateCallsPerWindow;
    const double root = std::sqrt(allowed);
    const double max = allowed < 30 ? allowed + 3 * root + 3 : allowed + 2 * root + 2;
    if (static_cast<double>(slowStartCalls_.size()) <= max || std::exchange(budgetExceeded_, true)) return;
    char text[120];
    std::snprintf(text, sizeof text, "%s, %.2f s after its start: %zu calls in the window, %.1f allowed",
                  name_.c_str(), age.count(), slowStartCalls_.size(), max);
    judge_.recordViolation(Rule::slowStartBudget, text);
}

std::string Store::bodyOf(const std::string& entity, const std::string& block, std::int64_t createdMs) const {
    std::string body = entity + ":" + block + ":" + std::to_string(createdMs) + ":";
    body.resize(kObjectBytes, static_cast<char>('a' + entity.back() % 26));
    return body;
}

// When the copy that is served was created, in Unix milliseconds; 0: there is no copy.
std::int64_t Store::servedCopyTime(const std::string& entity, std::int64_t freshMs, bool mayFill,
                                   bool neverCached) {
    const std::int64_t now = unixMs();
    const std::int64_t purgedMs = purges_.of(entity);
    const std::lock_guard lock(mutex_);
    if (neverCached || kind_ == StoreKind::origin) return now;
    Copy& copy = copies_[entity];
    const std::int64_t dropsAt = purgedMs + static_cast<std::int64_t>(random_() % kMaxPurgeDelayMs);
    if (copy.createdMs < purgedMs && now > dropsAt) copy.createdMs = 0;
    if (copy.createdMs > 0 && freshMs > 0 && now - copy.createdMs > freshMs) copy.createdMs = 0;
    if (copy.createdMs == 0 && mayFill) copy.createdMs = now;
    return copy.createdMs;
}

Store::PendingAnswer Store::answerTo(const RespMessage& message) {
    const std::string& fields = message[2];
    const std::string entity = valueOf(fields, "thing"), block = valueOf(fields, "nth");
    const bool neverCached = valueOf(fields, "profile") != kClassNames[0];
    const bool mayFill =
        !valueOf(fields, "via").empty() && valueOf(fields, "opts").find("peek") == std::string::npos;
    PendingAnswer pending;
    pending.id = message[1];
    pending.at = Clock::now() + Millis{randomInt(faults_.minDelayMs, faults_.maxDelayMs)};
    const auto withoutBody = [&](const char* word, AttemptEnd end) {
        pending.bytes = RespSocket::encoded({message[1], word, "-", ""});
        pending.end = end;
        return pending;
    };
    if (chance(faults_.refusals)) return withoutBody("refused", AttemptEnd::neverRan);
    if (chance(faults_.errors)) return withoutBody("error", AttemptEnd::mayHaveRun);
    const std::int64_t createdMs =
        servedCopyTime(entity, std::atoll(valueOf(fields, "fresh").c_str()), mayFill, neverCached);
    if (createdMs == 0) return withoutBody("nothing", AttemptEnd::neverRan);
    const std::string tag = tagOf(entity, createdMs);
    const std::string facts = "tag=" + tag + ",minted=" + std::to_string(createdMs) + ",remark=local";
    if (!neverCached && valueOf(fields, "known") == tag) {
        judge_.copyConfirmed(message[1]);
        pending.bytes = RespSocket::encoded({message[1], "current", facts, ""});
        return pending;
    }
    pending.bytes = RespSocket::encoded({message[1], "ok", facts, bodyOf(entity, block, createdMs)});
    if (chance(faults_.truncations))
        pending.bytes.resize(pending.bytes.size() / 2);  // the rest is never sent
    if (chance(faults_.malformedAnswers)) pending.bytes = "+this is no array\r\n";
    pending.closesAfterAnswer = chance(faults_.closes);
    return pending;
}

void Store::handleCommand(const RespMessage& message, std::deque<PendingAnswer>& pending, bool observedLate) {
    if (message.size() >= 2 && (message[0] == "ECHO" || message[0] == "METER")) {
        PendingAnswer echo;
        echo.at = Clock::now();
        echo.bytes = RespSocket::encoded({message[1], "yes", "-", ""});
        echo.ignoresKill = true;
        return pending.push_back(echo);
    }
    if (message.size() >= 2 && message[0] == "KILL") {
        const auto found = std::find_if(pending.begin(), pending.end(), [&](const PendingAnswer& one) {
            return !one.ignoresKill && one.id == message[1];
        });
        if (found == pending.end()) return;
        judge_.attemptEnded(found->id, found->attempt, AttemptEnd::mayHaveRun, observedLate);
        pending.erase(found);
        return;
    }
    if (message.size() < 4 || message[0] != "PULL")
        return judge_.recordViolation(Rule::wrongContent, name_ + " received an unknown command");
    if (!observedLate) checkSlowStartBudget();
    const int attempt =
        judge_.attemptArrived(message[1], name_, std::atoll(valueOf(message[2], "max").c_str()),
                              valueOf(message[2], "via"), observedLate);
    PendingAnswer answer = answerTo(message);
    answer.attempt = attempt;
    pending.push_back(answer);
    if (!chance(faults_.duplicates)) return;
    PendingAnswer again = answer;
    again.at += Millis{randomInt(1, 8)};
    again.attempt = -1;
    again.ignoresKill = true;  // a duplicate belongs to no open attempt, so KILL does not remove it
    pending.push_back(again);
}

void Store::serve(RespSocket& socket) {
    std::deque<PendingAnswer> pending;
    bool connectionUsable = true, wasHung = false, closedByStore = false;
    while (connectionUsable && !finished_) {
        if (hung_) {
            wasHung = true;
            std::this_thread::sleep_for(kPollInterval);
            closedByStore = !server_.isUp();
            if (closedByStore) break;
            continue;
        }
        TimePoint next = Clock::now() + kPollInterval;
        for (const PendingAnswer& one : pending) next = std::min(next, one.at);
        RespMessage message;
        const auto read = socket.read(message, next);
        if (read == RespSocket::Read::message) handleCommand(message, pending, wasHung);
        if (read == RespSocket::Read::timedOut) wasHung = false;
        connectionUsable = read == RespSocket::Read::message || read == RespSocket::Read::timedOut;
        for (auto at = pending.begin(); connectionUsable && at != pending.end();) {
            if (at->at > Clock::now()) {
                ++at;
                continue;
            }
            // Reported before it is sent: the gateway may act on it at once.
            if (at->attempt >= 0) judge_.attemptEnded(at->id, at->attempt, at->end, wasHung);
            closedByStore = at->closesAfterAnswer || !server_.isUp();
            connectionUsable = socket.send(at->bytes) && !at->closesAfterAnswer;
            at = pending.erase(at);
        }
    }
    for (const PendingAnswer& one : pending)
        if (one.attempt >= 0)
            judge_.attemptEnded(one.id, one.attempt, AttemptEnd::mayHaveRun,
                                wasHung || closedByStore || !server_.isUp());
}

// ----- EventBus -----

EventBus::EventBus(json first) : server_([this](RespSocket& socket) { serve(socket); }) {
    publish(std::move(first));
}

EventBus::~EventBus() {
    finished_ = true;
    hung_ = false;
    changed_.notify_all();
    server_.down();
}

void EventBus::publish(json event) {
    const std::lock_guard lock(mutex_);
    event["offset"] = ++last_;
    events_.push_back(std::move(event));
    changed_.notify_all();
}

// All events with their own offsets. One merged list at the last offset would make a gateway that has not
// received the later events skip them.
json EventBus::allEvents() const {
    const std::lock_guard lock(mutex_);
    return {{"offset", last_}, {"batch", events_}};
}

std::string EventBus::responseSince(std::int64_t from, Millis hold) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, hold, [&] { return last_ > from || finished_; });
    json batch = json::array();
    for (const json& event : events_)
        if (event["offset"] > from) batch.push_back(event);
    return json{{"offset", last_}, {"batch", batch}}.dump();
}

void EventBus::serve(RespSocket& socket) {
    std::string head;
    while (!finished_) {
        if (hung_) {
            std::this_thread::sleep_for(kPollInterval);
            if (!server_.isUp()) return;
            continue;
        }
        pollfd waits{socket.fd(), POLLIN, 0};
        if (::poll(&waits, 1, static_cast<int>(kPollInterval.count())) <= 0) continue;
        char chunk[4096];
        const ssize_t got = ::recv(socket.fd(), chunk, sizeof chunk, 0);
        if (got <= 0) return;
        head.append(chunk, static_cast<std::size_t>(got));
        if (head.find("\r\n\r\n") == std::string::npos) continue;
        const std::int64_t from = std::atoll(head.c_str() + head.find("from=") + 5);
        const Millis hold{std::atoi(head.c_str() + head.find("hold=") + 5)};
        head.clear();
        const std::string body = responseSince(from, hold);
        const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        const std::size_t piece = slow_ ? 200 : answer.size();
        for (std::size_t at = 0; at < answer.size(); at += piece) {
            if (!socket.send(answer.substr(at, piece))) return;
            if (slow_) std::this_thread::sleep_for(2ms);
        }
    }
}

}  // namespace lotuslead::soak
