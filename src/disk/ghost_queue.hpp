// Names that went not long ago: a FIFO of fingerprints without a list. Each has its number; one that lies
// more than `capacity` numbers back counts as gone, and its place is taken by the next that needs one.
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
    // Takes about 11 to 21 bytes a name. Two names in four billion are taken for one another.
    explicit GhostQueue(std::size_t capacity)
        : capacity_(static_cast<std::uint32_t>(std::clamp<std::size_t>(capacity, 16, std::size_t{1} << 30))),
          buckets_(std::bit_ceil(std::size_t{capacity_} * 4 / 3 / kWays + 1)) {}

    void add(std::uint64_t name) {
        ++now_;
        Bucket& bucket = bucketOf(name);
        // Its own place, else the one whose name went longest ago.
        Slot* slot = &bucket[0];
        for (Slot& s : bucket) {
            if (s.tag == tagOf(name)) {
                slot = &s;
                break;
            }
            if (now_ - s.number > now_ - slot->number) slot = &s;
        }
        *slot = {tagOf(name), now_};
    }

    // Tells whether it was there, and takes it out: it is admitted now.
    bool take(std::uint64_t name) {
        for (Slot& s : bucketOf(name))
            if (s.tag == tagOf(name) && now_ - s.number < capacity_) {
                s = {};
                s.number = now_ - capacity_;
                return true;
            }
        return false;
    }

    std::size_t memoryBytes() const { return buckets_.size() * sizeof(Bucket); }

private:
    static constexpr std::size_t kWays = 4;
    struct Slot {
        std::uint32_t tag = 0;  // zero: free
        std::uint32_t number = 0;
    };
    using Bucket = std::array<Slot, kWays>;

    static std::uint32_t tagOf(std::uint64_t name) {
        return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(name >> 32));
    }
    Bucket& bucketOf(std::uint64_t name) { return buckets_[mix(name) & (buckets_.size() - 1)]; }

    std::uint32_t capacity_;
    std::uint32_t now_ = 0;  // wraps around; differences stay right
    std::vector<Bucket> buckets_;
};

}  // namespace lotuslead::disk
