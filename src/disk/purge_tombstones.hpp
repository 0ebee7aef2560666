// Decides which copies are invalidated by purges, and whether all purges are known. No I/O and no clock; used
// on the event loop's thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

namespace lotuslead::disk {

// One entry of the purge log: a purge of an object or a group, a watermark (everything up to its time is
// purged), or the position on the event bus up to which purges are applied. The numbers of the kinds are
// stored on disk.
struct PurgeEntry {
    enum class Kind : std::uint8_t { object = 1, group = 2, watermark = 3, busPosition = 4 };
    Kind kind = Kind::watermark;
    std::uint64_t target = 0;  // the object's fingerprint, or the number of the group
    // Unix milliseconds. For busPosition not a time, but the number of the last event that was applied.
    std::int64_t atMs = 0;
    bool operator==(const PurgeEntry&) const = default;
};

// The purges that copies on disk are checked against, bounded in number: beyond the limit the oldest eighth
// is dropped and the watermark is raised to the latest of those. This may drop valid copies, but serves no
// stale one.
class PurgeTombstones {
public:
    // Holds at most `maxEntries` objects and as many groups. `clockSkewMs`: subtracted from a copy's time
    // before it is compared: the copy must be newer than a purge by more than this, since the clocks of two
    // machines differ.
    PurgeTombstones(std::size_t maxEntries, std::int64_t clockSkewMs)
        : maxEntries_(maxEntries), clockSkewMs_(clockSkewMs) {}

    // Entries of kind busPosition are ignored.
    void add(const PurgeEntry& entry);
    // Whether a copy of this time may be older than a purge that applies to it.
    [[nodiscard]] bool covers(std::uint64_t object, std::int64_t group, std::int64_t createdMs) const;
    // Like covers(), by the 32-bit hashes that an index holds. Collisions give false positives, never false
    // negatives.
    [[nodiscard]] bool mayCover(std::uint32_t object, std::uint32_t group, std::int64_t createdMs) const;

    std::int64_t watermarkMs() const { return watermarkMs_; }
    std::size_t size() const { return objects_.size() + groups_.size(); }
    void setClockSkew(std::int64_t clockSkewMs) { clockSkewMs_ = clockSkewMs; }

    template <class Visit>
    void forEach(Visit visit) const {
        if (watermarkMs_ > 0) visit(PurgeEntry{PurgeEntry::Kind::watermark, 0, watermarkMs_});
        for (const auto& [name, ms] : objects_) visit(PurgeEntry{PurgeEntry::Kind::object, name, ms});
        for (const auto& [name, ms] : groups_)
            visit(PurgeEntry{PurgeEntry::Kind::group, static_cast<std::uint64_t>(name), ms});
    }

private:
    template <class Table>
    void enforceLimit(Table& table);

    bool atOrBelowWatermark(std::int64_t ms) const { return watermarkMs_ > 0 && ms <= watermarkMs_; }

    std::size_t maxEntries_;
    std::int64_t clockSkewMs_;
    std::int64_t watermarkMs_ = 0;  // zero: no watermark
    std::unordered_map<std::uint64_t, std::int64_t> objects_;
    std::unordered_map<std::int64_t, std::int64_t> groups_;
    // The same purges by 32-bit hash, as an index holds it; on a collision the latest purge is kept.
    std::unordered_map<std::uint32_t, std::int64_t> objectsByHash_, groupsByHash_;
};

// The hashes of an object's fingerprint and of a group that a PartIndex holds.
std::uint32_t objectHash32(std::uint64_t object);
std::uint32_t groupHash32(std::int64_t group);

// Tracks whether all purges up to now are known, including those published on the event bus while no process
// held the folder. With a bus, isCurrent() is true once the reader has resumed where start() requested,
// while the last batch was complete and is at most `maxSilenceMs` old. Missing events are reported to the
// caller, which raises the watermark instead. Without a bus, isCurrent() is true once start() was called.
class PurgeFeedTracker {
public:
    struct Options {
        bool bus = false;                  // an event bus is configured
        bool eventNumbersPersist = false;  // the bus keeps its event numbers across restarts of the gateway
        std::int64_t maxSilenceMs = 0;     // after a longer silence of the bus, purges may have been missed
    };
    struct StartResult {
        // The copies on disk may have missed purges: the caller must raise the watermark to a time at or
        // after that of every copy.
        bool raiseWatermark = false;
        // The bus reader must resume after this event number.
        std::optional<std::int64_t> resumeFrom;
    };

    // `loggedPosition`: the bus position in the purge log; none if no event was ever applied to this folder.
    [[nodiscard]] StartResult start(Options options, std::optional<std::int64_t> loggedPosition);
    // A batch of the events after number `from` was received; it ended at number `last` and held the events
    // with these numbers. Returns true when events are missing, so that the watermark must be raised. `nowMs`
    // is monotonic. If not `complete`, the bus has more events: isCurrent() is false until a complete batch.
    [[nodiscard]] bool batchReceived(std::int64_t nowMs, std::int64_t from, std::int64_t last,
                                     std::span<const std::int64_t> eventNumbers, bool complete = true);
    void reconfigure(bool bus, std::int64_t maxSilenceMs) {
        options_.bus = bus;
        options_.maxSilenceMs = maxSilenceMs;
    }

    // Whether copies may be served: no purge can have been missed.
    [[nodiscard]] bool isCurrent(std::int64_t nowMs) const;
    // The event number up to which all purges are known; none until the reader has gone back as start()
    // requested.
    std::optional<std::int64_t> position() const { return resumeFrom_ ? std::nullopt : position_; }

private:
    Options options_;
    std::optional<std::int64_t> resumeFrom_;   // events after this number must be received first
    std::optional<std::int64_t> position_;     // number of the last event that was applied
    std::optional<std::int64_t> lastHeardMs_;  // of the last batch, monotonic; none if it was not complete
    bool started_ = false;                     // start() was called
};

}  // namespace lotuslead::disk
