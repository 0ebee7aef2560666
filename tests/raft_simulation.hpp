// A simulated cluster: libraft's core and the agents' state machine on a network, disks and a clock that
// are driven by a seed. Single-threaded; all events come from one time-ordered queue, so that a seed always
// gives the same run. Messages are delayed, reordered, lost, or cut off in one direction. Disks are slow,
// and a crash loses any part of what was not acknowledged yet.
#pragma once

extern "C" {
#include <raft.h>
}

#include <array>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "agent/append_entries_guard.hpp"
#include "config/store.hpp"
#include "support/hash.hpp"

namespace lotuslead::testing {

class RaftSimulation {
public:
    struct Entry {
        raft_term term = 0;
        unsigned short type = 0;
        std::string data;
    };
    struct Snapshot {
        raft_index index = 0, configurationIndex = 0;
        raft_term term = 0;
        std::vector<std::pair<raft_id, int>> members;
        std::string data;
    };
    // State that survives a crash.
    struct Disk {
        raft_term term = 0;
        raft_id vote = 0;
        raft_index first = 1;  // index of the first entry
        std::vector<Entry> entries;
        std::size_t durable = 0;  // number of durable entries
        std::optional<Snapshot> snapshot;
    };
    using Applied = std::function<void(bool coveredEntries, const config::Outcome&)>;

    class Server {
    public:
        Server(RaftSimulation& simulation, raft_id id) : simulation_(simulation), id_(id) {}
        ~Server() { crash(); }

        bool isRunning() const { return run_ != nullptr; }
        bool isLeader() const { return isRunning() && raft_state(&run_->raft) == RAFT_LEADER; }
        const config::Store& store() const { return run_->store; }
        raft_index applied() const { return raft_last_applied(&run_->raft); }

        void start();
        void crash();
        // Returns false if the command was not proposed.
        bool propose(const std::string& command, Applied done);
        bool barrier(std::function<void(bool)> done);

    private:
        friend class RaftSimulation;
        struct Pending {
            raft_io_append* request;
            raft_io_append_cb done;
            raft_index last;
        };
        // State that a crash destroys.
        struct Run {
            Server* server = nullptr;
            agent::AppendEntriesGuard guarded;
            raft_fsm fsm{};
            struct raft raft {};
            config::Store store{config::Bounds{.history = 64, .events = 64}};
            config::Outcome outcome;
            raft_io_tick_cb tick = nullptr;
            raft_io_recv_cb receive = nullptr;
            std::deque<Pending> appends;
            std::vector<std::shared_ptr<std::function<void(int)>>>
                waiting;  // callbacks that a close must still run
        };
        struct Proposal {
            struct raft_apply request {};
            Applied done;
        };
        struct Barrier {
            struct raft_barrier request {};
            std::function<void(bool)> done;
        };

        void fill(raft_io& io);
        void scheduleTick(unsigned ms);
        void completeOldestAppend();
        // Runs the action after the delay with status 0, or at a crash before that with RAFT_CANCELED.
        void runLater(int ms, std::function<void(int status)> action);

        RaftSimulation& simulation_;
        raft_id id_;
        Disk disk_;
        std::unique_ptr<Run> run_;
        std::uint64_t incarnation_ = 0;
    };

    RaftSimulation(int size, std::uint64_t seed) : random_(seed) {
        for (int i = 0; i < size; ++i)
            servers_.push_back(std::make_unique<Server>(*this, static_cast<raft_id>(i + 1)));
        cut_.assign(static_cast<std::size_t>(size), std::vector<bool>(static_cast<std::size_t>(size), false));
        for (auto& server : servers_) server->start();
    }
    ~RaftSimulation() {
        for (auto& server : servers_) server->crash();
    }

    Server& server(std::size_t i) { return *servers_[i]; }
    std::size_t size() const { return servers_.size(); }
    raft_time now() const { return now_; }
    std::uint64_t randomBelow(std::uint64_t bound) { return random_() % bound; }
    void cut(std::size_t from, std::size_t to, bool is) { cut_[from][to] = is; }
    void heal() {
        for (auto& row : cut_) row.assign(row.size(), false);
        lossPercent_ = 0;
        maxDelayMs_ = 20;
    }
    void setNetworkFaults(int lossPercent, int maxDelayMs) {
        lossPercent_ = lossPercent;
        maxDelayMs_ = maxDelayMs;
    }
    void after(int ms, std::function<void()> action) {
        events_.emplace(std::pair(now_ + static_cast<raft_time>(ms), ++eventNumber_), std::move(action));
    }
    void runFor(int ms) {
        const raft_time until = now_ + static_cast<raft_time>(ms);
        while (!events_.empty() && events_.begin()->first.first <= until) {
            now_ = events_.begin()->first.first;
            const auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            trace_ = combine(trace_, now_);
            action();
        }
        now_ = until;
    }
    // Hash of the run: two runs of the same seed have the same value.
    std::uint64_t trace() const { return trace_; }
    void addToTrace(std::uint64_t action) { trace_ = combine(trace_, action); }

    std::function<void(raft_id, std::uint64_t number, std::string_view command)>
        applied;  // called for every command that a server applies

private:
    int diskMs() { return static_cast<int>(randomBelow(8)); }
    void deliver(raft_id from, const raft_message& message);

    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::vector<bool>> cut_;
    int lossPercent_ = 0, maxDelayMs_ = 20;
    raft_time now_ = 1000;
    std::uint64_t eventNumber_ = 0, trace_ = 0;
    std::map<std::pair<raft_time, std::uint64_t>, std::function<void()>> events_;
};

}  // namespace lotuslead::testing
