// Parses request targets, ranges, dates and validators (RFC 3986, RFC 9110).
#pragma once

#include <cstdint>
#include <ctime>
#include <optional>
#include <string>
#include <string_view>

#include "../core/byte_span.hpp"

namespace lotuslead::repository {

// Returns the path of a request target in normal form, without its query, so that a purge matches every
// spelling of a name; nothing if the target is malformed.
std::optional<std::string> normalizePath(std::string_view target);

// One range of bytes. Without `first` it means the last `last` bytes.
struct ByteRange {
    std::optional<std::uint64_t> first;
    std::optional<std::uint64_t> last;
};
// Parses a Range field; nothing if it is absent, malformed or has several ranges. A server may ignore the
// field then.
std::optional<ByteRange> parseRange(const std::string* field);

using core::ByteSpan;
// Resolves a range within `total` bytes; nothing if no byte of it exists.
std::optional<ByteSpan> resolveRange(const ByteRange& range, std::uint64_t total);

// Whether an If-None-Match field contains this entity tag.
bool matchesIfNoneMatch(const std::string& field, const std::string& tag);

std::string formatHttpDate(std::time_t when);
std::optional<std::time_t> parseHttpDate(const std::string& text);

}  // namespace lotuslead::repository
