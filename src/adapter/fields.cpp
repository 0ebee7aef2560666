#include "fields.hpp"

#include <cmath>

#include "wire.hpp"

namespace lotuslead::wire {

using simdjson::dom::element;

namespace {

[[noreturn]] void throwWrongType(std::string_view key, const char* wanted) {
    throw DecodeError("field '" + std::string(key) + "' is not " + wanted);
}

double numberOf(element value, std::string_view key) {
    double result = 0;
    if (value.get_double().get(result) != simdjson::SUCCESS) throwWrongType(key, "a number");
    return result;
}

bool booleanOf(element value, std::string_view key) {
    bool result = false;
    if (value.get_bool().get(result) != simdjson::SUCCESS) throwWrongType(key, "true or false");
    return result;
}

}  // namespace

std::optional<element> valueAt(element object, std::string_view key) {
    element value;
    const auto problem = object.at_key(key).get(value);
    if (problem == simdjson::INCORRECT_TYPE)
        throw DecodeError("no field '" + std::string(key) + "' in a value that is not an object");
    if (problem != simdjson::SUCCESS || value.is_null()) return std::nullopt;
    return value;
}

double numberOr(element object, std::string_view key, double fallback) {
    const auto value = valueAt(object, key);
    return value ? numberOf(*value, key) : fallback;
}

std::int64_t integerOr(element object, std::string_view key, std::int64_t fallback) {
    const auto value = valueAt(object, key);
    if (!value) return fallback;
    std::int64_t result = 0;
    if (value->get_int64().get(result) == simdjson::SUCCESS) return result;
    return static_cast<std::int64_t>(std::llround(numberOf(*value, key)));
}

Time timeOr(element object, std::string_view key, Time fallback) {
    return Time{integerOr(object, key, fallback.count())};
}

bool booleanOr(element object, std::string_view key, bool fallback) {
    const auto value = valueAt(object, key);
    return value ? booleanOf(*value, key) : fallback;
}

std::string_view textOr(element object, std::string_view key, std::string_view fallback) {
    const auto value = valueAt(object, key);
    if (!value) return fallback;
    std::string_view result;
    if (value->get_string().get(result) == simdjson::SUCCESS) return result;
    std::int64_t zero = 1;  // 0 stands for an absent name
    if (value->get_int64().get(zero) == simdjson::SUCCESS && zero == 0) return fallback;
    throwWrongType(key, "text");
}

}  // namespace lotuslead::wire
