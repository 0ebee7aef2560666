// How long a connection with requests out may say nothing before that is a sign of anything.
#pragma once

#include <algorithm>
#include <chrono>

#include "../support/running_mean.hpp"

namespace lotuslead::platform {

// Learned from the silences that ended in an answer, as RFC 6298 learns a retransmission time-out: their mean
// and four times their mean deviation. With much traffic answers follow one another and the limit stays at
// its least; with one request out at a time a silence lasts as long as the answer takes, and is no sign.
class SilenceTimeout {
public:
    using Micros = std::chrono::microseconds;
    static constexpr Micros kMin{300'000};    // what a store under way with many requests never reaches
    static constexpr Micros kMax{3'000'000};  // however slow answers are, a dead connection is found by then

    // Where requests may not wait so long, a dead connection must be found sooner.
    void setUpperBound(Micros upperBound) { upperBound_ = std::clamp(upperBound, kMin, kMax); }
    void learn(Micros silence) {
        const auto observed = static_cast<double>(std::clamp(silence, Micros{0}, kMax).count());
        if (silences_.mean > 0) return silences_.learn(observed);
        silences_.mean = observed;
        silences_.deviation = observed / 2;
    }
    Micros value() const {
        const double micros = silences_.mean + 4 * silences_.deviation;
        return std::clamp(Micros{static_cast<Micros::rep>(micros)}, kMin, upperBound_);
    }

private:
    Micros upperBound_ = kMax;
    RunningMean silences_{1.0 / 8, 1.0 / 4};
};

}  // namespace lotuslead::platform
