// The folder of a tier: who holds it, what is in it, and its purge log. Blocking calls; used by the writer's
// thread and by the operators' tool, never on a loop's thread.
//
//   format                  the form, in words; another form is not touched
//   lock                    held (flock) by the one process that writes here
//   purges                  marks, one behind the other
//   NNNNNNNN.probation/main segments
//   NNNNNNNN.table          of a sealed segment; can be made anew from it
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "file_calls.hpp"
#include "record.hpp"
#include "segment_catalog.hpp"

namespace lotuslead::disk {

struct SegmentName {
    std::uint32_t number = 0;
    Queue queue = Queue::probation;
};
std::string segmentFile(const SegmentName& name);
std::string tableFile(std::uint32_t number);

// An error in words, with the path; empty: none.
using Problem = std::string;
Problem describeError(const std::string& what, const std::string& path, int error);
// Whether the same call may succeed later without anybody's doing: no room, a device that fails, no
// descriptor.
bool isTransient(int error);

class Folder {
public:
    enum class Access { write, read };  // read: beside a process that writes, and changing nothing

    Folder(FileCalls& calls, std::string path) : calls_(calls), path_(std::move(path)) {}

    struct OpenResult {
        Problem problem;
        bool busy = false;       // another process holds it
        bool transient = false;  // it fails for a while
        bool retryable() const { return busy || transient; }
    };
    [[nodiscard]] OpenResult open(Access access);
    void close() { lock_ = File(); }

    const std::string& path() const { return path_; }
    std::string pathOf(const std::string& file) const { return path_ + "/" + file; }
    [[nodiscard]] std::vector<SegmentName> segments() const;  // in the order of their numbers
    [[nodiscard]] int syncFolder();                           // so that names are as lasting as their files

    // Reads what is in a segment: from its table, else by its heads up to the first that is no good.
    struct SegmentContents {
        std::vector<Part> parts;
        std::uint64_t bytes = 0;      // up to the end of the last whole head and its body
        std::uint64_t fileBytes = 0;  // beyond `bytes`: a torn tail
        bool fromTable = false;
        Problem problem;
    };
    [[nodiscard]] SegmentContents readSegment(const SegmentName& name, bool useTable);
    [[nodiscard]] Problem writeTable(const SegmentTable& table, std::uint32_t number);
    [[nodiscard]] Problem removeSegment(const SegmentName& name);

private:
    OpenResult checkFormat(Access access);
    static OpenResult openFailure(const std::string& what, const std::string& path, int error);

    FileCalls& calls_;
    std::string path_;
    File lock_;
};

// The marks, lasting. Append and sync; written anew once most of it is out of date.
class PurgeLog {
public:
    PurgeLog(FileCalls& calls, Folder& folder) : calls_(calls), folder_(folder) {}

    struct LoadResult {
        std::vector<PurgeEntry> entries;
        std::optional<std::int64_t> busPosition;  // of the bus; none: no event of a bus was ever applied here
        bool damaged = false;  // it ends in the middle, or is not as it was written: marks may be missing
        Problem problem;
        bool retryable = false;  // the problem may pass
    };
    [[nodiscard]] LoadResult load(Folder::Access access);
    // After this the marks are on disk. A half-written line is cut off again.
    [[nodiscard]] int append(const std::vector<PurgeEntry>& entries);
    // Exactly these from now on. Where only the folder can't be synced the new file holds all the same, and
    // no mark is acknowledged before that has been made up for.
    [[nodiscard]] int rewrite(const std::vector<PurgeEntry>& entries);
    std::uint64_t entryCount() const { return bytes_ / kPurgeEntryBytes; }

private:
    [[nodiscard]] int syncFolderIfDue();

    FileCalls& calls_;
    Folder& folder_;
    File file_;
    std::uint64_t bytes_ = 0;
    bool damaged_ = false;        // behind `bytes_` stands what could not be read
    bool folderSyncDue_ = false;  // after a crash the name may still be the replaced file's
};

}  // namespace lotuslead::disk
