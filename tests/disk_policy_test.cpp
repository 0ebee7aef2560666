// Tests of the disk tier's policies, without files or a clock, and of its record format.
#include <gtest/gtest.h>

#include <random>
#include <unordered_map>

#include "disk/link_pacer.hpp"
#include "disk/record.hpp"
#include "simulated_disk.hpp"
#include "support/hash.hpp"

namespace lotuslead::disk {
namespace {

using namespace std::chrono_literals;

Part partOf(std::uint64_t name, std::uint32_t segment = 1, std::uint32_t offset = 0,
            std::int64_t createdMs = 1) {
    Part part;
    part.fingerprint = name;
    part.createdMs = createdMs;
    part.location = {segment, offset, 100};
    return part;
}

TEST(DiskIndex, AgreesWithAMapUnderRandomChanges) {
    PartIndex index(500);
    std::unordered_map<std::uint64_t, std::uint32_t> truth;
    std::mt19937_64 random(7);
    for (int i = 0; i < 200'000; ++i) {
        // Fingerprints with neighbouring home slots: long probe sequences, some of which wrap around the end
        // of the table.
        const std::uint64_t name =
            ~std::uint64_t{0} - (random() % 900) * 0x0004000000000000ULL % 0x7000000000000000ULL;
        const auto id = index.find(name);
        ASSERT_EQ(id != PartIndex::kNone, truth.count(name) == 1);
        if (id != PartIndex::kNone) {
            ASSERT_EQ(index.at(id).location.offset, truth[name]);
            index.erase(id);
            truth.erase(name);
        } else if (truth.size() < 500) {
            const auto offset = static_cast<std::uint32_t>(i);
            ASSERT_NE(index.insert(partOf(name, 1, offset)), PartIndex::kNone);
            truth[name] = offset;
        } else {
            ASSERT_EQ(index.insert(partOf(name)), PartIndex::kNone);  // full
        }
        ASSERT_EQ(index.size(), truth.size());
    }
}

TEST(DiskIndex, UsesAtMost64BytesPerPart) {
    constexpr std::size_t kParts = 300'000;
    PartIndex index(kParts);
    for (std::uint64_t i = 0; i < kParts; ++i) ASSERT_NE(index.insert(partOf(mix(i + 1))), PartIndex::kNone);
    EXPECT_LE(static_cast<double>(index.memoryBytes()) / kParts, 64.0);
}

TEST(DiskGhostQueue, RemembersRecentKeysUpToItsCapacity) {
    GhostQueue ghost(1000);
    for (std::uint64_t i = 0; i < 5000; ++i) ghost.add(mix(i));
    int recent = 0, old = 0;
    for (std::uint64_t i = 4200; i < 5000; ++i) recent += ghost.takeIfPresent(mix(i));
    for (std::uint64_t i = 0; i < 4000; ++i) old += ghost.takeIfPresent(mix(i));
    EXPECT_GT(recent, 760);  // some lose their slot to others of their bucket
    EXPECT_EQ(old, 0);
    EXPECT_FALSE(ghost.takeIfPresent(mix(4999)));  // already removed
}

TEST(DiskFrequencySketch, NeverUnderestimatesUntilItAges) {
    FrequencySketch sketch(1024);
    for (std::uint64_t i = 0; i < 300; ++i)
        for (std::uint64_t n = 0; n <= i % 5; ++n) sketch.add(mix(i));
    unsigned over = 0;
    for (std::uint64_t i = 0; i < 300; ++i) {
        ASSERT_GE(sketch.estimate(mix(i)), i % 5 + 1);
        over += sketch.estimate(mix(i)) > i % 5 + 1;
    }
    EXPECT_LT(over, 30U);
    for (int n = 0; n < 15; ++n) sketch.add(1);
    for (std::uint64_t i = 0; i < 40'000; ++i) sketch.add(mix(i + 1000));
    EXPECT_LT(sketch.estimate(1), 15U);
}

TEST(DiskTombstones, CoverOlderCopiesOnly) {
    PurgeTombstones tombstones(100, 50);
    tombstones.add({PurgeEntry::Kind::object, 7, 1000});
    tombstones.add({PurgeEntry::Kind::object, 7, 900});  // an older purge changes nothing
    tombstones.add({PurgeEntry::Kind::group, static_cast<std::uint64_t>(-3), 2000});
    EXPECT_TRUE(tombstones.covers(7, 1, 1000));
    EXPECT_TRUE(tombstones.covers(7, 1, 1050));  // within the allowed clock skew
    EXPECT_FALSE(tombstones.covers(7, 1, 1051));
    EXPECT_FALSE(tombstones.covers(8, 1, 1));
    EXPECT_TRUE(tombstones.covers(8, -3, 2000));
    EXPECT_FALSE(tombstones.covers(8, -3, 2051));
    tombstones.add({PurgeEntry::Kind::watermark, 0, 5000});
    EXPECT_TRUE(tombstones.covers(9, 9, 5000));
    EXPECT_FALSE(tombstones.covers(9, 9, 5051));
}

TEST(DiskTombstones, AreBoundedWithoutLosingAPurge) {
    PurgeTombstones tombstones(64, 0);
    std::mt19937_64 random(3);
    std::vector<std::pair<std::uint64_t, std::int64_t>> purges;
    for (int i = 1; i <= 2000; ++i) {
        const std::uint64_t object = random() % 500 + 1;
        const auto ms = static_cast<std::int64_t>(random() % 10'000 + 1);
        tombstones.add({PurgeEntry::Kind::object, object, ms});
        purges.emplace_back(object, ms);
        ASSERT_LE(tombstones.size(), 64U);
    }
    for (const auto& [object, ms] : purges) {
        ASSERT_TRUE(tombstones.covers(object, 0, ms));
        ASSERT_TRUE(tombstones.mayCover(objectHash32(object), groupHash32(0), ms));
    }
    EXPECT_FALSE(tombstones.covers(1, 0, 10'001));
}

TEST(DiskPurgeFeed, IsAlwaysCurrentWithoutABus) {
    PurgeFeedTracker feed;
    EXPECT_FALSE(feed.isCurrent(0));
    EXPECT_FALSE(feed.start({false, false, 2000}, {}).raiseWatermark);
    EXPECT_TRUE(feed.isCurrent(1'000'000));
    PurgeFeedTracker lostBus;
    EXPECT_TRUE(lostBus.start({false, true, 2000}, 17).raiseWatermark);
}

TEST(DiskPurgeFeed, BusWithRestartedOffsetsRaisesTheWatermark) {
    PurgeFeedTracker feed;
    const auto started = feed.start({true, false, 2000}, 40);
    EXPECT_TRUE(started.raiseWatermark);
    EXPECT_FALSE(started.resumeFrom);
    EXPECT_FALSE(feed.isCurrent(0));
    EXPECT_FALSE(feed.batchReceived(10, 1, 1, {}));
    EXPECT_TRUE(feed.isCurrent(2010));
    EXPECT_FALSE(feed.isCurrent(2011));  // silent for too long
}

TEST(DiskPurgeFeed, ResumesAtItsPositionAndDetectsMissingEvents) {
    const PurgeFeedTracker::Options options{true, true, 2000};
    const std::vector<std::int64_t> whole{41, 42, 43}, gap{41, 43}, late{43};
    {
        PurgeFeedTracker feed;
        const auto started = feed.start(options, 40);
        EXPECT_FALSE(started.raiseWatermark);
        ASSERT_EQ(started.resumeFrom, 40);
        // A batch that was requested before the reader went back is ignored.
        EXPECT_FALSE(feed.batchReceived(1, 43, 43, {}));
        EXPECT_FALSE(feed.isCurrent(1));
        EXPECT_FALSE(feed.position());
        EXPECT_FALSE(feed.batchReceived(2, 40, 43, whole));
        EXPECT_TRUE(feed.isCurrent(2));
        EXPECT_EQ(feed.position(), 43);
        EXPECT_FALSE(feed.batchReceived(3, 43, 43, {}));
        EXPECT_TRUE(feed.batchReceived(4, 43, 50, {}));  // announced by the last number, but not received
    }
    for (const auto& numbers : {gap, late}) {
        PurgeFeedTracker feed;
        (void)feed.start(options, 40);
        EXPECT_TRUE(feed.batchReceived(2, 40, 43, numbers));
    }
    PurgeFeedTracker other;
    (void)other.start(options, 40);
    EXPECT_TRUE(other.batchReceived(2, 40, 12, {}));  // event numbers are behind ours: another bus
    PurgeFeedTracker fresh;
    EXPECT_TRUE(fresh.start(options, {})
                    .raiseWatermark);  // segments, but no bus position: purges may have been missed
}

// Copies must not be served between two pages of events: the next page may purge them.
TEST(DiskPurgeFeed, IsNotCurrentBeforeTheLastPage) {
    const std::vector<std::int64_t> first{41, 42}, second{43};
    PurgeFeedTracker feed;
    (void)feed.start({true, true, 2000}, 40);
    EXPECT_FALSE(feed.batchReceived(1, 40, 42, first, false));
    EXPECT_FALSE(feed.isCurrent(1));
    EXPECT_EQ(feed.position(), 42);
    EXPECT_FALSE(feed.batchReceived(2, 42, 43, second, true));
    EXPECT_TRUE(feed.isCurrent(2));
    EXPECT_FALSE(feed.batchReceived(3, 43, 43, {}, false));  // the first page after a long interruption
    EXPECT_FALSE(feed.isCurrent(3));
}

SegmentCatalogOptions small(AdmissionHistory admissionHistory = AdmissionHistory::ghost) {
    SegmentCatalogOptions options;
    options.capacityBytes = 1 << 20;
    options.segmentBytes = 1 << 15;
    options.maxParts = 5000;
    options.admissionHistory = admissionHistory;
    return options;
}

TEST(DiskCatalog, AdmitsOnlyRankedParts) {
    SimulatedDisk disk(small());
    EXPECT_FALSE(disk.request(1, 0, 1000));
    EXPECT_FALSE(disk.request(1, 1, 1000));
    EXPECT_TRUE(disk.request(1, 1, 1000));
    EXPECT_EQ(disk.catalog.counters().unranked, 1U);
}

TEST(DiskCatalog, ScanDoesNotEvictPartsInUse) {
    SimulatedDisk disk(small());
    // 400 parts of 1 KB that are requested again and again.
    for (int round = 0; round < 12; ++round)
        for (std::uint64_t i = 0; i < 400; ++i) disk.request(mix(i), 1, 1000);
    // One client reads ten times the tier's capacity, once, part by part.
    for (std::uint64_t i = 0; i < 10'000; ++i) {
        disk.request(mix(1'000'000 + i), 1, 1000);
        if (i % 25 == 0) disk.request(mix(i / 25), 1, 1000);
    }
    int held = 0;
    for (std::uint64_t i = 0; i < 400; ++i) held += disk.catalog.contains(mix(i));
    EXPECT_GE(held, 380);
}

TEST(DiskCatalog, StaysWithinItsCapacityAndRewriteShare) {
    for (const AdmissionHistory admissionHistory :
         {AdmissionHistory::ghost, AdmissionHistory::sketch, AdmissionHistory::none}) {
        SimulatedDisk disk(small(admissionHistory));
        std::mt19937_64 random(11);
        for (int i = 0; i < 60'000; ++i) {
            const double u = static_cast<double>(random() % 1'000'000 + 1) / 1e6;
            disk.request(mix(static_cast<std::uint64_t>(3.0 / (u * u))), 1 + static_cast<int>(random() % 2),
                         static_cast<std::uint32_t>(200 + random() % 3000));
            ASSERT_LE(disk.catalog.bytes(), disk.catalog.options().capacityBytes);
            ASSERT_LE(disk.catalog.liveBytes(), disk.catalog.bytes());
        }
        const auto& c = disk.catalog.counters();
        EXPECT_GT(c.reclaimed, 20U);
        EXPECT_GT(c.movedBytes, 0U);
        EXPECT_LE(static_cast<double>(disk.written), 3.0 * static_cast<double>(c.admittedBytes));
    }
}

TEST(DiskCatalog, NewestCopyWinsInAnyLoadOrder) {
    SegmentCatalog catalog(small());
    catalog.partLoaded(partOf(5, 1, 0, 200), Queue::main);
    catalog.partLoaded(partOf(5, 2, 0, 100), Queue::main);  // written later, but created before
    EXPECT_EQ(catalog.findForRead(5)->createdMs, 200);
    catalog.partLoaded(partOf(5, 3, 0, 200), Queue::main);  // the same copy, rewritten to another segment
    EXPECT_EQ(catalog.findForRead(5)->location.segment, 3U);
    catalog.partAppended(partOf(5, 4, 0, 150), Queue::main, 1);
    EXPECT_EQ(catalog.findForRead(5)->createdMs, 200);
    catalog.partLost(5, {1, 0, 100});  // another location
    EXPECT_TRUE(catalog.contains(5));
    catalog.partLost(5, {3, 0, 100});
    EXPECT_FALSE(catalog.contains(5));
}

TEST(DiskCatalog, SweepsPurgedPartsInSlices) {
    SimulatedDisk disk(small());
    for (std::uint64_t i = 1; i <= 500; ++i) disk.request(mix(i), 1, 100);
    PurgeTombstones tombstones(100, 0);
    for (std::uint64_t i = 1; i <= 50; ++i) tombstones.add({PurgeEntry::Kind::object, mix(i), 10});
    int slices = 1;
    while (!disk.catalog.sweep(tombstones, 64)) ++slices;
    EXPECT_EQ(slices, 8);
    EXPECT_EQ(disk.catalog.parts(), 450U);
    EXPECT_FALSE(disk.catalog.contains(mix(50)));
    EXPECT_TRUE(disk.catalog.contains(mix(51)));
}

TEST(DiskCatalog, ReclaimsSegmentsWithoutLivePartsFirst) {
    SimulatedDisk disk(small());
    for (std::uint64_t i = 1; i <= 64; ++i) disk.request(mix(i), 1, 1000);  // two segments
    PurgeTombstones tombstones(10, 0);
    tombstones.add({PurgeEntry::Kind::watermark, 0, 5});
    ASSERT_TRUE(disk.catalog.sweep(tombstones, 1000));
    const auto next = disk.catalog.nextReclaim(0);
    ASSERT_TRUE(next);
    EXPECT_TRUE(next->survivors.empty());
    EXPECT_FALSE(disk.catalog.nextReclaim(0));  // one at a time
    disk.catalog.dropSegment(next->segment);
    EXPECT_LT(disk.catalog.bytes(), 40'000U);
}

const Key kKey{"/files/tool.bin", "installer", 6, 41, 65536};
const Copy kCopy{1764576000123, {{"etag", "\"v1\""}, {"total", "99"}}, std::string(3000, 'x') + "end"};

TEST(DiskRecord, DecodesWhatWasEncoded) {
    std::string bytes;
    ASSERT_TRUE(encodeRecord(kKey, kCopy, bytes));
    EXPECT_EQ(bytes.size(), recordBytes(kKey, kCopy));
    const auto found = decodeRecord(bytes);
    ASSERT_TRUE(found);
    EXPECT_EQ(found->first, kKey);
    EXPECT_EQ(found->second.createdMs, kCopy.createdMs);
    EXPECT_EQ(found->second.metadata, kCopy.metadata);
    EXPECT_EQ(found->second.body, kCopy.body);
    EXPECT_EQ(decodeRecordHeader(bytes)->part.fingerprint, kKey.fingerprint());
    Copy huge = kCopy;
    huge.metadata.emplace_back("x", std::string(kMaxMetadataBytes, 'y'));
    EXPECT_FALSE(encodeRecord(kKey, huge, bytes));
}

TEST(DiskRecord, DetectsFlippedBitsAndMissingBytes) {
    std::string bytes;
    ASSERT_TRUE(encodeRecord(kKey, kCopy, bytes));
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        std::string bad = bytes;
        bad[at] = static_cast<char>(bad[at] ^ (1 << (at % 8)));
        ASSERT_FALSE(decodeRecord(bad)) << at;
    }
    for (std::size_t size = 0; size < bytes.size(); size += 7)
        ASSERT_FALSE(decodeRecord(std::string_view(bytes).substr(0, size)));
    std::string entry, table;
    encodePurgeEntry({PurgeEntry::Kind::group, 17, 5}, entry);
    ASSERT_EQ(entry.size(), kPurgeEntryBytes);
    EXPECT_EQ(decodePurgeEntry(entry), (PurgeEntry{PurgeEntry::Kind::group, 17, 5}));
    for (char& byte : entry) {
        byte = static_cast<char>(byte ^ 4);
        ASSERT_FALSE(decodePurgeEntry(entry));
        byte = static_cast<char>(byte ^ 4);
    }
    table = encodeTable({300, {partOf(1, 9, 0), partOf(2, 9, 100)}}, 9);
    EXPECT_EQ(decodeTable(table, 9)->parts.size(), 2U);
    EXPECT_FALSE(decodeTable(table, 8));  // another segment's
    for (char& byte : table) {
        byte = static_cast<char>(byte ^ 16);
        ASSERT_FALSE(decodeTable(table, 9));
        byte = static_cast<char>(byte ^ 16);
    }
}

TEST(DiskKey, FingerprintCoversAllFieldsButTheGroup) {
    const auto with = [](auto change) {
        Key key = kKey;
        change(key);
        return key.fingerprint();
    };
    EXPECT_EQ(with([](Key& k) { k.group = 9; }), kKey.fingerprint());
    EXPECT_NE(with([](Key& k) { k.object += "x"; }), kKey.fingerprint());
    EXPECT_NE(with([](Key& k) { k.className = "page"; }), kKey.fingerprint());
    EXPECT_NE(with([](Key& k) { ++k.part; }), kKey.fingerprint());
    EXPECT_NE(with([](Key& k) { k.variant = 1; }), kKey.fingerprint());
}

TEST(DiskLinkPacer, SharesTheLinkInOrderOfAnswers) {
    LinkPacer pacer(1000, 2000);                   // bytes per second
    EXPECT_EQ(pacer.finishTime(1s, 500), 1500ms);  // a single transfer is limited by its own rate
    pacer.reserve(1s, 4000);
    EXPECT_EQ(pacer.finishTime(1s, 2000), 4s);  // after two seconds of other transfers
    EXPECT_EQ(pacer.finishTime(9s, 1000), 10s);
    EXPECT_EQ(LinkPacer(0, 0).finishTime(5s, 1 << 30), 5s);
}

}  // namespace
}  // namespace lotuslead::disk
