#include "loop.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

#include "system_errors.hpp"

namespace lotuslead::net {

namespace {

constexpr int kMaxInterruptedPolls = 16;
constexpr Micros kImmediatePoll{1000};  // a poll this short returned events that were already pending
// A wait that lasts longer shows by the clock that the process was suspended (stallTime).
constexpr Micros kMaxPollTime{100'000};
constexpr Micros kWatchRetryDelay{2000};  // after epoll_ctl found no memory

}  // namespace

Loop::Loop() : epoll_(retryWhileShort([] { return ::epoll_create1(EPOLL_CLOEXEC); })), now_(clock()) {
    if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

Micros Loop::clock() {
    return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}

Loop::HandlerId Loop::add(int fd, std::uint32_t events, Handler& handler, Priority priority) {
    const HandlerId id = nextId_++;
    if (!watch(id, fd, events)) pendingWatches_[id] = {fd, events};
    handlers_[id] = {&handler, priority};
    return id;
}

// Returns false if the kernel is short of memory or of watches. A later retry then also reports events from
// the meantime.
bool Loop::watch(HandlerId id, int fd, std::uint32_t events) {
    epoll_event event{};
    event.events = events | EPOLLET;
    event.data.u64 = id;
    if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) == 0) return true;
    if (errno == ENOMEM || errno == ENOSPC) return false;
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

void Loop::retryPendingWatches() {
    std::erase_if(pendingWatches_, [this](const auto& entry) {
        return watch(entry.first, entry.second.fd, entry.second.events);
    });
}

void Loop::remove(HandlerId id, int fd) {
    if (pendingWatches_.erase(id) == 0) ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
    handlers_.erase(id);
    nextTurn_.erase(id);
}

void Loop::callNextTurn(HandlerId id, std::uint32_t events) { nextTurn_[id] |= events; }

Loop::TimerKey Loop::after(Micros delay, std::function<void()> task) {
    const TimerKey key{now_ + delay, nextId_++};
    timers_.emplace(key, std::move(task));
    return key;
}

void Loop::runPosted() {
    // Includes tasks that are posted while this runs.
    for (std::size_t i = 0; i < posted_.size(); ++i) {
        const auto task = std::move(posted_[i]);
        task();
    }
    posted_.clear();
}

void Loop::handle(HandlerId id, std::uint32_t what) {
    const auto found = handlers_.find(id);
    if (found == handlers_.end()) return;
    const std::uint32_t left = found->second.handler->ready(what);
    if (left != 0 && handlers_.count(id) > 0) nextTurn_[id] |= left;
    runPosted();
}

// A wait that is interrupted, for example by SIGSTOP and SIGCONT, returns no events. It is repeated without
// waiting, since due timers would otherwise act before the loop has seen disconnects from the meantime.
int Loop::pollEvents(Events& events, int wait) {
    const Micros entered = clock();
    const auto poll = [&](int millis) {
        return ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), millis);
    };
    int count = poll(wait);
    const bool interrupted = count < 0;
    for (int i = 0; i < kMaxInterruptedPolls && count < 0 && errno == EINTR; ++i) count = poll(0);
    const Micros before = std::exchange(now_, clock());
    const Micros slept = now_ - entered;
    const Micros overslept = std::max(Micros{0}, slept - std::chrono::milliseconds{wait});
    // A long turn counts even after a longer poll: on a busy machine, a poll with pending events takes a
    // while too.
    const Micros turn = entered - before;
    const bool counts = slept < kImmediatePoll || turn > kStallThreshold;
    const Micros stall = std::max(counts ? turn : Micros{0}, interrupted ? slept : overslept);
    std::rotate(recentStalls_.begin(), recentStalls_.begin() + 1, recentStalls_.end());
    recentStalls_.back() = stall;
    if (stall > kStallThreshold) lastStallAt_ = now_;
    return count;
}

void Loop::turn(Micros until) {
    retryPendingWatches();
    if (!pendingWatches_.empty()) until = std::min(until, now_ + kWatchRetryDelay);
    if (!timers_.empty()) until = std::min(until, timers_.begin()->first.first);
    const bool busy = !nextTurn_.empty() || !posted_.empty();
    int wait = 0;
    until = std::min(until, now_ + kMaxPollTime);
    if (!busy && until > now_) {
        // Rounded up: waking too early would make the loop spin.
        wait = static_cast<int>(((until - now_).count() + 999) / 1000);
    }
    handleInOrder(collectReady(wait));
    runTimers();
    runPosted();
    destroyedAfterTurn_.clear();
}

// Collects all ready events, not only the first batch, so that priorities hold among all of them.
Loop::ReadyEvents Loop::collectReady(int wait) {
    ReadyEvents ready;
    ready.swap(nextTurn_);
    Events events;
    const int most = static_cast<int>(events.size());
    int count = pollEvents(events, wait);
    for (int waits = 1;; ++waits) {
        for (int i = 0; i < count; ++i)
            ready[events[static_cast<std::size_t>(i)].data.u64] |= events[static_cast<std::size_t>(i)].events;
        if (count < most || waits == kMaxPollsPerTurn) return ready;
        count = ::epoll_wait(epoll_.get(), events.data(), most, 0);
    }
}

// Looks up each handler when its event is due, since an earlier handler may have removed it.
void Loop::handleInOrder(const ReadyEvents& ready) {
    std::array<std::vector<ReadyEvents::value_type>, static_cast<std::size_t>(Priority::count_)> ordered;
    for (const auto& event : ready)
        if (const auto found = handlers_.find(event.first); found != handlers_.end())
            ordered[static_cast<std::size_t>(found->second.priority)].push_back(event);
    for (const auto& events : ordered)
        for (const auto& [id, what] : events) handle(id, what);
}

// After a suspension within a turn, the events of that turn are out of date. Timers and end-of-turn tasks
// then wait for the next turn, which handles disconnects and cancellations from the meantime first.
void Loop::runTimers() {
    const bool mayHold = !std::exchange(timersDeferred_, false);
    while (!timers_.empty() && timers_.begin()->first.first <= now_) {
        if (mayHold && turnOverran()) {
            timersDeferred_ = true;
            return;
        }
        const auto task = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        task();
        runPosted();
    }
}

}  // namespace lotuslead::net
