// Establishes whether this agent's store includes everything that the agents have agreed on. It may lack
// changes after a start, when the store holds a snapshot and perhaps a part of the log, and after each loss
// of contact with the leader. That a leader is known proves nothing: a follower hears of it before it has
// applied what is committed, and a new leader has applied everything only after a first barrier.
//
// A read index decides (Ongaro, "Consensus: bridging theory and practice", 6.4): the leader tells the
// revision that its store has after a barrier, which a majority has confirmed; this agent has caught up once
// its own store has that revision. The revision comes from a linearizable read at the leader's control
// address, which earlier versions of the agent serve, too.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "../config/store.hpp"
#include "../net/loop.hpp"
#include "consensus.hpp"
#include "settings.hpp"

namespace lotuslead::agent {

class CatchUp {
public:
    enum class State {
        waiting,    // changes may be missing here
        caughtUp,   // as of the last loss of contact, and in contact with the leader since
        notMember,  // the leader does not list this agent, which therefore hears of no change
    };
    struct Counters {
        std::uint64_t waits = 0, caughtUp = 0;
        net::Micros lastWait{};  // duration of the last wait that has ended
    };

    // `stateChanged` is called after each change of state().
    CatchUp(net::Loop& loop, const AgentConfiguration& configuration, const config::Store& store,
            Consensus& consensus, std::function<void()> stateChanged);
    CatchUp(const CatchUp&) = delete;

    // To be called after each Consensus::poll().
    void poll();

    State state() const { return state_; }
    bool caughtUp() const { return state_ == State::caughtUp; }
    // How old the store's content may be; nothing while that is not known, from a start to the first
    // catch-up.
    std::optional<std::chrono::milliseconds> age() const;
    const char* description() const;  // of the state, for operators
    // The revision that the store has to reach; nothing while it is not known.
    std::optional<config::Revision> awaitedRevision() const { return awaitedRevision_; }
    net::Micros waitingFor() const;  // zero unless waiting
    const Counters& counters() const { return counters_; }

private:
    bool inContact() const;
    void contactLost();
    void beginWait();
    void endWait();
    void enter(State state);
    void requestRevision();
    void confirmByBarrier();
    void askLeader(const settings::Endpoint& control);
    void revisionKnown(std::uint64_t contactLosses, std::optional<config::Revision> revision);
    void askWhetherMember();
    void membersReceived(std::uint64_t asked, int status, const std::string& body);
    std::optional<settings::Endpoint> endpointOf(std::uint64_t agent) const;
    std::vector<std::uint64_t> otherAgents() const;

    net::Loop& loop_;
    const AgentConfiguration& configuration_;
    const config::Store& store_;
    Consensus& consensus_;
    std::function<void()> stateChanged_;
    const net::Micros electionTimeout_;
    State state_ = State::waiting;
    std::optional<config::Revision> awaitedRevision_;
    net::Micros waitingSince_{}, lastPollAt_{}, lastContactAt_{}, lastCurrentAt_{};
    net::Micros nextRequestAt_{}, nextMembershipRequestAt_{};
    std::uint64_t contactLosses_ = 0;  // polls without contact, or after a suspension
    bool revisionRequested_ = false;
    std::size_t pendingMembershipRequests_ = 0;
    Counters counters_;
};

}  // namespace lotuslead::agent
