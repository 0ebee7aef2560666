// The in-memory index of cached parts: an open-addressing hash table from fingerprints of 64 bits to record
// locations. The full key is only in the record and is compared when the record is read. Takes at most 54
// bytes for each part; the table is allocated at the start, so that no insertion causes a rehash.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace lotuslead::disk {

// The byte range of a record within a segment file.
struct RecordLocation {
    std::uint32_t segment = 0;
    std::uint32_t offset = 0;
    std::uint32_t bytes = 0;
    bool operator==(const RecordLocation&) const = default;
};

struct Part {
    std::uint64_t fingerprint = 0;  // of object, class, part and variant
    std::int64_t createdMs = 0;     // Unix milliseconds: the copy is of this time or later
    std::uint32_t object = 0;       // objectHash32 of the object; for purge sweeps only
    std::uint32_t group = 0;        // groupHash32 of the group; for purge sweeps only
    RecordLocation location;
    std::uint8_t uses = 0;  // reads since it was written, 3 at most
    bool occupied = false;  // set by the index: the node is in use
};

class PartIndex {
public:
    using Id = std::uint32_t;
    static constexpr Id kNone = 0xffffffff;

    explicit PartIndex(std::size_t maxParts);

    [[nodiscard]] Id find(std::uint64_t fingerprint) const;
    // The part must not be present yet. Returns kNone when the index is full.
    [[nodiscard]] Id insert(const Part& part);
    void erase(Id id);
    Part& at(Id id) { return node(id).part; }
    const Part& at(Id id) const { return node(id).part; }
    // For an incremental scan over all ids up to end(), of which some are unused.
    bool isOccupied(Id id) const { return id < usedNodes_ && node(id).part.occupied; }
    Id end() const { return usedNodes_; }

    // Intrusive lists of parts, such as those of one segment; the caller holds the id of the first.
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
    std::vector<Id> table_;  // linear probing; load factor at most 3/4
    std::vector<std::unique_ptr<Node[]>> chunks_;
    std::size_t size_ = 0;
    Id usedNodes_ = 0, firstFree_ = kNone;  // number of nodes ever used; head of the free list
};

}  // namespace lotuslead::disk
