// Judges the dates of copies: too old for what a store was asked for or not.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "../core/decision_facade.hpp"

namespace lotuslead::platform {

// A purge and a copy carry dates of other machines, which are compared as they are. Only where an age is to
// be judged our own wall clock comes in. It may have been ahead when the process started, by which every copy
// would look too old: the youngest copy seen bounds that.
class CopyAgeCheck {
public:
    // `unixClockOffset`: what our wall clock showed beyond the monotonic one at the start.
    explicit CopyAgeCheck(core::Micros unixClockOffset) : unixClockOffset_(unixClockOffset) {}

    void learn(core::Micros now, std::int64_t mintedMs) {
        const core::Micros offset = std::chrono::milliseconds{mintedMs} - now;
        youngestCopyOffset_ = std::max(offset, youngestCopyOffset_.value_or(offset));
    }
    // A copy made before is too old; zero: none is.
    std::int64_t oldestAllowedMs(core::Micros now, const core::Decision& send) const {
        const std::int64_t fromPurge = send.lastPurgeMs > 0 ? send.lastPurgeMs - kClockTolerance.count() : 0;
        if (send.maxAge.count() <= 0 || send.maxAgeFromPurge || !youngestCopyOffset_) return fromPurge;
        const core::Micros oldestAllowed =
            now + std::min(unixClockOffset_, *youngestCopyOffset_) - send.maxAge - kClockTolerance;
        return std::max(fromPurge, oldestAllowed.count() / 1000);
    }

private:
    // An age is told in whole milliseconds, and clocks are read apart.
    static constexpr std::chrono::milliseconds kClockTolerance{50};

    core::Micros unixClockOffset_;
    std::optional<core::Micros> youngestCopyOffset_;  // the clock that dates copies is ahead by that at least
};

}  // namespace lotuslead::platform
