// The operator's file that switches the disk tier on, named by LB_DISK: for each front that has one, where it
// is and what it may take.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "settings.hpp"

namespace lotuslead::settings {

struct DiskSettings {
    enum class Sync { never, sealed, each };        // when records are made to last
    enum class Admission { ghost, sketch, plain };  // what remembers parts that are not held

    std::string folder;
    std::int64_t capacityMb = 4096;  // of all segment files
    std::int64_t segmentMb = 64;     // at most an eighth of that
    std::int64_t mostParts = 262144;
    std::int64_t queueMb = 32;    // that wait to be written; beyond it admissions are dropped
    std::int64_t mostReads = 64;  // that wait to be read; beyond it hits are misses
    std::int64_t mostMarks = 65536;
    std::int64_t readWaitMs = 100;  // then the part is fetched instead
    std::int64_t purgeSlackMs = 1000;
    std::int64_t busSilenceMs = 2000;  // then nothing is served from it
    bool busKeepsPositions = false;
    bool tables = true;
    double probationShare = 0.1;
    double rewriteShare = 0.5;
    Sync sync = Sync::sealed;
    Admission admission = Admission::ghost;
};

// By front; a front that is not named has no tier.
struct DiskConfiguration {
    std::optional<DiskSettings> platform, repository;
};

// Throws Malformed, with the field named. Fields that it does not know are refused.
DiskConfiguration readDiskConfiguration(const std::string& text);

}  // namespace lotuslead::settings
