#include "caching_transport.hpp"

#include <algorithm>

namespace lotuslead::disk {

namespace {

std::int64_t msOf(core::Micros t) { return std::chrono::duration_cast<std::chrono::milliseconds>(t).count(); }

}  // namespace

TierOptions tierOptions(const settings::DiskSettings& s, bool bus) {
    using Settings = settings::DiskSettings;
    const auto megabytes = [](std::int64_t n) { return static_cast<std::uint64_t>(n) << 20; };
    TierOptions options;
    options.folder = s.folder;
    options.catalog.capacityBytes = megabytes(s.capacityMb);
    options.catalog.segmentBytes = static_cast<std::uint32_t>(megabytes(s.segmentMb));
    options.catalog.maxParts = static_cast<std::size_t>(s.maxParts);
    options.catalog.probationShare = s.probationShare;
    options.catalog.rewriteShare = s.rewriteShare;
    options.catalog.admissionHistory =
        s.admissionHistory == Settings::AdmissionHistory::ghost    ? AdmissionHistory::ghost
        : s.admissionHistory == Settings::AdmissionHistory::sketch ? AdmissionHistory::sketch
                                                                   : AdmissionHistory::none;
    options.worker.queueBytes = megabytes(s.queueMb);
    options.worker.maxQueuedReads = static_cast<std::size_t>(s.maxQueuedReads);
    options.worker.sync = s.sync == Settings::SyncPolicy::never    ? SyncPolicy::never
                          : s.sync == Settings::SyncPolicy::sealed ? SyncPolicy::sealed
                                                                   : SyncPolicy::each;
    options.worker.tables = s.tables;
    options.maxTombstones = static_cast<std::size_t>(s.maxPurgeEntries);
    options.purgeClockSkewMs = s.purgeClockSkewMs;
    options.purges = {bus, s.busKeepsPositions, s.maxBusSilenceMs};
    return options;
}

void CachingTransport::attachTier(Tier* tier, const settings::DiskSettings& settings,
                                  const LinkPacer& pacer) {
    tier_ = tier;
    readTimeout_ = std::chrono::milliseconds{settings.readTimeoutMs};
    pacer_ = pacer;
}

void CachingTransport::reconfigure(const std::vector<ClassSettings>* classes, std::uint64_t variant,
                                   const LinkPacer& pacer) {
    classes_ = classes;
    keyVariant_ = variant;
    pacer_ = pacer;
}

ClockReading CachingTransport::clockReadingAt(Micros now) const {
    return {msOf(now), msOf(now + unixAhead_)};
}

// Only requests for a named object, without a body and without side effects, whose class allows stored
// copies.
bool CachingTransport::isCacheable(const core::Request& request) const {
    if (tier_ == nullptr || classes_ == nullptr || request.object.empty() || !request.body.empty())
        return false;
    if (!request.span.empty()) return false;  // copies are kept by part
    const ClassSettings& c = classes_->at(static_cast<std::size_t>(request.classIndex));
    return !c.uncacheable && c.effect == Effect::safe && !c.streamed;
}

// The age limits are rounded down to milliseconds, so that a copy within the rounded limit is also within the
// exact one.
std::int64_t CachingTransport::maxCopyAgeMs(const core::Request& request, const core::Decision& send) const {
    const ClassSettings& c = classes_->at(static_cast<std::size_t>(request.classIndex));
    std::int64_t limitMs = msOf(std::chrono::duration_cast<Micros>(c.freshFor));
    if (send.maxCopyAge.count() > 0) {
        const std::int64_t requestedMs = std::max<std::int64_t>(1, msOf(send.maxCopyAge));
        limitMs = limitMs > 0 ? std::min(limitMs, requestedMs) : requestedMs;
    }
    return limitMs;
}

void CachingTransport::send(Micros now, const core::Request& request, const core::Decision& send) {
    if (!isCacheable(request)) return inner_.send(now, request, send);
    now_ = now;
    const bool inParts = classes_->at(static_cast<std::size_t>(request.classIndex)).inParts;
    Key key{request.object, request.className, request.group, request.part, inParts ? keyVariant_ : 0};
    ++counters_.lookups;
    const RequestId id = request.id;
    const std::uint64_t lookupId =
        tier_->lookUp(clockReadingAt(now), key, maxCopyAgeMs(request, send),
                      [this, id](std::optional<Copy> copy) { lookupDone(id, std::move(copy)); });
    if (lookupId == 0) return forward(now, request, send, std::move(key));
    const Micros deadline = now + readTimeout_;
    lookupDeadlines_.emplace(deadline, id);
    lookups_.insert_or_assign(id, PendingLookup{&request, send, std::move(key), lookupId, deadline});
}

void CachingTransport::forward(Micros now, const core::Request& request, const core::Decision& send,
                               Key key) {
    fetches_.insert_or_assign(request.id, PendingFetch{std::move(key), send.attempt, send.localKeepRank});
    inner_.send(now, request, send);
}

void CachingTransport::lookupDone(RequestId id, std::optional<Copy> copy) {
    const auto at = lookups_.find(id);
    if (at == lookups_.end()) return;
    PendingLookup lookup = std::move(at->second);
    lookups_.erase(at);
    core::AttemptResult end;
    end.request = id;
    end.attempt = lookup.send.attempt;
    if (!copy || !moveUsableCopy(*lookup.request, lookup.key, std::move(*copy), end.payload))
        return forward(now_, *lookup.request, lookup.send, std::move(lookup.key));
    ++counters_.served;
    if (end.payload.unchanged) ++counters_.unchanged;
    end.servedLocally = true;
    end.outcome = Outcome::served;
    end.cacheStatus = CacheStatus::hit;
    ended_(std::move(end));
}

// Returns false if the copy must not, or cannot in time, answer the request.
bool CachingTransport::moveUsableCopy(const core::Request& request, const Key& key, Copy&& copy,
                                      core::Payload& payload) {
    payload.createdMs = copy.createdMs;
    payload.metadata = std::move(copy.metadata);
    payload.body = std::move(copy.body);
    // An earlier version of the program may have kept what is not storable now.
    if (!traits_.storable(key, payload)) {
        ++counters_.notStorable;
        return false;
    }
    const std::string tag = traits_.tagMetadataName
                                ? core::findMetadata(payload.metadata, traits_.tagMetadataName)
                                : std::string{};
    payload.unchanged = !tag.empty() && tag == request.knownTag;
    // An answer that only confirms the client's tag costs a twentieth of the bytes on the link.
    const std::size_t bytes = payload.unchanged ? payload.body.size() / 20 : payload.body.size();
    if (pacer_.finishTime(now_, bytes) > request.deadline) {
        ++counters_.linkFull;
        return false;
    }
    pacer_.reserve(now_, bytes);
    if (payload.unchanged) payload.body.clear();
    return true;
}

bool CachingTransport::cancel(Micros now, RequestId request, int attempt) {
    const auto lookup = lookups_.find(request);
    if (lookup != lookups_.end() && lookup->second.send.attempt == attempt) {
        tier_->cancelLookup(lookup->second.lookupId);
        lookups_.erase(lookup);
        return true;
    }
    const auto fetch = fetches_.find(request);
    if (fetch != fetches_.end() && fetch->second.attempt == attempt) fetches_.erase(fetch);
    return inner_.cancel(now, request, attempt);
}

void CachingTransport::ended(Micros now, core::AttemptResult end) {
    now_ = now;
    const auto at = fetches_.find(end.request);
    if (at != fetches_.end() && at->second.attempt == end.attempt) {
        const PendingFetch fetch = std::move(at->second);
        fetches_.erase(at);
        const bool fetched = end.outcome == Outcome::served && !end.payload.unchanged && tier_ != nullptr;
        if (fetched && traits_.storable(fetch.key, end.payload)) {
            // The payload is moved into the copy and back: most offers are rejected, and copying it each time
            // would be wasted.
            Copy copy{end.payload.createdMs, std::move(end.payload.metadata), std::move(end.payload.body)};
            tier_->offer(clockReadingAt(now), fetch.key, fetch.rank, copy);
            end.payload.metadata = std::move(copy.metadata);
            end.payload.body = std::move(copy.body);
        }
    }
    ended_(std::move(end));
}

void CachingTransport::turn(Micros now) {
    now_ = now;
    while (!lookupDeadlines_.empty() && lookupDeadlines_.begin()->first <= now) {
        const auto [deadline, id] = *lookupDeadlines_.begin();
        lookupDeadlines_.erase(lookupDeadlines_.begin());
        const auto at = lookups_.find(id);
        if (at == lookups_.end() || at->second.deadline != deadline) continue;
        ++counters_.slowReads;
        tier_->cancelLookup(at->second.lookupId);
        const PendingLookup lookup = std::move(at->second);
        lookups_.erase(at);
        forward(now, *lookup.request, lookup.send, lookup.key);
    }
    if (tier_ != nullptr) tier_->turn(clockReadingAt(now));
}

core::Micros CachingTransport::nextTurn() const {
    if (tier_ != nullptr && tier_->hasMoreWork()) return now_;
    return lookupDeadlines_.empty() ? Micros::max() : lookupDeadlines_.begin()->first;
}

}  // namespace lotuslead::disk
