// Hand-written scenarios that expose mutants which random faults would seldom expose. Each returns the
// violations that were found; none with a correct server. Single-threaded, no clock of their own.
#pragma once

#include "lab/raft/exploration.h"
#include "lab/raft/mutants.h"

namespace ochrehub::lab {

/// Figure 8 of Ongaro and Ousterhout (2014) with three servers: an entry of an old term is on a majority, and
/// a server is elected that holds an entry of a later term instead.
std::vector<std::string> figure_eight_scenario(const RaftMutation& mutation);

/// A server loses acknowledged entries. They would be missing from the next leader's log if it were trusted
/// before it holds them again.
std::vector<std::string> lost_acknowledgement_scenario(const RaftMutation& mutation);

/// All orders of events, without timers and duplicates.
RaftMutant::Scenario exploration_scenario(ExplorationStart start, int depth);

}  // namespace ochrehub::lab
