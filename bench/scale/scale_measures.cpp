#include "scale_measures.hpp"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <fstream>
#include <sstream>
#include <string>

namespace lotuslead::scale {

std::int64_t monotonicUs() {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

ProcessUsage usageOf(pid_t process) {
    const std::string folder = "/proc/" + std::to_string(process);
    ProcessUsage usage;
    std::ifstream stat(folder + "/stat");
    std::string text{std::istreambuf_iterator<char>(stat), {}};
    // The process name, in parentheses, may contain spaces; user and system time are the 12th and 13th field
    // after it.
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string skipped;
    for (int i = 0; i < 11; ++i) fields >> skipped;
    std::int64_t user = 0, system = 0;
    fields >> user >> system;
    usage.cpuUs = (user + system) * (1'000'000 / ::sysconf(_SC_CLK_TCK));
    std::ifstream memory(folder + "/statm");
    std::int64_t size = 0, resident = 0;
    memory >> size >> resident;
    usage.residentKb = resident * (::sysconf(_SC_PAGESIZE) / 1024);
    return usage;
}

Percentiles percentilesOf(std::vector<double> values) {
    if (values.empty()) return {};
    std::sort(values.begin(), values.end());
    const auto at = [&](double share) {
        return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
    };
    return {at(0.5), at(0.99), values.back()};
}

LinearFit fitLine(const std::vector<std::pair<double, double>>& points) {
    if (points.size() < 2) return {};
    const auto count = static_cast<double>(points.size());
    double sumX = 0, sumY = 0, sumXX = 0, sumXY = 0;
    for (const auto& [x, y] : points) {
        sumX += x;
        sumY += y;
        sumXX += x * x;
        sumXY += x * y;
    }
    const double denominator = count * sumXX - sumX * sumX;
    if (denominator == 0) return {};
    LinearFit line;
    line.slope = (count * sumXY - sumX * sumY) / denominator;
    line.intercept = (sumY - line.slope * sumX) / count;
    double squares = 0;
    for (const auto& [x, y] : points) squares += std::pow(y - line.intercept - line.slope * x, 2);
    line.residual = std::sqrt(squares / count);
    return line;
}

}  // namespace lotuslead::scale
