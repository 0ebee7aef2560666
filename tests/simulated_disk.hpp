// A disk on paper: it carries out what a Shelf decides, without files. For tests of the decisions and for the
// benchmark of hit ratios.
#pragma once

#include <map>

#include "disk/segment_catalog.hpp"

namespace lotuslead::disk {

class SimulatedDisk {
public:
    explicit SimulatedDisk(const SegmentCatalogOptions& options) : catalog(options) {}

    // One request for a part: true where it was held; else it is fetched and offered with this rank.
    bool request(std::uint64_t name, int rank, std::uint32_t bytes, std::int64_t createdMs = 1) {
        catalog.recordRequest(name);
        if (catalog.findForRead(name)) return true;
        if (const auto queue = catalog.admit(name, rank, bytes, 0)) {
            Part part;
            part.fingerprint = name;
            part.createdMs = createdMs;
            part.object = static_cast<std::uint32_t>(name >> 32);
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
    struct Open {
        std::uint32_t number = 0;
        std::uint32_t bytes = 0;
    };
    RecordLocation append(Queue queue, std::uint32_t bytes) {
        Open& open = open_[queue];
        if (open.number == 0 || open.bytes + bytes > catalog.options().segmentBytes) {
            if (open.number != 0) catalog.segmentSealed(open.number);
            open = {++last_, 0};
        }
        open.bytes += bytes;
        return {open.number, open.bytes - bytes, bytes};
    }

    std::map<Queue, Open> open_;
    std::uint32_t last_ = 0;
};

}  // namespace lotuslead::disk
