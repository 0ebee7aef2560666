// The file I/O of the disk tier, on two threads. The writer owns the folder, the open segments and the purge
// log; the reader only reads records. Neither makes decisions: results are reported as completions, which the
// event loop's thread collects when `wakeDescriptor` becomes readable.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "folder.hpp"

namespace lotuslead::disk {

// When records are synced: never, when their segment is sealed, or each one. Unsynced records may be lost or
// torn by a power failure, which their checksums detect.
enum class SyncPolicy : std::uint8_t { never, sealed, each };

struct IoWorkerOptions {
    std::uint32_t segmentBytes = std::uint32_t{64} << 20;
    std::uint64_t queueBytes = std::uint64_t{32} << 20;  // limit for records that wait for the writer
    std::size_t maxQueuedReads = 64;                     // limit for reads that wait for the reader
    SyncPolicy sync = SyncPolicy::sealed;
    bool tables = true;  // write and use segment tables
};

// ----- jobs -----

struct AppendJob {
    Key key;
    std::shared_ptr<const Copy> copy;
    Queue queue = Queue::probation;
    int rank = 0;
    std::uint64_t bytes = 0;
};
struct RewriteJob {  // rewrites the survivors of a segment and then reports SegmentRewritten
    std::uint32_t segment = 0;
    Queue targetQueue = Queue::main;
    std::vector<Part> survivors;
};
struct RemoveJob {
    std::uint32_t segment = 0;
};
struct ReadJob {
    std::uint64_t lookupId = 0;
    std::uint64_t fingerprint = 0;
    RecordLocation location;
};

// ----- completions -----

struct FolderOpened {  // the first completion, and one for each further attempt to open the folder
    Problem problem;
    bool lockHeld = false;   // another process holds the lock
    bool retryable = false;  // the lock is held, or the error may go away by itself
    std::vector<PurgeEntry> entries;
    std::optional<std::int64_t> busPosition;
    bool damaged = false;  // purges may be missing
    bool empty = false;    // the folder has no segments
};
struct SegmentLoaded {
    SegmentName name;
    std::vector<Part> parts;
    std::uint64_t bytes = 0;
    bool fromTable = false, tornTail = false;
    Problem problem;
};
struct LoadFinished {};
struct RecordAppended {
    Part part;
    Queue queue = Queue::probation;
    int rank = 0;
    std::uint64_t bytes = 0;  // size of the job, as it was queued
};
struct AppendFailed {
    std::uint64_t bytes = 0;
    Problem problem;
};
struct SegmentSealed {
    std::uint32_t segment = 0;
    Problem problem;  // of writing its table, or of its sync
};
struct RecordMoved {
    std::uint64_t fingerprint = 0;
    RecordLocation from, to;
    Queue queue = Queue::main;
};
struct SegmentRewritten {
    std::uint32_t segment = 0;
    Problem problem;
};
struct SegmentRemoved {
    std::uint32_t segment = 0;
    Problem problem;
};
struct PurgesPersisted {  // all purges up to this number are on disk; with a problem, they are not yet, and
                          // the write is retried
    std::uint64_t upTo = 0;
    Problem problem;
};
struct ReadDone {
    std::uint64_t lookupId = 0, fingerprint = 0;
    RecordLocation location;
    std::optional<std::pair<Key, Copy>> record;
    bool damaged = false;  // the record was read, but it is incomplete or damaged
    Problem problem;
};
using Completion =
    std::variant<FolderOpened, SegmentLoaded, LoadFinished, RecordAppended, AppendFailed, SegmentSealed,
                 RecordMoved, SegmentRewritten, SegmentRemoved, PurgesPersisted, ReadDone>;

// The open segment files, shared by both threads. A removed file stays readable to whoever still holds it.
class SegmentFiles {
public:
    void add(std::uint32_t number, std::shared_ptr<File> file);
    void remove(std::uint32_t number);
    void clear();
    std::shared_ptr<File> get(std::uint32_t number) const;

private:
    mutable std::mutex mutex_;
    std::map<std::uint32_t, std::shared_ptr<File>> files_;
};

class IoWorker {
public:
    // `calls` must outlive the worker. The threads start at once by opening the folder.
    IoWorker(FileCalls& calls, std::string folder, const IoWorkerOptions& options);
    ~IoWorker();

    int wakeDescriptor() const { return completionEvent_.get(); }
    std::vector<Completion> completions();

    // To be called on the event loop's thread; none of these blocks on the disk. False means that the queue
    // is full and the job was not accepted.
    [[nodiscard]] bool append(AppendJob job);
    [[nodiscard]] bool read(ReadJob job);
    void rewrite(RewriteJob job);
    void remove(RemoveJob job);
    // Returns the number of the last entry; entries are numbered from 1.
    std::uint64_t appendPurges(std::vector<PurgeEntry> entries);
    // Replaces the log by these entries and those that are submitted later.
    void rewritePurgeLog(std::vector<PurgeEntry> all);
    void retryOpen();  // after a failed attempt to open the folder
    // Writes the queued jobs, seals the open segments and releases the folder; both threads then end by
    // themselves.
    void beginClose();
    // As beginClose(), and waits for both threads; blocks for as long as the disk takes.
    void close();

    std::uint64_t queuedBytes() const;

private:
    struct OpenSegment {
        SegmentName name;
        std::shared_ptr<File> file;
        std::uint64_t bytes = 0;
        std::vector<Part> parts;
    };
    using Job = std::variant<AppendJob, RewriteJob, RemoveJob>;

    void writeLoop();
    void readLoop();
    void post(Completion completion);
    bool openFolder();
    void load();
    void writePurges(std::unique_lock<std::mutex>& lock);
    void execute(AppendJob& job);
    void execute(RewriteJob& job);
    void execute(const RemoveJob& job);
    struct WriteResult {
        RecordLocation location;
        Problem problem;
    };
    WriteResult writeRecord(Queue queue, Part part, std::span<const char> record);
    Problem openSegment(Queue queue);
    void seal(OpenSegment& segment);
    ReadDone readOne(const ReadJob& job);

    FileCalls& calls_;
    Folder folder_;
    PurgeLog log_;
    IoWorkerOptions options_;
    File completionEvent_;
    SegmentFiles files_;

    // Used by the writer thread only.
    std::map<Queue, OpenSegment> openSegments_;
    std::map<std::uint32_t, Queue> segmentQueues_;  // of all segments in the folder
    std::uint32_t nextSegment_ = 1;
    bool folderOpen_ = false;

    std::string readBuffer_;  // used by the reader thread only; as large as the largest record read so far

    mutable std::mutex mutex_;  // guards the members below
    std::condition_variable writerWakeup_, readerWakeup_;
    std::deque<Job> jobs_;
    std::uint64_t queuedBytes_ = 0;
    std::vector<PurgeEntry> unwrittenPurges_;
    std::uint64_t purgesQueued_ = 0;
    std::optional<std::vector<PurgeEntry>> pendingRewrite_;
    std::size_t entriesInRewrite_ =
        0;  // the first entries of `unwrittenPurges_`, which the rewrite already contains
    std::deque<ReadJob> reads_;
    std::vector<Completion> completions_;
    bool retryOpen_ = false, closing_ = false;

    std::thread writer_, reader_;
};

}  // namespace lotuslead::disk
