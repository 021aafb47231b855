// What breaks a keeper from outside: by what it is told, says, writes and finds at its start.
#pragma once

#include <cstddef>
#include <functional>

#include "fleet/raft/raft.h"

namespace ochrehub::lab {

/// What a saboteur sees of the world that it is in.
class RaftSight {
public:
    virtual ~RaftSight() = default;
    virtual const raft::Raft& core(raft::NodeId id) const = 0;
    virtual std::size_t draw(std::size_t below) = 0;
    /// One message more, now.
    virtual void deliver(raft::NodeId to, raft::NodeId from, const raft::Message& message) = 0;
};

/// Those that give bool: false: it does not happen.
struct Sabotage {
    std::function<bool(RaftSight&, raft::NodeId from, raft::NodeId to, raft::Message&)> sends;
    std::function<bool(RaftSight&, raft::NodeId to, raft::NodeId from, raft::Message&)> receives;
    std::function<void(RaftSight&, raft::NodeId, raft::PersistentState&)> starts;
    std::function<void(RaftSight&, raft::NodeId, raft::Write&)> writes;
    std::function<void(RaftSight&, raft::NodeId, raft::Actions&)> acts;
    // In RaftWorld alone.
    bool early = false;        ///< Written comes before anything is on the disk
    bool local_reads = false;  ///< a leader answers reads by itself
    bool hasty = false;        ///< a call is answered when it is taken, not when it is agreed on
    bool behind = false;       ///< a snapshot says one entry less than it holds
    bool deaf = false;         ///< a snapshot's state is not taken
};

}  // namespace ochrehub::lab
