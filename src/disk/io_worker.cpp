#include "io_worker.hpp"

#include <fcntl.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <system_error>

namespace lotuslead::disk {

using namespace std::chrono_literals;

namespace {

constexpr auto kPurgeLogRetryDelay = 100ms;  // after a failed write of the purge log

}  // namespace

void SegmentFiles::add(std::uint32_t number, std::shared_ptr<File> file) {
    const std::lock_guard lock(mutex_);
    files_[number] = std::move(file);
}
void SegmentFiles::remove(std::uint32_t number) {
    const std::lock_guard lock(mutex_);
    files_.erase(number);
}
void SegmentFiles::clear() {
    const std::lock_guard lock(mutex_);
    files_.clear();
}
std::shared_ptr<File> SegmentFiles::get(std::uint32_t number) const {
    const std::lock_guard lock(mutex_);
    const auto found = files_.find(number);
    return found == files_.end() ? nullptr : found->second;
}

IoWorker::IoWorker(FileCalls& calls, std::string folder, const IoWorkerOptions& options)
    : calls_(calls),
      folder_(calls, std::move(folder)),
      log_(calls, folder_),
      options_(options),
      completionEvent_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    if (!completionEvent_) throw std::system_error(errno, std::generic_category(), "eventfd");
    writer_ = std::thread([this] { writeLoop(); });
    reader_ = std::thread([this] { readLoop(); });
}

IoWorker::~IoWorker() { close(); }

void IoWorker::beginClose() {
    {
        const std::lock_guard lock(mutex_);
        closing_ = true;
    }
    writerWakeup_.notify_all();
    readerWakeup_.notify_all();
}

void IoWorker::close() {
    beginClose();
    if (writer_.joinable()) writer_.join();
    if (reader_.joinable()) reader_.join();
}

void IoWorker::post(Completion completion) {
    {
        const std::lock_guard lock(mutex_);
        completions_.push_back(std::move(completion));
    }
    const std::uint64_t one = 1;
    (void)!::write(completionEvent_.get(), &one, sizeof one);
}

std::vector<Completion> IoWorker::completions() {
    std::uint64_t count = 0;
    (void)!::read(completionEvent_.get(), &count, sizeof count);
    const std::lock_guard lock(mutex_);
    return std::exchange(completions_, {});
}

bool IoWorker::append(AppendJob job) {
    {
        const std::lock_guard lock(mutex_);
        if (closing_ || queuedBytes_ + job.bytes > options_.queueBytes) return false;
        queuedBytes_ += job.bytes;
        jobs_.emplace_back(std::move(job));
    }
    writerWakeup_.notify_one();
    return true;
}

bool IoWorker::read(ReadJob job) {
    {
        const std::lock_guard lock(mutex_);
        if (closing_ || reads_.size() >= options_.maxQueuedReads) return false;
        reads_.push_back(job);
    }
    readerWakeup_.notify_one();
    return true;
}

void IoWorker::rewrite(RewriteJob job) {
    {
        const std::lock_guard lock(mutex_);
        jobs_.emplace_back(std::move(job));
    }
    writerWakeup_.notify_one();
}

void IoWorker::remove(RemoveJob job) {
    {
        const std::lock_guard lock(mutex_);
        jobs_.emplace_back(job);
    }
    writerWakeup_.notify_one();
}

std::uint64_t IoWorker::appendPurges(std::vector<PurgeEntry> entries) {
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(mutex_);
        purgesQueued_ += entries.size();
        number = purgesQueued_;
        unwrittenPurges_.insert(unwrittenPurges_.end(), entries.begin(), entries.end());
    }
    writerWakeup_.notify_one();
    return number;
}

void IoWorker::rewritePurgeLog(std::vector<PurgeEntry> rewritten) {
    {
        const std::lock_guard lock(mutex_);
        pendingRewrite_ = std::move(rewritten);
        entriesInRewrite_ = unwrittenPurges_.size();
    }
    writerWakeup_.notify_one();
}

void IoWorker::retryOpen() {
    {
        const std::lock_guard lock(mutex_);
        retryOpen_ = true;
    }
    writerWakeup_.notify_one();
}

std::uint64_t IoWorker::queuedBytes() const {
    const std::lock_guard lock(mutex_);
    return queuedBytes_;
}

// ----- writer thread -----

void IoWorker::writeLoop() {
    folderOpen_ = openFolder();
    if (folderOpen_) load();
    std::unique_lock lock(mutex_);
    while (true) {
        if (!folderOpen_) {
            writerWakeup_.wait(lock, [this] { return closing_ || retryOpen_; });
            if (closing_) return;
            retryOpen_ = false;
            lock.unlock();
            folderOpen_ = openFolder();
            if (folderOpen_) load();
            lock.lock();
            continue;
        }
        // Purges are written first: acknowledgements wait for them.
        if (!unwrittenPurges_.empty() || pendingRewrite_) {
            writePurges(lock);
            continue;
        }
        if (!jobs_.empty()) {
            Job job = std::move(jobs_.front());
            jobs_.pop_front();
            lock.unlock();
            std::visit([this](auto& one) { execute(one); }, job);
            lock.lock();
            continue;
        }
        if (closing_) break;
        writerWakeup_.wait(lock, [this] {
            return closing_ || !jobs_.empty() || !unwrittenPurges_.empty() || pendingRewrite_.has_value();
        });
    }
    lock.unlock();
    for (auto& [queue, segment] : openSegments_) seal(segment);
    openSegments_.clear();
    folder_.close();
}

