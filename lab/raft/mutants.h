// Known-faulty servers (mutants, as in mutation testing), each of which breaks one promise. They show that
// the invariant checker and the history checker find violations. Single-threaded; no clock of their own.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/raft/mutation.h"

namespace ochrehub::lab {

struct RaftMutant {
    using Scenario = std::function<std::vector<std::string>(const RaftMutation&)>;

    std::string name;                      ///< what it does wrong
    std::string expected_violation;        ///< part of what a checker reports of it
    std::function<RaftMutation()> create;  ///< a mutation may keep state: one for each run
    /// Where random faults would take long: returns the violations of a scenario. Null: random faults find
    /// it.
    Scenario scenario = nullptr;
    std::uint64_t first_seed = 1;  ///< of random faults
};

/// All mutants, in a fixed order.
const std::vector<RaftMutant>& raft_mutants();

struct MutantDetection {
    std::uint64_t seed = 0;  ///< zero: found in its scenario
    std::string violation;   ///< empty: not found
};
/// In its scenario, or by random faults: first by its first_seed, then by the seeds from 1 to `max_seed`.
MutantDetection detect_mutant(const RaftMutant& mutant, std::uint64_t max_seed);

}  // namespace ochrehub::lab
