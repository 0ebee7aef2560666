// The gateway's own link: one transfer runs at a pace at most, and all share the link in the order of their
// answers (PROTOCOL, copies of its own). It says when an answer that is given now would be over. No clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace lotuslead::disk {

class Pacer {
public:
    using Micros = std::chrono::microseconds;

    // Bytes a second; zero: no bound.
    Pacer(double flow, double link) : flow_(flow), link_(link) {}

    Micros overAt(Micros now, std::size_t bytes) const {
        return std::max({now + spent(bytes, flow_), std::max(now, freeAt_) + spent(bytes, link_)});
    }
    // The answer is given.
    void take(Micros now, std::size_t bytes) { freeAt_ = std::max(now, freeAt_) + spent(bytes, link_); }

private:
    static Micros spent(std::size_t bytes, double pace) {
        return pace > 0 ? Micros{static_cast<Micros::rep>(static_cast<double>(bytes) / pace * 1e6)}
                        : Micros{0};
    }

    double flow_, link_;
    Micros freeAt_{};
};

}  // namespace lotuslead::disk
