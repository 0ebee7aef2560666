#include "settings.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "fields.hpp"

namespace lotuslead::settings {

using nlohmann::json;

namespace {

Effect parseEffect(const std::string& text) {
    if (text == "free") return Effect::safe;
    if (text == "guarded") return Effect::keyed;
    if (text == "single_shot") return Effect::unsafe;
    throw DecodeError("unknown effect '" + text + "'");
}

DeduplicationScope parseDeduplicationScope(const std::string& text) {
    if (text == "all") return DeduplicationScope::all;
    if (text == "zone") return DeduplicationScope::zone;
    if (text == "cell") return DeduplicationScope::cell;
    throw DecodeError("unknown group '" + text + "'");
}

WeightMeaning parseWeightMeaning(const std::string& text) {
    if (text == "nominal") return WeightMeaning::nominal;
    if (text == "rough") return WeightMeaning::rough;
    if (text == "live") return WeightMeaning::live;
    return WeightMeaning::none;
}

SiblingSources parseSiblingSources(const std::string& text) {
    if (text == "any") return SiblingSources::any;
    if (text == "location") return SiblingSources::zone;
    return SiblingSources::none;
}

// For values without which requests cannot be served: there is no default, and a file without them is
// rejected as incomplete.
std::int64_t requirePositive(const json& object, const std::string& key) {
    if (!findValue(object, key)) throw DecodeError("field '" + key + "' is missing");
    const std::int64_t number = integerOr(object, key, 0);
    if (number <= 0) throwWrongType(key, "a positive number");
    return number;
}

ClassSettings readClass(const json& entry) {
    ClassSettings result;
    result.latencyTarget = Time{requirePositive(entry, "aim")};
    result.latencyTargetStretch = numberOr(entry, "aimStretch", 0);
    result.clientTimeout = Time{requirePositive(entry, "hardLimit")};
    result.value = numberOr(entry, "value", 1);
    result.lateValueShare = numberOr(entry, "lateValue", 0);
    result.effect = parseEffect(requireString(entry, "effect"));
    result.deduplicationScope = parseDeduplicationScope(stringOr(entry, "group", "all"));
    result.deduplicationWindow = timeOr(entry, "window");
    if (result.effect == Effect::keyed) requirePositive(entry, "window");
    result.streamed = boolOr(entry, "stream", false);
    return result;
}

template <class Set>
void forEachClass(Settings& settings, const json& extra, const std::string& key, Set set) {
    std::size_t at = 0;
    for (const json& item : listOrEmpty(extra, key)) {
        if (at < settings.classes.size() && !item.is_null()) set(settings.classes[at], item);
        ++at;
    }
}

std::string storeTypeAt(const json& info, std::int64_t index) {
    const json& shapes = listOrEmpty(info, "shapes");
    if (index < 0 || static_cast<std::size_t>(index) >= shapes.size()) return {};
    const json& name = shapes[static_cast<std::size_t>(index)];
    return name.is_string() ? name.get<std::string>() : std::string{};
}

void readExtraSettings(DecodedSettings& decoded, const json& info, const json& extra) {
    Settings& settings = decoded.settings;
    settings.directUpstream = boolOr(extra, "direct", false);
    settings.fillCoalescing = boolOr(extra, "joins", false);
    settings.maxFlowKbPerSecond = numberOr(extra, "flowKbPerS", 0);
    settings.siblings = parseSiblingSources(stringOr(extra, "siblings", "silent"));
    settings.cacheStatusReported = stringOr(extra, "noteLevel", "silent") == "all";
    settings.purgeGrace = timeOr(extra, "obeyAfter");
    settings.purgeSettleTime = timeOr(extra, "purgeSettles");
    settings.parentColdStartShare = numberOr(extra, "parentFloor", 1);
    settings.parentWarmUpTime = timeOr(extra, "parentRamp");
    settings.parentColdOverloadMultiple = numberOr(extra, "parentBreaksAt", 0);
    settings.originOverloadMultiple = numberOr(extra, "rootFallMultiple", 0);
    settings.originLoadWindow = timeOr(extra, "rootFall");
    decoded.parentType = storeTypeAt(info, integerOr(extra, "parentKind", -1));
    decoded.originType = storeTypeAt(info, integerOr(extra, "originKind", -1));
    const auto whole = [](const json& item, const char* key) { return static_cast<int>(number(item, key)); };
    for (const json& item : listOrEmpty(extra, "hubOf")) settings.zoneHub.push_back(whole(item, "hubOf"));
    for (const json& item : listOrEmpty(extra, "instancesByZone"))
        settings.routersByZone.push_back(whole(item, "instancesByZone"));
    for (const json& item : listOrEmpty(extra, "inletKbPerS"))
        settings.zoneLinkKbPerSecond.push_back(number(item, "inletKbPerS"));
    const auto time = [](const json& item, const char* key) {
        return Time{static_cast<std::int64_t>(std::llround(number(item, key)))};
    };
    const auto flag = [](const json& item, const char* key) {
        if (!item.is_boolean()) throwWrongType(key, "true or false");
        return item.get<bool>();
    };
    forEachClass(settings, extra, "maxAge",
                 [&](ClassSettings& c, const json& item) { c.freshFor = time(item, "maxAge"); });
    forEachClass(settings, extra, "staleFor",
                 [&](ClassSettings& c, const json& item) { c.staleFor = time(item, "staleFor"); });
    forEachClass(settings, extra, "staleEarns",
                 [&](ClassSettings& c, const json& item) { c.staleValueShare = number(item, "staleEarns"); });
    forEachClass(settings, extra, "inParts",
                 [&](ClassSettings& c, const json& item) { c.inParts = flag(item, "inParts"); });
    forEachClass(settings, extra, "neverKept",
                 [&](ClassSettings& c, const json& item) { c.uncacheable = flag(item, "neverKept"); });
}

Readiness parseReadiness(const std::string& text) {
    if (text == "up") return Readiness::ready;
    if (text == "draining") return Readiness::draining;
    if (text == "removed") return Readiness::gone;
    throw DecodeError("unknown status '" + text + "'");
}

BusEvent readEvent(const json& entry) {
    BusEvent event;
    event.offset = integerOr(entry, "offset", 0);
    if (const json* list = findValue(entry, "topology")) {
        event.isStoreList = true;
        event.isSnapshot = boolOr(*list, "snapshot", false);
        for (const json& item : listOrEmpty(*list, "endpoints")) {
            ListedStore store;
            store.name = requireString(item, "name");
            store.address = stringOr(item, "address", "");
            store.zone = stringOr(item, "zone", "");
            store.type = stringOr(item, "type", "");
            store.cell = integerOr(item, "group", 0);
            store.weight = numberOr(item, "weight", 1);
            store.startedAtMs = integerOr(item, "since_ms", 0);
            store.readiness = parseReadiness(stringOr(item, "status", "up"));
            event.stores.push_back(std::move(store));
        }
    } else if (const json* ban = findValue(entry, "ban")) {
        event.purgedObject = stringOr(*ban, "url", "");
        event.purgedGroup = integerOr(*ban, "tag", 0);
        event.purgedMs = integerOr(*ban, "ts", 0);
    }
    return event;
}

}  // namespace

Role DecodedSettings::roleOf(const std::string& type) const {
    if (!originType.empty() && type == originType) return Role::origin;
    if (!parentType.empty() && type == parentType) return Role::parent;
    return Role::cache;
}

int DecodedSettings::zoneOf(const std::string& name) const {
    const auto found = zones.find(name);
    return found == zones.end() ? -1 : found->second;
}

DecodedSettings readSettings(const json& info) {
    DecodedSettings decoded;
    Settings& settings = decoded.settings;
    for (const json& item : listOrEmpty(info, "categories")) {
        decoded.classNames.push_back(requireString(item, "name"));
        const int at = static_cast<int>(settings.classes.size());
        if (!decoded.classes.emplace(decoded.classNames.back(), at).second)
            throw DecodeError("field 'categories' names '" + decoded.classNames.back() + "' twice");
        settings.classes.push_back(readClass(item));
    }
    int index = 0;
    for (const json& item : listOrEmpty(info, "zones")) {
        if (!item.is_string()) throwWrongType("zones", "a list of names");
        decoded.zoneNames.push_back(item.get<std::string>());
        decoded.zones.emplace(decoded.zoneNames.back(), index++);
    }
    settings.zone = decoded.zoneOf(stringOr(info, "zone", ""));
    settings.routers = static_cast<int>(integerOr(info, "balancers", 1));
    settings.weights = parseWeightMeaning(stringOr(info, "weights", "silent"));
    settings.mustSubscribeToList = stringOr(info, "discovery", "pushed") == "on_request";

    const json& allowed = objectOrEmpty(info, "allowed");
    settings.mayHedge = boolOr(allowed, "secondCopies", false);
    settings.mayCancel = boolOr(allowed, "mayCancel", false);
    settings.mayProbe = boolOr(allowed, "mayProbe", false);
    settings.retryAfterSupported = boolOr(allowed, "retryAfter", false);
    settings.maxAttempts =
        static_cast<int>(std::min<std::int64_t>(requirePositive(allowed, "mostTries"), 1000));
    settings.maxRetryAfter = timeOr(allowed, "maxRetryAfter");
    decoded.connectTimeout = timeOr(allowed, "connectTimeout");
    decoded.idleTimeout = timeOr(allowed, "keepalive");
    decoded.streamsPerConnection = static_cast<int>(integerOr(allowed, "streamsPerConn", 0));

    const json& rules = objectOrEmpty(info, "obligations");
    settings.answerGrace = timeOr(rules, "graceToAnswer");
    settings.askWithin = timeOr(rules, "askWithin");
    settings.drainGrace = timeOr(rules, "stopSendingWithin");
    settings.coldStartShare = numberOr(rules, "coldFrom", 1);
    settings.warmUpTime = timeOr(rules, "warmWithin");
    settings.coldOverloadMultiple = numberOr(rules, "fallMultiple", 0);
    settings.coldLoadWindow = timeOr(rules, "fall");

    readExtraSettings(decoded, info, objectOrEmpty(info, "extra"));
    return decoded;
}

namespace {

// For each name of `reloaded`, its index in `names`, to which new names are appended.
std::vector<std::size_t> mergeNames(const std::vector<std::string>& reloaded,
                                    std::vector<std::string>& names) {
    std::vector<std::size_t> indexes;
    for (const std::string& name : reloaded) {
        const auto found = std::find(names.begin(), names.end(), name);
        indexes.push_back(static_cast<std::size_t>(found - names.begin()));
        if (found == names.end()) names.push_back(name);
    }
    return indexes;
}

// Writes `reloaded` into `into` at the given indexes; indexes without a value keep theirs or get `absent`.
template <class Item>
std::vector<Item> reindexed(const std::vector<Item>& reloaded, const std::vector<std::size_t>& indexes,
                            std::vector<Item> into, std::size_t size, const Item& absent) {
    if (reloaded.empty()) return {};  // not set
    into.resize(size, absent);
    for (std::size_t i = 0; i < std::min(reloaded.size(), indexes.size()); ++i)
        into[indexes[i]] = reloaded[i];
    return into;
}

}  // namespace

DecodedSettings mergeReloaded(const DecodedSettings& before, const DecodedSettings& reloaded) {
    DecodedSettings decoded = reloaded;
    decoded.classNames = before.classNames;
    decoded.zoneNames = before.zoneNames;
    const auto classes = mergeNames(reloaded.classNames, decoded.classNames);
    const auto zones = mergeNames(reloaded.zoneNames, decoded.zoneNames);
    const auto newIndex = [](const std::vector<std::size_t>& indexes, int at) {
        return at < 0 ? at : static_cast<int>(indexes.at(static_cast<std::size_t>(at)));
    };
    for (auto& [name, at] : decoded.classes) at = newIndex(classes, at);
    for (auto& [name, at] : decoded.zones) at = newIndex(zones, at);
    Settings& s = decoded.settings;
    const Settings& f = reloaded.settings;
    s.zone = newIndex(zones, f.zone);
    s.classes =
        reindexed(f.classes, classes, before.settings.classes, decoded.classNames.size(), ClassSettings{});
    const std::size_t all = decoded.zoneNames.size();
    s.zoneHub = reindexed(f.zoneHub, zones, {}, all, -1);
    s.routersByZone = reindexed(f.routersByZone, zones, {}, all, 0);
    s.zoneLinkKbPerSecond = reindexed(f.zoneLinkKbPerSecond, zones, {}, all, 0.0);
    return decoded;
}

Endpoint readEndpoint(const std::string& text, const std::string& field) {
    const auto colon = text.rfind(':');
    Endpoint result;
    in_addr parsed{};
    unsigned port = 0;
    if (colon != std::string::npos) {
        result.host = text.substr(0, colon);
        const char* end = text.data() + text.size();
        const auto read = std::from_chars(text.data() + colon + 1, end, port);
        if (read.ec != std::errc{} || read.ptr != end) port = 65536;
    }
    if (colon == std::string::npos || port > 65535 || inet_pton(AF_INET, result.host.c_str(), &parsed) != 1)
        throw DecodeError("field '" + field + "' is not address:port: '" + text + "'");
    result.port = static_cast<std::uint16_t>(port);
    return result;
}

namespace {

// Collects the paths of all fields that are set, for requireSameFields. Lists are checked by their decoders;
// "known" holds events and is left out.
void collectPaths(const json& object, const std::string& before, std::set<std::string>& paths) {
    for (const auto& [key, value] : object.items()) {
        if (value.is_null() || before + key == "known") continue;
        paths.insert(before + key);
        if (value.is_object()) collectPaths(value, before + key + ".", paths);
    }
}

}  // namespace

void requireSameFields(const std::set<std::string>& before, const std::set<std::string>& reloaded) {
    for (const std::string& path : before)
        if (reloaded.count(path) == 0) throw DecodeError("field '" + path + "' is missing");
}

Configuration readConfiguration(const std::string& text) {
    const json root = json::parse(text, nullptr, false);
    if (root.is_discarded()) throw DecodeError("the configuration is no JSON");
    if (!root.is_object()) throw DecodeError("the configuration is no JSON object");
    Configuration result;
    collectPaths(root, "", result.paths);
    result.name = stringOr(root, "name", "");
    result.listen = readEndpoint(requireString(root, "listen"), "listen");
    const std::string seed = stringOr(root, "seed", "0");
    const auto read = std::from_chars(seed.data(), seed.data() + seed.size(), result.seed, 16);
    if (read.ec != std::errc{} || read.ptr != seed.data() + seed.size())
        throw DecodeError("field 'seed' is not hexadecimal");
    const json& limits = objectOrEmpty(root, "limits");
    constexpr std::int64_t kMaxLimit = 1'000'000;
    result.limits.memoryMb =
        static_cast<int>(std::min(integerOr(limits, "memory_mb", result.limits.memoryMb), kMaxLimit));
    result.limits.sockets =
        static_cast<int>(std::min(integerOr(limits, "sockets", result.limits.sockets), kMaxLimit));
    // Below these a process lacks room for its own needs. The upper bound kMaxLimit only prevents overflow of
    // sums.
    if (result.limits.memoryMb < 12) throw DecodeError("field 'limits.memory_mb' is under 12");
    if (result.limits.sockets < 48) throw DecodeError("field 'limits.sockets' is under 48");
    if (const json* bus = findValue(root, "bus"); bus && bus->is_array()) {
        for (const json& one : *bus) {
            if (!one.is_string()) throwWrongType("bus", "text, or a list of texts");
            result.bus.push_back(readEndpoint(one.get<std::string>(), "bus"));
        }
        if (result.bus.size() > 16) throw DecodeError("field 'bus' has more than 16 addresses");
    } else if (const std::string single = stringOr(root, "bus", ""); !single.empty()) {
        result.bus.push_back(readEndpoint(single, "bus"));
    }
    if (const std::string address = stringOr(root, "operator", ""); !address.empty())
        result.operatorAddress = readEndpoint(address, "operator");
    result.initialEvents = objectOrEmpty(root, "known");
    const json* info = findValue(root, "settings");
    if (!info) throw DecodeError("field 'settings' is missing");
    result.decoded = readSettings(*info);
    result.flowBytesPerSecond = numberOr(root, "flow_bytes_per_s", 0);
    result.linkBytesPerSecond = numberOr(root, "link_bytes_per_s", 0);
    if (result.decoded.settings.maxFlowKbPerSecond > 0)
        result.decoded.bytesPerKb = result.flowBytesPerSecond / result.decoded.settings.maxFlowKbPerSecond;
    if (result.decoded.settings.classes.empty()) throw DecodeError("field 'settings.categories' is empty");
    return result;
}

RepositoryConfiguration readRepositoryConfiguration(const std::string& text) {
    RepositoryConfiguration result;
    result.base = readConfiguration(text);
    const json root = json::parse(text);
    for (const json& item : listOrEmpty(root, "routes")) {
        Route route;
        route.prefix = requireString(item, "prefix");
        route.className = requireString(item, "class");
        route.group = integerOr(item, "group", 0);
        const auto known = result.base.decoded.classes.find(route.className);
        if (known == result.base.decoded.classes.end())
            throw DecodeError("field 'routes.class' names no class: '" + route.className + "'");
        if (route.prefix.front() != '/') throw DecodeError("field 'routes.prefix' does not begin with '/'");
        route.classIndex = known->second;
        result.routes.push_back(std::move(route));
    }
    if (result.routes.empty()) throw DecodeError("field 'routes' is empty");
    const auto size = [&](const char* key, std::size_t fallback) {
        const std::int64_t bytes = integerOr(root, key, static_cast<std::int64_t>(fallback));
        if (bytes < 1024 || bytes > 16 * 1024 * 1024)
            throw DecodeError("field '" + std::string(key) + "' is not within 1024 and 16777216");
        return static_cast<std::size_t>(bytes);
    };
    result.partBytes = size("part_bytes", result.partBytes);
    result.maxIndexBytes = size("largest_index_bytes", result.maxIndexBytes);
    return result;
}

BusBatch readBatch(const json& batch) {
    BusBatch result;
    result.offset = integerOr(batch, "offset", 0);
    result.last = integerOr(batch, "last", result.offset);
    for (const json& entry : listOrEmpty(batch, "batch")) result.events.push_back(readEvent(entry));
    return result;
}

}  // namespace lotuslead::settings
