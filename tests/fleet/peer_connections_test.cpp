// Several PeerConnections on loopback, on one event loop.
#include "fleet/channel/peer_connections.h"

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

const PeerConnections::Endpoint kAny(boost::asio::ip::address_v4::loopback(), 0);

struct EventLoop {
    /// Runs the event loop until the condition holds. False: it timed out.
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
    Process(EventLoop& loop, std::uint64_t instance, PeerConnectionsSettings settings = {},
            const std::optional<PeerConnections::Endpoint>& listen = kAny)
        : peer_connections(loop.io, loop.clock, listen, named(settings, instance), instance) {
        peer_connections.on_connected = [this](const Peer& peer) { ++connected[peer.instance]; };
        peer_connections.on_disconnected = [this](const Peer& peer, Error error) {
            ++disconnected[peer.instance], last_error = error;
        };
        peer_connections.on_message = [this](const Peer& peer, MessageKind kind, std::string body) {
            received.emplace_back(peer.instance, kind, std::move(body));
            if (responds && kind == MessageKind::Request)
                peer_connections.send(peer.instance, MessageKind::Response,
                                      "re " + std::get<2>(received.back()));
        };
        peer_connections.on_dial_failed = [this](const std::string&, Error error) {
            dial_errors.push_back(error);
        };
    }
    ~Process() { peer_connections.close(); }
    static PeerConnectionsSettings named(PeerConnectionsSettings set, std::uint64_t instance) {
        set.channel.self.name = "p" + std::to_string(instance);
        set.channel.self.instance = instance;
        return set;
    }
    std::string address() const {
        return "127.0.0.1:" + std::to_string(peer_connections.listen_address().port());
    }

    std::map<std::uint64_t, int> connected, disconnected;
    std::vector<std::tuple<std::uint64_t, MessageKind, std::string>> received;
    std::vector<Error> dial_errors;
    std::optional<Error> last_error;
    bool responds = false;
    PeerConnections peer_connections;
};

TEST(PeerConnections, ReceivesResponsesOnTheDialedConnection) {
    EventLoop loop;
    PeerConnectionsSettings set;
    set.channel.keys = {"k1"};
    Process coordinator(loop, 1, set), node(loop, 2, set, std::nullopt);
    coordinator.responds = true;
    ASSERT_TRUE(node.peer_connections.dial(coordinator.address()));
    ASSERT_TRUE(loop.until([&] { return node.connected[1] == 1 && coordinator.connected[2] == 1; }));
    for (int i = 0; i < 1000; ++i)
        ASSERT_TRUE(node.peer_connections.send(1, MessageKind::Request, std::to_string(i)));
    ASSERT_TRUE(loop.until([&] { return node.received.size() == 1000; }));
    for (std::size_t i = 0; i < 1000; ++i)
        EXPECT_EQ(node.received[i],
                  std::make_tuple(std::uint64_t{1}, MessageKind::Response, "re " + std::to_string(i)));
    EXPECT_FALSE(node.peer_connections.send(3, MessageKind::Request, "nobody"));
}

PeerConnectionsSettings fast_settings() {
    PeerConnectionsSettings set;
    set.channel.keys = {"k1"};
    set.channel.idle_timeout = Duration{100};
    set.channel.dead_timeout = Duration{300};
    set.dial.initial_backoff = Duration{20};
    set.dial.max_backoff = Duration{100};
    return set;
}

/// A TCP connection without a channel.
struct RawConnection {
    RawConnection(EventLoop& loop, const PeerConnections& to) : socket(loop.io) {
        socket.connect(to.listen_address());
    }
    /// Whether the peer has closed it.
    bool closed() {
        socket.non_blocking(true);
        boost::system::error_code error;
        std::array<char, 4096> bytes;
        while (!error) socket.read_some(boost::asio::buffer(bytes), error);
        return error != boost::asio::error::would_block;
    }
    boost::asio::ip::tcp::socket socket;
};

