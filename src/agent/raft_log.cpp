#include "raft_log.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cinttypes>
#include <cstdio>
#include <cstring>
#include <memory>
#include <stdexcept>
#include <system_error>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lotuslead::agent {

namespace {

constexpr std::uint64_t kSegmentMagic = 0x31474553464c4c4cULL;
constexpr std::uint64_t kSnapshotMagic = 0x31504e53464c4c4cULL;
constexpr std::uint64_t kTermAndVoteMagic = 0x3154424c464c4c4cULL;
constexpr std::uint64_t kSegmentRolloverBytes =
    8 * 1024 * 1024;  // a segment of at least this size is followed by a new one
constexpr std::uint64_t kTermAndVoteSlotBytes = 4096;  // the slots never share a disk block
constexpr std::uint32_t kMaxEntryBytes = 1U << 30;
constexpr mode_t kFileMode = 0640;
constexpr mode_t kFolderMode = 0755;
constexpr const char* kSegmentPrefix = "entries-";

struct SegmentHeader {
    std::uint64_t magic = kSegmentMagic;
    std::uint64_t firstIndex = 0;
    std::uint64_t checksum = 0;  // of the fields above
};

struct RecordHeader {
    std::uint64_t checksum = 0;  // of the fields below and the data
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::uint32_t type = 0;
    std::uint32_t bytes = 0;
};

struct TermAndVoteSlot {
    std::uint64_t magic = kTermAndVoteMagic;
    std::uint64_t version = 0;
    std::uint64_t term = 0;
    std::uint64_t vote = 0;
    std::uint64_t checksum = 0;  // of the fields above
};

[[noreturn]] void fail(int error, const std::string& what) {
    throw std::system_error(error, std::generic_category(), what);
}

void check(int result, const std::string& what) {
    if (result < 0) fail(errno, what);
}

std::uint64_t checksumOf(const void* bytes, std::size_t size) { return XXH3_64bits(bytes, size); }

// Closes the file descriptor on destruction.
class ScopedFile {
public:
    explicit ScopedFile(int fd) : fd_(fd) {}
    ~ScopedFile() {
        if (fd_ >= 0) ::close(fd_);
    }
    ScopedFile(const ScopedFile&) = delete;
    ScopedFile& operator=(const ScopedFile&) = delete;
    int get() const { return fd_; }

private:
    int fd_;
};

int openFile(const std::string& path, int flags) {
    int fd;
    do fd = ::open(path.c_str(), flags | O_CLOEXEC, kFileMode);
    while (fd < 0 && errno == EINTR);
    return fd;
}

void writeAll(int fd, std::string_view bytes, std::uint64_t at, const std::string& path) {
    while (!bytes.empty()) {
        const ssize_t written = ::pwrite(fd, bytes.data(), bytes.size(), static_cast<off_t>(at));
        if (written < 0 && errno == EINTR) continue;
        if (written <= 0) fail(written < 0 ? errno : EIO, "write " + path);
        bytes.remove_prefix(static_cast<std::size_t>(written));
        at += static_cast<std::uint64_t>(written);
    }
}

void sync(int fd, const std::string& path) {
    int result;
    do result = ::fdatasync(fd);
    while (result < 0 && errno == EINTR);
    check(result, "sync " + path);
}

// Returns nothing if the file does not exist.
std::optional<std::string> readFile(const std::string& path) {
    const ScopedFile file(openFile(path, O_RDONLY));
    if (file.get() < 0 && errno == ENOENT) return {};
    check(file.get(), "open " + path);
    struct stat about {};
    check(::fstat(file.get(), &about), "stat " + path);
    std::string content(static_cast<std::size_t>(about.st_size), '\0');
    std::size_t done = 0;
    while (done < content.size()) {
        const ssize_t count =
            ::pread(file.get(), content.data() + done, content.size() - done, static_cast<off_t>(done));
        if (count < 0 && errno == EINTR) continue;
        check(static_cast<int>(count < 0 ? -1 : 0), "read " + path);
        if (count == 0) break;
        done += static_cast<std::size_t>(count);
    }
    content.resize(done);
    return content;
}

void removeFile(const std::string& path) {
    if (::unlink(path.c_str()) != 0 && errno != ENOENT) fail(errno, "remove " + path);
}

template <class Value>
void appendValue(std::string& out, const Value& value) {
    out.append(reinterpret_cast<const char*>(&value), sizeof value);
}

// Reads consecutive values; throws at the end of the bytes.
class ByteReader {
public:
    explicit ByteReader(std::string_view bytes) : bytes_(bytes) {}
    template <class Value>
    Value take() {
        Value value;
        std::memcpy(&value, takeBytes(sizeof value).data(), sizeof value);
        return value;
    }
    std::string_view takeBytes(std::size_t count) {
        if (count > bytes_.size()) throw std::runtime_error("a log file is truncated");
        const std::string_view taken = bytes_.substr(0, count);
        bytes_.remove_prefix(count);
        return taken;
    }

private:
    std::string_view bytes_;
};

std::uint64_t headerChecksum(const SegmentHeader& header) {
    return checksumOf(&header, offsetof(SegmentHeader, checksum));
}

std::uint64_t slotChecksum(const TermAndVoteSlot& slot) {
    return checksumOf(&slot, offsetof(TermAndVoteSlot, checksum));
}

void appendRecord(std::string& out, std::uint64_t index, const LogEntryView& entry) {
    const std::size_t begin = out.size();
    appendValue(
        out, RecordHeader{0, index, entry.term, entry.type, static_cast<std::uint32_t>(entry.data.size())});
    out += entry.data;
    const std::size_t checksummed = begin + sizeof(RecordHeader::checksum);
    const std::uint64_t checksum = checksumOf(out.data() + checksummed, out.size() - checksummed);
    std::memcpy(out.data() + begin, &checksum, sizeof checksum);
}

// Takes the first record off the bytes. Returns nothing unless it is complete, intact and has the expected
// index.
std::optional<LogEntry> takeRecord(std::string_view& bytes, std::uint64_t index) {
    RecordHeader header;
    if (bytes.size() < sizeof header) return {};
    std::memcpy(&header, bytes.data(), sizeof header);
    if (header.index != index || header.bytes > kMaxEntryBytes) return {};
    const std::size_t whole = sizeof header + header.bytes;
    if (bytes.size() < whole) return {};
    const std::size_t checksummed = sizeof header.checksum;
    if (checksumOf(bytes.data() + checksummed, whole - checksummed) != header.checksum) return {};
    LogEntry entry{header.term, static_cast<std::uint16_t>(header.type),
                   std::string(bytes.substr(sizeof header, header.bytes))};
    bytes.remove_prefix(whole);
    return entry;
}

std::string encode(const LogSnapshot& snapshot) {
    std::string out;
    appendValue(out, kSnapshotMagic);
    appendValue(out, snapshot.index);
    appendValue(out, snapshot.term);
    appendValue(out, snapshot.configurationIndex);
    appendValue(out, static_cast<std::uint64_t>(snapshot.members.size()));
    for (const SnapshotMember& member : snapshot.members) {
        appendValue(out, member.id);
        appendValue(out, static_cast<std::int64_t>(member.role));
        appendValue(out, static_cast<std::uint64_t>(member.address.size()));
        out += member.address;
    }
    appendValue(out, static_cast<std::uint64_t>(snapshot.data.size()));
    out += snapshot.data;
    appendValue(out, checksumOf(out.data(), out.size()));
    return out;
}

LogSnapshot decodeSnapshot(std::string_view bytes) {
    constexpr std::size_t kChecksumBytes = sizeof(std::uint64_t);
    if (bytes.size() < kChecksumBytes) throw std::runtime_error("the snapshot is damaged");
    const std::string_view checksummed = bytes.substr(0, bytes.size() - kChecksumBytes);
    ByteReader end(bytes.substr(checksummed.size()));
    if (end.take<std::uint64_t>() != checksumOf(checksummed.data(), checksummed.size()))
        throw std::runtime_error("the snapshot is damaged");
    ByteReader reader(checksummed);
    if (reader.take<std::uint64_t>() != kSnapshotMagic)
        throw std::runtime_error("the snapshot has an unknown format");
    LogSnapshot snapshot;
    snapshot.index = reader.take<std::uint64_t>();
    snapshot.term = reader.take<std::uint64_t>();
    snapshot.configurationIndex = reader.take<std::uint64_t>();
    const auto members = reader.take<std::uint64_t>();
    for (std::uint64_t i = 0; i < members; ++i) {
        SnapshotMember member;
        member.id = reader.take<std::uint64_t>();
        member.role = static_cast<int>(reader.take<std::int64_t>());
        const auto length = reader.take<std::uint64_t>();
        member.address = reader.takeBytes(length);
        snapshot.members.push_back(std::move(member));
    }
    const auto length = reader.take<std::uint64_t>();
    snapshot.data = reader.takeBytes(length);
    return snapshot;
}

std::optional<TermAndVoteSlot> decodeSlot(std::string_view bytes) {
    TermAndVoteSlot slot;
    if (bytes.size() < sizeof slot) return {};
    std::memcpy(&slot, bytes.data(), sizeof slot);
    if (slot.magic != kTermAndVoteMagic || slot.checksum != slotChecksum(slot)) return {};
    return slot;
}

bool isAllZero(std::string_view bytes) {
    return std::all_of(bytes.begin(), bytes.end(), [](char c) { return c == '\0'; });
}

std::string snapshotPath(const std::string& folder) { return folder + "/snapshot"; }

}  // namespace

