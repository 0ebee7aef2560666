// Clients whose input waits in the kernel until there is memory for it, in the order in which they began to
// wait.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <vector>

#include "client_memory.hpp"

namespace lotuslead::platform {

// A client as the queue sees it. Nobody owns one through this interface.
class InputWaiter {
public:
    virtual std::size_t heldInputBytes() const = 0;
    virtual bool inPartialMessage() const = 0;
    virtual bool hasQueuedInput() const = 0;  // unread in the kernel
    // Whether the kernel has what the client's partial message lacks, as far as that is known.
    virtual bool canCompleteMessage() const = 0;
    virtual void resumeInput() = 0;

protected:
    ~InputWaiter() = default;
};

class InputQueue {
public:
    explicit InputQueue(const ClientMemory& memory) : memory_(memory) {}

    void wait(std::weak_ptr<InputWaiter> waiter) { waiting_.push_back(std::move(waiter)); }
    bool empty() const { return waiting_.empty(); }

    // Whether this client may go beyond the input limit to complete its message.
    bool mayComplete(const InputWaiter& waiter) const;
    void messageCompleted(const InputWaiter& waiter);

    // Resumes the clients for which there is room. Of those that are within a message a few at a time may
    // complete it, or messages of which each is half there could use up the memory and none would end. Once
    // the reserve for that is used up, only those may that have sent the rest.
    void resume();

private:
    static constexpr std::size_t kMaxCompleting = 8;

    bool grantCompletion(const std::shared_ptr<InputWaiter>& waiter);
    void dropStalled();

    const ClientMemory& memory_;
    std::deque<std::weak_ptr<InputWaiter>> waiting_;
    std::vector<std::weak_ptr<InputWaiter>> completing_;
};

}  // namespace lotuslead::platform
