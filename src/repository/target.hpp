// What a client asks for: request targets, ranges, dates and validators (RFC 3986, RFC 9110).
#pragma once

#include <cstdint>
#include <ctime>
#include <optional>
#include <string>
#include <string_view>

namespace lotuslead::repository {

// The path of a request target in one spelling, without its query: a purge must meet every spelling of a
// name. Nothing where it is malformed.
std::optional<std::string> normalizePath(std::string_view target);

// One range of bytes. Without a first place it is the last `last` bytes.
struct ByteRange {
    std::optional<std::uint64_t> first;
    std::optional<std::uint64_t> last;
};
// Nothing where it is absent, malformed or more than one: the field is then ignored, as it may be.
std::optional<ByteRange> parseRange(const std::string* field);

struct ByteSpan {
    std::uint64_t begin = 0, end = 0;  // end: one past the last
};
// Nothing where no byte of it exists.
std::optional<ByteSpan> resolveRange(const ByteRange& range, std::uint64_t total);

// Whether If-None-Match names this entity tag.
bool matchesIfNoneMatch(const std::string& field, const std::string& tag);

std::string formatHttpDate(std::time_t when);
std::optional<std::time_t> parseHttpDate(const std::string& text);

}  // namespace lotuslead::repository
