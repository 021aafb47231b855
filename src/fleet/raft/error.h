// Why a client's request to consensus was rejected. Responsible for the codes and texts that operators see.
// Plain values, safe on any thread.
#pragma once

#include "fleet/error/error.h"

namespace ochrehub::raft {

enum class Error {
    NotLeader,           ///< this server doesn't lead; Rejected::leader_hint names the leader if it is known
    Busy,                ///< Settings::max_pending_requests are pending, or leadership is being transferred
    MembershipChanging,  ///< another membership change is not committed, or a member still catches up
    LeadershipLost,      ///< the server stepped down meanwhile: the entry is possibly committed, now or later
    UnknownMember,       ///< to remove: no such member; to add: it is one already
    LastVoter,           ///< removing it would leave no voter
};

/// The code and texts of `error`. Codes are stable (docs/errors.md).
const fleet::ErrorRow& row(Error error);

}  // namespace ochrehub::raft
