// How long a connection with requests out may say nothing before that is a sign of anything.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace lotuslead::platform {

// Learned from the silences that ended in an answer, as RFC 6298 learns a retransmission time-out: their mean
// and four times their mean deviation. With much traffic answers follow one another and the limit stays at
// its least; with one request out at a time a silence lasts as long as the answer takes, and is no sign.
class SilenceLimit {
public:
    using Micros = std::chrono::microseconds;
    static constexpr Micros kLeast{300'000};   // what a store under way with many requests never reaches
    static constexpr Micros kMost{3'000'000};  // however slow answers are, a dead connection is found by then

    void learn(Micros silence) {
        const Micros seen = std::clamp(silence, Micros{0}, kMost);
        if (mean_.count() == 0) {
            mean_ = seen;
            deviation_ = seen / 2;
            return;
        }
        deviation_ += (Micros{std::abs((seen - mean_).count())} - deviation_) / 4;
        mean_ += (seen - mean_) / 8;
    }
    Micros limit() const { return std::clamp(mean_ + 4 * deviation_, kLeast, kMost); }

private:
    Micros mean_{}, deviation_{};
};

}  // namespace lotuslead::platform
