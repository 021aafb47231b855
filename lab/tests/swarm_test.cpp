// Members by gossip under the failures they are to stand: loss, crashes, stops, partitions, restarts, a sick
// one.
#include "lab/swarm/swarm.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace ochrehub::lab {
namespace {

using membership::MemberState;

Swarm::Settings of(std::size_t members, double loss = 0, std::uint64_t seed = 1) {
    Swarm::Settings set;
    set.members = members;
    set.loss = loss;
    set.seed = seed;
    set.octets = true;
    return set;
}
auto is(MemberState state) {
    return [state](std::optional<MemberState> found) { return found == state; };
}
constexpr Duration kSecond{1000};

TEST(Swarm, AllFindAllBySeedsAlone) {
    Swarm swarm(of(40, 0.1));
    auto at = swarm.run_until(20 * kSecond, [&] { return swarm.settled(); });
    ASSERT_TRUE(at);
    EXPECT_LE(swarm.most_octets(), 256u);
    EXPECT_EQ(swarm.called_dead(), 0u);
}

TEST(Swarm, TheSameSeedGivesTheSameRun) {
    auto run = [] {
        Swarm swarm(of(20, 0.2, 7));
        swarm.run_to(5 * kSecond);
        swarm.crash(3);
        swarm.run_to(30 * kSecond);
        return std::pair(swarm.sent(), swarm.events());
    };
    EXPECT_EQ(run(), run());
}

TEST(Swarm, ACrashIsKnownToAllAndNobodyElseIsBlamed) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Swarm swarm(of(50, 0.1, seed));
        // Lost datagrams make suspects now and then, which refute it.
        ASSERT_TRUE(swarm.run_until(20 * kSecond, [&] { return swarm.settled(); }));
        Duration from = swarm.now();
        swarm.crash(20);
        EXPECT_TRUE(swarm.run_until(from + 10 * kSecond,
                                    [&] { return swarm.all_believe(20, is(MemberState::Dead)); }))
            << "seed " << seed;
        swarm.run_to(40 * kSecond);
        EXPECT_EQ(swarm.called_dead(), 0u) << "seed " << seed;
    }
}

// Its datagrams are lost, so it misses all answers: it is to doubt itself, not to have others declared dead.
TEST(Swarm, ASickMemberBlamesNobody) {
    Swarm swarm(of(20));
    swarm.run_to(10 * kSecond);
    std::uint64_t of_others = 0;
    swarm.heard = [&](std::size_t by, const membership::MemberChanged& changed) {
        if (by != 5 && changed.update.state == MemberState::Dead && changed.update.address != swarm.place(5))
            ++of_others;
    };
    swarm.loss_of(5, 0.7);
    swarm.run_to(120 * kSecond);
    EXPECT_EQ(of_others, 0u);
    EXPECT_GE(swarm.core(5).local_health_score(), 3);
    swarm.loss_of(5, 0);
    EXPECT_TRUE(swarm.run_until(240 * kSecond,
                                [&] { return swarm.settled() && swarm.core(5).local_health_score() == 0; }));
}

// What the operators ask for: pauses, lost messages and one-sided cuts at once, and nobody who lives is dead
// to anybody.
TEST(Swarm, LossPausesAndAOneSidedCutAtOnceKillNobody) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        Swarm swarm(of(16, 0.1, seed));
        ASSERT_TRUE(swarm.run_until(20 * kSecond, [&] { return swarm.all_known(); }));
        // Also nobody who is paused: that is no death.
        std::uint64_t dead = 0;
        swarm.heard = [&](std::size_t, const membership::MemberChanged& changed) {
            dead += changed.update.state == MemberState::Dead;
        };
        swarm.cut_way(seed % 16, (seed + 5) % 16, true);
        for (std::size_t round = 0; round < 10; ++round) {
            std::size_t paused = (7 * round + seed) % 16;
            swarm.stop(paused);
            swarm.run_to(swarm.now() + 3 * kSecond);
            swarm.go_on(paused);
            swarm.run_to(swarm.now() + 3 * kSecond);
        }
        EXPECT_EQ(dead, 0u) << "seed " << seed;
    }
}

