#include "inspect.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/file.h>

#include <algorithm>
#include <cerrno>
#include <limits>
#include <map>
#include <unordered_map>

#include "io_worker.hpp"

namespace lotuslead::disk {

namespace {

constexpr std::size_t kMaxProblems = 20;
constexpr std::size_t kUnlimitedEntries = std::numeric_limits<std::size_t>::max();

bool isLockHeld(FileCalls& calls, const Folder& folder) {
    const IoResult opened = calls.open(folder.pathOf("lock"), O_RDONLY);
    if (opened.error != 0) return false;
    const File lock(static_cast<int>(opened.bytes));
    return ::flock(lock.get(), LOCK_SH | LOCK_NB) != 0 && errno == EWOULDBLOCK;
}

PurgeTombstones tombstonesOf(const Survey& survey) {
    PurgeTombstones tombstones(kUnlimitedEntries, 0);
    for (const PurgeEntry& entry : survey.entries) tombstones.add(entry);
    return tombstones;
}

// Reads records; keeps the segment file of the last one open.
class SegmentReader {
public:
    SegmentReader(FileCalls& calls, const Folder& folder, const Survey& survey)
        : calls_(calls), folder_(folder) {
        for (const Survey::Segment& segment : survey.segments)
            queues_[segment.name.number] = segment.name.queue;
    }
    IoResult read(const RecordLocation& location, std::uint64_t bytes, std::string& into) {
        if (location.segment != openSegment_) {
            const std::string path =
                folder_.pathOf(segmentFile({location.segment, queues_[location.segment]}));
            const IoResult opened = calls_.open(path, O_RDONLY);
            if (opened.error != 0) return {0, opened.error};
            file_ = File(static_cast<int>(opened.bytes));
            openSegment_ = location.segment;
        }
        into.resize(bytes);
        const IoResult read = readAll(calls_, file_.get(), into, location.offset);
        into.resize(read.bytes);
        return read;
    }

private:
    FileCalls& calls_;
    const Folder& folder_;
    std::map<std::uint32_t, Queue> queues_;
    std::uint32_t openSegment_ = 0;
    File file_;
};

// Passes the worker's completions to `take` until it returns true.
template <class Take>
void awaitCompletions(IoWorker& worker, Take take) {
    while (true) {
        for (Completion& completion : worker.completions())
            if (take(completion)) return;
        pollfd waits{worker.wakeDescriptor(), POLLIN, 0};
        ::poll(&waits, 1, 1000);
    }
}

}  // namespace

Survey survey(FileCalls& calls, const std::string& path, bool tables) {
    Survey result;
    Folder folder(calls, path);
    result.problem = folder.open(Folder::Access::read).problem;
    if (!result.problem.empty()) return result;
    result.lockHeld = isLockHeld(calls, folder);
    PurgeLog log(calls, folder);
    PurgeLog::LoadResult loaded = log.load(Folder::Access::read);
    result.problem = std::move(loaded.problem);
    if (!result.problem.empty()) return result;
    result.entries = std::move(loaded.entries);
    result.busPosition = loaded.busPosition;
    result.logDamaged = loaded.damaged;
    const PurgeTombstones tombstones = tombstonesOf(result);

    std::unordered_map<std::uint64_t, Part> latest;
    for (const SegmentName& name : folder.segments()) {
        Folder::SegmentContents contents = folder.readSegment(name, tables);
        // A process that holds the folder may remove a segment between the listing and the read.
        if (!contents.problem.empty() && result.lockHeld && contents.fileBytes == 0) continue;
        Survey::Segment segment;
        segment.name = name;
        segment.fileBytes = contents.fileBytes;
        segment.parts = contents.parts.size();
        segment.fromTable = contents.fromTable;
        segment.tornTail = contents.bytes < contents.fileBytes;
        segment.problem = std::move(contents.problem);
        result.segments.push_back(std::move(segment));
        for (const Part& part : contents.parts) {
            const auto [at, isNew] = latest.emplace(part.fingerprint, part);
            if (isNew) continue;
            ++result.superseded;
            if (part.createdMs >= at->second.createdMs) at->second = part;
        }
    }
    std::map<std::uint32_t, Survey::Segment*> byNumber;
    for (Survey::Segment& segment : result.segments) byNumber[segment.name.number] = &segment;
    for (const auto& [fingerprint, part] : latest) {
        if (tombstones.mayCover(part.object, part.group, part.createdMs)) {
            ++result.purged;
            continue;
        }
        Survey::Segment& segment = *byNumber[part.location.segment];
        ++segment.live;
        segment.liveBytes += part.location.bytes;
        result.live.push_back(part);
    }
    std::sort(result.live.begin(), result.live.end(), [](const Part& a, const Part& b) {
        return std::pair(a.location.segment, a.location.offset) <
               std::pair(b.location.segment, b.location.offset);
    });
    return result;
}

void listParts(FileCalls& calls, const std::string& path, const Survey& survey,
               const std::function<bool(const ListedPart&)>& visit) {
    const Folder folder(calls, path);
    SegmentReader reader(calls, folder, survey);
    const PurgeTombstones tombstones = tombstonesOf(survey);
    std::string bytes;
    for (const Part& part : survey.live) {
        const std::uint64_t most =
            std::min<std::uint64_t>(part.location.bytes, kRecordHeaderBytes + kMaxMetadataBytes);
        if (reader.read(part.location, most, bytes).error != 0) continue;
        const auto key = decodeRecordKey(bytes);
        if (!key) continue;
        ListedPart listed{*key, part, 0, false};
        listed.bodyBytes = part.location.bytes - kRecordHeaderBytes - *metadataBytesOf(bytes);
        listed.purged = tombstones.covers(key->objectFingerprint(), key->group, part.createdMs);
        if (!visit(listed)) return;
    }
}

VerifyResult verify(FileCalls& calls, const std::string& path, const Survey& survey) {
    VerifyResult result;
    const Folder folder(calls, path);
    SegmentReader reader(calls, folder, survey);
    std::string bytes;
    for (const Part& part : survey.live) {
        const IoResult read = reader.read(part.location, part.location.bytes, bytes);
        const std::string where = "segment " + std::to_string(part.location.segment) + " byte " +
                                  std::to_string(part.location.offset);
        const auto addProblem = [&](const std::string& what) {
            if (result.problems.size() < kMaxProblems) result.problems.push_back(where + ": " + what);
        };
        if (read.error == ENOENT && survey.lockHeld)
            continue;  // removed meanwhile by the process that holds the folder
        if (read.error != 0) {
            ++result.unreadable;
            addProblem(describeError("read", path, read.error));
            continue;
        }
        ++result.records;
        result.bytes += bytes.size();
        const auto record = decodeRecord(bytes);
        if (record && record->first.fingerprint() == part.fingerprint) continue;
        ++result.damaged;
        addProblem("not as it was written");
    }
    return result;
}

ChangeResult addPurges(FileCalls& calls, const std::string& path, const std::vector<PurgeEntry>& entries) {
    ChangeResult result;
    Folder folder(calls, path);
    result.problem = folder.open(Folder::Access::read)
                         .problem;  // fails where there is no folder, which opening for writing would create
    if (!result.problem.empty()) return result;
    const Folder::OpenResult opened = folder.open(Folder::Access::write);
    result.problem = opened.problem;
    result.lockHeld = opened.lockHeld;
    if (!result.problem.empty()) return result;
    PurgeLog log(calls, folder);
    PurgeLog::LoadResult loaded = log.load(Folder::Access::write);
    result.problem = std::move(loaded.problem);
    if (!result.problem.empty()) return result;
    if (loaded.damaged) {
        result.problem = "the purge log of " + path + " is damaged; the next start drops all copies";
        return result;
    }
    if (const int error = log.append(entries))
        result.problem = describeError("write", folder.pathOf("purges"), error);
    return result;
}

ChangeResult compact(FileCalls& calls, const std::string& path, std::uint32_t segmentBytes) {
    ChangeResult result;
    const Survey known = survey(calls, path, true);
    result.problem = known.problem;
    if (!result.problem.empty()) return result;
    std::map<std::uint32_t, std::vector<Part>> keep;
    std::map<std::uint32_t, Queue> queues;
    for (const Survey::Segment& segment : known.segments) {
        keep[segment.name.number];
        queues[segment.name.number] = segment.name.queue;
        result.bytesBefore += segment.fileBytes;
    }
    for (const Part& part : known.live) keep[part.location.segment].push_back(part);

    IoWorkerOptions options;
    options.segmentBytes = segmentBytes;
    IoWorker worker(calls, path, options);
    bool damaged = false;
    awaitCompletions(worker, [&](Completion& completion) {
        if (auto* opened = std::get_if<FolderOpened>(&completion)) {
            result.problem = opened->problem;
            result.lockHeld = opened->lockHeld;
            damaged = opened->damaged;
            return !result.problem.empty() || damaged;
        }
        return std::holds_alternative<LoadFinished>(completion);
    });
    if (damaged) result.problem = "the purge log of " + path + " is damaged; the next start drops all copies";
    if (!result.problem.empty()) return result;
    // Each segment is removed only after its live parts have been rewritten.
    for (auto& [number, parts] : keep) {
        worker.rewrite({number, queues[number], std::move(parts)});
        awaitCompletions(worker, [&](Completion& completion) {
            if (const auto* moved = std::get_if<RecordMoved>(&completion))
                result.bytesAfter += moved->to.bytes;
            const auto* done = std::get_if<SegmentRewritten>(&completion);
            if (done) result.problem = done->problem;
            return done != nullptr;
        });
        if (!result.problem.empty()) return result;
        worker.remove({number});
    }
    worker.close();
    return result;
}

}  // namespace lotuslead::disk
