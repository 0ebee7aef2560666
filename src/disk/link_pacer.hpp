// Models the gateway's outgoing link: each transfer has a maximum rate, and all transfers share the link in
// the order of their answers (PROTOCOL, copies of its own). Computes when an answer that starts now would be
// complete. Reads no clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace lotuslead::disk {

class LinkPacer {
public:
    using Micros = std::chrono::microseconds;

    // A rate of zero means no limit.
    LinkPacer(double flowBytesPerSecond, double linkBytesPerSecond)
        : flowBytesPerSecond_(flowBytesPerSecond), linkBytesPerSecond_(linkBytesPerSecond) {}

    // When a transfer that starts now would be complete.
    Micros finishTime(Micros now, std::size_t bytes) const {
        return std::max({now + transferTime(bytes, flowBytesPerSecond_),
                         std::max(now, freeAt_) + transferTime(bytes, linkBytesPerSecond_)});
    }
    // Records that an answer of this size starts now.
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
