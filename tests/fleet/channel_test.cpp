// Two channels without sockets. The tests deliver, drop, corrupt, reorder and replay the bytes between them.
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

/// The bytes that a sent to b on one connection: preamble and Hello, Ready, then the frames one by one.
struct RecordedStream {
    std::string hello, ready;
    std::vector<std::string> frames;
    std::string whole() const {
        std::string all = hello + ready;
        for (const std::string& frame : frames) all += frame;
        return all;
    }
};

RecordedStream record(const std::vector<std::string>& keys, int messages = 5) {
    ChannelPair pair(keys);
    RecordedStream stream;
    pair.a.handle(Opened{});
    pair.b.handle(Opened{});
    pair.b.handle(BytesReceived{stream.hello = pair.a.take_outgoing()});
    pair.a.handle(BytesReceived{pair.b.take_outgoing()});
    pair.b.handle(BytesReceived{stream.ready = pair.a.take_outgoing()});
    for (int i = 0; i < messages; ++i) {
        pair.a.handle(SendMessage{MessageKind(1 + i % 7), std::string(std::size_t(i) * 37, char('a' + i))});
        stream.frames.push_back(pair.a.take_outgoing());
    }
    return stream;
}

/// A new channel with the settings of b that has received these bytes.
TestChannel receive_all(const std::vector<std::string>& keys, std::string_view bytes) {
    TestChannel b(settings_of("b", keys));
    b.handle(Opened{});
    b.handle(BytesReceived{bytes});
    return b;
}

TEST(Channel, DeliversMessagesInOrderBothWaysWithAndWithoutKeys) {
    for (const auto& keys : {kNoKeys, kOneKey}) {
        ChannelPair pair(keys);
        pair.open();
        ASSERT_TRUE(pair.a.connected_count == 1 && pair.b.connected_count == 1);
        EXPECT_EQ(pair.a.channel.peer(), settings_of("b", keys).self);
        EXPECT_EQ(pair.b.channel.peer(), settings_of("a", keys).self);
        for (int i = 0; i < 100; ++i) {
            pair.a.handle(SendMessage{MessageKind::Raft, "a" + std::to_string(i)});
            pair.b.handle(SendMessage{MessageKind::Request, "b" + std::to_string(i)});
        }
        pair.exchange_all();
        ASSERT_TRUE(pair.a.delivered.size() == 100 && pair.b.delivered.size() == 100);
        for (std::size_t i = 0; i < 100; ++i) {
            EXPECT_EQ(pair.a.delivered[i].body, "b" + std::to_string(i));
            EXPECT_EQ(pair.b.delivered[i].body, "a" + std::to_string(i));
            EXPECT_EQ(pair.a.delivered[i].kind, MessageKind::Request);
        }
        EXPECT_TRUE(pair.a.write_was_first && pair.b.write_was_first);
        EXPECT_EQ(pair.a.channel.queued_bytes(), 0u);
    }
}

TEST(Channel, ParsesBytesSplitAtAnyPosition) {
    setenv("RC_PARAMS", "max_success=1000", 0);  // rapidcheck reads it once, at the first check
    auto holds = rc::check("pieces", [] {
        const auto& keys = *rc::gen::arbitrary<bool>() ? kOneKey : kNoKeys;
        RecordedStream one = record(keys, 8);
        std::string bytes = one.whole();
        if (*rc::gen::inRange(0, 3) == 0) {  // corrupts a byte in a third of the runs
            auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[at] = char(bytes[at] ^ *rc::gen::inRange(1, 255));
        }
        TestChannel whole = receive_all(keys, bytes);
        TestChannel torn(settings_of("b", keys));
        torn.handle(Opened{});
        auto most = *rc::gen::element<std::size_t>(2, 5, 40, 300);
        for (std::size_t at = 0; at < bytes.size();) {
            auto size = std::min(bytes.size() - at, *rc::gen::inRange<std::size_t>(1, most));
            torn.handle(BytesReceived{std::string_view(bytes).substr(at, size)});
            at += size;
        }
        RC_ASSERT(torn.close_error == whole.close_error && torn.connected_count == whole.connected_count &&
                  torn.delivered.size() == whole.delivered.size());
        RC_ASSERT(torn.close_count <= 1 && torn.close_was_last && whole.close_was_last);
        for (std::size_t i = 0; i < torn.delivered.size(); ++i)
            RC_ASSERT(torn.delivered[i].kind == whole.delivered[i].kind &&
                      torn.delivered[i].body == whole.delivered[i].body);
        RC_ASSERT(torn.outgoing == whole.outgoing &&
                  torn.channel.buffered_bytes() == whole.channel.buffered_bytes());
    });
    EXPECT_TRUE(holds);
}

