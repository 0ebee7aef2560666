// Reads typed JSON fields; an unusable value throws DecodeError with the name of its field. For decoders
// only.
#pragma once

#include <cmath>
#include <cstdint>
#include <string>

#include "settings.hpp"

namespace lotuslead::settings {

using nlohmann::json;

[[noreturn]] inline void throwWrongType(const std::string& key, const char* wanted) {
    throw DecodeError("field '" + key + "' is not " + wanted);
}

// Returns null for a field that is absent or null.
inline const json* findValue(const json& object, const std::string& key) {
    if (!object.is_object()) throw DecodeError("'" + key + "' sought in no object");
    const auto found = object.find(key);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

inline double number(const json& value, const std::string& key) {
    if (!value.is_number()) throwWrongType(key, "a number");
    return value.get<double>();
}

inline double numberOr(const json& object, const std::string& key, double fallback) {
    const json* value = findValue(object, key);
    return value ? number(*value, key) : fallback;
}

inline std::int64_t integerOr(const json& object, const std::string& key, std::int64_t fallback) {
    const json* value = findValue(object, key);
    if (!value) return fallback;
    if (value->is_number_integer()) return value->get<std::int64_t>();
    const double real = number(*value, key);
    if (!(std::abs(real) < 9e18)) throwWrongType(key, "a number in range");
    return std::llround(real);
}

inline Time timeOr(const json& object, const std::string& key) { return Time{integerOr(object, key, 0)}; }

inline bool boolOr(const json& object, const std::string& key, bool fallback) {
    const json* value = findValue(object, key);
    if (!value) return fallback;
    if (!value->is_boolean()) throwWrongType(key, "true or false");
    return value->get<bool>();
}

inline std::string stringOr(const json& object, const std::string& key, const std::string& fallback) {
    const json* value = findValue(object, key);
    if (!value) return fallback;
    if (value->is_string()) return value->get<std::string>();
    if (value->is_number_integer() && value->get<std::int64_t>() == 0)
        return fallback;  // 0 means that there is no name
    throwWrongType(key, "text");
}

inline std::string requireString(const json& object, const std::string& key) {
    std::string text = stringOr(object, key, "");
    if (text.empty()) throw DecodeError("field '" + key + "' is missing or empty");
    return text;
}

inline const json& listOrEmpty(const json& object, const std::string& key) {
    static const json empty = json::array();
    const json* value = findValue(object, key);
    if (!value) return empty;
    if (!value->is_array()) throwWrongType(key, "a list");
    return *value;
}

inline const json& objectOrEmpty(const json& object, const std::string& key) {
    static const json empty = json::object();
    const json* value = findValue(object, key);
    return value ? *value : empty;
}

}  // namespace lotuslead::settings
