// Changes that were made, latest last: bounded by their number and by their size.
#pragma once

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lotuslead::config {

using Revision = std::uint64_t;  // of the whole tree; grows by one with each transaction that changes it

struct Change {
    std::string key;
    std::optional<nlohmann::json> value;  // none: the document goes
};

nlohmann::json changesToJson(const std::vector<Change>& changes);
// Throws nlohmann::json::exception where it is not of that form.
std::vector<Change> changesFromJson(const nlohmann::json& list);

// One transaction, as it was applied.
struct HistoryEntry {
    Revision revision = 0;
    std::int64_t atMs = 0;  // Unix milliseconds, by the agent that proposed it
    std::string author;     // who asked
    std::vector<Change> changes;
};

class History {
public:
    struct Bounds {
        std::size_t entries = 0;
        std::size_t bytes = 0;  // about what the entries take
    };

    explicit History(const Bounds& bounds) : bounds_(bounds) {}

    // The last entry always stays, however large.
    void add(HistoryEntry entry);
    const std::deque<HistoryEntry>& entries() const { return entries_; }
    // All behind this revision is held.
    Revision completeFrom() const { return completeFrom_; }
    void setCompleteFrom(Revision revision) { completeFrom_ = revision; }

    nlohmann::json toJson() const;
    void fromJson(const nlohmann::json& list);  // throws as changesFromJson does

private:
    Bounds bounds_;
    std::deque<HistoryEntry> entries_;
    std::deque<std::size_t> sizes_;
    std::size_t bytes_ = 0;
    Revision completeFrom_ = 0;
};

}  // namespace lotuslead::config
