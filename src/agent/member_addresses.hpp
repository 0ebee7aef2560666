// Finds the control addresses of agents: in the replicated documents, else in the agent's own configuration.
#pragma once

#include <cstdint>
#include <string>

#include "../config/store.hpp"
#include "settings.hpp"

namespace lotuslead::agent {

inline constexpr const char* kAgentPrefix = "agents/";

// Empty if the agent is not known.
inline std::string controlAddressOf(const config::Store& store, const AgentConfiguration& configuration,
                                    std::uint64_t agent) {
    if (const auto* document = store.find(kAgentPrefix + std::to_string(agent)))
        return document->value.value("control", "");
    for (const Member& member : configuration.members)
        if (member.id == agent) return member.control;
    return {};
}

}  // namespace lotuslead::agent
