// Discovery's list: the keepers' machine, its owner's side and a node's, by hand.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "fleet/leadership/list_follower.h"
#include "fleet/leadership/list_owner.h"

namespace ochrehub::leadership::list {
namespace {

TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}
Answer say(Machine& machine, const std::string& body) {
    return read_answer(machine.apply({1, body})).value();
}
News told(const Machine& machine) {
    return read_news(machine.session_update(1)).value();
}
Listing whole(std::uint64_t revision, Entries entries) {
    return {revision, true, std::move(entries), {}};
}
/// As an owner does: what it reports belongs to the round that it knows to be open.
Answer reports(Machine& machine, Epoch epoch, const Listing& listing) {
    News now = told(machine);
    return say(machine, report(epoch, now.version, now.round, listing));
}
template <class Wanted, class Actions>
std::size_t count(const Actions& actions) {
    return std::size_t(std::count_if(actions.begin(), actions.end(),
                                     [](const auto& one) { return std::holds_alternative<Wanted>(one); }));
}

TEST(ListMachine, TakesReportsOfTheNewestOwnerAloneEachOnceAndInItsRound) {
    Limits few;
    few.servers = 2;
    Machine machine(few);
    std::set<Error> seen;
    auto wrong = [&](const std::string& body, Error error) {
        std::string before = machine.snapshot();
        EXPECT_EQ(say(machine, body).error, error) << row(error).code;
        EXPECT_EQ(machine.snapshot(), before);
        seen.insert(error);
    };
    wrong("\xff", Error::Malformed);
    wrong("", Error::Malformed);
    wrong(open(0), Error::Malformed);
    wrong(report(5, 0, 1, whole(7, {{"a", "1"}})), Error::NotOpen);
    Answer opened = say(machine, open(5));
    std::string first = report(5, opened.version, opened.round, whole(7, {{"a", "1"}}));
    EXPECT_FALSE(say(machine, first).error);
    wrong(first, Error::Round);  // said twice
    Answer now = read_answer(machine.apply({1, first})).value();
    wrong(report(5, now.version + 1, now.round, whole(8, {})), Error::Version);
    wrong(report(5, now.version, now.round, whole(8, {{"a", ""}, {"b", ""}, {"c", ""}})), Error::TooMuch);
    wrong(report(5, now.version, now.round, whole(8, {{std::string(129, 'x'), ""}})), Error::TooMuch);
    say(machine, open(6));
    wrong(report(5, now.version, now.round + 1, whole(9, {})), Error::Stale);
    wrong(open(5), Error::Stale);
    EXPECT_EQ(seen.size(), kErrors);
    EXPECT_EQ(machine.entries(), (Entries{{"a", "1"}}));
    EXPECT_EQ(row(Error::Stale).code, "list.stale");
}

TEST(ListMachine, TellsChangesForAWhileAndTheWholeListToWhoeverAsks) {
    Machine machine;
    say(machine, open(1));
    reports(machine, 1, whole(1, {{"a", "ready"}, {"b", "ready"}}));
    reports(machine, 1, {2, false, {{"a", "drain"}}, {"b"}});
    EXPECT_EQ(machine.version(), 2u);
    News news = told(machine);
    ASSERT_EQ(news.changes.size(), 2u);
    EXPECT_EQ(news.changes[1].put, (Entries{{"a", "drain"}}));
    EXPECT_EQ(news.changes[1].gone, (std::vector<std::string>{"b"}));
    for (int i = 0; i < 20; ++i) reports(machine, 1, {2, false, {}, {}});
    EXPECT_EQ(machine.version(), 2u);  // nothing new is no version
    EXPECT_TRUE(told(machine).changes.empty());
    Whole all = read_whole(machine.query("")).value();
    EXPECT_EQ(all.entries, machine.entries());
    EXPECT_EQ(all.digest, told(machine).digest);
    Machine again;
    ASSERT_TRUE(again.restore(kSchema, machine.snapshot()));
    EXPECT_EQ(again.snapshot(), machine.snapshot());
    EXPECT_FALSE(again.restore(kSchema + 1, machine.snapshot()));
    EXPECT_FALSE(again.restore(kSchema, "\xff"));
    EXPECT_FALSE(read_whole("\xff"));
}

TEST(ListMachine, MoreThanFitsIntoNewsIsAskedFor) {
    Limits small;
    small.news = 100;
    Machine machine(small);
    say(machine, open(1));
    Entries many;
    for (int i = 0; i < 50; ++i) many["server" + std::to_string(i)] = "ready";
    reports(machine, 1, whole(1, many));
    EXPECT_TRUE(told(machine).changes.empty());
    Follower node({}, at(0));
    FollowerActions out;
    node.handle(at(1000), Heard{at(999), machine.session_update(1)}, out);
    EXPECT_EQ(count<Fetch>(out), 1u);
    reports(machine, 1, {1, false, {}, {}});
    out.clear();
    node.handle(at(2000), HeardWhole{machine.query("")}, out);
    EXPECT_EQ(count<UseWhole>(out), 0u);  // as of which moment is not known yet
    reports(machine, 1, {1, false, {}, {}});
    node.handle(at(2001), Heard{at(2000), machine.session_update(1)}, out);
    ASSERT_EQ(count<UseWhole>(out), 1u);
    EXPECT_EQ(node.version(), 1u);
    EXPECT_EQ(node.fresh(), at(999));
}

TEST(ListFollower, KnowsAsOfWhenItsListStands) {
    Machine machine;
    say(machine, open(1));
    reports(machine, 1, whole(1, {{"a", "ready"}}));
    Follower node({}, at(0));
    FollowerActions out;
    auto hear = [&](double asked, double now) {
        out.clear();
        node.handle(at(now), Heard{at(asked), machine.session_update(1)}, out);
    };
    hear(1000, 1010);
    EXPECT_EQ(node.fresh(), at(0));  // the round that was open then is not closed
    hear(1500, 1510);
    reports(machine, 1, {1, false, {}, {}});  // this closes it, but may have been asked before 1500
    hear(2000, 2010);
    EXPECT_EQ(node.fresh(), at(0));
    reports(machine, 1, {2, false, {{"a", "drain"}}, {}});
    hear(3000, 3010);
    EXPECT_EQ(node.fresh(), at(1500));
    EXPECT_EQ(count<UseWhole>(out), 1u);
    reports(machine, 1, {3, false, {}, {"a"}});
    hear(4000, 4010);
    EXPECT_EQ(node.fresh(), at(2000));
    EXPECT_EQ(count<UseChange>(out), 1u);
    // Hearing the same for ever makes nothing fresher.
    for (double t = 5000; t < 8000; t += 1000) hear(t, t + 10);
    EXPECT_EQ(node.fresh(), at(2000));
    EXPECT_FALSE(node.asks());
    hear(8000, 8010);
    EXPECT_EQ(count<AskSelf>(out), 1u);
}

TEST(ListFollower, AsksByItselfAndComesBackOnceTheAgreedListIsTheNewerOne) {
    Machine machine;
    say(machine, open(1));
    reports(machine, 1, whole(1, {{"a", "ready"}}));
    FollowerSettings settings;
    settings.part = 0.5;
    Follower node(settings, at(0));
    FollowerActions out;
    node.handle(at(8499), FollowerWoken{}, out);
    EXPECT_EQ(count<AskSelf>(out), 0u);
    node.handle(at(8500), FollowerWoken{}, out);
    EXPECT_EQ(count<AskSelf>(out), 1u);
    double t = 9000;
    auto round = [&] {
        reports(machine, 1, {1, false, {}, {}});
        out.clear();
        node.handle(at(t), Heard{at(t - 1), machine.session_update(1)}, out);
        t += 1000;
    };
    round(), round();
    EXPECT_TRUE(node.asks());
    node.handle(at(10'500), OwnTold{}, out);
    round();  // as of 8999: behind the moment at which it began, before what it was told
    EXPECT_EQ(count<LetBe>(out), 1u);
    EXPECT_EQ(count<UseWhole>(out), 0u);
    round();
    EXPECT_EQ(count<UseWhole>(out), 0u);
    round();
    EXPECT_EQ(count<UseWhole>(out), 1u);
    EXPECT_GT(node.fresh(), at(10'500));
}

TEST(ListOwner, AsksOnceItKnowsTheRoundReportsAndHandsBackWhatItCannotDo) {
    Machine machine;
    Owner owner;
    OwnerActions out;
    auto handle = [&](double now, const OwnerEvent& event) {
        out.clear();
        owner.handle(at(now), event, out);
    };
    auto answer = [&](double now) {
        Say say_ = std::get<Say>(*std::find_if(
            out.begin(), out.end(), [](const auto& one) { return std::holds_alternative<Say>(one); }));
        handle(now, Answered{say_.number, machine.apply({1, say_.command})});
    };
    handle(0, Began{4});
    EXPECT_EQ(count<Watch>(out), 0u);
    answer(5);
    Watch first = std::get<Watch>(out.at(0));
    EXPECT_FALSE(first.index);
    handle(9, Told{first.call + 1, whole(3, {})});
    EXPECT_TRUE(out.empty());  // nothing that it asked
    handle(10, Told{first.call, whole(3, {{"a", "ready"}})});
    EXPECT_EQ(count<UseTold>(out), 1u);
    Say said = std::get<Say>(out.at(1));
    machine.apply({1, said.command});  // and the answer is lost
    handle(510, OwnerWoken{});
    EXPECT_EQ(std::get<Say>(out.at(0)).command, said.command);
    answer(511);  // it belongs to a closed round by now: all from the start
    EXPECT_EQ(count<Say>(out), 1u);
    answer(512);
    Watch again = std::get<Watch>(out.at(0));
    EXPECT_FALSE(again.index);
    handle(513, Told{again.call, whole(3, {{"a", "ready"}})});
    answer(514);
    Watch watch = std::get<Watch>(out.at(0));
    EXPECT_EQ(watch.index, std::uint64_t(3));
    EXPECT_EQ(machine.version(), 1u);
    // Discovery says nothing any more.
    handle(514 + 4500, OwnerWoken{});
    EXPECT_EQ(count<DropWatch>(out), 1u);
    EXPECT_EQ(count<GiveBack>(out), 1u);
    handle(5100, Halted{});
    EXPECT_EQ(count<AtRest>(out), 1u);
    // A short trouble is none.
    handle(6000, Began{5});
    answer(6001);
    handle(6002, Failed{std::get<Watch>(out.at(0)).call});
    EXPECT_EQ(count<GiveBack>(out), 0u);
    handle(6252, OwnerWoken{});
    EXPECT_EQ(count<Watch>(out), 1u);
    // Another has opened meanwhile.
    machine.apply({2, open(6)});
    handle(6253, Told{std::get<Watch>(out.at(0)).call, whole(4, {})});
    answer(6254);
    EXPECT_EQ(count<GiveBack>(out), 1u);
    EXPECT_EQ(machine.entries(), (Entries{{"a", "ready"}}));
}

}  // namespace
}  // namespace ochrehub::leadership::list
