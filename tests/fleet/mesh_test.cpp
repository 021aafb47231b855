// Meshes on loopback, all on one loop.
#include "fleet/channel/mesh.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <tuple>

#include "base/asio_scheduler.h"

namespace ochrehub::channel {
namespace {

const Mesh::Endpoint kAny(boost::asio::ip::address_v4::loopback(), 0);

struct World {
    /// Turns the loop till it holds; false where that takes far too long.
    bool until(const std::function<bool()>& holds, Duration most = Duration{10000}) {
        for (TimePoint end = clock.now() + most; !holds();) {
            if (clock.now() > end) return false;
            if (io.stopped()) io.restart();
            io.run_one_for(std::chrono::milliseconds(20));
        }
        return true;
    }
    boost::asio::io_context io{1};
    AsioScheduler clock{io};
};

struct Process {
    Process(World& world, std::uint64_t instance, MeshSettings settings = {},
            const std::optional<Mesh::Endpoint>& listen = kAny)
        : mesh(world.io, world.clock, listen, named(settings, instance), instance) {
        mesh.up = [this](const Peer& peer) { ++ups[peer.instance]; };
        mesh.down = [this](const Peer& peer, Error error) { ++downs[peer.instance], last_down = error; };
        mesh.deliver = [this](const Peer& peer, Kind kind, std::string body) {
            got.emplace_back(peer.instance, kind, std::move(body));
            if (answers && kind == Kind::Ask)
                mesh.send(peer.instance, Kind::Answer, "re " + std::get<2>(got.back()));
        };
        mesh.unreached = [this](const std::string&, Error error) { unreached.push_back(error); };
    }
    ~Process() { mesh.close(); }
    static MeshSettings named(MeshSettings set, std::uint64_t instance) {
        set.channel.self.name = "p" + std::to_string(instance);
        set.channel.self.instance = instance;
        return set;
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(mesh.at().port()); }

