// A budget that grows with what it is a share of, up to a bound.
#pragma once

#include <algorithm>

namespace lotuslead {

struct Allowance {
    double burst, left;
    void earn(double by) { left = std::min(burst, left + by); }
    bool spend() { return left >= 1 ? (left -= 1, true) : false; }
};

}  // namespace lotuslead
