// Duties as the keepers hold them, and as an owner's process holds them: by hand, and by drawn commands.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

#include "fleet/leadership/machine.h"
#include "fleet/leadership/owner.h"

namespace ochrehub::leadership {
namespace {

Answer say(Duties& machine, SessionId session, const std::string& body) {
    return read_answer(machine.apply({session, body})).value();
}
std::vector<Owned> owned(const Duties& machine, SessionId session) {
    return read_news(machine.session_update(session))->owned;
}
SessionId owner(const Duties& machine, std::string_view name) {
    auto it = machine.duties().find(name);
    return it == machine.duties().end() ? 0 : it->second.owner;
}
Duties with_sessions(SessionId most, const Limits& limits = {}) {
    Duties machine(limits);
    for (SessionId s = 1; s <= most; ++s) machine.session_opened(s, "p", "z");
    return machine;
}

TEST(Duties, OneOwnerAtATimeUnderEpochsThatRiseForEver) {
    Duties machine = with_sessions(3);
    EXPECT_EQ(say(machine, 2, want("list")).epoch, 1u);
    say(machine, 3, want("list"));
    EXPECT_EQ(owner(machine, "list"), 2u);
    EXPECT_EQ(say(machine, 3, give_up("list", 1)).error, Error::NotOwner);
    EXPECT_FALSE(say(machine, 2, give_up("list", 1)).error);
    EXPECT_EQ(owned(machine, 3), (std::vector<Owned>{{"list", 2, false}}));
    EXPECT_EQ(say(machine, 2, give_up("list", 1)).error, Error::NotOwner);  // said twice
    machine.session_ended(3);
    EXPECT_TRUE(machine.duties().empty());
    // Nobody wanted it for a while: its epoch goes on all the same, over a restart too.
    Duties again;
    ASSERT_TRUE(again.restore(kSchema, machine.snapshot()));
    say(again, 2, want("list"));
    EXPECT_EQ(owned(again, 2), (std::vector<Owned>{{"list", 3, false}}));
}

TEST(Duties, AreSpreadByWeightAndAskedBackForWhoComesLater) {
    Duties machine = with_sessions(4);
    for (int i = 0; i < 6; ++i)
        for (SessionId s : {1, 2, 3}) say(machine, s, want("d" + std::to_string(i)));
    auto settle = [&] {  // each owner does what it is asked for
        for (int round = 0; round < 50; ++round)
            for (SessionId s = 1; s <= 4; ++s)
                for (const Owned& one : owned(machine, s))
                    if (one.give_back) say(machine, s, give_up(one.name, one.epoch, true));
    };
    settle();
    for (SessionId s : {1, 2, 3}) EXPECT_EQ(owned(machine, s).size(), 2u);
    for (int i = 0; i < 6; ++i) say(machine, 4, want("d" + std::to_string(i), 3));
    settle();
    EXPECT_EQ(owned(machine, 4).size(), 3u);  // three of six parts
    for (SessionId s : {1, 2, 3}) EXPECT_EQ(owned(machine, s).size(), 1u);
    std::uint64_t revision = machine.revision();
    settle();
    EXPECT_EQ(machine.revision(), revision);  // and then it rests
}

TEST(Duties, ManyThatOneHadAreSpreadInAFewRenewalsAndThenRest) {
    Duties machine = with_sessions(5);
    for (SessionId s = 1; s <= 5; ++s)
        for (int i = 0; i < 500; ++i) say(machine, s, want("d" + std::to_string(i)));
    EXPECT_EQ(owned(machine, 1).size(), 500u);
    int rounds = 0;
    for (std::uint64_t before = 0; before != machine.revision() && rounds < 100; ++rounds) {
        before = machine.revision();
        for (SessionId s = 1; s <= 5; ++s)
            for (const Owned& one : owned(machine, s))
                if (one.give_back) say(machine, s, give_up(one.name, one.epoch, true));
    }
    EXPECT_LT(rounds, 40);
    for (SessionId s = 1; s <= 5; ++s) EXPECT_EQ(owned(machine, s).size(), 100u);
}

TEST(Duties, AJobIsOverForGoodAndItsNameIsNeverGivenAgain) {
    Duties machine = with_sessions(2);
    Answer job = say(machine, 1, open_job("move", 7));
    EXPECT_EQ(job.name, "move/1");
    EXPECT_EQ(say(machine, 1, open_job("move", 7)).name, "move/1");  // the answer was lost
    EXPECT_EQ(say(machine, 1, open_job("move", 8)).name, "move/2");
    say(machine, 2, want("move/1"));
    EXPECT_EQ(say(machine, 1, over_for_good("move/1", 1)).error, Error::NotOwner);
    EXPECT_EQ(say(machine, 0, over_for_good("move/1", 0)).error,
              Error::NotOwner);  // an operator, while it is owned
    EXPECT_EQ(say(machine, 2, over_for_good("move/1", 1)).error, Error::NotEnded);
    EXPECT_EQ(say(machine, 1, end_job("move/1", 1)).error, Error::NotOwner);
    EXPECT_FALSE(say(machine, 2, end_job("move/1", 1)).error);
    // Its owner dies before all receivers know: the next one is told that nothing is to be done of it.
    say(machine, 1, want("move/1"));
    machine.session_ended(2);
    EXPECT_EQ(owned(machine, 1), (std::vector<Owned>{{"move/1", 2, false, true}}));
    EXPECT_FALSE(say(machine, 1, over_for_good("move/1", 2)).error);
    EXPECT_EQ(say(machine, 1, want("move/1")).error, Error::Over);
    EXPECT_EQ(say(machine, 1, over_for_good("move/1", 2)).error, Error::Over);
    EXPECT_FALSE(say(machine, 0, over_for_good("move/2", 0)).error);
    EXPECT_EQ(say(machine, 1, open_job("move", 9)).name, "move/3");
    say(machine, 1, want("list"));
    EXPECT_EQ(say(machine, 1, end_job("list", 3)).error, Error::Name);  // a standing duty is never over
}

TEST(Duties, WhatIsWrongIsRefusedByItsTypeAndChangesNothing) {
    Limits few;
    few.duties = 2, few.wants = 1;
    Duties machine = with_sessions(2, few);
    say(machine, 1, want("a"));
    auto before = machine.snapshot();
    std::set<Error> seen;
    auto wrong = [&](SessionId session, const std::string& body, Error error) {
        EXPECT_EQ(say(machine, session, body).error, error) << row(error).code;
        seen.insert(error);
    };
    wrong(1, "\xff\xff", Error::Malformed);
    wrong(1, "", Error::Malformed);
    wrong(1, want(std::string(5000, 'a')), Error::Malformed);
    wrong(1, want("A"), Error::Name);
    wrong(1, want(""), Error::Name);
    wrong(1, want(std::string(65, 'a')), Error::Name);
    wrong(1, open_job("a/b", 1), Error::Name);
    wrong(1, want("b", 0), Error::Weight);
    wrong(1, want("b", 101), Error::Weight);
    wrong(9, want("b"), Error::Session);
    wrong(0, want("b"), Error::Session);
    wrong(2, want("a"), Error::Crowded);
    wrong(1, unwant("b"), Error::Unknown);
    wrong(1, unwant("b/1"), Error::Over);
    wrong(2, give_up("a", 1), Error::NotOwner);
    wrong(1, give_up("a", 2), Error::NotOwner);
    EXPECT_EQ(machine.snapshot(), before);
    std::string job = say(machine, 1, open_job("j", 1)).name;
    say(machine, 1, want(job));
    wrong(1, over_for_good(job, 2), Error::NotEnded);
    say(machine, 1, end_job(job, 2)), say(machine, 1, over_for_good(job, 2));
    Limits together;
    together.wants_all = 1;
    Duties small = with_sessions(1, together);
    say(small, 1, want("a"));
    EXPECT_EQ(say(small, 1, want("b")).error, Error::Crowded);
    say(small, 1, give_up("a", 1));
    EXPECT_FALSE(say(small, 1, want("b")).error);
    say(machine, 1, want("b"));
    wrong(1, want("c"), Error::Full);
    wrong(1, open_job("c", 2), Error::Full);
    EXPECT_EQ(seen.size(), kErrors);
    std::set<std::string_view> codes;
    for (std::size_t i = 0; i < kErrors; ++i) codes.insert(row(Error(i)).code);
    EXPECT_EQ(codes.size(), kErrors);
    EXPECT_EQ(sentence(fleet::Failure<Error>{Error::Over, "move/1"}),
              "duty.over: move/1: the job is over, or never was; nothing: it must not be done again");
    EXPECT_FALSE(read_answer("\xff"));
    EXPECT_FALSE(read_news("\xff"));
}

TEST(Duties, ASnapshotOfAnotherSchemaOrWithHolesIsNotTaken) {
    Duties machine = with_sessions(2);
    say(machine, 1, want("a"));
    std::string good = machine.snapshot();
    EXPECT_FALSE(machine.restore(kSchema + 1, good));
    for (std::size_t cut = 1; cut < good.size(); ++cut) {
        Duties other;
        if (!other.restore(kSchema, good.substr(0, cut))) {
            EXPECT_TRUE(other.duties().empty());
        }
    }
    EXPECT_EQ(machine.snapshot(), good);
}

TEST(Duties, DrawnCommandsKeepOneOwnerAndRisingEpochsAndASnapshotIsTheSameMachine) {
    bool held = rc::check([] {
        Duties machine;
        std::map<std::string, Epoch> highest;
        std::set<std::string> ended;
        Epoch last = 0;
        SessionId next = 0;
        for (int i = 0; i < 120; ++i) {
            int what = *rc::gen::inRange(0, 10);
            SessionId session = next == 0 ? 0 : 1 + *rc::gen::inRange<SessionId>(0, next);
            std::string name = *rc::gen::element<std::string>("a", "b", "c", "j/1", "j/2", "j/3");
            auto it = machine.duties().find(name);
            Epoch epoch = it == machine.duties().end() ? 1 : it->second.epoch;
            if (it != machine.duties().end() && it->second.owner && what >= 6) session = it->second.owner;
            if (what == 0) machine.session_opened(++next, "p", "z");
            if (what == 1 && i % 3 == 0) machine.session_ended(session);
            if (what >= 2 && what <= 5) machine.apply({session, want(name, std::uint32_t(1 + i % 3))});
            if (what == 6) machine.apply({session, give_up(name, epoch, i % 2 == 0)});
            if (what == 7) machine.apply({session, unwant(name)});
            if (what == 8 && i % 2) machine.apply({session, end_job(name, epoch)});
            if (what == 8 && !say(machine, session, over_for_good(name, epoch)).error) ended.insert(name);
            if (what == 9)
                machine.apply({session, i % 2 ? open_job("j", std::uint64_t(i)) : move_away(name)});
            RC_ASSERT(machine.epochs() >= last);
            last = machine.epochs();
            std::map<std::string, int> owners;
            for (SessionId s = 1; s <= next; ++s)
                for (const Owned& one : owned(machine, s)) RC_ASSERT(++owners[one.name] == 1);
            for (const auto& [duty, state] : machine.duties()) {
                RC_ASSERT(!ended.contains(duty));
                RC_ASSERT(state.epoch >= highest[duty]);
                highest[duty] = state.epoch;
                RC_ASSERT((state.owner != 0) == (owners[duty] == 1));
                RC_ASSERT(state.owner != 0 || state.wanted.empty());  // whoever wants one that is free has it
            }
            Duties again;
            RC_ASSERT(again.restore(kSchema, machine.snapshot()));
            RC_ASSERT(again.snapshot() == machine.snapshot());
            if (i % 10 == 0) machine = std::move(again);
        }
    });
    EXPECT_TRUE(held);
}

// ---- The owner's side, against the machine itself.

TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}

struct Process {
    Owner core;
    OwnerActions out;
    std::vector<std::string> log;
    std::vector<Say> says;
    std::vector<Epoch> over;

