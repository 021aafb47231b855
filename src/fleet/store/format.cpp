#include "fleet/store/format.h"

#define XXH_INLINE_ALL  // header-only: the platform has no library of it to load
#include <xxhash.h>

#include <array>
#include <cstdio>
#include <cstdlib>

namespace ochrehub::store {
namespace {

constexpr std::size_t kLengthSize = 4;
constexpr std::size_t kNumberSize = 8;  ///< of a checksum, record number, index or term
constexpr std::size_t kRecordHeadSize = kLengthSize + kNumberSize;

// Where the fields of a payload begin.
constexpr std::size_t kNumberAt = 1;
constexpr std::size_t kSyncedNumberAt = 9;
constexpr std::size_t kIndexAt = 17;
constexpr std::size_t kTermAt = 25;
constexpr std::size_t kDataAt = 33;

constexpr std::string_view kFormat = "ochrehub-store 1 ";
constexpr std::size_t kHexDigits = 16;
constexpr std::size_t kChecksumTextSize = kHexDigits + 1;  ///< with the end of the line
constexpr std::size_t kHeaderSize = kFormat.size() + kHexDigits + 1 + kChecksumTextSize;

constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";

void append_number(std::string& out, std::uint64_t value, std::size_t bytes) {
    for (std::size_t left = bytes; left > 0; --left) out += char(value >> (8 * (left - 1)));
}

std::uint64_t read_number(std::string_view bytes, std::size_t at, std::size_t size) {
    std::uint64_t value = 0;
    for (char byte : bytes.substr(at, size)) value = value << 8 | static_cast<unsigned char>(byte);
    return value;
}

std::uint64_t checksum(std::string_view bytes, std::uint64_t seed) {
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::string hex(std::uint64_t value) {
    std::array<char, kHexDigits + 1> text;
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

std::optional<std::uint64_t> number_in_name(const std::string& name, std::string_view prefix) {
    if (!name.starts_with(prefix) || name.size() != prefix.size() + kHexDigits) return std::nullopt;
    char* end = nullptr;
    std::uint64_t value = std::strtoull(name.c_str() + prefix.size(), &end, 16);
    if (*end != 0) return std::nullopt;
    return value;
}

}  // namespace

std::string encode(const Record& record, std::uint64_t cluster_fingerprint) {
    std::string payload;
    payload.reserve(kDataAt + record.data.size());
    payload += char(record.kind);
    append_number(payload, record.number, kNumberSize);
    append_number(payload, record.synced_number, kNumberSize);
    append_number(payload, record.index, kNumberSize);
    append_number(payload, record.term, kNumberSize);
    payload += record.data;
    std::string bytes;
    bytes.reserve(kRecordHeadSize + payload.size());
    append_number(bytes, payload.size(), kLengthSize);
    append_number(bytes, checksum(payload, cluster_fingerprint), kNumberSize);
    bytes += payload;
    return bytes;
}

std::size_t min_record_size() {
    return kRecordHeadSize + kDataAt;
}

std::optional<ParsedRecord> parse_record(std::string_view bytes, const ParseLimits& limits) {
    if (bytes.size() < min_record_size()) return std::nullopt;
    auto length = std::size_t(read_number(bytes, 0, kLengthSize));
    bool in_range = length >= kDataAt && length <= limits.max_data_bytes + kDataAt;
    if (!in_range || length > bytes.size() - kRecordHeadSize) return std::nullopt;
    std::string_view payload = bytes.substr(kRecordHeadSize, length);
    std::uint64_t stored_checksum = read_number(bytes, kLengthSize, kNumberSize);
    if (checksum(payload, limits.cluster_fingerprint) != stored_checksum) return std::nullopt;
    ParsedRecord parsed;
    Record& record = parsed.record;
    record.kind = RecordKind(payload[0]);
    if (record.kind < RecordKind::Entry || record.kind > RecordKind::HardState) return std::nullopt;
    record.number = read_number(payload, kNumberAt, kNumberSize);
    record.synced_number = read_number(payload, kSyncedNumberAt, kNumberSize);
    record.index = read_number(payload, kIndexAt, kNumberSize);
    record.term = read_number(payload, kTermAt, kNumberSize);
    record.data = payload.substr(kDataAt);
    parsed.size = kRecordHeadSize + length;
    return parsed;
}

std::string file_header(std::uint64_t cluster_fingerprint) {
    std::string text(kFormat);
    text += hex(cluster_fingerprint);
    text += ' ';
    return text + hex(checksum(text, 0)) + '\n';
}

std::size_t file_header_size() {
    return kHeaderSize;
}

std::string incompatibility(std::string_view file, std::uint64_t cluster_fingerprint) {
    if (file.size() < kHeaderSize || file.starts_with(file_header(cluster_fingerprint))) return "";
    constexpr std::size_t kChecksumAt = kHeaderSize - kChecksumTextSize;
    std::string_view text = file.substr(0, kChecksumAt);
    bool undamaged = file.substr(kChecksumAt, kHexDigits) == hex(checksum(text, 0));
    if (!undamaged) return "";
    return file.starts_with(kFormat) ? "is another cluster's"
                                     : "is of a version that this program does not read";
}

std::string segment_name(std::uint64_t first_number) {
    return std::string(kSegmentPrefix) + hex(first_number);
}

std::string snapshot_name(std::uint64_t index) {
    return std::string(kSnapshotPrefix) + hex(index);
}

std::optional<std::uint64_t> segment_number(const std::string& name) {
    return number_in_name(name, kSegmentPrefix);
}

std::optional<std::uint64_t> snapshot_index(const std::string& name) {
    return number_in_name(name, kSnapshotPrefix);
}

}  // namespace ochrehub::store
