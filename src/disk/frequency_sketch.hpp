// Estimates how often a key was requested recently: a count-min sketch of four rows of 4-bit counters that
// are halved periodically (Einziger, Friedman and Manes, "TinyLFU", 2017, sections 3.2 and 3.3).
#pragma once

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "../support/hash.hpp"

namespace lotuslead::disk {

class FrequencySketch {
public:
    // Sized for about this many distinct keys; takes 2 to 4 bytes for each.
    explicit FrequencySketch(std::size_t distinctKeys)
        : columns_(std::bit_ceil(std::max<std::size_t>(distinctKeys, 64))),
          packedCounters_(columns_ * kRows / 16) {}

    void add(std::uint64_t fingerprint) {
        bool grew = false;
        const unsigned least = estimate(fingerprint);
        if (least < kMaxCount)
            for (unsigned row = 0; row < kRows; ++row) {
                const std::size_t at = counterIndex(fingerprint, row);
                // Conservative update: only the smallest counters are raised, since the others already
                // overestimate.
                if (counterAt(at) > least) continue;
                packedCounters_[at / 16] += std::uint64_t{1} << (at % 16 * 4);
                grew = true;
            }
        if (grew && ++added_ >= 10 * columns_) halve();
    }

    // Never less than the true count since the last halving, up to the maximum of 15.
    unsigned estimate(std::uint64_t fingerprint) const {
        unsigned least = kMaxCount;
        for (unsigned row = 0; row < kRows; ++row)
            least = std::min(least, counterAt(counterIndex(fingerprint, row)));
        return least;
    }

    std::size_t memoryBytes() const { return packedCounters_.size() * sizeof(std::uint64_t); }

private:
    static constexpr unsigned kRows = 4, kMaxCount = 15;

    std::size_t counterIndex(std::uint64_t fingerprint, unsigned row) const {
        return row * columns_ + (mix(fingerprint + row * 0x9e3779b97f4a7c15ULL) & (columns_ - 1));
    }
    unsigned counterAt(std::size_t at) const {
        return static_cast<unsigned>(packedCounters_[at / 16] >> (at % 16 * 4)) & 15U;
    }
    void halve() {
        for (std::uint64_t& word : packedCounters_) word = (word >> 1) & 0x7777777777777777ULL;
        added_ /= 2;
    }

    std::size_t columns_;
    std::vector<std::uint64_t> packedCounters_;
    std::size_t added_ = 0;
};

}  // namespace lotuslead::disk
