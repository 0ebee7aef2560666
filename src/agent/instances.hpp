// Reads the configured gateway instances from the replicated documents.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "../config/store.hpp"

namespace lotuslead::agent {

struct Instance {
    std::uint64_t agent = 0;
    std::uint64_t revision = 0;  // increases with every change of this instance
    std::string configuration;   // JSON text
};

inline constexpr const char* kInstancePrefix = "instances/";

inline std::map<std::string, Instance> instancesOf(const config::Store& store) {
    std::map<std::string, Instance> result;
    store.forEach(kInstancePrefix, [&](const std::string& key, const config::Document& document) {
        result[key.substr(std::string(kInstancePrefix).size())] = {
            document.value.at("agent"), document.revision, document.value.at("configuration").dump()};
        return true;
    });
    return result;
}

}  // namespace lotuslead::agent
