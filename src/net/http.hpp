// An incremental parser for HTTP/1.1 requests and responses (RFC 9112), with limits on their size.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lotuslead::net {

struct HttpHead {
    // of a request
    std::string method, target;
    // of a response
    int status = 0;
    int minorVersion = 1;
    std::vector<std::pair<std::string, std::string>> fields;  // names in lower case

    const std::string* field(std::string_view name) const;  // the first with that name, or null
    bool keepAlive() const;
};

class HttpParser {
public:
    enum class Kind { request, response };
    struct Limits {
        std::size_t maxHeadBytes = 16 * 1024;
        std::size_t maxBodyBytes = 1024 * 1024;
    };
    enum class Status { needMore, message, malformed, headTooLarge, bodyTooLarge };

    HttpParser(Kind kind, Limits limits) : kind_(kind), limits_(limits) {}

    // Consumes from the front of `data` what belongs to the current message. After `message`, head() and
    // body() hold it until the next call.
    Status feed(std::string_view& data);
    // To be called when the peer has closed. True: this completes a response that is delimited by the close.
    bool endOfStream();
    // Applies from the next message on.
    void setMaxBodyBytes(std::size_t bytes) { limits_.maxBodyBytes = bytes; }
    // For responses to HEAD, which have no body whatever their fields say.
    void expectNoBody(bool none) { noBody_ = none; }

    const HttpHead& head() const { return head_; }
    const std::string& body() const { return body_; }
    std::string& body() { return body_; }
    bool midMessage() const { return state_ != State::start || !pending_.empty(); }

private:
    enum class State { start, head, sized, untilClose, chunkSize, chunk, chunkEnd, trailer };

    Status parseHead();
    Status beginBody();
    bool parseStartLine(std::string_view line);
    Status takeLine(std::string_view& data, std::string& line);

    Kind kind_;
    Limits limits_;
    State state_ = State::start;
    std::string pending_;  // received part of the head or of the current line
    HttpHead head_;
    std::string body_;
    std::size_t remainingBytes_ = 0;
    bool noBody_ = false;
};

std::string lowerCase(std::string_view text);
std::string_view trimmed(std::string_view text);

}  // namespace lotuslead::net
