#include "input_queue.hpp"

#include <algorithm>
#include <utility>

namespace lotuslead::platform {

bool InputQueue::mayComplete(const InputWaiter& waiter) const {
    return std::any_of(completing_.begin(), completing_.end(),
                       [&](const auto& held) { return held.lock().get() == &waiter; });
}

void InputQueue::messageCompleted(const InputWaiter& waiter) {
    std::erase_if(completing_, [&](const auto& held) {
        const auto client = held.lock();
        return !client || client.get() == &waiter;
    });
}

void InputQueue::resume() {
    dropStalled();
    std::deque<std::weak_ptr<InputWaiter>> before;
    before.swap(waiting_);
    for (std::weak_ptr<InputWaiter>& held : before) {
        const auto waiter = held.lock();
        if (!waiter) continue;
        if (waiter->heldInputBytes() < memory_.inputLimit() || grantCompletion(waiter))
            waiter->resumeInput();
        else
            waiting_.push_back(std::move(held));
    }
}

bool InputQueue::grantCompletion(const std::shared_ptr<InputWaiter>& waiter) {
    if (!waiter->inPartialMessage() || completing_.size() >= kMaxCompleting) return false;
    if (!memory_.mayCompleteMessage() && !waiter->canCompleteMessage()) return false;
    completing_.push_back(waiter);
    return true;
}

// A client that has sent nothing further does not keep the place of one that has.
void InputQueue::dropStalled() {
    std::erase_if(completing_, [](const auto& held) {
        const auto client = held.lock();
        return !client || !client->inPartialMessage() || !client->hasQueuedInput();
    });
}

}  // namespace lotuslead::platform
