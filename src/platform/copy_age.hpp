// Decides whether a copy that a store returned is too old.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "../core/decision_facade.hpp"

namespace lotuslead::platform {

// Dates of purges and copies both come from other machines and are compared directly. Our own wall clock is
// used only to judge an age. It may have been ahead when the process started, which would make every copy
// look too old; the youngest copy seen so far bounds that error.
class CopyAgeCheck {
public:
    // `unixClockOffset`: our wall clock minus the monotonic clock, at the start.
    explicit CopyAgeCheck(core::Micros unixClockOffset) : unixClockOffset_(unixClockOffset) {}

    void learn(core::Micros now, std::int64_t createdMs) {
        const core::Micros offset = std::chrono::milliseconds{createdMs} - now;
        youngestCopyOffset_ = std::max(offset, youngestCopyOffset_.value_or(offset));
    }
    // Copies made before this are too old; zero: none is.
    std::int64_t oldestAllowedMs(core::Micros now, const core::Decision& send) const {
        const std::int64_t fromPurge = send.lastPurgeMs > 0 ? send.lastPurgeMs - kClockTolerance.count() : 0;
        if (send.maxCopyAge.count() <= 0 || send.maxCopyAgeFromPurge || !youngestCopyOffset_)
            return fromPurge;
        const core::Micros oldestAllowed =
            now + std::min(unixClockOffset_, *youngestCopyOffset_) - send.maxCopyAge - kClockTolerance;
        return std::max(fromPurge, oldestAllowed.count() / 1000);
    }

private:
    // Ages are sent in whole milliseconds, and the clocks are read at different moments.
    static constexpr std::chrono::milliseconds kClockTolerance{50};

    core::Micros unixClockOffset_;
    // Lower bound of the offset of the clock that dates copies.
    std::optional<core::Micros> youngestCopyOffset_;
};

}  // namespace lotuslead::platform
