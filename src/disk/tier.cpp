#include "tier.hpp"

#include <algorithm>

namespace lotuslead::disk {

namespace {

constexpr std::size_t kSweepSlice = 4096;  // parts a turn: well under a millisecond
constexpr std::size_t kVersions = 4096;    // objects whose version is remembered
constexpr int kFailuresToPause = 3;        // writes in a row
constexpr std::int64_t kFirstPauseMs = 1000, kLongestPauseMs = 60'000;
constexpr std::int64_t kPositionEveryMs = 1000;  // where no purge carries it along
constexpr std::uint64_t kLongLog = 4096;         // lines, and twice the marks: then it is written anew

}  // namespace

Tier::Tier(FileCalls& calls, const TierOptions& options, Callbacks callbacks)
    : options_(options),
      callbacks_(std::move(callbacks)),
      catalog_(options.catalog),
      tombstones_(options.maxPurgeEntries, options.purgeClockSkewMs),
      versions_(kVersions),
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
        std::visit([&](auto& told) { take(now, told); }, completion);
    if (state_ != State::ready) return;
    if (sweeping_ && catalog_.sweep(tombstones_, kSweepSlice)) sweeping_ = std::exchange(sweepAgain_, false);
    reclaim();
}

void Tier::retryOpen() {
    if (state_ == State::waiting) worker_.retryOpen();
}

void Tier::close() {
    if (state_ == State::closed) return;
    state_ = State::closed;
    worker_.beginClose();
    auto waiting = std::exchange(waiting_, {});
    for (auto& [ticket, one] : waiting) one.found({});
}

void Tier::reconfigure(const TierOptions& options) {
    tombstones_.setClockSkew(options.purgeClockSkewMs);
    purgeFeed_.reconfigure(options.purges.bus, options.purges.maxSilenceMs);
    options_.purgeClockSkewMs = options.purgeClockSkewMs;
    options_.purges = options.purges;
}

// ----- reading -----

// Whether a copy of then may be served now; the only place where that is decided.
bool Tier::servable(ClockReading now, const Key& key, std::int64_t oldestMs, std::int64_t createdMs) {
    if (logFails_ || !purgeFeed_.isCurrent(now.monotonicMs)) {
        ++counters_.unproved;
        return false;
    }
    if (tombstones_.covers(key.objectFingerprint(), key.group, createdMs)) {
        ++counters_.purged;
        return false;
    }
    const std::int64_t age = now.unixMs - createdMs;
    if (age < -options_.purgeClockSkewMs || (oldestMs > 0 && age > oldestMs)) {
        ++counters_.expired;
        return false;
    }
    return true;
}

std::uint64_t Tier::lookUp(ClockReading now, const Key& key, std::int64_t oldestMs, Found found) {
    if (!holdsFolder()) return 0;
    const std::uint64_t fingerprint = key.fingerprint();
    catalog_.recordRequest(fingerprint);
    const auto part = catalog_.findForRead(fingerprint);
    if (!part || !servable(now, key, oldestMs, part->createdMs)) {
        ++counters_.misses;
        return 0;
    }
    const std::uint64_t ticket = nextTicket_++;
    if (!worker_.read({ticket, fingerprint, part->location})) {
        ++counters_.busy;
        ++counters_.misses;
        return 0;
    }
    waiting_.emplace(ticket, Waiting{key, oldestMs, std::move(found)});
    return ticket;
}

void Tier::take(ClockReading now, ReadDone& told) {
    const bool good = told.record.has_value();
    if (!told.problem.empty()) {
        ++counters_.readErrors;
        log("disk tier: " + told.problem);
    }
    if (told.torn) {
        ++counters_.torn;
        log("disk tier: a record in segment " + std::to_string(told.location.segment) + " at byte " +
            std::to_string(told.location.offset) + " is not as it was written, dropped");
    }
    // A part that has moved meanwhile is somewhere else, and stays.
    if (!good) catalog_.partLost(told.fingerprint, told.location);
    const auto at = waiting_.find(told.ticket);
    if (at == waiting_.end()) return;
    Waiting waiting = std::move(at->second);
    waiting_.erase(at);
    // Names may share a fingerprint, and a purge may have come while it was read.
    const bool same = good && told.record->first == waiting.key;
    if (!same || !servable(now, waiting.key, waiting.oldestMs, told.record->second.createdMs) ||
        !isLatest(waiting.key, told.record->second)) {
        ++counters_.misses;
        return waiting.found({});
    }
    ++counters_.hits;
    counters_.hitBytes += told.record->second.body.size();
    waiting.found(std::move(told.record->second));
}

// ----- keeping -----