    void handle(double now, const OwnerEvent& event) {
        out.clear();
        log.clear();
        says.clear();
        core.handle(at(now), event, out);
        for (const OwnerAction& action : out) {
            if (auto* begin = std::get_if<Begin>(&action))
                log.push_back("begin " + begin->name + " " + std::to_string(begin->epoch));
            if (auto* stop = std::get_if<Stop>(&action))
                log.push_back("stop " + stop->name + " " + std::to_string(stop->epoch) + " " +
                              std::string(name(stop->why)));
            if (auto* one = std::get_if<Say>(&action)) says.push_back(*one);
            if (auto* one = std::get_if<leadership::Refused>(&action)) log.push_back("refused " + one->name);
            if (auto* one = std::get_if<Retire>(&action))
                log.push_back("retire " + one->name + " " + std::to_string(one->epoch));
            if (std::get_if<Left>(&action)) log.push_back("left");
        }
    }
    /// All that it says reaches the keepers, and their answers it.
    void deliver(double now, Duties& machine) {
        std::vector<Say> all = says;
        for (const Say& one : all)
            handle(now, Answered{one.number, machine.apply({one.session, one.command})});
    }
    using Log = std::vector<std::string>;
};
using Log = Process::Log;

TEST(Owner, BeginsWhatTheKeepersSayAndStopsAMarginBeforeItsLeaseIsOver) {
    Duties machine = with_sessions(1);
    Process p;
    p.handle(0, WantDuty{"list"});
    EXPECT_TRUE(p.says.empty());  // no session yet
    p.handle(1, SessionHeld{1, at(3000)});
    p.deliver(2, machine);
    EXPECT_FALSE(p.core.may(at(3), "list"));
    p.handle(3, Heard{1, machine.session_update(1)});
    EXPECT_EQ(p.log, (Log{"begin list 1"}));
    EXPECT_EQ(std::get<WakeAt>(p.out.back()).at, at(2920));
    EXPECT_EQ(p.core.may(at(2919), "list"), Epoch(1));
    EXPECT_FALSE(p.core.may(at(2920), "list"));  // whether or not it was woken
    p.handle(2920, leadership::Woken{});
    EXPECT_EQ(p.log, (Log{"stop list 1 lease"}));
    // A renewal that comes late holds it again, once it is at rest and the keepers say so.
    p.handle(2930, SessionHeld{1, at(5000)});
    p.handle(2931, Heard{1, machine.session_update(1)});
    EXPECT_TRUE(p.log.empty());
    p.handle(2940, Stopped{"list", 1});
    p.handle(2950, Heard{1, machine.session_update(1)});
    EXPECT_EQ(p.log, (Log{"begin list 1"}));
}

TEST(Owner, LooksAtTheClockFirstBehindAPause) {
    Duties machine = with_sessions(1);
    Process p;
    p.handle(0, SessionHeld{1, at(3000)});
    p.handle(0, WantDuty{"list"});
    p.deliver(1, machine);
    p.handle(2, Heard{1, machine.session_update(1)});
    // 30 s later the first thing it is handed is news that says that it owns another one too.
    p.handle(2, WantDuty{"other"});
    p.deliver(2, machine);
    p.handle(30'000, Heard{1, machine.session_update(1)});
    EXPECT_EQ(p.log, (Log{"stop list 1 lease"}));
    // Nor does a renewal that was answered long ago help.
    p.handle(30'001, SessionHeld{1, at(4000)});
    p.handle(30'002, Heard{1, machine.session_update(1)});
    EXPECT_TRUE(p.log.empty());
    EXPECT_FALSE(p.core.may(at(30'002), "other"));
}

TEST(Owner, HandsOverOnlyOnceItIsAtRest) {
    Duties machine = with_sessions(2);
    Process p, q;
    for (auto* one : {&p, &q}) {
        SessionId s = one == &p ? 1 : 2;
        one->handle(0, SessionHeld{s, at(3000)});
        one->handle(0, WantDuty{"list"});
        one->deliver(1, machine);
        one->handle(2, Heard{s, machine.session_update(s)});
    }
    say(machine, 0, move_away("list"));
    p.handle(10, Heard{1, machine.session_update(1)});
    EXPECT_EQ(p.log, (Log{"stop list 1 give back"}));
    EXPECT_TRUE(p.says.empty());
    q.handle(11, Heard{2, machine.session_update(2)});
    EXPECT_TRUE(q.log.empty());
    p.handle(12, Stopped{"list", 1});
    auto given = p.says;
    p.deliver(13, machine);
    q.handle(14, Heard{2, machine.session_update(2)});
    EXPECT_EQ(q.log, (Log{"begin list 2"}));
    // What was said of it before does not begin it again.
    Duties old = with_sessions(1);
    say(old, 1, want("list"));
    p.handle(15, Heard{1, old.session_update(1)});
    EXPECT_TRUE(p.log.empty());
    // It still wants it: where the other leaves, it is its again.
    q.handle(20, Leave{});
    EXPECT_EQ(q.log, (Log{"stop list 2 unwanted"}));
    q.handle(21, Stopped{"list", 2});
    q.deliver(22, machine);
    EXPECT_EQ(q.log, (Log{"left"}));
    p.handle(23, Heard{1, machine.session_update(1)});
    EXPECT_EQ(p.log, (Log{"begin list 3"}));
}

TEST(Owner, SaysAgainWhatWasNotAnsweredAndStandsInANewSession) {
    Duties machine = with_sessions(2);
    Process p;
    p.handle(0, SessionHeld{1, at(3000)});
    p.handle(0, WantDuty{"list"});
    auto first = p.says.at(0);
    p.handle(499, leadership::Woken{});
    EXPECT_TRUE(p.says.empty());
    p.handle(500, leadership::Woken{});
    ASSERT_EQ(p.says.size(), 1u);
    EXPECT_EQ(p.says[0].number, first.number);
    p.deliver(501, machine);
    p.handle(502, Heard{1, machine.session_update(1)});
    p.handle(600, SessionLost{});
    EXPECT_EQ(p.log, (Log{"stop list 1 lost"}));
    p.handle(601, SessionHeld{1, at(9000)});  // an answer from the old one
    EXPECT_EQ(p.core.session(), 0u);
    machine.session_ended(1);
    p.handle(700, SessionHeld{2, at(4000)});
    ASSERT_EQ(p.says.size(), 1u);
    p.deliver(701, machine);
    p.handle(702, Heard{1, machine.session_update(2)});  // not this one's
    EXPECT_TRUE(p.log.empty());
    p.handle(703, Heard{2, machine.session_update(2)});
    EXPECT_TRUE(p.log.empty());  // the old work is not at rest yet
    p.handle(704, Stopped{"list", 1});
    p.handle(705, Heard{2, machine.session_update(2)});
    EXPECT_EQ(p.log, (Log{"begin list 2"}));
}

TEST(Owner, AJobEndsAtTheKeepersThenAtTheReceiversThenForGood) {
    Duties machine = with_sessions(2);
    say(machine, 1, open_job("move", 1));
    Process p, q;
    for (auto* one : {&p, &q}) {
        SessionId s = one == &p ? 1 : 2;
        one->handle(0, SessionHeld{s, at(3000)});
        one->handle(0, WantDuty{"move/1"});
        one->deliver(1, machine);
    }
    p.handle(2, Heard{1, machine.session_update(1)});
    std::string old = machine.session_update(1);
    p.handle(2, Told{"move/1", 1});  // of nothing
    EXPECT_TRUE(p.says.empty());
    p.handle(3, JobDone{"move/1", 1});
    EXPECT_FALSE(p.core.may(at(3), "move/1"));
    EXPECT_TRUE(p.log.empty());  // no receiver is told before the keepers know
    p.handle(4, Heard{1, old});
    EXPECT_TRUE(p.log.empty());
    p.handle(600, leadership::Woken{});
    machine.apply({1, p.says.at(0).command});  // this answer is lost
    p.deliver(601, machine);
    EXPECT_EQ(p.log, (Log{"retire move/1 1"}));
    // It dies with half of the receivers told: the next owner tells them, and does nothing.
    machine.session_ended(1);
    q.handle(700, Heard{2, machine.session_update(2)});
    EXPECT_EQ(q.log, (Log{"retire move/1 2"}));
    EXPECT_FALSE(q.core.may(at(701), "move/1"));
    q.handle(702, Told{"move/1", 2});
    q.deliver(703, machine);
    EXPECT_TRUE(machine.duties().empty());
    q.handle(704, WantDuty{"move/1"});
    q.deliver(705, machine);
    EXPECT_EQ(q.log, (Log{"refused move/1"}));
}

TEST(Owner, AJobWhoseEndIsAnsweredAfterItBeganAgainIsRetiredAllTheSame) {
    Duties machine = with_sessions(1);
    say(machine, 1, open_job("move", 1));
    Process p;
    p.handle(0, SessionHeld{1, at(3000)});
    p.handle(0, WantDuty{"move/1"});
    p.deliver(1, machine);
    p.handle(2, Heard{1, machine.session_update(1)});
    p.handle(3, JobDone{"move/1", 1});
    Say end = p.says.at(0);
    p.handle(2920, leadership::Woken{});
    p.handle(2921, Stopped{"move/1", 1});
    p.handle(2930, SessionHeld{1, at(6000)});
    p.handle(2931, Heard{1, machine.session_update(1)});  // the keepers do not know of its end yet
    EXPECT_EQ(p.log, (Log{"begin move/1 1"}));
    p.handle(2940, Answered{end.number, machine.apply({1, end.command})});
    EXPECT_EQ(p.log, (Log{"retire move/1 1"}));
    EXPECT_FALSE(p.core.may(at(2941), "move/1"));
    p.handle(2950, Told{"move/1", 1});
    p.deliver(2951, machine);
    EXPECT_TRUE(machine.duties().empty());
}

}  // namespace
}  // namespace ochrehub::leadership
