// One thread, one edge-triggered epoll. The clock is read once a turn.
#pragma once

#include <sys/epoll.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <unordered_map>
#include <utility>
#include <vector>

#include "descriptor.hpp"

namespace lotuslead::net {

using Micros = std::chrono::microseconds;

// What is told when a descriptor turns ready. With edges, it works until EAGAIN or until its share of the
// turn is used up; in the latter case it returns the events that it must be called with again.
class Handler {
public:
    virtual ~Handler() = default;
    virtual std::uint32_t ready(std::uint32_t events) = 0;
};

// The order in which the events of a turn are handled.
enum class Priority : std::uint8_t { high, normal, count_ };

class Loop {
public:
    using HandlerId = std::uint64_t;
    using TimerKey = std::pair<Micros, std::uint64_t>;

    Loop();

    Micros now() const { return now_; }
    // The clock itself, where a long turn would make now() too early.
    static Micros clock();
    // For so long what is read in this turn may have waited: the turn before was as long, or the process was
    // held up.
    Micros stallTime() const {
        return std::accumulate(recentStalls_.begin(), recentStalls_.end(), Micros{0});
    }
    // The process was held up for long a moment ago: what is read now may have waited, too.
    bool recentlyStalled() const { return now_ - lastStallAt_ < kRecentStallWindow; }
    // The turn has taken so long that what it has heard may be out of date: what begins anything waits for
    // the next one.
    bool turnOverran() const { return clock() - now_ > kMaxTurnTime; }
    // Timers wait for the next turn, since this one is stale: what they decide goes by what clients and
    // servers had said by now. Never in two turns in a row.
    bool timersDeferred() const { return timersDeferred_; }
    HandlerId add(int fd, std::uint32_t events, Handler& handler, Priority priority = Priority::normal);
    void remove(HandlerId id, int fd);
    void callNextTurn(HandlerId id, std::uint32_t events);  // in the next turn, without a new edge

    TimerKey after(Micros delay, std::function<void()> task);
    void cancel(TimerKey key) { timers_.erase(key); }
    void post(std::function<void()> task) { posted_.push_back(std::move(task)); }
    // At the end of the turn, when all that came with it has been heard: who has left, what is drained.
    void atEndOfTurn(std::function<void()> task) { after(Micros{0}, std::move(task)); }
    // Destroys it once nothing on the stack can be using it any more.
    void destroyAfterTurn(std::shared_ptr<void> object) { destroyedAfterTurn_.push_back(std::move(object)); }

    // One turn: waits until something is ready, a timer is due or `until` has come.
    void turn(Micros until);

private:
    struct PendingWatch {
        int fd = -1;
        std::uint32_t events = 0;
    };

    struct Registered {
        Handler* handler = nullptr;
        Priority priority = Priority::normal;
    };

    using Events = std::array<epoll_event, 256>;
    using ReadyEvents = std::unordered_map<HandlerId, std::uint32_t>;
    static constexpr int kMaxPollsPerTurn = 16;  // more events than that wait for the next turn
    static constexpr Micros kMaxTurnTime{50'000};
    static constexpr Micros kRecentStallWindow{250'000};
    static constexpr Micros kStallThreshold{20'000};

    int pollEvents(Events& events, int wait);
    ReadyEvents collectReady(int wait);
    void handleInOrder(const ReadyEvents& ready);
    void runTimers();
    bool watch(HandlerId id, int fd, std::uint32_t events);
    void retryPendingWatches();
    void runPosted();
    void handle(HandlerId id, std::uint32_t what);

    Descriptor epoll_;
    Micros now_;
    // Of the last turns: a connection is accepted in one and read in the next.
    std::array<Micros, 3> recentStalls_{};
    Micros lastStallAt_{-kRecentStallWindow};  // for longer than kStallThreshold
    std::uint64_t nextId_ = 1;
    std::unordered_map<HandlerId, Registered> handlers_;
    std::map<HandlerId, PendingWatch> pendingWatches_;  // those that the kernel had no memory for
    ReadyEvents nextTurn_;
    std::map<TimerKey, std::function<void()>> timers_;
    bool timersDeferred_ = false;
    std::vector<std::function<void()>> posted_;
    std::vector<std::shared_ptr<void>> destroyedAfterTurn_;
};

}  // namespace lotuslead::net
