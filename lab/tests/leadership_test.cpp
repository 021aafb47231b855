// Duties between owners, receivers and keepers in virtual time, judged from the receivers' records; and the
// judge, on what errs on purpose.
#include <gtest/gtest.h>

#include "lab/leadership/trial.h"

namespace ochrehub::lab::leadership {
namespace {

void sound(const Trial& trial, std::uint64_t runs) {
    EXPECT_EQ(trial.wrong, 0u) << trial.first;
    EXPECT_GE(trial.runs, runs);
}

TEST(DutyWorld, WithoutFaultsTheJobIsMovedOnceAndEachItemIsDoneOnce) {
    World world(scripted(20));
    world.run(Duration{30'000});
    EXPECT_TRUE(judge(world.records(), {}).empty());
    EXPECT_EQ(world.records().effects.size(), 20u);
    EXPECT_EQ(world.records().effects.front().epoch, 1u);
    EXPECT_EQ(world.records().effects.back().epoch, 2u);
}

TEST(DutyWorld, KilledAtAnyEvent) {
    sound(strike_each(scripted(20), Blow::Kill, 1, 4), 100);
}
TEST(DutyWorld, StoppedBehindAnyEventForLongerThanTheLease) {
    sound(strike_each(scripted(20), Blow::Stop, 1, 4), 100);
}
TEST(DutyWorld, CutOffFromTheKeepersOneWayAtAnyEvent) {
    sound(strike_each(scripted(20), Blow::CutToKeepers, 1, 4), 100);
}
TEST(DutyWorld, KilledAtAnyEventAndOnceMoreBehindIt) {
    sound(strike_each(scripted(4), Blow::Kill, 1, 17, true), 100);
}
TEST(DutyWorld, EverythingAtOnce) {
    sound(chaos(1, 41), 40);
}

// The same over Raft, replicas and sessions as shipped.
WorldSettings real(std::uint64_t items) {
    WorldSettings settings = scripted(items);
    settings.real = true;
    return settings;
}
TEST(DutyOverRealKeepers, KilledAtAnyEvent) {
    sound(strike_each(real(20), Blow::Kill, 1, 11), 40);
}
TEST(DutyOverRealKeepers, StoppedBehindAnyEventForLongerThanTheLease) {
    sound(strike_each(real(20), Blow::Stop, 1, 11), 40);
}
TEST(DutyOverRealKeepers, CutOffFromTheKeepersOneWayAtAnyEvent) {
    sound(strike_each(real(20), Blow::CutToKeepers, 1, 11), 40);
}
TEST(DutyOverRealKeepers, EverythingAtOnce) {
    sound(chaos(1, 13, true), 12);
}

TEST(DutyWorld, TimeWithoutAnOwnerIsWhatTheSettingsMakeUnavoidable) {
    // What is left of the lease, the leader's look at it, a renewal of the next owner's, its looks at the
    // receivers.
    for (Change change : {Change::Kill, Change::Stop, Change::CutToKeepers}) {
        Gaps gaps = without_owner(change, 20, Duration{3000});
        EXPECT_EQ(gaps.each.size(), 20u);
        EXPECT_LT(gaps.worst(), Duration{3000 * 1.01 + 100 + 1000 + 450});
        EXPECT_GT(gaps.worst(), Duration{100});
    }
    EXPECT_LT(without_owner(Change::Move, 20, Duration{3000}).worst(), Duration{1500});
}

class Saboteurs : public testing::TestWithParam<std::size_t> {};
TEST_P(Saboteurs, IsFoundByItsFaultAndNothingElseIs) {
    auto saboteur = Saboteur(GetParam());
    Trial with = shown_by(saboteur, saboteur);
    EXPECT_GT(with.wrong, 0u) << name(saboteur) << " by " << fault_for(saboteur);
    Trial without = shown_by(saboteur, Saboteur::None);
    EXPECT_EQ(without.wrong, 0u) << name(saboteur) << ": " << without.first;
}
INSTANTIATE_TEST_SUITE_P(Each, Saboteurs, testing::Range<std::size_t>(1, kSaboteurs));

}  // namespace
}  // namespace ochrehub::lab::leadership
