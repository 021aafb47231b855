// A receiver between owners that are late, doubled, stopped and lost: by hand, and over all orders in which
// what two owners send can arrive, with a crash of the receiver anywhere.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <set>

#include "fleet/fencing/fence.h"

namespace ochrehub::fencing {
namespace {

using V = Verdict;

TEST(Fence, AStepIsDoneOnceAndAskedForAgainAsOftenAsNeeded) {
    Fence fence({});
    EXPECT_EQ(fence.begin("list", 1, 1).verdict, V::Do);
    EXPECT_EQ(fence.begin("list", 1, 1).verdict, V::Doing);
    EXPECT_TRUE(fence.done("list", 1, "took 7"));
    EXPECT_FALSE(fence.done("list", 1, "again"));
    Answer again = fence.begin("list", 1, 1);
    EXPECT_EQ(again.verdict, V::Done);
    EXPECT_EQ(again.outcome, "took 7");
    EXPECT_EQ(fence.begin("other", 1, 1).verdict, V::Do);
    EXPECT_FALSE(fence.done("list", 9, ""));
    EXPECT_FALSE(fence.done("none", 1, ""));
}

TEST(Fence, AnOldOwnerIsRefusedAndToldWhoStands) {
    Fence fence({});
    fence.begin("list", 3, 1);
    Answer old = fence.begin("list", 2, 2);
    EXPECT_EQ(old.verdict, V::Stale);
    EXPECT_EQ(old.stands, 3u);
    EXPECT_EQ(fence.look("list", 2, 1).verdict, V::Stale);
    EXPECT_EQ(fence.settle("list", 2, 1).verdict, V::Stale);
    EXPECT_EQ(fence.refused(), 3u);
    EXPECT_EQ(fence.begin("list", ~0ull, 2).verdict, V::Do);  // the last epoch there is
    EXPECT_EQ(fence.begin("list", ~0ull - 1, 3).verdict, V::Stale);
}

TEST(Fence, WhoLooksShutsTheOldOneOut) {
    Fence fence({});
    fence.begin("job", 1, 1);
    EXPECT_EQ(fence.look("job", 2, 1).verdict, V::Doing);
    EXPECT_EQ(fence.look("job", 2, 2).verdict, V::Never);
    EXPECT_EQ(fence.begin("job", 1, 2).verdict, V::Stale);  // it lay in a socket for an hour
    EXPECT_TRUE(fence.done("job", 1, "late, and done all the same"));
    EXPECT_EQ(fence.look("job", 2, 1).outcome, "late, and done all the same");
    EXPECT_EQ(fence.begin("job", 2, 2).verdict, V::Do);
}

TEST(Fence, RefusesRatherThanForgets) {
    Settings few;
    few.duties = 2;
    few.steps = 3;
    Fence fence(few);
    for (std::uint64_t step = 1; step <= 3; ++step) EXPECT_EQ(fence.begin("a", 1, step).verdict, V::Do);
    EXPECT_EQ(fence.begin("a", 1, 4).verdict, V::Full);
    EXPECT_EQ(fence.begin("a", 1, 1).verdict, V::Doing);  // what it has it knows
    fence.done("a", 1, "");
    EXPECT_EQ(fence.begin("b", 1, 1).verdict, V::Full);
    EXPECT_EQ(fence.begin("c", 1, 1).verdict, V::Full);
    EXPECT_EQ(fence.settle("a", 1, 2).verdict, V::Settled);
    EXPECT_EQ(fence.steps(), 1u);
    EXPECT_EQ(fence.begin("a", 1, 2).verdict, V::Settled);  // never again, rather than twice
    EXPECT_EQ(fence.begin("a", 1, 4).verdict, V::Do);
    EXPECT_EQ(fence.begin("", 1, 1).verdict, V::Malformed);
    EXPECT_EQ(fence.begin(std::string(65, 'x'), 1, 1).verdict, V::Malformed);
    EXPECT_EQ(fence.begin("a", 0, 1).verdict, V::Malformed);
    EXPECT_EQ(fence.begin("a", 1, 0).verdict, V::Malformed);
    EXPECT_FALSE(fence.done("a", 4, std::string(257, 'x')));
}

TEST(Fence, OneThatKeepsNothingDoesNothingBeforeItKnowsTheEpochs) {
    Settings learns;
    learns.learns = true;
    Fence fence(learns);
    EXPECT_EQ(fence.begin("a", 4, 1).verdict, V::NotYet);
    fence.learnt("a", 5);
    fence.learnt("b", 0);  // no epoch: nothing that could be written and read again
    EXPECT_EQ(fence.duties(), 1u);
    EXPECT_EQ(fence.begin("a", 5, 1).verdict, V::NotYet);
    fence.complete();
    EXPECT_EQ(fence.begin("a", 4, 1).verdict, V::Stale);
    EXPECT_EQ(fence.begin("a", 5, 1).verdict, V::Do);
    fence.learnt("a", 3);
    EXPECT_EQ(fence.stands("a"), 5u);
}

TEST(Fence, WhatWasWrittenIsTheSameFenceAgainAndSoIsItsSnapshot) {
    Fence fence({});
    fence.begin("a", 1, 1), fence.done("a", 1, std::string("o\0o", 3));
    fence.begin("a", 2, 2), fence.begin("b", 7, 9), fence.settle("b", 7, 4), fence.learnt("c", 3);
    auto records = fence.to_write();
    EXPECT_TRUE(fence.to_write().empty());
    for (const auto& all : {records, fence.snapshot()}) {
        Fence again({});
        for (const std::string& one : all) ASSERT_TRUE(again.replay(one));
        EXPECT_EQ(again.look("a", 2, 1).outcome, std::string("o\0o", 3));
        EXPECT_EQ(again.look("a", 2, 2).verdict, V::Doing);
        EXPECT_EQ(again.begin("b", 7, 4).verdict, V::Settled);
        EXPECT_EQ(again.stands("c"), 3u);
        EXPECT_EQ(again.steps(), fence.steps());
    }
    for (const std::string& one : records)
        for (std::size_t cut = 0; cut < one.size(); ++cut) {
            Fence other({});
            std::string part = one.substr(0, cut);
            if (other.replay(part)) {
                EXPECT_EQ(part[0], 'd');  // an outcome may be any octets; the store's checksum guards its end
            }
        }
}

TEST(Fence, ADutyThatIsOverMakesRoomAndItsLateEpochsAreRefusedForEver) {
    Settings few;
    few.duties = 2, few.retired = 3;
    Fence fence(few);
    std::vector<std::string> disk;
    auto write = [&] {
        for (std::string& one : fence.to_write()) disk.push_back(std::move(one));
    };
    // A thousand jobs over two rows; the owner before the last of each was late.
    for (std::uint64_t job = 1; job <= 1000; ++job) {
        std::string name = "move/" + std::to_string(job);
        ASSERT_EQ(fence.begin(name, 2 * job, 1).verdict, V::Do);
        EXPECT_EQ(fence.retire(name, 2 * job - 1).verdict, V::Stale);
        EXPECT_EQ(fence.retire(name, 2 * job).verdict, V::Retired);
        EXPECT_EQ(fence.retire(name, 2 * job).verdict, V::Retired);  // said again
        EXPECT_FALSE(fence.done(name, 1, "late"));
        write();
    }
    EXPECT_EQ(fence.duties(), 0u);
    EXPECT_EQ(fence.steps(), 0u);
    EXPECT_EQ(fence.retired(), 3u);
    EXPECT_EQ(fence.bound(), 2u * 997);
    auto late = [](Fence& f) {
        for (std::uint64_t job = 1; job <= 1000; ++job)
            for (std::uint64_t epoch : {2 * job - 1, 2 * job})
                ASSERT_EQ(f.begin("move/" + std::to_string(job), epoch, 2).verdict,
                          job > 997 ? V::Stale : V::Behind)
                    << job;
    };
    late(fence);
    Fence again(few), shorter(few);
    for (const std::string& one : disk) ASSERT_TRUE(again.replay(one));
    for (const std::string& one : again.snapshot()) ASSERT_TRUE(shorter.replay(one));
    EXPECT_EQ(shorter.snapshot(), fence.snapshot());
    late(shorter);
    // One that was never heard of here: retired all the same. A live one that is too old is told so, a
    // younger one is served.
    EXPECT_EQ(fence.retire("else", 3000).verdict, V::Retired);
    EXPECT_EQ(fence.begin("else", 2999, 1).verdict, V::Stale);
    Answer old = fence.begin("list", 1500, 1);
    EXPECT_EQ(old.verdict, V::Behind);
    EXPECT_GE(old.stands, 1500u);
    EXPECT_EQ(fence.begin("list", old.stands + 1, 1).verdict, V::Do);
    // What the keepers say that stands is believed, below the bound too; not of what is over.
    fence.learnt("old", 4);
    EXPECT_EQ(fence.begin("old", 4, 1).verdict, V::Do);
    fence.learnt("else", 3000);
    EXPECT_EQ(fence.begin("else", 3000, 1).verdict, V::Stale);
    EXPECT_EQ(fence.retire("", 1).verdict, V::Malformed);
    Settings learns;
    learns.learns = true;
    EXPECT_EQ(Fence(learns).retire("a", 1).verdict, V::NotYet);
}

TEST(Fence, ANameThatIsUsedAnewIsAnotherDutyUnderAHigherEpoch) {
    Fence fence({});
    fence.begin("a", 1, 1), fence.retire("a", 1);
    EXPECT_EQ(fence.begin("a", 2, 1).verdict, V::Do);
    EXPECT_EQ(fence.retired(), 0u);
    Fence again({});
    for (const std::string& one : fence.to_write()) ASSERT_TRUE(again.replay(one));
    EXPECT_EQ(again.snapshot(), fence.snapshot());
    EXPECT_EQ(again.look("a", 2, 1).verdict, V::Doing);
}

// ---- All orders. The old owner (epoch 1) sends steps 1 and 2 and may be late with either; the new one
// (epoch 2) looks at both and sends again what never happened. The receiver may crash between any two things,
// and loses what was not written.

struct World {
    Settings set = [] {
        Settings one;
        one.retired = 1;
        return one;
    }();
    Fence fence{set};
    std::vector<std::string> disk;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> effects;  // epoch and step, as they happened outside
    std::set<std::uint64_t> doing;                                 // steps whose effect runs in the receiver
    std::vector<std::pair<std::uint64_t, std::uint64_t>> flying;   // what the old owner has sent
    int looked = 0, crashes = 1;                                   // how far the new owner is; crashes left
    std::vector<std::uint64_t> again;                              // what it is to send itself
    int retired = 0;  // the job; then another, behind which this one is forgotten
};

struct Explorer {
    bool writes_first = true, fenced = true;  ///< saboteurs switch them off
    bool retires = false;                     ///< it is a job, which is over once both steps are known
    bool drops = false;                       ///< a saboteur: what is over is forgotten without a trace
    std::uint64_t states = 0, broken = 0;

