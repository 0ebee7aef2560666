#include "folder.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <memory>

namespace lotuslead::disk {

namespace {

constexpr std::string_view kFormat = "lotuslead disk tier 1\n";
constexpr const char* kPurgeLogFile = "purges";
constexpr std::uint64_t kMaxTableBytes = std::uint64_t{256} << 20;

std::optional<SegmentName> segmentOf(std::string_view file) {
    const std::size_t dot = file.find('.');
    if (dot == std::string_view::npos) return {};
    SegmentName name;
    const auto read = std::from_chars(file.data(), file.data() + dot, name.number);
    if (read.ec != std::errc{} || read.ptr != file.data() + dot) return {};
    const std::string_view kind = file.substr(dot + 1);
    if (kind != "probation" && kind != "main") return {};
    name.queue = kind == "main" ? Queue::main : Queue::probation;
    return name;
}

std::uint64_t sizeOf(int fd) {
    struct stat about {};
    return ::fstat(fd, &about) == 0 ? static_cast<std::uint64_t>(about.st_size) : 0;
}

std::string eightDigits(std::uint32_t number) {
    char text[16];
    std::snprintf(text, sizeof text, "%08u", number);
    return text;
}

}  // namespace

std::string segmentFile(const SegmentName& name) {
    return eightDigits(name.number) + (name.queue == Queue::main ? ".main" : ".probation");
}
std::string tableFile(std::uint32_t number) { return eightDigits(number) + ".table"; }

Problem describeError(const std::string& what, const std::string& path, int error) {
    return what + " " + path + ": " + std::strerror(error);
}

bool isTransient(int error) {
    switch (error) {
        case EIO:
        case ENOSPC:
        case EDQUOT:
        case EMFILE:
        case ENFILE:
        case ENOMEM:
        case EINTR:
        case EAGAIN:
            return true;
        default:
            return false;
    }
}

Folder::OpenResult Folder::openFailure(const std::string& what, const std::string& path, int error) {
    return {describeError(what, path, error), false, isTransient(error)};
}

Folder::OpenResult Folder::open(Access access) {
    if (access == Access::read) return checkFormat(access);
    if (::mkdir(path_.c_str(), 0750) != 0 && errno != EEXIST) return openFailure("create", path_, errno);
    const std::string lockPath = pathOf("lock");
    const IoResult opened = calls_.open(lockPath, O_RDWR | O_CREAT);
    if (opened.error != 0) return openFailure("open", lockPath, opened.error);
    File lock(static_cast<int>(opened.bytes));
    if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0) {
        if (errno != EWOULDBLOCK) return openFailure("lock", lockPath, errno);
        return {"another process holds " + path_, true};
    }
    if (OpenResult checked = checkFormat(access); !checked.problem.empty()) return checked;
    lock_ = std::move(lock);
    return {};
}

Folder::OpenResult Folder::checkFormat(Access access) {
    const std::string path = pathOf("format");
    const IoResult opened = calls_.open(path, O_RDONLY);
    if (opened.error == 0) {
        const File file(static_cast<int>(opened.bytes));
        std::string text(64, '\0');
        const IoResult read = readAll(calls_, file.get(), text, 0);
        if (read.error != 0) return openFailure("read", path, read.error);
        text.resize(read.bytes);
        if (text == kFormat) return {};
        // A crash during the first start leaves a short file; the folder then holds no segments yet.
        if (!(kFormat.starts_with(text) && access == Access::write && segments().empty()))
            return {path_ + " has a form that this version does not know"};
    } else if (opened.error != ENOENT) {
        return openFailure("open", path, opened.error);
    } else if (access == Access::read) {
        return {path_ + " is no folder of a disk tier"};
    } else if (!segments().empty()) {
        return {path_ + " has segments but no file 'format'"};
    }
    const IoResult made = calls_.open(path, O_WRONLY | O_CREAT);
    if (made.error != 0) return openFailure("create", path, made.error);
    const File file(static_cast<int>(made.bytes));
    const IoResult written = writeAll(calls_, file.get(), kFormat, 0);
    if (written.error != 0) return openFailure("write", path, written.error);
    if (const int error = calls_.sync(file.get())) return openFailure("sync", path, error);
    if (const int error = syncFolder()) return openFailure("sync", path_, error);
    return {};
}

