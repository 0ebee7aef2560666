#include "disk.hpp"

#include <set>

#include "fields.hpp"

namespace lotuslead::settings {

namespace {

void refuseUnknown(const json& object, const std::string& at, const std::set<std::string>& known) {
    if (!object.is_object()) throw DecodeError("field '" + at + "' is not an object");
    for (const auto& [key, value] : object.items())
        if (known.count(key) == 0) throw DecodeError("field '" + at + "." + key + "' is not known");
}

class Section {
public:
    Section(const json& object, std::string at) : object_(object), at_(std::move(at)) {}

    void whole(const char* key, std::int64_t least, std::int64_t most, std::int64_t& into) const {
        const json* value = findValue(object_, key);
        if (!value) return;
        if (!value->is_number_integer() || *value < least || *value > most)
            throw DecodeError(name(key) + " is not a whole number within " + std::to_string(least) + " and " +
                              std::to_string(most));
        into = value->get<std::int64_t>();
    }
    void share(const char* key, double least, double most, double& into) const {
        const json* value = findValue(object_, key);
        if (!value) return;
        if (!value->is_number() || !(*value >= least && *value <= most))
            throw DecodeError(name(key) + " is not within " + json(least).dump() + " and " +
                              json(most).dump());
        into = value->get<double>();
    }
    void flag(const char* key, bool& into) const {
        const json* value = findValue(object_, key);
        if (!value) return;
        if (!value->is_boolean()) throw DecodeError(name(key) + " is not true or false");
        into = value->get<bool>();
    }
    template <class Choice>
    void choice(const char* key, std::initializer_list<std::pair<const char*, Choice>> words,
                Choice& into) const {
        const json* value = findValue(object_, key);
        if (!value) return;
        std::string all;
        for (const auto& [word, meaning] : words) {
            if (*value == word) {
                into = meaning;
                return;
            }
            all += (all.empty() ? "" : ", ") + std::string(word);
        }
        throw DecodeError(name(key) + " is none of " + all);
    }
    std::string name(const char* key) const { return "field '" + at_ + "." + key + "'"; }

private:
    const json& object_;
    std::string at_;
};

DiskSettings readSection(const json& object, const std::string& at) {
    refuseUnknown(object, at,
                  {"folder", "capacity_mb", "segment_mb", "most_parts", "queue_mb", "reads", "most_marks",
                   "read_wait_ms", "purge_slack_ms", "bus_silence_ms", "bus_keeps_positions", "tables",
                   "probation_share", "rewrite_share", "sync", "admission"});
    DiskSettings result;
    const Section section(object, at);
    const json* folder = findValue(object, "folder");
    if (!folder || !folder->is_string() || folder->get<std::string>().empty())
        throw DecodeError(section.name("folder") + " is missing, empty or not text");
    result.folder = folder->get<std::string>();
    section.whole("capacity_mb", 8, std::int64_t{16} << 20, result.capacityMb);
    section.whole("segment_mb", 1, 1024, result.segmentMb);
    if (!findValue(object, "segment_mb"))
        result.segmentMb = std::min(result.segmentMb, result.capacityMb / 8);
    if (result.segmentMb > result.capacityMb / 8)
        throw DecodeError(section.name("segment_mb") + " is more than an eighth of capacity_mb");
    section.whole("most_parts", 1024, 64'000'000, result.maxParts);
    section.whole("queue_mb", 1, 4096, result.queueMb);
    section.whole("reads", 1, 4096, result.maxQueuedReads);
    section.whole("most_marks", 64, 16'000'000, result.maxMarks);
    section.whole("read_wait_ms", 1, 10'000, result.readWaitMs);
    section.whole("purge_slack_ms", 0, 60'000, result.purgeSlackMs);
    section.whole("bus_silence_ms", 1600, 60'000,
                  result.busSilenceMs);  // an idle bus answers once per second
    section.flag("bus_keeps_positions", result.busKeepsPositions);
    section.flag("tables", result.tables);
    section.share("probation_share", 0.01, 0.5, result.probationShare);
    section.share("rewrite_share", 0.0, 0.9, result.rewriteShare);
    using Sync = DiskSettings::Sync;
    section.choice("sync", {{"never", Sync::never}, {"sealed", Sync::sealed}, {"each", Sync::each}},
                   result.sync);
    using Admission = DiskSettings::Admission;
    section.choice("admission",
                   {{"ghost", Admission::ghost}, {"sketch", Admission::sketch}, {"plain", Admission::plain}},
                   result.admission);
    return result;
}

}  // namespace

DiskConfiguration readDiskConfiguration(const std::string& text) {
    const json root = json::parse(text, nullptr, false);
    if (root.is_discarded() || !root.is_object()) throw DecodeError("the disk tier's file is no JSON object");
    for (const auto& [key, value] : root.items())
        if (key != "platform" && key != "repository") throw DecodeError("field '" + key + "' is not known");
    DiskConfiguration result;
    if (const json* section = findValue(root, "platform"))
        result.platform = readSection(*section, "platform");
    if (const json* section = findValue(root, "repository"))
        result.repository = readSection(*section, "repository");
    if (result.platform && result.repository && result.platform->folder == result.repository->folder)
        throw DecodeError("field 'repository.folder' is the platform's, too");
    return result;
}

}  // namespace lotuslead::settings
