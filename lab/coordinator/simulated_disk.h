// A coordinator's disk in virtual time: writes take time, and a crash loses any part of what is not durable.
#pragma once

#include <deque>

#include "fleet/raft/raft.h"
#include "ochrehub/balancer.h"

namespace ochrehub::lab {

struct SimulatedDisk {
    struct PendingWrite {
        TimePoint done_at;  // by the coordinator's clock
        raft::Write write;
    };
    raft::PersistentState durable;
    std::deque<PendingWrite> pending;  // in the order of their ends

    /// Makes a write durable.
    void apply(const raft::Write& write);

private:
    void apply_snapshot(const raft::Snapshot& snapshot);
};

}  // namespace ochrehub::lab
