// Days of the shards' world: faults drawn from a seed, and scripts that reach one kind of fault by name.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "lab/shards/simulation.h"

namespace ochrehub::lab::shards {

/// 25 s of drawn faults, of which all are healed, then quiet until all is settled again.
Simulation::Result run_random_faults(const SimulationSettings& settings);

struct Scenario {
    std::string_view name;
    std::function<Simulation::Result(SimulationSettings)> run;
};
const std::vector<Scenario>& scenarios();

/// A day without other faults, with one at an event's number: killed in or behind it, or stopped and let go
/// two views later.
struct FaultRun {
    bool was_injected = false;
    Simulation::Result result;
};
FaultRun run_with_fault_at(std::uint64_t number, Simulation::AtEvent what, std::uint64_t seed,
                           std::size_t joins = 1);
/// Events of that day's script.
std::uint64_t count_events(std::uint64_t seed);

}  // namespace ochrehub::lab::shards
