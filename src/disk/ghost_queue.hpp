// A ghost queue: the fingerprints of recently evicted parts, as a FIFO in a set-associative table. Each entry
// has a sequence number; an entry more than `capacity` numbers old counts as removed, and its slot is reused.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "../support/hash.hpp"

namespace lotuslead::disk {

class GhostQueue {
public:
    // Takes about 11 to 21 bytes for each entry. Two fingerprints are confused with a probability of about 1
    // in 4 billion.
    explicit GhostQueue(std::size_t capacity)
        : capacity_(static_cast<std::uint32_t>(std::clamp<std::size_t>(capacity, 16, std::size_t{1} << 30))),
          buckets_(std::bit_ceil(std::size_t{capacity_} * 4 / 3 / kWays + 1)) {}

    void add(std::uint64_t fingerprint) {
        ++sequence_;
        Bucket& bucket = bucketOf(fingerprint);
        // The slot of this fingerprint, or else the oldest one of the bucket.
        Slot* slot = &bucket[0];
        for (Slot& s : bucket) {
            if (s.tag == tagOf(fingerprint)) {
                slot = &s;
                break;
            }
            if (sequence_ - s.sequence > sequence_ - slot->sequence) slot = &s;
        }
        *slot = {tagOf(fingerprint), sequence_};
    }

    // Returns whether the fingerprint was present, and removes it.
    bool takeIfPresent(std::uint64_t fingerprint) {
        for (Slot& s : bucketOf(fingerprint))
            if (s.tag == tagOf(fingerprint) && sequence_ - s.sequence < capacity_) {
                s = {};
                s.sequence = sequence_ - capacity_;
                return true;
            }
        return false;
    }

    std::size_t memoryBytes() const { return buckets_.size() * sizeof(Bucket); }

private:
    static constexpr std::size_t kWays = 4;
    struct Slot {
        std::uint32_t tag = 0;  // zero: the slot is free
        std::uint32_t sequence = 0;
    };
    using Bucket = std::array<Slot, kWays>;

    static std::uint32_t tagOf(std::uint64_t fingerprint) {
        return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(fingerprint >> 32));
    }
    Bucket& bucketOf(std::uint64_t fingerprint) { return buckets_[mix(fingerprint) & (buckets_.size() - 1)]; }

    std::uint32_t capacity_;
    std::uint32_t sequence_ = 0;  // wraps around; differences remain correct
    std::vector<Bucket> buckets_;
};

}  // namespace lotuslead::disk
