// A token bucket that is refilled by explicit deposits instead of by time.
#pragma once

#include <algorithm>

namespace lotuslead {

struct TokenBucket {
    double capacity, tokens;
    void deposit(double amount) { tokens = std::min(capacity, tokens + amount); }
    bool tryTake() { return tokens >= 1 ? (tokens -= 1, true) : false; }
};

}  // namespace lotuslead
