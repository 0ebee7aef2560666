// Offline access to the folder of a disk tier: inspecting it at any time, and changing it while no process
// holds it. All calls block; for the operators' tool and for tests.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "folder.hpp"

namespace lotuslead::disk {

struct Survey {
    Problem problem;        // if set, the other fields are not valid
    bool lockHeld = false;  // a process holds the folder now, and the last segments are still being written
    std::vector<PurgeEntry> entries;
    std::optional<std::int64_t> busPosition;
    bool logDamaged = false;
    struct Segment {
        SegmentName name;
        std::uint64_t fileBytes = 0, liveBytes = 0;
        std::size_t parts = 0, live = 0;
        bool fromTable = false, tornTail = false;
        Problem problem;
    };
    std::vector<Segment> segments;
    std::vector<Part>
        live;  // the latest copies, without those that a purge may cover: what a start would serve
    std::uint64_t superseded = 0, purged = 0;
};
// `tables`: read the segment tables; otherwise scan each segment.
[[nodiscard]] Survey survey(FileCalls& calls, const std::string& folder, bool tables);

struct ListedPart {
    Key key;
    Part part;
    std::uint64_t bodyBytes = 0;
    bool purged = false;  // by a purge, compared by the whole object fingerprint and group
};
// Visits each live part, segment by segment, until `visit` returns false.
void listParts(FileCalls& calls, const std::string& folder, const Survey& survey,
               const std::function<bool(const ListedPart&)>& visit);

struct VerifyResult {
    std::uint64_t records = 0, bytes = 0, damaged = 0, unreadable = 0;
    std::vector<std::string> problems;  // the first ones only
};
// Reads every live part and verifies its checksums.
[[nodiscard]] VerifyResult verify(FileCalls& calls, const std::string& folder, const Survey& survey);

// The functions below need the folder's lock. `lockHeld`: another process holds it, and nothing was changed.
struct ChangeResult {
    Problem problem;
    bool lockHeld = false;
    std::uint64_t bytesBefore = 0, bytesAfter = 0;  // total size of the segment files
};
// Appends purges to the log; they are on disk when it returns without a problem.
[[nodiscard]] ChangeResult addPurges(FileCalls& calls, const std::string& folder,
                                     const std::vector<PurgeEntry>& entries);
// Rewrites the live parts into new segments and drops everything else.
[[nodiscard]] ChangeResult compact(FileCalls& calls, const std::string& folder, std::uint32_t segmentBytes);

}  // namespace lotuslead::disk
