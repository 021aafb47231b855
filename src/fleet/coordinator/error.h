// What a keeper answers instead of what was asked for, and what a session meets on its way to one.
#pragma once

#include <cstdint>

#include "fleet/error/error.h"

namespace ochrehub::coordinator {

/// The numbers are in messages and in what is kept: never another's.
enum class Error : std::uint8_t {
    None = 0,
    NotLeader = 1,    ///< the answer says who leads, where that is known
    Busy = 2,         ///< too much waits
    NoSession = 3,    ///< it is over, or was never opened
    UnknownKind = 4,  ///< no machine of that kind here
    Uncertain = 5,    ///< sent, and not known whether it was carried out
    OutOfOrder = 6,   ///< a command before it is missing: send from that one on
    Forgotten = 7,    ///< an answer that the session had called settled
    TooLong = 8,      ///< a command or name that no keeper takes
    Malformed = 9,    ///< no message of this version
    Changing = 10,    ///< another change of members is under way
    UnknownMember = 11,
    TooMany = 12,      ///< sessions
    Unreachable = 13,  ///< no keeper that leads was found in time
    // Of a keeper's own start and run.
    Behind = 14,     ///< others have written what this release does not know
    Untrusted = 15,  ///< its folder is empty, and it was told neither to begin a cluster nor to join one
    Broken = 16,     ///< its disk failed
    LastVoter = 17,  ///< to Change: without it nobody could decide anything
    Begun = 18,      ///< it was told to begin, and its folder is not empty
};
const fleet::ErrorRow& row(Error error);

}  // namespace ochrehub::coordinator
