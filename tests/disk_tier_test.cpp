// Tests of the disk tier on real files: crashes, restarts, and failing file system calls.
#include <gtest/gtest.h>

#include <fstream>

#include "disk_tier_harness.hpp"

namespace lotuslead::disk {
namespace {

using Faults = FaultyFiles::Faults;

TEST(DiskTier, ServesTheSameCopiesAfterARestartWithAndWithoutTables) {
    for (const bool tables : {true, false}) {
        TemporaryFolder folder;
        TierOptions options = optionsFor(folder);
        options.worker.tables = tables;
        {
            TierHarness harness(options);
            for (int i = 0; i < 200; ++i) ASSERT_TRUE(harness.store(i, 500 + i));
            for (int i = 0; i < 20; ++i) ASSERT_TRUE(harness.store(i, 900 + i));  // newer copies
        }
        EXPECT_EQ(folder.files(".table").empty(), !tables);
        TierHarness harness(options);
        EXPECT_EQ(harness.tier.catalog().parts(), 200U);
        for (int i = 0; i < 200; ++i) ASSERT_TRUE(harness.has(i, i < 20 ? 900 + i : 500 + i)) << i;
    }
}

TEST(DiskTier, ServesNoCopyOlderThanAPurgeOrTheRequestedAge) {
    TemporaryFolder folder;
    const TierOptions options = optionsFor(folder);
    {
        TierHarness harness(options);
        for (int i = 0; i < 14; ++i) ASSERT_TRUE(harness.store(i, 1000));
        harness.now.unixMs = 3000;
        EXPECT_TRUE(harness.load(0, 2000));
        EXPECT_FALSE(harness.load(0, 1999));
        harness.tier.purgeObject("/files/3", 1000);
        harness.tier.purgeGroup(5, 1000);
        EXPECT_FALSE(harness.tier.purgesPersisted());
        EXPECT_FALSE(harness.load(3));  // at once, before the purge is on disk
        ASSERT_TRUE(harness.turnUntil([&] { return harness.tier.purgesPersisted(); }));
        EXPECT_FALSE(harness.store(3, 1000));  // nor is it admitted again
        EXPECT_TRUE(harness.store(3, 1001));
    }
    TierHarness harness(options);
    harness.now.unixMs = 3000;
    EXPECT_TRUE(harness.has(3, 1001));
    EXPECT_FALSE(harness.load(5));
    EXPECT_FALSE(harness.load(12));
    EXPECT_TRUE(harness.has(6, 1000));
    harness.now.unixMs = 500;  // the clock went back: these copies are from the future
    EXPECT_FALSE(harness.load(6));
}

TEST(DiskTier, PurgeDuringAReadIsApplied) {
    TemporaryFolder folder;
    TierHarness harness(optionsFor(folder));
    ASSERT_TRUE(harness.store(1, 1000));
    bool completed = false, served = false;
    ASSERT_NE(harness.tier.lookUp(harness.now, keyOf(1), 0,
                                  [&](std::optional<Copy> copy) {
                                      completed = true;
                                      served = copy.has_value();
                                  }),
              0U);
    harness.tier.purgeObject("/files/1", 1000);
    ASSERT_TRUE(harness.turnUntil([&] { return completed; }));
    EXPECT_FALSE(served);
}

TEST(DiskTier, ServesNothingWhileTheBusIsSilent) {
    TemporaryFolder folder;
    TierOptions options = optionsFor(folder);
    options.purges.bus = true;
    const std::vector<std::int64_t> next{6};
    {
        TierHarness harness(options);
        EXPECT_FALSE(harness.resumeBusFrom);
        harness.tier.busBatchReceived(harness.now, 5, 5, {});
        ASSERT_TRUE(harness.store(1, 1000));
        EXPECT_TRUE(harness.has(1, 1000));
        harness.now.monotonicMs += 2001;
        EXPECT_FALSE(harness.load(1));
        harness.tier.busBatchReceived(harness.now, 5, 6, next);
        EXPECT_TRUE(harness.has(1, 1000));
        ASSERT_TRUE(harness.turnUntil([&] { return harness.tier.purgesPersisted(); }));
    }
    TierHarness harness(options);
    ASSERT_EQ(harness.resumeBusFrom, 6);
    harness.tier.busBatchReceived(harness.now, 8, 9, {});  // requested before the reader went back; ignored
    EXPECT_FALSE(harness.load(1));
    harness.tier.busBatchReceived(harness.now, 6, 6, {});
    EXPECT_TRUE(harness.has(1, 1000));
}

TEST(DiskTier, FullDiskStopsAdmissionsOnly) {
    TemporaryFolder folder;
    FaultyFiles files;
    TierHarness harness(optionsFor(folder), &files);
    ASSERT_TRUE(harness.store(1, 1000));
    Faults full;
    full.write = ENOSPC;
    full.writeAtMost = 700;
    full.writesUntilFault = 2;  // the disk fills up in the middle of a record
    files.set("probation", full);
    for (int i = 2; i < 6; ++i) EXPECT_FALSE(harness.store(i, 1000));
    EXPECT_TRUE(harness.logged("No space left on device; nothing is admitted for 1 s"));
    EXPECT_EQ(harness.tier.counters().writeErrors, 3U);
    EXPECT_EQ(harness.tier.counters().paused, 1U);
    EXPECT_TRUE(harness.has(1, 1000));
    files.clear();
    EXPECT_FALSE(harness.store(6, 1000));
    harness.now.monotonicMs += 1000;
    EXPECT_TRUE(harness.store(6, 1000));
    EXPECT_TRUE(harness.has(1, 1000) && harness.has(6, 1000));
}

TEST(DiskTier, PartiallyWrittenRecordIsNeverServed) {
    TemporaryFolder folder;
    FaultyFiles files;
    {
        TierHarness harness(optionsFor(folder), &files);
        for (int i = 0; i < 5; ++i) ASSERT_TRUE(harness.store(i, 1000));
        Faults torn;
        torn.write = EIO;
        torn.writeAtMost = 1500;
        torn.writesUntilFault = 1;
        torn.truncate = EIO;  // and the partial record can't be truncated
        files.set("probation", torn);
        files.set("table", Faults{.open = EIO});  // and no table can be written
        EXPECT_FALSE(harness.store(5, 1000));
    }
    files.clear();
    TierHarness harness(optionsFor(folder), &files);
    EXPECT_TRUE(harness.logged("ends in the middle of a record"));
    EXPECT_EQ(harness.tier.counters().tornTails, 1U);
    for (int i = 0; i < 5; ++i) EXPECT_TRUE(harness.has(i, 1000));
    EXPECT_FALSE(harness.load(5));
    EXPECT_TRUE(harness.store(5, 1001));  // into a new segment
    EXPECT_TRUE(harness.has(5, 1001));
}

TEST(DiskTier, ShortWritesAreContinuedToFullRecords) {
    TemporaryFolder folder;
    FaultyFiles files;
    files.set("probation", Faults{.writeAtMost = 13});
    files.set("purges", Faults{.writeAtMost = 5});
    {
        TierHarness harness(optionsFor(folder), &files);
        for (int i = 0; i < 10; ++i) ASSERT_TRUE(harness.store(i, 1000));
        harness.tier.purgeObject("/files/4", 1000);
        ASSERT_TRUE(harness.turnUntil([&] { return harness.tier.purgesPersisted(); }));
    }
    TierHarness harness(optionsFor(folder), &files);
    for (int i = 0; i < 10; ++i) EXPECT_EQ(harness.has(i, 1000), i != 4);
}

TEST(DiskTier, UnreadableCopyIsAMissAndIsDropped) {
    TemporaryFolder folder;
    FaultyFiles files;
    TierHarness harness(optionsFor(folder), &files);
    ASSERT_TRUE(harness.store(1, 1000) && harness.store(2, 1000));
    files.set("probation", Faults{.read = EIO});
    EXPECT_FALSE(harness.load(1));
    files.clear();
    EXPECT_FALSE(harness.load(1));
    EXPECT_TRUE(harness.has(2, 1000));
    EXPECT_EQ(harness.tier.counters().readErrors, 1U);
    EXPECT_TRUE(harness.logged("Input/output error"));
}

TEST(DiskTier, RecordsWithFlippedBitsAreDropped) {
    TemporaryFolder folder;
    {
        TierHarness harness(optionsFor(folder));
        for (int i = 0; i < 30; ++i) ASSERT_TRUE(harness.store(i, 1000));
    }
    const std::string path = folder.files(".probation").front();
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    for (const int at : {700, 30'000}) {
        file.seekg(at);
        const char was = static_cast<char>(file.get());
        file.seekp(at);
        file.put(static_cast<char>(was ^ 0x20));
    }
    file.close();
    TierHarness harness(optionsFor(folder));
    int whole = 0;
    for (int i = 0; i < 30; ++i) {
        const auto copy = harness.load(i);
        if (copy) {
            ASSERT_EQ(copy->body, bodyOf(i, 1000));
            ++whole;
        }
    }
    EXPECT_EQ(whole, 28);
    EXPECT_EQ(harness.tier.counters().damagedRecords, 2U);
}

TEST(DiskTier, MissingSegmentsAndWrongTablesLoseOnlyTheirOwnParts) {
    TemporaryFolder folder;
    {
        TierHarness harness(optionsFor(folder));
        for (int i = 0; i < 150; ++i) ASSERT_TRUE(harness.store(i, 1000));
    }
    const auto segments = folder.files(".probation");
    ASSERT_GE(segments.size(), 3U);
    std::filesystem::remove(segments[0]);
    std::filesystem::resize_file(segments[1], 20'000);  // its table lists more records
    const auto tables = folder.files(".table");
    std::fstream(tables[2], std::ios::in | std::ios::out | std::ios::binary).seekp(40).put('\x55');
    TierHarness harness(optionsFor(folder));
    int whole = 0;
    for (int i = 0; i < 150; ++i) {
        const auto copy = harness.load(i);
        ASSERT_TRUE(!copy || copy->body == bodyOf(i, 1000));
        whole += copy.has_value();
    }
    EXPECT_GT(whole, 50);
    EXPECT_LT(whole, 120);
    EXPECT_EQ(harness.tier.counters().tornTails, 1U);
}

TEST(DiskTier, ServesNothingWithoutAWorkingPurgeLog) {
    TemporaryFolder folder;
    FaultyFiles files;
    TierHarness harness(optionsFor(folder), &files);
    ASSERT_TRUE(harness.store(1, 1000) && harness.store(2, 1000));
    for (const Faults& faults : {Faults{.write = ENOSPC}, Faults{.sync = EIO}}) {
        files.set("purges", faults);
        harness.tier.purgeObject("/files/1", 1000);
        ASSERT_TRUE(harness.turnUntil([&] { return harness.logged("nothing is served from it"); }));
        EXPECT_FALSE(harness.tier.purgesPersisted());
        EXPECT_FALSE(harness.load(2));
        EXPECT_FALSE(harness.store(3, 1000));
        files.clear();
        ASSERT_TRUE(harness.turnUntil([&] { return harness.tier.purgesPersisted(); }));
        EXPECT_TRUE(harness.has(2, 1000));
        EXPECT_FALSE(harness.load(1));
        harness.logLines.clear();
    }
}

TEST(DiskTier, DropsAllCopiesAfterADamagedOrLostPurgeLog) {
    for (const bool lost : {true, false}) {
        TemporaryFolder folder;
        {
            TierHarness harness(optionsFor(folder));
            ASSERT_TRUE(harness.store(1, 1000));
            for (int i = 5; i < 15; ++i) harness.tier.purgeObject("/files/" + std::to_string(i), 1000);
            ASSERT_TRUE(harness.turnUntil([&] { return harness.tier.purgesPersisted(); }));
        }
        const std::string log = folder.tier() + "/purges";
        if (lost)
            std::filesystem::remove(log);
        else
            std::fstream(log, std::ios::in | std::ios::out | std::ios::binary).seekp(50).put('\x77');
        TierHarness harness(optionsFor(folder));
        EXPECT_TRUE(harness.logged("the purge log is damaged"));
        EXPECT_FALSE(harness.load(1));
        EXPECT_TRUE(harness.store(1, harness.now.unixMs + 1));
        harness.now.unixMs += 10;
        EXPECT_TRUE(harness.has(1, harness.now.unixMs - 9));
    }
}

// A crash may leave a partial entry at the end of the log. It was never acknowledged: it is truncated, and
// the other entries hold.
TEST(DiskTier, PartiallyWrittenPurgeEntryIsTruncated) {
    TemporaryFolder folder;
    {
        TierHarness harness(optionsFor(folder));
        ASSERT_TRUE(harness.store(1, 1000) && harness.store(2, 1000));
        harness.tier.purgeObject("/files/1", 1000);
        ASSERT_TRUE(harness.turnUntil([&] { return harness.tier.purgesPersisted(); }));
    }
    const std::string log = folder.tier() + "/purges";
    std::ofstream(log, std::ios::app | std::ios::binary) << "LLM1half";
    {
        TierHarness harness(optionsFor(folder));
        EXPECT_FALSE(harness.load(1));
        EXPECT_TRUE(harness.has(2, 1000));
        harness.tier.purgeObject("/files/2", 1000);
        ASSERT_TRUE(harness.turnUntil([&] { return harness.tier.purgesPersisted(); }));
    }
    TierHarness harness(optionsFor(folder));
    EXPECT_FALSE(harness.logged("damaged"));
    EXPECT_FALSE(harness.load(1) || harness.load(2));
}

TEST(DiskTier, SlowDiskDropsAdmissionsWithoutBlocking) {
    TemporaryFolder folder;
    FaultyFiles files;
    TierHarness harness(optionsFor(folder), &files);
    ASSERT_TRUE(harness.store(1, 1000));
    files.set("probation", Faults{.holdWrites = true});
    for (int i = 100; i < 900; ++i)
        harness.tier.offer(harness.now, keyOf(i), 1, {1000, {}, bodyOf(i, 1000)});  // returns at once
    EXPECT_GT(harness.tier.counters().writeQueueFull, 300U);
    EXPECT_LE(harness.tier.queuedBytes(), 1U << 20);
    EXPECT_TRUE(harness.has(1, 1000));
    files.clear();
    ASSERT_TRUE(harness.turnUntil([&] { return harness.tier.queuedBytes() == 0; }));
    EXPECT_TRUE(harness.has(100, 1000));
}

TEST(DiskTier, UnusableFolderDisablesTheTier) {
    TemporaryFolder folder;
    FaultyFiles files;
    files.set("lock", Faults{.open = EROFS});
    TierHarness harness(optionsFor(folder), &files, false);
    ASSERT_TRUE(harness.turnUntil([&] { return harness.tier.state() == Tier::State::off; }));
    EXPECT_TRUE(harness.logged("Read-only file system; the tier is off"));
    EXPECT_FALSE(harness.load(1));
    EXPECT_FALSE(harness.store(1, 1000));
    EXPECT_TRUE(harness.tier.purgesPersisted());  // no copies are held that a purge could apply to
    files.clear();

    std::ofstream(folder.tier() + "/format") << "lotuslead disk tier 9\n";
    TierHarness other(optionsFor(folder), nullptr, false);
    ASSERT_TRUE(other.turnUntil([&] { return other.tier.state() == Tier::State::off; }));
    EXPECT_TRUE(other.logged("has a form that this version does not know"));
}

// Hand-over: a successor receives purges before it holds the folder and must apply them once it does.
TEST(DiskTier, SecondProcessWaitsForTheFolderAndAppliesItsPurges) {
    TemporaryFolder folder;
    auto first = std::make_unique<TierHarness>(optionsFor(folder));
    ASSERT_TRUE(first->store(1, 1000) && first->store(2, 1000));
    TierHarness second(optionsFor(folder), nullptr, false);
    ASSERT_TRUE(second.turnUntil([&] { return second.tier.state() == Tier::State::waiting; }));
    EXPECT_TRUE(second.logged("another process holds"));
    second.tier.purgeObject("/files/1", 1000);
    EXPECT_TRUE(second.tier.purgesPersisted());
    EXPECT_FALSE(second.load(2));
    first->tier.close();
    EXPECT_FALSE(first->load(2));
    first.reset();
    second.tier.retryOpen();
    ASSERT_TRUE(second.turnUntil(
        [&] { return second.tier.state() == Tier::State::ready && second.tier.purgesPersisted(); }));
    EXPECT_FALSE(second.load(1));
    EXPECT_TRUE(second.has(2, 1000));
    second.tier.close();
    TierHarness third(optionsFor(folder), nullptr, false);
    for (int i = 0; i < 100 && third.tier.state() != Tier::State::ready; ++i) {
        third.turnUntil([&] {
            return third.tier.state() == Tier::State::ready || third.tier.state() == Tier::State::waiting;
        });
        third.tier.retryOpen();
        third.turnUntil([&] { return third.tier.state() == Tier::State::ready; });
    }
    EXPECT_FALSE(third.load(1));
    EXPECT_TRUE(third.has(2, 1000));
}

TEST(DiskTier, StaysWithinItsCapacityAndBoundsRewrites) {
    TemporaryFolder folder;
    const TierOptions options = optionsFor(folder);
    std::uint64_t admitted = 0, moved = 0;
    {
        TierHarness harness(options);
        std::uint64_t state = 5;
        for (int i = 0; i < 6000; ++i) {
            state = mix(state + 1);
            const int name = static_cast<int>(state % 400 < 300 ? state % 300 : state % 9000);
            if (!harness.load(name)) harness.store(name, 1000);
            ASSERT_LE(harness.tier.catalog().bytes(), options.catalog.capacityBytes);
        }
        admitted = harness.tier.catalog().counters().admittedBytes;
        moved = harness.tier.catalog().counters().movedBytes;
        EXPECT_GT(harness.tier.catalog().counters().reclaimed, 10U);
        EXPECT_EQ(harness.tier.counters().damagedRecords, 0U);
    }
    // Removals may be behind by a segment or two.
    EXPECT_LE(folder.bytes(), options.catalog.capacityBytes + 4 * options.catalog.segmentBytes);
    EXPECT_GT(moved, 0U);
    EXPECT_LE(moved, admitted);
    TierHarness harness(options);
    EXPECT_LE(harness.tier.catalog().bytes(),
              options.catalog.capacityBytes + 4 * options.catalog.segmentBytes);
    int whole = 0;
    for (int i = 0; i < 300; ++i) whole += harness.has(i, 1000);
    EXPECT_GT(whole, 200);
}

TEST(DiskTier, LongPurgeLogIsRewrittenWithoutLosingPurges) {
    TemporaryFolder folder;
    TierOptions options = optionsFor(folder);
    options.maxTombstones = 600;
    {
        TierHarness harness(options);
        for (int i = 0; i < 12; ++i) ASSERT_TRUE(harness.store(i, 1000));
        harness.tier.purgeObject("/files/7", 1000);
        for (int i = 0; i < 20'000; ++i) harness.tier.purgeObject("/files/x" + std::to_string(i % 500), 1000);
        ASSERT_TRUE(harness.turnUntil([&] { return harness.tier.purgesPersisted(); }));
        harness.tier.purgeObject("/files/8", 1000);
        ASSERT_TRUE(harness.turnUntil([&] { return harness.tier.purgesPersisted(); }));
        EXPECT_LT(std::filesystem::file_size(folder.tier() + "/purges"), 20'000U * kPurgeEntryBytes / 2);
    }
    TierHarness harness(options);
    for (int i = 0; i < 12; ++i) EXPECT_EQ(harness.has(i, 1000), i != 7 && i != 8);
}

}  // namespace
}  // namespace lotuslead::disk