std::vector<SegmentName> Folder::segments() const {
    std::vector<SegmentName> names;
    const std::unique_ptr<DIR, int (*)(DIR*)> folder(::opendir(path_.c_str()), ::closedir);
    if (!folder) return names;
    while (const dirent* entry = ::readdir(folder.get()))
        if (const auto name = segmentOf(entry->d_name)) names.push_back(*name);
    std::sort(names.begin(), names.end(),
              [](const SegmentName& a, const SegmentName& b) { return a.number < b.number; });
    return names;
}

int Folder::syncFolder() {
    const IoResult opened = calls_.open(path_, O_RDONLY | O_DIRECTORY);
    if (opened.error != 0) return opened.error;
    const File file(static_cast<int>(opened.bytes));
    return calls_.sync(file.get());
}

Folder::SegmentContents Folder::readSegment(const SegmentName& name, bool useTable) {
    SegmentContents contents;
    const std::string path = pathOf(segmentFile(name));
    const IoResult opened = calls_.open(path, O_RDONLY);
    if (opened.error != 0) {
        contents.problem = describeError("open", path, opened.error);
        return contents;
    }
    const File file(static_cast<int>(opened.bytes));
    contents.fileBytes = sizeOf(file.get());
    if (useTable) {
        const IoResult table = calls_.open(pathOf(tableFile(name.number)), O_RDONLY);
        const File tableFd(table.error == 0 ? static_cast<int>(table.bytes) : -1);
        const std::uint64_t size = tableFd ? std::min(sizeOf(tableFd.get()), kMaxTableBytes) : 0;
        std::string bytes(size, '\0');
        const bool whole = tableFd && readAll(calls_, tableFd.get(), bytes, 0).bytes == size;
        auto known = whole ? decodeTable(bytes, name.number) : std::nullopt;
        // A table written for a longer file lists records that no longer exist.
        const bool fits =
            known && known->segmentBytes <= contents.fileBytes &&
            std::all_of(known->parts.begin(), known->parts.end(), [&](const Part& part) {
                return std::uint64_t{part.location.offset} + part.location.bytes <= known->segmentBytes;
            });
        if (fits) {
            contents.parts = std::move(known->parts);
            contents.bytes = contents.fileBytes;
            contents.fromTable = true;
            return contents;
        }
    }
    std::string head;
    while (contents.bytes + kRecordHeaderBytes <= contents.fileBytes) {
        // The metadata is usually short: one read then returns it together with the header.
        constexpr std::size_t kFirstReadBytes = 512;
        head.resize(kFirstReadBytes);
        IoResult read = readAll(calls_, file.get(), head, contents.bytes);
        const auto metadataBytes = metadataBytesOf(std::span(head).first(read.bytes));
        if (read.error == 0 && metadataBytes && kRecordHeaderBytes + *metadataBytes > read.bytes) {
            head.resize(kRecordHeaderBytes + *metadataBytes);
            read = readAll(calls_, file.get(), head, contents.bytes);
        }
        if (read.error != 0) {
            contents.problem = describeError("read", path, read.error);
            break;
        }
        auto found = metadataBytes ? decodeRecordHeader(std::span(head).first(read.bytes)) : std::nullopt;
        if (!found || contents.bytes + found->part.location.bytes > contents.fileBytes) break;
        found->part.location.segment = name.number;
        found->part.location.offset = static_cast<std::uint32_t>(contents.bytes);
        contents.bytes += found->part.location.bytes;
        contents.parts.push_back(found->part);
    }
    return contents;
}

// Written under a temporary name and renamed, so that a table is either complete or absent.
Problem Folder::writeTable(const SegmentTable& table, std::uint32_t number) {
    const std::string path = pathOf(tableFile(number)), temporaryPath = path + ".new";
    const IoResult opened = calls_.open(temporaryPath, O_WRONLY | O_CREAT | O_TRUNC);
    if (opened.error != 0) return describeError("create", temporaryPath, opened.error);
    const File file(static_cast<int>(opened.bytes));
    const IoResult written = writeAll(calls_, file.get(), encodeTable(table, number), 0);
    if (written.error != 0) return describeError("write", temporaryPath, written.error);
    if (const int error = calls_.rename(temporaryPath, path))
        return describeError("rename", temporaryPath, error);
    return {};
}

Problem Folder::removeSegment(const SegmentName& name) {
    const std::string path = pathOf(segmentFile(name));
    const int error = calls_.unlink(path);
    // The table is removed after the segment: a table without its segment is ignored, while a segment without
    // its table costs a scan at the next start.
    const int table = calls_.unlink(pathOf(tableFile(name.number)));
    if (error != 0 && error != ENOENT) return describeError("remove", path, error);
    if (table != 0 && table != ENOENT) return describeError("remove", pathOf(tableFile(name.number)), table);
    return {};
}

