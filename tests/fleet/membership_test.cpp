// One member, by hand-made events.
#include "fleet/membership/membership.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "fleet/membership/view.h"

namespace ochrehub::membership {
namespace {

TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}
MemberAddress address(std::uint32_t n) {
    return {0x7f000000 + n, 7000};
}
Update alive(std::uint32_t n, std::uint32_t incarnation = 0) {
    Update update;
    update.address = address(n);
    update.incarnation = incarnation;
    return update;
}
Update accused(std::uint32_t n, MemberState state, std::uint32_t incarnation = 0, std::uint16_t accuser = 9) {
    Update update = alive(n, incarnation);
    update.state = state;
    if (state == MemberState::Suspect) update.accuser = accuser;
    return update;
}

class One {
public:
    explicit One(std::size_t most = 4096) : core(settings(most), 5) { wake(0); }
    static Settings settings(std::size_t most) {
        Settings set;
        set.self = address(1);
        set.max_members = most;
        return set;
    }
    std::vector<Datagram> hand(double ms, const Event& event) {
        now = ms;
        Actions actions;
        core.handle(at(ms), event, actions);
        std::vector<Datagram> out;
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<SendDatagram>(&action)) out.push_back(send->datagram);
            if (const auto* next = std::get_if<SetTimer>(&action)) due = next->at;
        }
        return out;
    }
    std::vector<Datagram> wake(double ms) { return hand(ms, TimerFired{}); }
    /// Fires its timers.
    std::vector<Datagram> run_to(double ms) {
        std::vector<Datagram> all;
        while (due <= at(ms))
            for (Datagram& d : wake(std::max(now, due.time_since_epoch().count())))
                all.push_back(std::move(d));
        return all;
    }
    std::vector<Datagram> receive(double ms, DatagramKind kind, const Update& from,
                                  std::vector<Update> updates = {}, std::uint32_t sequence = 1) {
        Datagram d;
        d.kind = kind;
        d.from = from;
        d.sequence = sequence;
        d.about = address(1);
        for (const Update& update : updates) d.updates.push_back(update);
        return hand(ms, DatagramReceived{d});
    }
    MemberState state(std::uint32_t n) const { return core.find(address(n))->update.state; }

    Membership core;
    TimePoint due{};
    double now = 0;
};

TEST(Membership, AcksAPingAndIgnoresOneForAnotherMember) {
    One one;
    auto out = one.receive(1, DatagramKind::Ping, alive(2), {}, 77);
    ASSERT_EQ(out.size(), 1u);
    EXPECT_EQ(out[0].kind, DatagramKind::Ack);
    EXPECT_EQ(out[0].sequence, 77u);
    Datagram other;
    other.kind = DatagramKind::Ping;
    other.from = alive(2);
    other.about = address(3);
    EXPECT_TRUE(one.hand(2, DatagramReceived{other}).empty());
    EXPECT_EQ(one.core.counts().misaddressed, 1u);
}

TEST(Membership, RefutesAccusationsAndLowersItsLocalHealth) {
    One one;
    one.receive(1, DatagramKind::Gossip, alive(2), {accused(1, MemberState::Suspect, 0)});
    EXPECT_EQ(one.core.incarnation(), 1u);
    EXPECT_EQ(one.core.local_health_score(), 1);
    one.receive(2, DatagramKind::Gossip, alive(2), {accused(1, MemberState::Suspect, 0)});  // out of date
    EXPECT_EQ(one.core.incarnation(), 1u);
    one.receive(3, DatagramKind::Gossip, alive(2), {accused(1, MemberState::Dead, 6)});
    EXPECT_EQ(one.core.incarnation(), 7u);
}

TEST(Membership, IgnoresIncarnationsAboveTheMaximum) {
    One one;
    one.receive(1, DatagramKind::Gossip, alive(2),
                {accused(1, MemberState::Dead, 0xffffffff), alive(3, 0xffffffff)});
    EXPECT_EQ(one.core.incarnation(), 0u);
    EXPECT_EQ(one.core.find(address(3)), nullptr);
}

