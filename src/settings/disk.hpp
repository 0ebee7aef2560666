// The settings of the disk tier, from the file that LB_DISK names: for each front with a tier, its folder and
// its limits.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "settings.hpp"

namespace lotuslead::settings {

struct DiskSettings {
    enum class SyncPolicy { never, sealed, each };        // when records are synced to the disk
    enum class AdmissionHistory { ghost, sketch, none };  // filter that remembers parts that are not stored

    std::string folder;
    std::int64_t capacityMb = 4096;  // total of all segment files
    std::int64_t segmentMb = 64;     // at most an eighth of capacityMb
    std::int64_t maxParts = 262144;
    std::int64_t queueMb = 32;         // waiting to be written; above it, admissions are dropped
    std::int64_t maxQueuedReads = 64;  // waiting to be read; above it, hits are treated as misses
    std::int64_t maxPurgeEntries = 65536;
    std::int64_t readTimeoutMs = 100;  // after it, the part is fetched instead of read
    std::int64_t purgeClockSkewMs = 1000;
    std::int64_t maxBusSilenceMs = 2000;  // after it, nothing is served from the tier
    bool busKeepsPositions = false;
    bool tables = true;
    double probationShare = 0.1;
    double rewriteShare = 0.5;
    SyncPolicy sync = SyncPolicy::sealed;
    AdmissionHistory admissionHistory = AdmissionHistory::ghost;
};

// The settings by front; a front without an entry has no disk tier.
struct DiskConfiguration {
    std::optional<DiskSettings> platform, repository;
};

// Throws DecodeError with the name of the field; unknown fields are rejected.
DiskConfiguration readDiskConfiguration(const std::string& text);

}  // namespace lotuslead::settings
