// The in-memory catalog of the tier's segments and parts, with its admission and eviction policy. No I/O and
// no clock; used on the event loop's thread. The caller carries out its decisions and reports the outcome.
//
// Both queues are FIFOs of segments (Yang, Zhang, Qiu, Yue and Rashmi, "FIFO queues are all you need for
// cache eviction", SOSP 2023): new parts go to the probation queue, which has a tenth of the bytes; parts
// that were read there, or are fetched again soon after their eviction, go to the main queue.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "frequency_sketch.hpp"
#include "ghost_queue.hpp"
#include "part_index.hpp"
#include "purge_tombstones.hpp"

namespace lotuslead::disk {

enum class Queue : std::uint8_t { probation, main };
// What the admission policy remembers about parts that are not held: those evicted recently (ghost), how
// often each was requested (sketch), or nothing (then every part starts in probation).
enum class AdmissionHistory : std::uint8_t { ghost, sketch, none };

struct SegmentCatalogOptions {
    std::uint64_t capacityBytes = std::uint64_t{4} << 30;  // total size of the segment files
    std::uint32_t segmentBytes = std::uint32_t{64} << 20;  // limited to capacityBytes / 8
    std::size_t maxParts = 262144;
    double probationShare = 0.1;
    // The largest share of a reclaimed main segment that is rewritten. Parts that move from probation to the
    // main queue are written once more, so the bytes written are at most 1 + 1 / (1 - rewriteShare) times the
    // bytes admitted.
    double rewriteShare = 0.5;
    AdmissionHistory admissionHistory = AdmissionHistory::ghost;
};

class SegmentCatalog {
public:
    struct Counters {
        std::uint64_t admitted = 0, toMain = 0, unranked = 0, full = 0, replaced = 0, evicted = 0, moved = 0,
                      purged = 0, reclaimed = 0;
        std::uint64_t admittedBytes = 0, movedBytes = 0;
    };
    // A segment to reclaim: the survivors are rewritten, and then the segment is dropped.
    struct ReclaimTask {
        std::uint32_t segment = 0;
        Queue targetQueue = Queue::main;
        std::vector<Part> survivors;
    };

    explicit SegmentCatalog(const SegmentCatalogOptions& options);

    // Records a request for the part, whether it is held or not.
    void recordRequest(std::uint64_t fingerprint);
    // The part, if it is held. Counts as a use, which helps it to survive eviction.
    [[nodiscard]] std::optional<Part> findForRead(std::uint64_t fingerprint);
    [[nodiscard]] bool contains(std::uint64_t fingerprint) const {
        return index_.find(fingerprint) != PartIndex::kNone;
    }

    // The queue to which a fetched part is to be written; none if it is not admitted. `rank` comes from the
    // decision module: zero is never admitted, and two or more (several viewers) counts as a use.
    // `pendingBytes`: bytes that the writer has not written yet.
    [[nodiscard]] std::optional<Queue> admit(std::uint64_t fingerprint, int rank, std::uint64_t bytes,
                                             std::uint64_t pendingBytes);

    // ----- outcomes -----

    // The part was written; it replaces an older copy of itself. `rank` as in admit().
    void partAppended(Part part, Queue queue, int rank);
    // The part was found on disk at the start. The copy with the latest creation time is kept; at equal
    // times, the one written later.
    void partLoaded(const Part& part, Queue queue);
    void segmentLoaded(std::uint32_t segment, Queue queue, std::uint64_t bytes);
    void segmentSealed(std::uint32_t segment);
    // A part was rewritten to another segment. False if it was removed meanwhile, which makes the new record
    // garbage.
    bool partMoved(std::uint64_t fingerprint, const RecordLocation& from, const RecordLocation& to,
                   Queue queue);
    // The record at this location is damaged, or its file is missing.
    void partLost(std::uint64_t fingerprint, const RecordLocation& location);

    // The segment to reclaim next, when space is low. One at a time: the caller finishes it with
    // dropSegment().
    [[nodiscard]] std::optional<ReclaimTask> nextReclaim(std::uint64_t pendingBytes);
    // Removes the segment and the parts that are still in it; its file may then be unlinked.
    void dropSegment(std::uint32_t segment);
    // Removes the parts that the tombstones cover, examining `maxSteps` index entries in each call. True when
    // a full pass is complete.
    bool sweep(const PurgeTombstones& tombstones, std::size_t maxSteps);
    void dropAll();

    std::size_t parts() const { return index_.size(); }
    std::uint64_t bytes() const { return bytes_; }          // total size of the segment files
    std::uint64_t liveBytes() const { return liveBytes_; }  // total size of the records that are indexed
    std::size_t segments() const { return segments_.size(); }
    std::size_t memoryBytes() const;
    std::size_t indexBytes() const { return index_.memoryBytes(); }
    const Counters& counters() const { return counters_; }
    const SegmentCatalogOptions& options() const { return options_; }

private:
    struct Segment {
        Queue queue = Queue::probation;
        bool sealed = false;
        bool reclaiming = false;
        std::uint64_t bytes = 0, liveBytes = 0;
        PartIndex::Id firstPart = PartIndex::kNone;
    };

    void insert(Part part, Queue queue);
    void erase(PartIndex::Id id);
    Segment& segmentOf(std::uint32_t id, Queue queue);
    std::vector<Part> survivorsOf(const Segment& segment) const;

    SegmentCatalogOptions options_;
    PartIndex index_;
    GhostQueue ghost_;
    FrequencySketch sketch_;
    std::map<std::uint32_t, Segment> segments_;  // by number, which is by age
    std::uint64_t bytes_ = 0, liveBytes_ = 0, probationBytes_ = 0;
    bool reclaiming_ = false;
    PartIndex::Id sweepCursor_ = 0;
    Counters counters_;
};

}  // namespace lotuslead::disk
