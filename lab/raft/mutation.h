// How a known-faulty server (a mutant, as in mutation testing) is made: hooks that change what a correct core
// receives, sends, writes and starts from. The core itself knows nothing of them.
// Plain callbacks, called on the simulation's thread.
#pragma once

#include <cstddef>
#include <functional>

#include "fleet/raft/raft.h"

namespace ochrehub::lab {

/// What a mutation may read and do in the simulation that it runs in.
class RaftMutationContext {
public:
    virtual ~RaftMutationContext() = default;
    virtual const raft::Raft& core(raft::NodeId id) const = 0;
    /// Uniform in [0, below).
    virtual std::size_t random_below(std::size_t below) = 0;
    /// Delivers one more message, now.
    virtual void deliver(raft::NodeId to, raft::NodeId from, const raft::Message& message) = 0;
};

/// Unset hooks and flags change nothing. A hook that returns false drops the message.
struct RaftMutation {
    std::function<bool(RaftMutationContext&, raft::NodeId from, raft::NodeId to, raft::Message&)> on_send;
    std::function<bool(RaftMutationContext&, raft::NodeId to, raft::NodeId from, raft::Message&)> on_receive;
    std::function<void(RaftMutationContext&, raft::NodeId, raft::PersistentState&)> on_start;
    std::function<void(RaftMutationContext&, raft::NodeId, raft::Write&)> on_write;
    std::function<void(RaftMutationContext&, raft::NodeId, raft::Actions&)> on_actions;

    // Faults of the code around the core; in RaftSimulation alone.
    bool completes_writes_early = false;  ///< WriteCompleted before anything is durable
    bool serves_local_reads = false;      ///< the leader serves reads without a round
    bool responds_early = false;          ///< a response when the request arrives, not when it is committed
    bool understates_snapshots = false;   ///< a snapshot's index is one less than what its state includes
    bool ignores_snapshot_state = false;  ///< a snapshot is installed without its state
};

}  // namespace ochrehub::lab