// It is heard and hears nobody, or the other way round: it says so itself, and others lose it alone.
TEST(Swarm, OneThatIsCutOffOneWayKnowsItAndSpoilsNobodysView) {
    for (bool deaf : {true, false})
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            Swarm swarm(of(16, 0.02, seed));
            ASSERT_TRUE(swarm.run_until(20 * kSecond, [&] { return swarm.all_known(); }));
            std::uint64_t of_others = 0;
            swarm.heard = [&](std::size_t by, const membership::MemberChanged& changed) {
                if (by != 3 && changed.update.state == MemberState::Dead &&
                    changed.update.address != swarm.place(3))
                    ++of_others;
            };
            auto cut = [&](bool on) {
                for (std::size_t i = 0; i < 16; ++i) deaf ? swarm.cut_way(i, 3, on) : swarm.cut_way(3, i, on);
            };
            Duration from = swarm.now();
            cut(true);
            std::uint8_t word = deaf ? membership::kReportsDeaf : membership::kReportsUnheard;
            EXPECT_TRUE(swarm.run_until(from + 10 * kSecond, [&] {
                return swarm.core(3).self().self_report == word;
            })) << seed;
            EXPECT_TRUE(swarm.run_until(from + 20 * kSecond, [&] {
                return swarm.all_believe(3, is(MemberState::Dead));
            })) << seed;
            swarm.run_to(from + 60 * kSecond);
            EXPECT_EQ(of_others, 0u) << seed;
            Duration healed = swarm.now();
            cut(false);
            EXPECT_TRUE(swarm.run_until(healed + 15 * kSecond, [&] { return swarm.all_known(); })) << seed;
            EXPECT_EQ(swarm.core(3).self().self_report, 0) << seed;
            EXPECT_EQ(of_others, 0u) << seed;
        }
}

TEST(Swarm, ACutInHalvesForAMinuteHealsWithinFifteenSeconds) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Swarm swarm(of(16, 0, seed));
        swarm.run_to(10 * kSecond);
        std::vector<int> sides(16);
        for (std::size_t i = 8; i < 16; ++i) sides[i] = 1;
        swarm.cut(sides);
        swarm.run_to(70 * kSecond);
        ASSERT_EQ(swarm.belief(0, 15), MemberState::Dead);
        swarm.cut({});
        EXPECT_TRUE(swarm.run_until(85 * kSecond, [&] { return swarm.settled(); })) << "seed " << seed;
    }
}

TEST(Swarm, AStoppedProcessWakesAndIsTakenBackWithoutBlamingOthers) {
    Swarm swarm(of(20));
    swarm.run_to(10 * kSecond);
    swarm.stop(7);
    swarm.run_to(70 * kSecond);
    EXPECT_TRUE(swarm.all_believe(7, is(MemberState::Dead)));
    swarm.go_on(7);
    EXPECT_TRUE(swarm.run_until(90 * kSecond, [&] { return swarm.settled(); }));
    EXPECT_GE(swarm.core(7).counts().late_timers, 1u);
    // A short stop is nobody's death.
    std::uint64_t before = swarm.called_dead();
    swarm.stop(7);
    swarm.run_to(swarm.now() + kSecond);
    swarm.go_on(7);
    swarm.run_to(swarm.now() + 30 * kSecond);
    EXPECT_EQ(swarm.called_dead(), before);
    EXPECT_TRUE(swarm.settled());
}

TEST(Swarm, BothSidesOfAPartitionFindEachOtherAgain) {
    Swarm swarm(of(24, 0.05));
    swarm.run_to(10 * kSecond);
    std::vector<int> sides(24);
    for (std::size_t i = 0; i < 24; ++i) sides[i] = i % 3 == 0;
    swarm.cut(sides);
    swarm.run_to(70 * kSecond);
    EXPECT_EQ(swarm.belief(0, 1), MemberState::Dead);
    EXPECT_EQ(swarm.belief(1, 0), MemberState::Dead);
    EXPECT_EQ(swarm.belief(0, 3), MemberState::Alive);
    swarm.cut({});
    EXPECT_TRUE(swarm.run_until(130 * kSecond, [&] { return swarm.settled(); }));
}

