// Divides the memory that the clients of the platform's front may take: input that is not handled yet, open
// calls, and answers that are not read yet.
#pragma once

#include <algorithm>
#include <cstddef>

#include "front_limits.hpp"

namespace lotuslead::platform {

// What a client, or all of them, hold in this process.
struct ClientUsage {
    std::size_t input = 0;
    std::size_t openCalls = 0;
    std::size_t unsentAnswers = 0;

    std::size_t total() const { return input + openCalls + unsentAnswers; }
};

// Each client is guaranteed a small part. What is left goes to whoever needs it, but to each only a part of
// what is free at the time (a dynamic threshold), so that any number of greedy clients leaves room for
// others.
class ClientMemory {
public:
    void setLimits(std::size_t maxBytes, std::size_t maxClients) {
        maxBytes_ = maxBytes;
        guaranteedBytes_ =
            std::min(limits::kSlowReaderBytes, maxBytes / 2 / std::max<std::size_t>(1, maxClients));
    }
    void replace(const ClientUsage& before, const ClientUsage& after) {
        usage_.input += after.input - before.input;
        usage_.openCalls += after.openCalls - before.openCalls;
        usage_.unsentAnswers += after.unsentAnswers - before.unsentAnswers;
        peakBytes_ = std::max(peakBytes_, usage_.total());
    }
    const ClientUsage& usage() const { return usage_; }

    // A burst is over: much less is held than at its peak, and the allocator may keep the difference.
    bool burstIsOver() const { return peakBytes_ > kBurstBytes && usage_.total() < peakBytes_ / 4; }
    void forgetBurst() { peakBytes_ = usage_.total(); }

    // Unhandled input that a client may hold.
    std::size_t inputLimit() const {
        const std::size_t share = freeOf(maxBytes_ / kInputPart, usage_.input) / kThresholdPart;
        return std::clamp(share, kGuaranteedInputBytes, kMaxClientInputBytes);
    }
    // Whether a client may hold more than that to complete the message that it is within, though it may not
    // have sent the rest yet.
    bool mayCompleteMessage() const {
        return usage_.input < maxBytes_ / kInputPart + kCompletionReserveBytes;
    }

    // Limit of all that is held together with what open calls may bring, for a further call of a client that
    // would then hold `own` bytes.
    std::size_t admissionLimit(std::size_t own) const {
        return own > guaranteedBytes_ ? maxBytes_ / 2 : maxBytes_;
    }
    // Limit of all that is held, for an answer to a client that has this much to read already.
    std::size_t answerLimit(std::size_t unsent) const {
        return unsent > limits::kSlowReaderBytes ? maxBytes_ / 2 : maxBytes_;
    }
    // Unread answers at which no further input of the client is handled.
    std::size_t backlogLimit() const {
        const std::size_t most =
            std::min(limits::kMaxClientBacklogBytes, maxBytes_ / limits::kClientsAtFullBacklog);
        const std::size_t share = freeOf(maxBytes_, usage_.total()) / kThresholdPart;
        return std::clamp(share, std::min(most, kGuaranteedBacklogBytes), most);
    }

private:
    static std::size_t freeOf(std::size_t limit, std::size_t used) { return limit - std::min(limit, used); }

    static constexpr std::size_t kInputPart = 4;      // of all memory for clients, input may take a quarter
    static constexpr std::size_t kThresholdPart = 8;  // a client may take an eighth of what is free
    static constexpr std::size_t kGuaranteedInputBytes = 4 * 1024;  // several usual calls
    static constexpr std::size_t kMaxClientInputBytes = 128 * 1024;
    static constexpr std::size_t kGuaranteedBacklogBytes = 16 * 1024;
    static constexpr std::size_t kCompletionReserveBytes = 1024 * 1024;
    static constexpr std::size_t kBurstBytes = 2 * 1024 * 1024;

    std::size_t maxBytes_ = 0;
    std::size_t guaranteedBytes_ = 0;  // of one client
    ClientUsage usage_;                // of all clients
    std::size_t peakBytes_ = 0;        // of all clients, since the last burst
};

}  // namespace lotuslead::platform