RaftLog::RaftLog(std::string folder) : folder_(std::move(folder)) {
    if (::mkdir(folder_.c_str(), kFolderMode) != 0 && errno != EEXIST) fail(errno, "make " + folder_);
}

RaftLog::~RaftLog() {
    closeSegment();
    if (termAndVoteFile_ >= 0) ::close(termAndVoteFile_);
}

RaftLog::Content RaftLog::open() {
    Content content;
    content.termAndVote = readTermAndVote();
    content.snapshot = readSnapshot(folder_);
    for (const std::uint64_t sequence : listSequences()) readSegment(sequence, content);
    reconcileWithSnapshot(content);
    // Only when a cluster is created are entries written before the term.
    if (!content.entries.empty())
        content.termAndVote.term = std::max(content.termAndVote.term, content.entries.back().term);
    return content;
}

TermAndVote RaftLog::readTermAndVote() {
    const std::string path = folder_ + "/ballot";
    termAndVoteFile_ = openFile(path, O_RDWR | O_CREAT);
    check(termAndVoteFile_, "open " + path);
    const std::string bytes = readFile(path).value_or("");
    const std::string_view all = bytes;
    const std::string_view first = all.substr(0, kTermAndVoteSlotBytes);
    const std::string_view second =
        all.size() > kTermAndVoteSlotBytes ? all.substr(kTermAndVoteSlotBytes) : "";
    const auto one = decodeSlot(first), other = decodeSlot(second);
    if (!one && !other) {
        // Only the very first write can leave no valid slot; after it one of the two is always intact.
        if (!isAllZero(first) && !isAllZero(second)) throw std::runtime_error("the ballot is damaged");
        return {};
    }
    const TermAndVoteSlot& latest = !other || (one && one->version > other->version) ? *one : *other;
    termAndVoteVersion_ = latest.version;
    return {latest.term, latest.vote};
}