PurgeLog::LoadResult PurgeLog::load(Folder::Access access) {
    LoadResult loaded;
    const std::string path = folder_.pathOf(kPurgeLogFile);
    const bool writes = access == Folder::Access::write;
    const IoResult opened = calls_.open(path, writes ? O_RDWR | O_CREAT : O_RDONLY);
    if (opened.error == ENOENT) return loaded;
    const auto fail = [&](const char* what, int error) {
        loaded.problem = describeError(what, path, error);
        loaded.retryable = isTransient(error);
    };
    if (opened.error != 0) {
        fail("open", opened.error);
        return loaded;
    }
    File file(static_cast<int>(opened.bytes));
    const std::uint64_t size = sizeOf(file.get());
    std::string bytes(size, '\0');
    const IoResult read = readAll(calls_, file.get(), bytes, 0);
    if (read.error != 0) {
        fail("read", read.error);
        return loaded;
    }
    for (bytes_ = 0; bytes_ + kPurgeEntryBytes <= read.bytes; bytes_ += kPurgeEntryBytes) {
        const auto entry = decodePurgeEntry(std::span(bytes).subspan(bytes_, kPurgeEntryBytes));
        if (!entry) break;
        if (entry->kind == PurgeEntry::Kind::busPosition)
            loaded.busPosition = entry->atMs;
        else
            loaded.entries.push_back(*entry);
    }
    // A partial entry at the end was never acknowledged and may be truncated. Anything more is damage: it
    // stays in the file until a watermark has been written over it, so that a restart before then detects it
    // again.
    loaded.damaged = read.bytes - bytes_ >= kPurgeEntryBytes;
    damaged_ = loaded.damaged;
    if (writes && bytes_ < size && !damaged_) {
        if (const int error = calls_.truncate(file.get(), bytes_)) fail("truncate", error);
    }
    if (writes) file_ = std::move(file);
    return loaded;
}

int PurgeLog::append(const std::vector<PurgeEntry>& entries) {
    if (!file_) return EBADF;
    std::string bytes;
    for (const PurgeEntry& entry : entries) encodePurgeEntry(entry, bytes);
    const IoResult written = writeAll(calls_, file_.get(), bytes, bytes_);
    int error = written.error;
    if (error == 0) error = calls_.sync(file_.get());
    if (error == 0) error = syncFolderIfDue();
    if (error != 0) {
        // The next append starts at the same offset, so a partial entry is never followed by a complete one.
        if (!damaged_) (void)calls_.truncate(file_.get(), bytes_);
        return error;
    }
    bytes_ += bytes.size();
    const bool raisesWatermark = std::any_of(entries.begin(), entries.end(), [](const PurgeEntry& entry) {
        return entry.kind == PurgeEntry::Kind::watermark && entry.atMs > 0;
    });
    // If this truncation fails, the next start merely drops all copies once more.
    if (damaged_ && raisesWatermark) damaged_ = calls_.truncate(file_.get(), bytes_) != 0;
    return 0;
}

int PurgeLog::rewrite(const std::vector<PurgeEntry>& entries) {
    const std::string path = folder_.pathOf(kPurgeLogFile), temporaryPath = path + ".new";
    const IoResult opened = calls_.open(temporaryPath, O_RDWR | O_CREAT | O_TRUNC);
    if (opened.error != 0) return opened.error;
    File file(static_cast<int>(opened.bytes));
    std::string bytes;
    for (const PurgeEntry& entry : entries) encodePurgeEntry(entry, bytes);
    const IoResult written = writeAll(calls_, file.get(), bytes, 0);
    if (written.error != 0) return written.error;
    if (const int error = calls_.sync(file.get())) return error;
    if (const int error = calls_.rename(temporaryPath, path)) return error;
    // The name now refers to the new file: even if the sync below fails, nothing may be appended to the
    // replaced one.
    file_ = std::move(file);
    bytes_ = bytes.size();
    damaged_ = false;
    folderSyncDue_ = true;
    return syncFolderIfDue();
}

int PurgeLog::syncFolderIfDue() {
    if (!folderSyncDue_) return 0;
    const int error = folder_.syncFolder();
    folderSyncDue_ = error != 0;
    return error;
}

}  // namespace lotuslead::disk
