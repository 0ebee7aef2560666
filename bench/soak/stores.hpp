// Simulated stores and event bus on loopback sockets that misbehave on demand: they hang, crash and restart
// budget, send malformed, truncated or duplicate answers, and close connections.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "judge.hpp"

namespace lotuslead::soak {

using nlohmann::json;

// Accepts connections on loopback, with a thread for each. It can be taken down and brought up on the same
// port.
class Server {
public:
    using Serve = std::function<void(RespSocket&)>;
    explicit Server(Serve serve);
    ~Server();
    std::uint16_t port() const { return port_; }
    void down();  // like a crashed process: connections are reset, new ones refused
    void up();
    bool isUp() const { return up_; }

private:
    struct Connection {
        std::thread thread;
        std::shared_ptr<RespSocket> socket;
        std::atomic<bool> finished{false};
    };
    void accept();
    void reap();

    Serve serve_;
    std::uint16_t port_ = 0;
    std::atomic<int> listener_{-1};
    std::atomic<bool> up_{false};
    std::thread acceptor_;
    std::mutex mutex_;
    std::list<Connection> connections_;
};

// The purges that all stores share: the Unix millisecond of each object's last purge.
class Purges {
public:
    void add(const std::string& entity, std::int64_t atMs);
    std::int64_t of(const std::string& entity) const;  // 0: never

private:
    mutable std::mutex mutex_;
    std::unordered_map<std::string, std::int64_t> atMs_;
};

enum class StoreKind : std::uint8_t { cache, parent, origin };

inline constexpr std::size_t kObjectBytes = 20'000;

// The limit on calls to a store in slow start; the values are those of the gateways' configuration.
struct SlowStartBudget {
    double fullRateCallsPerWindow = 0;
    double initialShare = 0, burstFactor = 0;
    Millis warmUpTime{}, window{};
};

class Store {
public:
    // Probabilities for each answer, and the bounds of its delay.
    struct Faults {
        std::atomic<double> refusals{0.02}, errors{0.01}, duplicates{0.01}, truncations{0.003},
            malformedAnswers{0.001}, closes{0.002};
        std::atomic<int> minDelayMs{1}, maxDelayMs{25};
    };

    Store(std::string name, StoreKind kind, Judge& judge, const Purges& purges, const SlowStartBudget& budget,
          std::uint64_t seed);
    ~Store();

    const std::string& name() const { return name_; }
    StoreKind kind() const { return kind_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
    Faults& faults() { return faults_; }

    void hang(bool hung) { hung_ = hung; }  // reads and answers nothing; the kernel still accepts connections
    void crash();
    std::int64_t restartCold();  // returns the Unix millisecond of its start

private:
    struct PendingAnswer {
        TimePoint at;
        std::string id, bytes;
        int attempt = -1;
        AttemptEnd end = AttemptEnd::mayHaveRun;
        bool closesAfterAnswer = false;
        bool ignoresKill = false;
    };
    struct Copy {
        std::int64_t createdMs = 0;
    };

    void serve(RespSocket& socket);
    void handleCommand(const RespMessage& message, std::deque<PendingAnswer>& pending, bool observedLate);
    PendingAnswer answerTo(const RespMessage& message);
    std::string bodyOf(const std::string& entity, const std::string& block, std::int64_t createdMs) const;
    std::int64_t servedCopyTime(const std::string& entity, std::int64_t freshMs, bool mayFill,
                                bool neverCached);
    void checkSlowStartBudget();
    bool chance(double probability);
    int randomInt(int min, int max);

    std::string name_;
    StoreKind kind_;
    Judge& judge_;
    const Purges& purges_;
    SlowStartBudget slowStartBudget_;
    Faults faults_;
    std::atomic<bool> hung_{false}, finished_{false};
    std::mutex mutex_;
    std::mt19937_64 random_;
    std::unordered_map<std::string, Copy> copies_;
    std::optional<TimePoint> slowStartedAt_;
    std::deque<TimePoint> slowStartCalls_;
    bool budgetExceeded_ = false;
    Server server_;
};

std::string tagOf(const std::string& entity, std::int64_t createdMs);

// The event bus: a list of events with offsets, read by long polls.
class EventBus {
public:
    explicit EventBus(json first);
    ~EventBus();
    std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
    void publish(json event);
    json allEvents() const;  // the 'known' value for the configuration of a gateway that starts now
    void down() { server_.down(); }
    void up() { server_.up(); }
    void hang(bool hung) { hung_ = hung; }
    void slow(bool slow) { slow_ = slow; }  // sends responses in small pieces

private:
    void serve(RespSocket& socket);
    std::string responseSince(std::int64_t from, Millis hold);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<json> events_;
    std::int64_t last_ = 0;
    std::atomic<bool> hung_{false}, slow_{false}, finished_{false};
    Server server_;
};

}  // namespace lotuslead::soak