    std::map<std::uint64_t, int> ups, downs;
    std::vector<std::tuple<std::uint64_t, Kind, std::string>> got;
    std::vector<Error> unreached;
    std::optional<Error> last_down;
    bool answers = false;
    Mesh mesh;
};

TEST(Mesh, DialsAndIsAnsweredOnTheSameConnection) {
    World world;
    MeshSettings set;
    set.channel.keys = {"k1"};
    Process keeper(world, 1, set), node(world, 2, set, std::nullopt);
    keeper.answers = true;
    ASSERT_TRUE(node.mesh.dial(keeper.address()));
    ASSERT_TRUE(world.until([&] { return node.ups[1] == 1 && keeper.ups[2] == 1; }));
    for (int i = 0; i < 1000; ++i) ASSERT_TRUE(node.mesh.send(1, Kind::Ask, std::to_string(i)));
    ASSERT_TRUE(world.until([&] { return node.got.size() == 1000; }));
    for (std::size_t i = 0; i < 1000; ++i)
        EXPECT_EQ(node.got[i], std::make_tuple(std::uint64_t{1}, Kind::Answer, "re " + std::to_string(i)));
    EXPECT_FALSE(node.mesh.send(3, Kind::Ask, "nobody"));
}

MeshSettings quick() {
    MeshSettings set;
    set.channel.keys = {"k1"};
    set.channel.idle = Duration{100};
    set.channel.dead = Duration{300};
    set.dial.first = Duration{20};
    set.dial.most = Duration{100};
    return set;
}

/// A connection that only does what it is told.
struct Raw {
    Raw(World& world, const Mesh& to) : socket(world.io) { socket.connect(to.at()); }
    /// The other end has closed it.
    bool closed() {
        socket.non_blocking(true);
        boost::system::error_code error;
        std::array<char, 4096> octets;
        while (!error) socket.read_some(boost::asio::buffer(octets), error);
        return error != boost::asio::error::would_block;
    }
    boost::asio::ip::tcp::socket socket;
};

TEST(Mesh, KeepsOneConnectionWhereBothDialAtOnce) {
    for (int round = 0; round < 20; ++round) {
        World world;
        MeshSettings set = quick();
        set.channel.dead = Duration{3000};
        Process a(world, 1, set), b(world, 2, set);
        a.mesh.dial(b.address());
        b.mesh.dial(a.address());
        // Until neither has more than one, and both have the same.
        ASSERT_TRUE(world.until([&] {
            return a.mesh.peers() == 1 && b.mesh.peers() == 1 && a.mesh.connections() == 1 &&
                   b.mesh.connections() == 1;
        }));
        a.got.clear(), b.got.clear();
        ASSERT_TRUE(a.mesh.send(2, Kind::Raft, "to b") && b.mesh.send(1, Kind::Raft, "to a"));
        ASSERT_TRUE(world.until([&] { return a.got.size() == 1 && b.got.size() == 1; }));
        EXPECT_EQ(a.ups[2] - a.downs[2], 1);
        EXPECT_EQ(b.ups[1] - b.downs[1], 1);
    }
}

TEST(Mesh, TheConnectionThatTheLowerInstanceDialledStaysWhicheverCameFirst) {
    for (bool lower_first : {false, true}) {
        World world;
        MeshSettings set = quick();
        set.channel.dead = Duration{3000};
        Process low(world, 1, set), high(world, 2, set);
        Process &first = lower_first ? low : high, &second = lower_first ? high : low;
        first.mesh.dial(second.address());
        ASSERT_TRUE(world.until([&] { return low.ups[2] == 1 && high.ups[1] == 1; }));
        second.mesh.dial(first.address());
        ASSERT_TRUE(world.until(
            [&] { return low.mesh.ended(Error::Replaced) + high.mesh.ended(Error::Replaced) > 0; }));
        ASSERT_TRUE(world.until([&] { return low.mesh.connections() == 1 && high.mesh.connections() == 1; }));
        EXPECT_EQ(low.ups[2], lower_first ? 1 : 2);
        EXPECT_EQ(low.downs[2], lower_first ? 0 : 1);
        low.mesh.drop(high.address());  // and it is the one that the lower one dialled
        ASSERT_TRUE(world.until([&] { return low.downs[2] > 0 && high.downs[1] > 0; }));
    }
}

TEST(Mesh, ManyThatAllDialEachOtherEndWithOneConnectionAPair) {
    World world;
    MeshSettings set = quick();
    set.channel.dead = Duration{3000};
    std::vector<std::unique_ptr<Process>> all;
    for (std::uint64_t i = 1; i <= 7; ++i) all.push_back(std::make_unique<Process>(world, i, set));
    for (auto& one : all)
        for (auto& other : all) one->mesh.dial(other->address());  // itself among them
    ASSERT_TRUE(world.until([&] {
        return std::all_of(all.begin(), all.end(),
                           [](auto& p) { return p->mesh.peers() == 6 && p->mesh.connections() == 6; });
    }));
    for (std::uint64_t i = 1; i <= 7; ++i) EXPECT_FALSE(all[i - 1]->ups.contains(i));
    // One of them starts anew, elsewhere: the others find it there once they are told.
    std::string was = all[3]->address();
    all[3] = std::make_unique<Process>(world, 104, set);
    for (auto& other : all)
        if (other != all[3]) other->mesh.drop(was), other->mesh.dial(all[3]->address());
    ASSERT_TRUE(world.until([&] {
        return std::all_of(all.begin(), all.end(),
                           [](auto& p) { return p->mesh.peers() == 6 && p->mesh.connections() == 6; });
    }));
    EXPECT_EQ(all[0]->ups[104] - all[0]->downs[104], 1);
    EXPECT_EQ(all[0]->ups[4] - all[0]->downs[4], 0);
}

TEST(Mesh, ComesBackToWhoeverWasAway) {
    World world;
    auto keeper = std::make_unique<Process>(world, 1, quick());
    Process node(world, 2, quick(), std::nullopt);
    std::string address = keeper->address();
    Mesh::Endpoint at = keeper->mesh.at();
    node.mesh.dial(address);
    ASSERT_TRUE(world.until([&] { return node.ups[1] == 1; }));
    keeper.reset();
    ASSERT_TRUE(world.until([&] { return node.downs[1] == 1 && node.unreached.size() >= 3; }));
    EXPECT_EQ(node.last_down, Error::Closed);
    EXPECT_EQ(node.unreached.front(), Error::Unreachable);
    EXPECT_FALSE(node.mesh.send(1, Kind::Ask, "nobody"));
    EXPECT_EQ(node.mesh.refused(Error::Closed), 1u);
    Process again(world, 3, quick(), at);
    ASSERT_TRUE(world.until([&] { return node.ups[3] == 1; }));
    node.mesh.drop(address);
    ASSERT_TRUE(world.until([&] { return node.downs[3] == 1 && again.downs[2] == 1; }));
    EXPECT_EQ(node.mesh.connections(), 0u);
}

TEST(Mesh, SaysWhyADialDidNotComeUp) {
    World world;
    Process keeper(world, 1, quick());
    MeshSettings other = quick();
    other.channel.cluster = 9;
    Process stranger(world, 2, other, std::nullopt);
    stranger.mesh.dial(keeper.address());
    ASSERT_TRUE(world.until([&] { return !stranger.unreached.empty(); }));
    // Whoever reads first sees it, and closes.
    EXPECT_TRUE(stranger.unreached[0] == Error::Cluster || stranger.unreached[0] == Error::Closed);
    ASSERT_TRUE(world.until(
        [&] { return keeper.mesh.ended(Error::Cluster) + stranger.mesh.ended(Error::Cluster) > 0; }));
    EXPECT_TRUE(keeper.ups.empty());
    for (const char* wrong : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:1x",
                              "name:1", "::1:1", "[127.0.0.1]:1"})
        EXPECT_FALSE(stranger.mesh.dial(wrong)) << wrong;
    EXPECT_TRUE(Mesh::endpoint("[::1]:1") && Mesh::endpoint("127.0.0.1:65535"));
}

TEST(Mesh, StrangersThatSayNothingGoAndAFloodOfThemDoesNotKeepPeersOut) {
    World world;
    MeshSettings set = quick();
    set.strangers = 5;
    set.channel.dead = Duration{2000};
    Process keeper(world, 1, set);
    std::vector<std::unique_ptr<Raw>> flood;
    for (int i = 0; i < 50; ++i) flood.push_back(std::make_unique<Raw>(world, keeper.mesh));
    Process node(world, 2, quick(), std::nullopt);
    node.mesh.dial(keeper.address());
    ASSERT_TRUE(world.until([&] {
        EXPECT_LE(keeper.mesh.strangers(), 5u);
        EXPECT_LE(keeper.mesh.connections(), 6u);
        return keeper.ups[2] == 1;
    }));
    // Those that remain go by the time that they have, and the peer stays.
    ASSERT_TRUE(world.until([&] { return keeper.mesh.strangers() == 0; }));
    EXPECT_EQ(std::count_if(flood.begin(), flood.end(), [](auto& one) { return one->closed(); }), 50);
    EXPECT_GE(keeper.mesh.ended(Error::Full), 45u);
    EXPECT_GE(keeper.mesh.ended(Error::Silent), 1u);
    EXPECT_TRUE(keeper.downs.empty() && keeper.mesh.peers() == 1);
}

TEST(Mesh, TakesInNoMorePeersThanItMay) {
    World world;
    MeshSettings set = quick();
    set.accepted = 3;
    Process keeper(world, 1, set);
    std::vector<std::unique_ptr<Process>> nodes;
    for (std::uint64_t i = 2; i < 8; ++i) {
        nodes.push_back(std::make_unique<Process>(world, i, quick(), std::nullopt));
        nodes.back()->mesh.dial(keeper.address());
    }
    ASSERT_TRUE(world.until([&] { return keeper.mesh.ended(Error::Full) >= 6; }));
    EXPECT_EQ(keeper.mesh.peers(), 3u);
    // Where one leaves, another comes in.
    std::uint64_t in = keeper.ups.begin()->first;
    nodes[in - 2].reset();
    ASSERT_TRUE(world.until([&] { return keeper.downs[in] == 1 && keeper.mesh.peers() == 3; }));
}

TEST(Mesh, AReaderThatStandsStillIsBoundedAndThenGivenUp) {
    World world;
    MeshSettings set = quick();
    set.channel.queue = 300000;
    set.channel.keys.clear();
    Process keeper(world, 1, set);
    Raw slow(world, keeper.mesh);
    // A Hello and a Ready without keys, by a channel that nobody reads for.
    Settings own;
    own.self = {"slow", "z", 9};
    Channel channel(own);
    auto say = [&](const Event& event) {
        Actions actions;
        channel.handle(world.clock.now(), event, actions);
        for (const Action& action : actions)
            if (const auto* put = std::get_if<Put>(&action))
                boost::asio::write(slow.socket, boost::asio::buffer(put->octets));
    };
    say(Opened{});
    std::array<char, 4096> octets;
    while (!channel.up()) {
        world.io.poll();
        slow.socket.non_blocking(true);
        boost::system::error_code error;
        std::size_t got = slow.socket.read_some(boost::asio::buffer(octets), error);
        slow.socket.non_blocking(false);
        if (got > 0) say(Octets{{octets.data(), got}});
    }
    ASSERT_TRUE(world.until([&] { return keeper.ups[9] == 1; }));
    std::size_t sent = 0;
    bool full = false;
    ASSERT_TRUE(world.until([&] {
        for (int i = 0; i < 10; ++i) {
            bool taken = keeper.mesh.send(9, Kind::Rules, std::string(10000, 'x'));
            sent += taken;
            full = full || !taken;
        }
        EXPECT_LE(keeper.mesh.queued(9), 300000u);
        return !keeper.downs.empty();
    }));
    EXPECT_TRUE(full && sent > 20);
    EXPECT_GT(keeper.mesh.refused(Error::Full), 0u);
    EXPECT_EQ(keeper.last_down, Error::Silent);
}

TEST(Mesh, MayBeClosedAndDialFromInsideOfCallbacks) {
    World world;
    Process keeper(world, 1, quick()), node(world, 2, quick());
    int ups = 0;
    node.mesh.up = [&](const Peer& peer) {
        node.mesh.send(peer.instance, Kind::Ask, "first");
        if (++ups == 2) return node.mesh.close();
        node.mesh.drop(keeper.address());
        node.mesh.dial(keeper.address());
    };
    node.mesh.dial(keeper.address());
    ASSERT_TRUE(world.until([&] { return ups == 2; }));
    world.until([&] { return keeper.mesh.peers() == 0; });
    EXPECT_EQ(node.mesh.connections(), 0u);
}

// ---- The dialer by itself

struct Dialled {
    explicit Dialled(std::uint64_t seed) : dialer({}, seed) {}
    int tell(const Dialer::Event& event) {
        Dialer::Actions actions;
        dialer.handle(now, event, actions);
        int dials = 0;
        for (const auto& action : actions) {
            dials += std::holds_alternative<Dialer::Dial>(action);
            abandoned += std::holds_alternative<Dialer::Abandon>(action);
            if (const auto* at = std::get_if<WakeAt>(&action)) wake = at->at;
        }
        return dials;
    }
    Dialer dialer;
    TimePoint now{}, wake{};
    int abandoned = 0;
};

TEST(Dialer, WaitsTwiceAsLongEachTimeAndEachSeedOtherwise) {
    std::set<double> first;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        Dialled one(seed);
        ASSERT_EQ(one.tell(Dialer::Wanted{"x"}), 1);
        EXPECT_EQ(one.tell(Dialer::Wanted{"x"}), 0);
        double most = 100;
        for (int i = 0; i < 12; ++i, most = std::min(5000.0, 2 * most)) {
            EXPECT_EQ(one.tell(Dialer::Ended{"x"}), 0);
            double wait = (one.wake - one.now).count();
            if (i == 0) first.insert(wait);
            EXPECT_GE(wait, most / 2);
            EXPECT_LE(wait, most);
            one.now = one.wake;
            ASSERT_EQ(one.tell(Woken{}), 1);
        }
        // One that came up and went at once goes on waiting; one that lived begins anew.
        one.tell(Dialer::Reached{"x", 5});
        one.tell(Dialer::Ended{"x"});
        EXPECT_GE((one.wake - one.now).count(), 2500);
        one.now = one.wake;
        one.tell(Woken{});
        one.tell(Dialer::Reached{"x", 5});
        one.now += Duration{1001};
        one.tell(Dialer::Ended{"x"});
        EXPECT_LE((one.wake - one.now).count(), 100);
    }
    EXPECT_GT(first.size(), 95u);
}

