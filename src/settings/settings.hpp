// Decodes the settings, the gateway's configuration file and the events of the event bus from JSON.
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

// An input that cannot be decoded. The message is one line and names the offending field.
struct DecodeError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The settings, with the names of classes, zones and store types by which requests and events refer to them.
struct DecodedSettings {
    Settings settings;
    std::unordered_map<std::string, int> classes;  // indexes of the classes that requests may name
    std::unordered_map<std::string, int> zones;
    std::vector<std::string> classNames;  // by index, including classes that a reloaded file dropped
    std::vector<std::string> zoneNames;
    std::string parentType;  // empty: there are no parents
    std::string originType;
    Time connectTimeout{};  // zero: not set
    Time idleTimeout{};     // of kept connections; zero: not set
    int streamsPerConnection = 0;
    double bytesPerKb = 0;  // socket bytes per KB as counted in the settings; zero: not set

    Role roleOf(const std::string& type) const;
    int zoneOf(const std::string& name) const;
};

DecodedSettings readSettings(const nlohmann::json& info);

// Merges the settings of a reloaded file: classes and zones that both have keep their indexes, so that open
// requests and listed hosts remain valid.
DecodedSettings mergeReloaded(const DecodedSettings& before, const DecodedSettings& reloaded);

struct Endpoint {
    std::string host;  // a numeric IPv4 address
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
    std::vector<Endpoint> bus;                // several carry the same events; empty: there is no bus
    std::optional<Endpoint> operatorAddress;  // of the operators' HTTP endpoint; none: it is off
    nlohmann::json initialEvents;             // the events up to now, in the format of the event bus
    double flowBytesPerSecond = 0,
           linkBytesPerSecond = 0;  // of one transfer, of all; zero: not set
    DecodedSettings decoded;
    std::set<std::string> paths;  // of all fields that are set
};

Configuration readConfiguration(const std::string& text);
// Throws DecodeError if a reloaded file lacks a field of the current one, since it may be incomplete.
void requireSameFields(const std::set<std::string>& before, const std::set<std::string>& reloaded);

// A path prefix that the repository front serves, with the class and group of its requests.
struct Route {
    std::string prefix;
    int classIndex = 0;
    std::string className;
    std::int64_t group = 0;
};
// The configuration of the repository front: that of a gateway, with further fields.
struct RepositoryConfiguration {
    Configuration base;
    std::vector<Route> routes;
    std::size_t partBytes = 256 * 1024;           // files are fetched in parts of this size
    std::size_t maxIndexBytes = 4 * 1024 * 1024;  // limit for indexes, which are fetched whole
};
RepositoryConfiguration readRepositoryConfiguration(const std::string& text);

// A store as an event of the event bus lists it.
struct ListedStore {
    std::string name, address, zone, type;
    std::int64_t cell = 0;
    double weight = 1;
    std::int64_t startedAtMs = 0;  // Unix milliseconds of its start, if it started late; otherwise 0
    Readiness readiness = Readiness::ready;
};
// One event of the event bus: a change of the list of stores, or a purge.
struct BusEvent {
    std::int64_t offset = 0;
    bool isStoreList = false;
    bool isSnapshot = false;  // the whole list: stores that it does not name are gone
    std::vector<ListedStore> stores;
    std::string purgedObject;  // empty: the purge concerns the whole group
    std::int64_t purgedGroup = 0;
    std::int64_t purgedMs = 0;  // Unix milliseconds
};
struct BusBatch {
    std::int64_t offset = 0;
    std::int64_t last = 0;  // offset of the newest event; above `offset` if more batches follow
    std::vector<BusEvent> events;
};
BusBatch readBatch(const nlohmann::json& batch);

}  // namespace lotuslead::settings
