// A tier of copies on disk, as the loop's thread sees it: it puts the decisions (Shelf, PurgeMarks,
// PurgeProof) to work on a Worker. No call blocks on the disk, but for the destructor. It reads no clock:
// each call is told the time. What can't be had is a miss; nothing here ever fails a request.
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

struct ClockReading {
    std::int64_t monotonicMs = 0;
    std::int64_t unixMs = 0;
};

struct TierOptions {
    std::string folder;
    SegmentCatalogOptions catalog;
    IoWorkerOptions worker;
    std::size_t maxPurgeEntries = 65536;  // objects, and as many groups, that are told apart
    std::int64_t purgeClockSkewMs = 1000;
    PurgeFeedTracker::Options purges;
};

class Tier {
public:
    enum class State { opening, waiting, loading, ready, off, closed };
    struct Counters {
        std::uint64_t hits = 0, misses = 0, purged = 0, expired = 0, unproved = 0, torn = 0, readErrors = 0,
                      busy = 0, offered = 0, queueFull = 0, paused = 0, writeErrors = 0, marks = 0,
                      floors = 0, superseded = 0, logErrors = 0, truncatedTails = 0;
        std::uint64_t hitBytes = 0;
    };
    struct Callbacks {
        std::function<void(const std::string&)> log;               // one line
        std::function<void(std::int64_t position)> resumeBusFrom;  // the bus's reader is to go back to here
        // The same for all parts of one version of an object; zero: parts have none in common.
        std::function<std::uint64_t(const Facts&)> version;
    };
    // Empty: it is not to be served.
    using LookupCallback = std::function<void(std::optional<Copy>)>;

    // `calls` outlives it.
    Tier(FileCalls& calls, const TierOptions& options, Callbacks callbacks);
    ~Tier();
    Tier(const Tier&) = delete;

    // Readable when there is something for turn() to take.
    int wakeDescriptor() const { return worker_.wakeDescriptor(); }
    void turn(ClockReading now);
    // There is more to do, in slices, though nothing wakes it.
    bool hasMoreWork() const { return sweeping_ && state_ == State::ready; }
    // Where another process holds the folder, it is tried again; to be called every second or so.
    void retryOpen();

    // Zero: a miss, told at once. Else `found` is called by a later turn(), unless it is forgotten before.
    // `oldestMs`: an older copy will not do; zero: any age.
    [[nodiscard]] std::uint64_t lookUp(ClockReading now, const Key& key, std::int64_t maxAgeMs,
                                       LookupCallback callback);
    void cancelLookup(std::uint64_t ticket) { lookups_.erase(ticket); }
    // A fetched copy. `rank`: the decision module's; zero: it is not to be kept.
    void offer(ClockReading now, const Key& key, int rank, const Copy& copy);

    // ----- purges -----

    void purgeObject(const std::string& object, std::int64_t atMs);
    void purgeGroup(std::int64_t group, std::int64_t atMs);
    // As PurgeProof::told; after the purges of that batch.
    void busBatchReceived(ClockReading now, std::int64_t from, std::int64_t last,
                          std::span<const std::int64_t> numbers, bool complete = true);
    // What is held can be served, or nothing will be: before that a start is worth waiting with.
    bool startupComplete(ClockReading now) const {
        return state_ != State::opening && (!holdsFolder() || purgeFeed_.isCurrent(now.monotonicMs));
    }
    // All marks are on disk, or there is no disk that holds a copy.
    bool purgesPersisted() const { return persistedUpTo_ >= purgesSubmitted_; }

    // Other limits that hold from now on; folder and sizes stay.
    void reconfigure(const TierOptions& options);
    // Lets go of the folder for another process; from here on all are misses.
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
        std::int64_t maxAgeMs = 0;
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
    bool isServable(ClockReading now, const Key& key, std::int64_t maxAgeMs, std::int64_t createdMs);
    void addPurge(const PurgeEntry& entry);
    void persist(std::vector<PurgeEntry> entries);
    void raiseWatermark(ClockReading now, const char* why);
    void noteCreated(std::int64_t createdMs);
    bool isLatest(const Key& key, const Copy& copy);
    void submitBusPosition(ClockReading now);
    void reclaim();
    void rewritePurgeLogIfLong();
    void log(const std::string& line) const { callbacks_.log(line); }

    TierOptions options_;
    Callbacks callbacks_;
    SegmentCatalog catalog_;
    PurgeTombstones tombstones_;
    std::int64_t latestCreatedMs_ = 0;  // of all that is held or on its way
    bool dropLoadingParts_ = false;     // what the segments still bring can't be proved either

    PurgeFeedTracker purgeFeed_;
    State state_ = State::opening;
    std::string lastProblem_;  // told last
    std::uint64_t nextTicket_ = 1;
    std::unordered_map<std::uint64_t, PendingLookup> lookups_;
    LruMap<std::uint64_t, Version> versions_;
    std::uint64_t pendingWriteBytes_ = 0;  // bytes that the writer has not written
    int writeFailures_ = 0;                // in a row
    std::int64_t pausedUntilMs_ = 0, pauseMs_ = 0;
    bool purgeLogFailing_ = false;
    std::uint64_t purgesSubmitted_ = 0, persistedUpTo_ = 0, logEntries_ = 0;
    std::optional<std::int64_t> submittedPosition_;
    std::int64_t positionSubmittedMs_ = 0;
    bool sweeping_ = false, sweepAgain_ = false;
    Counters counters_;
    IoWorker worker_;  // last: its threads are gone before the rest is
};

}  // namespace lotuslead::disk
