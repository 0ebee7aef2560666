#include "event_log.hpp"

#include <algorithm>
#include <utility>

namespace lotuslead::config {

using nlohmann::json;

namespace {

constexpr std::string_view kObjectPrefix = "purges/object/", kGroupPrefix = "purges/group/";

// Appends a JSON string. Keys are printable, and most need no escaping, which this path is optimized for.
void appendQuoted(std::string& text, const std::string& key) {
    if (key.find_first_of("\"\\") != std::string::npos) {
        text += json(key).dump();
        return;
    }
    text += '"';
    text += key;
    text += '"';
}

// Converts an event to the event bus's format.
json toBusEvent(const Event& event) {
    if (event.isPurge()) {
        json ban = {{"ts", event.purgedAtMs}};
        if (hasPrefix(event.key, kObjectPrefix))
            ban["url"] = event.key.substr(kObjectPrefix.size());
        else
            ban["tag"] = std::stoll(event.key.substr(kGroupPrefix.size()));
        return {{"offset", event.offset}, {"ban", ban}};
    }
    json box = event.box.value_or(json{{"status", "removed"}});
    box["name"] = event.key.substr(kBoxPrefix.size());
    return {{"offset", event.offset},
            {"topology", {{"index", event.offset}, {"snapshot", false}, {"endpoints", json::array({box})}}}};
}

json fullListEvent(std::int64_t offset, const std::map<std::string, json>& boxes) {
    json endpoints = json::array();
    for (const auto& [key, value] : boxes) {
        json box = value;
        box["name"] = key.substr(kBoxPrefix.size());
        endpoints.push_back(std::move(box));
    }
    return {{"offset", offset},
            {"topology", {{"index", offset}, {"snapshot", true}, {"endpoints", endpoints}}}};
}

}  // namespace

void EventLog::append(Event event) {
    event.offset = ++last_;
    events_.push_back(std::move(event));
}

std::optional<Event> EventLog::removeExpired(std::int64_t nowMs) {
    if (events_.size() <= bounds_.minEvents) return {};
    const bool old = events_.front().recordedAtMs + bounds_.retentionMs <= nowMs;
    if (!old && events_.size() <= bounds_.maxEvents) return {};
    Event event = std::move(events_.front());
    events_.pop_front();
    if (!event.isPurge() && event.box) baseBoxes_[event.key] = *event.box;
    if (!event.isPurge() && !event.box) baseBoxes_.erase(event.key);
    return event;
}

EventLog::Page EventLog::read(std::int64_t from, std::size_t bytes) const {
    Page page;
    page.endOffset = from;
    const bool listFirst = from < baseOffset();
    if (listFirst) {
        page.batch = fullListEvent(baseOffset(), baseBoxes_).dump();
        page.endOffset = baseOffset();
    }
    const std::int64_t end = std::min(last_, (page.endOffset / kPageEvents + 1) * kPageEvents);
    while (page.endOffset < end && page.batch.size() < bytes) {
        if (!page.batch.empty()) page.batch += ',';
        page.batch += toBusEvent(events_[static_cast<std::size_t>(page.endOffset - baseOffset())]).dump();
        ++page.endOffset;
    }
    const bool isEmpty = page.endOffset == from;  // no event has arrived since `from`
    page.cacheable = !listFirst && !isEmpty && (page.endOffset < last_ || page.endOffset % kPageEvents == 0);
    return page;
}

std::string EventLog::encodePage(const Page& page) const {
    return R"({"offset":)" + std::to_string(page.endOffset) + R"(,"last":)" + std::to_string(last_) +
           R"(,"batch":[)" + page.batch + "]}";
}

std::string EventLog::dump(const CreationRevisionOf& creationRevisionOf) const {
    std::string text =
        R"({"last":)" + std::to_string(last_) + R"(,"boxes":)" + json(baseBoxes_).dump() + R"(,"events":[)";
    const char* between = "";
    for (const Event& event : events_) {
        text += between;
        between = ",";
        text += '[' + std::to_string(event.recordedAtMs) + ',' + std::to_string(event.revision) + ',';
        appendQuoted(text, event.key);
        if (event.isPurge())
            text += ',' + std::to_string(event.purgedAtMs) + ',' + std::to_string(creationRevisionOf(event));
        else if (event.box)
            text += ',' + event.box->dump();
        text += ']';
    }
    return text + "]}";
}

void EventLog::load(const json& dumped, const RestoredCallback& restored) {
    baseBoxes_ = dumped.at("boxes").get<std::map<std::string, json>>();
    const json& events = dumped.at("events");
    last_ = dumped.at("last").get<std::int64_t>() - static_cast<std::int64_t>(events.size());
    for (const json& row : events) {
        Event event;
        event.recordedAtMs = row.at(0);
        event.revision = row.at(1);
        event.key = row.at(2);
        Revision created = 0;
        if (event.isPurge()) {
            event.purgedAtMs = row.at(3);
            created = row.at(4);
        } else if (row.size() > 3) {
            event.box = row.at(3);
        }
        append(std::move(event));
        restored(events_.back(), created);
    }
}

void EventLog::loadFormat2(const json& snapshot, const RestoredCallback& restored) {
    baseBoxes_ = snapshot.at("base").get<std::map<std::string, json>>();
    const json& events = snapshot.at("events");
    last_ = snapshot.at("lastEvent").get<std::int64_t>() - static_cast<std::int64_t>(events.size());
    std::int64_t recordedAtMs = 0;
    for (const json& row : events) {
        Event event;
        event.key = row.at(1);
        if (event.isPurge()) event.purgedAtMs = recordedAtMs = row.at(2).at("ts");
        if (!event.isPurge() && row.size() > 2) event.box = row.at(2);
        event.recordedAtMs = recordedAtMs;  // format 2 stores no times: the nearest known earlier one
        Revision created = 0;
        if (event.isPurge()) {
            const json& documents = snapshot.at("documents");
            const auto found = documents.find(event.key);
            if (found != documents.end() && found->at(0).at("ts") == event.purgedAtMs) {
                event.revision = found->at(1);
                created = found->at(2);
            }
        }
        append(std::move(event));
        restored(events_.back(), created);
    }
}

}  // namespace lotuslead::config
