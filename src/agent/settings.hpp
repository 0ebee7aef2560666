// An agent's file: JSON, checked whole.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "../settings/settings.hpp"
#include "consensus.hpp"

namespace lotuslead::agent {

struct AgentConfiguration {
    std::uint64_t id = 0;
    std::string folder, program;
    std::string cluster = "lotuslead";  // a folder of another cluster is not touched
    std::vector<Member> members;        // this one among them; those of the first start
    bool join = false;                  // the cluster is there already, and is told of this agent by the tool
    std::optional<settings::Endpoint> bus;  // where gateways read boxes and purges
    std::string raftListen;  // where it listens for the other agents, if not at its own `raft` address
    RaftOptions raft;

    const Member& self() const;
};

// Throws settings::Malformed, with the field named.
AgentConfiguration readAgentConfiguration(const std::string& text);

}  // namespace lotuslead::agent