TEST(Membership, NeverReplacesANewerUpdateByAnOlder) {
    One one;
    one.receive(1, DatagramKind::Gossip, alive(2), {alive(3, 4)});
    for (const Update& old : {accused(3, MemberState::Suspect, 3), accused(3, MemberState::Dead, 3),
                              accused(3, MemberState::Left, 2)})
        one.receive(2, DatagramKind::Gossip, alive(2), {old});
    EXPECT_EQ(one.state(3), MemberState::Alive);
    one.receive(3, DatagramKind::Gossip, alive(2), {accused(3, MemberState::Dead, 4)});
    one.receive(4, DatagramKind::Gossip, alive(2), {alive(3, 4), accused(3, MemberState::Suspect, 4)});
    EXPECT_EQ(one.state(3), MemberState::Dead);
    one.receive(5, DatagramKind::Gossip, alive(2), {alive(3, 5)});
    EXPECT_EQ(one.state(3), MemberState::Alive);
}

TEST(Membership, ProbesASilentMemberThroughOthersThenSuspectsItThenFindsItDead) {
    One one;
    for (std::uint32_t n = 2; n <= 4; ++n) one.receive(1, DatagramKind::Gossip, alive(n));
    bool asked = false;
    std::vector<std::pair<double, MemberState>> seen;
    while (one.now < 60000 && one.state(2) != MemberState::Dead) {
        MemberState before = one.state(2);
        for (const Datagram& d : one.run_to(one.due.time_since_epoch().count())) {
            asked = asked || (d.kind == DatagramKind::PingRequest && d.about == address(2));
            if (d.kind != DatagramKind::Ping || d.about == address(2)) continue;
            Datagram ack;
            ack.kind = DatagramKind::Ack;
            ack.sequence = d.sequence;
            ack.about = d.about;
            ack.from = alive(d.about.host & 0xff);
            one.hand(one.now, DatagramReceived{ack});
        }
        if (one.state(2) != before) seen.emplace_back(one.now, one.state(2));
    }
    EXPECT_TRUE(asked);
    ASSERT_EQ(seen.size(), 2u);
    EXPECT_EQ(seen[0].second, MemberState::Suspect);
    // With a lone accuser a suspect has the longest time.
    EXPECT_GT(seen[1].first - seen[0].first, 5000);
}

TEST(Membership, FurtherAccusersShortenASuspectsTimeAndTheSameOneDoesNot) {
    auto dead_after = [](std::vector<std::uint16_t> accusers) {
        One one;
        for (std::uint32_t n = 2; n <= 9; ++n) one.receive(1, DatagramKind::Gossip, alive(n));
        for (std::uint16_t accuser : accusers)
            one.receive(2, DatagramKind::Gossip, alive(2), {accused(3, MemberState::Suspect, 0, accuser)});
        while (one.state(3) != MemberState::Dead) one.run_to(one.due.time_since_epoch().count());
        return one.now;
    };
    double lone = dead_after({7});
    EXPECT_DOUBLE_EQ(dead_after({7, 7, 7}), lone);
    EXPECT_LT(dead_after({7, 8}), lone);
    EXPECT_LT(dead_after({7, 8, 11, 12}), 0.6 * lone);  // the lone accuser's own probe makes two of them
}

TEST(Membership, SendsARefutationToTheSenderOfAnOldAccusationOnly) {
    One one;
    one.receive(10, DatagramKind::Gossip, alive(2), {alive(3, 4)});
    auto out = one.receive(20, DatagramKind::Gossip, alive(2),
                           {accused(3, MemberState::Suspect, 3), accused(4, MemberState::Dead)});
    ASSERT_EQ(out.size(), 1u);
    ASSERT_EQ(out[0].updates.size(), 1u);
    EXPECT_EQ(out[0].updates[0], alive(3, 4));
    EXPECT_TRUE(
        one.receive(30, DatagramKind::Gossip, alive(2), {accused(3, MemberState::Suspect, 4)}).empty());
    EXPECT_TRUE(one.receive(40, DatagramKind::Gossip, alive(2), {alive(3, 1)}).empty());
}

TEST(Membership, AddsNoMemberToAFullTableAndStillAcksPings) {
    One one(3);
    for (std::uint32_t n = 2; n <= 9; ++n) one.receive(1, DatagramKind::Gossip, alive(n));
    EXPECT_EQ(one.core.size(), 3u);
    EXPECT_EQ(one.core.counts().rejected_table_full, 5u);
    EXPECT_EQ(one.receive(2, DatagramKind::Ping, alive(9)).size(), 1u);
}

