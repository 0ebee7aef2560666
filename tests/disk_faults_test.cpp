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
constexpr std::chrono::milliseconds kAllRewritten{500};

// The log is written anew under another name, renamed, and only the sync of the folder fails: what comes next
// must not go to the file that the new one has replaced.
TEST(DiskFaults, PurgesLastThoughTheFolderOfANewLogCannotBeSynced) {
    TemporaryFolder folder;
    TierOptions options = optionsFor(folder);
    options.maxPurgeEntries = 600;
    {
        FaultyFiles files;
        Desk desk(options, &files);
        for (int i = 0; i < 12; ++i) ASSERT_TRUE(desk.store(i, 1000));
        files.failFolderSyncs(EIO);
        for (int i = 0; i < kPurgesUntilRewritten; ++i)
            desk.tier.purgeObject("/files/x" + std::to_string(i % 500), 1000);
        ASSERT_TRUE(desk.until([&] { return files.failedFolderSyncs() > 0; }));
        // No log that is written anew after this hides what became of the last one.
        std::this_thread::sleep_for(kAllRewritten);
        desk.tier.turn(desk.now);
        files.clear();
        ASSERT_TRUE(desk.until([&] { return desk.tier.purgesPersisted(); }));
        desk.tier.purgeObject("/files/8", 1000);
        ASSERT_TRUE(desk.until([&] { return desk.tier.purgesPersisted(); }));
    }
    Desk desk(options);
    for (int i = 0; i < 12; ++i) EXPECT_EQ(desk.has(i, 1000), i != 8) << i;
}

TEST(DiskFaults, AFolderThatFailsForAMomentAtTheStartIsTriedAgain) {
    for (const Faults& faults : {Faults{.open = EIO}, Faults{.open = ENFILE}, Faults{.write = ENOSPC}}) {
        for (const char* file : {"lock", "format", "purges"}) {
            if (faults.write != 0 && std::string(file) == "lock") continue;  // nothing is written to it
            TemporaryFolder folder;
            FaultyFiles files;
            files.set(file, faults);
            Desk desk(optionsFor(folder), &files, false);
            ASSERT_TRUE(desk.until([&] { return !desk.lines.empty(); }));
            files.clear();
            desk.tier.retryOpen();
            ASSERT_TRUE(desk.until([&] { return desk.tier.state() == Tier::State::ready; })) << file;
            EXPECT_TRUE(desk.store(1, 1000));
        }
    }
}

// What can't be proved is dropped for good, also where the wall clock is behind the one that dated it.
TEST(DiskFaults, AClockThatIsBehindLeavesNothingUnproved) {
    constexpr std::int64_t kCreatedMs = 1'000'000, kBehindMs = 100'000;
    TemporaryFolder folder;
    {
        Desk desk(optionsFor(folder));
        ASSERT_TRUE(desk.store(1, kCreatedMs));
    }
    std::filesystem::remove(folder.tier() + "/purges");
    Desk desk(optionsFor(folder), nullptr, false);
    desk.now.unixMs = kCreatedMs - kBehindMs;
    ASSERT_TRUE(desk.until([&] { return desk.tier.state() == Tier::State::ready; }));
    EXPECT_TRUE(desk.logged("the purge log is damaged"));
    desk.now.unixMs = kCreatedMs + kBehindMs;
    EXPECT_FALSE(desk.load(1));
    EXPECT_TRUE(desk.store(2, kCreatedMs + kBehindMs));
    EXPECT_TRUE(desk.has(2, kCreatedMs + kBehindMs));
}

// Nobody may forget the damage before what it has cost is written down: not a tool that adds a purge, and not
// a start that is killed.
TEST(DiskFaults, ADamagedLogIsDamagedUntilAFloorIsKept) {
    TemporaryFolder folder;
    {
        Desk desk(optionsFor(folder));
        ASSERT_TRUE(desk.store(1, 1000));
        for (int i = 5; i < 15; ++i) desk.tier.purgeObject("/files/" + std::to_string(i), 1000);
        ASSERT_TRUE(desk.until([&] { return desk.tier.purgesPersisted(); }));
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
        ASSERT_TRUE(log.load(Folder::Access::write).torn);
    }
    {
        Desk desk(optionsFor(folder));
        EXPECT_TRUE(desk.logged("the purge log is damaged"));
        EXPECT_FALSE(desk.load(1));
        ASSERT_TRUE(desk.until([&] { return desk.tier.purgesPersisted(); }));
    }
    Desk desk(optionsFor(folder));
    EXPECT_FALSE(desk.logged("the purge log is damaged"));
    EXPECT_FALSE(desk.load(1));
}

}  // namespace
}  // namespace lotuslead::disk
