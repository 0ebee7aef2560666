// What a client has sent and the front has not taken yet: bytes, and the messages among them, with the time
// at which they arrived. Bounded in number and bytes; what goes beyond stays in the connection.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "../net/resp.hpp"

namespace lotuslead::platform {

class ClientMessages {
public:
    using Micros = std::chrono::microseconds;
    struct Message {
        std::vector<std::string> words;
        Micros arrivedAt{};
    };

    void append(std::string_view data, Micros arrivedAt);
    void parse();  // as many messages as may be held

    bool hasMessage() const { return !messages_.empty(); }
    Message takeFirst() { return takeAt(0); }

    // CANCEL overtakes what is held: a call that its client has taken back is not sent on first, and an open
    // one is given up though the client does not read its answers.
    struct Cancellations {
        std::vector<std::string> openTags;
        int droppedCalls = 0;  // dropped with their CANCEL
    };
    Cancellations extractCancellations(const std::function<bool(const std::string& tag)>& isOpen);

    bool empty() const { return bytes_.empty() && messages_.empty(); }  // but for the start of a message
    bool midMessage() const { return parser_.midMessage(); }
    bool malformed() const { return malformed_; }  // what follows the messages can't be read
    bool hasRoom() const { return !malformed_ && bytes_.empty(); }
    std::size_t heldBytes() const { return bytes_.size() + messageBytes_ + parser_.held(); }
    void clear();

private:
    Message takeAt(std::size_t at);

    net::RespParser parser_{{8, 64 * 1024, 80 * 1024}};
    std::string bytes_;  // not yet in messages
    Micros bytesArrivedAt_{};
    std::deque<Message> messages_;
    std::size_t messageBytes_ = 0;
    bool malformed_ = false;
};

}  // namespace lotuslead::platform
