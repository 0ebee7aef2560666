// What the agents agree on: which instances there are, on which agent each runs, and their configurations.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace lotuslead::agent {

struct Instance {
    std::uint64_t agent = 0;
    std::uint64_t revision = 0;  // grows with every change of this instance
    std::string configuration;   // JSON text
};

class State {
public:
    // Every agent applies the same commands in the same order. They were checked before they were proposed.
    void apply(const std::string& command);
    std::string dump() const;
    void load(const std::string& text);

    const std::map<std::string, Instance>& instances() const { return instances_; }

    static std::string put(const std::string& name, std::uint64_t agent, const std::string& configuration);
    static std::string remove(const std::string& name);

private:
    std::map<std::string, Instance> instances_;
    std::uint64_t revision_ = 0;
};

}  // namespace lotuslead::agent
