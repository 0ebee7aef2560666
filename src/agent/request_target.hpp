// Parses an HTTP request target into path and query parameters (RFC 3986 3.3 and 3.4), percent-decoded.
#pragma once

#include <charconv>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lotuslead::agent {

struct RequestTarget {
    explicit RequestTarget(std::string_view text) {
        const std::size_t mark = text.find('?');
        path = percentDecode(text.substr(0, mark));
        std::string_view rest = mark == std::string_view::npos ? std::string_view{} : text.substr(mark + 1);
        while (!rest.empty()) {
            const std::size_t end = rest.find('&');
            const std::string_view one = rest.substr(0, end);
            rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
            const std::size_t equals = one.find('=');
            query[percentDecode(one.substr(0, equals))] =
                equals == std::string_view::npos ? "" : percentDecode(one.substr(equals + 1));
        }
    }

    std::string parameter(const std::string& name) const {
        const auto found = query.find(name);
        return found == query.end() ? std::string{} : found->second;
    }
    std::optional<std::int64_t> integerParameter(const std::string& name) const {
        const std::string value = parameter(name);
        std::int64_t number = 0;
        const auto read = std::from_chars(value.data(), value.data() + value.size(), number);
        if (value.empty() || read.ec != std::errc{} || read.ptr != value.data() + value.size()) return {};
        return number;
    }

    std::string path;
    std::map<std::string, std::string> query;

private:
    static std::string percentDecode(std::string_view text) {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            unsigned byte = 0;
            if (text[i] == '%' && i + 2 < text.size() &&
                std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16).ptr ==
                    text.data() + i + 3) {
                result += static_cast<char>(byte);
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }
};

}  // namespace lotuslead::agent
