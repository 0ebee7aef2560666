#include "target.hpp"

#include <algorithm>
#include <charconv>

#include "../net/http.hpp"

namespace lotuslead::repository {

namespace {

int hexDigitValue(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    return -1;
}

bool isUnreserved(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '.' || c == '_' || c == '~';
}

std::optional<std::uint64_t> parseInteger(std::string_view text) {
    std::uint64_t value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || read.ec != std::errc{} || read.ptr != text.data() + text.size()) return {};
    return value;
}

std::string_view withoutWeakPrefix(std::string_view tag) {
    return tag.substr(0, 2) == "W/" ? tag.substr(2) : tag;
}

}  // namespace

std::optional<std::string> normalizePath(std::string_view target) {
    for (const std::string_view scheme : {"http://", "https://"}) {
        if (net::lowerCase(target.substr(0, scheme.size())) != scheme) continue;
        const std::size_t slash = target.find('/', scheme.size());
        target = slash == std::string_view::npos ? std::string_view("/") : target.substr(slash);
        break;
    }
    target = target.substr(0, target.find_first_of("?#"));
    if (target.empty() || target.front() != '/') return {};
    std::string path;
    for (std::size_t i = 0; i < target.size(); ++i) {
        const char c = target[i];
        if (c != '%') {
            const auto byte = static_cast<unsigned char>(c);
            if (byte <= 32 || byte >= 127 || c == '"' || c == '<' || c == '>' || c == '\\') return {};
            path += c;
            continue;
        }
        if (i + 2 >= target.size()) return {};
        const int high = hexDigitValue(target[i + 1]), low = hexDigitValue(target[i + 2]);
        if (high < 0 || low < 0) return {};
        const char decoded = static_cast<char>(high * 16 + low);
        constexpr char kDigits[] = "0123456789ABCDEF";
        if (isUnreserved(decoded))
            path += decoded;
        else
            path += {'%', kDigits[high], kDigits[low]};
        i += 2;
    }
    for (std::size_t at = 0; at < path.size();) {
        const std::size_t end = std::min(path.find('/', at + 1), path.size());
        const std::string_view segment = std::string_view(path).substr(at + 1, end - at - 1);
        if (segment == "." || segment == ".." || (segment.empty() && end < path.size())) return {};
        at = end;
    }
    return path;
}

std::optional<ByteRange> parseRange(const std::string* field) {
    constexpr std::string_view unit = "bytes=";
    if (!field || net::lowerCase(field->substr(0, unit.size())) != unit) return {};
    const std::string_view text = net::trimmed(std::string_view(*field).substr(unit.size()));
    const std::size_t dash = text.find('-');
    if (dash == std::string_view::npos || text.find(',') != std::string_view::npos) return {};
    ByteRange range{parseInteger(text.substr(0, dash)), parseInteger(text.substr(dash + 1))};
    const bool firstValid = dash == 0 || range.first;
    const bool lastValid = dash + 1 == text.size() || range.last;
    if (!firstValid || !lastValid || (!range.first && !range.last)) return {};
    if (range.first && range.last && *range.last < *range.first) return {};
    return range;
}

std::optional<ByteSpan> resolveRange(const ByteRange& range, std::uint64_t total) {
    if (!range.first) {
        const std::uint64_t size = std::min(*range.last, total);
        if (size == 0) return {};
        return ByteSpan{total - size, total};
    }
    if (*range.first >= total) return {};
    const std::uint64_t last = range.last ? std::min(*range.last, total - 1) : total - 1;
    return ByteSpan{*range.first, last + 1};
}

bool matchesIfNoneMatch(const std::string& field, const std::string& tag) {
    if (net::trimmed(field) == "*") return true;
    if (tag.empty()) return false;
    for (std::size_t at = 0; at <= field.size();) {
        const std::size_t end = std::min(field.find(',', at), field.size());
        const auto one = net::trimmed(std::string_view(field).substr(at, end - at));
        if (withoutWeakPrefix(one) == withoutWeakPrefix(tag)) return true;
        at = end + 1;
    }
    return false;
}

std::string formatHttpDate(std::time_t when) {
    std::tm parts{};
    ::gmtime_r(&when, &parts);
    char text[40];
    const std::size_t size = std::strftime(text, sizeof text, "%a, %d %b %Y %H:%M:%S GMT", &parts);
    return {text, size};
}

std::optional<std::time_t> parseHttpDate(const std::string& text) {
    std::tm parts{};
    const char* end = ::strptime(text.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &parts);
    if (end == nullptr || *end != '\0') return {};
    return ::timegm(&parts);
}

}  // namespace lotuslead::repository
