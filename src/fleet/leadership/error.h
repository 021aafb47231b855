// Errors of the replicated state machine of leadership leases. Codes and texts: docs/errors.md.
#pragma once

#include "fleet/error/error.h"

namespace ochrehub::leadership {

/// Why a command was rejected. A rejected command changes nothing.
enum class Error {
    Malformed,          ///< cannot be decoded, or holds no command
    InvalidName,        ///< empty, too long, or with characters that the name of a role may not have
    InvalidWeight,      ///< outside of 1 to kMaxWeight
    TooManyRoles,       ///< Limits::max_roles
    TooManyCandidates,  ///< Limits::max_candidates_per_role or Limits::max_candidates
    NoSession,          ///< the sender has no session
    UnknownRole,        ///< a standing role without candidates
    JobNotFound,        ///< a job that was removed or never created
    NotHolder,          ///< another session holds the lease, or it was granted under another epoch
    JobNotCompleted,    ///< RemoveJob before CompleteJob
};
inline constexpr std::size_t kErrors = 10;

/// The stable code and the texts for operators.
const fleet::ErrorRow& row(Error error);

}  // namespace ochrehub::leadership
