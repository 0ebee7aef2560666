// Stand-ins for the stores and for the event bus, on loopback sockets, that misbehave on demand: they hang,
// die and come back cold, spoil answers, answer twice, close connections at rest and drain.
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

// Accepts on loopback, with a thread for each connection. It can be taken down and brought up at its port.
class Server {
public:
    using Serve = std::function<void(RespSocket&)>;
    explicit Server(Serve serve);
    ~Server();
    std::uint16_t port() const { return port_; }
    void down();  // as a process that dies: connections are reset, new ones refused
    void up();
    bool isUp() const { return up_; }

private:
    struct Connection {
        std::thread thread;
        std::shared_ptr<RespSocket> socket;
        std::atomic<bool> over{false};
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

// What all stores share: which objects were purged, and when each store has to have dropped its copies.
class Purges {
public:
    void add(const std::string& entity, std::int64_t atMs);
    std::int64_t of(const std::string& entity) const;  // zero: never

private:
    mutable std::mutex mutex_;
    std::unordered_map<std::string, std::int64_t> atMs_;
};

enum class StoreKind : std::uint8_t { cache, parent, origin };

inline constexpr std::size_t kObjectBytes = 20'000;

// How a store in slow start is held to its budget; the figures are the soak's configuration's.
struct ColdStart {
    double callsAtFullPace = 0;  // in one window
    double from = 0, multiple = 0;
    Millis warmWithin{}, window{};
};

class Store {
public:
    struct Faults {
        std::atomic<double> refuses{0.02}, errors{0.01}, twice{0.01}, half{0.003}, garbage{0.001},
            closes{0.002};
        std::atomic<int> leastMs{1}, mostMs{25};
    };

    Store(std::string name, StoreKind kind, Judge& judge, const Purges& purges, const ColdStart& cold,
          std::uint64_t seed);
    ~Store();

    const std::string& name() const { return name_; }
    StoreKind kind() const { return kind_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
    Faults& faults() { return faults_; }

    void hang(bool hung) { hung_ = hung; }  // reads and answers nothing; the kernel still takes connections
    void crash();
    std::int64_t restartCold();  // the Unix millisecond of its start

private:
    struct Due {
        TimePoint at;
        std::string id, bytes;
        int attempt = -1;
        AttemptEnd end = AttemptEnd::mayHaveRun;
        bool closesAfter = false;
        bool isEcho = false;
    };
    struct Copy {
        std::int64_t mintedMs = 0;
    };

    void serve(RespSocket& socket);
    void take(const RespElements& elements, std::deque<Due>& due, bool late);
    Due answerTo(const RespElements& elements);
    std::string bodyOf(const std::string& entity, const std::string& block, std::int64_t mintedMs) const;
    std::int64_t mintedOf(const std::string& entity, std::int64_t freshMs, bool mayFill, bool neverKept);
    void countColdCall();
    bool chance(double probability);
    int between(int least, int most);

    std::string name_;
    StoreKind kind_;
    Judge& judge_;
    const Purges& purges_;
    ColdStart cold_;
    Faults faults_;
    std::atomic<bool> hung_{false}, over_{false};
    std::mutex mutex_;
    std::mt19937_64 random_;
    std::unordered_map<std::string, Copy> copies_;
    std::optional<TimePoint> coldSince_;
    std::deque<TimePoint> coldCalls_;
    bool budgetBroken_ = false;
    Server server_;
};

std::string tagOf(const std::string& entity, std::int64_t mintedMs);

// The event bus: one numbered list of events, read by long polls.
class EventBus {
public:
    explicit EventBus(json first);
    ~EventBus();
    std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
    void publish(json event);
    json known() const;  // for the configuration of a gateway that starts now
    void down() { server_.down(); }
    void up() { server_.up(); }
    void hang(bool hung) { hung_ = hung; }
    void slow(bool slow) { slow_ = slow; }  // answers come in small pieces

private:
    void serve(RespSocket& socket);
    std::string answerFrom(std::int64_t from, Millis hold);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<json> events_;
    std::int64_t last_ = 0;
    std::atomic<bool> hung_{false}, slow_{false}, over_{false};
    Server server_;
};

}  // namespace lotuslead::soak
