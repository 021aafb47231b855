// Config distribution in virtual time: its invariants under each kind of fault, each mutant found in a run
// that shows it, a Strict change with crashes and pauses during it, and a run with copied files, which must
// show conflicts.
#include <gtest/gtest.h>

#include "lab/config_distribution/simulation.h"

namespace ochrehub::lab {
namespace {

// A run takes fifty times as long with sanitizers: those builds use one small run with all faults in place of
// the full ones.
#if defined(__has_feature)
#if __has_feature(address_sanitizer)
#define OCHREHUB_SMALL_SIMULATIONS
#endif
#endif
#ifdef OCHREHUB_SMALL_SIMULATIONS
constexpr bool kSmallSimulations = true;
#else
constexpr bool kSmallSimulations = false;
#endif

std::string lines(const ConfigSimulationResult& result) {
    std::string out;
    for (const std::string& line : result.violations) out += line + "\n";
    return out;
}

TEST(ConfigDistribution, HoldsInvariantsUnderEachFault) {
    if (kSmallSimulations) {
        ConfigSimulationSettings settings;
        settings.nodes = 4, settings.changes = 4, settings.fault = ConfigFault::All;
        ConfigSimulationResult result = run(settings);
        EXPECT_TRUE(result.violations.empty()) << lines(result);
        return;
    }
    for (std::size_t f = 0; f < kConfigFaults; ++f) {
        ConfigSimulationSettings settings;
        settings.nodes = 10, settings.changes = 20, settings.seed = 40 + f, settings.fault = ConfigFault(f);
        ConfigSimulationResult result = run(settings);
        EXPECT_TRUE(result.violations.empty()) << name(settings.fault) << "\n" << lines(result);
        EXPECT_GE(result.in_force, 8) << name(settings.fault);
        EXPECT_GT(result.longest_bounded, Duration{0})
            << name(settings.fault);  // Bounded documents do conflict for a while
        EXPECT_LE(result.longest_bounded, result.max_inconsistency);
    }
}

TEST(ConfigDistribution, CanaryEndsAcrossLeaderChanges) {
    ConfigSimulationSettings
        settings;  // conflicted for 15.8 s when only the coordinators counted the canary's duration
    settings.seed = 80, settings.fault = ConfigFault::Coordinators;
    ConfigSimulationResult result = run(settings);
    EXPECT_TRUE(result.violations.empty()) << lines(result);
}

TEST(ConfigDistribution, CheckerFindsEachMutant) {
    if (kSmallSimulations) GTEST_SKIP() << "runs without sanitizers only";
    struct Row {
        ConfigMutant mutant;
        ConfigFault fault;
        std::uint64_t seed;
    } rows[] = {{ConfigMutant::LeaseFromResponse, ConfigFault::Delays, 2},
                {ConfigMutant::LeaseTooLong, ConfigFault::Partitions, 1},
                {ConfigMutant::ClockNotChecked, ConfigFault::Pauses, 1},
                {ConfigMutant::ReleaseBeforeApply, ConfigFault::None, 1},
                {ConfigMutant::AcceptsStaleUpdate, ConfigFault::Loss, 1},
                {ConfigMutant::ActsFromFile, ConfigFault::Crashes, 1},
                {ConfigMutant::LeaseOutlivesSession, ConfigFault::Pauses, 2},
                {ConfigMutant::SkipsDraining, ConfigFault::None, 1},
                {ConfigMutant::ReleaseByMajority, ConfigFault::None, 1},
                {ConfigMutant::ExtendsBeforeApply, ConfigFault::None, 1},
                {ConfigMutant::ShorterServerLease, ConfigFault::Partitions, 1},
                {ConfigMutant::NackAsAck, ConfigFault::None, 1}};
    for (const Row& row : rows) {
        EXPECT_FALSE(run(mutant_settings(row.mutant, row.fault, row.seed)).violations.empty())
            << name(row.mutant);
        ConfigSimulationResult unmutated = run(mutant_settings(ConfigMutant::None, row.fault, row.seed));
        EXPECT_TRUE(unmutated.violations.empty()) << name(row.mutant) << "\n" << lines(unmutated);
    }
    EXPECT_EQ(std::size(rows), kConfigMutants - 1);
}

TEST(ConfigDistribution, CheckerDependsOnConflictRule) {
    ConfigSimulationSettings settings = mutant_settings(ConfigMutant::SkipsDraining, ConfigFault::None, 1);
    settings.contradict = [](const config_distribution::Content&, const config_distribution::Content&) {
        return false;
    };
    EXPECT_TRUE(run(settings).violations.empty());
}

TEST(ConfigDistribution, CopiedFilesConflict) {
    ConfigSimulationSettings settings;
    settings.nodes = 10, settings.changes = 20, settings.fault = ConfigFault::None;
    ConfigSimulationResult result = run_copied_files(settings);
    EXPECT_FALSE(result.violations.empty());
    EXPECT_GT(result.longest_bounded, result.max_inconsistency);
}

TEST(ConfigDistribution, SurvivesCrashOrStopDuringChange) {
    std::uint64_t events = run_single_change(1, 0, 0, false).events;
    ASSERT_GT(events, 200u);
    for (std::uint64_t event = 1; event <= events; event += 61)
        for (std::size_t process = 0; process < 6; ++process)
            for (bool crash : {true, false}) {
                ConfigSimulationResult result = run_single_change(1, event, process, crash);
                EXPECT_TRUE(result.violations.empty()) << "event " << event << ", process " << process
                                                       << (crash ? ", crash\n" : ", stop\n") << lines(result);
            }
}

}  // namespace
}  // namespace ochrehub::lab
