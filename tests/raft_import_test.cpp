// A folder of an earlier version, with libraft's own files, is imported once and completely.
#include "agent/raft_import.hpp"

#include <gtest/gtest.h>
#include <stdlib.h>
#include <uv.h>

#include <filesystem>
#include <string>

extern "C" {
#include <raft.h>
#include <raft/uv.h>
}

#include "agent/raft_log.hpp"

namespace lotuslead::agent {
namespace {

namespace fs = std::filesystem;

constexpr const char* kAddress = "127.0.0.1:9001";

// libraft's own back end on a folder, as earlier versions used it.
class LibraftFolder {
public:
    explicit LibraftFolder(const std::string& folder) {
        uv_loop_init(&loop_);
        raft_uv_tcp_init(&transport_, &loop_);
        raft_uv_init(&io_, &loop_, folder.c_str(), &transport_);
        initialized_ = io_.init(&io_, 1, kAddress);
    }
    ~LibraftFolder() {
        bool closed = false;
        io_.data = &closed;
        io_.close(&io_, [](raft_io* self) { *static_cast<bool*>(self->data) = true; });
        while (!closed) uv_run(&loop_, UV_RUN_ONCE);
        raft_uv_close(&io_);
        raft_uv_tcp_close(&transport_);
        uv_run(&loop_, UV_RUN_DEFAULT);
        uv_loop_close(&loop_);
    }
    LibraftFolder(const LibraftFolder&) = delete;
    LibraftFolder& operator=(const LibraftFolder&) = delete;

    int initialized() const { return initialized_; }
    void bootstrap() {
        raft_configuration members;
        raft_configuration_init(&members);
        raft_configuration_add(&members, 1, kAddress, RAFT_VOTER);
        EXPECT_EQ(io_.bootstrap(&io_, &members), 0);
        raft_configuration_close(&members);
    }
    void vote(raft_term term, raft_id id) {
        EXPECT_EQ(io_.set_term(&io_, term), 0);
        EXPECT_EQ(io_.set_vote(&io_, id), 0);
    }

private:
    uv_loop_t loop_{};
    raft_uv_transport transport_{};
    raft_io io_{};
    int initialized_ = 0;
};

class TemporaryFolder {
public:
    TemporaryFolder() {
        char path[] = "/tmp/lotuslead-import-XXXXXX";
        path_ = ::mkdtemp(path);
    }
    ~TemporaryFolder() { fs::remove_all(path_); }
    const std::string& path() const { return path_; }
    std::string log() const { return path_ + "/log"; }

private:
    std::string path_;
};

RaftLog::Content imported(const TemporaryFolder& folder) {
    createOrImportLog(folder.path(), folder.log());
    RaftLog log(folder.log());
    return log.open();
}

TEST(RaftImport, ImportsEntriesTermAndVote) {
    TemporaryFolder folder;
    {
        LibraftFolder before(folder.path());
        before.bootstrap();
        before.vote(7, 1);
    }
    for (int start = 0; start < 2; ++start) {
        const auto content = imported(folder);
        EXPECT_EQ(content.termAndVote.term, 7U);
        EXPECT_EQ(content.termAndVote.vote, 1U);
        EXPECT_EQ(content.firstIndex, 1U);
        ASSERT_EQ(content.entries.size(), 1U);
        EXPECT_EQ(content.entries[0].type, RAFT_CHANGE);
    }
}

TEST(RaftImport, RestartsAnImportInterruptedByACrash) {
    TemporaryFolder folder;
    {
        LibraftFolder before(folder.path());
        before.bootstrap();
        before.vote(3, 1);
    }
    fs::create_directory(folder.log() + ".new");
    {
        RaftLog unfinished(folder.log() + ".new");
        unfinished.open();
        unfinished.writeTermAndVote({99, 2});
    }
    EXPECT_EQ(imported(folder).termAndVote.term, 3U);
}

TEST(RaftImport, NewFolderStartsEmpty) {
    TemporaryFolder folder;
    const auto content = imported(folder);
    EXPECT_EQ(content.termAndVote.term, 0U);
    EXPECT_TRUE(content.entries.empty());
}

// It would start with an empty log there and forget acknowledged entries.
TEST(RaftImport, PreviousVersionRefusesAnImportedFolder) {
    TemporaryFolder folder;
    imported(folder);
    LibraftFolder before(folder.path());
    EXPECT_NE(before.initialized(), 0);
}

}  // namespace
}  // namespace lotuslead::agent
