// Reads the settings that come with an instance's first message.
#pragma once

#include <simdjson.h>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "lotuslead/router.hpp"

namespace lotuslead::wire {

// The settings, and the names by which later events refer to them.
struct Vocabulary {
    Settings settings;
    std::unordered_map<std::string, int> classes;
    std::unordered_map<std::string, int> zones;
    std::string parentShape;  // empty: the site has no parents
    std::string originShape;
};

Vocabulary readSettings(simdjson::dom::element info);

// Absent and null give the fallback; a value of another type is malformed.
double numberOr(simdjson::dom::element object, std::string_view key, double fallback);
std::int64_t wholeOr(simdjson::dom::element object, std::string_view key, std::int64_t fallback);
Time timeOr(simdjson::dom::element object, std::string_view key, Time fallback = Time{0});
bool flagOr(simdjson::dom::element object, std::string_view key, bool fallback);
std::string_view textOr(simdjson::dom::element object, std::string_view key, std::string_view fallback);
std::optional<simdjson::dom::element> valueAt(simdjson::dom::element object, std::string_view key);

}  // namespace lotuslead::wire