    void write(World& w) const {
        for (std::string& one : w.fence.to_write()) w.disk.push_back(std::move(one));
    }
    void receive(World& w, std::uint64_t epoch, std::uint64_t step) const {
        Answer answer = w.fence.begin("d", epoch, step);
        if (writes_first) write(w);
        bool does = answer.verdict == V::Do || (!fenced && answer.verdict == V::Stale);
        if (!does) return;
        w.effects.emplace_back(epoch, step);
        w.doing.insert(step);
    }
    void go(const World& from) {
        ++states;
        check(from);
        auto then = [&](const std::function<void(World&)>& happens) {
            World next = from;
            happens(next);
            go(next);
        };
        for (std::size_t i = 0; i < from.flying.size(); ++i) {
            then([&, i](World& w) {
                auto [epoch, step] = w.flying[i];
                w.flying.erase(w.flying.begin() + std::ptrdiff_t(i));
                receive(w, epoch, step);
            });
        }
        for (std::uint64_t step : from.doing)
            then([&, step](World& w) {
                w.doing.erase(step);
                w.fence.done("d", step, "ok");
                write(w);
            });
        if (from.looked < 2)
            then([&](World& w) {
                auto step = std::uint64_t(++w.looked);
                Answer answer = w.fence.look("d", 2, step);
                if (writes_first) write(w);
                if (answer.verdict == V::Never) w.again.push_back(step);
            });
        if (!from.again.empty())
            then([&](World& w) {
                std::uint64_t step = w.again.back();
                w.again.pop_back();
                receive(w, 2, step);
            });
        if (retires && from.looked == 2 && from.again.empty() && from.doing.empty() && from.retired < 2)
            then([&](World& w) {
                if (drops)
                    w.disk.clear(), w.fence = Fence(w.set);
                else
                    w.fence.retire(w.retired == 0 ? "d" : "other", 2 + std::uint64_t(w.retired)), write(w);
                ++w.retired;
            });
        if (from.crashes > 0)
            then([&](World& w) {
                --w.crashes;
                w.doing.clear();
                w.fence = Fence(w.set);
                for (const std::string& one : w.disk) w.fence.replay(one);
            });
    }
    void check(const World& w) {
        bool wrong = false;
        std::set<std::uint64_t> steps;
        std::uint64_t highest = 0;
        for (auto [epoch, step] : w.effects) {
            wrong =
                wrong || !steps.insert(step).second || epoch < highest;  // twice, or behind a newer owner's
            highest = std::max(highest, epoch);
        }
        broken += wrong;
    }
    Explorer& run() {
        World begin;
        begin.flying = {{1, 1}, {1, 2}, {1, 1}};  // one of them doubled
        go(begin);
        return *this;
    }
};

TEST(FenceExplored, NoOrderAndNoCrashMakesAnEffectHappenTwiceOrBehindANewerOwners) {
    Explorer all;
    all.run();
    EXPECT_GT(all.states, 5'000u);
    EXPECT_EQ(all.broken, 0u);
}
TEST(FenceExplored, NorDoesAnythingOfAJobThatIsOverHappenHoweverLateItIs) {
    Explorer all;
    all.retires = true;
    all.run();
    EXPECT_GT(all.states, 10'000u);
    EXPECT_EQ(all.broken, 0u);
}
TEST(FenceSaboteurs, AJobThatIsOverIsForgottenWithoutATrace) {
    Explorer all;
    all.retires = all.drops = true;
    EXPECT_GT(all.run().broken, 0u);
}
TEST(FenceSaboteurs, EffectsBeforeTheyAreWritten) {
    Explorer all;
    all.writes_first = false;
    EXPECT_GT(all.run().broken, 0u);
}
TEST(FenceSaboteurs, NoFence) {
    Explorer all;
    all.fenced = false;
    EXPECT_GT(all.run().broken, 0u);
}

}  // namespace
}  // namespace ochrehub::fencing
