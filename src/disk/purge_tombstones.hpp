// Which copies are too old: what purges have said, and what could not be proved. No I/O and no clock; used on
// the loop's thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

namespace lotuslead::disk {

// One line of the purge log.
struct PurgeEntry {
    enum class Kind : std::uint8_t { object = 1, group = 2, watermark = 3, busPosition = 4 };
    Kind kind = Kind::watermark;
    std::uint64_t target = 0;  // the object's fingerprint, or the group
    std::int64_t atMs = 0;     // Unix milliseconds; position: the last event of the bus that was applied
    bool operator==(const PurgeEntry&) const = default;
};

class PurgeTombstones {
public:
    // At most so many objects and as many groups are told apart. `slackMs`: a copy must be younger than a
    // mark by more than this, since the clocks of two machines differ.
    PurgeTombstones(std::size_t maxEntries, std::int64_t clockSkewMs)
        : maxEntries_(maxEntries), clockSkewMs_(clockSkewMs) {}

    // Positions are passed over.
    void add(const PurgeEntry& entry);
    // Whether a copy of then may be older than a purge.
    [[nodiscard]] bool covers(std::uint64_t object, std::int64_t group, std::int64_t createdMs) const;
    // As that by the folded names of an index, which may take one name for another: never too few.
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
    std::int64_t watermarkMs_ = 0;  // zero: none
    std::unordered_map<std::uint64_t, std::int64_t> objects_;
    std::unordered_map<std::int64_t, std::int64_t> groups_;
    // The same by the halves that an index holds: the youngest of those that share one.
    std::unordered_map<std::uint32_t, std::int64_t> objectsByHash_, groupsByHash_;
};

std::uint32_t objectHash32(std::uint64_t object);
std::uint32_t groupHash32(std::int64_t group);

// Whether all purges up to now are known, also those told while no process held the folder.
class PurgeFeedTracker {
public:
    struct Options {
        bool bus = false;               // there is one
        bool keepsPositions = false;    // its numbers hold across our starts
        std::int64_t maxSilenceMs = 0;  // unheard for so long, it may have told what we don't know
    };
    struct StartResult {
        bool raiseWatermark = false;             // what is held can't be proved
        std::optional<std::int64_t> resumeFrom;  // the reader must go back to here
    };

    // `logged`: the position in the purge log; none: no bus has ever been applied to this folder.
    [[nodiscard]] StartResult start(Options options, std::optional<std::int64_t> loggedPosition);
    // A batch asked for from behind `from` had these numbers and ended at `last`. True: events are missing,
    // and the floor must rise. `nowMs` is monotonic, in milliseconds. Not `complete`: the bus has more to
    // tell, so that nothing is proved before that has come.
    [[nodiscard]] bool batchReceived(std::int64_t nowMs, std::int64_t from, std::int64_t last,
                                     std::span<const std::int64_t> eventNumbers, bool complete = true);
    // Whether there is a bus, and its silence, from now on.
    void reconfigure(bool bus, std::int64_t maxSilenceMs) {
        options_.bus = bus;
        options_.maxSilenceMs = maxSilenceMs;
    }

    [[nodiscard]] bool isCurrent(std::int64_t nowMs) const;
    // Up to which all is known; none while the reader has yet to go back.
    std::optional<std::int64_t> position() const { return resumeFrom_ ? std::nullopt : position_; }

private:
    Options options_;
    std::optional<std::int64_t> resumeFrom_;  // what is behind this must be told first
    std::optional<std::int64_t> position_;    // applied
    std::optional<std::int64_t> lastHeardMs_;
    bool started_ = false;
};

}  // namespace lotuslead::disk
