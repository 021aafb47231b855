// A fleet that agrees on documents, in virtual time: its promises under each kind of fault, each saboteur
// found on a day that shows it, a strict change with a crash and a stop at events of it, and the same day
// with copied settings, which contradicts itself.
#include <gtest/gtest.h>

#include "lab/config_distribution/simulation.h"

namespace ochrehub::lab {
namespace {

// A day takes fifty times as long with sanitizers: there a small one with all faults stands for those that
// are played whole without.
#if defined(__has_feature)
#if __has_feature(address_sanitizer)
#define OCHREHUB_SMALL_DAYS
#endif
#endif
#ifdef OCHREHUB_SMALL_DAYS
constexpr bool kSmallDays = true;
#else
constexpr bool kSmallDays = false;
#endif

std::string lines(const Day& day) {
    std::string out;
    for (const std::string& line : day.broken) out += line + "\n";
    return out;
}

TEST(ConfigStateMachine, KeepsItsPromisesUnderEachFault) {
    if (kSmallDays) {
        WorldSettings set;
        set.nodes = 4, set.changes = 4, set.fault = Fault::All;
        Day day = play(set);
        EXPECT_TRUE(day.broken.empty()) << lines(day);
        return;
    }
    for (std::size_t f = 0; f < kFaults; ++f) {
        WorldSettings set;
        set.nodes = 10, set.changes = 20, set.seed = 40 + f, set.fault = Fault(f);
        Day day = play(set);
        EXPECT_TRUE(day.broken.empty()) << name(set.fault) << "\n" << lines(day);
        EXPECT_GE(day.in_force, 8) << name(set.fault);
        EXPECT_GT(day.longest_quick, Duration{0}) << name(set.fault);  // quick ones do contradict for a while
        EXPECT_LE(day.longest_quick, day.stated);
    }
}

TEST(ConfigStateMachine, ACanaryEndsThoughLeadersFall) {
    WorldSettings set;  // 15.8 s of two lists, while the keepers alone counted
    set.seed = 80, set.fault = Fault::Keepers;
    Day day = play(set);
    EXPECT_TRUE(day.broken.empty()) << lines(day);
}

TEST(ConfigStateMachine, FindsEachSaboteur) {
    if (kSmallDays) GTEST_SKIP() << "played without sanitizers";
    struct Row {
        Saboteur saboteur;
        Fault fault;
        std::uint64_t seed;
    } rows[] = {{Saboteur::CountsFromAnswer, Fault::Late, 2},    {Saboteur::HoldsTooLong, Fault::Cuts, 1},
                {Saboteur::LooksTooLate, Fault::Pauses, 1},      {Saboteur::GivesBackAtOnce, Fault::None, 1},
                {Saboteur::TakesOldNews, Fault::Loss, 1},        {Saboteur::ActsFromDisk, Fault::Crashes, 1},
                {Saboteur::KeepsOverSessions, Fault::Pauses, 2}, {Saboteur::NoDraining, Fault::None, 1},
                {Saboteur::MajorityGivesBack, Fault::None, 1},   {Saboteur::ExtendsFirst, Fault::None, 1},
                {Saboteur::ShortLease, Fault::Cuts, 1},          {Saboteur::NoIsYes, Fault::None, 1}};
    for (const Row& row : rows) {
        EXPECT_FALSE(play(sabotaged(row.saboteur, row.fault, row.seed)).broken.empty()) << name(row.saboteur);
        Day well = play(sabotaged(Saboteur::None, row.fault, row.seed));
        EXPECT_TRUE(well.broken.empty()) << name(row.saboteur) << "\n" << lines(well);
    }
    EXPECT_EQ(std::size(rows), kSaboteurs - 1);
}

TEST(ConfigStateMachine, TheJudgeNeedsToKnowWhatContradicts) {
    WorldSettings set = sabotaged(Saboteur::NoDraining, Fault::None, 1);
    set.contradict = [](const config_distribution::Content&, const config_distribution::Content&) {
        return false;
    };
    EXPECT_TRUE(play(set).broken.empty());
}

TEST(ConfigStateMachine, CopiedSettingsContradictThemselves) {
    WorldSettings set;
    set.nodes = 10, set.changes = 20, set.fault = Fault::None;
    Day day = play_copied(set);
    EXPECT_FALSE(day.broken.empty());
    EXPECT_GT(day.longest_quick, day.stated);
}

TEST(ConfigStateMachine, ACrashOrAStopAtAnEventOfAChange) {
    std::uint64_t events = play_change(1, 0, 0, false).events;
    ASSERT_GT(events, 200u);
    for (std::uint64_t event = 1; event <= events; event += 61)
        for (std::size_t process = 0; process < 6; ++process)
            for (bool crash : {true, false}) {
                Day day = play_change(1, event, process, crash);
                EXPECT_TRUE(day.broken.empty()) << "event " << event << ", process " << process
                                                << (crash ? ", crash\n" : ", stop\n") << lines(day);
            }
}

}  // namespace
}  // namespace ochrehub::lab