TEST(Membership, SendsTheMemberListInPagesThatEnd) {
    One one;
    for (std::uint32_t n = 2; n <= 40; ++n) one.receive(1, DatagramKind::Gossip, alive(n));
    std::size_t found = 0;
    Datagram ask;
    ask.kind = DatagramKind::ListRequest;
    ask.from = alive(200);
    for (int pages = 0; pages < 10; ++pages) {
        Datagram page = one.hand(2, DatagramReceived{ask}).back();
        ASSERT_EQ(page.kind, DatagramKind::ListPage);
        found += page.updates.size();
        if (!page.about.known()) break;
        ASSERT_GT(page.about, ask.about);
        ask.about = page.about;
    }
    EXPECT_EQ(found, 39u);
}

TEST(MembershipIsolation, ReportsDeafWithoutDatagramsAndUnheardWithoutResponses) {
    for (bool receives_gossip : {false, true}) {
        One one;
        for (std::uint32_t n = 2; n <= 4; ++n) one.receive(1, DatagramKind::Gossip, alive(n));
        one.run_to(4900);
        EXPECT_EQ(one.core.self().self_report, 0);
        if (receives_gossip) one.receive(4900, DatagramKind::Gossip, alive(2));
        one.run_to(5200);
        EXPECT_EQ(one.core.self().self_report, receives_gossip ? kReportsUnheard : kReportsDeaf);
        // A response to one of its own datagrams ends it, any other does not.
        one.receive(5300, DatagramKind::Ack, alive(2), {}, 4'000'000);
        EXPECT_NE(one.core.self().self_report, 0);
        auto out = one.run_to(8000);
        ASSERT_FALSE(out.empty());
        one.receive(8001, DatagramKind::Ack, alive(2), {}, out.back().sequence);
        EXPECT_EQ(one.core.self().self_report, 0);
    }
}

