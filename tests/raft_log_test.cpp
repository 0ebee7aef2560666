// The Raft log's files: acknowledged writes survive a crash at any point, replaced entries do not come
// back, and invalid data is rejected.
#include "agent/raft_log.hpp"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace lotuslead::agent {
namespace {

namespace fs = std::filesystem;

constexpr std::uint16_t kCommand = 1;
constexpr std::size_t kSegmentBytes = 8 * 1024 * 1024;

class TemporaryFolder {
public:
    TemporaryFolder() {
        char path[] = "/tmp/lotuslead-log-XXXXXX";
        path_ = ::mkdtemp(path);
    }
    ~TemporaryFolder() { fs::remove_all(path_); }
    const std::string& path() const { return path_; }
    // In the order in which they were created.
    std::vector<fs::path> segments() const {
        std::vector<fs::path> found;
        for (const auto& entry : fs::directory_iterator(path_))
            if (entry.path().filename().string().rfind("entries-", 0) == 0) found.push_back(entry.path());
        std::sort(found.begin(), found.end());
        return found;
    }

private:
    std::string path_;
};

void append(RaftLog& log, std::uint64_t first, const std::vector<std::string>& data, std::uint64_t term = 1) {
    std::vector<LogEntryView> entries;
    for (const std::string& one : data) entries.push_back({term, kCommand, one});
    log.append(first, entries);
}

std::vector<std::string> dataOf(const RaftLog::Content& content) {
    std::vector<std::string> data;
    for (const LogEntry& entry : content.entries) data.push_back(entry.data);
    return data;
}

RaftLog::Content reopened(const TemporaryFolder& folder) {
    RaftLog log(folder.path());
    return log.open();
}

LogSnapshot snapshotAt(std::uint64_t index, std::uint64_t term = 1) {
    return {index, term, 1, {{1, "127.0.0.1:9001", 1}, {2, "127.0.0.1:9002", 0}}, "state"};
}

void flipByte(const fs::path& path, std::streamoff at) {
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(at);
    const char byte = static_cast<char>(file.get() ^ 0x40);
    file.seekp(at);
    file.put(byte);
}

using Strings = std::vector<std::string>;

TEST(RaftLog, BeginsEmpty) {
    TemporaryFolder folder;
    const auto content = reopened(folder);
    EXPECT_EQ(content.termAndVote.term, 0U);
    EXPECT_EQ(content.firstIndex, 1U);
    EXPECT_TRUE(content.entries.empty());
    EXPECT_FALSE(content.snapshot);
}

TEST(RaftLog, KeepsEntriesTermAndVoteOverRestarts) {
    TemporaryFolder folder;
    {
        RaftLog log(folder.path());
        log.open();
        append(log, 1, {"a", ""});
        append(log, 3, {"c"}, 2);
        log.writeTermAndVote({2, 3});
    }
    {
        RaftLog log(folder.path());
        log.open();
        append(log, 4, {"d"}, 5);
        log.writeTermAndVote({5, 0});
    }
    const auto content = reopened(folder);
    EXPECT_EQ(dataOf(content), (Strings{"a", "", "c", "d"}));
    EXPECT_EQ(content.entries[2].term, 2U);
    EXPECT_EQ(content.entries[3].type, kCommand);
    EXPECT_EQ(content.termAndVote.term, 5U);
    EXPECT_EQ(content.termAndVote.vote, 0U);
}

TEST(RaftLog, ReplacesATruncatedEnd) {
    TemporaryFolder folder;
    {
        RaftLog log(folder.path());
        log.open();
        append(log, 1, {"a", "b", "c", "d"});
        append(log, 2, {"B"}, 2);
        append(log, 3, {"C"}, 2);
        append(log, 3, {"CC"}, 3);
    }
    EXPECT_EQ(dataOf(reopened(folder)), (Strings{"a", "B", "CC"}));
}

TEST(RaftLog, SkipsATornRecordAtTheEnd) {
    TemporaryFolder folder;
    {
        RaftLog log(folder.path());
        log.open();
        append(log, 1, {"a", "b"});
        append(log, 3, {"c"});
    }
    const fs::path segment = folder.segments().back();
    const auto whole = fs::file_size(segment);
    for (std::uintmax_t cut = 1; cut <= 30; ++cut) {
        fs::resize_file(segment, whole - cut);
        EXPECT_EQ(dataOf(reopened(folder)), (Strings{"a", "b"})) << cut;
    }
    {
        RaftLog log(folder.path());
        log.open();
        append(log, 3, {"again"});
    }
    EXPECT_EQ(dataOf(reopened(folder)), (Strings{"a", "b", "again"}));
}

TEST(RaftLog, RefusesToOpenWithMissingEntries) {
    TemporaryFolder folder;
    {
        RaftLog log(folder.path());
        log.open();
        append(log, 1, {"a", "b"});
    }
    {
        RaftLog log(folder.path());
        log.open();
        append(log, 3, {"c"});
    }
    const fs::path first = folder.segments().front();
    flipByte(first, static_cast<std::streamoff>(fs::file_size(first)) - 1);  // in the data of "b"
    RaftLog log(folder.path());
    EXPECT_THROW(log.open(), std::runtime_error);
}

TEST(RaftLog, KeepsTheTrailingEntriesOfASnapshot) {
    TemporaryFolder folder;
    {
        RaftLog log(folder.path());
        log.open();
        const std::string big(kSegmentBytes, 'x');
        append(log, 1, {big});
        append(log, 2, {big});
        append(log, 3, {"c", "d"});
        ASSERT_EQ(folder.segments().size(), 3U);
        log.writeSnapshot(snapshotAt(3), 2);
        EXPECT_EQ(folder.segments().size(), 2U);
    }
    const auto content = reopened(folder);
    EXPECT_EQ(content.firstIndex, 2U);
    EXPECT_EQ(content.entries.size(), 3U);
    ASSERT_TRUE(content.snapshot);
    EXPECT_EQ(content.snapshot->index, 3U);
    EXPECT_EQ(content.snapshot->data, "state");
    ASSERT_EQ(content.snapshot->members.size(), 2U);
    EXPECT_EQ(content.snapshot->members[1].address, "127.0.0.1:9002");
    EXPECT_EQ(content.snapshot->members[1].role, 0);
}

TEST(RaftLog, ContinuesAfterAnInstalledSnapshot) {
    TemporaryFolder folder;
    {
        RaftLog log(folder.path());
        log.open();
        append(log, 1, {"a", "b"});
        log.installSnapshot(snapshotAt(9, 4));
        EXPECT_TRUE(folder.segments().empty());
        append(log, 10, {"j"}, 4);
    }
    const auto content = reopened(folder);
    EXPECT_EQ(content.firstIndex, 10U);
    EXPECT_EQ(dataOf(content), Strings{"j"});
}

// The snapshot is stored already, but the entries that it replaces have not been removed yet.
TEST(RaftLog, CompletesAnInterruptedSnapshotInstall) {
    for (const std::uint64_t index : {2U, 9U}) {
        TemporaryFolder folder, other;
        {
            RaftLog log(folder.path()), source(other.path());
            log.open();
            source.open();
            append(log, 1, {"a", "stale", "stale"});
            source.installSnapshot(snapshotAt(index, 4));
        }
        fs::copy(other.path() + "/snapshot", folder.path() + "/snapshot");
        {
            RaftLog log(folder.path());
            const auto content = log.open();
            EXPECT_EQ(content.firstIndex, index + 1);
            EXPECT_TRUE(content.entries.empty());
            append(log, index + 1, {"next"}, 4);
        }
        const auto content = reopened(folder);
        EXPECT_EQ(content.firstIndex, index + 1);
        EXPECT_EQ(dataOf(content), Strings{"next"});
    }
}

TEST(RaftLog, RefusesADamagedOrMissingSnapshot) {
    TemporaryFolder folder;
    {
        RaftLog log(folder.path());
        log.open();
        append(log, 1, {"a", "b"});
        log.installSnapshot(snapshotAt(2));
        append(log, 3, {"c"});
    }
    flipByte(folder.path() + "/snapshot", 40);
    {
        RaftLog log(folder.path());
        EXPECT_THROW(log.open(), std::runtime_error);
    }
    fs::remove(folder.path() + "/snapshot");
    RaftLog log(folder.path());
    EXPECT_THROW(log.open(), std::runtime_error);
}

TEST(RaftLog, FallsBackToTheVoteBeforeATornOne) {
    TemporaryFolder folder;
    {
        RaftLog log(folder.path());
        log.open();
        log.writeTermAndVote({3, 1});
        log.writeTermAndVote({4, 2});
    }
    flipByte(folder.path() + "/ballot", 20);  // the slot of the second write
    {
        const auto content = reopened(folder);
        EXPECT_EQ(content.termAndVote.term, 3U);
        EXPECT_EQ(content.termAndVote.vote, 1U);
    }
    flipByte(folder.path() + "/ballot", 4096 + 20);
    RaftLog log(folder.path());
    EXPECT_THROW(log.open(), std::runtime_error);
}

TEST(RaftLog, ThrowsSystemErrorIfTheFolderCannotBeCreated) {
    EXPECT_THROW(RaftLog("/proc/none/log"), std::system_error);
}

}  // namespace
}  // namespace lotuslead::agent
