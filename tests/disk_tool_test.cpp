// Tests of the lotuslead_disk tool, run as a process.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "disk_tier_harness.hpp"

namespace lotuslead::disk {
namespace {

using nlohmann::json;

struct Ran {
    int code = -1;
    std::string out;
};
Ran run(const std::string& arguments) {
    Ran ran;
    FILE* pipe = ::popen((std::string(LOTUSLEAD_DISK_TOOL) + " " + arguments + " 2>&1").c_str(), "r");
    char chunk[4096];
    for (std::size_t got; (got = std::fread(chunk, 1, sizeof chunk, pipe)) > 0;) ran.out.append(chunk, got);
    const int status = ::pclose(pipe);
    ran.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return ran;
}
json figures(const std::string& arguments) { return json::parse(run(arguments + " --output json").out); }

class DiskTool : public ::testing::Test {
protected:
    void SetUp() override {
        TierHarness harness(optionsFor(folder));
        for (int i = 0; i < 100; ++i) ASSERT_TRUE(harness.store(i, 1000));
        for (int i = 0; i < 10; ++i) ASSERT_TRUE(harness.store(i, 2000));
    }
    TemporaryFolder folder;
};

TEST_F(DiskTool, StatAndListReportTheContents) {
    const json stat = figures("stat " + folder.tier());
    EXPECT_EQ(stat["live"], 100);
    EXPECT_EQ(stat["records"], 110);
    EXPECT_EQ(stat["superseded"], 10);
    EXPECT_EQ(stat["held"], false);
    EXPECT_EQ(figures("stat --walk " + folder.tier())["tables"], 0);
    const Ran list = run("list " + folder.tier() + " --prefix /files/7 --output json");
    EXPECT_EQ(std::count(list.out.begin(), list.out.end(), '\n'), 11);
    EXPECT_NE(list.out.find("\"object\":\"/files/77\""), std::string::npos);
    EXPECT_EQ(run("list " + folder.tier() + " --most 3 --output json").out.find("/files/77"),
              std::string::npos);
}

TEST_F(DiskTool, VerifyDetectsDamage) {
    EXPECT_EQ(run("verify " + folder.tier()).code, 0);
    std::fstream file(folder.files(".probation").front(), std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(50'000);  // in a copy that is not superseded
    file.put('\x42').put('\x17');
    file.close();
    const Ran ran = run("verify " + folder.tier());
    EXPECT_EQ(ran.code, 1);
    EXPECT_NE(ran.out.find("not as it was written"), std::string::npos);
}

TEST_F(DiskTool, PurgedCopiesAreNotServedAfterTheNextStart) {
    EXPECT_EQ(run("purge " + folder.tier() + " --object /files/7 --at 2000").code, 0);
    EXPECT_EQ(run("purge " + folder.tier() + " --group 3 --at 1000").code, 0);
    TierHarness harness(optionsFor(folder));
    EXPECT_FALSE(harness.load(7));
    EXPECT_FALSE(harness.load(17));     // of group 3
    EXPECT_TRUE(harness.has(3, 2000));  // also of group 3, but newer
    EXPECT_TRUE(harness.has(18, 1000));
}

TEST_F(DiskTool, CompactKeepsAllLiveCopies) {
    ASSERT_EQ(run("purge " + folder.tier() + " --group 3 --at 1000").code, 0);
    const json result = figures("compact " + folder.tier());
    EXPECT_LT(result["bytes_after"].get<std::uint64_t>(), result["bytes_before"].get<std::uint64_t>());
    EXPECT_EQ(folder.bytes(), result["bytes_after"].get<std::uint64_t>());
    EXPECT_EQ(run("verify " + folder.tier()).code, 0);
    TierHarness harness(optionsFor(folder));
    for (int i = 0; i < 100; ++i) {
        const bool purged = i % 7 == 3 && i >= 10;
        EXPECT_EQ(harness.has(i, i < 10 ? 2000 : 1000), !purged) << i;
    }
}

TEST_F(DiskTool, OnlyReadsAFolderHeldByAProcess) {
    TierHarness harness(optionsFor(folder));
    EXPECT_EQ(figures("stat " + folder.tier())["held"], true);
    EXPECT_EQ(run("verify " + folder.tier()).code, 0);
    for (const char* change : {"purge --all ", "compact "}) {
        const Ran ran = run(change + folder.tier());
        EXPECT_EQ(ran.code, 3);
        EXPECT_NE(ran.out.find("another process holds"), std::string::npos);
    }
    EXPECT_TRUE(harness.has(1, 2000));
}

TEST_F(DiskTool, RejectsBadArgumentsWithOneLine) {
    EXPECT_EQ(run("--help").code, 0);
    EXPECT_EQ(run("--version").code, 0);
    EXPECT_EQ(run("").code, 2);
    EXPECT_EQ(run("purge " + folder.tier()).code, 2);
    EXPECT_EQ(run("stat --output xml " + folder.tier()).code, 2);
    const Ran ran = run("stat " + folder.path);
    EXPECT_EQ(ran.code, 2);
    EXPECT_EQ(ran.out, "lotuslead_disk: " + folder.path + " is no folder of a disk tier\n");
    EXPECT_EQ(run("purge --all " + folder.path + "/none").code, 2);
    EXPECT_FALSE(std::filesystem::exists(folder.path + "/none"));
}

}  // namespace
}  // namespace lotuslead::disk
