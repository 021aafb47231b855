// The simulation of coordinators and clients: the invariants hold under all faults, and the invariant checker
// finds each known-faulty implementation.
#include <gtest/gtest.h>

#include <string>

#include "lab/coordinator/simulation.h"

namespace ochrehub::lab {
namespace {

TEST(CoordinatorSimulation, KeepsItsInvariantsUnderAllFaults) {
    CoordinatorSimulationResult sum;
    for (std::uint64_t seed = 1; seed <= 14; ++seed) {
        CoordinatorSimulationSettings settings;
        settings.seed = seed;
        settings.coordinators = seed % 4 == 0 ? 5 : 3;
        const CoordinatorSimulationResult result = run(settings);
        ASSERT_TRUE(result.violations.empty()) << "seed " << seed << ": " << result.violations[0];
        sum.commands += result.commands;
        sum.duplicates += result.duplicates;
        sum.sessions_ended += result.sessions_ended;
        sum.timeouts_expired += result.timeouts_expired;
        sum.leaders += result.leaders;
        sum.snapshots += result.snapshots;
        sum.possibly_executed += result.possibly_executed;
    }
    // The runs have exercised what the invariants are about.
    EXPECT_GT(sum.commands, 1000u);
    EXPECT_GT(sum.duplicates, 5u);
    EXPECT_GT(sum.sessions_ended, 50u);
    EXPECT_GT(sum.timeouts_expired, 50u);
    EXPECT_GT(sum.leaders, 60u);
    EXPECT_GT(sum.snapshots, 100u);
    EXPECT_GT(sum.possibly_executed, 20u);
}

TEST(CoordinatorSimulation, LosesNoSessionInACrashAtAnyEvent) {
    constexpr std::uint64_t kStride = 83;  // every event: ochrehub_keeper_seeds crash 3
    CoordinatorSimulationSettings settings;
    settings.no_random_faults = true;
    settings.lease = Duration{3000};
    settings.clients = 2;
    settings.fault_phase = Duration{2500};
    settings.settle_phase = Duration{6000};
    settings.snapshot_entries = 15;
    const CoordinatorSimulationResult undisturbed = run(settings);
    ASSERT_TRUE(undisturbed.violations.empty()) << undisturbed.violations[0];
    std::uint64_t crashes = 0;
    for (std::uint64_t event = 1; event < undisturbed.events; event += kStride) {
        settings.crash_at_event = event;
        settings.crashed_coordinator = crashes++ % 3;
        const CoordinatorSimulationResult result = run(settings);
        const std::string crash = "crash of coordinator " + std::to_string(settings.crashed_coordinator + 1) +
                                  " at event " + std::to_string(event);
        ASSERT_TRUE(result.violations.empty()) << crash << ": " << result.violations[0];
        ASSERT_EQ(result.sessions_ended, 0u) << crash << ": one crash is shorter than a lease";
    }
    EXPECT_GT(crashes, 20u);
}

/// A known-faulty implementation, and seeds of which at least one shows its fault.
struct MutantCase {
    CoordinatorMutant mutant;
    std::uint64_t first_seed;
    std::uint64_t last_seed;
    double max_response_delay_ms = 0;
};
class CoordinatorMutants : public testing::TestWithParam<MutantCase> {};

TEST_P(CoordinatorMutants, IsFoundByTheInvariantChecker) {
    bool is_found = false;
    for (std::uint64_t seed = GetParam().first_seed; seed <= GetParam().last_seed && !is_found; ++seed) {
        CoordinatorSimulationSettings settings;
        settings.seed = seed;
        settings.mutant = GetParam().mutant;
        settings.max_response_delay = Duration{GetParam().max_response_delay_ms};
        is_found = !run(settings).violations.empty();
    }
    EXPECT_TRUE(is_found) << name(GetParam().mutant);
}

INSTANTIATE_TEST_SUITE_P(Each, CoordinatorMutants,
                         testing::Values(MutantCase{CoordinatorMutant::LeaseFromResponse, 1, 40, 190},
                                         MutantCase{CoordinatorMutant::PauseUnnoticed, 1, 20},
                                         MutantCase{CoordinatorMutant::NoMargin, 1, 60},
                                         MutantCase{CoordinatorMutant::OldDeadlines, 1, 10},
                                         MutantCase{CoordinatorMutant::FastLeader, 1, 4},
                                         MutantCase{CoordinatorMutant::AppliedTwice, 1, 10},
                                         MutantCase{CoordinatorMutant::SnapshotNoSessions, 1, 10},
                                         MutantCase{CoordinatorMutant::SnapshotNoSequences, 1, 10},
                                         MutantCase{CoordinatorMutant::SnapshotNoMachines, 1, 10},
                                         MutantCase{CoordinatorMutant::WriteReportedEarly, 15, 80},
                                         MutantCase{CoordinatorMutant::ReadUnconfirmed, 134, 260}),
                         [](const auto& one) {
                             std::string text = name(one.param.mutant);
                             std::erase(text, '-');
                             return text;
                         });

}  // namespace
}  // namespace ochrehub::lab
