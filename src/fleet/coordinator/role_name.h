// Names of Raft roles, in status reports and log lines.
#pragma once

#include <string_view>

#include "fleet/raft/raft.h"

namespace ochrehub::coordinator {

constexpr std::string_view role_name(raft::Role role) {
    switch (role) {
        case raft::Role::Follower:
            return "follower";
        case raft::Role::PreCandidate:
            return "pre-candidate";
        case raft::Role::Candidate:
            return "candidate";
        case raft::Role::Leader:
            return "leader";
        case raft::Role::Learner:
            return "learner";
    }
    return "";
}

}  // namespace ochrehub::coordinator