void Tier::offer(ClockReading now, const Key& key, int rank, const Copy& copy) {
    ++counters_.offered;
    const std::uint64_t object = key.objectFingerprint();
    if (!isLatest(key, copy)) return;
    if (!holdsFolder() || copy.createdMs <= 0) return;
    if (logFails_ || now.monotonicMs < pausedUntilMs_) {
        ++counters_.paused;
        return;
    }
    const std::uint64_t fingerprint = key.fingerprint();
    if (tombstones_.covers(object, key.group, copy.createdMs)) {
        ++counters_.purged;
        return;
    }
    // Fetched only since nothing could be proved just now: what is held will do again.
    if (!purgeFeed_.isCurrent(now.monotonicMs) && catalog_.contains(fingerprint)) return;
    const std::uint64_t bytes = recordBytes(key, copy);
    if (onTheWay_ + bytes > options_.worker.queueBytes) {
        ++counters_.queueFull;
        return;
    }
    const auto queue = catalog_.admit(fingerprint, rank, bytes, onTheWay_);
    if (!queue) return;
    AppendJob job{key, std::make_shared<const Copy>(copy), *queue, rank, bytes};
    if (!worker_.append(std::move(job))) {
        ++counters_.queueFull;
        return;
    }
    onTheWay_ += bytes;
    noteCreated(copy.createdMs);
}

// Parts of two versions must not meet in one download: where two have been seen, what is held of the one seen
// first goes.
bool Tier::isLatest(const Key& key, const Copy& copy) {
    const std::uint64_t version = callbacks_.version(copy.facts);
    if (version == 0) return true;
    const std::uint64_t object = key.objectFingerprint();
    auto [known, had] = versions_.touch(object);
    const bool other = had && known.version != version;
    const bool latest = !other || copy.createdMs >= known.createdMs;
    if (other) {
        ++counters_.superseded;
        addPurge({PurgeEntry::Kind::object, object,
                  std::max(copy.createdMs, known.createdMs) - options_.purgeClockSkewMs - 1});
    }
    if (!had || (latest && copy.createdMs >= known.createdMs)) known = {version, copy.createdMs};
    return latest;
}

void Tier::take(ClockReading, Placed& told) {
    onTheWay_ -= told.bytes;
    writeFailures_ = 0;
    pauseMs_ = 0;
    catalog_.partAppended(told.part, told.queue, told.rank);
}

void Tier::take(ClockReading now, NotPlaced& told) {
    onTheWay_ -= told.bytes;
    ++counters_.writeErrors;
    if (++writeFailures_ < kFailuresToPause) return;
    writeFailures_ = 0;
    pauseMs_ = std::clamp(pauseMs_ * 2, kFirstPauseMs, kLongestPauseMs);
    pausedUntilMs_ = now.monotonicMs + pauseMs_;
    log("disk tier: " + told.problem + "; nothing is admitted for " + std::to_string(pauseMs_ / 1000) + " s");
}

void Tier::take(ClockReading, Sealed& told) {
    catalog_.segmentSealed(told.segment);
    if (!told.problem.empty()) log("disk tier: " + told.problem);
}

// ----- giving space back -----

void Tier::reclaim() {
    auto next = catalog_.nextReclaim(onTheWay_);
    if (!next) return;
    // What a purge covers is not carried on.
    std::erase_if(next->survivors, [&](const Part& part) {
        return tombstones_.mayCover(part.object, part.group, part.createdMs);
    });
    worker_.rewrite({next->segment, next->into, std::move(next->survivors)});
}

void Tier::take(ClockReading, Moved& told) {
    catalog_.partMoved(told.fingerprint, told.from, told.to, told.queue);
}

void Tier::take(ClockReading, Rewritten& told) {
    if (!told.problem.empty()) {
        ++counters_.writeErrors;
        log("disk tier: " + told.problem + "; what a segment had in use goes with it");
    }
    catalog_.dropSegment(told.segment);
    worker_.remove({told.segment});
}

void Tier::take(ClockReading, Removed& told) {
    if (told.problem.empty()) return;
    ++counters_.writeErrors;
    log("disk tier: " + told.problem);
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
    ++counters_.marks;
    (sweeping_ ? sweepAgain_ : sweeping_) = true;
    persist({entry});
}

// Where no folder is held all marks are written when it is.
void Tier::persist(std::vector<PurgeEntry> entries) {
    if (!holdsFolder()) return;
    linesGiven_ += entries.size();
    given_ = worker_.appendPurges(std::move(entries));
    rewriteLogIfLong();
}

void Tier::rewriteLogIfLong() {
    if (linesGiven_ < kLongLog || linesGiven_ < 2 * tombstones_.size()) return;
    std::vector<PurgeEntry> all{{PurgeEntry::Kind::watermark, 0, tombstones_.watermarkMs()}};
    tombstones_.forEach([&](const PurgeEntry& entry) { all.push_back(entry); });
    if (positionGiven_) all.push_back({PurgeEntry::Kind::busPosition, 0, *positionGiven_});
    linesGiven_ = all.size();
    worker_.rewritePurgeLog(std::move(all));
}

