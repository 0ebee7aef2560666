// The disk tier where its folder fails for a while, and where the machine's clock is behind: purges that were
// taken on hold after a restart.
#include <gtest/gtest.h>

#include <chrono>
#include <fstream>
#include <thread>

#include "disk/inspect.hpp"
#include "disk_tier_harness.hpp"

namespace lotuslead::disk {
namespace {

using Faults = FaultyFiles::Faults;

constexpr int kPurgesUntilRewritten = 20'000;
constexpr std::chrono::milliseconds kRewriteSettleTime{500};

// The log is written anew under another name, renamed, and only the sync of the folder fails: what comes next
// must not go to the file that the new one has replaced.
TEST(DiskFaults, PurgesLastThoughTheFolderOfANewLogCannotBeSynced) {
    TemporaryFolder folder;
    TierOptions options = optionsFor(folder);
    options.maxPurgeEntries = 600;
    {
        FaultyFiles files;
        TierHarness harness(options, &files);
        for (int i = 0; i < 12; ++i) ASSERT_TRUE(harness.store(i, 1000));
        files.failFolderSyncs(EIO);
        for (int i = 0; i < kPurgesUntilRewritten; ++i)
            harness.tier.purgeObject("/files/x" + std::to_string(i % 500), 1000);
        ASSERT_TRUE(harness.turnUntil([&] { return files.failedFolderSyncs() > 0; }));
        // No log that is written anew after this hides what became of the last one.
        std::this_thread::sleep_for(kRewriteSettleTime);
        harness.tier.turn(harness.now);
        files.clear();
        ASSERT_TRUE(harness.turnUntil([&] { return harness.tier.purgesPersisted(); }));
        harness.tier.purgeObject("/files/8", 1000);
        ASSERT_TRUE(harness.turnUntil([&] { return harness.tier.purgesPersisted(); }));
    }
    TierHarness harness(options);
    for (int i = 0; i < 12; ++i) EXPECT_EQ(harness.has(i, 1000), i != 8) << i;
}

TEST(DiskFaults, AFolderThatFailsForAMomentAtTheStartIsTriedAgain) {
    for (const Faults& faults : {Faults{.open = EIO}, Faults{.open = ENFILE}, Faults{.write = ENOSPC}}) {
        for (const char* file : {"lock", "format", "purges"}) {
            if (faults.write != 0 && std::string(file) == "lock") continue;  // nothing is written to it
            TemporaryFolder folder;
            FaultyFiles files;
            files.set(file, faults);
            TierHarness harness(optionsFor(folder), &files, false);
            ASSERT_TRUE(harness.turnUntil([&] { return !harness.logLines.empty(); }));
            files.clear();
            harness.tier.retryOpen();
            ASSERT_TRUE(harness.turnUntil([&] { return harness.tier.state() == Tier::State::ready; }))
                << file;
            EXPECT_TRUE(harness.store(1, 1000));
        }
    }
}

// What can't be proved is dropped for good, also where the wall clock is behind the one that dated it.
TEST(DiskFaults, AClockThatIsBehindLeavesNothingUnproved) {
    constexpr std::int64_t kCreatedMs = 1'000'000, kBehindMs = 100'000;
    TemporaryFolder folder;
    {
        TierHarness harness(optionsFor(folder));
        ASSERT_TRUE(harness.store(1, kCreatedMs));
    }
    std::filesystem::remove(folder.tier() + "/purges");
    TierHarness harness(optionsFor(folder), nullptr, false);
    harness.now.unixMs = kCreatedMs - kBehindMs;
    ASSERT_TRUE(harness.turnUntil([&] { return harness.tier.state() == Tier::State::ready; }));
    EXPECT_TRUE(harness.logged("the purge log is damaged"));
    harness.now.unixMs = kCreatedMs + kBehindMs;
    EXPECT_FALSE(harness.load(1));
    EXPECT_TRUE(harness.store(2, kCreatedMs + kBehindMs));
    EXPECT_TRUE(harness.has(2, kCreatedMs + kBehindMs));
}

// Nobody may forget the damage before what it has cost is written down: not a tool that adds a purge, and not
// a start that is killed.
TEST(DiskFaults, ADamagedLogIsDamagedUntilAFloorIsKept) {
    TemporaryFolder folder;
    {
        TierHarness harness(optionsFor(folder));
        ASSERT_TRUE(harness.store(1, 1000));
        for (int i = 5; i < 15; ++i) harness.tier.purgeObject("/files/" + std::to_string(i), 1000);
        ASSERT_TRUE(harness.turnUntil([&] { return harness.tier.purgesPersisted(); }));
    }
    std::fstream(folder.tier() + "/purges", std::ios::in | std::ios::out | std::ios::binary)
        .seekp(50)
        .put('\x77');
    FileCalls files;
    const auto added = addPurges(files, folder.tier(), {PurgeEntry{PurgeEntry::Kind::group, 3, 1000}});
    EXPECT_NE(added.problem.find("is damaged"), std::string::npos) << added.problem;
    {
        Folder killed(files, folder.tier());
        ASSERT_TRUE(killed.open(Folder::Access::write).problem.empty());
        PurgeLog log(files, killed);
        ASSERT_TRUE(log.load(Folder::Access::write).damaged);
    }
    {
        TierHarness harness(optionsFor(folder));
        EXPECT_TRUE(harness.logged("the purge log is damaged"));
        EXPECT_FALSE(harness.load(1));
        ASSERT_TRUE(harness.turnUntil([&] { return harness.tier.purgesPersisted(); }));
    }
    TierHarness harness(optionsFor(folder));
    EXPECT_FALSE(harness.logged("the purge log is damaged"));
    EXPECT_FALSE(harness.load(1));
}

}  // namespace
}  // namespace lotuslead::disk
