#include "resp.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace lotuslead::net {

namespace {

constexpr std::size_t kLongestHeader = 24;
constexpr std::size_t kLineEndBytes = 2;

void appendBulkHead(std::string& out, std::size_t size) {
    out += '$';
    out += std::to_string(size);
    out += "\r\n";
}

}  // namespace

RespParser::Status RespParser::feed(std::string_view& data) {
    while (!data.empty()) {
        if (state_ == State::bytes) {
            const std::size_t body =
                remainingBytes_ > kLineEndBytes ? std::min(remainingBytes_ - kLineEndBytes, data.size()) : 0;
            if (body > 0) {
                appendToString(data.substr(0, body));
                data.remove_prefix(body);
                remainingBytes_ -= body;
                continue;
            }
            if (data.front() != (remainingBytes_ == kLineEndBytes ? '\r' : '\n')) return Status::malformed;
            data.remove_prefix(1);
            if (--remainingBytes_ > 0) continue;
            if (elements_.size() == expectedElements_) {
                state_ = State::start;
                return Status::message;
            }
            state_ = State::length;
            continue;
        }
        const std::size_t end = data.find('\n');
        const std::size_t upTo = end == std::string_view::npos ? data.size() : end + 1;
        if (line_.size() + upTo > kLongestHeader) return Status::malformed;
        line_.append(data.substr(0, upTo));
        data.remove_prefix(upTo);
        if (end == std::string_view::npos) return Status::needMore;
        const Status status = parseHeader();
        if (status != Status::needMore) return status;
    }
    return Status::needMore;
}

// Memory is taken as the bytes come: many peers may announce long strings and send little of them.
void RespParser::appendToString(std::string_view bytes) {
    std::string& string = elements_.back();
    const std::size_t whole = string.size() + remainingBytes_ - kLineEndBytes;
    const std::size_t needed = string.size() + bytes.size();
    if (needed > string.capacity()) string.reserve(std::min(whole, std::max(needed, 2 * string.size())));
    string.append(bytes);
}

RespParser::Status RespParser::parseHeader() {
    const std::string line = std::exchange(line_, {});
    std::size_t number = 0;
    if (line.size() < 4 || line[line.size() - 2] != '\r') return Status::malformed;
    const char* end = line.data() + line.size() - 2;
    const auto read = std::from_chars(line.data() + 1, end, number);
    if (read.ec != std::errc{} || read.ptr != end) return Status::malformed;
    if (state_ == State::start) {
        if (line[0] != '*' || number == 0 || number > limits_.maxElements) return Status::malformed;
        elements_.clear();
        expectedElements_ = number;
        arrayBytes_ = 0;
        state_ = State::length;
        return Status::needMore;
    }
    arrayBytes_ += number;
    if (line[0] != '$' || number > limits_.maxStringBytes || arrayBytes_ > limits_.maxArrayBytes)
        return Status::malformed;
    elements_.emplace_back();
    remainingBytes_ = number + kLineEndBytes;
    state_ = State::bytes;
    return Status::needMore;
}

std::size_t RespParser::bufferedBytes() const {
    std::size_t bytes = 0;
    for (const std::string& element : elements_) bytes += element.capacity();
    return bytes;
}

std::vector<std::string> RespParser::takeMessage() { return std::exchange(elements_, {}); }

void appendResp(std::string& out, std::initializer_list<std::string_view> elements) {
    std::size_t bytes = out.size() + kLongestHeader;
    for (const std::string_view element : elements) bytes += element.size() + kLongestHeader;
    out.reserve(bytes);
    out += '*';
    out += std::to_string(elements.size());
    out += "\r\n";
    for (const std::string_view element : elements) {
        appendBulkHead(out, element.size());
        out += element;
        out += "\r\n";
    }
}

void appendRespHead(std::string& out, std::initializer_list<std::string_view> elements, std::size_t size) {
    out += '*';
    out += std::to_string(elements.size() + 1);
    out += "\r\n";
    for (const std::string_view element : elements) {
        appendBulkHead(out, element.size());
        out += element;
        out += "\r\n";
    }
    appendBulkHead(out, size);
}

}  // namespace lotuslead::net
