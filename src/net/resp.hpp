// RESP arrays of bulk strings, read as the bytes come.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lotuslead::net {

class RespParser {
public:
    struct Limits {
        std::size_t maxElements = 8;
        std::size_t maxStringBytes = 256 * 1024;  // bytes of one string
        std::size_t maxArrayBytes = 320 * 1024;   // bytes of one array
    };
    enum class Status { needMore, message, malformed };

    RespParser() = default;
    explicit RespParser(Limits limits) : limits_(limits) {}

    // Takes from the front of `data` what belongs to the message in hand. After `message`, take() has it.
    Status feed(std::string_view& data);
    std::vector<std::string> takeMessage();
    // What the message in hand may hold in memory.
    std::size_t bufferedBytes() const { return state_ == State::start ? 0 : arrayBytes_; }
    bool midMessage() const { return state_ != State::start || !line_.empty(); }

private:
    enum class State { start, length, bytes };

    Status parseHeader();

    Limits limits_;
    State state_ = State::start;
    std::string line_;
    std::vector<std::string> elements_;
    std::size_t expectedElements_ = 0;  // elements
    std::size_t remainingBytes_ = 0;    // bytes of the string in hand, with its line end
    std::size_t arrayBytes_ = 0;
};

// Appends an array; the strings are copied.
void appendResp(std::string& out, std::initializer_list<std::string_view> elements);

// Appends the head of an array whose last string, of `size` bytes, follows apart, and then a line end.
void appendRespHead(std::string& out, std::initializer_list<std::string_view> elements, std::size_t size);

}  // namespace lotuslead::net
