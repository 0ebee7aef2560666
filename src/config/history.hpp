// History of applied changes, oldest first, bounded by number and size.
#pragma once

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lotuslead::config {

using Revision = std::uint64_t;  // of the whole tree; incremented by each transaction that changes it

struct Change {
    std::string key;
    std::optional<nlohmann::json> value;  // empty: the document is deleted
};

nlohmann::json changesToJson(const std::vector<Change>& changes);
// Throws nlohmann::json::exception if the list has another format.
std::vector<Change> changesFromJson(const nlohmann::json& list);

// One applied transaction.
struct HistoryEntry {
    Revision revision = 0;
    std::int64_t atMs = 0;  // Unix milliseconds, set by the agent that proposed it
    std::string author;     // as given by the client
    std::vector<Change> changes;
};

class History {
public:
    struct Bounds {
        std::size_t entries = 0;
        std::size_t bytes = 0;  // approximate memory of the entries
    };

    explicit History(const Bounds& bounds) : bounds_(bounds) {}

    // The newest entry is always retained, whatever its size.
    void add(HistoryEntry entry);
    const std::deque<HistoryEntry>& entries() const { return entries_; }
    // All entries with a greater revision are retained.
    Revision completeFrom() const { return completeFrom_; }
    void setCompleteFrom(Revision revision) { completeFrom_ = revision; }

    nlohmann::json toJson() const;
    void fromJson(const nlohmann::json& list);  // throws like changesFromJson

private:
    Bounds bounds_;
    std::deque<HistoryEntry> entries_;
    std::deque<std::size_t> sizes_;
    std::size_t bytes_ = 0;
    Revision completeFrom_ = 0;
};

}  // namespace lotuslead::config
