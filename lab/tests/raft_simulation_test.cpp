// Consensus groups in virtual time under all faults, checked at each event and by their clients' history.
#include <gtest/gtest.h>

#include "lab/raft/crash_sweep.h"
#include "lab/raft/random_faults.h"

namespace ochrehub::lab {
namespace {

TEST(RaftSimulation, HoldsItsInvariantsUnderRandomFaults) {
    std::map<std::string, std::uint64_t> counts;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        RandomFaultSettings settings;
        settings.seed = seed;
        RandomFaultResult result = run_random_faults(settings);
        for (const std::string& violation : result.violations)
            ADD_FAILURE() << "seed " << seed << ": " << violation;
        for (const auto& [name, n] : result.counts) counts[name] += n;
    }
    for (const char* name :
         {"crashes", "cuts", "pauses", "disks lost", "additions requested", "removals requested",
          "transfers requested", "snapshots restored", "rejected: raft.lost"})
        EXPECT_GT(counts[name], 0u) << name;
}

TEST(RaftSimulation, HealsInRunsThatOnceStoppedMakingProgress) {
    for (std::uint64_t seed : {919u, 1635u, 1825u, 5532u}) {
        RandomFaultSettings settings;
        settings.seed = seed;
        for (const std::string& violation : run_random_faults(settings).violations)
            ADD_FAILURE() << "seed " << seed << ": " << violation;
    }
}

TEST(RaftSimulation, SameSeedGivesTheSameRun) {
    RandomFaultSettings settings;
    settings.seed = 7;
    RandomFaultResult first = run_random_faults(settings);
    RandomFaultResult second = run_random_faults(settings);
    EXPECT_EQ(first.events, second.events);
    EXPECT_EQ(first.counts, second.counts);
    EXPECT_EQ(first.committed, second.committed);
}

TEST(RaftSimulation, SurvivesACrashAfterEverySeventhEvent) {
    // `ochrehub_raft_lab crashes` goes through all events and all fates of unsynced writes.
    std::uint64_t event = 0;
    for (bool reached = true; reached;) {
        event += 7;
        CrashRunSettings settings;
        settings.crash_after_event = event;
        settings.unsynced = event % 2 == 0 ? UnsyncedWrites::Lost : UnsyncedWrites::Kept;
        CrashRunResult result = run_with_crash(settings);
        reached = result.crashed;
        for (const std::string& violation : result.violations)
            ADD_FAILURE() << "event " << event << ": " << violation;
    }
    EXPECT_GT(event, 700u);
}

TEST(RaftSimulation, CrashRunsDetectAServerThatAcknowledgesTooEarly) {
    bool detected = false;
    for (std::uint64_t event = 0; event < 50 && !detected; ++event) {
        CrashRunSettings settings;
        settings.crash_after_event = event;
        settings.mutation.completes_writes_early = true;
        detected = !run_with_crash(settings).violations.empty();
    }
    EXPECT_TRUE(detected);
}

}  // namespace
}  // namespace ochrehub::lab
