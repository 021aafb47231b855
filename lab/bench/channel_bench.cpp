// The cost of a channel: messages of 200 bytes per second from one process to another over loopback, with and
// without keys, and in the core alone; the memory of an idle connection and of one with a stalled reader.
// lab_channel_bench [SECONDS]
#include <malloc.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <vector>

#include "base/asio_scheduler.h"
#include "fleet/channel/peer_connections.h"

namespace ochrehub::channel {
namespace {

constexpr std::size_t kBody = 200;
const PeerConnections::Endpoint kAny(boost::asio::ip::address_v4::loopback(), 0);

PeerConnectionsSettings named(std::uint64_t instance, bool keys) {
    PeerConnectionsSettings set;
    set.channel.self = {"p", "zone", instance};
    set.channel.self.name += std::to_string(instance);
    if (keys) set.channel.keys = {"a key of thirty-two octets or so"};
    set.max_accepted_peers = 2000;
    set.max_unauthenticated = 2000;
    return set;
}

double seconds() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

struct World {
    boost::asio::io_context io{1};
    AsioScheduler clock{io};
    void until(const std::function<bool()>& holds) {
        while (!holds()) io.run_one();
    }
};

void over_loopback(bool keys, double length) {
    World world;
    PeerConnections keeper(world.io, world.clock, kAny, named(1, keys), 1);
    std::uint64_t got = 0;
    double began = 0, ended = 0;
    keeper.on_message = [&](const Peer&, MessageKind, std::string) { ++got, ended = seconds(); };
    std::string address = "127.0.0.1:" + std::to_string(keeper.listen_address().port());
    int child = fork();
    if (child == 0) {  // the other process sends as much as its queue accepts
        World other;
        PeerConnections node(other.io, other.clock, std::nullopt, named(2, keys), 2);
        bool up = false;
        node.on_connected = [&](const Peer&) { up = true; };
        node.dial(address);
        other.until([&] { return up; });
        std::string body(kBody, 'x');
        for (double end = seconds() + length; seconds() < end; other.io.poll())
            while (node.queued_bytes(1) < 100000 && node.send(1, MessageKind::Shard, body)) {
            }
        other.until([&] { return node.queued_bytes(1) == 0; });
        _exit(0);
    }
    bool over = false;
    keeper.on_connected = [&](const Peer&) { began = seconds(); };
    keeper.on_disconnected = [&](const Peer&, Error) { over = true; };
    world.until([&] { return over; });
    waitpid(child, nullptr, 0);
    keeper.close();
    std::printf("over loopback, %s keys: %.0f messages a second\n", keys ? "with" : "without",
                double(got) / (ended - began));
}

void core_alone(bool keys, double length) {
    Settings one = named(1, keys).channel, other = named(2, keys).channel;
    one.nonce = std::string(kNonceBytes, 'a');
    other.nonce = std::string(kNonceBytes, 'b');
    Channel a(one), b(other);
    std::uint64_t got = 0;
    TimePoint now{};
    std::function<void(Channel&, Channel&, const Event&)> hand = [&](Channel& to, Channel& back,
                                                                     const Event& event) {
        Actions actions;
        to.handle(now, event, actions);
        for (const Action& action : actions) {
            got += std::holds_alternative<DeliverMessage>(action);
            if (const auto* put = std::get_if<WriteBytes>(&action)) {
                Actions none;
                to.handle(now, BytesWritten{put->bytes.size()}, none);
                hand(back, to, BytesReceived{put->bytes});
            }
        }
    };
    auto put = [&](Channel& to, const Event& event) {
        Actions actions;
        to.handle(now, event, actions);
        return std::get<WriteBytes>(actions.front()).bytes;
    };
    std::string hello = put(a, Opened{}), answer = put(b, Opened{}), ready = put(b, BytesReceived{hello});
    hand(a, b, BytesReceived{answer});
    hand(a, b, BytesReceived{ready});
    double began = seconds();
    Event say = SendMessage{MessageKind::Shard, std::string(kBody, 'x')};
    while (seconds() < began + length)
        for (int i = 0; i < 1000; ++i) hand(a, b, say);
    std::printf("core alone, both ends, %s keys: %.0f ns a message\n", keys ? "with" : "without",
                (seconds() - began) / double(got) * 1e9);
}

void memory(std::size_t connections) {
    World world;
    PeerConnections keeper(world.io, world.clock, kAny, named(1, true), 1);
    std::string address = "127.0.0.1:" + std::to_string(keeper.listen_address().port());
    int child = fork();
    if (child == 0) {
        World other;
        std::vector<std::unique_ptr<PeerConnections>> nodes;
        for (std::size_t i = 0; i < connections; ++i) {
            nodes.push_back(std::make_unique<PeerConnections>(other.io, other.clock, std::nullopt,
                                                              named(i + 2, true), i));
            nodes.back()->dial(address);
        }
        while (getppid() > 1) other.io.run_one_for(std::chrono::milliseconds(100));
        _exit(0);
    }
    std::size_t before = mallinfo2().uordblks;
    world.until([&] { return keeper.peer_count() == connections; });
    std::printf("memory: %zu idle connections, %zu octets each on the accepting side\n", connections,
                (mallinfo2().uordblks - before) / connections);
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    keeper.close();
}

/// A stalled reader, to which messages are sent until the queue is full.
void slow_reader() {
    World world;
    PeerConnections keeper(world.io, world.clock, kAny, named(1, true), 1);
    std::string address = "127.0.0.1:" + std::to_string(keeper.listen_address().port());
    int child = fork();
    if (child == 0) {
        World other;
        PeerConnections node(other.io, other.clock, std::nullopt, named(2, true), 2);
        node.on_message = [](const Peer&, MessageKind, std::string) { raise(SIGSTOP); };
        node.dial(address);
        for (;;) other.io.run_one();
    }
    world.until([&] { return keeper.peer_count() == 1; });
    keeper.send(2, MessageKind::Shard, "stand still");
    while (waitpid(child, nullptr, WUNTRACED | WNOHANG) == 0) world.io.poll();
    std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd, most = 0;
    for (int quiet = 0; quiet < 100; ++quiet) {
        while (keeper.send(2, MessageKind::Shard, std::string(kBody, 'x'))) quiet = 0;
        world.io.poll();
        most = std::max(most, mallinfo2().uordblks + mallinfo2().hblkhd - before);
    }
    std::printf("memory: a reader that stands still: %zu octets wait, %zu octets of memory\n",
                keeper.queued_bytes(2), most);
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    keeper.close();
}

}  // namespace
}  // namespace ochrehub::channel

int main(int argc, char** argv) {
    std::setvbuf(stdout, nullptr, _IOLBF, 0);  // it forks
    double length = argc > 1 ? std::atof(argv[1]) : 2;
    for (bool keys : {false, true}) ochrehub::channel::core_alone(keys, length);
    for (bool keys : {false, true}) ochrehub::channel::over_loopback(keys, length);
    ochrehub::channel::memory(500);
    ochrehub::channel::slow_reader();
}
