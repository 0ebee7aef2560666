// The folder of a disk tier: its lock, its segment files and its purge log. All calls block; they are made on
// the writer thread and in the operators' tool, never on an event loop's thread.
//
//   format                    layout version, as text; a folder of another version is not touched
//   lock                      locked (flock) by the one process that writes here
//   purges                    the purge log, a sequence of entries of fixed size
//   NNNNNNNN.probation/.main  segments
//   NNNNNNNN.table            index of a sealed segment; can be rebuilt from the segment
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

// The text of an error, with the path; empty means no error.
using Problem = std::string;
Problem describeError(const std::string& what, const std::string& path, int error);
// Whether the same call may succeed later without a change by the operator: no space, a failing device, no
// free descriptor.
bool isTransient(int error);

class Folder {
public:
    enum class Access { write, read };  // read: changes nothing and may run beside a process that writes

    Folder(FileCalls& calls, std::string path) : calls_(calls), path_(std::move(path)) {}

    struct OpenResult {
        Problem problem;
        bool lockHeld = false;   // another process holds the lock
        bool transient = false;  // the error may go away by itself
        bool retryable() const { return lockHeld || transient; }
    };
    [[nodiscard]] OpenResult open(Access access);
    void close() { lock_ = File(); }

    const std::string& path() const { return path_; }
    std::string pathOf(const std::string& file) const { return path_ + "/" + file; }
    [[nodiscard]] std::vector<SegmentName> segments() const;  // sorted by number
    [[nodiscard]] int syncFolder();  // makes created and renamed files durable under their names

    // The parts in a segment: read from its table, or else by a scan of the record headers up to the first
    // one that is damaged.
    struct SegmentContents {
        std::vector<Part> parts;
        std::uint64_t bytes = 0;      // up to the end of the last complete record
        std::uint64_t fileBytes = 0;  // larger than `bytes` where the file ends with an incomplete record
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

// The durable log of purges. Entries are appended and synced; the log is rewritten once most of its entries
// are obsolete.
class PurgeLog {
public:
    PurgeLog(FileCalls& calls, Folder& folder) : calls_(calls), folder_(folder) {}

    struct LoadResult {
        std::vector<PurgeEntry> entries;
        std::optional<std::int64_t> busPosition;  // none: no event of a bus was ever applied to this folder
        bool damaged = false;                     // an entry is damaged, so purges may be missing
        Problem problem;
        bool retryable = false;  // the error may go away by itself
    };
    [[nodiscard]] LoadResult load(Folder::Access access);
    // On success the entries are on disk. After a failed write the partial entry is truncated.
    [[nodiscard]] int append(const std::vector<PurgeEntry>& entries);
    // Replaces the log by these entries. If only the sync of the folder fails, the new file is still the one
    // in use, and append() reports success again only after a later sync of the folder has succeeded.
    [[nodiscard]] int rewrite(const std::vector<PurgeEntry>& entries);
    std::uint64_t entryCount() const { return bytes_ / kPurgeEntryBytes; }

private:
    [[nodiscard]] int syncFolderIfDue();

    FileCalls& calls_;
    Folder& folder_;
    File file_;
    std::uint64_t bytes_ = 0;
    bool damaged_ = false;  // the file has unreadable data behind `bytes_`
    bool folderSyncDue_ =
        false;  // the rename is not yet synced: after a crash the name may refer to the replaced file
};

}  // namespace lotuslead::disk