bool IoWorker::openFolder() {
    FolderOpened result;
    auto opened = folder_.open(Folder::Access::write);
    result.problem = std::move(opened.problem);
    result.lockHeld = opened.lockHeld;
    result.retryable = opened.retryable();
    if (result.problem.empty()) {
        PurgeLog::LoadResult log = log_.load(Folder::Access::write);
        result.problem = std::move(log.problem);
        result.retryable = log.retryable;
        result.entries = std::move(log.entries);
        result.busPosition = log.busPosition;
        // A new log gets a first entry. An empty log beside segments is therefore not the log that belongs to
        // them.
        result.empty = folder_.segments().empty();
        result.damaged = log.damaged || (log_.entryCount() == 0 && !result.empty);
        if (result.problem.empty() && log_.entryCount() == 0)
            if (const int error = log_.append({PurgeEntry{PurgeEntry::Kind::watermark, 0, 0}})) {
                result.problem = describeError("write", folder_.pathOf("purges"), error);
                result.retryable = isTransient(error);
            }
        if (!result.problem.empty()) folder_.close();
    }
    const bool good = result.problem.empty();
    post(std::move(result));
    return good;
}

void IoWorker::load() {
    const std::vector<SegmentName> names = folder_.segments();
    for (const SegmentName& name : names) nextSegment_ = std::max(nextSegment_, name.number + 1);
    for (const SegmentName& name : names) {
        {
            std::unique_lock lock(mutex_);
            if (closing_) return;
            if (!unwrittenPurges_.empty()) writePurges(lock);
        }
        segmentQueues_[name.number] = name.queue;
        const IoResult opened = calls_.open(folder_.pathOf(segmentFile(name)), O_RDONLY);
        if (opened.error == 0)
            files_.add(name.number, std::make_shared<File>(static_cast<int>(opened.bytes)));
        Folder::SegmentContents found = folder_.readSegment(name, options_.tables);
        SegmentLoaded result;
        result.name = name;
        result.parts = std::move(found.parts);
        result.bytes = found.fileBytes;
        result.fromTable = found.fromTable;
        result.tornTail = found.bytes < found.fileBytes;
        result.problem = std::move(found.problem);
        post(std::move(result));
    }
    post(LoadFinished{});
}

// Called with the lock held; releases it during the write.
void IoWorker::writePurges(std::unique_lock<std::mutex>& lock) {
    std::vector<PurgeEntry> entries = std::exchange(unwrittenPurges_, {});
    std::optional<std::vector<PurgeEntry>> rewritten = std::exchange(pendingRewrite_, {});
    const std::size_t held = std::exchange(entriesInRewrite_, 0);
    const std::uint64_t upTo = purgesQueued_;
    lock.unlock();
    int error = entries.empty() ? 0 : log_.append(entries);
    // The rewrite contains all entries that were submitted before it; later ones are added here.
    if (error == 0 && rewritten) {
        rewritten->insert(rewritten->end(), entries.begin() + static_cast<std::ptrdiff_t>(held),
                          entries.end());
        error = log_.rewrite(*rewritten);
        error = 0;  // not a failure: either the old log or the new one holds all entries
    }
    PurgesPersisted result;
    if (error == 0)
        result.upTo = upTo;
    else
        result.problem = describeError("write", folder_.pathOf("purges"), error);
    const bool failed = error != 0;
    post(std::move(result));
    lock.lock();
    if (!failed) return;
    unwrittenPurges_.insert(unwrittenPurges_.begin(), entries.begin(), entries.end());
    if (pendingRewrite_) entriesInRewrite_ += entries.size();
    if (closing_) {
        unwrittenPurges_
            .clear();  // they were never acknowledged, and the bus position in the log is before them
        return;
    }
    writerWakeup_.wait_for(lock, kPurgeLogRetryDelay, [this] { return closing_; });
}

void IoWorker::execute(AppendJob& job) {
    std::string record;
    WriteResult written;
    Part part;
    if (!encodeRecord(job.key, *job.copy, record)) {
        written.problem = "the copy exceeds the size limits of a record";
    } else {
        part = decodeRecordHeader(std::span(record).first(record.size()))->part;
        written = writeRecord(job.queue, part, record);
    }
    {
        const std::lock_guard lock(mutex_);
        queuedBytes_ -= job.bytes;
    }
    if (!written.problem.empty()) return post(AppendFailed{job.bytes, std::move(written.problem)});
    part.location = written.location;
    post(RecordAppended{part, job.queue, job.rank, job.bytes});
}

