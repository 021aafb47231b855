// Lease holders, receivers and coordinators in virtual time, checked from the receivers' records; and the
// invariant checker, on known-faulty implementations.
#include <gtest/gtest.h>

#include "lab/leadership/experiments.h"

namespace ochrehub::lab::leadership {
namespace {

void expect_sound(const ExperimentResult& result, std::uint64_t runs) {
    EXPECT_EQ(result.violations, 0u) << result.first_violation;
    EXPECT_GE(result.runs, runs);
}

TEST(LeaseSimulation, WithoutFaultsTheJobIsTransferredOnceAndEachItemIsDoneOnce) {
    LeaseSimulation simulation(scripted(20));
    simulation.run(Duration{30'000});
    EXPECT_TRUE(check_invariants(simulation.effects(), {}).empty());
    EXPECT_EQ(simulation.effects().effects.size(), 20u);
    EXPECT_EQ(simulation.effects().effects.front().epoch, 1u);
    EXPECT_EQ(simulation.effects().effects.back().epoch, 2u);
}

TEST(LeaseSimulation, HoldsInvariantsWithAKillAtAnyEvent) {
    expect_sound(fault_at_each_event(scripted(20), Fault::Kill, {1, 4}), 100);
}
TEST(LeaseSimulation, HoldsInvariantsWithAPauseLongerThanTheLeaseAfterAnyEvent) {
    expect_sound(fault_at_each_event(scripted(20), Fault::Stop, {1, 4}), 100);
}
TEST(LeaseSimulation, HoldsInvariantsWithAOneSidedCutAtAnyEvent) {
    expect_sound(fault_at_each_event(scripted(20), Fault::CutToKeepers, {1, 4}), 100);
}
TEST(LeaseSimulation, HoldsInvariantsWithKillsAtAnyTwoEvents) {
    expect_sound(fault_at_each_event(scripted(4), Fault::Kill, {1, 17}, true), 100);
}
TEST(LeaseSimulation, HoldsInvariantsWithAllFaultsAtOnce) {
    expect_sound(random_faults(1, 41), 40);
}

// The same over Raft, replicas and sessions as shipped.
LeaseSimulationSettings real(std::uint64_t items) {
    LeaseSimulationSettings settings = scripted(items);
    settings.real = true;
    return settings;
}
TEST(LeaseSimulationOverRaft, HoldsInvariantsWithAKillAtAnyEvent) {
    expect_sound(fault_at_each_event(real(20), Fault::Kill, {1, 11}), 40);
}
TEST(LeaseSimulationOverRaft, HoldsInvariantsWithAPauseLongerThanTheLeaseAfterAnyEvent) {
    expect_sound(fault_at_each_event(real(20), Fault::Stop, {1, 11}), 40);
}
TEST(LeaseSimulationOverRaft, HoldsInvariantsWithAOneSidedCutAtAnyEvent) {
    expect_sound(fault_at_each_event(real(20), Fault::CutToKeepers, {1, 11}), 40);
}
TEST(LeaseSimulationOverRaft, HoldsInvariantsWithAllFaultsAtOnce) {
    expect_sound(random_faults(1, 13, true), 12);
}

TEST(LeaseSimulation, TimeWithoutAHolderIsWhatTheSettingsMakeUnavoidable) {
    // What is left of the lease, the leader's timer, the next holder's renewal, its queries to the receivers.
    for (Handover handover : {Handover::Kill, Handover::Stop, Handover::CutToKeepers}) {
        Gaps gaps = time_without_holder(handover, 20, Duration{3000});
        EXPECT_EQ(gaps.each.size(), 20u);
        EXPECT_LT(gaps.worst(), Duration{3000 * 1.01 + 100 + 1000 + 450});
        EXPECT_GT(gaps.worst(), Duration{100});
    }
    EXPECT_LT(time_without_holder(Handover::Move, 20, Duration{3000}).worst(), Duration{1500});
}

class Mutants : public testing::TestWithParam<std::size_t> {};
TEST_P(Mutants, IsRevealedByItsFaultAndNothingElseIs) {
    auto mutant = Mutant(GetParam());
    ExperimentResult with = runs_for_mutant(mutant, mutant);
    EXPECT_GT(with.violations, 0u) << name(mutant) << " by " << revealing_fault(mutant);
    ExperimentResult without = runs_for_mutant(mutant, Mutant::None);
    EXPECT_EQ(without.violations, 0u) << name(mutant) << ": " << without.first_violation;
}
INSTANTIATE_TEST_SUITE_P(Each, Mutants, testing::Range<std::size_t>(1, kMutants));

}  // namespace
}  // namespace ochrehub::lab::leadership
