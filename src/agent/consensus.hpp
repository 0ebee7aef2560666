// Raft among the agents, by libraft, whose libuv loop is run from this program's own.
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
    std::string raft;     // address:port for the other agents
    std::string control;  // address:port for the tool
};

struct RaftOptions {
    unsigned electionTimeoutMs = 1000;  // a leader without a majority steps down after as long
    unsigned heartbeatIntervalMs = 50;  // a follower learns within two of these what is agreed
    unsigned snapshotThreshold = 4096;  // commands
};

class Consensus : private net::Handler {
public:
    enum class ProposalResult {
        applied,
        refused,  // it was not proposed; nothing has happened
        unknown,  // it may be applied yet, or never
    };
    using ProposalCallback = std::function<void(ProposalResult, const config::Outcome&)>;
    struct ConfigurationMember {
        std::uint64_t id = 0;
        std::string address;
        const char* role = "";  // voter, standby (receives, no vote), spare (neither)
    };

    // `listen`: where, if not at its own address, such as behind a relay; empty: there.
    // `bootstrap`: the members of a cluster that is new; empty: it joins one that there is. A folder that has
    // been in use goes by what it holds.
    Consensus(net::Loop& loop, const Member& self, const std::vector<Member>& bootstrap,
              const std::string& folder, const std::string& listen, const RaftOptions& rules,
              config::Store& store, std::function<void()> changed);
    ~Consensus() override;
    Consensus(const Consensus&) = delete;

    // Only the leader can.
    void propose(const std::string& command, ProposalCallback done);
    // True: from here on the store holds all that had been answered for when this was called. Reads that come
    // in one turn share a barrier.
    void barrier(std::function<void(bool)> done);

    bool isLeader();
    // False: what is proposed now is refused, since this agent cannot write its log.
    bool acceptsProposals() const { return !node_->storage().failing() && !node_->storage().backlogFull(); }
    std::uint64_t leader();  // 0: none is known
    std::uint64_t lastAppliedIndex();
    // How long writes of this agent's log have failed; zero: they don't. Nothing is proposed meanwhile.
    std::chrono::milliseconds storageFailingFor() const { return node_->storage().failingFor(); }
    // Since this agent last heard of a leader, or of its majority where it leads itself, at most.
    std::int64_t leaderContactAgeMs();

    std::vector<ConfigurationMember> members();
    // One at a time, by the leader. `problem`: empty where it is done.
    using ChangeCallback = std::function<void(const std::string& problem)>;
    void add(std::uint64_t id, const std::string& address, ChangeCallback changed);
    void promote(std::uint64_t id, ChangeCallback changed);  // after it has caught up
    void remove(std::uint64_t id, ChangeCallback changed);

    net::Micros nextPollTime() const;
    void poll();  // runs what libuv has to do

    // Makes this folder's the log of a cluster of its own, for good. Nothing else may run in it. Throws.
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

    std::uint32_t ready(std::uint32_t) override { return 0; }  // turn() follows in any case
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
    config::Outcome outcome_;  // of the command applied last
    std::vector<std::function<void(bool)>> pendingReads_;
    net::Micros electionTimeout_;
    std::deque<PendingProposal> proposals_;  // that are not answered for, the oldest first
    std::uint64_t lastProposal_ = 0;
    struct raft_transfer transferRequest_ {};
    bool transferPending_ = false;
    net::Micros nextTransferAt_{};
    raft_fsm fsm_;
    std::optional<RaftNode> node_;  // ends first: its callbacks use all above
    net::Loop::HandlerId handler_ = 0;
};

}  // namespace lotuslead::agent
