// The gateway's own link: one transfer runs at a pace at most, and all share the link in the order of their
// answers (PROTOCOL, copies of its own). It says when an answer that is given now would be over. No clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace lotuslead::disk {

class LinkPacer {
public:
    using Micros = std::chrono::microseconds;

    // Bytes a second; zero: no bound.
    LinkPacer(double flowBytesPerSecond, double linkBytesPerSecond)
        : flowBytesPerSecond_(flowBytesPerSecond), linkBytesPerSecond_(linkBytesPerSecond) {}

    Micros finishTime(Micros now, std::size_t bytes) const {
        return std::max({now + transferTime(bytes, flowBytesPerSecond_),
                         std::max(now, freeAt_) + transferTime(bytes, linkBytesPerSecond_)});
    }
    // The answer is given.
    void reserve(Micros now, std::size_t bytes) {
        freeAt_ = std::max(now, freeAt_) + transferTime(bytes, linkBytesPerSecond_);
    }

private:
    static Micros transferTime(std::size_t bytes, double bytesPerSecond) {
        return bytesPerSecond > 0
                   ? Micros{static_cast<Micros::rep>(static_cast<double>(bytes) / bytesPerSecond * 1e6)}
                   : Micros{0};
    }

    double flowBytesPerSecond_, linkBytesPerSecond_;
    Micros freeAt_{};
};

}  // namespace lotuslead::disk
