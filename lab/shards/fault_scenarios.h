// Runs of the shards' simulation: random faults from a seed, named scenarios of one kind of fault each, and
// one fault at a numbered event.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "lab/shards/simulation.h"

namespace ochrehub::lab::shards {

/// 25 s of random faults, which are then all healed; ends when the shards have settled.
Simulation::Result run_random_faults(const SimulationSettings& settings);

struct Scenario {
    std::string_view name;
    std::function<Simulation::Result(SimulationSettings)> run;
};
const std::vector<Scenario>& scenarios();

/// A run with one fault, at the event with this number: the holder is killed during or after the event, or
/// paused after it and resumed two views later.
struct FaultRun {
    bool was_injected = false;
    Simulation::Result result;
};
FaultRun run_with_fault_at(std::uint64_t number, Simulation::AtEvent what, std::uint64_t seed,
                           std::size_t joins = 1);
/// Number of events of that run without the fault.
std::uint64_t count_events(std::uint64_t seed);

}  // namespace ochrehub::lab::shards
