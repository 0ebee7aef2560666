#include "part_index.hpp"

#include <algorithm>

namespace lotuslead::disk {

PartIndex::PartIndex(std::size_t maxParts)
    : maxParts_(std::clamp<std::size_t>(maxParts, 16, std::size_t{1} << 30)),
      table_(maxParts_ * 4 / 3 + 1, kNone) {
    static_assert(sizeof(Node) <= 48);
}

namespace {
__extension__ using Wide = unsigned __int128;
}

// Maps the fingerprint to a slot by its upper bits, so that the table size need not be a power of two.
std::size_t PartIndex::homeSlot(std::uint64_t fingerprint) const {
    return static_cast<std::size_t>((static_cast<Wide>(fingerprint) * table_.size()) >> 64);
}

PartIndex::Id PartIndex::find(std::uint64_t fingerprint) const {
    for (std::size_t at = homeSlot(fingerprint); table_[at] != kNone;
         at = at + 1 == table_.size() ? 0 : at + 1)
        if (node(table_[at]).part.fingerprint == fingerprint) return table_[at];
    return kNone;
}

PartIndex::Id PartIndex::insert(const Part& part) {
    if (size_ >= maxParts_) return kNone;
    Id id = firstFree_;
    if (id != kNone) {
        firstFree_ = node(id).next;
    } else {
        id = usedNodes_++;
        if (id / kNodesPerChunk >= chunks_.size())
            chunks_.push_back(std::make_unique<Node[]>(kNodesPerChunk));
    }
    node(id) = {part, kNone, kNone};
    node(id).part.occupied = true;
    std::size_t at = homeSlot(part.fingerprint);
    while (table_[at] != kNone) at = at + 1 == table_.size() ? 0 : at + 1;
    table_[at] = id;
    ++size_;
    return id;
}

// Backward-shift deletion: later entries move up, so that no search ends at a hole before its entry (Knuth,
// vol. 3, 6.4, algorithm R).
void PartIndex::erase(Id id) {
    std::size_t hole = homeSlot(node(id).part.fingerprint);
    while (table_[hole] != id) hole = hole + 1 == table_.size() ? 0 : hole + 1;
    const std::size_t size = table_.size();
    for (std::size_t at = hole;;) {
        at = at + 1 == size ? 0 : at + 1;
        if (table_[at] == kNone) break;
        const std::size_t wanted = homeSlot(node(table_[at]).part.fingerprint);
        const std::size_t fromWanted = (at + size - wanted) % size, fromHole = (at + size - hole) % size;
        if (fromWanted < fromHole) continue;  // its probe sequence starts after the hole
        table_[hole] = table_[at];
        hole = at;
    }
    table_[hole] = kNone;
    node(id) = {{}, kNone, firstFree_};
    firstFree_ = id;
    --size_;
}

void PartIndex::link(Id& first, Id id) {
    node(id).previous = kNone;
    node(id).next = first;
    if (first != kNone) node(first).previous = id;
    first = id;
}

void PartIndex::unlink(Id& first, Id id) {
    const Id previous = node(id).previous, next = node(id).next;
    (previous == kNone ? first : node(previous).next) = next;
    if (next != kNone) node(next).previous = previous;
    node(id).previous = node(id).next = kNone;
}

std::size_t PartIndex::memoryBytes() const {
    return table_.capacity() * sizeof(Id) +
           chunks_.size() * (kNodesPerChunk * sizeof(Node) + sizeof(chunks_[0]));
}

}  // namespace lotuslead::disk
