#include "state.hpp"

namespace lotuslead::agent {

using nlohmann::json;

void State::apply(const std::string& command) {
    const json change = json::parse(command);
    ++revision_;
    const std::string name = change.at("name");
    if (change.at("verb") == "remove")
        instances_.erase(name);
    else
        instances_[name] = {change.at("agent"), revision_, change.at("configuration")};
}

std::string State::dump() const {
    json all = json::object();
    for (const auto& [name, i] : instances_)
        all[name] = {{"agent", i.agent}, {"revision", i.revision}, {"configuration", i.configuration}};
    return json{{"revision", revision_}, {"instances", all}}.dump();
}

void State::load(const std::string& text) {
    const json all = json::parse(text);
    revision_ = all.at("revision");
    instances_.clear();
    for (const auto& [name, i] : all.at("instances").items())
        instances_[name] = {i.at("agent"), i.at("revision"), i.at("configuration")};
}

std::string State::put(const std::string& name, std::uint64_t agent, const std::string& configuration) {
    return json{{"verb", "put"}, {"name", name}, {"agent", agent}, {"configuration", configuration}}.dump();
}

std::string State::remove(const std::string& name) { return json{{"verb", "remove"}, {"name", name}}.dump(); }

}  // namespace lotuslead::agent