TEST(MembershipIsolation, ReportsDeafOnceTheLastDatagramIsLongAgo) {
    One one;
    for (std::uint32_t n = 2; n <= 4; ++n) one.receive(1, DatagramKind::Gossip, alive(n));
    one.run_to(4000);
    one.receive(4000, DatagramKind::Gossip, alive(2));
    one.run_to(5100);
    EXPECT_EQ(one.core.self().self_report, kReportsUnheard);
    one.run_to(13'000);
    EXPECT_EQ(one.core.self().self_report, kReportsDeaf);
}

TEST(MembershipIsolation, AReportOfADeafMemberRefutesNoSuspicion) {
    One one;
    one.receive(10, DatagramKind::Gossip, alive(2), {accused(3, MemberState::Suspect)});
    Update deaf = alive(3, 1);
    deaf.self_report = kReportsDeaf;
    one.receive(20, DatagramKind::Gossip, deaf);
    EXPECT_EQ(one.state(3), MemberState::Suspect);
    EXPECT_EQ(one.core.find(address(3))->update.incarnation, 1u);
    one.receive(30, DatagramKind::Gossip, alive(3, 2));  // it receives_gossip again
    EXPECT_EQ(one.state(3), MemberState::Alive);
    one.receive(40, DatagramKind::Gossip, alive(2), {accused(3, MemberState::Dead, 2)});
    deaf.incarnation = 3;
    one.receive(50, DatagramKind::Gossip, deaf);
    EXPECT_EQ(one.state(3), MemberState::Dead);
    one.receive(60, DatagramKind::Gossip, alive(3, 4));
    EXPECT_EQ(one.state(3), MemberState::Alive);
}

TEST(MembershipIsolation, SuspectsHaveAllTheirTimeAgainAfterIsolation) {
    One one;
    one.receive(10, DatagramKind::Ack, alive(2), {alive(3)}, 0);
    one.run_to(7000);
    one.receive(7000, DatagramKind::Gossip, alive(2), {accused(5, MemberState::Suspect)});
    one.run_to(9000);
    ASSERT_NE(one.core.self().self_report & kReportsIsolated, 0);
    ASSERT_EQ(one.state(5), MemberState::Suspect);
    auto sent = one.run_to(9500);
    std::uint32_t last = 0;
    for (const Datagram& d : sent) last = std::max(last, d.sequence);
    one.receive(9500, DatagramKind::Ack, alive(2), {}, last);
    ASSERT_EQ(one.core.self().self_report, 0);
    one.run_to(9500 + 2000);
    EXPECT_EQ(one.state(5), MemberState::Suspect);
}

// Sums and differences of times round differently: a core could set a timer for now forever.
TEST(MembershipIsolation, IsFoundWithoutSettingTheSameTimerForever) {
    for (int i = 0; i < 500; ++i) {
        One one;
        one.receive(10, DatagramKind::Gossip, alive(2));
        double last = 11'400 + 9.9137 * i;  // across 2^14 with the time it waits for: there a sum loses a bit
        one.run_to(last);
        one.receive(last, DatagramKind::Ack, alive(2), {}, 1);
        int wakes = 0;
        while (one.due <= at(last + 6000) && ++wakes < 1000)
            one.wake(std::max(one.now, one.due.time_since_epoch().count()));
        ASSERT_LT(wakes, 1000) << last;
        ASSERT_NE(one.core.self().self_report & kReportsIsolated, 0) << last;
    }
}

// A paused process finds its socket full: the time counts as lost once, not once per datagram.
TEST(MembershipIsolation, IsDeferredByAPauseOnceHoweverManyDatagramsWaited) {
    One one;
    one.receive(10, DatagramKind::Gossip, alive(2));
    one.run_to(2000);
    for (int i = 0; i < 50; ++i) one.receive(5000 + 0.1 * i, DatagramKind::Gossip, alive(2));
    one.run_to(5000 + 5000 + 3000 + 2 * 500);
    EXPECT_NE(one.core.self().self_report & kReportsIsolated, 0);
}

TEST(Membership, APauseGivesASuspectItsLengthOnceHoweverManyDatagramsWaited) {
    One one;
    one.receive(10, DatagramKind::Gossip, alive(2), {accused(3, MemberState::Suspect)});
    ASSERT_EQ(one.state(3), MemberState::Suspect);
    one.run_to(1000);
    for (int i = 0; i < 50; ++i) one.receive(4000 + 0.1 * i, DatagramKind::Gossip, alive(2));
    one.run_to(4000 + 3 * 3000 + 3000 + 1000);
    EXPECT_EQ(one.state(3), MemberState::Dead);
}

TEST(MembershipIsolation, FindingsMadeMeanwhileAreNotGossiped) {
    One one;
    for (std::uint32_t n = 2; n <= 4; ++n) one.receive(1, DatagramKind::Gossip, alive(n));
    for (const Datagram& d : one.run_to(60'000))
        for (const Update& update : d.updates) {
            if (d.about == update.address)
                continue;  // a reconnect ping shows its receiver what it may refute
            EXPECT_NE(update.state, MemberState::Dead) << "gossiped " << update.address.host;
        }
    EXPECT_EQ(one.state(2), MemberState::Dead);
}

TEST(MembershipIsolation, IsNotReportedIfAllOthersHaveLeft) {
    One one;
    one.receive(1, DatagramKind::Gossip, accused(2, MemberState::Left, 1));
    one.receive(1, DatagramKind::Gossip, alive(2));
    one.receive(2, DatagramKind::Gossip, accused(2, MemberState::Left, 1));
    one.run_to(30'000);
    EXPECT_EQ(one.core.self().self_report, 0);
}

TEST(Membership, ReportsAStalledLoopUnderANewIncarnation) {
    One one;
    one.hand(1, StallReported{true});
    EXPECT_EQ(one.core.self().self_report, kReportsStalled);
    EXPECT_EQ(one.core.incarnation(), 1u);
    one.hand(2, StallReported{true});
    EXPECT_EQ(one.core.incarnation(), 1u);
}

TEST(MembershipInstances, ANewInstanceIsARestartAndOneThatAlternatesIsADuplicate) {
    One one;
    auto receive = [&](double ms, std::uint32_t instance) {
        Datagram d;
        d.from = alive(2);
        d.instance = instance;
        one.hand(ms, DatagramReceived{d});
    };
    receive(1, 10);
    receive(2, 11);
    const auto* member = one.core.find(address(2));
    EXPECT_EQ(member->restarts, 1u);
    EXPECT_EQ(member->duplicate_seen_at, TimePoint{});
    receive(3, 10);
    EXPECT_EQ(member->restarts, 1u);
    EXPECT_EQ(member->duplicate_seen_at, at(3));
    EXPECT_TRUE(make_view(one.core, at(4)).members.at(0).doubled);
}

}  // namespace
}  // namespace ochrehub::membership
