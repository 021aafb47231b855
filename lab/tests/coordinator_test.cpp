// Keepers and sessions in virtual time, under all faults, and whether the judge finds what it should.
#include <gtest/gtest.h>

#include "lab/coordinator/world.h"

namespace ochrehub::lab {
namespace {

TEST(KeeperWorld, KeepsItsPromisesUnderAllFaults) {
    KeeperVerdict sum;
    for (std::uint64_t seed = 1; seed <= 14; ++seed) {
        KeeperWorldSettings set;
        set.seed = seed, set.keepers = seed % 4 == 0 ? 5 : 3;
        KeeperVerdict is = run(set);
        ASSERT_TRUE(is.wrong.empty()) << "seed " << seed << ": " << is.wrong[0];
        sum.commands += is.commands, sum.again += is.again, sum.ended += is.ended,
            sum.armed_over += is.armed_over, sum.leaders += is.leaders;
        sum.snapshots += is.snapshots, sum.uncertain += is.uncertain;
    }
    // What was to be judged has happened.
    EXPECT_GT(sum.commands, 1000u);
    EXPECT_GT(sum.again, 5u);
    EXPECT_GT(sum.ended, 50u);
    EXPECT_GT(sum.armed_over, 50u);
    EXPECT_GT(sum.leaders, 60u);
    EXPECT_GT(sum.snapshots, 100u);
    EXPECT_GT(sum.uncertain, 20u);
}

TEST(KeeperWorld, OutlivesACrashAtAnyEvent) {
    KeeperWorldSettings set;
    set.quiet = true, set.lease = Duration{3000}, set.processes = 2, set.faults = Duration{2500},
    set.settles = Duration{6000}, set.snapshot_entries = 15;
    KeeperVerdict whole = run(set);
    ASSERT_TRUE(whole.wrong.empty()) << whole.wrong[0];
    std::uint64_t crashes = 0;
    for (std::uint64_t at = 1; at < whole.events; at += 83) {  // each of them: ochrehub_keeper_seeds crash 3
        set.crash_at = at, set.crash_who = crashes++ % 3;
        KeeperVerdict is = run(set);
        ASSERT_TRUE(is.wrong.empty())
            << "crash of keeper " << set.crash_who + 1 << " at " << at << ": " << is.wrong[0];
        ASSERT_EQ(is.ended, 0u) << "crash of keeper " << set.crash_who + 1 << " at " << at
                                << ": one crash is shorter than a lease";
    }
    EXPECT_GT(crashes, 20u);
}

struct Planted {
    KeeperSaboteur saboteur;
    std::uint64_t first, last;  ///< seeds of which one shows it
    double answers_late = 0;
};
class KeeperSaboteurs : public testing::TestWithParam<Planted> {};

TEST_P(KeeperSaboteurs, IsFound) {
    bool found = false;
    for (std::uint64_t seed = GetParam().first; seed <= GetParam().last && !found; ++seed) {
        KeeperWorldSettings set;
        set.seed = seed, set.saboteur = GetParam().saboteur,
        set.answers_late = Duration{GetParam().answers_late};
        found = !run(set).wrong.empty();
    }
    EXPECT_TRUE(found) << name(GetParam().saboteur);
}
INSTANTIATE_TEST_SUITE_P(Each, KeeperSaboteurs,
                         testing::Values(Planted{KeeperSaboteur::LeaseFromAnswer, 1, 40, 190},
                                         Planted{KeeperSaboteur::PauseUnseen, 1, 20},
                                         Planted{KeeperSaboteur::NoMargin, 1, 60},
                                         Planted{KeeperSaboteur::OldDeadlines, 1, 10},
                                         Planted{KeeperSaboteur::FastLeader, 1, 4},
                                         Planted{KeeperSaboteur::TwiceApplied, 1, 10},
                                         Planted{KeeperSaboteur::ForgetsSessions, 1, 10},
                                         Planted{KeeperSaboteur::ForgetsNumbers, 1, 10},
                                         Planted{KeeperSaboteur::ForgetsMachines, 1, 10},
                                         Planted{KeeperSaboteur::WrittenTooSoon, 15, 80},
                                         Planted{KeeperSaboteur::ReadUnconfirmed, 134, 260}),
                         [](const auto& one) {
                             std::string text = name(one.param.saboteur);
                             std::erase(text, '-');
                             return text;
                         });

}  // namespace
}  // namespace ochrehub::lab
