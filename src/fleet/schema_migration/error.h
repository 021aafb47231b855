// What may go wrong with a level or a migration, and what its stages are.
#pragma once

#include <cstdint>
#include <string_view>

#include "fleet/error/error.h"
#include "fleet/schema/schema.h"

namespace ochrehub::schema_migration {

enum class Error : std::uint8_t {
    Malformed,  ///< no message of this version, or one that says nonsense
    UnknownKind,
    NotNextTo,   ///< a level that is no neighbour of the fleet's
    Running,     ///< another migration is under way
    Nothing,     ///< none is
    Silent,      ///< a live session has not said what it reads
    OldRelease,  ///< a process that does not read what the fleet writes
    NewRelease,  ///< ... since it is two releases or more ahead
    OldProcess,  ///< one that does not read what the migration goes to
    Stale,       ///< an older owner, stage or migration
    Owned,       ///< somebody else owns it
    TooLate,     ///< to go back
    NotYet,      ///< to narrow
    Differs,     ///< the two forms, at the comparison
    Refusals,    ///< more than the operators said
    Conversion,  ///< of a group that cannot be written in the other schema
    Full,        ///< no room for both forms
    OldLevel,    ///< a write in a schema that is no longer written
    NewLevel,    ///< ... that is not written yet, or no longer after a way back
    Changed,     ///< somebody else wrote the group meanwhile
    Elsewhere,   ///< this shard is held by another
};
inline constexpr std::size_t kErrors = 21;
const fleet::ErrorRow& row(Error error);
using Failure = fleet::Failure<Error>;

/// Of a migration, in their order. Those behind Done lead back.
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
/// Stages in which shards have something to do.
inline bool works(Stage stage) {
    return !ended(stage) && stage != Stage::Hold;
}

/// How errors stand in messages: 0 is none.
inline std::uint32_t on_wire(Error error) {
    return std::uint32_t(error) + 1;
}
/// Zero or nonsense is taken for Malformed; to be asked where one was said.
inline Error from_wire(std::uint32_t error) {
    return error - 1 < kErrors ? Error(error - 1) : Error::Malformed;
}

}  // namespace ochrehub::schema_migration
