// Conversions between the types of this module and their protobuf messages that more than one file needs.
#pragma once

#include <coordinator.pb.h>

#include "fleet/coordinator/replicated_state.h"
#include "fleet/raft/raft.h"

namespace ochrehub::coordinator {

/// Appends the members to a message that has a repeated Member `members`.
template <class Message>
void add_members(const raft::Members& members, Message& message) {
    for (const raft::Member& member : members) {
        wire::Member* added = message.add_members();
        added->set_id(member.id);
        added->set_voter(member.voter);
        added->set_address(member.address);
    }
}

/// All but `attempt`, which status reports don't have.
void encode_session(const SessionInfo& info, wire::SessionRecord& record);
SessionInfo decode_session(const wire::SessionRecord& record);

}  // namespace ochrehub::coordinator
