// The decisions of the tier: who is admitted and to which queue, what goes, what may be served. No I/O and no
// clock; used on the loop's thread. What it decides is carried out by others, which tell it how that went.
//
// Both queues are rows of segments (Yang, Zhang, Qiu, Yue and Rashmi, "FIFO queues are all you need for cache
// eviction", SOSP 2023): newcomers go to probation, which has a tenth of the bytes; what was used there, or
// comes back soon after it went, goes to the main queue.
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
// What remembers names that are not held: those that went, how often each was asked for, or nothing (then all
// begin on probation).
enum class AdmissionHistory : std::uint8_t { ghost, sketch, none };

struct SegmentCatalogOptions {
    std::uint64_t capacityBytes = std::uint64_t{4} << 30;  // of segment files
    std::uint32_t segmentBytes = std::uint32_t{64} << 20;  // at most capacity / 8
    std::size_t maxParts = 262144;
    double probationShare = 0.1;
    // Of a reclaimed segment of the main queue that is kept, at most. What leaves probation for the main
    // queue is written once more, so bytes written are at most 1 + 1 / (1 - rewriteShare) times those
    // admitted.
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
    // One that is to be rewritten in part and then dropped.
    struct ReclaimTask {
        std::uint32_t segment = 0;
        Queue targetQueue = Queue::main;
        std::vector<Part> survivors;
    };

    explicit SegmentCatalog(const SegmentCatalogOptions& options);

    // A request for it has come, whether it is held or not.
    void recordRequest(std::uint64_t fingerprint);
    // A part that may be read. Its use counts in its favour.
    [[nodiscard]] std::optional<Part> findForRead(std::uint64_t fingerprint);
    [[nodiscard]] bool contains(std::uint64_t fingerprint) const {
        return index_.find(fingerprint) != PartIndex::kNone;
    }

    // Where a fetched part is to be written; nothing: it is not taken. `rank`: the decision module's, of
    // which zero is never taken and two or more (several viewers) counts as a use. `onTheWay`: bytes that the
    // writer has not written yet.
    [[nodiscard]] std::optional<Queue> admit(std::uint64_t fingerprint, int rank, std::uint64_t bytes,
                                             std::uint64_t pendingBytes);

    // ----- what has become of it -----

    // It is written; it takes the place of what was held under its name. `rank` as in admit.
    void partAppended(Part part, Queue queue, int rank);
    // Found on disk at the start; the copy minted last stays, at equal times the later written one.
    void partLoaded(const Part& part, Queue queue);
    void segmentLoaded(std::uint32_t segment, Queue queue, std::uint64_t bytes);
    void segmentSealed(std::uint32_t segment);
    // A rewritten part has moved; false: it had gone meanwhile, and the new record is dead.
    bool partMoved(std::uint64_t fingerprint, const RecordLocation& from, const RecordLocation& to,
                   Queue queue);
    // The record there is no good, or its file is gone.
    void partLost(std::uint64_t fingerprint, const RecordLocation& location);

    // The segment to reclaim next, where room is short; one at a time. The caller ends it by dropped().
    [[nodiscard]] std::optional<ReclaimTask> nextReclaim(std::uint64_t pendingBytes);
    // What still lives in it goes now; its file may be unlinked.
    void dropSegment(std::uint32_t segment);
    // All that the marks cover goes, `slice` parts of the index at a call; true: a whole walk is done.
    bool sweep(const PurgeTombstones& tombstones, std::size_t maxSteps);
    void dropAll();

    std::size_t parts() const { return index_.size(); }
    std::uint64_t bytes() const { return bytes_; }          // of segment files
    std::uint64_t liveBytes() const { return liveBytes_; }  // of records that may be served
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
    std::map<std::uint32_t, Segment> segments_;  // by number: the oldest first
    std::uint64_t bytes_ = 0, liveBytes_ = 0, probationBytes_ = 0;
    bool reclaiming_ = false;
    PartIndex::Id sweepCursor_ = 0;
    Counters counters_;
};

}  // namespace lotuslead::disk
