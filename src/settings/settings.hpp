// The one decoder of the settings, of the gateway's configuration and of the event bus's events.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <vector>

#include "lotuslead/router.hpp"

namespace lotuslead::settings {

// The message names the field at fault and fits one line.
struct DecodeError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The settings, and the names by which later events refer to them.
struct DecodedSettings {
    Settings settings;
    std::unordered_map<std::string, int> classes;  // those that may be asked for
    std::unordered_map<std::string, int> zones;
    std::vector<std::string> classNames;  // by place, also of classes that a later file no longer has
    std::vector<std::string> zoneNames;
    std::string parentType;  // empty: the site has no parents
    std::string originType;
    Time connectTimeout{};  // zero: not told
    Time idleTimeout{};     // zero: not told
    int streamsPerConnection = 0;
    double bytesPerKb = 0;  // on the sockets, for a KB of the settings; zero: not told

    Role roleOf(const std::string& type) const;
    int zoneOf(const std::string& name) const;
};

DecodedSettings readSettings(const nlohmann::json& info);

// The settings of a file that is read again: what both know keeps its place, so that requests in hand and
// hosts that were listed before go on meaning the same.
DecodedSettings mergeReloaded(const DecodedSettings& before, const DecodedSettings& fresh);

struct Endpoint {
    std::string host;  // numeric
    std::uint16_t port = 0;
    bool operator==(const Endpoint&) const = default;
};
Endpoint readEndpoint(const std::string& text, const std::string& field);

struct Limits {
    int memoryMb = 192;
    int sockets = 1024;
};

struct Configuration {
    std::string name;
    Endpoint listen;
    std::uint64_t seed = 0;
    Limits limits;
    std::vector<Endpoint> bus;                // one, or several that tell the same; none: there is no bus
    std::optional<Endpoint> operatorAddress;  // none: it is off
    nlohmann::json known;                     // the events up to now, in the form of the event bus
    double flowBytesPerSecond = 0,
           linkBytesPerSecond = 0;  // a second: of one transfer, of all; zero: not told
    DecodedSettings decoded;
    std::set<std::string> paths;  // of all its fields
};

Configuration readConfiguration(const std::string& text);
// A file that is read again and lacks a field that the one in force has is not whole; throws Malformed.
void requireSameFields(const std::set<std::string>& before, const std::set<std::string>& fresh);

// What the repository front serves: its configuration has the same form, and these besides.
struct Route {
    std::string prefix;
    int classIndex = 0;
    std::string className;
    std::int64_t group = 0;
};
struct RepositoryConfiguration {
    Configuration base;
    std::vector<Route> routes;
    std::size_t partBytes = 256 * 1024;           // files are fetched in parts of this size
    std::size_t maxIndexBytes = 4 * 1024 * 1024;  // indexes are fetched whole
};
RepositoryConfiguration readRepositoryConfiguration(const std::string& text);

// One event of the event bus: a change of the list, or a purge.
struct ListedStore {
    std::string name, address, zone, type;
    std::int64_t cell = 0;
    double weight = 1;
    std::int64_t sinceMs = 0;  // Unix milliseconds of a late start, or 0
    Readiness readiness = Readiness::ready;
};
struct BusEvent {
    std::int64_t offset = 0;
    bool isStoreList = false;
    bool whole = false;
    std::vector<ListedStore> stores;
    std::string purgedObject;  // empty: the whole group
    std::int64_t purgedGroup = 0;
    std::int64_t purgedMs = 0;  // Unix milliseconds
};
struct BusBatch {
    std::int64_t offset = 0;
    std::int64_t last = 0;  // the last event that there is; beyond `offset`: this is not all yet
    std::vector<BusEvent> events;
};
BusBatch readBatch(const nlohmann::json& batch);

}  // namespace lotuslead::settings