void Tier::busBatchReceived(ClockReading now, std::int64_t from, std::int64_t last,
                            std::span<const std::int64_t> numbers, bool complete) {
    if (purgeFeed_.batchReceived(now.monotonicMs, from, last, numbers, complete))
        raiseWatermark(now, "events of the bus are missing");
    givePosition(now);
}

void Tier::givePosition(ClockReading now) {
    const auto position = purgeFeed_.position();
    if (!position || !holdsFolder() || position == positionGiven_) return;
    // With a purge at once, so that it need not be told again; else now and then.
    if (purgesPersisted() && positionGiven_ && now.monotonicMs - positionGivenMs_ < kPositionEveryMs) return;
    positionGiven_ = position;
    positionGivenMs_ = now.monotonicMs;
    persist({{PurgeEntry::Kind::busPosition, 0, *position}});
}

void Tier::raiseWatermark(ClockReading now, const char* why) {
    ++counters_.floors;
    log(std::string("disk tier: what is held can't be proved newer than every purge (") + why + "), dropped");
    // The clock that dated a copy may be ahead of this machine's.
    dropsLoading_ = dropsLoading_ || state_ == State::loading;
    addPurge({PurgeEntry::Kind::watermark, 0, std::max(now.unixMs, latestCreatedMs_)});
}

void Tier::noteCreated(std::int64_t createdMs) { latestCreatedMs_ = std::max(latestCreatedMs_, createdMs); }

void Tier::take(ClockReading, PurgesPersisted& told) {
    const bool failed = !told.problem.empty();
    if (failed) ++counters_.logErrors;
    if (failed != logFails_)
        log(failed ? "disk tier: " + told.problem + "; nothing is served from it until it can be written"
                   : std::string("disk tier: the purge log can be written again"));
    logFails_ = failed;
    keptUpTo_ = std::max(keptUpTo_, told.upTo);
}

// ----- starting -----

void Tier::take(ClockReading now, OpenedFolder& told) {
    if (state_ == State::closed) return;
    if (!told.problem.empty()) {
        state_ = told.retryable ? State::waiting : State::off;
        if (told.problem != problem_)
            log("disk tier: " + told.problem +
                (told.retryable ? "; it is tried again" : "; the tier is off"));
        problem_ = told.problem;
        return;
    }
    state_ = State::loading;
    problem_.clear();
    // First what this process has heard while it had no folder: it goes to the log.
    std::vector<PurgeEntry> heard;
    tombstones_.forEach([&](const PurgeEntry& entry) { heard.push_back(entry); });
    for (const PurgeEntry& entry : told.entries) tombstones_.add(entry);
    linesGiven_ = told.entries.size();
    const PurgeFeedTracker::StartResult started = purgeFeed_.start(options_.purges, told.position);
    if (told.damaged)
        raiseWatermark(now, "the purge log is damaged");
    else if (started.raiseWatermark && !told.empty)
        raiseWatermark(now, "no bus tells what was purged meanwhile");
    if (!heard.empty()) persist(std::move(heard));  // behind the floor, which makes good what is damaged
    if (started.resumeFrom) callbacks_.resumeBusFrom(*started.resumeFrom);
    givePosition(now);  // the bus may have been heard before
}

void Tier::take(ClockReading, LoadedSegment& told) {
    if (!told.problem.empty()) {
        ++counters_.readErrors;
        log("disk tier: " + told.problem);
    }
    if (told.torn) {
        ++counters_.cutTails;
        log("disk tier: " + segmentFile(told.name) + " ends in the middle of a record, which is dropped");
    }
    for (const Part& part : told.parts) noteCreated(part.createdMs);
    if (dropsLoading_ && latestCreatedMs_ > tombstones_.watermarkMs())
        addPurge({PurgeEntry::Kind::watermark, 0, latestCreatedMs_});
    // Too few places in the index: what does not fit is dead, and goes with its segment.
    for (const Part& part : told.parts) catalog_.partLoaded(part, told.name.queue);
    catalog_.segmentLoaded(told.name.number, told.name.queue, told.bytes);
}

void Tier::take(ClockReading, LoadedAll&) {
    if (state_ != State::loading) return;
    state_ = State::ready;
    dropsLoading_ = false;
    sweeping_ = true;
    log("disk tier: " + std::to_string(catalog_.parts()) + " parts in " +
        std::to_string(catalog_.segments()) + " segments at " + options_.folder);
}

}  // namespace lotuslead::disk