void RaftLog::writeTermAndVote(const TermAndVote& termAndVote) {
    TermAndVoteSlot slot{kTermAndVoteMagic, termAndVoteVersion_ + 1, termAndVote.term, termAndVote.vote, 0};
    slot.checksum = slotChecksum(slot);
    std::string bytes;
    appendValue(bytes, slot);
    const std::string path = folder_ + "/ballot";
    writeAll(termAndVoteFile_, bytes, slot.version % 2 * kTermAndVoteSlotBytes, path);
    sync(termAndVoteFile_, path);
    if (termAndVoteVersion_ == 0) syncFolder(folder_);
    termAndVoteVersion_ = slot.version;
}

std::string RaftLog::pathOf(const Segment& segment) const {
    char name[64];
    std::snprintf(name, sizeof name, "%s%020" PRIu64, kSegmentPrefix, segment.sequence);
    return folder_ + "/" + name;
}

std::vector<std::uint64_t> RaftLog::listSequences() const {
    std::vector<std::uint64_t> found;
    const std::unique_ptr<DIR, int (*)(DIR*)> listing(::opendir(folder_.c_str()), &::closedir);
    if (!listing) fail(errno, "list " + folder_);
    while (const dirent* entry = ::readdir(listing.get())) {
        const std::string_view name = entry->d_name;
        if (name.rfind(kSegmentPrefix, 0) != 0) continue;
        found.push_back(std::strtoull(entry->d_name + std::strlen(kSegmentPrefix), nullptr, 10));
    }
    std::sort(found.begin(), found.end());
    return found;
}

