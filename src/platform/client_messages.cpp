#include "client_messages.hpp"

#include <utility>

#include "call_validation.hpp"

namespace lotuslead::platform {

namespace {

constexpr std::size_t kMaxMessages = 64;
constexpr std::size_t kMaxQueuedMessageBytes = 64 * 1024;
constexpr std::size_t kMessageOverheadBytes = 320;    // of its strings and its place in the queue
constexpr std::size_t kKeptCapacityBytes = 4 * 1024;  // of the buffer of a client that has nothing unparsed

std::size_t memoryOf(const std::vector<std::string>& elements) {
    return totalBytes(elements) + kMessageOverheadBytes;
}

bool isCallOf(const std::vector<std::string>& elements, const std::string& tag) {
    return elements.size() > 2 && elements[0] == "CALL" && elements[1] == tag;
}

}  // namespace

void ClientMessages::append(std::string_view data, Micros arrivedAt) {
    if (bytes_.empty()) bytesArrivedAt_ = arrivedAt;
    bytes_.append(data);
}

void ClientMessages::parse() {
    using Status = net::RespParser::Status;
    std::string_view rest = bytes_;
    while (!malformed_ && messages_.size() < kMaxMessages && messageBytes_ < kMaxQueuedMessageBytes &&
           !rest.empty()) {
        const Status status = parser_.feed(rest);
        malformed_ = status == Status::malformed;
        if (status != Status::message) continue;
        messages_.push_back({parser_.takeMessage(), bytesArrivedAt_});
        messageBytes_ += memoryOf(messages_.back().elements);
    }
    bytes_.erase(0, bytes_.size() - rest.size());
    if (bytes_.empty() && bytes_.capacity() > kKeptCapacityBytes) bytes_.shrink_to_fit();
}

ClientMessages::Cancellations ClientMessages::extractCancellations(
    const std::function<bool(const std::string& tag)>& isOpen) {
    Cancellations result;
    for (std::size_t at = 0; at < messages_.size(); ++at) {
        const std::vector<std::string>& elements = messages_[at].elements;
        if (elements.size() < 2 || elements[0] != "CANCEL" || !isTag(elements[1])) continue;
        const std::string tag = elements[1];
        std::size_t call = 0;
        while (call < at && !isCallOf(messages_[call].elements, tag)) ++call;
        const bool open = isOpen(tag);
        const bool held = call < at;
        if (open == held) continue;  // it is handled in order
        takeAt(at--);
        if (open) {
            result.openTags.push_back(tag);
            continue;
        }
        takeAt(call);
        --at;
        ++result.droppedCalls;
    }
    return result;
}

ClientMessages::Message ClientMessages::takeAt(std::size_t at) {
    Message message = std::move(messages_[at]);
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(at));
    messageBytes_ -= memoryOf(message.elements);
    return message;
}

void ClientMessages::clear() {
    std::string().swap(bytes_);
    messages_.clear();
    messageBytes_ = 0;
}

}  // namespace lotuslead::platform
