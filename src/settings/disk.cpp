#include "disk.hpp"

#include <set>

#include "fields.hpp"

namespace lotuslead::settings {

namespace {

void rejectUnknownFields(const json& object, const std::string& path, const std::set<std::string>& known) {
    if (!object.is_object()) throw DecodeError("field '" + path + "' is not an object");
    for (const auto& [key, value] : object.items())
        if (known.count(key) == 0) throw DecodeError("field '" + path + "." + key + "' is not known");
}

// Reads typed fields of one section of the file; absent fields keep their defaults.
class Section {
public:
    Section(const json& object, std::string path) : object_(object), path_(std::move(path)) {}

    void readInteger(const char* key, std::int64_t least, std::int64_t most, std::int64_t& target) const {
        const json* value = findValue(object_, key);
        if (!value) return;
        if (!value->is_number_integer() || *value < least || *value > most)
            throw DecodeError(name(key) + " is not a whole number within " + std::to_string(least) + " and " +
                              std::to_string(most));
        target = value->get<std::int64_t>();
    }
    void readShare(const char* key, double least, double most, double& target) const {
        const json* value = findValue(object_, key);
        if (!value) return;
        if (!value->is_number() || !(*value >= least && *value <= most))
            throw DecodeError(name(key) + " is not within " + json(least).dump() + " and " +
                              json(most).dump());
        target = value->get<double>();
    }
    void readBool(const char* key, bool& target) const {
        const json* value = findValue(object_, key);
        if (!value) return;
        if (!value->is_boolean()) throw DecodeError(name(key) + " is not true or false");
        target = value->get<bool>();
    }
    template <class Choice>
    void readChoice(const char* key, std::initializer_list<std::pair<const char*, Choice>> choices,
                    Choice& target) const {
        const json* value = findValue(object_, key);
        if (!value) return;
        std::string all;
        for (const auto& [choiceName, choice] : choices) {
            if (*value == choiceName) {
                target = choice;
                return;
            }
            all += (all.empty() ? "" : ", ") + std::string(choiceName);
        }
        throw DecodeError(name(key) + " is none of " + all);
    }
    std::string name(const char* key) const { return "field '" + path_ + "." + key + "'"; }

private:
    const json& object_;
    std::string path_;
};

DiskSettings readSection(const json& object, const std::string& path) {
    rejectUnknownFields(
        object, path,
        {"folder", "capacity_mb", "segment_mb", "most_parts", "queue_mb", "reads", "most_marks",
         "read_wait_ms", "purge_slack_ms", "bus_silence_ms", "bus_keeps_positions", "tables",
         "probation_share", "rewrite_share", "sync", "admission"});
    DiskSettings result;
    const Section section(object, path);
    const json* folder = findValue(object, "folder");
    if (!folder || !folder->is_string() || folder->get<std::string>().empty())
        throw DecodeError(section.name("folder") + " is missing, empty or not text");
    result.folder = folder->get<std::string>();
    section.readInteger("capacity_mb", 8, std::int64_t{16} << 20, result.capacityMb);
    section.readInteger("segment_mb", 1, 1024, result.segmentMb);
    if (!findValue(object, "segment_mb"))
        result.segmentMb = std::min(result.segmentMb, result.capacityMb / 8);
    if (result.segmentMb > result.capacityMb / 8)
        throw DecodeError(section.name("segment_mb") + " is more than an eighth of capacity_mb");
    section.readInteger("most_parts", 1024, 64'000'000, result.maxParts);
    section.readInteger("queue_mb", 1, 4096, result.queueMb);
    section.readInteger("reads", 1, 4096, result.maxQueuedReads);
    section.readInteger("most_marks", 64, 16'000'000, result.maxPurgeEntries);
    section.readInteger("read_wait_ms", 1, 10'000, result.readTimeoutMs);
    section.readInteger("purge_slack_ms", 0, 60'000, result.purgeClockSkewMs);
    section.readInteger("bus_silence_ms", 1600, 60'000,
                        result.maxBusSilenceMs);  // an idle bus answers once per second
    section.readBool("bus_keeps_positions", result.busKeepsPositions);
    section.readBool("tables", result.tables);
    section.readShare("probation_share", 0.01, 0.5, result.probationShare);
    section.readShare("rewrite_share", 0.0, 0.9, result.rewriteShare);
    using SyncPolicy = DiskSettings::SyncPolicy;
    section.readChoice(
        "sync", {{"never", SyncPolicy::never}, {"sealed", SyncPolicy::sealed}, {"each", SyncPolicy::each}},
        result.sync);
    using AdmissionHistory = DiskSettings::AdmissionHistory;
    section.readChoice("admission",
                       {{"ghost", AdmissionHistory::ghost},
                        {"sketch", AdmissionHistory::sketch},
                        {"plain", AdmissionHistory::none}},
                       result.admissionHistory);
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
