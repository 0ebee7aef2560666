// The platform's FIELDS syntax: name=value,name=value, or - for none.
#pragma once

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lotuslead::platform {

inline bool isHex(std::string_view text, std::size_t size) {
    return text.size() == size && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
           });
}

class Fields {
public:
    explicit Fields(std::string_view text) : text_(text == "-" ? std::string_view{} : text) {}

    // Empty if absent.
    std::string_view text(std::string_view name) const {
        std::string_view rest = text_;
        while (!rest.empty()) {
            const std::size_t end = rest.find(',');
            const std::string_view one = rest.substr(0, end);
            rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
            if (one.size() > name.size() && one[name.size()] == '=' && one.substr(0, name.size()) == name)
                return one.substr(name.size() + 1);
        }
        return {};
    }

    std::optional<std::int64_t> integer(std::string_view name) const {
        const std::string_view value = text(name);
        std::int64_t number = 0;
        const auto read = std::from_chars(value.data(), value.data() + value.size(), number);
        if (value.empty() || read.ec != std::errc{} || read.ptr != value.data() + value.size()) return {};
        return number;
    }

private:
    std::string_view text_;
};

class FieldWriter {
public:
    void add(std::string_view name, std::string_view value) {
        if (!text_.empty()) text_ += ',';
        text_ += name;
        text_ += '=';
        text_ += value;
    }
    void add(std::string_view name, std::int64_t value) { add(name, std::to_string(value)); }
    std::string_view text() const { return text_.empty() ? std::string_view("-") : text_; }

private:
    std::string text_;
};

}  // namespace lotuslead::platform
