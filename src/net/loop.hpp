// A single-threaded event loop on edge-triggered epoll, with timers. A turn is one iteration; the clock is
// read once per turn.
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

// Receives readiness events. A handler works until EAGAIN or until its budget for the turn is used up; in the
// latter case it returns the events with which it must be called again in the next turn.
class Handler {
public:
    virtual ~Handler() = default;
    virtual std::uint32_t ready(std::uint32_t events) = 0;
};

// Within a turn, events of high priority are handled first.
enum class Priority : std::uint8_t { high, normal, count_ };

class Loop {
public:
    using HandlerId = std::uint64_t;
    using TimerKey = std::pair<Micros, std::uint64_t>;

    Loop();

    Micros now() const { return now_; }
    // Reads the clock, for callers in a long turn, for which now() is too old.
    static Micros clock();
    // Upper bound on how long data that is read in this turn may have waited unread, because earlier turns
    // were long or the process was suspended.
    Micros stallTime() const {
        return std::accumulate(recentStalls_.begin(), recentStalls_.end(), Micros{0});
    }
    // The loop stalled shortly before, so data read now may have waited as well.
    bool recentlyStalled() const { return now_ - lastStallAt_ < kRecentStallWindow; }
    // The turn has taken so long that its events may be out of date; new work should wait for the next turn.
    bool turnOverran() const { return clock() - now_ > kMaxTurnTime; }
    // Timers are deferred to the next turn because this one overran, so that they act on current input. Never
    // in two consecutive turns.
    bool timersDeferred() const { return timersDeferred_; }
    HandlerId add(int fd, std::uint32_t events, Handler& handler, Priority priority = Priority::normal);
    void remove(HandlerId id, int fd);
    void callNextTurn(HandlerId id, std::uint32_t events);  // without a new epoll edge

    TimerKey after(Micros delay, std::function<void()> task);
    void cancel(TimerKey key) { timers_.erase(key); }
    void post(std::function<void()> task) { posted_.push_back(std::move(task)); }
    // Runs the task at the end of the turn, after all its events have been handled.
    void atEndOfTurn(std::function<void()> task) { after(Micros{0}, std::move(task)); }
    // Keeps the object alive until the end of the turn, since callers on the stack may still use it.
    void destroyAfterTurn(std::shared_ptr<void> object) { destroyedAfterTurn_.push_back(std::move(object)); }

    // Runs one iteration: waits for an event, a due timer or `until`, then handles what is ready.
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
    static constexpr int kMaxPollsPerTurn = 16;  // further events wait for the next turn
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
    // For the last turns, since a connection is accepted in one and read in a later one.
    std::array<Micros, 3> recentStalls_{};
    Micros lastStallAt_{-kRecentStallWindow};  // of a stall longer than kStallThreshold
    std::uint64_t nextId_ = 1;
    std::unordered_map<HandlerId, Registered> handlers_;
    std::map<HandlerId, PendingWatch> pendingWatches_;  // for which the kernel had no memory
    ReadyEvents nextTurn_;
    std::map<TimerKey, std::function<void()>> timers_;
    bool timersDeferred_ = false;
    std::vector<std::function<void()>> posted_;
    std::vector<std::shared_ptr<void>> destroyedAfterTurn_;
};

}  // namespace lotuslead::net
