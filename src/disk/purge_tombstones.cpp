#include "purge_tombstones.hpp"

#include <algorithm>
#include <vector>

#include "../support/hash.hpp"

namespace lotuslead::disk {

std::uint32_t objectHash32(std::uint64_t object) { return static_cast<std::uint32_t>(object >> 32); }
std::uint32_t groupHash32(std::int64_t group) {
    return static_cast<std::uint32_t>(mix(static_cast<std::uint64_t>(group) + 0x51ed27f1) >> 32);
}

namespace {

template <class Table, class Name>
void raiseTo(Table& table, Name name, std::int64_t ms) {
    const auto [at, isNew] = table.emplace(name, ms);
    if (!isNew) at->second = std::max(at->second, ms);
}

template <class Table, class Name>
bool covered(const Table& table, Name name, std::int64_t ms) {
    const auto found = table.find(name);
    return found != table.end() && ms <= found->second;
}

}  // namespace

void PurgeTombstones::add(const PurgeEntry& purge) {
    switch (purge.kind) {
        case PurgeEntry::Kind::object:
            if (atOrBelowWatermark(purge.atMs)) return;
            raiseTo(objects_, purge.target, purge.atMs);
            raiseTo(objectsByHash_, objectHash32(purge.target), purge.atMs);
            return enforceLimit(objects_);
        case PurgeEntry::Kind::group: {
            if (atOrBelowWatermark(purge.atMs)) return;
            const auto group = static_cast<std::int64_t>(purge.target);
            raiseTo(groups_, group, purge.atMs);
            raiseTo(groupsByHash_, groupHash32(group), purge.atMs);
            return enforceLimit(groups_);
        }
        case PurgeEntry::Kind::watermark:
            watermarkMs_ = std::max(watermarkMs_, purge.atMs);
            return;
        case PurgeEntry::Kind::busPosition:
            return;
    }
}

// Drops the oldest eighth of the purges and raises the watermark to the latest of them. This may drop copies
// that are still valid, but never serves a stale one.
template <class Table>
void PurgeTombstones::enforceLimit(Table& table) {
    if (table.size() <= maxEntries_) return;
    std::vector<std::int64_t> times;
    times.reserve(table.size());
    for (const auto& [name, ms] : table) times.push_back(ms);
    const auto cut = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 8);
    std::nth_element(times.begin(), cut, times.end());
    watermarkMs_ = std::max(watermarkMs_, *cut);
    const auto under = [&](const auto& entry) { return entry.second <= watermarkMs_; };
    std::erase_if(objects_, under);
    std::erase_if(groups_, under);
    std::erase_if(objectsByHash_, under);
    std::erase_if(groupsByHash_, under);
}

bool PurgeTombstones::covers(std::uint64_t object, std::int64_t group, std::int64_t createdMs) const {
    const std::int64_t ms = createdMs - clockSkewMs_;
    return atOrBelowWatermark(ms) || covered(objects_, object, ms) || covered(groups_, group, ms);
}

bool PurgeTombstones::mayCover(std::uint32_t object, std::uint32_t group, std::int64_t createdMs) const {
    const std::int64_t ms = createdMs - clockSkewMs_;
    return atOrBelowWatermark(ms) || covered(objectsByHash_, object, ms) || covered(groupsByHash_, group, ms);
}

PurgeFeedTracker::StartResult PurgeFeedTracker::start(Options options,
                                                      std::optional<std::int64_t> loggedPosition) {
    options_ = options;
    started_ = true;
    StartResult result;
    if (!options.bus) {
        result.raiseWatermark =
            loggedPosition.has_value();  // a bus that is no longer configured may have published purges
    } else if (!options.eventNumbersPersist || !loggedPosition) {
        result.raiseWatermark = true;
    } else if (!position_ || *position_ != *loggedPosition) {
        resumeFrom_ = loggedPosition;
        lastHeardMs_.reset();
        result.resumeFrom = loggedPosition;
    }
    return result;
}

bool PurgeFeedTracker::batchReceived(std::int64_t nowMs, std::int64_t from, std::int64_t last,
                                     std::span<const std::int64_t> eventNumbers, bool complete) {
    bool missing = false;
    if (resumeFrom_) {
        if (from > *resumeFrom_) return false;  // the batch was requested before the reader went back
        missing = last < *resumeFrom_;          // event numbers are behind ours: this is another bus
        resumeFrom_.reset();
    } else if (position_ && from > *position_) {
        missing = true;
    }
    std::int64_t next = from;
    for (const std::int64_t eventNumber : eventNumbers) {
        if (eventNumber <= next) continue;
        missing = missing || eventNumber != next + 1;
        next = eventNumber;
    }
    missing = missing || next < last;
    position_ = std::max(last, next);
    lastHeardMs_ = complete ? std::optional(std::max(nowMs, lastHeardMs_.value_or(nowMs))) : std::nullopt;
    return missing;
}

bool PurgeFeedTracker::isCurrent(std::int64_t nowMs) const {
    if (!started_) return false;
    if (!options_.bus) return true;
    return !resumeFrom_ && lastHeardMs_ && nowMs - *lastHeardMs_ <= options_.maxSilenceMs;
}

}  // namespace lotuslead::disk
