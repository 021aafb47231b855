// The schema versions of shared records, and the conversion between adjacent versions. A conversion step is a
// pure function of a group: all records that belong together in any version (those of one client, one
// document or one duty), so that one record may become several and vice versa. A group is the unit of
// storage, locking and comparison; its name is the same in all versions of its kind.
//
// A record keeps what its version can't express for the adjacent version (`beyond` and `behind` in
// proto/records.proto): converted down and up again it is unchanged, and includes what was written in
// between. Two records are equal if they differ only in what is kept. Spent amounts are rounded up, so that
// nothing spent is lost. All functions are stateless and thread safe.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/error/error.h"

namespace ochrehub::schema {

using Version = std::uint32_t;  ///< a schema version, starting at 1; 0: none

enum class Kind : std::uint8_t { Sessions, Rates, Rules, Fences, Snapshots };
inline constexpr std::size_t kKindCount = 5;
std::string_view name(Kind kind);
/// False: there is no kind of this name.
bool parse_kind(std::string_view name, Kind& kind);

enum class Error : std::uint8_t {
    UnknownKind,
    UnknownSchema,  ///< this release doesn't know the version
    Malformed,      ///< bytes that are no valid record of their version
    DoesNotFit,     ///< a value that the other version can't represent
    TooLarge,       ///< a group exceeds the limit of records or bytes
    EmptyRange,     ///< a range without any version
    Apart,          ///< two processes have no version in common
};
inline constexpr std::size_t kErrors = 7;
const fleet::ErrorRow& row(Error error);
using Failure = fleet::Failure<Error>;

struct Record {
    std::string key, value;
    friend bool operator==(const Record&, const Record&) = default;
};
using Group = std::vector<Record>;  ///< sorted by key, unique
using Result = std::variant<Group, Failure>;

inline constexpr std::size_t kMaxGroupRecords = 2048;
inline constexpr std::size_t kMaxGroupBytes = 512 << 10;  ///< keys and values
inline constexpr std::uint64_t kBindingLeaseMs =
    1'800'000;  ///< how long a client keeps its cell after it was last seen
inline constexpr std::uint64_t kMillion = 1'000'000;

Version newest_version(Kind kind);  ///< the newest known version; the oldest is always 1

/// The normal form of a group: sorted, without empty records. Fails if it is not a valid group of this
/// version.
Result canonical(Kind kind, Version schema, const Group& group);
Result up(Kind kind, Version from, const Group& group);    ///< to from + 1
Result down(Kind kind, Version from, const Group& group);  ///< to from - 1
/// Applies all steps between the two versions.
Result convert(Kind kind, Version from, Version to, Group group);
/// The group without what is kept for other versions.
Result bare(Kind kind, Version schema, const Group& group);
/// The name of the group that a key belongs to. Empty: not a key of this version.
std::string_view group_of(Kind kind, Version schema, std::string_view key);

/// The spent amount in millionths of a request, by tenant. Empty for kinds other than Rates.
using Spent = std::map<std::string, std::uint64_t, std::less<>>;
std::variant<Spent, Failure> spent(Kind kind, Version schema, const Group& group);

// Versions that a process reads

struct Range {
    Version min = 1, max = 1;
    bool contains(Version n) const { return min <= n && n <= max; }
    friend bool operator==(const Range&, const Range&) = default;
};
using Ranges =
    std::array<Range, kKindCount>;  ///< by Kind; a process writes the one of them that the fleet writes
/// Whether two processes can run in one fleet; otherwise the failure names the first incompatible kind.
std::variant<std::monostate, Failure> compatible(const Ranges& one, const Ranges& other);
/// The ranges of a release: the newest version of each kind and the one below, so that adjacent releases can
/// run together.
Ranges ranges_of_newest(const std::array<Version, kKindCount>& newest);
/// The ranges of this program. Not a setting: a test program of an older release links another object instead
/// of release.cpp.
const Ranges& supported_ranges();

}  // namespace ochrehub::schema