void RaftLog::readSegment(std::uint64_t sequence, Content& content) {
    nextSequence_ = sequence + 1;
    Segment segment{sequence, 0, 0};
    const std::string path = pathOf(segment);
    const std::string bytes = readFile(path).value_or("");
    SegmentHeader header;
    const bool hasValidHeader =
        bytes.size() >= sizeof header &&
        (std::memcpy(&header, bytes.data(), sizeof header), header.magic == kSegmentMagic) &&
        header.checksum == headerChecksum(header);
    // Entries are only acknowledged after the header is durable. If acknowledged entries follow in a later
    // segment, the gap is detected below.
    if (!hasValidHeader) return removeFile(path);
    if (content.entries.empty()) content.firstIndex = header.firstIndex;
    const std::uint64_t next = content.firstIndex + content.entries.size();
    if (header.firstIndex > next || header.firstIndex < content.firstIndex)
        throw std::runtime_error("entries are missing before " + path);
    content.entries.resize(header.firstIndex - content.firstIndex);
    std::string_view left = std::string_view(bytes).substr(sizeof header);
    segment.first = header.firstIndex;
    segment.last = header.firstIndex - 1;
    while (auto entry = takeRecord(left, segment.last + 1)) {
        content.entries.push_back(std::move(*entry));
        ++segment.last;
    }
    segments_.push_back(segment);
}

// Drops the entries unless they continue the snapshot.
void RaftLog::reconcileWithSnapshot(Content& content) {
    if (!content.snapshot) {
        if (content.firstIndex != 1)
            throw std::runtime_error("the log does not begin at index 1, but there is no snapshot");
        return;
    }
    const LogSnapshot& snapshot = *content.snapshot;
    const std::uint64_t end = content.firstIndex + content.entries.size();
    const bool any = !content.entries.empty();
    if (any && content.firstIndex > snapshot.index + 1)
        throw std::runtime_error("entries between the snapshot and the log are missing");
    const bool includes = any && content.firstIndex <= snapshot.index && snapshot.index < end;
    const bool adjoins = any && content.firstIndex == snapshot.index + 1;
    if (adjoins || (includes && content.entries[snapshot.index - content.firstIndex].term == snapshot.term))
        return;
    // The process ended during the installation of the snapshot.
    removeAllSegments();
    content.entries.clear();
    content.firstIndex = snapshot.index + 1;
}

