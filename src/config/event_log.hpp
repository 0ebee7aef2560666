// The log of what gateways read: changes of boxes and purges, numbered without gaps. Events are kept by time,
// so that a reader that was cut off for as long finds all it missed, and are read in pages of bounded size.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "history.hpp"

namespace lotuslead::config {

inline constexpr std::string_view kBoxPrefix = "boxes/", kPurgePrefix = "purges/";

inline bool hasPrefix(std::string_view key, std::string_view prefix) {
    return key.substr(0, prefix.size()) == prefix;
}

struct Event {
    std::int64_t offset = 0;        // from 1 up, by the log
    std::int64_t recordedAtMs = 0;  // Unix milliseconds, by the clock of the commands
    Revision revision = 0;          // of the transaction
    std::string key;
    std::int64_t purgedAtMs = 0;        // of a purge, Unix milliseconds
    std::optional<nlohmann::json> box;  // none at a change of a box: it is removed

    bool isPurge() const { return hasPrefix(key, kPurgePrefix); }
};

class EventLog {
public:
    struct Bounds {
        std::int64_t retentionMs =
            std::int64_t{2} * 3600 * 1000;  // an hour's cut, and as much again to come back in
        std::size_t minEvents = 16'384;     // events that are kept however old they are
        std::size_t maxEvents = 400'000;    // and never more than that: 4 hours of 26 purges a second
    };
    // Far under what a reader takes, so that neither side is held up by one page.
    static constexpr std::size_t kPageBytes = std::size_t{128} * 1024;
    // A page ends at a multiple of these: readers that began anywhere soon ask for the same ones.
    static constexpr std::int64_t kPageEvents = 1024;

    // Some of the events in the form of the event bus, with commas between them.
    struct Page {
        std::int64_t endOffset = 0;  // the last one's number
        std::string batch;
        bool cacheable = false;  // who asks again gets the same, whatever happens meanwhile
    };

    explicit EventLog(const Bounds& bounds) : bounds_(bounds) {}

    void append(Event event);
    // Takes out the oldest event, if it has outlived its time or its room; none: all stay.
    std::optional<Event> removeExpired(std::int64_t nowMs);

    std::int64_t last() const { return last_; }
    std::size_t size() const { return events_.size(); }
    const std::deque<Event>& events() const { return events_; }

    // `{"offset":N,"last":L,"batch":[...]}`: what follows `from`, about so many bytes at most. N is the
    // number to go on from, L the last one there is. Where some of what follows is not held any more, the
    // whole list of boxes comes first, as of the events that are gone.
    std::string page(std::int64_t from, std::size_t bytes = kPageBytes) const {
        return encodePage(read(from, bytes));
    }
    Page read(std::int64_t from, std::size_t bytes = kPageBytes) const;
    std::string encodePage(const Page& page) const;

    // `createdAt`: the revision at which the document that an event's transaction wrote was made; 0: it is
    // another one's by now, or gone.
    using CreationRevisionOf = std::function<Revision(const Event&)>;
    std::string dump(const CreationRevisionOf& creationRevisionOf) const;
    using RestoredCallback = std::function<void(const Event&, Revision createdRevision)>;
    void load(const nlohmann::json& dumped,
              const RestoredCallback& restored);  // throws where it is not of that form
    // The form of snapshots before this one had numbers, keys and values only.
    void loadFormat2(const nlohmann::json& snapshot, const RestoredCallback& restored);

private:
    std::int64_t baseOffset() const { return last_ - static_cast<std::int64_t>(events_.size()); }

    Bounds bounds_;
    std::deque<Event> events_;
    std::int64_t last_ = 0;
    std::map<std::string, nlohmann::json> baseBoxes_;  // as of the event before the first that is held
};

}  // namespace lotuslead::config