TEST(Channel, RejectsMessagesBeforeConnectedAndAfterClose) {
    ChannelPair pair;
    pair.a.handle(SendMessage{MessageKind::Raft, "x"});
    pair.a.handle(Opened{});
    pair.a.handle(SendMessage{MessageKind::Raft, "x"});
    pair.b.handle(Opened{});
    pair.b.handle(BytesReceived{pair.a.take_outgoing()});
    pair.b.handle(SendMessage{MessageKind::Raft, "x"});  // it has received a Hello, but no Ready
    EXPECT_EQ(pair.a.rejected, std::vector<Error>(2, Error::Closed));
    EXPECT_EQ(pair.b.rejected, std::vector<Error>(1, Error::Closed));
    pair.exchange_all();
    ASSERT_TRUE(pair.a.channel.connected());
    pair.a.handle(Closed{});
    EXPECT_EQ(pair.a.close_error, Error::Closed);
    pair.a.handle(SendMessage{MessageKind::Raft, "x"});
    pair.a.handle(BytesReceived{"more"});
    pair.a.handle(TimerFired{});
    pair.a.handle(Closed{});
    EXPECT_TRUE(pair.a.rejected.size() == 3 && pair.a.close_count == 1 && pair.a.outgoing.empty());
}

TEST(Channel, ClosesOnOtherVersionClusterKeyOrOwnInstance) {
    auto both = [](const Settings& one, const Settings& other) {
        ChannelPair pair(one, other);
        pair.open();
        EXPECT_TRUE(pair.a.connected_count == 0 && pair.b.connected_count == 0);
        EXPECT_EQ(pair.a.close_error, pair.b.close_error);
        return pair.a.close_error;
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
    std::string version = record(kNoKeys).whole(), other = version;
    ++version[3];
    EXPECT_EQ(receive_all(kNoKeys, version).close_error, Error::Version);
    EXPECT_EQ(receive_all(kNoKeys, "GET / HTTP/1.1\r\n").close_error, Error::Malformed);
}

TEST(Channel, RefusesPeersWithInvalidHello) {
    for (int what = 0; what < 4; ++what) {
        Settings a = settings_of("a", kOneKey);
        if (what == 0) a.self.instance = 0;
        if (what == 1) a.self.name = "line\nbreak";
        if (what == 2) a.self.zone = std::string(Channel::kMaxNameBytes + 1, 'z');
        if (what == 3) a.nonce = "short";
        ChannelPair pair(a, settings_of("b", kOneKey));
        pair.open();
        EXPECT_EQ(pair.b.close_error, Error::Malformed) << what;
    }
}

TEST(Channel, NeverDeliversCorruptedBytesWithKeys) {
    RecordedStream one = record(kOneKey);
    std::string sound = one.whole();
    for (std::size_t at = 0; at < sound.size(); ++at)
        for (int bit : {0, 3, 7}) {
            std::string changed = sound;
            changed[at] = char(changed[at] ^ 1 << bit);
            TestChannel b = receive_all(kOneKey, changed);
            for (std::size_t i = 0; i < b.delivered.size(); ++i)
                ASSERT_EQ(b.delivered[i].body, std::string(i * 37, char('a' + i)));
            ASSERT_LT(b.delivered.size(), 5u) << at;
            if (b.close_error) continue;
            // The corrupted length exceeds the bytes that follow: the channel waits, buffers no more than
            // it has received, and closes at its timeout.
            ASSERT_LT(b.channel.buffered_bytes(), sound.size());
            for (int i = 0; i < 10 && !b.close_error; ++i) b.now = b.timer_at, b.handle(TimerFired{});
            ASSERT_EQ(b.close_error, Error::Silent);
        }
}

TEST(Channel, DetectsOmittedDuplicatedReorderedOrTruncatedFrames) {
    RecordedStream one = record(kOneKey);
    std::string begin = one.hello + one.ready;
    const auto& f = one.frames;
    ASSERT_EQ(receive_all(kOneKey, one.whole()).delivered.size(), 5u);
    for (const auto& [bytes, delivered] :
         std::vector<std::pair<std::string, std::size_t>>{{begin + f[1], 0},
                                                          {begin + f[0] + f[2], 1},
                                                          {begin + f[0] + f[0], 1},
                                                          {begin + f[0] + f[1] + f[0], 2},
                                                          {begin + f[1] + f[0], 0},
                                                          {begin + one.ready, 0},
                                                          {one.hello + f[0], 0},
                                                          {begin + f[0].substr(0, 8) + f[1], 0}}) {
        TestChannel b = receive_all(kOneKey, bytes);
        if (!b.close_error) b.handle(BytesReceived{f[2] + f[3] + f[4]});  // completes a truncated frame
        EXPECT_EQ(b.close_error, Error::Forged);
        EXPECT_EQ(b.delivered.size(), delivered);
    }
    // Without keys only bytes that are no valid frame are detected.
    std::string none = record(kNoKeys).hello;
    EXPECT_EQ(receive_all(kNoKeys, none + none.substr(Channel::kPreambleBytes)).close_error,
              Error::Malformed);
}

TEST(Channel, RefusesFramesReplayedFromAnotherConnection) {
    RecordedStream one = record(kOneKey);
    Settings later = settings_of("b", kOneKey);
    later.nonce = std::string(kNonceBytes, 'x');  // the next connection of the same process
    TestChannel b(later);
    b.handle(Opened{});
    b.handle(BytesReceived{one.hello});
    EXPECT_TRUE(!b.close_error && b.connected_count == 0);  // a Hello is not bound to a connection
    b.handle(BytesReceived{one.ready});
    EXPECT_TRUE(b.close_error == Error::Forged && b.connected_count == 0);

    // Its own bytes reflected: alone, and after a Hello that was recorded from the peer.
    TestChannel a(settings_of("a", kOneKey));
    a.handle(Opened{});
    a.handle(BytesReceived{a.take_outgoing()});
    EXPECT_EQ(a.close_error, Error::Forged);
    ChannelPair pair(kOneKey);
    pair.a.handle(Opened{});
    pair.b.handle(Opened{});
    pair.a.take_outgoing();
    pair.a.handle(BytesReceived{pair.b.take_outgoing()});
    pair.a.handle(BytesReceived{pair.a.take_outgoing()});  // its own Ready
    EXPECT_TRUE(pair.a.close_error == Error::Forged && pair.a.connected_count == 0);
}

TEST(Channel, KeysCanBeRotatedOneSideAtATime) {
    std::vector<std::vector<std::string>> steps{{"old"}, {"old", "new"}, {"new", "old"}, {"new"}};
    for (std::size_t i = 0; i < steps.size(); ++i)
        for (std::size_t j = 0; j < steps.size(); ++j) {
            ChannelPair pair(settings_of("a", steps[i]), settings_of("b", steps[j]));
            pair.open();
            pair.a.handle(SendMessage{MessageKind::Raft, "x"});
            pair.b.handle(SendMessage{MessageKind::Raft, "y"});
            pair.exchange_all();
            // Two sides connect if each has the key that the other signs with.
            auto knows = [](const auto& keys, const std::string& one) {
                return std::find(keys.begin(), keys.end(), one) != keys.end();
            };
            bool speak = knows(steps[j], steps[i].front()) && knows(steps[i], steps[j].front());
            EXPECT_EQ(pair.a.delivered.size() == 1 && pair.b.delivered.size() == 1, speak) << i << j;
            EXPECT_EQ(pair.a.connected_count + pair.b.connected_count, speak ? 2 : 0) << i << j;
        }
}

TEST(Channel, ClosesOnOversizedFrameBeforeBufferingIt) {
    std::string huge =
        record(kNoKeys).hello + record(kNoKeys).ready + "\x7f\xff\xff\xff" + std::string(100, 'x');
    TestChannel b = receive_all(kNoKeys, huge);
    EXPECT_TRUE(b.connected_count == 1 && b.close_error == Error::TooLong && b.channel.buffered_bytes() == 0);
    // The limit is lower before Connected.
    TestChannel c =
        receive_all(kNoKeys, huge.substr(0, Channel::kPreambleBytes) + std::string("\0\0\x04\x01", 4));
    EXPECT_EQ(c.close_error, Error::TooLong);

    Settings a = settings_of("a", kOneKey), small = settings_of("b", kOneKey);
    small.max_message_bytes = 1000;
    ChannelPair pair(a, small);
    pair.open();
    pair.b.handle(SendMessage{MessageKind::Raft, std::string(1001, 'x')});
    EXPECT_EQ(pair.b.rejected, std::vector<Error>(1, Error::TooLong));
    pair.a.handle(SendMessage{MessageKind::Raft, std::string(1000, 'x')});
    pair.exchange_all();
    EXPECT_EQ(pair.b.delivered.size(), 1u);
    pair.a.handle(SendMessage{MessageKind::Raft, std::string(1001, 'x')});
    pair.exchange_all();
    EXPECT_TRUE(pair.b.delivered.size() == 1 && pair.b.close_error == Error::TooLong);
}

TEST(Channel, BoundsTheQueueForASlowReader) {
    Settings set = settings_of("a", kOneKey);
    set.max_queued_bytes = 10000;
    ChannelPair pair(set, settings_of("b", kOneKey));
    pair.open();
    for (int i = 0; i < 1000; ++i)
        pair.a.handle(SendMessage{MessageKind::Quota, std::string(100, char('a' + i % 26))});
    EXPECT_LE(pair.a.outgoing.size(), set.max_queued_bytes);
    EXPECT_EQ(pair.a.channel.queued_bytes(), pair.a.outgoing.size());
    std::size_t taken = 1000 - pair.a.rejected.size();
    EXPECT_GT(taken, 60u);
    EXPECT_EQ(std::set<Error>(pair.a.rejected.begin(), pair.a.rejected.end()), std::set<Error>{Error::Full});
    // The accepted messages arrive, complete and in order; then the queue has capacity again.
    std::string bytes = pair.a.take_outgoing();
    pair.b.handle(BytesReceived{bytes});
    EXPECT_EQ(pair.b.delivered.size(), taken);
    pair.a.handle(SendMessage{MessageKind::Quota, "again"});
    EXPECT_EQ(pair.a.rejected.size(), 1000 - taken);

    // A peer that sends pings and never reads can't make the queue grow.
    ChannelPair other(settings_of("a", kNoKeys), set);
    other.b.channel = Channel([&] {
        auto b = settings_of("b", kNoKeys);
        b.max_queued_bytes = 10000;
        return b;
    }());
    other.open();
    std::string ping("\0\0\0\x04\x1a\x02\x08\x01", 8);
    for (int i = 0; i < 5000; ++i) other.b.handle(BytesReceived{ping});
    EXPECT_FALSE(other.b.close_error);
    EXPECT_GT(other.b.outgoing.size(), 1000u);
    EXPECT_LE(other.b.outgoing.size(), 10000u);
}

TEST(Channel, PingsIdlePeerAndClosesWhenItStaysSilent) {
    ChannelPair pair(kOneKey);
    pair.open();
    for (int i = 0; i < 100; ++i) {  // two idle peers stay connected
        pair.set_time(std::min(pair.a.timer_at, pair.b.timer_at));
        for (TestChannel* side : {&pair.a, &pair.b})
            if (side->timer_at <= side->now) side->handle(TimerFired{});
        pair.exchange_all();
    }
    EXPECT_TRUE(!pair.a.close_error && !pair.b.close_error);
    EXPECT_GT(pair.a.now, time_ms(40000));
    // One direction is cut: the receiver closes within `dead_timeout`, and not earlier.
    TimePoint cut = pair.a.now;
    for (int i = 0; i < 100 && !pair.b.close_error; ++i) {
        pair.set_time(std::min(pair.a.timer_at, pair.b.timer_at));
        for (TestChannel* side : {&pair.a, &pair.b})
            if (side->timer_at <= side->now) side->handle(TimerFired{});
        pair.a.take_outgoing();
        if (std::string back = pair.b.take_outgoing(); !back.empty()) pair.a.handle(BytesReceived{back});
    }
    EXPECT_EQ(pair.b.close_error, Error::Silent);
    EXPECT_GE(pair.b.now - cut, Duration{2000});
    EXPECT_LE(pair.b.now - cut, Duration{3000});
    EXPECT_FALSE(pair.a.close_error);
}

TEST(Channel, ClosesWhenHandshakeOrWritesStall) {
    TestChannel a(settings_of("a", kOneKey));
    a.handle(Opened{});
    std::string hello = record(kOneKey).hello;
    for (int i = 0; i < 29; ++i) {  // incomplete bytes don't extend the deadline
        a.now += Duration{100};
        a.handle(BytesReceived{std::string_view(hello).substr(std::size_t(i), 1)});
    }
    EXPECT_EQ(a.timer_at, time_ms(3000));
    a.now = a.timer_at;
    a.handle(TimerFired{});
    EXPECT_EQ(a.close_error, Error::Silent);

    ChannelPair pair;
    pair.open();
    pair.a.handle(
        SendMessage{MessageKind::Raft, "x"});  // none of it is written, while the peer keeps sending
    for (int i = 0; i < 100 && !pair.a.close_error; ++i) {
        pair.set_time(std::min(pair.a.now + Duration{500}, pair.a.timer_at));
        pair.b.handle(SendMessage{MessageKind::Raft, "y"});
        pair.a.handle(BytesReceived{pair.b.take_outgoing()});
        if (pair.a.now >= pair.a.timer_at) pair.a.handle(TimerFired{});
    }
    EXPECT_EQ(pair.a.close_error, Error::Silent);
    EXPECT_LE(pair.a.now, time_ms(4000));
}

TEST(Channel, PingsBeforeClosingAfterItsOwnPause) {
    ChannelPair pair(kOneKey);
    pair.open();
    pair.set_time(time_ms(30000));
    pair.a.handle(TimerFired{});
    EXPECT_FALSE(pair.a.close_error);
    pair.exchange_all();  // the peer responds to the ping
    pair.set_time(pair.a.timer_at);
    pair.a.handle(TimerFired{});
    EXPECT_FALSE(pair.a.close_error);
    for (int i = 0; i < 100 && !pair.a.close_error; ++i)
        pair.a.now = pair.a.timer_at, pair.a.handle(TimerFired{}), pair.a.take_outgoing();
    EXPECT_EQ(pair.a.close_error, Error::Silent);  // no response this time
}

TEST(Channel, RefusesUnknownKindsAndEmptyFrames) {
    std::string begin = record(kNoKeys).hello + record(kNoKeys).ready;
    EXPECT_EQ(receive_all(kNoKeys, begin + std::string("\0\0\0\0", 4)).close_error, Error::Malformed);
    EXPECT_EQ(receive_all(kNoKeys, begin + std::string("\0\0\0\4\x2a\2\x08\x08", 8)).close_error,
              Error::Malformed);  // kind 8
    EXPECT_FALSE(receive_all(kNoKeys, begin + std::string("\0\0\0\4\x2a\2\x08\x07", 8)).close_error);
    EXPECT_EQ(receive_all(kNoKeys, begin + std::string("\0\0\0\3\xff\xff\xff", 7)).close_error,
              Error::Malformed);
}

}  // namespace
}  // namespace ochrehub::channel
