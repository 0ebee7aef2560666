// The binary format of records, purge log entries and segment tables. A record is a header of fixed size,
// metadata (the key and the front's names and values) and the body. Header and body each have a checksum
// (XXH3, 64 bits), so that a segment can be scanned by its headers, and no body is served unverified. All
// numbers are little-endian. The functions have no state and may be called on any thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "../core/metadata.hpp"
#include "part_index.hpp"
#include "purge_tombstones.hpp"

namespace lotuslead::disk {

// Identifies a cached copy. `variant`: what else must be equal, such as the size of the parts.
struct Key {
    std::string object;
    std::string className;
    std::int64_t group = 0;
    std::int64_t part = 0;
    std::uint64_t variant = 0;

    std::uint64_t fingerprint() const;        // of all fields except the group
    std::uint64_t objectFingerprint() const;  // by which purges name it
    bool operator==(const Key&) const = default;
};

// Names and values that a front keeps with a copy, such as header fields.
using Metadata = core::Metadata;

struct Copy {
    std::int64_t createdMs = 0;  // Unix milliseconds: the copy is of this time or later
    Metadata metadata;
    std::string body;
};

inline constexpr std::size_t kRecordHeaderBytes = 80;
inline constexpr std::size_t kMaxMetadataBytes = 64 * 1024;
inline constexpr std::uint32_t kMaxBodyBytes = 64U << 20;

// The size of the record of this copy.
std::size_t recordBytes(const Key& key, const Copy& copy);
// Appends the record to `out`. False where the metadata or the body exceeds its limit.
[[nodiscard]] bool encodeRecord(const Key& key, const Copy& copy, std::string& out);

// The decoded header of a record.
struct RecordHeader {
    Part part;                        // its location has no segment and no offset yet
    std::uint32_t metadataBytes = 0;  // between header and body
};
// Decode the header and the metadata behind it. No value where either fails its checksum; metadataBytesOf
// reads only the fixed fields.
[[nodiscard]] std::optional<std::uint32_t> metadataBytesOf(std::span<const char> head);
[[nodiscard]] std::optional<RecordHeader> decodeRecordHeader(std::span<const char> headerAndMetadata);
// The key, from the header and the metadata behind it.
[[nodiscard]] std::optional<Key> decodeRecordKey(std::span<const char> headerAndMetadata);
// Decodes a whole record; no value where any checksum fails.
[[nodiscard]] std::optional<std::pair<Key, Copy>> decodeRecord(std::span<const char> record);

// Each purge log entry has this size, including its own checksum.
inline constexpr std::size_t kPurgeEntryBytes = 32;
void encodePurgeEntry(const PurgeEntry& entry, std::string& out);
[[nodiscard]] std::optional<PurgeEntry> decodePurgeEntry(std::span<const char> bytes);

// The table of a sealed segment: a checkpoint of its entries in the index.
struct SegmentTable {
    std::uint64_t segmentBytes = 0;  // size of the segment file that it describes
    std::vector<Part> parts;
};
std::string encodeTable(const SegmentTable& table, std::uint32_t segment);
[[nodiscard]] std::optional<SegmentTable> decodeTable(std::span<const char> bytes, std::uint32_t segment);

}  // namespace lotuslead::disk
