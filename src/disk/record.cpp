#include "record.hpp"

#define XXH_INLINE_ALL  // the program then needs no library to run
#include <xxhash.h>

#include <bit>
#include <cstring>

#include "../support/hash.hpp"

namespace lotuslead::disk {

namespace {

static_assert(std::endian::native == std::endian::little,
              "records are written in host byte order, which must be little-endian");

constexpr std::uint32_t kRecordMagic = 0x31544c4c;  // "LLT1"
constexpr std::uint32_t kPurgeEntryMagic = 0x314d4c4c;
constexpr std::uint32_t kTableMagic = 0x31584c4c;

std::uint64_t checksumOf(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

template <class Number>
void put(std::string& out, Number number) {
    char bytes[sizeof number];
    std::memcpy(bytes, &number, sizeof number);
    out.append(bytes, sizeof number);
}

// Reads numbers and texts in sequence; false where too few bytes are left.
class Reader {
public:
    explicit Reader(std::span<const char> bytes) : rest_(bytes.data(), bytes.size()) {}
    template <class Number>
    bool take(Number& number) {
        if (rest_.size() < sizeof number) return false;
        std::memcpy(&number, rest_.data(), sizeof number);
        rest_.remove_prefix(sizeof number);
        return true;
    }
    bool text(std::string& out) {
        std::uint32_t size = 0;
        if (!take(size) || rest_.size() < size) return false;
        out.assign(rest_.substr(0, size));
        rest_.remove_prefix(size);
        return true;
    }
    bool empty() const { return rest_.empty(); }

private:
    std::string_view rest_;
};

// The header as it is in the file. `headerChecksum` covers the fields before it and the metadata.
struct FixedHeader {
    std::uint32_t magic = kRecordMagic;
    std::uint32_t metadataBytes = 0, bodyBytes = 0, reserved = 0;
    std::uint64_t fingerprint = 0, object = 0;
    std::int64_t group = 0, part = 0, createdMs = 0;
    std::uint64_t variant = 0, bodyChecksum = 0, headerChecksum = 0;
};
static_assert(sizeof(FixedHeader) == kRecordHeaderBytes);

std::optional<FixedHeader> fixedHeaderOf(std::span<const char> bytes) {
    FixedHeader fixed;
    if (bytes.size() < sizeof fixed) return {};
    std::memcpy(&fixed, bytes.data(), sizeof fixed);
    if (fixed.magic != kRecordMagic || fixed.metadataBytes > kMaxMetadataBytes ||
        fixed.bodyBytes > kMaxBodyBytes)
        return {};
    return fixed;
}

std::uint64_t headerChecksumOf(const FixedHeader& fixed, std::string_view metadata) {
    std::string covered(reinterpret_cast<const char*>(&fixed), offsetof(FixedHeader, headerChecksum));
    covered += metadata;
    return checksumOf(covered);
}

std::size_t encodedTextBytes(std::string_view text) { return sizeof(std::uint32_t) + text.size(); }
void putText(std::string& out, std::string_view text) {
    put(out, static_cast<std::uint32_t>(text.size()));
    out += text;
}

std::size_t metadataBytesFor(const Key& key, const Copy& copy) {
    std::size_t bytes = encodedTextBytes(key.object) + encodedTextBytes(key.className);
    for (const auto& [name, value] : copy.metadata) bytes += encodedTextBytes(name) + encodedTextBytes(value);
    return bytes;
}

Part partOf(const FixedHeader& fixed) {
    Part part;
    part.fingerprint = fixed.fingerprint;
    part.createdMs = fixed.createdMs;
    part.object = objectHash32(fixed.object);
    part.group = groupHash32(fixed.group);
    part.location.bytes = static_cast<std::uint32_t>(sizeof fixed + fixed.metadataBytes + fixed.bodyBytes);
    return part;
}

}  // namespace

std::uint64_t Key::objectFingerprint() const { return lotuslead::fingerprint(object); }

std::uint64_t Key::fingerprint() const {
    const std::uint64_t name = combine(objectFingerprint(), lotuslead::fingerprint(className));
    return combine(combine(name, static_cast<std::uint64_t>(part)), variant);
}

std::size_t recordBytes(const Key& key, const Copy& copy) {
    return kRecordHeaderBytes + metadataBytesFor(key, copy) + copy.body.size();
}

bool encodeRecord(const Key& key, const Copy& copy, std::string& out) {
    const std::size_t metadataBytes = metadataBytesFor(key, copy);
    if (metadataBytes > kMaxMetadataBytes || copy.body.size() > kMaxBodyBytes) return false;
    std::string metadata;
    metadata.reserve(metadataBytes);
    putText(metadata, key.object);
    putText(metadata, key.className);
    for (const auto& [name, value] : copy.metadata) {
        putText(metadata, name);
        putText(metadata, value);
    }
    FixedHeader fixed;
    fixed.metadataBytes = static_cast<std::uint32_t>(metadataBytes);
    fixed.bodyBytes = static_cast<std::uint32_t>(copy.body.size());
    fixed.fingerprint = key.fingerprint();
    fixed.object = key.objectFingerprint();
    fixed.group = key.group;
    fixed.part = key.part;
    fixed.createdMs = copy.createdMs;
    fixed.variant = key.variant;
    fixed.bodyChecksum = checksumOf(copy.body);
    fixed.headerChecksum = headerChecksumOf(fixed, metadata);
    out.reserve(out.size() + sizeof fixed + metadataBytes + copy.body.size());
    out.append(reinterpret_cast<const char*>(&fixed), sizeof fixed);
    out += metadata;
    out += copy.body;
    return true;
}

std::optional<std::uint32_t> metadataBytesOf(std::span<const char> head) {
    const auto fixed = fixedHeaderOf(head);
    if (!fixed) return {};
    return fixed->metadataBytes;
}

std::optional<RecordHeader> decodeRecordHeader(std::span<const char> bytes) {
    const auto fixed = fixedHeaderOf(bytes);
    if (!fixed || bytes.size() < sizeof(FixedHeader) + fixed->metadataBytes) return {};
    const std::string_view metadata(bytes.data() + sizeof(FixedHeader), fixed->metadataBytes);
    if (headerChecksumOf(*fixed, metadata) != fixed->headerChecksum) return {};
    return RecordHeader{partOf(*fixed), fixed->metadataBytes};
}

std::optional<Key> decodeRecordKey(std::span<const char> bytes) {
    if (!decodeRecordHeader(bytes)) return {};
    const FixedHeader fixed = *fixedHeaderOf(bytes);
    Key key;
    Reader metadata(bytes.subspan(sizeof fixed, fixed.metadataBytes));
    if (!metadata.text(key.object) || !metadata.text(key.className)) return {};
    key.group = fixed.group;
    key.part = fixed.part;
    key.variant = fixed.variant;
    return key;
}

std::optional<std::pair<Key, Copy>> decodeRecord(std::span<const char> record) {
    const auto head = decodeRecordHeader(record);
    if (!head || head->part.location.bytes != record.size()) return {};
    const FixedHeader fixed = *fixedHeaderOf(record);
    const auto body = record.subspan(sizeof fixed + fixed.metadataBytes);
    if (checksumOf({body.data(), body.size()}) != fixed.bodyChecksum) return {};
    std::pair<Key, Copy> result;
    auto& [key, copy] = result;
    Reader metadata(record.subspan(sizeof fixed, fixed.metadataBytes));
    if (!metadata.text(key.object) || !metadata.text(key.className)) return {};
    while (!metadata.empty()) {
        auto& [name, value] = copy.metadata.emplace_back();
        if (!metadata.text(name) || !metadata.text(value)) return {};
    }
    key.group = fixed.group;
    key.part = fixed.part;
    key.variant = fixed.variant;
    copy.createdMs = fixed.createdMs;
    copy.body.assign(body.data(), body.size());
    return result;
}

void encodePurgeEntry(const PurgeEntry& entry, std::string& out) {
    const std::size_t begin = out.size();
    put(out, kPurgeEntryMagic);
    put(out, static_cast<std::uint32_t>(entry.kind));
    put(out, entry.target);
    put(out, entry.atMs);
    put(out, checksumOf(std::string_view(out).substr(begin)));
}

std::optional<PurgeEntry> decodePurgeEntry(std::span<const char> bytes) {
    if (bytes.size() < kPurgeEntryBytes) return {};
    Reader reader(bytes);
    std::uint32_t magic = 0, kind = 0;
    PurgeEntry entry;
    std::uint64_t sum = 0;
    const bool all = reader.take(magic) && reader.take(kind) && reader.take(entry.target) &&
                     reader.take(entry.atMs) && reader.take(sum);
    if (!all || magic != kPurgeEntryMagic || kind < 1 || kind > 4) return {};
    if (checksumOf({bytes.data(), kPurgeEntryBytes - sizeof sum}) != sum) return {};
    entry.kind = static_cast<PurgeEntry::Kind>(kind);
    return entry;
}

std::string encodeTable(const SegmentTable& table, std::uint32_t segment) {
    std::string out;
    put(out, kTableMagic);
    put(out, segment);
    put(out, table.segmentBytes);
    put(out, static_cast<std::uint64_t>(table.parts.size()));
    for (const Part& part : table.parts) {
        put(out, part.fingerprint);
        put(out, part.createdMs);
        put(out, part.object);
        put(out, part.group);
        put(out, part.location.offset);
        put(out, part.location.bytes);
    }
    put(out, checksumOf(out));
    return out;
}

std::optional<SegmentTable> decodeTable(std::span<const char> bytes, std::uint32_t segment) {
    constexpr std::size_t kHeaderBytes = 24, kEntryBytes = 32, kChecksumBytes = 8;
    if (bytes.size() < kHeaderBytes + kChecksumBytes) return {};
    const auto covered = bytes.first(bytes.size() - kChecksumBytes);
    std::uint64_t sum = 0, count = 0;
    if (!Reader(bytes.subspan(covered.size())).take(sum)) return {};
    if (checksumOf({covered.data(), covered.size()}) != sum) return {};
    Reader reader(covered);
    std::uint32_t magic = 0, number = 0;
    SegmentTable table;
    if (!reader.take(magic) || !reader.take(number) || !reader.take(table.segmentBytes) ||
        !reader.take(count))
        return {};
    if (magic != kTableMagic || number != segment || count != (covered.size() - kHeaderBytes) / kEntryBytes)
        return {};
    table.parts.resize(count);
    for (Part& part : table.parts) {
        const bool all = reader.take(part.fingerprint) && reader.take(part.createdMs) &&
                         reader.take(part.object) && reader.take(part.group) &&
                         reader.take(part.location.offset) && reader.take(part.location.bytes);
        if (!all) return {};
        part.location.segment = segment;
    }
    return table;
}

}  // namespace lotuslead::disk
