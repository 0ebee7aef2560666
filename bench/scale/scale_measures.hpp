// Figures of a scale run: processes, percentiles, and a straight line through what was measured.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace lotuslead::scale {

// The machine's monotonic clock, in microseconds; the same for all processes.
std::int64_t monotonicUs();

struct ProcessUsage {
    std::int64_t cpuUs = 0;       // user and system time since it started
    std::int64_t residentKb = 0;  // pages that it shares with others included
};
ProcessUsage usageOf(pid_t process);

struct Percentiles {
    double median = 0, p99 = 0, worst = 0;
};
// Zeros where there are no values.
Percentiles percentilesOf(std::vector<double> values);

// Least squares: y = intercept + slope * x.
struct LinearFit {
    double slope = 0, intercept = 0;
    double residual = 0;  // root of the mean square, in the unit of y
};
// Nothing but zeros for fewer than two points.
LinearFit fitLine(const std::vector<std::pair<double, double>>& points);

}  // namespace lotuslead::scale
