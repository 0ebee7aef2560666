// Reads single fields of the simulator's JSON events.
#pragma once

#include <simdjson.h>

#include <optional>
#include <string_view>

#include "lotuslead/router.hpp"

namespace lotuslead::wire {

// An absent or null field results in the fallback; a value of another type throws settings::DecodeError.
double numberOr(simdjson::dom::element object, std::string_view key, double fallback);
std::int64_t integerOr(simdjson::dom::element object, std::string_view key, std::int64_t fallback);
Time timeOr(simdjson::dom::element object, std::string_view key, Time fallback = Time{0});
bool booleanOr(simdjson::dom::element object, std::string_view key, bool fallback);
std::string_view textOr(simdjson::dom::element object, std::string_view key, std::string_view fallback);
std::optional<simdjson::dom::element> valueAt(simdjson::dom::element object, std::string_view key);

}  // namespace lotuslead::wire
