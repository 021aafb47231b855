// The checkers of the Raft simulation find every mutant, and nothing where there is none.
#include <gtest/gtest.h>

#include "lab/raft/exploration.h"
#include "lab/raft/mutants.h"

namespace ochrehub::lab {
namespace {

TEST(RaftMutants, EachIsDetectedByItsViolation) {
    ASSERT_GE(raft_mutants().size(), 12u);
    for (const RaftMutant& mutant : raft_mutants()) {
        MutantDetection detection = detect_mutant(mutant, 60);
        EXPECT_FALSE(detection.violation.empty()) << mutant.name;
        EXPECT_NE(detection.violation.find(mutant.expected_violation), std::string::npos)
            << mutant.name << ": " << detection.violation;
    }
}

TEST(RaftMutants, ScenariosFindNothingInACorrectServer) {
    for (const RaftMutant& mutant : raft_mutants()) {
        if (!mutant.scenario) continue;
        for (const std::string& violation : mutant.scenario(RaftMutation{}))
            ADD_FAILURE() << mutant.name << ": " << violation;
    }
}

TEST(RaftExploration, AllOrdersToAShortDepthHoldTheInvariants) {
    std::uint64_t states = 0;
    for (ExplorationStart start :
         {ExplorationStart::Empty, ExplorationStart::Candidates, ExplorationStart::Leader,
          ExplorationStart::OldLeader, ExplorationStart::Removal}) {
        ExplorationSettings settings;
        settings.start = start;
        settings.depth = start == ExplorationStart::Empty ? 5 : 3;
        settings.budget.reads = start == ExplorationStart::OldLeader ? 1 : 0;
        ExplorationResult result = explore_raft(settings);
        for (const std::string& violation : result.violations)
            ADD_FAILURE() << name(start) << ": " << violation;
        states += result.states;
    }
    EXPECT_GT(states, 4'000u);
}

}  // namespace
}  // namespace ochrehub::lab
