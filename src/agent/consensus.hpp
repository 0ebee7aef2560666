// Raft consensus among the agents, based on libraft. Its libuv loop is driven from the agent's own event
// loop.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "../config/store.hpp"
#include "../net/loop.hpp"
#include "raft_node.hpp"

namespace lotuslead::agent {

struct Member {
    std::uint64_t id = 0;
    std::string raft;     // address:port for Raft traffic
    std::string control;  // address:port of the control address
};

struct RaftOptions {
    unsigned electionTimeoutMs = 1000;  // a leader without contact to a majority steps down after this time
    unsigned heartbeatIntervalMs = 50;  // a follower learns the commit index within two intervals
    unsigned snapshotThreshold = 4096;  // commands between two snapshots
};

class Consensus : private net::Handler {
public:
    enum class ProposalResult {
        applied,
        refused,  // not proposed: it has no effect
        unknown,  // it may still be applied, or never
    };
    using ProposalCallback = std::function<void(ProposalResult, const config::Outcome&)>;
    struct ConfigurationMember {
        std::uint64_t id = 0;
        std::string address;
        const char* role = "";  // voter, standby (replicates, does not vote), spare (neither)
    };

    // `listen`: the address to listen on if it differs from the member's own, such as behind a relay; else
    // empty. `bootstrap`: the members of a new cluster; empty if the agent joins an existing one. Ignored
    // if the folder already holds state.
    Consensus(net::Loop& loop, const Member& self, const std::vector<Member>& bootstrap,
              const std::string& folder, const std::string& listen, const RaftOptions& rules,
              config::Store& store, std::function<void()> changed);
    ~Consensus() override;
    Consensus(const Consensus&) = delete;

    // Fails unless this agent is the leader.
    void propose(const std::string& command, ProposalCallback done);
    // Calls `done` with true once the store includes everything that was answered before this call. Calls
    // between two polls share one Raft barrier.
    void barrier(std::function<void(bool)> done);

    bool isLeader();
    // False: proposals are refused, because this agent cannot write its log.
    bool acceptsProposals() const {
        return !node_->storage().failingOrVotePending() && !node_->storage().backlogFull();
    }
    std::uint64_t leader();  // 0: unknown
    std::uint64_t lastAppliedIndex();
    // How long writes of this agent's log have been failing; zero if they succeed. Proposals are refused
    // meanwhile.
    std::chrono::milliseconds storageFailingFor() const { return node_->storage().failingFor(); }
    // Upper bound of the time since this agent last heard from the leader or, as leader, from a majority.
    std::int64_t leaderContactAgeMs();

    std::vector<ConfigurationMember> members();
    // One membership change at a time, on the leader only. `problem` is empty on success.
    using ChangeCallback = std::function<void(const std::string& problem)>;
    void add(std::uint64_t id, const std::string& address, ChangeCallback changed);
    void promote(std::uint64_t id, ChangeCallback changed);  // to voter, after it has caught up
    void remove(std::uint64_t id, ChangeCallback changed);

    net::Micros nextPollTime() const;
    void poll();  // runs pending libuv work

    // Replaces the configuration in this folder's log by this agent alone, permanently. No other process
    // may use the folder. Throws.
    static void recoverAlone(const Member& self, const std::string& folder);

private:
    struct Proposal;
    struct PendingProposal {
        std::uint64_t number = 0;
        net::Micros submittedAt{};
        ProposalCallback done;
    };
    struct Barrier;
    struct MemberChange;

    std::uint32_t ready(std::uint32_t) override { return 0; }  // poll() follows in any case
    static raft_fsm makeStateMachine(Consensus& self);
    void bootstrap(const std::vector<Member>& members);
    void completeProposal(std::uint64_t number, ProposalResult result, const config::Outcome& outcome);
    void expireOverdueProposals();
    void transferLeadershipWhileStorageFails();
    void submitBarrier();
    void change(int (*begin)(raft*, raft_change*, std::uint64_t, const char*), std::uint64_t id,
                const std::string& address, ChangeCallback changed);

    net::Loop& loop_;
    config::Store& store_;
    std::function<void()> onStoreChanged_;
    config::Outcome outcome_;  // of the last applied command
    std::vector<std::function<void(bool)>> pendingReads_;
    net::Micros electionTimeout_;
    std::deque<PendingProposal> proposals_;  // without an outcome yet, oldest first
    std::uint64_t lastProposal_ = 0;
    struct raft_transfer transferRequest_ {};
    bool transferPending_ = false;
    net::Micros nextTransferAt_{};
    raft_fsm fsm_;
    std::optional<RaftNode> node_;  // last member: destroyed first, as its callbacks use the members above
    net::Loop::HandlerId handler_ = 0;
};

}  // namespace lotuslead::agent
