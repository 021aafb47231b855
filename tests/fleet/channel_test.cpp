// Two channels joined by octets that a test holds in its hands: what each side is told, whatever happens to
// the octets between.
#include "fleet/channel/channel.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <set>

#include "fleet/channel_pair.h"

namespace ochrehub::channel {
namespace {

const std::vector<std::string> kNoKeys, kOneKey{"k1"};

/// What a sent to b in one life of a connection: each frame by itself, the preamble and Hello in front.
struct Recorded {
    std::string hello, ready;
    std::vector<std::string> frames;
    std::string whole() const {
        std::string all = hello + ready;
        for (const std::string& frame : frames) all += frame;
        return all;
    }
};

Recorded recorded(const std::vector<std::string>& keys, int messages = 5) {
    Pair pair(keys);
    Recorded out;
    pair.a.hand(Opened{});
    pair.b.hand(Opened{});
    pair.b.hand(BytesReceived{out.hello = pair.a.leave()});
    pair.a.hand(BytesReceived{pair.b.leave()});
    pair.b.hand(BytesReceived{out.ready = pair.a.leave()});
    for (int i = 0; i < messages; ++i) {
        pair.a.hand(SendMessage{MessageKind(1 + i % 7), std::string(std::size_t(i) * 37, char('a' + i))});
        out.frames.push_back(pair.a.leave());
    }
    return out;
}

/// The other side as it was when that was recorded, and what becomes of these octets there.
Side fed(const std::vector<std::string>& keys, std::string_view octets) {
    Side b(settings_of("b", keys));
    b.hand(Opened{});
    b.hand(BytesReceived{octets});
    return b;
}

TEST(Channel, TakesMessagesInOrderBothWaysWithKeysAndWithout) {
    for (const auto& keys : {kNoKeys, kOneKey}) {
        Pair pair(keys);
        pair.open();
        ASSERT_TRUE(pair.a.ups == 1 && pair.b.ups == 1);
        EXPECT_EQ(pair.a.channel.peer(), settings_of("b", keys).self);
        EXPECT_EQ(pair.b.channel.peer(), settings_of("a", keys).self);
        for (int i = 0; i < 100; ++i) {
            pair.a.hand(SendMessage{MessageKind::Raft, "a" + std::to_string(i)});
            pair.b.hand(SendMessage{MessageKind::Request, "b" + std::to_string(i)});
        }
        pair.flow();
        ASSERT_TRUE(pair.a.got.size() == 100 && pair.b.got.size() == 100);
        for (std::size_t i = 0; i < 100; ++i) {
            EXPECT_EQ(pair.a.got[i].body, "b" + std::to_string(i));
            EXPECT_EQ(pair.b.got[i].body, "a" + std::to_string(i));
            EXPECT_EQ(pair.a.got[i].kind, MessageKind::Request);
        }
        EXPECT_TRUE(pair.a.put_first && pair.b.put_first);
        EXPECT_EQ(pair.a.channel.queued_bytes(), 0u);
    }
}

TEST(Channel, TakesOctetsInWhateverPiecesTheyCome) {
    setenv("RC_PARAMS", "max_success=1000", 0);  // read once, at the first check
    auto holds = rc::check("pieces", [] {
        const auto& keys = *rc::gen::arbitrary<bool>() ? kOneKey : kNoKeys;
        Recorded one = recorded(keys, 8);
        std::string octets = one.whole();
        if (*rc::gen::inRange(0, 3) == 0) {  // also where they are wrong somewhere
            auto at = *rc::gen::inRange<std::size_t>(0, octets.size());
            octets[at] = char(octets[at] ^ *rc::gen::inRange(1, 255));
        }
        Side whole = fed(keys, octets);
        Side torn(settings_of("b", keys));
        torn.hand(Opened{});
        auto most = *rc::gen::element<std::size_t>(2, 5, 40, 300);
        for (std::size_t at = 0; at < octets.size();) {
            auto size = std::min(octets.size() - at, *rc::gen::inRange<std::size_t>(1, most));
            torn.hand(BytesReceived{std::string_view(octets).substr(at, size)});
            at += size;
        }
        RC_ASSERT(torn.end == whole.end && torn.ups == whole.ups && torn.got.size() == whole.got.size());
        RC_ASSERT(torn.ends <= 1 && torn.end_last && whole.end_last);
        for (std::size_t i = 0; i < torn.got.size(); ++i)
            RC_ASSERT(torn.got[i].kind == whole.got[i].kind && torn.got[i].body == whole.got[i].body);
        RC_ASSERT(torn.out == whole.out && torn.channel.buffered_bytes() == whole.channel.buffered_bytes());
    });
    EXPECT_TRUE(holds);
}

TEST(Channel, SaysNothingBeforeItIsUpNorBehindItsEnd) {
    Pair pair;
    pair.a.hand(SendMessage{MessageKind::Raft, "x"});
    pair.a.hand(Opened{});
    pair.a.hand(SendMessage{MessageKind::Raft, "x"});
    pair.b.hand(Opened{});
    pair.b.hand(BytesReceived{pair.a.leave()});
    pair.b.hand(SendMessage{MessageKind::Raft, "x"});  // it has a Hello, and nobody has answered its own
    EXPECT_EQ(pair.a.refused, std::vector<Error>(2, Error::Closed));
    EXPECT_EQ(pair.b.refused, std::vector<Error>(1, Error::Closed));
    pair.flow();
    ASSERT_TRUE(pair.a.channel.connected());
    pair.a.hand(Closed{});
    EXPECT_EQ(pair.a.end, Error::Closed);
    pair.a.hand(SendMessage{MessageKind::Raft, "x"});
    pair.a.hand(BytesReceived{"more"});
    pair.a.hand(TimerFired{});
    pair.a.hand(Closed{});
    EXPECT_TRUE(pair.a.refused.size() == 3 && pair.a.ends == 1 && pair.a.out.empty());
}

TEST(Channel, EndsOnOtherVersionsClustersKeysAndOnItself) {
    auto both = [](const Settings& one, const Settings& other) {
        Pair pair(one, other);
        pair.open();
        EXPECT_TRUE(pair.a.ups == 0 && pair.b.ups == 0);
        EXPECT_EQ(pair.a.end, pair.b.end);
        return pair.a.end;
    };
    Settings a = settings_of("a", kOneKey), b = settings_of("b", kOneKey);
    Settings cluster = b, key = b, none = b, itself = b;
    cluster.cluster = 8;
    EXPECT_EQ(both(a, cluster), Error::Cluster);
    key.keys = {"k2"};
    EXPECT_EQ(both(a, key), Error::Forged);
    none.keys.clear();
    EXPECT_EQ(both(a, none), Error::Forged);
    itself.self.instance = a.self.instance;
    EXPECT_EQ(both(a, itself), Error::Replaced);
    std::string version = recorded(kNoKeys).whole(), other = version;
    ++version[3];
    EXPECT_EQ(fed(kNoKeys, version).end, Error::Version);
    EXPECT_EQ(fed(kNoKeys, "GET / HTTP/1.1\r\n").end, Error::Malformed);
}

TEST(Channel, RefusesPeersThatDoNotSayWhoTheyAre) {
    for (int what = 0; what < 4; ++what) {
        Settings a = settings_of("a", kOneKey);
        if (what == 0) a.self.instance = 0;
        if (what == 1) a.self.name = "line\nbreak";
        if (what == 2) a.self.zone = std::string(Channel::kMaxNameBytes + 1, 'z');
        if (what == 3) a.nonce = "short";
        Pair pair(a, settings_of("b", kOneKey));
        pair.open();
        EXPECT_EQ(pair.b.end, Error::Malformed) << what;
    }
}

TEST(Channel, ChangedOctetsNeverArriveWhereThereAreKeys) {
    Recorded one = recorded(kOneKey);
    std::string sound = one.whole();
    for (std::size_t at = 0; at < sound.size(); ++at)
        for (int bit : {0, 3, 7}) {
            std::string changed = sound;
            changed[at] = char(changed[at] ^ 1 << bit);
            Side b = fed(kOneKey, changed);
            for (std::size_t i = 0; i < b.got.size(); ++i)
                ASSERT_EQ(b.got[i].body, std::string(i * 37, char('a' + i)));
            ASSERT_LT(b.got.size(), 5u) << at;
            if (b.end) continue;
            // A length that says more than comes: it waits, holds no more than has come, and gives up in
            // time.
            ASSERT_LT(b.channel.buffered_bytes(), sound.size());
            for (int i = 0; i < 10 && !b.end; ++i) b.now = b.wake, b.hand(TimerFired{});
            ASSERT_EQ(b.end, Error::Silent);
        }
}

TEST(Channel, FramesLeftOutDoubledSwappedOrCutAreSeen) {
    Recorded one = recorded(kOneKey);
    std::string begin = one.hello + one.ready;
    const auto& f = one.frames;
    ASSERT_EQ(fed(kOneKey, one.whole()).got.size(), 5u);
    for (const auto& [octets, got] :
         std::vector<std::pair<std::string, std::size_t>>{{begin + f[1], 0},
                                                          {begin + f[0] + f[2], 1},
                                                          {begin + f[0] + f[0], 1},
                                                          {begin + f[0] + f[1] + f[0], 2},
                                                          {begin + f[1] + f[0], 0},
                                                          {begin + one.ready, 0},
                                                          {one.hello + f[0], 0},
                                                          {begin + f[0].substr(0, 8) + f[1], 0}}) {
        Side b = fed(kOneKey, octets);
        if (!b.end)
            b.hand(BytesReceived{f[2] + f[3] + f[4]});  // a cut one is only whole with what comes behind it
        EXPECT_EQ(b.end, Error::Forged);
        EXPECT_EQ(b.got.size(), got);
    }
    // Without keys nothing tells who sent what: only what is no frame is seen.
    std::string none = recorded(kNoKeys).hello;
    EXPECT_EQ(fed(kNoKeys, none + none.substr(Channel::kPreambleBytes)).end, Error::Malformed);
}

TEST(Channel, WhatWasRecordedElsewhereGetsNobodyUp) {
    Recorded one = recorded(kOneKey);
    Settings later = settings_of("b", kOneKey);
    later.nonce = std::string(kNonceBytes, 'x');  // the next connection of the same process
    Side b(later);
    b.hand(Opened{});
    b.hand(BytesReceived{one.hello});
    EXPECT_TRUE(!b.end && b.ups == 0);  // a Hello may be any connection's
    b.hand(BytesReceived{one.ready});
    EXPECT_TRUE(b.end == Error::Forged && b.ups == 0);

    // Its own octets, turned around; as they are, and with a Hello that was recorded from the other side in
    // front.
    Side a(settings_of("a", kOneKey));
    a.hand(Opened{});
    a.hand(BytesReceived{a.leave()});
    EXPECT_EQ(a.end, Error::Forged);
    Pair pair(kOneKey);
    pair.a.hand(Opened{});
    pair.b.hand(Opened{});
    pair.a.leave();
    pair.a.hand(BytesReceived{pair.b.leave()});
    pair.a.hand(BytesReceived{pair.a.leave()});  // its Ready
    EXPECT_TRUE(pair.a.end == Error::Forged && pair.a.ups == 0);
}

TEST(Channel, KeysAreRolledOneSideAfterTheOther) {
    std::vector<std::vector<std::string>> steps{{"old"}, {"old", "new"}, {"new", "old"}, {"new"}};
    for (std::size_t i = 0; i < steps.size(); ++i)
        for (std::size_t j = 0; j < steps.size(); ++j) {
            Pair pair(settings_of("a", steps[i]), settings_of("b", steps[j]));
            pair.open();
            pair.a.hand(SendMessage{MessageKind::Raft, "x"});
            pair.b.hand(SendMessage{MessageKind::Raft, "y"});
            pair.flow();
            // Neighbours speak, and those whose first keys each know of the other.
            auto knows = [](const auto& keys, const std::string& one) {
                return std::find(keys.begin(), keys.end(), one) != keys.end();
            };
            bool speak = knows(steps[j], steps[i].front()) && knows(steps[i], steps[j].front());
            EXPECT_EQ(pair.a.got.size() == 1 && pair.b.got.size() == 1, speak) << i << j;
            EXPECT_EQ(pair.a.ups + pair.b.ups, speak ? 2 : 0) << i << j;
        }
}

TEST(Channel, LongFramesEndItBeforeTheyAreHeld) {
    std::string huge =
        recorded(kNoKeys).hello + recorded(kNoKeys).ready + "\x7f\xff\xff\xff" + std::string(100, 'x');
    Side b = fed(kNoKeys, huge);
    EXPECT_TRUE(b.ups == 1 && b.end == Error::TooLong && b.channel.buffered_bytes() == 0);
    // Who is not up is allowed less.
    Side c = fed(kNoKeys, huge.substr(0, Channel::kPreambleBytes) + std::string("\0\0\x04\x01", 4));
    EXPECT_EQ(c.end, Error::TooLong);

    Settings a = settings_of("a", kOneKey), small = settings_of("b", kOneKey);
    small.max_message_bytes = 1000;
    Pair pair(a, small);
    pair.open();
    pair.b.hand(SendMessage{MessageKind::Raft, std::string(1001, 'x')});
    EXPECT_EQ(pair.b.refused, std::vector<Error>(1, Error::TooLong));
    pair.a.hand(SendMessage{MessageKind::Raft, std::string(1000, 'x')});
    pair.flow();
    EXPECT_EQ(pair.b.got.size(), 1u);
    pair.a.hand(SendMessage{MessageKind::Raft, std::string(1001, 'x')});
    pair.flow();
    EXPECT_TRUE(pair.b.got.size() == 1 && pair.b.end == Error::TooLong);
}

TEST(Channel, ASlowReaderIsSentNoMoreThanTheQueueHolds) {
    Settings set = settings_of("a", kOneKey);
    set.max_queued_bytes = 10000;
    Pair pair(set, settings_of("b", kOneKey));
    pair.open();
    for (int i = 0; i < 1000; ++i)
        pair.a.hand(SendMessage{MessageKind::Quota, std::string(100, char('a' + i % 26))});
    EXPECT_LE(pair.a.out.size(), set.max_queued_bytes);
    EXPECT_EQ(pair.a.channel.queued_bytes(), pair.a.out.size());
    std::size_t taken = 1000 - pair.a.refused.size();
    EXPECT_GT(taken, 60u);
    EXPECT_EQ(std::set<Error>(pair.a.refused.begin(), pair.a.refused.end()), std::set<Error>{Error::Full});
    // What was taken arrives, whole and in order; then there is room again.
    std::string octets = pair.a.leave();
    pair.b.hand(BytesReceived{octets});
    EXPECT_EQ(pair.b.got.size(), taken);
    pair.a.hand(SendMessage{MessageKind::Quota, "again"});
    EXPECT_EQ(pair.a.refused.size(), 1000 - taken);

    // Nor can one that asks and never reads make it grow.
    Pair other(settings_of("a", kNoKeys), set);
    other.b.channel = Channel([&] {
        auto b = settings_of("b", kNoKeys);
        b.max_queued_bytes = 10000;
        return b;
    }());
    other.open();
    std::string ping("\0\0\0\x04\x1a\x02\x08\x01", 8);
    for (int i = 0; i < 5000; ++i) other.b.hand(BytesReceived{ping});
    EXPECT_FALSE(other.b.end);
    EXPECT_GT(other.b.out.size(), 1000u);
    EXPECT_LE(other.b.out.size(), 10000u);
}

TEST(Channel, AsksInSilenceAndGivesUpWhatIsSilent) {
    Pair pair(kOneKey);
    pair.open();
    for (int i = 0; i < 100; ++i) {  // two that have nothing to say stay together
        pair.go_to(std::min(pair.a.wake, pair.b.wake));
        for (Side* side : {&pair.a, &pair.b})
            if (side->wake <= side->now) side->hand(TimerFired{});
        pair.flow();
    }
    EXPECT_TRUE(!pair.a.end && !pair.b.end);
    EXPECT_GT(pair.a.now, at_ms(40000));
    // One way is cut: the deaf side gives up, within `dead` and not before.
    TimePoint cut = pair.a.now;
    for (int i = 0; i < 100 && !pair.b.end; ++i) {
        pair.go_to(std::min(pair.a.wake, pair.b.wake));
        for (Side* side : {&pair.a, &pair.b})
            if (side->wake <= side->now) side->hand(TimerFired{});
        pair.a.leave();
        if (std::string back = pair.b.leave(); !back.empty()) pair.a.hand(BytesReceived{back});
    }
    EXPECT_EQ(pair.b.end, Error::Silent);
    EXPECT_GE(pair.b.now - cut, Duration{2000});
    EXPECT_LE(pair.b.now - cut, Duration{3000});
    EXPECT_FALSE(pair.a.end);
}

TEST(Channel, WhoSaysNothingAtTheBeginningOrTakesNothingIsGivenUp) {
    Side a(settings_of("a", kOneKey));
    a.hand(Opened{});
    std::string hello = recorded(kOneKey).hello;
    for (int i = 0; i < 29; ++i) {  // octets alone give it no more time
        a.now += Duration{100};
        a.hand(BytesReceived{std::string_view(hello).substr(std::size_t(i), 1)});
    }
    EXPECT_EQ(a.wake, at_ms(3000));
    a.now = a.wake;
    a.hand(TimerFired{});
    EXPECT_EQ(a.end, Error::Silent);

    Pair pair;
    pair.open();
    pair.a.hand(SendMessage{MessageKind::Raft, "x"});  // and none of it leaves, though the other speaks on
    for (int i = 0; i < 100 && !pair.a.end; ++i) {
        pair.go_to(std::min(pair.a.now + Duration{500}, pair.a.wake));
        pair.b.hand(SendMessage{MessageKind::Raft, "y"});
        pair.a.hand(BytesReceived{pair.b.leave()});
        if (pair.a.now >= pair.a.wake) pair.a.hand(TimerFired{});
    }
    EXPECT_EQ(pair.a.end, Error::Silent);
    EXPECT_LE(pair.a.now, at_ms(4000));
}

TEST(Channel, WhoStoodStillItselfAsksBeforeItGivesUp) {
    Pair pair(kOneKey);
    pair.open();
    pair.go_to(at_ms(30000));
    pair.a.hand(TimerFired{});
    EXPECT_FALSE(pair.a.end);
    pair.flow();  // the other answers
    pair.go_to(pair.a.wake);
    pair.a.hand(TimerFired{});
    EXPECT_FALSE(pair.a.end);
    for (int i = 0; i < 100 && !pair.a.end; ++i)
        pair.a.now = pair.a.wake, pair.a.hand(TimerFired{}), pair.a.leave();
    EXPECT_EQ(pair.a.end, Error::Silent);  // and now it does not
}

TEST(Channel, UnknownKindsAndEmptyFramesAreMalformed) {
    std::string begin = recorded(kNoKeys).hello + recorded(kNoKeys).ready;
    EXPECT_EQ(fed(kNoKeys, begin + std::string("\0\0\0\0", 4)).end, Error::Malformed);
    EXPECT_EQ(fed(kNoKeys, begin + std::string("\0\0\0\4\x2a\2\x08\x08", 8)).end,
              Error::Malformed);  // kind 8
    EXPECT_FALSE(fed(kNoKeys, begin + std::string("\0\0\0\4\x2a\2\x08\x07", 8)).end);
    EXPECT_EQ(fed(kNoKeys, begin + std::string("\0\0\0\3\xff\xff\xff", 7)).end, Error::Malformed);
}

}  // namespace
}  // namespace ochrehub::channel
