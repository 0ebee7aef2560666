// The two threads of a tier that touch files. The writer owns the folder, open segments and the purge log;
// the reader only reads records of segments. Neither decides anything: what they did is told in completions,
// which the loop's thread takes when `wakeDescriptor` turns readable.
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

// When a record is made to last. What was not synced may be lost or torn by a power failure, never wrong.
enum class SyncPolicy : std::uint8_t { never, sealed, each };

struct IoWorkerOptions {
    std::uint32_t segmentBytes = std::uint32_t{64} << 20;
    std::uint64_t queueBytes = std::uint64_t{32} << 20;  // of records that wait for the writer
    std::size_t maxQueuedReads = 64;                     // that wait for the reader
    SyncPolicy sync = SyncPolicy::sealed;
    bool tables = true;  // are written and read: the checkpoint
};

// ----- what is asked for -----

struct AppendJob {
    Key key;
    std::shared_ptr<const Copy> copy;
    Queue queue = Queue::probation;
    int rank = 0;
    std::uint64_t bytes = 0;
};
struct RewriteJob {  // the parts of a segment that stay; then Rewritten is told
    std::uint32_t segment = 0;
    Queue targetQueue = Queue::main;
    std::vector<Part> survivors;
};
struct RemoveJob {
    std::uint32_t segment = 0;
};
struct ReadJob {
    std::uint64_t ticket = 0;
    std::uint64_t fingerprint = 0;
    RecordLocation location;
};

// ----- what is told -----

struct FolderOpened {  // first of all, or again after each attempt to open it
    Problem problem;
    bool busy = false;       // another process holds it
    bool retryable = false;  // it is held, or fails for a while
    std::vector<PurgeEntry> entries;
    std::optional<std::int64_t> busPosition;
    bool damaged = false;  // marks may be missing
    bool empty = false;    // no segment is there
};
struct SegmentLoaded {
    SegmentName name;
    std::vector<Part> parts;
    std::uint64_t bytes = 0;
    bool fromTable = false, torn = false;
    Problem problem;
};
struct LoadFinished {};
struct RecordAppended {
    Part part;
    Queue queue = Queue::probation;
    int rank = 0;
    std::uint64_t bytes = 0;  // of the job
};
struct AppendFailed {
    std::uint64_t bytes = 0;
    Problem problem;
};
struct SegmentSealed {
    std::uint32_t segment = 0;
    Problem problem;  // of its table, or its sync
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
struct PurgesPersisted {  // all up to this number are on disk; with a problem: they are not, and it is tried
                          // again
    std::uint64_t upTo = 0;
    Problem problem;
};
struct ReadDone {
    std::uint64_t ticket = 0, fingerprint = 0;
    RecordLocation location;
    std::optional<std::pair<Key, Copy>> record;
    bool torn = false;  // it was read, and is not as it was written
    Problem problem;
};
using Completion =
    std::variant<FolderOpened, SegmentLoaded, LoadFinished, RecordAppended, AppendFailed, SegmentSealed,
                 RecordMoved, SegmentRewritten, SegmentRemoved, PurgesPersisted, ReadDone>;

// A map of the files in use, for both threads. A file that is removed stays readable to who holds it.
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
    // `calls` outlives it. The threads begin at once with opening the folder.
    IoWorker(FileCalls& calls, std::string folder, const IoWorkerOptions& options);
    // Ends both threads; see close().
    ~IoWorker();

    int wakeDescriptor() const { return completionEvent_.get(); }
    std::vector<Completion> completions();

    // From the loop's thread; none of these blocks on the disk. False: no room, and nothing is done.
    [[nodiscard]] bool append(AppendJob job);
    [[nodiscard]] bool read(ReadJob job);
    void rewrite(RewriteJob job);
    void remove(RemoveJob job);
    // Numbered from 1; `all`: what a rewritten log would hold, where it is time for that.
    std::uint64_t appendPurges(std::vector<PurgeEntry> entries);
    void rewritePurgeLog(std::vector<PurgeEntry> all);
    void retryOpen();  // where the folder was busy
    // Writes what is queued, seals the open segments and lets go of the folder; both threads end by
    // themselves.
    void beginClose();
    // As that, and waits for it: blocks for as long as the disk takes.
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

    // The writer's own.
    std::map<Queue, OpenSegment> open_;
    std::map<std::uint32_t, Queue> segmentQueues_;  // segments there are
    std::uint32_t nextSegment_ = 1;
    bool opened_ = false;

    std::string readBuffer_;  // the reader's own; as large as the largest record read

    mutable std::mutex mutex_;  // of all below
    std::condition_variable writerWakeup_, readerWakeup_;
    std::deque<Job> jobs_;
    std::uint64_t queuedBytes_ = 0;
    std::vector<PurgeEntry> unwrittenPurges_;
    std::uint64_t purgesQueued_ = 0;
    std::optional<std::vector<PurgeEntry>> pendingRewrite_;
    std::size_t entriesInRewrite_ = 0;  // so many of `marks_` are in it
    std::deque<ReadJob> reads_;
    std::vector<Completion> completions_;
    bool retryOpen_ = false, closing_ = false;

    std::thread writer_, reader_;
};

}  // namespace lotuslead::disk
