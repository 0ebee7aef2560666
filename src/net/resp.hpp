// An incremental parser and a writer for RESP arrays of bulk strings.
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
        std::size_t maxStringBytes = 256 * 1024;
        std::size_t maxArrayBytes = 320 * 1024;
    };
    enum class Status { needMore, message, malformed };

    RespParser() = default;
    explicit RespParser(Limits limits) : limits_(limits) {}

    // Consumes from the front of `data` what belongs to the current message. After `message`, takeMessage()
    // returns it.
    Status feed(std::string_view& data);
    std::vector<std::string> takeMessage();
    std::size_t bufferedBytes() const;  // memory of the incomplete message's strings
    // Bytes that the current string still lacks, as announced; zero between two strings.
    std::size_t missingBytes() const { return state_ == State::bytes ? remainingBytes_ : 0; }
    bool midMessage() const { return state_ != State::start || !line_.empty(); }

private:
    enum class State { start, length, bytes };

    Status parseHeader();
    void appendToString(std::string_view bytes);

    Limits limits_;
    State state_ = State::start;
    std::string line_;
    std::vector<std::string> elements_;
    std::size_t expectedElements_ = 0;
    std::size_t remainingBytes_ = 0;  // of the current string, including its line end
    std::size_t arrayBytes_ = 0;      // of all strings so far, as announced
};

// Appends an array of bulk strings to `out`.
void appendResp(std::string& out, std::initializer_list<std::string_view> elements);

// Appends an array except for the content of its last string: the caller sends those `size` bytes and a line
// end separately.
void appendRespHead(std::string& out, std::initializer_list<std::string_view> elements, std::size_t size);

}  // namespace lotuslead::net