void RaftLog::openNewSegment(std::uint64_t firstIndex) {
    const Segment segment{nextSequence_, firstIndex, firstIndex - 1};
    const std::string path = pathOf(segment);
    const int fd = openFile(path, O_RDWR | O_CREAT | O_TRUNC);
    check(fd, "open " + path);
    closeSegment();
    openSegmentFile_ = fd;
    openSegmentBytes_ = 0;
    segmentFolderSynced_ = false;
    segments_.push_back(segment);
    ++nextSequence_;
}

void RaftLog::append(std::uint64_t firstIndex, std::span<const LogEntryView> entries) {
    const bool continues = openSegmentFile_ >= 0 && segments_.back().last + 1 == firstIndex;
    if (!continues || openSegmentBytes_ >= kSegmentRolloverBytes) openNewSegment(firstIndex);
    std::string bytes;
    if (openSegmentBytes_ == 0) {
        SegmentHeader header;
        header.firstIndex = firstIndex;
        header.checksum = headerChecksum(header);
        appendValue(bytes, header);
    }
    std::uint64_t index = firstIndex;
    for (const LogEntryView& entry : entries) appendRecord(bytes, index++, entry);
    const std::string path = pathOf(segments_.back());
    writeAll(openSegmentFile_, bytes, openSegmentBytes_, path);
    sync(openSegmentFile_, path);
    if (!segmentFolderSynced_) syncFolder(folder_);
    segmentFolderSynced_ = true;
    openSegmentBytes_ += bytes.size();
    segments_.back().last = index - 1;
}

void RaftLog::replaceSnapshotFile(const LogSnapshot& snapshot) {
    const std::string bytes = encode(snapshot);
    const std::string path = snapshotPath(folder_), next = path + ".new";
    {
        const ScopedFile file(openFile(next, O_WRONLY | O_CREAT | O_TRUNC));
        check(file.get(), "open " + next);
        writeAll(file.get(), bytes, 0, next);
        sync(file.get(), next);
    }
    check(std::rename(next.c_str(), path.c_str()), "rename " + next);
    syncFolder(folder_);
}

void RaftLog::writeSnapshot(const LogSnapshot& snapshot, std::uint64_t keepFrom) {
    replaceSnapshotFile(snapshot);
    removeSegmentsBefore(std::min(keepFrom, snapshot.index + 1));
}

void RaftLog::installSnapshot(const LogSnapshot& snapshot) {
    replaceSnapshotFile(snapshot);
    removeAllSegments();
}

std::optional<LogSnapshot> RaftLog::readSnapshot(const std::string& folder) {
    const auto bytes = readFile(snapshotPath(folder));
    if (!bytes) return {};
    return decodeSnapshot(*bytes);
}

// Oldest first, because later segments may replace entries of earlier ones. The last segment stays.
void RaftLog::removeSegmentsBefore(std::uint64_t keepFrom) {
    while (segments_.size() > 1 && segments_.front().last < keepFrom) {
        removeFile(pathOf(segments_.front()));
        segments_.pop_front();
    }
}

// Newest first, so that a crash leaves a prefix of the log, which open() compares with the snapshot.
void RaftLog::removeAllSegments() {
    closeSegment();
    while (!segments_.empty()) {
        removeFile(pathOf(segments_.back()));
        segments_.pop_back();
    }
    syncFolder(folder_);
}

void RaftLog::closeSegment() {
    if (openSegmentFile_ >= 0) ::close(openSegmentFile_);
    openSegmentFile_ = -1;
}

void RaftLog::syncFolder(const std::string& folder) {
    const ScopedFile file(openFile(folder, O_RDONLY | O_DIRECTORY));
    check(file.get(), "open " + folder);
    int result;
    do result = ::fsync(file.get());
    while (result < 0 && errno == EINTR);
    check(result, "sync " + folder);
}

}  // namespace lotuslead::agent