TEST(PeerConnections, KeepsOneConnectionWhenBothDial) {
    for (int round = 0; round < 20; ++round) {
        EventLoop loop;
        PeerConnectionsSettings set = fast_settings();
        set.channel.dead_timeout = Duration{3000};
        Process a(loop, 1, set), b(loop, 2, set);
        a.peer_connections.dial(b.address());
        b.peer_connections.dial(a.address());
        // Until both have one connection, the same.
        ASSERT_TRUE(loop.until([&] {
            return a.peer_connections.peer_count() == 1 && b.peer_connections.peer_count() == 1 &&
                   a.peer_connections.connection_count() == 1 && b.peer_connections.connection_count() == 1;
        }));
        a.received.clear(), b.received.clear();
        ASSERT_TRUE(a.peer_connections.send(2, MessageKind::Raft, "to b") &&
                    b.peer_connections.send(1, MessageKind::Raft, "to a"));
        ASSERT_TRUE(loop.until([&] { return a.received.size() == 1 && b.received.size() == 1; }));
        EXPECT_EQ(a.connected[2] - a.disconnected[2], 1);
        EXPECT_EQ(b.connected[1] - b.disconnected[1], 1);
    }
}

TEST(PeerConnections, KeepsConnectionDialedByLowerInstance) {
    for (bool lower_first : {false, true}) {
        EventLoop loop;
        PeerConnectionsSettings set = fast_settings();
        set.channel.dead_timeout = Duration{3000};
        Process low(loop, 1, set), high(loop, 2, set);
        Process &first = lower_first ? low : high, &second = lower_first ? high : low;
        first.peer_connections.dial(second.address());
        ASSERT_TRUE(loop.until([&] { return low.connected[2] == 1 && high.connected[1] == 1; }));
        second.peer_connections.dial(first.address());
        ASSERT_TRUE(loop.until([&] {
            return low.peer_connections.ended_count(Error::Replaced) +
                       high.peer_connections.ended_count(Error::Replaced) >
                   0;
        }));
        ASSERT_TRUE(loop.until([&] {
            return low.peer_connections.connection_count() == 1 &&
                   high.peer_connections.connection_count() == 1;
        }));
        EXPECT_EQ(low.connected[2], lower_first ? 1 : 2);
        EXPECT_EQ(low.disconnected[2], lower_first ? 0 : 1);
        low.peer_connections.drop(
            high.address());  // the remaining connection is the one that the lower instance dialed
        ASSERT_TRUE(loop.until([&] { return low.disconnected[2] > 0 && high.disconnected[1] > 0; }));
    }
}

TEST(PeerConnections, AllPairsEndWithOneConnectionWhenAllDialEachOther) {
    EventLoop loop;
    PeerConnectionsSettings set = fast_settings();
    set.channel.dead_timeout = Duration{3000};
    std::vector<std::unique_ptr<Process>> all;
    for (std::uint64_t i = 1; i <= 7; ++i) all.push_back(std::make_unique<Process>(loop, i, set));
    for (auto& one : all)
        for (auto& other : all)
            one->peer_connections.dial(other->address());  // includes the process's own address
    ASSERT_TRUE(loop.until([&] {
        return std::all_of(all.begin(), all.end(), [](auto& p) {
            return p->peer_connections.peer_count() == 6 && p->peer_connections.connection_count() == 6;
        });
    }));
    for (std::uint64_t i = 1; i <= 7; ++i) EXPECT_FALSE(all[i - 1]->connected.contains(i));
    // One process restarts at another address, and the others are given the new address.
    std::string was = all[3]->address();
    all[3] = std::make_unique<Process>(loop, 104, set);
    for (auto& other : all)
        if (other != all[3])
            other->peer_connections.drop(was), other->peer_connections.dial(all[3]->address());
    ASSERT_TRUE(loop.until([&] {
        return std::all_of(all.begin(), all.end(), [](auto& p) {
            return p->peer_connections.peer_count() == 6 && p->peer_connections.connection_count() == 6;
        });
    }));
    EXPECT_EQ(all[0]->connected[104] - all[0]->disconnected[104], 1);
    EXPECT_EQ(all[0]->connected[4] - all[0]->disconnected[4], 0);
}

