// An agent's configuration file: JSON, fully validated on reading.
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
    std::string cluster = "lotuslead";      // the folder of another cluster is refused
    std::vector<Member> members;            // initial members, including this agent
    bool join = false;                      // join an existing cluster, to which the tool adds this agent
    std::optional<settings::Endpoint> bus;  // event feed for gateways
    std::string raftListen;  // Raft listen address, if it differs from the member's `raft` address
    RaftOptions raft;

    const Member& self() const;
};

// Throws settings::DecodeError, whose message names the field.
AgentConfiguration readAgentConfiguration(const std::string& text);

}  // namespace lotuslead::agent
