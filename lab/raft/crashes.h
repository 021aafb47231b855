// A crash behind each event of one day, none left out.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/raft/world.h"

namespace ochrehub::lab {

struct CrashDay {
    bool reached = false;  ///< the day had that many events
    std::vector<std::string> broken;
};
/// Three keepers: an election, calls, snapshots, a member more, a handover, the first leader taken out.
/// Behind event `n` (from 1; 0: none) the keeper that it happened to crashes, and starts 200 ms later.
CrashDay crash_day(std::uint64_t n, Keeps keeps, const Sabotage& sabotage = {});

}  // namespace ochrehub::lab
