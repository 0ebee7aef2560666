// The form of a record: a head of fixed size, names and facts, then the body. Head and body have each a
// checksum (XXH3, 64 bits), so that a segment can be walked by its heads, and no body is served unread. All
// numbers are little-endian. Functions without state: any thread may call them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "part_index.hpp"
#include "purge_tombstones.hpp"

namespace lotuslead::disk {

// What a copy is found by. `form`: what else must agree, such as the size of parts.
struct Key {
    std::string object;
    std::string className;
    std::int64_t group = 0;
    std::int64_t part = 0;
    std::uint64_t variant = 0;

    std::uint64_t fingerprint() const;        // of all but the group
    std::uint64_t objectFingerprint() const;  // what marks on it go by
    bool operator==(const Key&) const = default;
};

using Facts = std::vector<std::pair<std::string, std::string>>;

struct Copy {
    std::int64_t createdMs = 0;  // Unix milliseconds: it is of then or later
    Facts facts;
    std::string body;
};

inline constexpr std::size_t kRecordHeaderBytes = 80;        // bytes that are always there
inline constexpr std::size_t kMaxMetadataBytes = 64 * 1024;  // bytes of names and facts
inline constexpr std::uint32_t kMaxBodyBytes = 64U << 20;

// Bytes that the record of this copy takes.
std::size_t recordBytes(const Key& key, const Copy& copy);
// Nothing where names and facts, or the body, are larger than a record holds.
[[nodiscard]] bool encodeRecord(const Key& key, const Copy& copy, std::string& out);

// What a head tells without its names.
struct RecordHeader {
    Part part;                        // its place has no segment and no offset yet
    std::uint32_t metadataBytes = 0;  // between head and body
};
// From the head and the names behind it; nothing where either is not as it was written.
[[nodiscard]] std::optional<std::uint32_t> metadataBytesOf(std::span<const char> head);
[[nodiscard]] std::optional<RecordHeader> decodeRecordHeader(std::span<const char> headerAndMetadata);
// Whose it is, from the head and the names behind it.
[[nodiscard]] std::optional<Key> decodeRecordKey(std::span<const char> headerAndMetadata);
// The whole record; nothing where any byte of it is not as it was written.
[[nodiscard]] std::optional<std::pair<Key, Copy>> decodeRecord(std::span<const char> record);

// A line of the purge log has a fixed size and a checksum of its own.
inline constexpr std::size_t kPurgeEntryBytes = 32;
void encodePurgeEntry(const PurgeEntry& entry, std::string& out);
[[nodiscard]] std::optional<PurgeEntry> decodePurgeEntry(std::span<const char> bytes);

// The table of a sealed segment: the checkpoint of its part of the index.
struct SegmentTable {
    std::uint64_t segmentBytes = 0;  // of the file that it describes
    std::vector<Part> parts;
};
std::string encodeTable(const SegmentTable& table, std::uint32_t segment);
[[nodiscard]] std::optional<SegmentTable> decodeTable(std::span<const char> bytes, std::uint32_t segment);

}  // namespace lotuslead::disk
