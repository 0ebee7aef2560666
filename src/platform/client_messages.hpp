// Input of a client that the front has not handled yet: bytes, and complete messages with their arrival
// times. The messages are bounded in count and bytes; how many bytes there may be is up to the reader
// (ClientMemory), and input beyond that stays in the socket.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "../net/resp.hpp"
#include "front_limits.hpp"

namespace lotuslead::platform {

class ClientMessages {
public:
    using Micros = std::chrono::microseconds;
    struct Message {
        std::vector<std::string> elements;
        Micros arrivedAt{};
    };

    void append(std::string_view data, Micros arrivedAt);
    void parse();  // as many messages as the limits allow

    bool hasMessage() const { return !messages_.empty(); }
    Message takeFirst() { return takeAt(0); }

    // A CANCEL overtakes queued messages: a cancelled call is not forwarded first, and an open one is
    // cancelled even if its client does not read its answers.
    struct Cancellations {
        std::vector<std::string> openTags;
        int droppedCalls = 0;  // removed together with their CANCEL
    };
    Cancellations extractCancellations(const std::function<bool(const std::string& tag)>& isOpen);

    bool empty() const { return bytes_.empty() && messages_.empty(); }  // apart from an incomplete message
    bool midMessage() const { return parser_.midMessage(); }
    // Bytes that the incomplete message lacks at least.
    std::size_t missingBytes() const { return parser_.missingBytes(); }
    bool malformed() const { return malformed_; }  // input behind the queued messages is unreadable
    bool hasRoom() const { return !malformed_ && bytes_.empty(); }
    std::size_t heldBytes() const { return bytes_.capacity() + messageBytes_ + parser_.bufferedBytes(); }
    // The longest that input may have waited, unread or here, without being looked through for a CANCEL.
    Micros unparsedFor(Micros now) const { return bytes_.empty() ? Micros{0} : now - bytesArrivedAt_; }
    void clear();

private:
    Message takeAt(std::size_t at);

    net::RespParser parser_{{8, 64 * 1024, limits::kMaxMessageBytes}};
    std::string bytes_;  // not yet parsed into messages
    Micros bytesArrivedAt_{};
    std::deque<Message> messages_;
    std::size_t messageBytes_ = 0;
    bool malformed_ = false;
};

}  // namespace lotuslead::platform
