// Explores all orders of events of three servers up to a depth: a message arrives (a lost one never does), or
// arrives and will once more; a disk completes its writes; a timer fires; a server crashes with or without
// what was not synced; a proposal or a read reaches the leader. Single-threaded, no clock of its own.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/raft/mutation.h"

namespace ochrehub::lab {

/// What the servers have gone through before the exploration starts.
enum class ExplorationStart {
    Empty,       ///< nothing
    Candidates,  ///< two request votes in one term
    Leader,      ///< one leads, with an entry that is proposed and not sent
    OldLeader,   ///< one leads; another that led before doesn't know it, and its entries are in flight
    Removal,     ///< one leads and removes another; no server knows it yet
};
std::string name(ExplorationStart start);

/// How many events of each kind a path may hold. Arrivals and completed writes are bounded by the depth
/// alone.
struct EventBudget {
    int crashes = 1;
    int timers = 2;
    int duplicates = 1;
    int proposals = 1;
    int reads = 0;
};

struct ExplorationSettings {
    ExplorationStart start = ExplorationStart::Empty;
    int depth = 6;  ///< events of a path
    EventBudget budget;
    const RaftMutation* mutation = nullptr;  ///< null: none
};
struct ExplorationResult {
    std::uint64_t steps = 0;              ///< taken, each from a copy of a state
    std::uint64_t states = 0;             ///< that differ
    std::vector<std::string> violations;  ///< the first few, each with the path that led to it
};
ExplorationResult explore_raft(const ExplorationSettings& settings);

}  // namespace ochrehub::lab
