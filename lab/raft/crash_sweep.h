// One scripted run of a consensus group, repeated with a crash after each of its events. Deterministic; a run
// is single-threaded, several may run in parallel.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/raft/simulation.h"

namespace ochrehub::lab {

struct CrashRunSettings {
    std::uint64_t crash_after_event = 0;  ///< from 1 on; zero: no crash
    UnsyncedWrites unsynced = UnsyncedWrites::Lost;
    RaftMutation mutation;
};
struct CrashRunResult {
    bool crashed = false;  ///< the run had that many events
    std::vector<std::string> violations;
};

/// Three servers: an election, operations, snapshots, an addition, a leadership transfer, the first leader's
/// removal. The server whose event it was crashes after it and starts again 200 ms later.
CrashRunResult run_with_crash(const CrashRunSettings& settings);

}  // namespace ochrehub::lab
