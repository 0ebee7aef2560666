// How long a connection with requests in flight may be silent before it is suspected dead.
#pragma once

#include <algorithm>
#include <chrono>

#include "../support/moving_average.hpp"

namespace lotuslead::platform {

// Learned from silences that ended in an answer, as RFC 6298 learns a retransmission timeout: mean plus four
// times the mean deviation. Under heavy traffic answers follow one another and the timeout stays at its
// minimum; with one request at a time each silence lasts as long as the answer takes and is no sign of
// failure.
class SilenceTimeout {
public:
    using Micros = std::chrono::microseconds;
    // A healthy store with many requests in flight is never silent this long.
    static constexpr Micros kMin{300'000};
    // Finds a dead connection however slow the answers are.
    static constexpr Micros kMax{3'000'000};

    // Where requests have shorter deadlines, a dead connection must be found sooner.
    void setUpperBound(Micros upperBound) { upperBound_ = std::clamp(upperBound, kMin, kMax); }
    void learn(Micros silence) {
        const auto observed = static_cast<double>(std::clamp(silence, Micros{0}, kMax).count());
        if (silences_.mean > 0) return silences_.add(observed);
        silences_.mean = observed;
        silences_.deviation = observed / 2;
    }
    Micros value() const {
        const double micros = silences_.mean + 4 * silences_.deviation;
        return std::clamp(Micros{static_cast<Micros::rep>(micros)}, kMin, upperBound_);
    }

private:
    Micros upperBound_ = kMax;
    MovingAverage silences_{1.0 / 8, 1.0 / 4};
};

}  // namespace lotuslead::platform
