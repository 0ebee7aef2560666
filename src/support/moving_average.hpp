// Exponential moving averages of samples and of their absolute deviation.
#pragma once

#include <cmath>

namespace lotuslead {

struct MovingAverage {
    double meanWeight, deviationWeight;  // of one sample, from 0 to 1
    double mean = 0, deviation = 0;

    void add(double seen) {
        deviation += deviationWeight * (std::abs(seen - mean) - deviation);
        mean += meanWeight * (seen - mean);
    }
};

}  // namespace lotuslead
