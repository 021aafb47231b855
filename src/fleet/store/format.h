// The stored format of a log: names and headers of its files, and their records. Responsible for encoding and
// for rejecting what is damaged; which records a log holds is log.h's.
// Pure functions, safe on any thread; no clock.
//
// A file is a header and records. A header is 51 bytes of text: format and version, the cluster's
// fingerprint, a checksum of both. All versions keep this form, so that a torn header is not taken for
// another version's. A record is its payload's length (4 bytes) and checksum (8, xxHash64 seeded by the
// cluster's fingerprint), then the payload: kind (1), number (8), synced number (8), index (8), term (8),
// data. Numbers are big-endian.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ochrehub::store {

/// The values are stored.
enum class RecordKind : std::uint8_t {
    Entry = 1,   ///< an entry of the log at `index`; in a snapshot's file: the snapshot as of `index`
    Truncation,  ///< entries from `index` on are deleted
    HardState,   ///< `term`, and in `data` whom this server voted for in it
};

struct Record {
    RecordKind kind = RecordKind::Entry;
    std::uint64_t number = 0;  ///< rises by one over all segments, from 1 on; zero in a snapshot's file
    std::uint64_t synced_number = 0;  ///< the last record that was known to be durable when this was written
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string_view data;
};

std::string encode(const Record& record, std::uint64_t cluster_fingerprint);

struct ParseLimits {
    std::uint64_t cluster_fingerprint = 0;
    std::size_t max_data_bytes = 0;
};
struct ParsedRecord {
    Record record;         ///< its data points into the bytes that were parsed
    std::size_t size = 0;  ///< of the encoded record, bytes
};
/// The record that `bytes` begins with. Nothing where it is incomplete or damaged.
std::optional<ParsedRecord> parse_record(std::string_view bytes, const ParseLimits& limits);
/// No record is shorter, bytes.
std::size_t min_record_size();

std::string file_header(std::uint64_t cluster_fingerprint);
std::size_t file_header_size();
/// Why this program must not use a file whose header is undamaged: it is another cluster's, or of another
/// version. Empty where it may, or where the header is damaged.
std::string incompatibility(std::string_view file, std::uint64_t cluster_fingerprint);

std::string segment_name(std::uint64_t first_number);
std::string snapshot_name(std::uint64_t index);
/// The number in a segment's name; nothing for other files.
std::optional<std::uint64_t> segment_number(const std::string& name);
/// The index in a snapshot's name; nothing for other files.
std::optional<std::uint64_t> snapshot_index(const std::string& name);

/// Name of a file that is being written and gets its own name when it is durable.
inline constexpr const char* kTemporaryName = "fresh";
/// Its existence marks that acknowledged data was lost and is not recovered yet.
inline constexpr const char* kDataLostMarkName = "lost";
/// Before the name of a file that is no longer used.
inline constexpr const char* kSetAsidePrefix = "aside-";

}  // namespace ochrehub::store
