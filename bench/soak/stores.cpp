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

constexpr Millis kLookAgain = 20ms;
constexpr std::int64_t kDropsWithinMs = 5000;  // of a purge, a store has dropped its copies by itself
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
    listener_ = port_ == 0 ? listenOnLastingPort(kBacklog) : listenOnLoopback(port_, kBacklog);
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
            connection.over = true;
        });
    }
}

// With the lock held.
void Server::reap() {
    connections_.remove_if([](Connection& connection) {
        if (!connection.over) return false;
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
        ::shutdown(connection.socket->fd(), SHUT_RD);  // ends the thread's wait; the close then resets
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

std::string tagOf(const std::string& entity, std::int64_t mintedMs) {
    char tag[17];
    std::snprintf(tag, sizeof tag, "%016zx", std::hash<std::string>{}(entity + std::to_string(mintedMs)));
    return tag;
}

Store::Store(std::string name, StoreKind kind, Judge& judge, const Purges& purges, const ColdStart& cold,
             std::uint64_t seed)
    : name_(std::move(name)),
      kind_(kind),
      judge_(judge),
      purges_(purges),
      cold_(cold),
      random_(seed),
      server_([this](RespSocket& socket) { serve(socket); }) {}

Store::~Store() {
    over_ = true;
    hung_ = false;
    server_.down();
}

bool Store::chance(double probability) {
    const std::lock_guard lock(mutex_);
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

int Store::between(int least, int most) {
    const std::lock_guard lock(mutex_);
    return std::uniform_int_distribution<>(least, std::max(least, most))(random_);
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
        coldSince_ = Clock::now();
        coldCalls_.clear();
        budgetBroken_ = false;
    }
    hung_ = false;
    server_.up();
    return unixMs();
}

// The budget over every window: N calls, 2 x root of N and 2 more; under 30, 3 x root of N and 3 more.
void Store::countColdCall() {
    const bool lateBus = judge_.busMayBeLate();
    const std::lock_guard lock(mutex_);
    if (!coldSince_) return;
    if (lateBus)
        return coldCalls_.clear();  // a gateway that has not received the start has no budget to keep
    const TimePoint now = Clock::now();
    const std::chrono::duration<double> age = now - *coldSince_, warm = cold_.warmWithin;
    if (age >= warm) {
        coldSince_.reset();
        return;
    }
    coldCalls_.push_back(now);
    while (coldCalls_.front() < now - cold_.window) coldCalls_.pop_front();
    const double share = cold_.from + (1 - cold_.from) * age / warm;
    const double allowed = cold_.multiple * share * cold_.callsAtFullPace;
    const double root = std::sqrt(allowed);
    const double most = allowed < 30 ? allowed + 3 * root + 3 : allowed + 2 * root + 2;
    if (static_cast<double>(coldCalls_.size()) <= most || std::exchange(budgetBroken_, true)) return;
    char text[120];
    std::snprintf(text, sizeof text, "%s, %.2f s after its start: %zu calls in the window, %.1f allowed",
                  name_.c_str(), age.count(), coldCalls_.size(), most);
    judge_.violation(Rule::coldBudget, text);
}

std::string Store::bodyOf(const std::string& entity, const std::string& block, std::int64_t mintedMs) const {
    std::string body = entity + ":" + block + ":" + std::to_string(mintedMs) + ":";
    body.resize(kObjectBytes, static_cast<char>('a' + entity.back() % 26));
    return body;
}

// When the copy that is served was made; zero: there is none.
std::int64_t Store::mintedOf(const std::string& entity, std::int64_t freshMs, bool mayFill, bool neverKept) {
    const std::int64_t now = unixMs();
    const std::int64_t purgedMs = purges_.of(entity);
    const std::lock_guard lock(mutex_);
    if (neverKept || kind_ == StoreKind::origin) return now;
    Copy& copy = copies_[entity];
    const std::int64_t dropsAt = purgedMs + static_cast<std::int64_t>(random_() % kDropsWithinMs);
    if (copy.mintedMs < purgedMs && now > dropsAt) copy.mintedMs = 0;
    if (copy.mintedMs > 0 && freshMs > 0 && now - copy.mintedMs > freshMs) copy.mintedMs = 0;
    if (copy.mintedMs == 0 && mayFill) copy.mintedMs = now;
    return copy.mintedMs;
}

Store::Due Store::answerTo(const RespElements& elements) {
    const std::string& fields = elements[2];
    const std::string entity = valueOf(fields, "thing"), block = valueOf(fields, "nth");
    const bool neverKept = valueOf(fields, "profile") != kClassNames[0];
    const bool mayFill =
        !valueOf(fields, "via").empty() && valueOf(fields, "opts").find("peek") == std::string::npos;
    Due due;
    due.id = elements[1];
    due.at = Clock::now() + Millis{between(faults_.leastMs, faults_.mostMs)};
    const auto plain = [&](const char* element, AttemptEnd end) {
        due.bytes = RespSocket::encoded({elements[1], element, "-", ""});
        due.end = end;
        return due;
    };
    if (chance(faults_.refuses)) return plain("refused", AttemptEnd::neverRan);
    if (chance(faults_.errors)) return plain("error", AttemptEnd::mayHaveRun);
    const std::int64_t mintedMs =
        mintedOf(entity, std::atoll(valueOf(fields, "fresh").c_str()), mayFill, neverKept);
    if (mintedMs == 0) return plain("nothing", AttemptEnd::neverRan);
    const std::string tag = tagOf(entity, mintedMs);
    const std::string answerFields = "tag=" + tag + ",minted=" + std::to_string(mintedMs) + ",remark=local";
    if (!neverKept && valueOf(fields, "known") == tag) {
        judge_.answeredCurrent(elements[1]);
        due.bytes = RespSocket::encoded({elements[1], "current", answerFields, ""});
        return due;
    }
    due.bytes = RespSocket::encoded({elements[1], "ok", answerFields, bodyOf(entity, block, mintedMs)});
    if (chance(faults_.half)) due.bytes.resize(due.bytes.size() / 2);  // and then silence
    if (chance(faults_.garbage)) due.bytes = "+this is no array\r\n";
    due.closesAfter = chance(faults_.closes);
    return due;
}

void Store::take(const RespElements& elements, std::deque<Due>& due, bool late) {
    if (elements.size() >= 2 && (elements[0] == "ECHO" || elements[0] == "METER")) {
        Due echo;
        echo.at = Clock::now();
        echo.bytes = RespSocket::encoded({elements[1], "yes", "-", ""});
        echo.isEcho = true;
        return due.push_back(echo);
    }
    if (elements.size() >= 2 && elements[0] == "KILL") {
        const auto found = std::find_if(due.begin(), due.end(),
                                        [&](const Due& one) { return !one.isEcho && one.id == elements[1]; });
        if (found == due.end()) return;
        judge_.attemptEnded(found->id, found->attempt, AttemptEnd::mayHaveRun, late);
        due.erase(found);
        return;
    }
    if (elements.size() < 4 || elements[0] != "PULL")
        return judge_.violation(Rule::wrongContent, name_ + " was sent what is no command");
    if (!late) countColdCall();
    const int attempt =
        judge_.attemptArrived(elements[1], name_, std::atoll(valueOf(elements[2], "max").c_str()),
                              valueOf(elements[2], "via"), late);
    Due answer = answerTo(elements);
    answer.attempt = attempt;
    due.push_back(answer);
    if (!chance(faults_.twice)) return;
    Due again = answer;
    again.at += Millis{between(1, 8)};
    again.attempt = -1;
    again.isEcho = true;  // nobody's any more: it is not taken back
    due.push_back(again);
}

void Store::serve(RespSocket& socket) {
    std::deque<Due> due;
    bool good = true, wasHung = false, endedHere = false;
    while (good && !over_) {
        if (hung_) {
            wasHung = true;
            std::this_thread::sleep_for(kLookAgain);
            endedHere = !server_.isUp();
            if (endedHere) break;
            continue;
        }
        TimePoint next = Clock::now() + kLookAgain;
        for (const Due& one : due) next = std::min(next, one.at);
        RespElements elements;
        const auto read = socket.read(elements, next);
        if (read == RespSocket::Read::message) take(elements, due, wasHung);
        if (read == RespSocket::Read::timedOut) wasHung = false;
        good = read == RespSocket::Read::message || read == RespSocket::Read::timedOut;
        for (auto at = due.begin(); good && at != due.end();) {
            if (at->at > Clock::now()) {
                ++at;
                continue;
            }
            // Told before it is sent: the gateway may act on it at once.
            if (at->attempt >= 0) judge_.attemptEnded(at->id, at->attempt, at->end, wasHung);
            endedHere = at->closesAfter || !server_.isUp();
            good = socket.send(at->bytes) && !at->closesAfter;
            at = due.erase(at);
        }
    }
    for (const Due& one : due)
        if (one.attempt >= 0)
            judge_.attemptEnded(one.id, one.attempt, AttemptEnd::mayHaveRun,
                                wasHung || endedHere || !server_.isUp());
}

// ----- EventBus -----

EventBus::EventBus(json first) : server_([this](RespSocket& socket) { serve(socket); }) {
    publish(std::move(first));
}

EventBus::~EventBus() {
    over_ = true;
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

// All events, under their own numbers: a list that stood for later ones would hide from a gateway that has
// not heard of those yet what they say.
json EventBus::known() const {
    const std::lock_guard lock(mutex_);
    return {{"offset", last_}, {"batch", events_}};
}

std::string EventBus::answerFrom(std::int64_t from, Millis hold) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, hold, [&] { return last_ > from || over_; });
    json batch = json::array();
    for (const json& event : events_)
        if (event["offset"] > from) batch.push_back(event);
    return json{{"offset", last_}, {"batch", batch}}.dump();
}

void EventBus::serve(RespSocket& socket) {
    std::string head;
    while (!over_) {
        if (hung_) {
            std::this_thread::sleep_for(kLookAgain);
            if (!server_.isUp()) return;
            continue;
        }
        pollfd waits{socket.fd(), POLLIN, 0};
        if (::poll(&waits, 1, static_cast<int>(kLookAgain.count())) <= 0) continue;
        char chunk[4096];
        const ssize_t got = ::recv(socket.fd(), chunk, sizeof chunk, 0);
        if (got <= 0) return;
        head.append(chunk, static_cast<std::size_t>(got));
        if (head.find("\r\n\r\n") == std::string::npos) continue;
        const std::int64_t from = std::atoll(head.c_str() + head.find("from=") + 5);
        const Millis hold{std::atoi(head.c_str() + head.find("hold=") + 5)};
        head.clear();
        const std::string body = answerFrom(from, hold);
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
