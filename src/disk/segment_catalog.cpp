#include "segment_catalog.hpp"

#include <algorithm>

namespace lotuslead::disk {

namespace {

constexpr std::uint8_t kMaxUses = 3;
constexpr unsigned kPopularEstimate = 3;  // recent requests, as estimated by the sketch
// Space kept free for segments that are not full yet: one open segment for each queue, and one that survivors
// are rewritten to.
constexpr std::uint64_t kReservedSegments = 3;

std::size_t sketchCapacity(const SegmentCatalogOptions& options) {
    return options.admissionHistory == AdmissionHistory::sketch ? options.maxParts : 1;
}
std::size_t ghostCapacity(const SegmentCatalogOptions& options) {
    return options.admissionHistory == AdmissionHistory::ghost ? options.maxParts : 1;
}

}  // namespace

SegmentCatalog::SegmentCatalog(const SegmentCatalogOptions& options)
    : options_(options),
      index_(options.maxParts),
      ghost_(ghostCapacity(options)),
      sketch_(sketchCapacity(options)) {
    const std::uint64_t maxBytes = std::max<std::uint64_t>(options_.capacityBytes / 8, 4096);
    options_.segmentBytes =
        static_cast<std::uint32_t>(std::min<std::uint64_t>(options_.segmentBytes, maxBytes));
}

void SegmentCatalog::recordRequest(std::uint64_t fingerprint) {
    if (options_.admissionHistory == AdmissionHistory::sketch) sketch_.add(fingerprint);
}

std::optional<Part> SegmentCatalog::findForRead(std::uint64_t fingerprint) {
    const PartIndex::Id id = index_.find(fingerprint);
    if (id == PartIndex::kNone) return {};
    Part& part = index_.at(id);
    part.uses = std::min<std::uint8_t>(static_cast<std::uint8_t>(part.uses + 1), kMaxUses);
    return part;
}

std::optional<Queue> SegmentCatalog::admit(std::uint64_t fingerprint, int rank, std::uint64_t bytes,
                                           std::uint64_t pendingBytes) {
    if (rank <= 0) {
        ++counters_.unranked;
        return {};
    }
    // A record must fit into a segment. Reclamation may lag behind admissions, so the capacity is checked
    // here as well.
    const bool room =
        bytes_ + pendingBytes + bytes <= options_.capacityBytes && bytes <= options_.segmentBytes;
    if (!room || index_.size() >= index_.maxParts()) {
        ++counters_.full;
        return {};
    }
    ++counters_.admitted;
    counters_.admittedBytes += bytes;
    const bool known = options_.admissionHistory == AdmissionHistory::ghost
                           ? ghost_.takeIfPresent(fingerprint)
                       : options_.admissionHistory == AdmissionHistory::sketch
                           ? sketch_.estimate(fingerprint) >= kPopularEstimate
                           : false;
    const PartIndex::Id held = index_.find(fingerprint);
    // A new copy of a part in the main queue stays in that queue.
    const bool wasMain =
        held != PartIndex::kNone && segments_.at(index_.at(held).location.segment).queue == Queue::main;
    if (!known && !wasMain) return Queue::probation;
    ++counters_.toMain;
    return Queue::main;
}

SegmentCatalog::Segment& SegmentCatalog::segmentOf(std::uint32_t id, Queue queue) {
    const auto [at, isNew] = segments_.try_emplace(id);
    if (isNew) at->second.queue = queue;
    return at->second;
}

void SegmentCatalog::insert(Part part, Queue queue) {
    const PartIndex::Id id = index_.insert(part);
    Segment& segment = segmentOf(part.location.segment, queue);
    if (id == PartIndex::kNone) return;  // the index is full: the record is garbage
    index_.link(segment.firstPart, id);
    segment.liveBytes += part.location.bytes;
    liveBytes_ += part.location.bytes;
}

void SegmentCatalog::erase(PartIndex::Id id) {
    const Part& part = index_.at(id);
    Segment& segment = segments_.at(part.location.segment);
    index_.unlink(segment.firstPart, id);
    segment.liveBytes -= part.location.bytes;
    liveBytes_ -= part.location.bytes;
    index_.erase(id);
}

void SegmentCatalog::partAppended(Part part, Queue queue, int rank) {
    Segment& segment = segmentOf(part.location.segment, queue);
    segment.bytes += part.location.bytes;
    bytes_ += part.location.bytes;
    if (segment.queue == Queue::probation) probationBytes_ += part.location.bytes;
    const PartIndex::Id held = index_.find(part.fingerprint);
    if (held != PartIndex::kNone) {
        if (index_.at(held).createdMs > part.createdMs) return;  // the copy that is held is newer
        part.uses = index_.at(held).uses;
        erase(held);
        ++counters_.replaced;
    }
    if (rank >= 2) part.uses = std::max<std::uint8_t>(part.uses, 1);
    insert(part, queue);
}

void SegmentCatalog::partLoaded(const Part& part, Queue queue) {
    const PartIndex::Id held = index_.find(part.fingerprint);
    if (held != PartIndex::kNone) {
        const Part& other = index_.at(held);
        const bool later =
            std::pair(part.createdMs, part.location.segment) >
                std::pair(other.createdMs, other.location.segment) ||
            (part.createdMs == other.createdMs && part.location.segment == other.location.segment &&
             part.location.offset > other.location.offset);
        if (!later) return;
        erase(held);
    }
    insert(part, queue);
}

void SegmentCatalog::segmentLoaded(std::uint32_t id, Queue queue, std::uint64_t bytes) {
    Segment& segment = segmentOf(id, queue);
    segment.sealed = true;
    segment.bytes += bytes;
    bytes_ += bytes;
    if (queue == Queue::probation) probationBytes_ += bytes;
}

void SegmentCatalog::segmentSealed(std::uint32_t segment) {
    const auto found = segments_.find(segment);
    if (found != segments_.end()) found->second.sealed = true;
}

bool SegmentCatalog::partMoved(std::uint64_t fingerprint, const RecordLocation& from,
                               const RecordLocation& to, Queue queue) {
    Segment& segment = segmentOf(to.segment, queue);
    segment.bytes += to.bytes;
    bytes_ += to.bytes;
    if (segment.queue == Queue::probation) probationBytes_ += to.bytes;
    ++counters_.moved;
    counters_.movedBytes += to.bytes;
    const PartIndex::Id held = index_.find(fingerprint);
    if (held == PartIndex::kNone || !(index_.at(held).location == from)) return false;
    Part part = index_.at(held);
    erase(held);
    part.location = to;
    part.uses = part.uses > 0 ? static_cast<std::uint8_t>(part.uses - 1) : std::uint8_t{0};
    insert(part, queue);
    return true;
}

void SegmentCatalog::partLost(std::uint64_t fingerprint, const RecordLocation& location) {
    const PartIndex::Id held = index_.find(fingerprint);
    if (held != PartIndex::kNone && index_.at(held).location == location) erase(held);
}

std::optional<SegmentCatalog::ReclaimTask> SegmentCatalog::nextReclaim(std::uint64_t pendingBytes) {
    if (reclaiming_) return {};
    auto chosen = segments_.end();
    for (auto at = segments_.begin(); at != segments_.end(); ++at)
        if (at->second.sealed && at->second.liveBytes == 0) {
            chosen = at;  // nothing to rewrite
            break;
        }
    if (chosen == segments_.end()) {
        const std::uint64_t reserve =
            std::min<std::uint64_t>(kReservedSegments * options_.segmentBytes, options_.capacityBytes / 2);
        const bool lowOnSpace = bytes_ + pendingBytes + reserve > options_.capacityBytes ||
                                index_.size() + index_.maxParts() / 16 > index_.maxParts();
        if (!lowOnSpace) return {};
        const auto probationLimitBytes =
            static_cast<std::uint64_t>(options_.probationShare * static_cast<double>(options_.capacityBytes));
        const Queue preferredQueue = probationBytes_ > probationLimitBytes ? Queue::probation : Queue::main;
        for (const Queue queue :
             {preferredQueue, preferredQueue == Queue::main ? Queue::probation : Queue::main}) {
            chosen = std::find_if(segments_.begin(), segments_.end(), [&](const auto& entry) {
                return entry.second.queue == queue && entry.second.sealed;
            });
            if (chosen != segments_.end()) break;
        }
        if (chosen == segments_.end()) return {};
    }
    reclaiming_ = true;
    chosen->second.reclaiming = true;
    return ReclaimTask{chosen->first, Queue::main, survivorsOf(chosen->second)};
}

// The parts to rewrite, as many as the share allows: the most used first, and the latest written first among
// equals.
std::vector<Part> SegmentCatalog::survivorsOf(const Segment& segment) const {
    std::vector<Part> survivors;
    for (PartIndex::Id id = segment.firstPart; id != PartIndex::kNone; id = index_.nextInList(id))
        if (index_.at(id).uses > 0) survivors.push_back(index_.at(id));
    std::stable_sort(survivors.begin(), survivors.end(),
                     [](const Part& a, const Part& b) { return a.uses > b.uses; });
    // No limit in probation, which a part leaves only once; in the main queue a part could otherwise be
    // rewritten endlessly.
    const double share = segment.queue == Queue::probation ? 1.0 : options_.rewriteShare;
    const auto maxBytes = static_cast<std::uint64_t>(share * static_cast<double>(segment.bytes));
    std::uint64_t bytes = 0;
    std::erase_if(survivors, [&](const Part& part) {
        if (bytes + part.location.bytes > maxBytes) return true;
        bytes += part.location.bytes;
        return false;
    });
    return survivors;
}

void SegmentCatalog::dropSegment(std::uint32_t id) {
    const auto found = segments_.find(id);
    if (found == segments_.end()) return;
    Segment& segment = found->second;
    while (segment.firstPart != PartIndex::kNone) {
        const PartIndex::Id part = segment.firstPart;
        if (options_.admissionHistory == AdmissionHistory::ghost) ghost_.add(index_.at(part).fingerprint);
        erase(part);
        ++counters_.evicted;
    }
    bytes_ -= segment.bytes;
    if (segment.queue == Queue::probation) probationBytes_ -= segment.bytes;
    if (segment.reclaiming) reclaiming_ = false;
    segments_.erase(found);
    ++counters_.reclaimed;
}

bool SegmentCatalog::sweep(const PurgeTombstones& tombstones, std::size_t maxSteps) {
    for (std::size_t i = 0; i < maxSteps && sweepCursor_ < index_.end(); ++i, ++sweepCursor_) {
        if (!index_.isOccupied(sweepCursor_)) continue;
        const Part& part = index_.at(sweepCursor_);
        if (!tombstones.mayCover(part.object, part.group, part.createdMs)) continue;
        erase(sweepCursor_);
        ++counters_.purged;
    }
    if (sweepCursor_ < index_.end()) return false;
    sweepCursor_ = 0;
    return true;
}

void SegmentCatalog::dropAll() {
    const SegmentCatalogOptions options = options_;
    const Counters counters = counters_;
    *this = SegmentCatalog(options);
    counters_ = counters;
}

std::size_t SegmentCatalog::memoryBytes() const {
    return index_.memoryBytes() + ghost_.memoryBytes() + sketch_.memoryBytes() +
           segments_.size() * (sizeof(Segment) + 64);
}

}  // namespace lotuslead::disk