TEST(Dialer, GivesUpWhatIsLateAndLeavesWhoIsThere) {
    Dialled one(1);
    one.tell(Dialer::Wanted{"x"});
    one.now = one.wake;
    EXPECT_EQ(one.now, TimePoint{Duration{3000}});
    one.tell(Woken{});
    EXPECT_EQ(one.abandoned, 1);
    one.now = one.wake;
    EXPECT_EQ(one.tell(Woken{}), 1);
    one.tell(Dialer::Reached{"x", 5});
    one.tell(Dialer::Present{5});
    one.tell(Dialer::Ended{"x"});  // it made way for one that the other side dialled
    one.now += Duration{60000};
    EXPECT_EQ(one.tell(Woken{}), 0);
    EXPECT_EQ(one.tell(Dialer::Absent{5}), 0);
    EXPECT_LE(one.wake - one.now, Duration{100});
    one.now = one.wake;
    EXPECT_EQ(one.tell(Woken{}), 1);
    one.tell(Dialer::Itself{"x"});
    one.now += Duration{60000};
    EXPECT_EQ(one.tell(Woken{}), 0);
    one.tell(Dialer::Unwanted{"x"});
    EXPECT_TRUE(one.abandoned == 2 && one.dialer.size() == 0);
}

TEST(Dialer, BothEndsChooseTheSameConnection) {
    for (bool older : {false, true})
        for (bool newer : {false, true})
            for (auto [low, high] : {std::pair<std::uint64_t, std::uint64_t>{1, 2}, {7, 1ull << 63}}) {
                EXPECT_EQ(newer_stays(older, newer, low, high), newer_stays(!older, !newer, high, low));
                // In whichever order the two came up.
                if (older != newer) {
                    EXPECT_NE(newer_stays(older, newer, low, high), newer_stays(newer, older, low, high));
                }
            }
}

}  // namespace
}  // namespace ochrehub::channel