TEST(PeerConnections, ReconnectsAfterPeerRestart) {
    EventLoop loop;
    auto coordinator = std::make_unique<Process>(loop, 1, fast_settings());
    Process node(loop, 2, fast_settings(), std::nullopt);
    std::string address = coordinator->address();
    PeerConnections::Endpoint at = coordinator->peer_connections.listen_address();
    node.peer_connections.dial(address);
    ASSERT_TRUE(loop.until([&] { return node.connected[1] == 1; }));
    coordinator.reset();
    ASSERT_TRUE(loop.until([&] { return node.disconnected[1] == 1 && node.dial_errors.size() >= 3; }));
    EXPECT_EQ(node.last_error, Error::Closed);
    EXPECT_EQ(node.dial_errors.front(), Error::Unreachable);
    EXPECT_FALSE(node.peer_connections.send(1, MessageKind::Request, "nobody"));
    EXPECT_EQ(node.peer_connections.rejected_count(Error::Closed), 1u);
    Process again(loop, 3, fast_settings(), at);
    ASSERT_TRUE(loop.until([&] { return node.connected[3] == 1; }));
    node.peer_connections.drop(address);
    ASSERT_TRUE(loop.until([&] { return node.disconnected[3] == 1 && again.disconnected[2] == 1; }));
    EXPECT_EQ(node.peer_connections.connection_count(), 0u);
}

TEST(PeerConnections, ReportsWhyADialFailed) {
    EventLoop loop;
    Process coordinator(loop, 1, fast_settings());
    PeerConnectionsSettings other = fast_settings();
    other.channel.cluster = 9;
    Process other_cluster(loop, 2, other, std::nullopt);
    other_cluster.peer_connections.dial(coordinator.address());
    ASSERT_TRUE(loop.until([&] { return !other_cluster.dial_errors.empty(); }));
    // The side that reads the preamble first closes with Cluster, the other sees Closed.
    EXPECT_TRUE(other_cluster.dial_errors[0] == Error::Cluster ||
                other_cluster.dial_errors[0] == Error::Closed);
    ASSERT_TRUE(loop.until([&] {
        return coordinator.peer_connections.ended_count(Error::Cluster) +
                   other_cluster.peer_connections.ended_count(Error::Cluster) >
               0;
    }));
    EXPECT_TRUE(coordinator.connected.empty());
    for (const char* wrong : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:1x",
                              "name:1", "::1:1", "[127.0.0.1]:1"})
        EXPECT_FALSE(other_cluster.peer_connections.dial(wrong)) << wrong;
    EXPECT_TRUE(PeerConnections::parse_endpoint("[::1]:1") &&
                PeerConnections::parse_endpoint("127.0.0.1:65535"));
}

TEST(PeerConnections, FloodOfUnauthenticatedConnectionsDoesNotBlockPeers) {
    EventLoop loop;
    PeerConnectionsSettings set = fast_settings();
    set.max_unauthenticated = 5;
    set.channel.dead_timeout = Duration{2000};
    Process coordinator(loop, 1, set);
    std::vector<std::unique_ptr<RawConnection>> flood;
    for (int i = 0; i < 50; ++i)
        flood.push_back(std::make_unique<RawConnection>(loop, coordinator.peer_connections));
    Process node(loop, 2, fast_settings(), std::nullopt);
    node.peer_connections.dial(coordinator.address());
    ASSERT_TRUE(loop.until([&] {
        EXPECT_LE(coordinator.peer_connections.unauthenticated_count(), 5u);
        EXPECT_LE(coordinator.peer_connections.connection_count(), 6u);
        return coordinator.connected[2] == 1;
    }));
    // The remaining ones are closed at their handshake deadline, and the peer stays connected.
    ASSERT_TRUE(loop.until([&] { return coordinator.peer_connections.unauthenticated_count() == 0; }));
    EXPECT_EQ(std::count_if(flood.begin(), flood.end(), [](auto& one) { return one->closed(); }), 50);
    EXPECT_GE(coordinator.peer_connections.ended_count(Error::Full), 45u);
    EXPECT_GE(coordinator.peer_connections.ended_count(Error::Silent), 1u);
    EXPECT_TRUE(coordinator.disconnected.empty() && coordinator.peer_connections.peer_count() == 1);
}

