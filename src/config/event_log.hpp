// Log of the changes of boxes and purges that gateways read, numbered without gaps. A box is the document
// of one store's server (`boxes/NAME`). Events are retained by age, so that a reader that was disconnected
// for less than that time misses nothing, and are read in pages of bounded size.
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
    std::int64_t offset = 0;        // assigned by the log, starting at 1
    std::int64_t recordedAtMs = 0;  // Unix milliseconds, taken from the commands' timestamps
    Revision revision = 0;          // of the transaction that caused it
    std::string key;
    std::int64_t purgedAtMs = 0;        // Unix milliseconds; purges only
    std::optional<nlohmann::json> box;  // empty if the box was removed, and for purges

    bool isPurge() const { return hasPrefix(key, kPurgePrefix); }
};

class EventLog {
public:
    struct Bounds {
        std::int64_t retentionMs =
            std::int64_t{2} * 3600 * 1000;  // covers an outage of one hour, and one more hour to reconnect
        std::size_t minEvents = 16'384;     // retained regardless of age
        std::size_t maxEvents = 400'000;    // hard limit: about 4 hours of 26 purges per second
    };
    // Far below the largest answer that a reader accepts, so that one page delays neither side.
    static constexpr std::size_t kPageBytes = std::size_t{128} * 1024;
    // Pages end at multiples of this offset, so that readers that started at different offsets soon request
    // the same pages.
    static constexpr std::int64_t kPageEvents = 1024;

    // Consecutive events in the event bus's format, separated by commas.
    struct Page {
        std::int64_t endOffset = 0;  // offset of the last event in the page
        std::string batch;
        bool cacheable = false;  // the page for the same start offset will never change
    };

    explicit EventLog(const Bounds& bounds) : bounds_(bounds) {}

    void append(Event event);
    // Removes and returns the oldest event if it is older than the retention time or exceeds the size
    // limit. Returns nothing if all events stay.
    std::optional<Event> removeExpired(std::int64_t nowMs);

    std::int64_t last() const { return last_; }
    std::size_t size() const { return events_.size(); }
    const std::deque<Event>& events() const { return events_; }

    // Returns `{"offset":N,"last":L,"batch":[...]}` with the events after `from`, about `bytes` in size. N
    // is the offset to continue from, L the offset of the newest event. If some of the requested events
    // have expired, the batch begins with the full list of boxes as of the last expired event.
    std::string page(std::int64_t from, std::size_t bytes = kPageBytes) const {
        return encodePage(read(from, bytes));
    }
    Page read(std::int64_t from, std::size_t bytes = kPageBytes) const;
    std::string encodePage(const Page& page) const;

    // Returns the revision at which the document written by the event's transaction was created, or 0 if
    // that document has been deleted or overwritten since.
    using CreationRevisionOf = std::function<Revision(const Event&)>;
    std::string dump(const CreationRevisionOf& creationRevisionOf) const;
    using RestoredCallback = std::function<void(const Event&, Revision createdRevision)>;
    void load(const nlohmann::json& dumped,
              const RestoredCallback& restored);  // throws if `dumped` has another format
    // Loads snapshot format 2, whose events had offsets, keys and values only.
    void loadFormat2(const nlohmann::json& snapshot, const RestoredCallback& restored);

private:
    std::int64_t baseOffset() const { return last_ - static_cast<std::int64_t>(events_.size()); }

    Bounds bounds_;
    std::deque<Event> events_;
    std::int64_t last_ = 0;
    std::map<std::string, nlohmann::json> baseBoxes_;  // boxes as of the event before the first retained one
};

}  // namespace lotuslead::config
