// Tests of the disk tier with a folder that fails temporarily and with a clock that is behind: acknowledged
// purges must hold after a restart.
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

// The log is rewritten under a temporary name and renamed, and only the sync of the folder fails. Later
// purges must not be appended to the replaced file, where a restart would not find them.
TEST(DiskFaults, PurgesPersistWhenTheFolderSyncOfARewrittenLogFails) {
    TemporaryFolder folder;
    TierOptions options = optionsFor(folder);
    options.maxTombstones = 600;
    {
        FaultyFiles files;
        TierHarness harness(options, &files);
        for (int i = 0; i < 12; ++i) ASSERT_TRUE(harness.store(i, 1000));
        files.failFolderSyncs(EIO);
        for (int i = 0; i < kPurgesUntilRewritten; ++i)
            harness.tier.purgeObject("/files/x" + std::to_string(i % 500), 1000);
        ASSERT_TRUE(harness.turnUntil([&] { return files.failedFolderSyncs() > 0; }));
        // Waits until no further rewrite of the log can hide the effect of the failed one.
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

TEST(DiskFaults, RetriesAFolderThatFailsTemporarilyAtStart) {
    for (const Faults& faults : {Faults{.open = EIO}, Faults{.open = ENFILE}, Faults{.write = ENOSPC}}) {
        for (const char* file : {"lock", "format", "purges"}) {
            if (faults.write != 0 && std::string(file) == "lock") continue;  // the lock file is never written
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

// Copies that may have missed purges are dropped for good, also when the wall clock is behind the clock that
// dated them.
TEST(DiskFaults, DropsCopiesWithPossiblyMissedPurgesWhenTheClockIsBehind) {
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

// A damaged log must be reported as damaged until the watermark that drops all copies is on disk. Neither a
// tool that adds a purge nor a start that is killed may hide the damage.
TEST(DiskFaults, DamagedLogIsReportedUntilTheWatermarkIsPersisted) {
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
