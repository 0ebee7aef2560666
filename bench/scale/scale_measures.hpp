// Measurements of a scale run: resource usage of processes, percentiles and a linear fit.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace lotuslead::scale {

// The machine's monotonic clock in microseconds, comparable between processes.
std::int64_t monotonicUs();

struct ProcessUsage {
    std::int64_t cpuUs = 0;       // user and system time since the process started
    std::int64_t residentKb = 0;  // including shared pages
};
ProcessUsage usageOf(pid_t process);

struct Percentiles {
    double median = 0, p99 = 0, worst = 0;
};
// All zero if there are no values.
Percentiles percentilesOf(std::vector<double> values);

// A least squares fit: y = intercept + slope * x.
struct LinearFit {
    double slope = 0, intercept = 0;
    double residual = 0;  // root mean square, in the unit of y
};
// All zero for fewer than two points.
LinearFit fitLine(const std::vector<std::pair<double, double>>& points);

}  // namespace lotuslead::scale