TEST(PeerConnections, LimitsAcceptedPeers) {
    EventLoop loop;
    PeerConnectionsSettings set = fast_settings();
    set.max_accepted_peers = 3;
    Process coordinator(loop, 1, set);
    std::vector<std::unique_ptr<Process>> nodes;
    for (std::uint64_t i = 2; i < 8; ++i) {
        nodes.push_back(std::make_unique<Process>(loop, i, fast_settings(), std::nullopt));
        nodes.back()->peer_connections.dial(coordinator.address());
    }
    ASSERT_TRUE(loop.until([&] { return coordinator.peer_connections.ended_count(Error::Full) >= 6; }));
    EXPECT_EQ(coordinator.peer_connections.peer_count(), 3u);
    // When one peer disconnects, another is accepted.
    std::uint64_t in = coordinator.connected.begin()->first;
    nodes[in - 2].reset();
    ASSERT_TRUE(loop.until(
        [&] { return coordinator.disconnected[in] == 1 && coordinator.peer_connections.peer_count() == 3; }));
}

TEST(PeerConnections, BoundsAndThenClosesAStalledReader) {
    EventLoop loop;
    PeerConnectionsSettings set = fast_settings();
    set.channel.max_queued_bytes = 300000;
    set.channel.keys.clear();
    Process coordinator(loop, 1, set);
    RawConnection slow(loop, coordinator.peer_connections);
    // Completes the handshake without keys, and then reads nothing.
    Settings own;
    own.self = {"slow", "z", 9};
    Channel channel(own);
    auto say = [&](const Event& event) {
        Actions actions;
        channel.handle(loop.clock.now(), event, actions);
        for (const Action& action : actions)
            if (const auto* put = std::get_if<WriteBytes>(&action))
                boost::asio::write(slow.socket, boost::asio::buffer(put->bytes));
    };
    say(Opened{});
    std::array<char, 4096> bytes;
    while (!channel.connected()) {
        loop.io.poll();
        slow.socket.non_blocking(true);
        boost::system::error_code error;
        std::size_t received_bytes = slow.socket.read_some(boost::asio::buffer(bytes), error);
        slow.socket.non_blocking(false);
        if (received_bytes > 0) say(BytesReceived{{bytes.data(), received_bytes}});
    }
    ASSERT_TRUE(loop.until([&] { return coordinator.connected[9] == 1; }));
    std::size_t sent = 0;
    bool full = false;
    ASSERT_TRUE(loop.until([&] {
        for (int i = 0; i < 10; ++i) {
            bool taken = coordinator.peer_connections.send(9, MessageKind::Rules, std::string(10000, 'x'));
            sent += taken;
            full = full || !taken;
        }
        EXPECT_LE(coordinator.peer_connections.queued_bytes(9), 300000u);
        return !coordinator.disconnected.empty();
    }));
    EXPECT_TRUE(full && sent > 20);
    EXPECT_GT(coordinator.peer_connections.rejected_count(Error::Full), 0u);
    EXPECT_EQ(coordinator.last_error, Error::Silent);
}

TEST(PeerConnections, AllowsCloseAndDialInCallbacks) {
    EventLoop loop;
    Process coordinator(loop, 1, fast_settings()), node(loop, 2, fast_settings());
    int connected = 0;
    node.peer_connections.on_connected = [&](const Peer& peer) {
        node.peer_connections.send(peer.instance, MessageKind::Request, "first");
        if (++connected == 2) return node.peer_connections.close();
        node.peer_connections.drop(coordinator.address());
        node.peer_connections.dial(coordinator.address());
    };
    node.peer_connections.dial(coordinator.address());
    ASSERT_TRUE(loop.until([&] { return connected == 2; }));
    loop.until([&] { return coordinator.peer_connections.peer_count() == 0; });
    EXPECT_EQ(node.peer_connections.connection_count(), 0u);
}

// The dialer alone

