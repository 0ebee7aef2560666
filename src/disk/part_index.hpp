// Where each part is: a table without names. A part is known by a fingerprint of 64 bits; its full key stands
// in its record only and is compared when that is read. 54 bytes a part at most, all of it taken at the
// start, so no insertion ever moves the table.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace lotuslead::disk {

// Bytes of one segment's file.
struct RecordLocation {
    std::uint32_t segment = 0;
    std::uint32_t offset = 0;
    std::uint32_t bytes = 0;
    bool operator==(const RecordLocation&) const = default;
};

struct Part {
    std::uint64_t fingerprint = 0;  // of object, class, part and form
    std::int64_t createdMs = 0;     // Unix milliseconds: it is of then or later
    std::uint32_t object = 0;       // the upper half of the object's fingerprint; for sweeping only
    std::uint32_t group = 0;        // the group folded; for sweeping only
    RecordLocation location;
    std::uint8_t uses = 0;  // since it was written, 3 at most
    bool occupied = false;  // the index's own: its place there is taken
};

class PartIndex {
public:
    using Id = std::uint32_t;
    static constexpr Id kNone = 0xffffffff;

    explicit PartIndex(std::size_t maxParts);

    [[nodiscard]] Id find(std::uint64_t fingerprint) const;
    // The part must not be there. kNone: the table is full.
    [[nodiscard]] Id insert(const Part& part);
    void erase(Id id);
    Part& at(Id id) { return node(id).part; }
    const Part& at(Id id) const { return node(id).part; }
    // What may be there or not, for a walk over all in slices.
    bool isOccupied(Id id) const { return id < usedNodes_ && node(id).part.occupied; }
    Id end() const { return usedNodes_; }

    // A row of parts, such as those of one segment: the caller holds its first.
    void link(Id& first, Id id);
    void unlink(Id& first, Id id);
    Id nextInList(Id id) const { return node(id).next; }

    std::size_t size() const { return size_; }
    std::size_t maxParts() const { return maxParts_; }
    std::size_t memoryBytes() const;

private:
    struct Node {
        Part part;
        Id previous = kNone, next = kNone;
    };
    static constexpr std::size_t kNodesPerChunk = 4096;

    Node& node(Id id) { return chunks_[id / kNodesPerChunk][id % kNodesPerChunk]; }
    const Node& node(Id id) const { return chunks_[id / kNodesPerChunk][id % kNodesPerChunk]; }
    std::size_t homeSlot(std::uint64_t fingerprint) const;

    std::size_t maxParts_;
    std::vector<Id> table_;  // linear probing; 3/4 full at most
    std::vector<std::unique_ptr<Node[]>> chunks_;
    std::size_t size_ = 0;
    Id usedNodes_ = 0, firstFree_ = kNone;  // nodes once used; the first of the free ones
};

}  // namespace lotuslead::disk
