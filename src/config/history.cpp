#include "history.hpp"

#include <utility>

namespace lotuslead::config {

using nlohmann::json;

namespace {

constexpr std::size_t kChangeOverheadBytes = 64;  // added to the sizes of key and value

std::size_t sizeOf(const HistoryEntry& entry) {
    std::size_t bytes = 0;
    for (const Change& change : entry.changes) {
        const std::size_t value = change.value ? change.value->dump().size() : 0;
        bytes += change.key.size() + value + kChangeOverheadBytes;
    }
    return bytes;
}

}  // namespace

json changesToJson(const std::vector<Change>& changes) {
    json list = json::array();
    for (const Change& change : changes) {
        json one = {{"key", change.key}};
        if (change.value) one["value"] = *change.value;
        list.push_back(std::move(one));
    }
    return list;
}

std::vector<Change> changesFromJson(const json& list) {
    std::vector<Change> changes;
    for (const json& one : list) {
        Change& change = changes.emplace_back();
        change.key = one.at("key");
        if (one.contains("value")) change.value = one["value"];
    }
    return changes;
}

void History::add(HistoryEntry entry) {
    const std::size_t size = sizeOf(entry);
    entries_.push_back(std::move(entry));
    sizes_.push_back(size);
    bytes_ += size;
    while (entries_.size() > 1 && (entries_.size() > bounds_.entries || bytes_ > bounds_.bytes)) {
        completeFrom_ = entries_.front().revision;
        bytes_ -= sizes_.front();
        entries_.pop_front();
        sizes_.pop_front();
    }
}

json History::toJson() const {
    json list = json::array();
    for (const HistoryEntry& entry : entries_)
        list.push_back({entry.revision, entry.atMs, entry.author, changesToJson(entry.changes)});
    return list;
}

void History::fromJson(const json& list) {
    for (const json& entry : list) add({entry.at(0), entry.at(1), entry.at(2), changesFromJson(entry.at(3))});
}

}  // namespace lotuslead::config
