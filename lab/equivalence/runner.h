// Command line of the equivalence programs: each plays simulations of one group of cores and prints a hash of
// all their decisions, or every decision as a line.
//   PROGRAM hash SEEDS JOBS             a line for each scenario and seed: "SCENARIO SEED EVENTS HASH"
//   PROGRAM trace SCENARIO SEED FILE    every decision of that run as a line of FILE
// lab/experiments/equivalence.sh compares the output of two builds.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace ochrehub::lab::equivalence {

/// One simulation that is played from a seed on the calling thread.
struct Scenario {
    std::string name;
    std::function<void(std::uint64_t seed)> play;
};

/// The program's exit code: 0, or 2 where the command line is not understood.
int run(int count, char** words, const std::vector<Scenario>& scenarios);

}  // namespace ochrehub::lab::equivalence
