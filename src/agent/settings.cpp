#include "settings.hpp"

#include <algorithm>
#include <set>

namespace lotuslead::agent {

using nlohmann::json;
using settings::DecodeError;

const Member& AgentConfiguration::self() const {
    return *std::find_if(members.begin(), members.end(), [this](const Member& m) { return m.id == id; });
}

AgentConfiguration readAgentConfiguration(const std::string& text) {
    const json root = json::parse(text, nullptr, false);
    if (!root.is_object()) throw DecodeError("the configuration is not a JSON object");
    const std::set<std::string> knownFields{"id",           "folder",         "program",    "cluster",
                                            "agents",       "join",           "bus",        "election_ms",
                                            "heartbeat_ms", "snapshot_every", "raft_listen"};
    for (const auto& [key, value] : root.items())
        if (knownFields.count(key) == 0) throw DecodeError("field '" + key + "' is not known");
    const auto requireField = [](const json& object, const char* key, bool fits) -> const json& {
        if (!object.contains(key) || !fits)
            throw DecodeError("field '" + std::string(key) + "' is missing or unusable");
        return object[key];
    };
    const auto readString = [&](const json& object, const char* key) -> std::string {
        return requireField(object, key,
                            object.contains(key) && object[key].is_string() &&
                                !object[key].get_ref<const std::string&>().empty());
    };
    const auto id = [&](const json& object) -> std::uint64_t {
        return requireField(object, "id",
                            object.contains("id") && object["id"].is_number_unsigned() && object["id"] > 0);
    };
    const auto readBounded = [&](const char* key, unsigned min, unsigned max, unsigned& into) {
        if (!root.contains(key)) return;
        if (!root[key].is_number_unsigned() || root[key] < min || root[key] > max)
            throw DecodeError("field '" + std::string(key) + "' is not within " + std::to_string(min) +
                              " and " + std::to_string(max));
        into = root[key];
    };
    AgentConfiguration result;
    result.id = id(root);
    result.folder = readString(root, "folder");
    result.program = readString(root, "program");
    if (root.contains("cluster")) result.cluster = readString(root, "cluster");
    if (root.contains("join")) result.join = requireField(root, "join", root["join"].is_boolean());
    if (root.contains("bus")) result.bus = settings::readEndpoint(readString(root, "bus"), "bus");
    if (root.contains("raft_listen")) {
        result.raftListen = readString(root, "raft_listen");
        settings::readEndpoint(result.raftListen, "raft_listen");
    }
    readBounded("election_ms", 100, 60'000, result.raft.electionTimeoutMs);
    readBounded("heartbeat_ms", 10, 10'000, result.raft.heartbeatIntervalMs);
    readBounded("snapshot_every", 16, 1'000'000, result.raft.snapshotThreshold);
    if (result.raft.heartbeatIntervalMs * 3 > result.raft.electionTimeoutMs)
        throw DecodeError("field 'heartbeat_ms' is more than a third of election_ms");
    std::set<std::uint64_t> ids;
    for (const json& item :
         requireField(root, "agents", root.contains("agents") && root["agents"].is_array())) {
        if (!item.is_object()) throw DecodeError("field 'agents' is not a list of objects");
        result.members.push_back({id(item), readString(item, "raft"), readString(item, "control")});
        settings::readEndpoint(result.members.back().raft, "raft");
        settings::readEndpoint(result.members.back().control, "control");
        if (!ids.insert(result.members.back().id).second) throw DecodeError("field 'agents' has an id twice");
    }
    if (ids.count(result.id) == 0) throw DecodeError("field 'agents' does not name this agent's id");
    return result;
}

}  // namespace lotuslead::agent
