// One member by hand-made events, and the octets of its datagrams.
#include "fleet/membership/membership.h"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <cstdlib>
#include <fstream>
#include <string>

#include "fleet/membership/fleet_size_divisor.h"
#include "fleet/membership/settings.h"
#include "fleet/membership/view.h"

namespace ochrehub::membership {
namespace {

TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}
MemberAddress place(std::uint32_t n) {
    return {0x7f000000 + n, 7000};
}
Update alive(std::uint32_t n, std::uint32_t incarnation = 0) {
    Update update;
    update.address = place(n);
    update.incarnation = incarnation;
    return update;
}
Update said(std::uint32_t n, MemberState state, std::uint32_t incarnation = 0, std::uint16_t accuser = 9) {
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
        set.self = place(1);
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
    /// Wakes it whenever it asks for it.
    std::vector<Datagram> run_to(double ms) {
        std::vector<Datagram> all;
        while (due <= at(ms))
            for (Datagram& d : wake(std::max(now, due.time_since_epoch().count())))
                all.push_back(std::move(d));
        return all;
    }
    std::vector<Datagram> hear(double ms, DatagramKind kind, const Update& from,
                               std::vector<Update> updates = {}, std::uint32_t sequence = 1) {
        Datagram d;
        d.kind = kind;
        d.from = from;
        d.sequence = sequence;
        d.about = place(1);
        for (const Update& update : updates) d.updates.push_back(update);
        return hand(ms, DatagramReceived{d});
    }
    MemberState state(std::uint32_t n) const { return core.find(place(n))->update.state; }

    Membership core;
    TimePoint due{};
    double now = 0;
};

TEST(Member, APingIsAnsweredAndOneMeantForAnotherIsNot) {
    One one;
    auto out = one.hear(1, DatagramKind::Ping, alive(2), {}, 77);
    ASSERT_EQ(out.size(), 1u);
    EXPECT_EQ(out[0].kind, DatagramKind::Ack);
    EXPECT_EQ(out[0].sequence, 77u);
    Datagram other;
    other.kind = DatagramKind::Ping;
    other.from = alive(2);
    other.about = place(3);
    EXPECT_TRUE(one.hand(2, DatagramReceived{other}).empty());
    EXPECT_EQ(one.core.counts().misaddressed, 1u);
}

TEST(Member, RefutesWhatIsSaidOfItAndDoubtsItself) {
    One one;
    one.hear(1, DatagramKind::Gossip, alive(2), {said(1, MemberState::Suspect, 0)});
    EXPECT_EQ(one.core.incarnation(), 1u);
    EXPECT_EQ(one.core.local_health_score(), 1);
    one.hear(2, DatagramKind::Gossip, alive(2), {said(1, MemberState::Suspect, 0)});  // old by now
    EXPECT_EQ(one.core.incarnation(), 1u);
    one.hear(3, DatagramKind::Gossip, alive(2), {said(1, MemberState::Dead, 6)});
    EXPECT_EQ(one.core.incarnation(), 7u);
}

TEST(Member, AnIncarnationThatWasMadeUpIsNoneToRefute) {
    One one;
    one.hear(1, DatagramKind::Gossip, alive(2),
             {said(1, MemberState::Dead, 0xffffffff), alive(3, 0xffffffff)});
    EXPECT_EQ(one.core.incarnation(), 0u);
    EXPECT_EQ(one.core.find(place(3)), nullptr);
}

TEST(Member, OlderWordNeverReplacesNewer) {
    One one;
    one.hear(1, DatagramKind::Gossip, alive(2), {alive(3, 4)});
    for (const Update& old :
         {said(3, MemberState::Suspect, 3), said(3, MemberState::Dead, 3), said(3, MemberState::Left, 2)})
        one.hear(2, DatagramKind::Gossip, alive(2), {old});
    EXPECT_EQ(one.state(3), MemberState::Alive);
    one.hear(3, DatagramKind::Gossip, alive(2), {said(3, MemberState::Dead, 4)});
    one.hear(4, DatagramKind::Gossip, alive(2), {alive(3, 4), said(3, MemberState::Suspect, 4)});
    EXPECT_EQ(one.state(3), MemberState::Dead);
    one.hear(5, DatagramKind::Gossip, alive(2), {alive(3, 5)});
    EXPECT_EQ(one.state(3), MemberState::Alive);
}

TEST(Member, WhoIsSilentIsAskedForThroughOthersThenSuspectedThenDead) {
    One one;
    for (std::uint32_t n = 2; n <= 4; ++n) one.hear(1, DatagramKind::Gossip, alive(n));
    bool asked = false;
    std::vector<std::pair<double, MemberState>> seen;
    while (one.now < 60000 && one.state(2) != MemberState::Dead) {
        MemberState before = one.state(2);
        for (const Datagram& d : one.run_to(one.due.time_since_epoch().count())) {
            asked = asked || (d.kind == DatagramKind::PingRequest && d.about == place(2));
            if (d.kind != DatagramKind::Ping || d.about == place(2)) continue;
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
    // A lone accuser gives it the longest time there is.
    EXPECT_GT(seen[1].first - seen[0].first, 5000);
}

TEST(Member, EachFurtherAccuserShortensASuspectsTimeAndTheSameOneDoesNot) {
    auto dead_after = [](std::vector<std::uint16_t> accusers) {
        One one;
        for (std::uint32_t n = 2; n <= 9; ++n) one.hear(1, DatagramKind::Gossip, alive(n));
        for (std::uint16_t accuser : accusers)
            one.hear(2, DatagramKind::Gossip, alive(2), {said(3, MemberState::Suspect, 0, accuser)});
        while (one.state(3) != MemberState::Dead) one.run_to(one.due.time_since_epoch().count());
        return one.now;
    };
    double lone = dead_after({7});
    EXPECT_DOUBLE_EQ(dead_after({7, 7, 7}), lone);
    EXPECT_LT(dead_after({7, 8}), lone);
    EXPECT_LT(dead_after({7, 8, 11, 12}), 0.6 * lone);  // the lone one's own probe makes two of them
}

TEST(Member, WhoAccusesSomebodyOfWhatIsRefutedIsToldAndNobodyElse) {
    One one;
    one.hear(10, DatagramKind::Gossip, alive(2), {alive(3, 4)});
    auto out = one.hear(20, DatagramKind::Gossip, alive(2),
                        {said(3, MemberState::Suspect, 3), said(4, MemberState::Dead)});
    ASSERT_EQ(out.size(), 1u);
    ASSERT_EQ(out[0].updates.size(), 1u);
    EXPECT_EQ(out[0].updates[0], alive(3, 4));
    EXPECT_TRUE(one.hear(30, DatagramKind::Gossip, alive(2), {said(3, MemberState::Suspect, 4)}).empty());
    EXPECT_TRUE(one.hear(40, DatagramKind::Gossip, alive(2), {alive(3, 1)}).empty());
}

TEST(Member, ATableThatIsFullTakesNobodyInAndAnswersAllTheSame) {
    One one(3);
    for (std::uint32_t n = 2; n <= 9; ++n) one.hear(1, DatagramKind::Gossip, alive(n));
    EXPECT_EQ(one.core.size(), 3u);
    EXPECT_EQ(one.core.counts().rejected_table_full, 5u);
    EXPECT_EQ(one.hear(2, DatagramKind::Ping, alive(9)).size(), 1u);
}

TEST(Member, AListIsGivenInPagesThatEnd) {
    One one;
    for (std::uint32_t n = 2; n <= 40; ++n) one.hear(1, DatagramKind::Gossip, alive(n));
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

TEST(Isolation, OneThatHearsNobodyKnowsItAndOneThatIsNotAnsweredToo) {
    for (bool hears : {false, true}) {
        One one;
        for (std::uint32_t n = 2; n <= 4; ++n) one.hear(1, DatagramKind::Gossip, alive(n));
        one.run_to(4900);
        EXPECT_EQ(one.core.self().self_report, 0);
        if (hears) one.hear(4900, DatagramKind::Gossip, alive(2));
        one.run_to(5200);
        EXPECT_EQ(one.core.self().self_report, hears ? kReportsUnheard : kReportsDeaf);
        // One answer to a question of its own ends it; what was asked by nobody does not.
        one.hear(5300, DatagramKind::Ack, alive(2), {}, 4'000'000);
        EXPECT_NE(one.core.self().self_report, 0);
        auto out = one.run_to(8000);
        ASSERT_FALSE(out.empty());
        one.hear(8001, DatagramKind::Ack, alive(2), {}, out.back().sequence);
        EXPECT_EQ(one.core.self().self_report, 0);
    }
}

TEST(Isolation, OneThatHeardSomethingLateIsDeafOnceThatIsLongAgoToo) {
    One one;
    for (std::uint32_t n = 2; n <= 4; ++n) one.hear(1, DatagramKind::Gossip, alive(n));
    one.run_to(4000);
    one.hear(4000, DatagramKind::Gossip, alive(2));
    one.run_to(5100);
    EXPECT_EQ(one.core.self().self_report, kReportsUnheard);
    one.run_to(13'000);
    EXPECT_EQ(one.core.self().self_report, kReportsDeaf);
}

TEST(Isolation, ADeafOnesWordOnItselfRefutesNoSuspicion) {
    One one;
    one.hear(10, DatagramKind::Gossip, alive(2), {said(3, MemberState::Suspect)});
    Update deaf = alive(3, 1);
    deaf.self_report = kReportsDeaf;
    one.hear(20, DatagramKind::Gossip, deaf);
    EXPECT_EQ(one.state(3), MemberState::Suspect);
    EXPECT_EQ(one.core.find(place(3))->update.incarnation, 1u);
    one.hear(30, DatagramKind::Gossip, alive(3, 2));  // it hears again
    EXPECT_EQ(one.state(3), MemberState::Alive);
    one.hear(40, DatagramKind::Gossip, alive(2), {said(3, MemberState::Dead, 2)});
    deaf.incarnation = 3;
    one.hear(50, DatagramKind::Gossip, deaf);
    EXPECT_EQ(one.state(3), MemberState::Dead);
    one.hear(60, DatagramKind::Gossip, alive(3, 4));
    EXPECT_EQ(one.state(3), MemberState::Alive);
}

TEST(Isolation, WhomItSuspectedMeanwhileHasAllItsTimeOnceItIsHeardAgain) {
    One one;
    one.hear(10, DatagramKind::Ack, alive(2), {alive(3)}, 0);
    one.run_to(7000);
    one.hear(7000, DatagramKind::Gossip, alive(2), {said(5, MemberState::Suspect)});
    one.run_to(9000);
    ASSERT_NE(one.core.self().self_report & kReportsIsolated, 0);
    ASSERT_EQ(one.state(5), MemberState::Suspect);
    auto sent = one.run_to(9500);
    std::uint32_t last = 0;
    for (const Datagram& d : sent) last = std::max(last, d.sequence);
    one.hear(9500, DatagramKind::Ack, alive(2), {}, last);
    ASSERT_EQ(one.core.self().self_report, 0);
    one.run_to(9500 + 2000);
    EXPECT_EQ(one.state(5), MemberState::Suspect);
}

// Sums and differences of times round differently; a core that asks for the moment that it is woken at stands
// for ever.
TEST(Isolation, IsFoundWithoutAskingForOneMomentAgainAndAgain) {
    for (int i = 0; i < 500; ++i) {
        One one;
        one.hear(10, DatagramKind::Gossip, alive(2));
        double last = 11'400 + 9.9137 * i;  // across 2^14 with what it waits for: there a sum loses a bit
        one.run_to(last);
        one.hear(last, DatagramKind::Ack, alive(2), {}, 1);
        int wakes = 0;
        while (one.due <= at(last + 6000) && ++wakes < 1000)
            one.wake(std::max(one.now, one.due.time_since_epoch().count()));
        ASSERT_LT(wakes, 1000) << last;
        ASSERT_NE(one.core.self().self_report & kReportsIsolated, 0) << last;
    }
}

// A process that stood still finds its socket full. The time that it lost is lost once, not once a datagram.
TEST(Isolation, APauseBehindWhichManyDatagramsWaitDefersItByThePauseAlone) {
    One one;
    one.hear(10, DatagramKind::Gossip, alive(2));
    one.run_to(2000);
    for (int i = 0; i < 50; ++i) one.hear(5000 + 0.1 * i, DatagramKind::Gossip, alive(2));
    one.run_to(5000 + 5000 + 3000 + 2 * 500);
    EXPECT_NE(one.core.self().self_report & kReportsIsolated, 0);
}

TEST(Member, APauseBehindWhichManyDatagramsWaitGivesASuspectNoMoreThanThePause) {
    One one;
    one.hear(10, DatagramKind::Gossip, alive(2), {said(3, MemberState::Suspect)});
    ASSERT_EQ(one.state(3), MemberState::Suspect);
    one.run_to(1000);
    for (int i = 0; i < 50; ++i) one.hear(4000 + 0.1 * i, DatagramKind::Gossip, alive(2));
    one.run_to(4000 + 3 * 3000 + 3000 + 1000);
    EXPECT_EQ(one.state(3), MemberState::Dead);
}

TEST(Isolation, WhatItFindsMeanwhileItTellsNobody) {
    One one;
    for (std::uint32_t n = 2; n <= 4; ++n) one.hear(1, DatagramKind::Gossip, alive(n));
    for (const Datagram& d : one.run_to(60'000))
        for (const Update& update : d.updates) {
            if (d.about == update.address) continue;  // a knock says to whom it is what it is about
            EXPECT_NE(update.state, MemberState::Dead) << "told of " << update.address.host;
        }
    EXPECT_EQ(one.state(2), MemberState::Dead);
}

TEST(Isolation, NobodyIsIsolatedWhereAllOthersHaveLeft) {
    One one;
    one.hear(1, DatagramKind::Gossip, said(2, MemberState::Left, 1));
    one.hear(1, DatagramKind::Gossip, alive(2));
    one.hear(2, DatagramKind::Gossip, said(2, MemberState::Left, 1));
    one.run_to(30'000);
    EXPECT_EQ(one.core.self().self_report, 0);
}

TEST(Member, AStalledLoopIsSaidUnderANewIncarnation) {
    One one;
    one.hand(1, StallReported{true});
    EXPECT_EQ(one.core.self().self_report, kReportsStalled);
    EXPECT_EQ(one.core.incarnation(), 1u);
    one.hand(2, StallReported{true});
    EXPECT_EQ(one.core.incarnation(), 1u);
}

TEST(Instances, AnotherProcessAtAPlaceIsARestartAndOneThatGoesBackAndForthIsTwo) {
    One one;
    auto hear = [&](double ms, std::uint32_t instance) {
        Datagram d;
        d.from = alive(2);
        d.instance = instance;
        one.hand(ms, DatagramReceived{d});
    };
    hear(1, 10);
    hear(2, 11);
    const auto* member = one.core.find(place(2));
    EXPECT_EQ(member->restarts, 1u);
    EXPECT_EQ(member->duplicate_seen_at, TimePoint{});
    hear(3, 10);
    EXPECT_EQ(member->restarts, 1u);
    EXPECT_EQ(member->duplicate_seen_at, at(3));
    EXPECT_TRUE(make_view(one.core, at(4)).members.at(0).doubled);
}

TEST(FleetSizeDivisor, FallsAtOnceAndRisesSlowlyAndNeverOverItsBound) {
    FleetSizeDivisor divisor({8, 4, Duration{5000}, Duration{1000}});
    EXPECT_EQ(divisor.value(), 8);
    EXPECT_EQ(divisor.update(at(0), 9), 9);  // one more: its part is smaller at once
    EXPECT_EQ(divisor.update(at(100), 4), 9);
    EXPECT_EQ(divisor.update(at(5000), 4), 9);
    double ms = 5100;
    for (int before = 9; divisor.value() > 4; ms += 1000) {
        int now = divisor.update(at(ms), 4);
        EXPECT_LT(now, before);
        EXPECT_GE(now, before - 2);
        before = now;
        ASSERT_LT(ms, 15'000);
    }
    // Whatever is seen: over the eight that there are, parts add up to two at most.
    for (; ms < 60'000; ms += 100) EXPECT_GE(divisor.update(at(ms), 1), 4);
    EXPECT_EQ(divisor.update(at(ms), 1'000'000), 32);
}

TEST(FleetSizeDivisor, FewerForAMomentChangesNothing) {
    FleetSizeDivisor divisor({8, 4, Duration{5000}, Duration{1000}});
    for (double ms = 0; ms < 60'000; ms += 2000) {
        EXPECT_EQ(divisor.update(at(ms), 5), 8);
        EXPECT_EQ(divisor.update(at(ms + 1000), 8), 8);
    }
}

TEST(KeyFile, EachFaultIsNamedWithItsLine) {
    char path[] = "/tmp/keys.XXXXXX";
    close(mkstemp(path));
    auto fault = [&](const std::string& text, mode_t mode = 0600) {
        std::ofstream(path, std::ios::binary) << text;
        chmod(path, mode);
        return read_keys(path).fault;
    };
    EXPECT_EQ(fault(""), "holds no key");
    EXPECT_EQ(fault("0123456789abcdef\nshort\n"), "line 2: a key has 16 to 128 characters");
    EXPECT_EQ(fault("\n0123456789abcd\x01"
                    "ef\n"),
              "line 2: holds a byte that is no printable character");
    EXPECT_EQ(fault("0123456789abcdef\n", 0640), "can be read by others than its owner: chmod 600");
    EXPECT_EQ(fault("0123456789abcdef\nfedcba9876543210\n"), "");
    EXPECT_EQ(read_keys(path).keys.size(), 2u);
    unlink(path);
    EXPECT_EQ(read_keys(path).fault, "cannot be read: No such file or directory");
}

Datagram full() {
    Datagram d;
    d.kind = DatagramKind::Ack;
    d.sequence = 0xfedcba98;
    d.from = alive(1, 3);
    d.from.role = Role::Planner;
    d.plan = {4, 5};
    d.from.self_report = kReportsDeaf | kReportsStalled;
    d.instance = 0x89abcdef;
    d.name.assign(kMaxNameBytes, 'n');
    d.zone.assign(kMaxZoneBytes, 'z');
    d.about = place(7);
    for (std::uint32_t n = 0; n < kMaxUpdates; ++n)
        d.updates.push_back(said(n + 2, MemberState(n % 4), n, 500));
    return d;
}

TEST(Octets, WhatIsWrittenIsReadAndFitsTheBound) {
    for (const Keys& keys : {Keys(), Keys({"one"})}) {
        Datagram d = full(), back;
        std::string octets = encode(d, keys);
        EXPECT_LE(octets.size(), kMaxDatagramBytes);
        ASSERT_EQ(decode(octets, keys, back), DecodeError::None);
        EXPECT_EQ(back.kind, d.kind);
        EXPECT_EQ(back.sequence, d.sequence);
        EXPECT_EQ(back.from, d.from);
        EXPECT_EQ(back.plan, d.plan);
        EXPECT_EQ(back.about, d.about);
        EXPECT_EQ(back.instance, d.instance);
        EXPECT_TRUE(back.name == d.name && back.zone == d.zone);
        EXPECT_TRUE(back.updates == d.updates);
        EXPECT_EQ(encode(back, keys), octets);
    }
}

TEST(Octets, CutAtEachPlaceOrLongerTheyAreRefused) {
    for (const Keys& keys : {Keys(), Keys({"one"})}) {
        std::string octets = encode(full(), keys);
        Datagram back;
        for (std::size_t n = 0; n < octets.size(); ++n)
            EXPECT_NE(decode(octets.substr(0, n), keys, back), DecodeError::None) << n;
        EXPECT_NE(decode(octets + 'x', keys, back), DecodeError::None);
    }
}

TEST(Octets, EachChangedBitIsSeenWhereThereIsAKey) {
    Keys keys({"one"});
    std::string octets = encode(full(), keys);
    Datagram back;
    for (std::size_t bit = 0; bit < octets.size() * 8; ++bit) {
        std::string changed = octets;
        changed[bit / 8] = char(changed[bit / 8] ^ 1 << bit % 8);
        EXPECT_EQ(decode(changed, keys, back), DecodeError::AuthenticationFailed) << bit;
    }
    // Without one, what is read is at least within its bounds.
    std::string bare = encode(full(), {});
    for (std::size_t bit = 0; bit < bare.size() * 8; ++bit) {
        std::string changed = bare;
        changed[bit / 8] = char(changed[bit / 8] ^ 1 << bit % 8);
        if (decode(changed, {}, back) != DecodeError::None) continue;
        EXPECT_LE(back.from.role, Role::Planner);
        EXPECT_LE(back.updates.size(), kMaxUpdates);
    }
}

TEST(Octets, AnotherClustersAndUnprintableNamesAreRefused) {
    Datagram back;
    std::uint32_t ours = fingerprint("shop"), theirs = fingerprint("shop2");
    EXPECT_NE(ours, theirs);
    EXPECT_EQ(decode(encode(full(), {}, theirs), {}, back, ours), DecodeError::WrongCluster);
    EXPECT_EQ(decode(encode(full(), {}, ours), {}, back, ours), DecodeError::None);
    Datagram odd = full();
    odd.name[3] = '\x1b';
    EXPECT_EQ(decode(encode(odd, {}), {}, back), DecodeError::Malformed);
}

TEST(Octets, KeysAreRolledOneInstanceAfterTheOther) {
    Keys old_one({"old"}), both_old_first({"old", "new"}), both_new_first({"new", "old"}), new_one({"new"});
    Datagram back;
    auto read = [&](const Keys& by, const Keys& to) {
        return decode(encode(full(), by), to, back) == DecodeError::None;
    };
    EXPECT_TRUE(read(old_one, both_old_first) && read(both_old_first, old_one));
    EXPECT_TRUE(read(both_old_first, both_new_first) && read(both_new_first, both_old_first));
    EXPECT_TRUE(read(both_new_first, new_one) && read(new_one, both_new_first));
    EXPECT_FALSE(read(old_one, new_one) || read(new_one, old_one));
    EXPECT_FALSE(read(Keys(), new_one));
}

}  // namespace
}  // namespace ochrehub::membership
