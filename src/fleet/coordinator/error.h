// Errors of the coordination service: the ones in responses to clients and commands, and the ones that keep a
// coordinator from starting or stop it. Their codes for operators are in error.cpp and docs/errors.md.
#pragma once

#include <cstdint>

#include "fleet/error/error.h"

namespace ochrehub::coordinator {

/// The numbers are part of the wire and storage format: they are never reused.
enum class Error : std::uint8_t {
    None = 0,
    NotLeader = 1,            ///< the response names the leader, where it is known
    Busy = 2,                 ///< too many requests are pending
    NoSession = 3,            ///< the session has ended, or was never opened
    UnknownKind = 4,          ///< there is no state machine of this kind
    PossiblyExecuted = 5,     ///< the command was sent, and its outcome is unknown
    OutOfOrder = 6,           ///< an earlier command of the session is missing: resend from that one on
    ResponseDiscarded = 7,    ///< the client had acknowledged the response, so it is no longer cached
    TooLong = 8,              ///< a command or a name is longer than the limit
    Malformed = 9,            ///< not a message of this version
    MembershipChanging = 10,  ///< another membership change is in progress
    UnknownMember = 11,
    TooManySessions = 12,
    Unreachable = 13,  ///< no leader was found in time
    // Of a coordinator's own start and operation.
    UnknownEntry = 14,        ///< a newer release has written what this one can't read
    Untrusted = 15,           ///< the data directory is empty or incomplete, and no start option allows that
    StorageFailed = 16,       ///< the disk failed
    LastVoter = 17,           ///< the membership change would leave no voter
    AlreadyInitialized = 18,  ///< a start option is for an empty data directory, and this one isn't
};

/// Code, description and remedy, for logs, `--json` and docs/errors.md.
const fleet::ErrorRow& row(Error error);

}  // namespace ochrehub::coordinator
