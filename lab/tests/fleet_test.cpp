// The rig's parts: scenarios, the judge by events made by hand, saboteurs in virtual time, shrinking, the
// result's form.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "lab/fleet/outcome.h"
#include "lab/fleet/processes.h"
#include "lab/fleet/scenario.h"
#include "lab/fleet/shrink.h"
#include "lab/fleet/virtual.h"
#include "lab/play/temporary_folder.h"

namespace ochrehub::lab::fleet {
namespace {

using What = Event::What;
using membership::DatagramKind;
using membership::MemberState;

class Folder : TemporaryFolder {
public:
    Folder() : TemporaryFolder("") {}
    std::string file(const std::string& text) const {
        std::ofstream(path() / "s.toml") << text;
        return (path() / "s.toml").string();
    }
    std::filesystem::path operator/(const char* name) const { return path() / name; }
};

std::string fault_of(const std::string& text) {
    Folder folder;
    try {
        Scenario::read(folder.file(text));
    } catch (const ScenarioError& error) {
        return error.what();
    }
    return "";
}

TEST(FleetScenario, EachFaultOfAFileIsNamedWithItsLineAndKey) {
    EXPECT_EQ(fault_of("members = 4\n"), "");
    EXPECT_NE(fault_of("members = 1\n").find("s.toml:1:1: members:"), std::string::npos)
        << fault_of("members = 1\n");
    EXPECT_NE(fault_of("[[fault]]\nkind = \"bite\"\n").find("s.toml:2:1: fault[0].kind:"), std::string::npos);
    EXPECT_NE(fault_of("[[fault]]\nkind = \"cut\"\nwho = \"7\"\n")
                  .find("s.toml:3:1: fault[0].who: names no members"),
              std::string::npos);
    EXPECT_NE(fault_of("[[fault]]\nkind = \"cut\"\nto = \"s0\"\n").find("fault[0].to:"), std::string::npos);
    EXPECT_EQ(fault_of("servers = 1\n[[fault]]\nkind = \"stall\"\nto = \"s0\"\n"), "");
    EXPECT_NE(fault_of("[[fault]]\nkind = \"pause\"\n").find("fault[0].for_s: is missing"),
              std::string::npos);
    EXPECT_NE(fault_of("[[fault]]\nknid = \"cut\"\n").find("knid"), std::string::npos);
    EXPECT_NE(fault_of("may_die = \"perhaps\"\n").find("may_die:"), std::string::npos);
    EXPECT_NE(fault_of("[draw]\nfaults = 3\n").find("draw.kinds: is missing"), std::string::npos);
    EXPECT_NE(fault_of("members = \n").find("s.toml:1:"), std::string::npos);
    EXPECT_THROW(Scenario::read("no-such-fleet"), ScenarioError);
}

TEST(FleetScenario, TheSameSeedDrawsTheSameDayAndAnotherAnother) {
    Folder folder;
    Scenario all = Scenario::read(
        folder.file("members = 9\n[draw]\nfaults = 12\nkinds = [\"cut\", \"loss\", \"pause\", \"kill\"]\n"));
    auto text = [&](std::uint64_t seed) {
        std::string out;
        for (const Fault& fault : all.draw(seed).faults) out += fault.text() + "\n";
        return out;
    };
    EXPECT_EQ(text(3), text(3));
    EXPECT_NE(text(3), text(4));
    EXPECT_EQ(all.draw(3).faults.size(), 12u);
}

TEST(FleetScenario, EachThatShipsIsRead) {
    std::size_t many = 0;
    for (const auto& entry : std::filesystem::directory_iterator(shipped_folder())) {
        EXPECT_FALSE(Scenario::read(entry.path().string()).summary().empty()) << entry.path();
        ++many;
    }
    EXPECT_GE(many, 7u);
}

// ---- The judge, by events made by hand

class Judged : public ::testing::Test {
protected:
    Judged() {
        day.members = 3;
        day.may_die.assign(3, false);
        for (int i = 0; i < 3; ++i) add(-1, What::Up, i);
        for (int of = 0; of < 3; ++of)
            for (int about = 0; about < 3; ++about)
                if (of != about) sees(-0.5, of, about, Seen::Alive);
        for (int i = 0; i < 3; ++i) add(-0.5, What::Shares, i, -1, 3);
        add(0, What::Begins);
    }
    void add(double at, What what, int who = -1, int about = -1, int value = 0) {
        events.push_back({at, what, who, about, value});
    }
    void sees(double at, int of, int about, Seen seen) { add(at, What::Sees, of, about, int(seen)); }
    Fault& fault(FaultKind kind, double at, double length, std::vector<int> who, std::vector<int> to = {}) {
        Fault one;
        one.kind = kind;
        one.at_s = at;
        one.for_s = length;
        one.who = std::move(who);
        one.to = std::move(to);
        return day.faults.emplace_back(one);
    }
    std::string broken() const {
        std::string all;
        for (const Broken& one : judge(day, events).broken) all += one.promise + "\n";
        return all;
    }
    Day day;
    std::vector<Event> events;
};

TEST_F(Judged, NothingIsBrokenWhereNothingHappens) {
    EXPECT_EQ(broken(), "");
}
TEST_F(Judged, WhoNeverSettlesIsNamed) {
    events.pop_back();
    EXPECT_NE(broken().find("all know all"), std::string::npos);
}
TEST_F(Judged, AProcessThatEndsByItself) {
    add(1, What::Ended, 1);
    EXPECT_NE(broken().find("no process ends by itself"), std::string::npos);
}
TEST_F(Judged, ALiveOneShownAsDeadOrSaidToBeByADatagram) {
    sees(1, 0, 1, Seen::Suspect);
    EXPECT_EQ(broken(), "");
    add(2, What::Claims, 2, 1);
    EXPECT_NE(broken().find("nobody who lives is taken for dead"), std::string::npos);
    EXPECT_NE(judge(day, events).broken[0].proof.back().find("a datagram of 2 says that 1 is dead"),
              std::string::npos);
    day.may_die[1] = true;
    EXPECT_EQ(broken(), "");
    sees(3, 2, 0, Seen::Dead);
    sees(3.1, 2, 0, Seen::Alive);
    EXPECT_NE(broken(), "");
}
TEST_F(Judged, AKilledOneThatIsKnownLateOrNever) {
    fault(FaultKind::Kill, 1, 0, {2});
    day.may_die[2] = true;
    day.expect.known_s = 5;
    add(1.01, What::Down, 2);
    sees(4, 0, 2, Seen::Dead);
    EXPECT_NE(broken().find("it never was"), std::string::npos);
    sees(5.5, 1, 2, Seen::Dead);
    EXPECT_EQ(broken(), "");
    EXPECT_NEAR(judge(day, events).figures.at("known")[0], 4.49, 1e-9);
    events.back().at_s = 7;
    EXPECT_NE(broken().find("it took 5.99 s"), std::string::npos);
}
TEST_F(Judged, APauseThatIsUndoneLate) {
    fault(FaultKind::Pause, 1, 10, {2});
    day.may_die[2] = true;
    day.expect.undone_s = 2;
    add(1, What::Stopped, 2);
    sees(8, 0, 2, Seen::Dead);
    add(11, What::GoesOn, 2);
    sees(12, 0, 2, Seen::Alive);
    EXPECT_EQ(broken(), "");
    events.back().at_s = 14;
    EXPECT_NE(broken().find("behind a pause all have it (2) back"), std::string::npos);
}
TEST_F(Judged, OneThatIsCutOffAndDoesNotSaySo) {
    fault(FaultKind::Cut, 1, 20, {2}, {0, 1});
    day.may_die[2] = true;
    day.expect.isolated_s = 10;
    add(1, What::FaultOn, -1, -1, 0);
    sees(6, 0, 2, Seen::Dead);
    sees(6, 1, 2, Seen::Dead);
    EXPECT_NE(broken().find("says so"), std::string::npos);
    add(7, What::Says, 2, -1, membership::kReportsUnheard);
    EXPECT_EQ(broken(), "");
}
TEST_F(Judged, OneThatLeavesAndIsTakenForDead) {
    fault(FaultKind::Leave, 1, 0, {2});
    day.may_die[2] = true;
    day.expect.left_s = 2;
    add(1, What::Leaves, 2);
    sees(1.2, 0, 2, Seen::Left);
    EXPECT_NE(broken().find("has left to all others"), std::string::npos);
    sees(1.3, 1, 2, Seen::Left);
    EXPECT_EQ(broken(), "");
    sees(1.4, 1, 2, Seen::Dead);
    EXPECT_NE(broken().find("one that leaves is not taken for dead"), std::string::npos);
}
TEST_F(Judged, PartsThatAddUpToMoreThanTwice) {
    add(1, What::Shares, 0, -1, 1);
    EXPECT_EQ(broken(), "");
    add(2, What::Shares, 1, -1, 1);
    EXPECT_NE(broken().find("twice the whole"), std::string::npos);
}
TEST_F(Judged, WhatDoesNotHeal) {
    fault(FaultKind::Cut, 1, 2, {0}, {1});
    day.expect.healed_s = 5;
    add(1, What::FaultOn, -1, -1, 0);
    sees(2, 1, 0, Seen::Suspect);
    add(3, What::FaultOff, -1, -1, 0);
    EXPECT_EQ(broken(), "");
    add(3.5, What::Says, 1, -1, membership::kReportsDeaf);
    events.insert(events.end() - 2, {2.5, What::Says, 1, -1, membership::kReportsDeaf});
    EXPECT_NE(broken().find("behind the last fault all is right"), std::string::npos);
    add(9, What::Says, 1, -1, 0);
    EXPECT_NE(broken().find("it took 6.00 s"), std::string::npos);
}
TEST_F(Judged, RequestsThatAreNotServed) {
    day.expect.served = 0.99;
    EXPECT_EQ(broken(), "");
    events.back().value = 1;
    EXPECT_NE(broken().find("requests are sent"), std::string::npos);
    add(1, What::Served, 0, -1, 99);
    add(2, What::Unserved, 1, -1, 1);
    EXPECT_EQ(broken(), "");
    add(3, What::Unserved, 1, -1, 1);
    EXPECT_NE(broken().find("are served"), std::string::npos);
}

// ---- Saboteurs: each breaks the members in one way, and the judge is to see it from outside

std::string broken_by(const char* scenario, VirtualOptions options, std::uint64_t seed = 1) {
    Day day = Scenario::read(scenario).draw(seed);
    Verdict verdict = judge(day, run_virtual(day, options));
    std::string all;
    for (const Broken& one : verdict.broken) all += one.promise + "\n";
    return all;
}
VirtualOptions with(std::function<void(membership::Settings&)> settings) {
    return {std::move(settings), nullptr};
}
VirtualOptions meddling(std::function<bool(std::size_t, membership::SendDatagram&)> meddles) {
    return {nullptr, std::move(meddles)};
}
void drop_word_on(membership::MemberAddress who, membership::Datagram& datagram) {
    auto& updates = datagram.updates;
    updates.erase(std::remove_if(updates.begin(), updates.end(),
                                 [&](const auto& update) { return update.address == who; }),
                  updates.end());
}
bool has(const std::string& text, const char* part) {
    return text.find(part) != std::string::npos;
}

TEST(FleetSaboteurs, AsTheyShipNoneOfThisIsBroken) {
    for (const char* scenario : {"kill", "trouble", "pause", "halves", "unheard", "deaf", "small"})
        EXPECT_EQ(broken_by(scenario, {}), "") << scenario;
}
TEST(FleetSaboteurs, SuspectsThatAreDeadAtOnce) {
    EXPECT_TRUE(has(broken_by("trouble", with([](membership::Settings& set) {
                                  set.suspicion_multiplier = 1;
                                  set.lifeguard = set.confirm_before_dead = false;
                              })),
                    "nobody who lives is taken for dead"));
}
TEST(FleetSaboteurs, SuspectsThatNeverDie) {
    EXPECT_TRUE(has(broken_by("kill", with([](membership::Settings& set) { set.suspicion_multiplier = 60; })),
                    "dead to all others within 8.0 s"));
}
TEST(FleetSaboteurs, OneThatNeverFindsItselfIsolated) {
    EXPECT_TRUE(has(broken_by("unheard", with([](membership::Settings& set) {
                                  set.isolated_after = Duration{3'600'000};
                              })),
                    "says so"));
}
TEST(FleetSaboteurs, GoodbyesThatAreNotSaid) {
    EXPECT_TRUE(has(broken_by("small", meddling([](std::size_t, membership::SendDatagram& send) {
                                  send.datagram.from.state = MemberState::Alive;
                                  drop_word_on(send.datagram.from.address, send.datagram);
                                  return true;
                              })),
                    "one that leaves"));
}
TEST(FleetSaboteurs, WordOnWhoeverItIsSentToIsLeftOut) {
    EXPECT_TRUE(has(broken_by("pause", meddling([](std::size_t, membership::SendDatagram& send) {
                                  drop_word_on(send.to, send.datagram);
                                  return true;
                              })),
                    "behind a pause"));
}
TEST(FleetSaboteurs, NobodyAsksTheDead) {
    EXPECT_TRUE(has(broken_by("halves", meddling([](std::size_t, membership::SendDatagram& send) {
                                  if (send.datagram.kind == DatagramKind::ListRequest) return false;
                                  for (const auto& update : send.datagram.updates)
                                      if (send.datagram.kind == DatagramKind::Ping &&
                                          update.address == send.to && update.state == MemberState::Dead)
                                          return false;
                                  return true;
                              })),
                    "behind the last fault all is right"));
}
TEST(FleetSaboteurs, ALiarWhoDeclaresOthersDead) {
    EXPECT_TRUE(has(broken_by("small", meddling([](std::size_t from, membership::SendDatagram& send) {
                                  if (from != 0) return true;
                                  membership::Update update;
                                  update.address = send.to;
                                  update.incarnation = 5;
                                  update.state = MemberState::Dead;
                                  if (send.datagram.updates.size() < membership::kMaxUpdates)
                                      send.datagram.updates.push_back(update);
                                  return true;
                              })),
                    "nobody who lives is taken for dead"));
}

// ---- Hard cases, as they ship: nothing of it is drawn but by the seed

std::string broken_on(const std::string& text, std::uint64_t seeds = 5, const VirtualOptions& options = {}) {
    Folder folder;
    Scenario all = Scenario::read(folder.file(text));
    std::string out;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Day day = all.draw(seed);
        for (const Broken& one : judge(day, run_virtual(day, options)).broken)
            out += std::to_string(seed) + ": " + one.promise + "\n";
    }
    return out;
}

TEST(FleetHardCases, ALinkThatFlaps) {
    EXPECT_EQ(broken_on("members = 8\nlength_s = 90\n[[fault]]\nkind = \"cut\"\nwho = \"0\"\nto = "
                        "\"1\"\nboth = true\nfor_s = 1\ntimes = 30\n"
                        "every_s = 2\n[expect]\nhealed_s = 5\n"),
              "");
}
TEST(FleetHardCases, AllLinksOfOneThatFlap) {
    EXPECT_EQ(broken_on("members = 8\nlength_s = 90\nmay_die = \"0\"\n[[fault]]\nkind = \"cut\"\nwho = "
                        "\"0\"\nboth = true\nfor_s = 1\ntimes = 30\n"
                        "every_s = 2\n[expect]\nhealed_s = 10\n"),
              "");
}
TEST(FleetHardCases, TwoZonesThatSeeEachOtherThroughAThirdOnly) {
    EXPECT_EQ(broken_on("members = 9\nlength_s = 150\n[[fault]]\nkind = \"cut\"\nwho = \"0-2\"\nto = "
                        "\"3-5\"\nboth = true\nfor_s = 120\n"
                        "[expect]\nhealed_s = 10\n"),
              "");
}
TEST(FleetHardCases, AMachineThatSlept) {
    EXPECT_EQ(broken_on("members = 8\nlength_s = 120\n[[fault]]\nkind = \"pause\"\nwho = \"all\"\nfor_s = "
                        "60\n[expect]\nhealed_s = 5\n"),
              "");
}
TEST(FleetHardCases, OneThatIsPausedForHalfAMinute) {
    EXPECT_EQ(broken_on("members = 8\nlength_s = 60\nmay_die = \"touched\"\n[[fault]]\nkind = "
                        "\"pause\"\nfor_s = 30\n[expect]\nundone_s = 2\n"
                        "healed_s = 5\n"),
              "");
}
TEST(FleetHardCases, ACutOfTenMinutes) {
    EXPECT_EQ(broken_on("members = 10\nlength_s = 700\nmay_die = \"all\"\n[[fault]]\nkind = \"cut\"\nwho = "
                        "\"half\"\nboth = true\nfor_s = 600\n"
                        "[expect]\nhealed_s = 15\n"),
              "");
}
TEST(FleetHardCases, OldDatagramsThatArePlayedAgainBehindARestart) {
    EXPECT_EQ(broken_on("members = 6\nlength_s = 60\n[[fault]]\nkind = \"kill\"\nwho = \"2\"\nback_s = "
                        "9\nat_s = 1\n[[fault]]\nkind = \"replay\"\n"
                        "at_s = 9.9\ntimes = 10\nevery_s = 0.5\n[expect]\nhealed_s = 15\n"),
              "");
}
TEST(FleetHardCases, ARestartWithinAFifthOfASecond) {
    EXPECT_EQ(broken_on("members = 6\nlength_s = 30\n[[fault]]\nkind = \"kill\"\nback_s = 0.15\nat_s = "
                        "1\ntimes = 5\nevery_s = 2\n[expect]\n"
                        "healed_s = 10\n"),
              "");
}
TEST(FleetHardCases, FaultsOfEachKindAtOnce) {
    EXPECT_EQ(broken_on("members = 12\nlength_s = 120\nmay_die = \"all\"\n[draw]\nfaults = 25\nwithin_s = "
                        "60\nlongest_s = 10\nkinds = [\"cut\", \"loss\", "
                        "\"late\", \"doubled\", \"reorder\", \"pause\", \"slow\", \"kill\", \"replay\", "
                        "\"clock\"]\n[expect]\nhealed_s = 30\n",
                        20),
              "");
}
// Whom it declares dead says otherwise as soon as it hears of it: the harm is a moment for each lie.
TEST(FleetHardCases, ALiarsHarmEndsWithItsLies) {
    int lies = 0;
    VirtualOptions liar = meddling([&lies](std::size_t from, membership::SendDatagram& send) {
        if (from != 0 || lies++ > 300 || send.datagram.updates.size() == membership::kMaxUpdates) return true;
        membership::Update update;
        update.address = {send.to.host ^ 1u, send.to.port};
        update.incarnation = std::uint32_t(lies);
        update.state = MemberState::Dead;
        send.datagram.updates.push_back(update);
        return true;
    });
    EXPECT_EQ(broken_on("members = 8\nlength_s = 200\nmay_die = \"all\"\n[[fault]]\nkind = \"loss\"\npart = "
                        "0\nwho = \"0\"\nfor_s = 150\n[expect]\n"
                        "healed_s = 10\n",
                        1, liar),
              "");
    EXPECT_GT(lies, 300);
}

TEST(FleetProcesses, GoodbyesThatAreNotSaidAreMissedOnRealProcessesToo) {
    Folder folder;
    Day day = Scenario::read(folder.file("members = 3\ninterval_ms = 200\nlength_s = 4\n[[fault]]\nkind = "
                                         "\"leave\"\nat_s = 0.1\nwho = \"2\"\n"
                                         "[expect]\nleft_s = 2\n"))
                  .draw(1);
    ProcessOptions options;
    options.program = OCHREHUB_NODE;
    for (const Broken& one : judge(day, run_processes(day, options)).broken) ADD_FAILURE() << one.promise;
    options.meddles = [](std::size_t, membership::SendDatagram& send) {
        send.datagram.from.state = MemberState::Alive;
        drop_word_on(send.datagram.from.address, send.datagram);
        return true;
    };
    std::string all;
    for (const Broken& one : judge(day, run_processes(day, options)).broken) all += one.promise;
    EXPECT_TRUE(has(all, "one that leaves")) << all;
}

// ---- Both ends of a result

TEST(FleetShrink, LeavesWhatBreaksAlone) {
    Folder folder;
    Day day = Scenario::read(folder.file("members = 6\nlength_s = 40\n[draw]\nfaults = 14\nlongest_s = "
                                         "1\nkinds = [\"loss\", \"late\", \"pause\"]\n"
                                         "[[fault]]\nkind = \"cut\"\nfor_s = 25\nwho = \"2\"\n"))
                  .draw(5);
    int runs = 0;
    auto breaks = [&](const Day& smaller) {
        ++runs;
        return !judge(smaller, run_virtual(smaller)).broken.empty();
    };
    ASSERT_TRUE(breaks(day));
    Shrunk smallest = shrink(day, breaks);
    EXPECT_EQ(runs, smallest.runs + 1);
    ASSERT_EQ(smallest.day.faults.size(), 1u);
    EXPECT_EQ(smallest.day.faults[0].kind, FaultKind::Cut);
    EXPECT_LT(smallest.day.faults[0].for_s, 25);
    EXPECT_TRUE(breaks(smallest.day));
}

TEST(FleetOutcome, IsReadAsItWasWrittenAndDrawn) {
    Outcome one;
    one.day = Scenario::read("deaf").draw(2);
    one.world = "virtual";
    one.events = run_virtual(one.day);
    one.verdict = judge(one.day, one.events);
    one.verdict.broken.push_back({"a <promise>", 3, {"a proof"}});
    Folder folder;
    std::string path = (folder / "r.json").string();
    std::ofstream(path) << to_json({one});
    ASSERT_TRUE(is_outcomes(path));
    std::vector<Outcome> read = read_outcomes(path);
    ASSERT_EQ(read.size(), 1u);
    EXPECT_EQ(summary(read), summary({one}));
    EXPECT_EQ(read[0].events.size(), one.events.size());
    std::string html = page(read);
    EXPECT_NE(html.find("a &lt;promise&gt;"), std::string::npos);
    EXPECT_NE(html.find("0 shows 7 as dead"), std::string::npos);
    EXPECT_NE(html.find(">deaf</text>"), std::string::npos);
    std::ofstream(path) << "{\"kind\":\"fleet\",\"runs\":[{}]}";
    EXPECT_THROW(read_outcomes(path), std::runtime_error);
}

TEST(FleetVirtual, TheSameDayGivesTheSameEventsAndAClockThatRunsFastKillsNobody) {
    Folder folder;
    Day day = Scenario::read(folder.file("members = 8\nlength_s = 40\n[[fault]]\nkind = \"clock\"\nfor_s = "
                                         "30\nrate = 1.01\nms = 2000\n"
                                         "[expect]\nhealed_s = 5\n"))
                  .draw(3);
    std::vector<Event> first = run_virtual(day), second = run_virtual(day);
    ASSERT_EQ(first.size(), second.size());
    EXPECT_EQ(first.back().text(), second.back().text());
    for (const Broken& one : judge(day, first).broken) ADD_FAILURE() << one.promise;
}

}  // namespace
}  // namespace ochrehub::lab::fleet
