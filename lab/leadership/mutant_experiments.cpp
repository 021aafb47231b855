// For each mutant the runs that are to reveal it.
#include "lab/leadership/experiments.h"

namespace ochrehub::lab::leadership {

namespace {

constexpr std::uint64_t kSeeds = 20;
constexpr Duration kFaultDuration{20'000};

bool needs_cut(Mutant mutant) {
    return mutant == Mutant::IgnoresLease || mutant == Mutant::KeepersCountLess ||
           mutant == Mutant::LeaseFromAnswer || mutant == Mutant::LeaderGivesLess;
}

bool needs_transfer(Mutant mutant) {
    return mutant == Mutant::HandsOverAtWork || mutant == Mutant::GrantsBeforeRest;
}

LeaseSimulationSettings settings_for(Mutant revealed, const LeaseSimulationSettings& base,
                                     std::uint64_t seed) {
    LeaseSimulationSettings settings = base;
    settings.seed = seed;
    settings.items = 160;
    settings.transfer_at = Duration{2000 + 137.0 * double(seed)};
    settings.work_interval = Duration{50};
    if (!needs_transfer(revealed)) settings.transfer_at.reset();
    if (revealed == Mutant::RepeatsWithoutAsking) settings.loss = 0.2;
    if (revealed == Mutant::LeaseFromAnswer) settings.patience = Duration{2200};
    return settings;
}

void cut_off_holder(LeaseSimulation& simulation, Mutant revealed, const LeaseSimulationSettings& settings) {
    simulation.run_to(simulation.started_at() + Duration{2000 + 137.0 * double(settings.seed)});
    auto holder = simulation.working_holder();
    if (revealed == Mutant::LeaseFromAnswer && holder) {
        for (std::size_t i = 0; i < settings.keepers; ++i) simulation.net().delay(i, *holder, Duration{2000});
        simulation.run_to(simulation.net().now() + Duration{1300});
        holder = simulation.working_holder();
    }
    if (!holder) return;
    simulation.inject(*holder, Fault::CutToKeepers, kFaultDuration);
    if (revealed == Mutant::LeaderGivesLess)
        simulation.inject(simulation.coordinators().leads().value_or(0), Fault::Kill, kFaultDuration);
}

}  // namespace

std::string_view revealing_fault(Mutant mutant) {
    switch (mutant) {
        case Mutant::None:
            return "none";
        case Mutant::EpochNotRaised:
        case Mutant::NextAsksNothing:
        case Mutant::EffectBeforeWritten:
            return "kill at each event";
        case Mutant::RetiresBeforeEnd:
        case Mutant::NoFence:
            return "pause at each event, longer than the lease";
        case Mutant::LeaseFromAnswer:
            return "responses up to 2 s late, then the holder cut off from the coordinators one way";
        case Mutant::IgnoresLease:
        case Mutant::KeepersCountLess:
            return "the holder cut off from the coordinators one way";
        case Mutant::RepeatsWithoutAsking:
            return "one message in five lost";
        case Mutant::HandsOverAtWork:
        case Mutant::GrantsBeforeRest:
            return "a transfer";
        case Mutant::LeaderGivesLess:
            return "the leader killed while the holder is cut off from the coordinators one way";
        case Mutant::ForgetsRetired:
            return "all effects redelivered at the end";
    }
    return "";
}

ExperimentResult runs_for_mutant(Mutant revealed, Mutant in_effect) {
    LeaseSimulationSettings settings = scripted(20);
    settings.mutant = in_effect;
    settings.redeliver_all_at_end = revealed == Mutant::ForgetsRetired;
    switch (revealed) {
        case Mutant::EpochNotRaised:
        case Mutant::NextAsksNothing:
        case Mutant::EffectBeforeWritten:
            return fault_at_each_event(settings, Fault::Kill, {1, 3});
        case Mutant::RetiresBeforeEnd:
        case Mutant::NoFence:
            return fault_at_each_event(settings, Fault::Stop, {1, 2});
        default:
            break;
    }
    ExperimentResult result;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const LeaseSimulationSettings with_seed = settings_for(revealed, settings, seed);
        LeaseSimulation simulation(with_seed);
        if (needs_cut(revealed)) cut_off_holder(simulation, revealed, with_seed);
        simulation.run(Duration{90'000});
        result.add(simulation, {}, "seed " + std::to_string(seed));
    }
    return result;
}

}  // namespace ochrehub::lab::leadership
