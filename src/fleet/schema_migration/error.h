// The errors and the stages of schema migrations.
#pragma once

#include <cstdint>
#include <string_view>

#include "fleet/error/error.h"
#include "fleet/schema/schema.h"

namespace ochrehub::schema_migration {

enum class Error : std::uint8_t {
    Malformed,  ///< not a message of this version, or with invalid values
    UnknownKind,
    NotNextTo,   ///< not adjacent to the version that the fleet writes
    Running,     ///< another migration is in progress
    Nothing,     ///< no migration is in progress
    Silent,      ///< an active session hasn't reported what it reads
    OldRelease,  ///< the process doesn't read what the fleet writes
    NewRelease,  ///< the process is too many releases ahead to read what the fleet writes
    OldProcess,  ///< the process doesn't read the target version of the migration
    Stale,       ///< an older owner, stage or migration
    Owned,       ///< another process owns the migration
    TooLate,     ///< going back is no longer possible
    NotYet,      ///< Narrow is not possible before Hold
    Differs,     ///< the two versions of a group differ
    Refusals,    ///< more writes were refused than the operators allowed
    Conversion,  ///< a group can't be written in the other version
    Full,        ///< no capacity for both versions
    OldLevel,    ///< a request in a version that is no longer written
    NewLevel,    ///< a request in a version that is not written yet, or not any more after going back
    Changed,     ///< another process has written the group since it was read
    Elsewhere,   ///< another process holds this shard
};
inline constexpr std::size_t kErrors = 21;
const fleet::ErrorRow& row(Error error);
using Failure = fleet::Failure<Error>;

/// Stages of a migration, in their order. Those after Done lead back.
enum class Stage : std::uint8_t {
    None,
    Widen,
    Convert,
    Compare,
    Switch,
    Hold,
    Narrow,
    Done,
    Unswitch,
    Unwiden,
    Undone
};
std::string_view name(Stage stage);
inline bool ended(Stage stage) {
    return stage == Stage::None || stage == Stage::Done || stage == Stage::Undone;
}
/// Whether shards have work in this stage.
inline bool works(Stage stage) {
    return !ended(stage) && stage != Stage::Hold;
}

/// The number of an error in messages, where 0 means none.
inline std::uint32_t on_wire(Error error) {
    return std::uint32_t(error) + 1;
}
/// Zero and unknown numbers become Malformed, so call it only for a number that isn't zero.
inline Error from_wire(std::uint32_t error) {
    return error - 1 < kErrors ? Error(error - 1) : Error::Malformed;
}

}  // namespace ochrehub::schema_migration
