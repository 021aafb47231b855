// Series of lease simulations: a fault at each event of a scripted run, seeds with random faults, the time
// without a holder, and the mutants, each with the fault that reveals it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "lab/leadership/lease_simulation.h"

namespace ochrehub::lab::leadership {

struct ExperimentResult {
    std::uint64_t runs = 0;
    std::uint64_t events = 0;
    std::uint64_t effects = 0;
    std::uint64_t rejected = 0;    ///< effects under a superseded epoch
    std::uint64_t holders = 0;     ///< changes of the holder, as receivers saw them
    std::uint64_t violations = 0;  ///< runs with at least one
    std::string first_violation;   ///< with the run that shows it
    void add(const LeaseSimulation& simulation, const CheckerSettings& settings, const std::string& run);
};

/// Three lease holders, three coordinators, two receivers, one job; an operator transfers it halfway.
LeaseSimulationSettings scripted(std::uint64_t items, std::uint64_t seed = 1);

/// Which events of a run get a fault: `first`, `first + stride`, ... until the run has no more.
struct EventRange {
    std::uint64_t first = 1;
    std::uint64_t stride = 1;
};
/// One run per event. `twice`: a run per pair of events, the second after the first by the same stride.
ExperimentResult fault_at_each_event(const LeaseSimulationSettings& settings, Fault fault,
                                     const EventRange& events, bool twice = false);

/// Kills, pauses, one-sided cuts, loss, late and duplicated messages at once, for 20 s, three jobs. Odd seeds
/// pause no process.
ExperimentResult random_faults(std::uint64_t from, std::uint64_t to, bool real = false);

struct Gaps {
    std::vector<Duration> each;  ///< sorted
    Duration median() const { return each.empty() ? Duration{0} : each[each.size() / 2]; }
    Duration worst() const { return each.empty() ? Duration{0} : each.back(); }
};
enum class Handover { Kill, Stop, CutToKeepers, Move };
/// Between the last effect of the old holder and the first of the next, as receivers saw them.
Gaps time_without_holder(Handover handover, std::uint64_t seeds, Duration lease, bool real = false);

/// The runs that are to reveal mutant `revealed`, with mutant `in_effect`: the same, or None.
ExperimentResult runs_for_mutant(Mutant revealed, Mutant in_effect);
std::string_view revealing_fault(Mutant mutant);

}  // namespace ochrehub::lab::leadership
