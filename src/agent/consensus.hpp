// Raft among the agents, by libraft and its libuv back end, which is run from this program's own loop.
#pragma once

#include <uv.h>

#include <functional>
#include <string>
#include <vector>

extern "C" {  // libraft's headers don't say so themselves
#include <raft.h>
#include <raft/uv.h>
}

#include "../net/loop.hpp"
#include "state.hpp"

namespace lotuslead::agent {

struct Member {
    std::uint64_t id = 0;
    std::string raft;     // address:port for the other agents
    std::string control;  // address:port for the tool
};

class Consensus : private net::Handler {
public:
    using Done = std::function<void(bool agreed)>;

    Consensus(net::Loop& loop, const std::vector<Member>& members, std::uint64_t self,
              const std::string& folder, State& state, std::function<void()> changed);
    ~Consensus() override;
    Consensus(const Consensus&) = delete;

    // Only the leader can; `done` comes once a majority has it, or when that fails.
    void propose(const std::string& command, Done done);
    bool leads();
    std::uint64_t leader();  // 0: none is known
    std::uint64_t applied();

    net::Micros nextTurn() const;
    void turn();  // runs what libuv has to do

private:
    struct Proposal;

    std::uint32_t ready(std::uint32_t) override { return 0; }  // turn() follows in any case
    void check(int result, const char* what);

    net::Loop& loop_;
    State& state_;
    std::function<void()> changed_;
    uv_loop_t uv_{};
    raft_uv_transport transport_{};
    raft_io io_{};
    raft_fsm fsm_{};
    raft raft_{};
    net::Loop::HandlerId handler_ = 0;
    bool closed_ = false;
};

}  // namespace lotuslead::agent
