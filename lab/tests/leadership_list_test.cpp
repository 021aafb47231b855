// A tier whose nodes go by the agreed list: what discovery is asked, and how long drained servers are still
// sent requests, by the records of discovery and the servers.
#include <gtest/gtest.h>

#include "lab/leadership/list_world.h"

namespace ochrehub::lab::leadership {
namespace {

TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}

TEST(ListWorld, AHundredNodesAskDiscoveryAboutAsOftenAsOne) {
    ListSettings tier;
    tier.nodes = 100;
    ListWorld world(tier);
    world.run_to(at(60'000));
    ListOutcome agreed = world.outcome();
    ListSettings one;
    one.nodes = 1, one.agreed = false;
    ListWorld alone(one);
    alone.run_to(at(60'000));
    EXPECT_TRUE(agreed.wrong.empty()) << agreed.wrong.front();
    EXPECT_GE(agreed.drains, 15u);
    EXPECT_EQ(agreed.failed, 0u);
    EXPECT_LT(double(agreed.calls), 2 * double(alone.outcome().calls));
    EXPECT_LT(agreed.learnt.back(), Duration{1300});  // a renewal, and its way
}

TEST(ListWorld, NoDrainIsLateWithTheOwnerHitAtAnyEvent) {
    for (Hit hit : {Hit::Kill, Hit::Stop, Hit::CutToKeepers, Hit::CutFromKeepers, Hit::CutToDiscovery,
                    Hit::CutFromDiscovery, Hit::Hang}) {
        ListTrial trial = hit_each({}, hit, Duration{9000}, 1, 113);
        EXPECT_GE(trial.runs, 10u);
        EXPECT_EQ(trial.wrong, 0u) << trial.first;
    }
}

// The same over Raft, replicas and sessions as shipped.
TEST(ListOverRealKeepers, NoDrainIsLateWithTheOwnerHitAtAnyEvent) {
    ListSettings settings;
    settings.real = true;
    for (Hit hit : {Hit::Kill, Hit::Stop, Hit::CutToKeepers, Hit::CutFromDiscovery, Hit::KeepersAndBack}) {
        ListTrial trial = hit_each(settings, hit, Duration{9000}, 1, 301);
        EXPECT_GE(trial.runs, 5u);
        EXPECT_EQ(trial.wrong, 0u) << trial.first;
    }
}

TEST(ListWorld, WithoutKeepersEachNodeAsksByItselfInTimeAndLetsBeWhenTheyAreBack) {
    ListSettings tier;
    tier.nodes = 100;
    ListWorld world(tier);
    world.run_to(at(10'000));
    world.hit(Hit::KeepersAndBack, Duration{30'000});
    world.run_to(at(55'000));
    std::uint64_t back = world.calls();
    world.run_to(at(75'000));
    ListOutcome outcome = world.outcome();
    EXPECT_TRUE(outcome.wrong.empty()) << outcome.wrong.front();
    EXPECT_LT(double(world.calls() - back), 40.0);
}

class ListSaboteurs : public testing::TestWithParam<std::size_t> {};
TEST_P(ListSaboteurs, IsFoundAndNothingElseIs) {
    auto saboteur = ListSaboteur(GetParam());
    ListTrial with = list_shown_by(saboteur, saboteur), without = list_shown_by(saboteur, ListSaboteur::None);
    EXPECT_GT(with.wrong, 0u) << name(saboteur);
    EXPECT_EQ(without.wrong, 0u) << name(saboteur) << ": " << without.first;
}
INSTANTIATE_TEST_SUITE_P(Each, ListSaboteurs, testing::Range<std::size_t>(1, kListSaboteurs));

}  // namespace
}  // namespace ochrehub::lab::leadership
