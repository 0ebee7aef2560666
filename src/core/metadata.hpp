// Named values that a transport attaches to a payload. The core does not interpret them.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lotuslead::core {

using Metadata = std::vector<std::pair<std::string, std::string>>;

// The value of that name; empty if there is none.
inline std::string findMetadata(const Metadata& metadata, std::string_view name) {
    for (const auto& [key, value] : metadata)
        if (key == name) return value;
    return {};
}

}  // namespace lotuslead::core
