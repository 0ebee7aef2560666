// The running mean of what is seen and its mean deviation, both forgetting exponentially.
#pragma once

#include <cmath>

namespace lotuslead {

struct MovingAverage {
    double meanWeight, deviationWeight;  // of one more
    double mean = 0, deviation = 0;

    void add(double seen) {
        deviation += deviationWeight * (std::abs(seen - mean) - deviation);
        mean += meanWeight * (seen - mean);
    }
};

}  // namespace lotuslead
