// The disk tier: a cache of copies on disk, as used from the event loop's thread. It combines the decisions
// of SegmentCatalog, PurgeTombstones and PurgeFeedTracker with the I/O of an IoWorker. No call except the
// destructor blocks on the disk. It reads no clock: each call is passed the time. Any failure is a cache
// miss; the tier never fails a request.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "../support/lru_map.hpp"
#include "io_worker.hpp"
#include "purge_tombstones.hpp"
#include "segment_catalog.hpp"

namespace lotuslead::disk {

// The time of a call on both clocks.
struct ClockReading {
    std::int64_t monotonicMs = 0;
    std::int64_t unixMs = 0;
};

struct TierOptions {
    std::string folder;
    SegmentCatalogOptions catalog;
    IoWorkerOptions worker;
    std::size_t maxTombstones = 65536;  // purged objects that are held one by one, and as many groups
    std::int64_t purgeClockSkewMs = 1000;
    PurgeFeedTracker::Options purges;
};

class Tier {
public:
    enum class State { opening, waiting, loading, ready, off, closed };
    struct Counters {
        std::uint64_t hits = 0, misses = 0, purged = 0, expired = 0, unprovable = 0, damagedRecords = 0,
                      readErrors = 0, readQueueFull = 0, offered = 0, writeQueueFull = 0, paused = 0,
                      writeErrors = 0, purgesAdded = 0, watermarksRaised = 0, superseded = 0, logErrors = 0,
                      tornTails = 0;
        std::uint64_t hitBytes = 0;
    };
    struct Callbacks {
        std::function<void(const std::string&)> log;  // writes one line
        std::function<void(std::int64_t position)>
            resumeBusFrom;  // makes the bus reader go back to this event number
        // A number that is equal for all parts of one version of an object; zero if its parts carry no
        // version.
        std::function<std::uint64_t(const Metadata&)> version;
    };
    // Receives the copy, or none when it may not be served.
    using LookupCallback = std::function<void(std::optional<Copy>)>;

    // `calls` must outlive the tier.
    Tier(FileCalls& calls, const TierOptions& options, Callbacks callbacks);
    ~Tier();
    Tier(const Tier&) = delete;

    // Readable when turn() has completions to process.
    int wakeDescriptor() const { return worker_.wakeDescriptor(); }
    void turn(ClockReading now);
    // turn() must be called again although the descriptor does not become readable: a purge sweep is in
    // progress.
    bool hasMoreWork() const { return sweeping_ && state_ == State::ready; }
    // Tries again to open the folder, if another process held it or the error was transient. To be called
    // about every second.
    void retryOpen();

    // Returns zero for a miss. Otherwise returns the id of the lookup, and a later turn() calls `callback`,
    // unless the lookup is cancelled before. `maxCopyAgeMs`: the largest acceptable age; zero accepts any
    // age.
    [[nodiscard]] std::uint64_t lookUp(ClockReading now, const Key& key, std::int64_t maxCopyAgeMs,
                                       LookupCallback callback);
    void cancelLookup(std::uint64_t lookupId) { lookups_.erase(lookupId); }
    // Offers a fetched copy. `rank` comes from the decision module; zero means that the copy is not to be
    // kept.
    void offer(ClockReading now, const Key& key, int rank, const Copy& copy);

    // ----- purges -----

    void purgeObject(const std::string& object, std::int64_t atMs);
    void purgeGroup(std::int64_t group, std::int64_t atMs);
    // As PurgeFeedTracker::batchReceived; to be called after the purges of that batch have been applied.
    // `upToDateMs`: the monotonic time up to which it held all events; none: now.
    void busBatchReceived(ClockReading now, std::int64_t from, std::int64_t last,
                          std::span<const std::int64_t> numbers, bool complete = true,
                          std::optional<std::int64_t> upToDateMs = {});
    // The copies on disk can be served, or the tier is known to be unavailable. The gateway delays its start
    // until then.
    bool startupComplete(ClockReading now) const {
        return state_ != State::opening && (!holdsFolder() || purgeFeed_.isCurrent(now.monotonicMs));
    }
    // All purges are on disk, or no folder is held that a copy could be served from.
    bool purgesPersisted() const { return persistedUpTo_ >= purgesSubmitted_; }

    // Applies the purge options only; the folder and all sizes stay as they are.
    void reconfigure(const TierOptions& options);
    // Releases the folder for another process; from then on every lookup is a miss.
    void close();

    State state() const { return state_; }
    const char* stateName() const;
    const Counters& counters() const { return counters_; }
    const SegmentCatalog& catalog() const { return catalog_; }
    std::size_t tombstoneCount() const { return tombstones_.size(); }
    std::int64_t watermarkMs() const { return tombstones_.watermarkMs(); }
    std::uint64_t queuedBytes() const { return pendingWriteBytes_; }
    const TierOptions& options() const { return options_; }

private:
    struct PendingLookup {
        Key key;
        std::int64_t maxCopyAgeMs = 0;
        LookupCallback callback;
    };
    struct Version {
        std::uint64_t version = 0;
        std::int64_t createdMs = 0;
    };

    void handle(ClockReading now, FolderOpened& done);
    void handle(ClockReading now, SegmentLoaded& done);
    void handle(ClockReading now, LoadFinished& done);
    void handle(ClockReading now, RecordAppended& done);
    void handle(ClockReading now, AppendFailed& done);
    void handle(ClockReading now, SegmentSealed& done);
    void handle(ClockReading now, RecordMoved& done);
    void handle(ClockReading now, SegmentRewritten& done);
    void handle(ClockReading now, SegmentRemoved& done);
    void handle(ClockReading now, PurgesPersisted& done);
    void handle(ClockReading now, ReadDone& done);

    bool holdsFolder() const { return state_ == State::loading || state_ == State::ready; }
    bool isServable(ClockReading now, const Key& key, std::int64_t maxCopyAgeMs, std::int64_t createdMs);
    void addPurge(const PurgeEntry& entry);
    void persist(std::vector<PurgeEntry> entries);
    void raiseWatermark(ClockReading now, const char* why);
    void trackLatestCreated(std::int64_t createdMs);
    bool isLatest(const Key& key, const Copy& copy);
    void submitBusPosition(ClockReading now);
    void reclaim();
    void rewritePurgeLogIfLong();
    void log(const std::string& line) const { callbacks_.log(line); }

    TierOptions options_;
    Callbacks callbacks_;
    SegmentCatalog catalog_;
    PurgeTombstones tombstones_;
    std::int64_t latestCreatedMs_ = 0;  // of all copies that are held or being written
    bool dropLoadingParts_ = false;     // drop the parts of segments that are still being loaded, too

    PurgeFeedTracker purgeFeed_;
    State state_ = State::opening;
    std::string lastProblem_;  // the last one that was logged
    std::uint64_t nextLookupId_ = 1;
    std::unordered_map<std::uint64_t, PendingLookup> lookups_;
    LruMap<std::uint64_t, Version> versions_;
    std::uint64_t pendingWriteBytes_ = 0;
    int writeFailures_ = 0;  // consecutive
    std::int64_t pausedUntilMs_ = 0, pauseMs_ = 0;
    bool purgeLogFailing_ = false;
    std::uint64_t purgesSubmitted_ = 0, persistedUpTo_ = 0, logEntries_ = 0;
    std::optional<std::int64_t> submittedPosition_;
    std::int64_t positionSubmittedMs_ = 0;
    bool sweeping_ = false, sweepAgain_ = false;
    Counters counters_;
    IoWorker worker_;  // last member: its threads end before the other members are destroyed
};

}  // namespace lotuslead::disk