// Purges are written between records, so that they do not wait for the copying of a whole segment.
void IoWorker::execute(RewriteJob& job) {
    Problem problem;
    const std::shared_ptr<File> from = files_.get(job.segment);
    std::string record;
    for (const Part& part : job.survivors) {
        {
            std::unique_lock lock(mutex_);
            if (closing_) break;
            if (!unwrittenPurges_.empty()) writePurges(lock);
        }
        record.resize(part.location.bytes);
        const IoResult read =
            from ? readAll(calls_, from->get(), record, part.location.offset) : IoResult{0, ENOENT};
        // Damaged records are not rewritten; they are removed with their segment.
        if (read.error != 0 || read.bytes != record.size() || !decodeRecord(record)) continue;
        WriteResult written = writeRecord(job.targetQueue, part, record);
        if (!written.problem.empty()) {
            problem = std::move(written.problem);
            break;
        }
        post(RecordMoved{part.fingerprint, part.location, written.location, job.targetQueue});
    }
    post(SegmentRewritten{job.segment, std::move(problem)});
}

void IoWorker::execute(const RemoveJob& job) {
    files_.remove(job.segment);
    const auto found = segmentQueues_.find(job.segment);
    if (found == segmentQueues_.end()) return post(SegmentRemoved{job.segment, {}});
    Problem problem = folder_.removeSegment({job.segment, found->second});
    segmentQueues_.erase(found);
    post(SegmentRemoved{job.segment, std::move(problem)});
}

IoWorker::WriteResult IoWorker::writeRecord(Queue queue, Part part, std::span<const char> record) {
    auto held = openSegments_.find(queue);
    if (held != openSegments_.end() && held->second.bytes + record.size() > options_.segmentBytes) {
        seal(held->second);
        openSegments_.erase(held);
        held = openSegments_.end();
    }
    if (held == openSegments_.end()) {
        if (Problem problem = openSegment(queue); !problem.empty()) return {{}, std::move(problem)};
        held = openSegments_.find(queue);
    }
    OpenSegment& segment = held->second;
    const std::string path = folder_.pathOf(segmentFile(segment.name));
    const IoResult written = writeAll(calls_, segment.file->get(), record, segment.bytes);
    int error = written.error;
    if (error == 0 && options_.sync == SyncPolicy::each) error = calls_.sync(segment.file->get());
    if (error != 0) {
        // The next record starts at the same offset. If the truncation fails, the partial record is
        // overwritten, or stays as a torn tail.
        (void)calls_.truncate(segment.file->get(), segment.bytes);
        return {{}, describeError("write", path, error)};
    }
    part.location = {segment.name.number, static_cast<std::uint32_t>(segment.bytes),
                     static_cast<std::uint32_t>(record.size())};
    segment.bytes += record.size();
    segment.parts.push_back(part);
    return {part.location, {}};
}

Problem IoWorker::openSegment(Queue queue) {
    OpenSegment segment;
    segment.name = {nextSegment_, queue};
    const std::string path = folder_.pathOf(segmentFile(segment.name));
    const IoResult opened = calls_.open(path, O_RDWR | O_CREAT | O_EXCL);
    if (opened.error != 0) return describeError("create", path, opened.error);
    ++nextSegment_;
    segment.file = std::make_shared<File>(static_cast<int>(opened.bytes));
    files_.add(segment.name.number, segment.file);
    segmentQueues_[segment.name.number] = queue;
    openSegments_[queue] = std::move(segment);
    return {};
}

void IoWorker::seal(OpenSegment& segment) {
    Problem problem;
    if (options_.sync == SyncPolicy::sealed)
        if (const int error = calls_.sync(segment.file->get()))
            problem = describeError("sync", folder_.pathOf(segmentFile(segment.name)), error);
    if (options_.tables && problem.empty())
        problem = folder_.writeTable({segment.bytes, segment.parts}, segment.name.number);
    post(SegmentSealed{segment.name.number, std::move(problem)});
}

// ----- reader thread -----

void IoWorker::readLoop() {
    std::unique_lock lock(mutex_);
    while (true) {
        readerWakeup_.wait(lock, [this] { return closing_ || !reads_.empty(); });
        if (closing_) return;
        const ReadJob job = reads_.front();
        reads_.pop_front();
        lock.unlock();
        post(readOne(job));
        lock.lock();
    }
}

ReadDone IoWorker::readOne(const ReadJob& job) {
    ReadDone done{job.lookupId, job.fingerprint, job.location, {}, false, {}};
    const std::shared_ptr<File> file = files_.get(job.location.segment);
    // Reused between reads: zeroing a new buffer costs as much as the checksum.
    if (readBuffer_.size() < job.location.bytes) readBuffer_.resize(job.location.bytes);
    const std::span<char> record = std::span(readBuffer_).first(job.location.bytes);
    const IoResult read =
        file ? readAll(calls_, file->get(), record, job.location.offset) : IoResult{0, ENOENT};
    if (read.error != 0) {
        done.problem = describeError(
            "read", folder_.path() + " segment " + std::to_string(job.location.segment), read.error);
    } else if (read.bytes != record.size()) {
        done.damaged = true;
    } else {
        done.record = decodeRecord(record);
        done.damaged = !done.record;
    }
    return done;
}

}  // namespace lotuslead::disk
