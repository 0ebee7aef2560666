// How long a connection with requests out may say nothing before that is a sign of anything.
#pragma once

#include <algorithm>
#include <chrono>

#include "../support/moving_average.hpp"

namespace lotuslead::platform {

// Learned from the silences that ended in an answer, as RFC 6298 learns a retransmission time-out: their mean
// and four times their mean deviation. With much traffic answers follow one another and the limit stays at
// its least; with one request out at a time a silence lasts as long as the answer takes, and is no sign.
class SilenceLimit {
public:
    using Micros = std::chrono::microseconds;
    static constexpr Micros kLeast{300'000};   // what a store under way with many requests never reaches
    static constexpr Micros kMost{3'000'000};  // however slow answers are, a dead connection is found by then

    // Where requests may not wait so long, a dead connection must be found sooner.
    void bound(Micros most) { most_ = std::clamp(most, kLeast, kMost); }
    void learn(Micros silence) {
        const auto seen = static_cast<double>(std::clamp(silence, Micros{0}, kMost).count());
        if (known_.mean > 0) return known_.add(seen);
        known_.mean = seen;
        known_.deviation = seen / 2;
    }
    Micros limit() const {
        const double micros = known_.mean + 4 * known_.deviation;
        return std::clamp(Micros{static_cast<Micros::rep>(micros)}, kLeast, most_);
    }

private:
    Micros most_ = kMost;
    MovingAverage known_{1.0 / 8, 1.0 / 4};
};

}  // namespace lotuslead::platform
