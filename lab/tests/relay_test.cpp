// The faults of a relay between two PeerConnections.
#include "lab/channel/relay.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <functional>

#include "base/asio_scheduler.h"
#include "fleet/channel/peer_connections.h"

namespace ochrehub::lab {
namespace {

using namespace channel;
const PeerConnections::Endpoint kAny(boost::asio::ip::address_v4::loopback(), 0);

struct World {
    explicit World(Duration dead = Duration{3000})
        : near(io, clock, std::nullopt, named(1, dead), 1), far(io, clock, kAny, named(2, dead), 2) {
        for (PeerConnections* peer_connections : {&near, &far}) {
            int me = peer_connections == &far;
            peer_connections->on_connected = [this, me](const Peer&) { ++ups[me]; };
            peer_connections->on_disconnected = [this, me](const Peer&, Error error) {
                ++downs[me], why[me] = error;
            };
            peer_connections->on_message = [this, me](const Peer&, MessageKind, std::string) { ++got[me]; };
        }
        near.dial(relay.address());
    }
    ~World() { near.close(), far.close(); }
    static PeerConnectionsSettings named(std::uint64_t instance, Duration dead = Duration{3000}) {
        PeerConnectionsSettings set;
        set.channel.self = {"p" + std::to_string(instance), "z", instance};
        set.channel.keys = {"a key"};
        set.channel.idle_timeout = Duration{100};
        set.channel.dead_timeout = dead;
        set.dial.initial_backoff = Duration{20};
        set.dial.max_backoff = Duration{100};
        return set;
    }
    bool until(const std::function<bool()>& holds) {
        for (TimePoint end = clock.now() + Duration{20000}; !holds();) {
            if (clock.now() > end) return false;
            io.run_one_for(std::chrono::milliseconds(20));
        }
        return true;
    }
    bool both_up(int times) {
        return until([&] {
            return ups[0] - downs[0] == 1 && ups[1] - downs[1] == 1 && ups[0] >= times && ups[1] >= times;
        });
    }

    boost::asio::io_context io{1};
    AsioScheduler clock{io};
    int ups[2]{}, downs[2]{}, got[2]{};
    Error why[2]{};
    PeerConnections near, far;
    Relay relay{kAny, far.listen_address()};
};

TEST(Relay, CutsOneDirectionOnly) {
    World world(Duration{400});
    ASSERT_TRUE(world.both_up(1));
    world.relay.cut(Direction::Forward, true);
    ASSERT_TRUE(world.far.send(1, MessageKind::Raft, "back"));
    ASSERT_TRUE(world.near.send(2, MessageKind::Raft, "forth"));
    ASSERT_TRUE(world.until([&] { return world.got[0] == 1; }));
    // The side that receives nothing closes the connection, and no message has passed the cut.
    ASSERT_TRUE(world.until([&] { return world.downs[1] == 1; }));
    EXPECT_EQ(world.why[1], Error::Silent);
    EXPECT_EQ(world.got[1], 0);
    world.relay.cut(Direction::Forward, false);
    EXPECT_TRUE(world.both_up(2));
}

TEST(Relay, HoldsBytesUntilTheCutEnds) {
    World world;
    ASSERT_TRUE(world.both_up(1));
    world.relay.stall(true);
    for (int i = 0; i < 10; ++i) ASSERT_TRUE(world.near.send(2, MessageKind::Raft, "late"));
    world.io.run_for(std::chrono::milliseconds(50));
    EXPECT_EQ(world.got[1], 0);
    world.relay.stall(false);
    EXPECT_TRUE(world.until([&] { return world.got[1] == 10; }));
}

TEST(Relay, DroppedBytesAreDetectedAsForged) {
    World world;
    ASSERT_TRUE(world.both_up(1));
    world.relay.cut(Direction::Backward, true, LossMode::Dropped);
    ASSERT_TRUE(world.far.send(1, MessageKind::Raft, "gone"));
    ASSERT_TRUE(world.until([&] { return world.far.queued_bytes(1) == 0; }));
    world.io.run_for(std::chrono::milliseconds(30));
    world.relay.cut(Direction::Backward, false);
    if (world.downs[0] == 0) {
        ASSERT_TRUE(world.far.send(1, MessageKind::Raft, "behind it"));
        ASSERT_TRUE(world.until([&] { return world.downs[0] == 1; }));
        EXPECT_EQ(world.why[0], Error::Forged);
    }
    EXPECT_EQ(world.got[0], 0);
}

TEST(Relay, ResetsDelaysRefusesAndChangesTarget) {
    World world;
    ASSERT_TRUE(world.both_up(1));
    world.relay.reset();
    ASSERT_TRUE(world.until([&] { return world.downs[0] == 1 && world.downs[1] == 1; }));
    EXPECT_EQ(world.why[0], Error::Closed);
    ASSERT_TRUE(world.both_up(2));

    world.relay.delay(Direction::Forward, Duration{60});
    TimePoint sent = world.clock.now();
    ASSERT_TRUE(world.near.send(2, MessageKind::Raft, "late"));
    ASSERT_TRUE(world.until([&] { return world.got[1] == 1; }));
    EXPECT_GE((world.clock.now() - sent).count(), 60);
    world.relay.delay(Direction::Forward, Duration{0});

    world.relay.refuse(true);
    world.relay.reset();
    ASSERT_TRUE(world.until([&] { return world.near.ended_count(Error::Unreachable) >= 2; }));
    EXPECT_EQ(world.near.peer_count(), 0u);
    PeerConnections other(world.io, world.clock, kAny, World::named(3), 3);
    world.relay.target(other.listen_address());
    world.relay.refuse(false);
    EXPECT_TRUE(
        world.until([&] { return other.peer_count() == 1 && world.near.send(3, MessageKind::Raft, "x"); }));
    other.close();
}

}  // namespace
}  // namespace ochrehub::lab
