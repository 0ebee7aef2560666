// Derives from the dates that the event bus tells when a host can have started at the latest, on our
// monotonic clock.
//
// The dates come from the wall clock of another machine, and either machine's wall clock may be off by any
// amount. So a date is compared with other dates of the event bus only, never with our own wall clock: a date
// that is known shows how far the clock that made it had come at least. Assumed is that one clock makes the
// dates that are compared and that it is not stepped between them.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace lotuslead::core {

class ListClock {
public:
    using Micros = std::chrono::microseconds;  // point in time on the monotonic clock, or a span

    // The event bus is known to have told this date (Unix milliseconds) at `now`.
    void observe(Micros now, std::int64_t dateMs) {
        if (now - windowBegan_ >= kEvidenceTime) {
            previousOffset_ = now - windowBegan_ < 2 * kEvidenceTime ? currentOffset_ : std::nullopt;
            currentOffset_.reset();
            windowBegan_ = now;
        }
        const Micros offset = std::chrono::milliseconds{dateMs} - now;
        currentOffset_ = std::max(offset, currentOffset_.value_or(offset));
    }

    // The latest time at which that clock can have shown this date; for dates that have been observed.
    Micros latestTimeOf(std::int64_t dateMs) const {
        const std::optional<Micros> offset = std::max(previousOffset_, currentOffset_);
        return std::chrono::milliseconds{dateMs} - offset.value_or(Micros{0});
    }

    void forget() {
        previousOffset_.reset();
        currentOffset_.reset();
    }

private:
    // Two clocks drift apart, and either may be stepped, so older dates prove nothing. A date counts for one
    // to two of these windows.
    static constexpr std::chrono::minutes kEvidenceTime{1};

    // The list's clock minus ours, at least.
    std::optional<Micros> currentOffset_, previousOffset_;
    Micros windowBegan_{};
};

}  // namespace lotuslead::core
