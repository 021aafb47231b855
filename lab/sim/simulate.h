// Runs days in virtual time: one, or many seeds over several threads with the same result whatever their
// number.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/result/result.h"
#include "lab/scenario/scenario.h"
#include "lab/sim/world.h"

namespace ochrehub::lab {

struct Simulated {
    Result result;
    std::uint64_t steps = 0;  ///< events of the virtual clock
    double cpu_s = 0;         ///< of this thread, drawing included; says nothing about the result
};

/// `trace`: a file that all records are written to; empty: none.
Simulated simulate(const Day& day, const WorldOptions& options = {}, const std::string& trace = {});

/// The seeds from `first` to `last`, `jobs` at a time. In the order of the seeds.
std::vector<Simulated> simulate(const Scenario& scenario, std::uint64_t first, std::uint64_t last, int jobs,
                                const WorldOptions& options = {});

}  // namespace ochrehub::lab
