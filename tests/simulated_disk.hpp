// Simulates the disk behind a SegmentCatalog without files: it carries out the catalog's decisions in memory.
// For policy tests and for the benchmark of hit ratios.
#pragma once

#include <map>

#include "disk/segment_catalog.hpp"

namespace lotuslead::disk {

class SimulatedDisk {
public:
    explicit SimulatedDisk(const SegmentCatalogOptions& options) : catalog(options) {}

    // One request for a part. Returns whether it was held; otherwise it is fetched and offered with this
    // rank.
    bool request(std::uint64_t fingerprint, int rank, std::uint32_t bytes, std::int64_t createdMs = 1) {
        catalog.recordRequest(fingerprint);
        if (catalog.findForRead(fingerprint)) return true;
        if (const auto queue = catalog.admit(fingerprint, rank, bytes, 0)) {
            Part part;
            part.fingerprint = fingerprint;
            part.createdMs = createdMs;
            part.object = static_cast<std::uint32_t>(fingerprint >> 32);
            part.location = append(*queue, bytes);
            catalog.partAppended(part, *queue, rank);
            written += bytes;
        }
        reclaim();
        return false;
    }
    void reclaim() {
        while (const auto next = catalog.nextReclaim(0)) {
            for (const Part& part : next->survivors) {
                catalog.partMoved(part.fingerprint, part.location,
                                  append(next->targetQueue, part.location.bytes), next->targetQueue);
                written += part.location.bytes;
            }
            catalog.dropSegment(next->segment);
        }
    }

    SegmentCatalog catalog;
    std::uint64_t written = 0;

private:
    struct OpenSegment {
        std::uint32_t number = 0;
        std::uint32_t bytes = 0;
    };
    RecordLocation append(Queue queue, std::uint32_t bytes) {
        OpenSegment& open = openSegments_[queue];
        if (open.number == 0 || open.bytes + bytes > catalog.options().segmentBytes) {
            if (open.number != 0) catalog.segmentSealed(open.number);
            open = {++lastSegment_, 0};
        }
        open.bytes += bytes;
        return {open.number, open.bytes - bytes, bytes};
    }

    std::map<Queue, OpenSegment> openSegments_;
    std::uint32_t lastSegment_ = 0;
};

}  // namespace lotuslead::disk
