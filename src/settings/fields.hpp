// Reading JSON fields: each value that can't be used is told by the name of its field. For decoders only.
#pragma once

#include <cmath>
#include <cstdint>
#include <string>

#include "settings.hpp"

namespace lotuslead::settings {

using nlohmann::json;

[[noreturn]] inline void wrongType(const std::string& key, const char* wanted) {
    throw DecodeError("field '" + key + "' is not " + wanted);
}

// Absent and null are the same.
inline const json* valueAt(const json& object, const std::string& key) {
    if (!object.is_object()) throw DecodeError("'" + key + "' sought in no object");
    const auto found = object.find(key);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

inline double number(const json& value, const std::string& key) {
    if (!value.is_number()) wrongType(key, "a number");
    return value.get<double>();
}

inline double numberOr(const json& object, const std::string& key, double fallback) {
    const json* value = valueAt(object, key);
    return value ? number(*value, key) : fallback;
}

inline std::int64_t wholeOr(const json& object, const std::string& key, std::int64_t fallback) {
    const json* value = valueAt(object, key);
    if (!value) return fallback;
    if (value->is_number_integer()) return value->get<std::int64_t>();
    const double real = number(*value, key);
    if (!(std::abs(real) < 9e18)) wrongType(key, "a number in range");
    return std::llround(real);
}

inline Time timeOr(const json& object, const std::string& key) { return Time{wholeOr(object, key, 0)}; }

inline bool flagOr(const json& object, const std::string& key, bool fallback) {
    const json* value = valueAt(object, key);
    if (!value) return fallback;
    if (!value->is_boolean()) wrongType(key, "true or false");
    return value->get<bool>();
}

inline std::string textOr(const json& object, const std::string& key, const std::string& fallback) {
    const json* value = valueAt(object, key);
    if (!value) return fallback;
    if (value->is_string()) return value->get<std::string>();
    if (value->is_number_integer() && value->get<std::int64_t>() == 0)
        return fallback;  // 0 stands for an absent name
    wrongType(key, "text");
}

inline std::string needText(const json& object, const std::string& key) {
    std::string text = textOr(object, key, "");
    if (text.empty()) throw DecodeError("field '" + key + "' is missing or empty");
    return text;
}

inline const json& listOrEmpty(const json& object, const std::string& key) {
    static const json empty = json::array();
    const json* value = valueAt(object, key);
    if (!value) return empty;
    if (!value->is_array()) wrongType(key, "a list");
    return *value;
}

inline const json& objectOrEmpty(const json& object, const std::string& key) {
    static const json empty = json::object();
    const json* value = valueAt(object, key);
    return value ? *value : empty;
}

}  // namespace lotuslead::settings