// The seeds' side knows nothing of the other any more: it is the seeds that bring them together.
TEST(Swarm, APartitionThatLastedLongerThanTheDeadAreRememberedHealsByTheSeeds) {
    Swarm::Settings set = of(12);
    set.each.dead_retention = 30 * kSecond;
    Swarm swarm(set);
    swarm.run_to(10 * kSecond);
    std::vector<int> sides(12, 0);
    for (std::size_t i = 6; i < 12; ++i) sides[i] = 1;
    swarm.cut(sides);
    swarm.run_to(120 * kSecond);
    EXPECT_EQ(swarm.belief(8, 0), std::nullopt);
    EXPECT_EQ(swarm.belief(0, 8), std::nullopt);
    swarm.cut({});
    EXPECT_TRUE(swarm.run_until(180 * kSecond, [&] { return swarm.settled(); }));
}

TEST(Swarm, WhoLeavesHasLeftAndIsNotCalledDead) {
    Swarm swarm(of(20));
    swarm.run_to(10 * kSecond);
    std::uint64_t dead = 0;
    swarm.heard = [&](std::size_t, const membership::MemberChanged& changed) {
        dead += changed.update.state == MemberState::Dead;
    };
    swarm.leave(4);
    EXPECT_TRUE(swarm.run_until(20 * kSecond,
                                [&] { return !swarm.up(4) && swarm.all_believe(4, is(MemberState::Left)); }));
    swarm.run_to(40 * kSecond);
    EXPECT_EQ(dead, 0u);
    // It comes back, knowing nothing of its earlier run.
    swarm.start(4);
    EXPECT_TRUE(swarm.run_until(60 * kSecond, [&] { return swarm.settled(); }));
    EXPECT_GE(swarm.core(4).incarnation(), 1u);
}

TEST(Swarm, AMemberThatIsStartedAnewWhileItsOldSelfIsSuspectedOrDeadIsTakenBack) {
    for (Duration away : {Duration{500}, 3 * kSecond, 40 * kSecond}) {
        Swarm swarm(of(20, 0.05));
        swarm.run_to(10 * kSecond);
        swarm.crash(9);
        swarm.run_to(10 * kSecond + away);
        swarm.start(9);
        EXPECT_TRUE(swarm.run_until(60 * kSecond + away, [&] { return swarm.settled(); })) << away.count();
    }
}

TEST(Swarm, AllRestartedAtOnceFindEachOther) {
    Swarm swarm(of(30));
    swarm.run_to(10 * kSecond);
    for (std::size_t i = 0; i < 30; ++i) swarm.crash(i);
    swarm.run_to(12 * kSecond);
    for (std::size_t i = 0; i < 30; ++i) swarm.start(i);
    EXPECT_TRUE(swarm.run_until(40 * kSecond, [&] { return swarm.settled(); }));
}

TEST(Swarm, HalfOfTheDatagramsLostLeavesNobodyDeadForGood) {
    Swarm swarm(of(20, 0.5));
    swarm.run_to(120 * kSecond);
    swarm.loss(0);
    EXPECT_TRUE(swarm.run_until(180 * kSecond, [&] { return swarm.settled(); }));
}

// They ask on: as soon as it is there they find it, and by it each other.
TEST(Swarm, FiftyThatStartAtOnceBySeedThatIsDeadFindEachOtherOnceItLives) {
    Swarm::Settings set = of(50);
    set.seeds = 1;
    set.start_all = false;
    Swarm swarm(set);
    for (std::size_t i = 1; i < 50; ++i) swarm.start(i);
    swarm.run_to(60 * kSecond);
    EXPECT_EQ(swarm.core(7).size(), 0u);
    swarm.start(0);
    EXPECT_TRUE(swarm.run_until(100 * kSecond, [&] { return swarm.settled(); }));
}

TEST(Swarm, MessagesAMemberDoNotGrowWithTheTier) {
    auto a_second = [](std::size_t members) {
        Swarm swarm(of(members));
        swarm.run_to(60 * kSecond);
        std::uint64_t before = swarm.sent();
        swarm.run_to(120 * kSecond);
        return double(swarm.sent() - before) / 60 / double(members);
    };
    double few = a_second(10), many = a_second(100);
    EXPECT_NEAR(many, few, 0.1 * few);
}

}  // namespace
}  // namespace ochrehub::lab
