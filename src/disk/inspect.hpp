// Looking into the folder of a tier from outside, and changing it where no process holds it. Blocking; for
// the operators' tool and for tests.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "folder.hpp"

namespace lotuslead::disk {

struct Survey {
    Problem problem;    // then nothing else holds
    bool held = false;  // a process writes there now: the last segments are in the making
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
    std::vector<Part> live;  // what a start would serve: the latest copies that no mark covers for sure
    std::uint64_t superseded = 0, purged = 0;
};
// `tables`: trusts them; else each segment is walked.
[[nodiscard]] Survey survey(FileCalls& calls, const std::string& folder, bool tables);

struct ListedPart {
    Key key;
    Part part;
    std::uint64_t bodyBytes = 0;
    bool purged = false;  // by the marks, which know the whole name here
};
// Each live part, segment by segment; false from `visit` ends it.
void listParts(FileCalls& calls, const std::string& folder, const Survey& survey,
               const std::function<bool(const ListedPart&)>& visit);

struct VerifyResult {
    std::uint64_t records = 0, bytes = 0, damaged = 0, unreadable = 0;
    std::vector<std::string> problems;  // the first ones, a line each
};
// Reads every live part whole and looks at its checksums.
[[nodiscard]] VerifyResult verify(FileCalls& calls, const std::string& folder, const Survey& survey);

// These need the folder for themselves. `busy`: a process holds it, and nothing was done.
struct ChangeResult {
    Problem problem;
    bool busy = false;
    std::uint64_t bytesBefore = 0, bytesAfter = 0;  // bytes of segments
};
// The marks are on disk when it returns.
[[nodiscard]] ChangeResult addPurges(FileCalls& calls, const std::string& folder,
                                     const std::vector<PurgeEntry>& entries);
// Writes what lives into fresh segments and drops the rest.
[[nodiscard]] ChangeResult compact(FileCalls& calls, const std::string& folder, std::uint32_t segmentBytes);

}  // namespace lotuslead::disk
