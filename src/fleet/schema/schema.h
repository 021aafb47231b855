// The schemas of what processes share, and the steps between neighbours. A step is a pure function of a
// group: all records that belong together whatever the schema (those of one client, one document, one duty),
// so that one record may become several and several one. Groups are what is stored, locked and compared; a
// group's name is the same in all schemas of its kind.
//
// What a schema cannot say it keeps for the other side (`beyond`, `behind` in proto/records.proto): a record
// that goes down and up again is what it was, and what was written between is in it. Two records are the same
// where they differ in nothing but what is kept. Of what is spent nothing is ever lost: it is rounded up. All
// here is without state and safe from any thread.
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

using Version = std::uint32_t;  ///< of a schema, from 1 on; 0: none

enum class Kind : std::uint8_t { Sessions, Rates, Rules, Fences, Snapshots };
inline constexpr std::size_t kKindCount = 5;
std::string_view name(Kind kind);
/// False: there is none of this name.
bool parse_kind(std::string_view name, Kind& kind);

enum class Error : std::uint8_t {
    UnknownKind,
    UnknownSchema,  ///< a number that this release has no schema for
    Malformed,      ///< octets that are no record of the schema they claim
    DoesNotFit,     ///< a value that the other schema has no room for
    TooLarge,       ///< more records or octets than a group may have
    EmptyRange,     ///< a range that holds no schema
    Apart,          ///< two processes of which neither reads what the other writes
};
inline constexpr std::size_t kErrors = 7;
const fleet::ErrorRow& row(Error error);
using Failure = fleet::Failure<Error>;

struct Record {
    std::string key, value;
    friend bool operator==(const Record&, const Record&) = default;
};
using Group = std::vector<Record>;  ///< by key, each once
using Result = std::variant<Group, Failure>;

inline constexpr std::size_t kMaxGroupRecords = 2048, kMaxGroupBytes = 512 << 10;  ///< of a group
inline constexpr std::uint64_t kBindingLeaseMs = 1'800'000;  ///< how long a client keeps its cell unseen
inline constexpr std::uint64_t kMillion = 1'000'000;

Version newest_version(Kind kind);  ///< the newest that this tree knows; the first is always 1

/// As every reader takes it: sorted, records that say nothing left out. Octets that are no group of this
/// schema are refused.
Result canonical(Kind kind, Version schema, const Group& group);
Result up(Kind kind, Version from, const Group& group);    ///< to from + 1
Result down(Kind kind, Version from, const Group& group);  ///< to from - 1
/// By as many steps as it takes.
Result convert(Kind kind, Version from, Version to, Group group);
/// Without what is kept for other schemas: what the records say by themselves.
Result bare(Kind kind, Version schema, const Group& group);
/// The group that a key belongs to, or nothing where it is no key of this schema.
std::string_view group_of(Kind kind, Version schema, std::string_view key);

/// What is spent, in millionths of a request, by tenant. Of other kinds than rates: empty.
using Spent = std::map<std::string, std::uint64_t, std::less<>>;
std::variant<Spent, Failure> spent(Kind kind, Version schema, const Group& group);

// ---- Who reads what
struct Range {
    Version min = 1, max = 1;
    bool contains(Version n) const { return min <= n && n <= max; }
    friend bool operator==(const Range&, const Range&) = default;
};
using Ranges = std::array<Range, kKindCount>;  ///< by Kind: what a process reads and, once the fleet's level
                                               ///< is there, writes
/// Nothing: they may work side by side. Else the kind at which they may not.
std::variant<std::monostate, Failure> compatible(const Ranges& one, const Ranges& other);
/// What a release reads: the newest of each kind and its neighbour below, so that neighbours may work side by
/// side.
Ranges ranges_of_newest(const std::array<Version, kKindCount>& newest);
/// Of this program. Not a setting: a test's program of an older release links another object in its place
/// (release.cpp).
const Ranges& supported_ranges();

}  // namespace ochrehub::schema
