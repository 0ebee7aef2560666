// Validates a CALL before it reaches the decision module or a store.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "../core/request_dispatcher.hpp"
#include "fields.hpp"

namespace lotuslead::platform {

inline constexpr std::size_t kMaxBodyBytes = 48'000;
inline constexpr std::int64_t kMaxClientTimeoutMs = 600'000;
inline constexpr std::int64_t kMaxPart = 1'000'000;
inline constexpr std::int64_t kMaxGroup = 255;

inline std::size_t totalBytes(const std::vector<std::string>& elements) {
    std::size_t bytes = 0;
    for (const std::string& element : elements) bytes += element.size();
    return bytes;
}

inline bool isTag(std::string_view text) {
    return !text.empty() && text.size() <= 19 && text.front() != '0' &&
           std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

// A store closes its connection on input that it cannot parse, whatever else is open there. So whatever is
// passed on to stores is validated here.
inline bool isValidCall(const Fields& fields, const core::Request& request) {
    const auto within = [&](std::string_view name, std::int64_t least, std::int64_t most) {
        const auto value = fields.integer(name);
        return fields.text(name).empty() || (value && *value >= least && *value <= most);
    };
    const auto hex = [](const std::string& text, std::size_t size) {
        return text.empty() || isHex(text, size);
    };
    return isHex(request.traceId, 16) && isHex(request.object, 16) && hex(request.knownTag, 16) &&
           hex(request.key, 32) && within("patience", 1, kMaxClientTimeoutMs) &&
           within("block", 0, kMaxPart) && within("family", 0, kMaxGroup) && within("redo", 1, 1) &&
           request.body.size() <= kMaxBodyBytes;
}

}  // namespace lotuslead::platform