struct TestDialer {
    explicit TestDialer(std::uint64_t seed) : dialer({}, seed) {}
    int handle(const Dialer::Event& event) {
        Dialer::Actions actions;
        dialer.handle(now, event, actions);
        int dials = 0;
        for (const auto& action : actions) {
            dials += std::holds_alternative<Dialer::Dial>(action);
            abandoned += std::holds_alternative<Dialer::CloseDialed>(action);
            if (const auto* at = std::get_if<SetTimer>(&action)) timer_at = at->at;
        }
        return dials;
    }
    Dialer dialer;
    TimePoint now{}, timer_at{};
    int abandoned = 0;
};

TEST(Dialer, BackoffDoublesAndVariesBySeed) {
    std::set<double> first;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        TestDialer one(seed);
        ASSERT_EQ(one.handle(Dialer::AddressAdded{"x"}), 1);
        EXPECT_EQ(one.handle(Dialer::AddressAdded{"x"}), 0);
        double most = 100;
        for (int i = 0; i < 12; ++i, most = std::min(5000.0, 2 * most)) {
            EXPECT_EQ(one.handle(Dialer::ConnectionEnded{"x"}), 0);
            double wait = (one.timer_at - one.now).count();
            if (i == 0) first.insert(wait);
            EXPECT_GE(wait, most / 2);
            EXPECT_LE(wait, most);
            one.now = one.timer_at;
            ASSERT_EQ(one.handle(TimerFired{}), 1);
        }
        // A connection that ends at once keeps the backoff; one that lasted resets it.
        one.handle(Dialer::DialSucceeded{"x", 5});
        one.handle(Dialer::ConnectionEnded{"x"});
        EXPECT_GE((one.timer_at - one.now).count(), 2500);
        one.now = one.timer_at;
        one.handle(TimerFired{});
        one.handle(Dialer::DialSucceeded{"x", 5});
        one.now += Duration{1001};
        one.handle(Dialer::ConnectionEnded{"x"});
        EXPECT_LE((one.timer_at - one.now).count(), 100);
    }
    EXPECT_GT(first.size(), 95u);
}

TEST(Dialer, AbortsSlowDialsAndSkipsConnectedPeers) {
    TestDialer one(1);
    one.handle(Dialer::AddressAdded{"x"});
    one.now = one.timer_at;
    EXPECT_EQ(one.now, TimePoint{Duration{3000}});
    one.handle(TimerFired{});
    EXPECT_EQ(one.abandoned, 1);
    one.now = one.timer_at;
    EXPECT_EQ(one.handle(TimerFired{}), 1);
    one.handle(Dialer::DialSucceeded{"x", 5});
    one.handle(Dialer::PeerConnected{5});
    one.handle(Dialer::ConnectionEnded{"x"});  // it was replaced by a connection that the peer dialed
    one.now += Duration{60000};
    EXPECT_EQ(one.handle(TimerFired{}), 0);
    EXPECT_EQ(one.handle(Dialer::PeerDisconnected{5}), 0);
    EXPECT_LE(one.timer_at - one.now, Duration{100});
    one.now = one.timer_at;
    EXPECT_EQ(one.handle(TimerFired{}), 1);
    one.handle(Dialer::SelfReached{"x"});
    one.now += Duration{60000};
    EXPECT_EQ(one.handle(TimerFired{}), 0);
    one.handle(Dialer::AddressRemoved{"x"});
    EXPECT_TRUE(one.abandoned == 2 && one.dialer.size() == 0);
}

TEST(Dialer, BothEndsKeepTheSameConnection) {
    for (bool older : {false, true})
        for (bool newer : {false, true})
            for (auto [low, high] : {std::pair<std::uint64_t, std::uint64_t>{1, 2}, {7, 1ull << 63}}) {
                EXPECT_EQ(newer_stays(older, newer, low, high), newer_stays(!older, !newer, high, low));
                // Independent of the order in which they were established.
                if (older != newer) {
                    EXPECT_NE(newer_stays(older, newer, low, high), newer_stays(newer, older, low, high));
                }
            }
}

}  // namespace
}  // namespace ochrehub::channel
