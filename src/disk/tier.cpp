#include "tier.hpp"

#include <algorithm>

namespace lotuslead::disk {

namespace {

constexpr std::size_t kSweepSliceParts = 4096;  // for each turn; takes well under a millisecond
constexpr std::size_t kMaxTrackedVersions = 4096;
constexpr int kWriteFailuresToPause = 3;  // consecutive failures
constexpr std::int64_t kFirstPauseMs = 1000, kLongestPauseMs = 60'000;
constexpr std::int64_t kBusPositionIntervalMs = 1000;    // when no purge is written with it
constexpr std::uint64_t kMinLogEntriesToRewrite = 4096;  // and at least twice the number of tombstones

}  // namespace

Tier::Tier(FileCalls& calls, const TierOptions& options, Callbacks callbacks)
    : options_(options),
      callbacks_(std::move(callbacks)),
      catalog_(options.catalog),
      tombstones_(options.maxTombstones, options.purgeClockSkewMs),
      versions_(kMaxTrackedVersions),
      worker_(calls, options.folder, [&] {
          IoWorkerOptions worker = options.worker;
          worker.segmentBytes = catalog_.options().segmentBytes;
          return worker;
      }()) {}

Tier::~Tier() { close(); }

const char* Tier::stateName() const {
    switch (state_) {
        case State::opening:
            return "opening";
        case State::waiting:
            return "waiting";
        case State::loading:
            return "loading";
        case State::ready:
            return "ready";
        case State::off:
            return "off";
        default:
            return "closed";
    }
}

void Tier::turn(ClockReading now) {
    for (Completion& completion : worker_.completions())
        std::visit([&](auto& done) { handle(now, done); }, completion);
    if (state_ != State::ready) return;
    if (sweeping_ && catalog_.sweep(tombstones_, kSweepSliceParts))
        sweeping_ = std::exchange(sweepAgain_, false);
    reclaim();
}

void Tier::retryOpen() {
    if (state_ == State::waiting) worker_.retryOpen();
}

void Tier::close() {
    if (state_ == State::closed) return;
    state_ = State::closed;
    worker_.beginClose();
    auto pending = std::exchange(lookups_, {});
    for (auto& [lookupId, lookup] : pending) lookup.callback({});
}

void Tier::reconfigure(const TierOptions& options) {
    tombstones_.setClockSkew(options.purgeClockSkewMs);
    purgeFeed_.reconfigure(options.purges.bus, options.purges.maxSilenceMs);
    options_.purgeClockSkewMs = options.purgeClockSkewMs;
    options_.purges = options.purges;
}

// ----- reading -----

// Whether a copy of this creation time may be served now. All such decisions are made here.
bool Tier::isServable(ClockReading now, const Key& key, std::int64_t maxCopyAgeMs, std::int64_t createdMs) {
    if (purgeLogFailing_ || !purgeFeed_.isCurrent(now.monotonicMs)) {
        ++counters_.unprovable;
        return false;
    }
    if (tombstones_.covers(key.objectFingerprint(), key.group, createdMs)) {
        ++counters_.purged;
        return false;
    }
    const std::int64_t age = now.unixMs - createdMs;
    if (age < -options_.purgeClockSkewMs || (maxCopyAgeMs > 0 && age > maxCopyAgeMs)) {
        ++counters_.expired;
        return false;
    }
    return true;
}

std::uint64_t Tier::lookUp(ClockReading now, const Key& key, std::int64_t maxCopyAgeMs,
                           LookupCallback callback) {
    if (!holdsFolder()) return 0;
    const std::uint64_t fingerprint = key.fingerprint();
    catalog_.recordRequest(fingerprint);
    const auto part = catalog_.findForRead(fingerprint);
    if (!part || !isServable(now, key, maxCopyAgeMs, part->createdMs)) {
        ++counters_.misses;
        return 0;
    }
    const std::uint64_t lookupId = nextLookupId_++;
    if (!worker_.read({lookupId, fingerprint, part->location})) {
        ++counters_.readQueueFull;
        ++counters_.misses;
        return 0;
    }
    lookups_.emplace(lookupId, PendingLookup{key, maxCopyAgeMs, std::move(callback)});
    return lookupId;
}

void Tier::handle(ClockReading now, ReadDone& done) {
    const bool good = done.record.has_value();
    if (!done.problem.empty()) {
        ++counters_.readErrors;
        log("disk tier: " + done.problem);
    }
    if (done.damaged) {
        ++counters_.damagedRecords;
        log("disk tier: a record in segment " + std::to_string(done.location.segment) + " at byte " +
            std::to_string(done.location.offset) + " is not as it was written, dropped");
    }
    // A part that was moved meanwhile has another location and is kept.
    if (!good) catalog_.partLost(done.fingerprint, done.location);
    const auto at = lookups_.find(done.lookupId);
    if (at == lookups_.end()) return;
    PendingLookup lookup = std::move(at->second);
    lookups_.erase(at);
    // Two keys may share a fingerprint, and a purge may have arrived during the read.
    const bool same = good && done.record->first == lookup.key;
    if (!same || !isServable(now, lookup.key, lookup.maxCopyAgeMs, done.record->second.createdMs) ||
        !isLatest(lookup.key, done.record->second)) {
        ++counters_.misses;
        return lookup.callback({});
    }
    ++counters_.hits;
    counters_.hitBytes += done.record->second.body.size();
    lookup.callback(std::move(done.record->second));
}

// ----- admission and writing -----

void Tier::offer(ClockReading now, const Key& key, int rank, const Copy& copy) {
    ++counters_.offered;
    const std::uint64_t object = key.objectFingerprint();
    if (!isLatest(key, copy)) return;
    if (!holdsFolder() || copy.createdMs <= 0) return;
    if (purgeLogFailing_ || now.monotonicMs < pausedUntilMs_) {
        ++counters_.paused;
        return;
    }
    const std::uint64_t fingerprint = key.fingerprint();
    if (tombstones_.covers(object, key.group, copy.createdMs)) {
        ++counters_.purged;
        return;
    }
    // The copy was fetched only because the purge state is not current at the moment; the copy that is held
    // will be usable again.
    if (!purgeFeed_.isCurrent(now.monotonicMs) && catalog_.contains(fingerprint)) return;
    const std::uint64_t bytes = recordBytes(key, copy);
    if (pendingWriteBytes_ + bytes > options_.worker.queueBytes) {
        ++counters_.writeQueueFull;
        return;
    }
    const auto queue = catalog_.admit(fingerprint, rank, bytes, pendingWriteBytes_);
    if (!queue) return;
    AppendJob job{key, std::make_shared<const Copy>(copy), *queue, rank, bytes};
    if (!worker_.append(std::move(job))) {
        ++counters_.writeQueueFull;
        return;
    }
    pendingWriteBytes_ += bytes;
    trackLatestCreated(copy.createdMs);
}

// Parts of two versions must not be combined in one download: when a second version of an object is seen, the
// parts of the older one are purged.
bool Tier::isLatest(const Key& key, const Copy& copy) {
    const std::uint64_t version = callbacks_.version(copy.metadata);
    if (version == 0) return true;
    const std::uint64_t object = key.objectFingerprint();
    auto [known, had] = versions_.touch(object);
    const bool other = had && known.version != version;
    const bool isLatestVersion = !other || copy.createdMs >= known.createdMs;
    if (other) {
        ++counters_.superseded;
        addPurge({PurgeEntry::Kind::object, object,
                  std::max(copy.createdMs, known.createdMs) - options_.purgeClockSkewMs - 1});
    }
    if (!had || (isLatestVersion && copy.createdMs >= known.createdMs)) known = {version, copy.createdMs};
    return isLatestVersion;
}

void Tier::handle(ClockReading, RecordAppended& done) {
    pendingWriteBytes_ -= done.bytes;
    writeFailures_ = 0;
    pauseMs_ = 0;
    catalog_.partAppended(done.part, done.queue, done.rank);
}

void Tier::handle(ClockReading now, AppendFailed& done) {
    pendingWriteBytes_ -= done.bytes;
    ++counters_.writeErrors;
    if (++writeFailures_ < kWriteFailuresToPause) return;
    writeFailures_ = 0;
    pauseMs_ = std::clamp(pauseMs_ * 2, kFirstPauseMs, kLongestPauseMs);
    pausedUntilMs_ = now.monotonicMs + pauseMs_;
    log("disk tier: " + done.problem + "; nothing is admitted for " + std::to_string(pauseMs_ / 1000) + " s");
}

void Tier::handle(ClockReading, SegmentSealed& done) {
    catalog_.segmentSealed(done.segment);
    if (!done.problem.empty()) log("disk tier: " + done.problem);
}

// ----- reclaiming space -----

void Tier::reclaim() {
    auto next = catalog_.nextReclaim(pendingWriteBytes_);
    if (!next) return;
    // Purged parts are not rewritten.
    std::erase_if(next->survivors, [&](const Part& part) {
        return tombstones_.mayCover(part.object, part.group, part.createdMs);
    });
    worker_.rewrite({next->segment, next->targetQueue, std::move(next->survivors)});
}

void Tier::handle(ClockReading, RecordMoved& done) {
    catalog_.partMoved(done.fingerprint, done.from, done.to, done.queue);
}

void Tier::handle(ClockReading, SegmentRewritten& done) {
    if (!done.problem.empty()) {
        ++counters_.writeErrors;
        log("disk tier: " + done.problem + "; the remaining parts of the segment are dropped");
    }
    catalog_.dropSegment(done.segment);
    worker_.remove({done.segment});
}

void Tier::handle(ClockReading, SegmentRemoved& done) {
    if (done.problem.empty()) return;
    ++counters_.writeErrors;
    log("disk tier: " + done.problem);
}

// ----- purges -----

void Tier::purgeObject(const std::string& object, std::int64_t atMs) {
    addPurge({PurgeEntry::Kind::object, fingerprint(object), atMs});
}
void Tier::purgeGroup(std::int64_t group, std::int64_t atMs) {
    addPurge({PurgeEntry::Kind::group, static_cast<std::uint64_t>(group), atMs});
}

void Tier::addPurge(const PurgeEntry& entry) {
    tombstones_.add(entry);
    ++counters_.purgesAdded;
    (sweeping_ ? sweepAgain_ : sweeping_) = true;
    persist({entry});
}

// While no folder is held, nothing is written: all tombstones are written when it is opened.
void Tier::persist(std::vector<PurgeEntry> entries) {
    if (!holdsFolder()) return;
    logEntries_ += entries.size();
    purgesSubmitted_ = worker_.appendPurges(std::move(entries));
    rewritePurgeLogIfLong();
}

void Tier::rewritePurgeLogIfLong() {
    if (logEntries_ < kMinLogEntriesToRewrite || logEntries_ < 2 * tombstones_.size()) return;
    std::vector<PurgeEntry> all{{PurgeEntry::Kind::watermark, 0, tombstones_.watermarkMs()}};
    tombstones_.forEach([&](const PurgeEntry& entry) { all.push_back(entry); });
    if (submittedPosition_) all.push_back({PurgeEntry::Kind::busPosition, 0, *submittedPosition_});
    logEntries_ = all.size();
    worker_.rewritePurgeLog(std::move(all));
}

void Tier::busBatchReceived(ClockReading now, std::int64_t from, std::int64_t last,
                            std::span<const std::int64_t> numbers, bool complete,
                            std::optional<std::int64_t> upToDateMs) {
    if (purgeFeed_.batchReceived(upToDateMs.value_or(now.monotonicMs), from, last, numbers, complete))
        raiseWatermark(now, "events of the bus are missing");
    submitBusPosition(now);
}

void Tier::submitBusPosition(ClockReading now) {
    const auto position = purgeFeed_.position();
    if (!position || !holdsFolder() || position == submittedPosition_) return;
    // Together with a purge it is written at once, so that the purge need not be received again after a
    // restart; otherwise only at intervals.
    if (purgesPersisted() && submittedPosition_ &&
        now.monotonicMs - positionSubmittedMs_ < kBusPositionIntervalMs)
        return;
    submittedPosition_ = position;
    positionSubmittedMs_ = now.monotonicMs;
    persist({{PurgeEntry::Kind::busPosition, 0, *position}});
}

void Tier::raiseWatermark(ClockReading now, const char* why) {
    ++counters_.watermarksRaised;
    log(std::string("disk tier: what is held can't be proved newer than every purge (") + why + "), dropped");
    // Copies may carry a later time than this machine's clock, which may be behind.
    dropLoadingParts_ = dropLoadingParts_ || state_ == State::loading;
    addPurge({PurgeEntry::Kind::watermark, 0, std::max(now.unixMs, latestCreatedMs_)});
}

void Tier::trackLatestCreated(std::int64_t createdMs) {
    latestCreatedMs_ = std::max(latestCreatedMs_, createdMs);
}

void Tier::handle(ClockReading, PurgesPersisted& done) {
    const bool failed = !done.problem.empty();
    if (failed) ++counters_.logErrors;
    if (failed != purgeLogFailing_)
        log(failed ? "disk tier: " + done.problem + "; nothing is served from it until it can be written"
                   : std::string("disk tier: the purge log can be written again"));
    purgeLogFailing_ = failed;
    persistedUpTo_ = std::max(persistedUpTo_, done.upTo);
}

// ----- starting -----

void Tier::handle(ClockReading now, FolderOpened& done) {
    if (state_ == State::closed) return;
    if (!done.problem.empty()) {
        state_ = done.retryable ? State::waiting : State::off;
        if (done.problem != lastProblem_)
            log("disk tier: " + done.problem +
                (done.retryable ? "; it is tried again" : "; the tier is off"));
        lastProblem_ = done.problem;
        return;
    }
    state_ = State::loading;
    lastProblem_.clear();
    // Purges that this process received before it held the folder; they must be written to the log as well.
    std::vector<PurgeEntry> receivedPurges;
    tombstones_.forEach([&](const PurgeEntry& entry) { receivedPurges.push_back(entry); });
    for (const PurgeEntry& entry : done.entries) tombstones_.add(entry);
    logEntries_ = done.entries.size();
    const PurgeFeedTracker::StartResult started = purgeFeed_.start(options_.purges, done.busPosition);
    if (done.damaged)
        raiseWatermark(now, "the purge log is damaged");
    else if (started.raiseWatermark && !done.empty)
        raiseWatermark(now, "no bus tells what was purged meanwhile");
    if (!receivedPurges.empty())
        persist(std::move(receivedPurges));  // after the watermark, which repairs a damaged log
    if (started.resumeFrom) callbacks_.resumeBusFrom(*started.resumeFrom);
    submitBusPosition(now);  // events may have been received before the folder was opened
}

void Tier::handle(ClockReading, SegmentLoaded& done) {
    if (!done.problem.empty()) {
        ++counters_.readErrors;
        log("disk tier: " + done.problem);
    }
    if (done.tornTail) {
        ++counters_.tornTails;
        log("disk tier: " + segmentFile(done.name) + " ends in the middle of a record, which is dropped");
    }
    for (const Part& part : done.parts) trackLatestCreated(part.createdMs);
    if (dropLoadingParts_ && latestCreatedMs_ > tombstones_.watermarkMs())
        addPurge({PurgeEntry::Kind::watermark, 0, latestCreatedMs_});
    // If the index is full, the remaining parts are garbage and are removed with their segment.
    for (const Part& part : done.parts) catalog_.partLoaded(part, done.name.queue);
    catalog_.segmentLoaded(done.name.number, done.name.queue, done.bytes);
}

void Tier::handle(ClockReading, LoadFinished&) {
    if (state_ != State::loading) return;
    state_ = State::ready;
    dropLoadingParts_ = false;
    sweeping_ = true;
    log("disk tier: " + std::to_string(catalog_.parts()) + " parts in " +
        std::to_string(catalog_.segments()) + " segments at " + options_.folder);
}

}  // namespace lotuslead::disk
