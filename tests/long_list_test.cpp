// The watcher on a socket, its discovery a peer in the test: lists of any length that a fleet has.
#include <gtest/gtest.h>

#include <optional>

#include "base/address.h"
#include "base/asio_scheduler.h"
#include "discovery/watcher.h"
#include "server_peer.h"

namespace ochrehub::peer {
namespace {

/// As discovery writes it for people: a line for each value.
std::string indented(std::uint64_t revision, int servers) {
    std::string text =
        "{\n    \"revision\": " + std::to_string(revision) + ",\n    \"complete\": true,\n    \"members\": [";
    for (int i = 0; i < servers; ++i) {
        const std::string number = std::to_string(i);
        text += std::string(i ? "," : "") + "\n        {\n            \"id\": \"server-" + number +
                "\",\n            \"host_port\": \"10.1." + std::to_string(i / 250) + "." +
                std::to_string(1 + i % 250) +
                ":5000\",\n            \"locality\": \"a\",\n            \"flavor\": \"m\",\n            "
                "\"cell\": 3," +
                "\n            \"phase\": \"in_service\",\n            \"size\": 1.0,\n            "
                "\"up_since_ms\": 0\n        }";
    }
    return text + "\n    ]\n}\n";
}

struct WatcherRig {
    WatcherRig() { stamps_begin(); }
    void until(const std::function<bool()>& there) {
        auto given_up = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!there()) {
            if (std::chrono::steady_clock::now() >= given_up) throw std::runtime_error("never came");
            io.restart();
            io.run_one_for(std::chrono::milliseconds(1));
        }
    }
    FarPtr accept() {
        until([&] { return door.knocked(); });
        return door.accept();
    }
    /// The next call's head.
    std::string call(Far& far) {
        std::string head;
        until([&] { return !(head = far.head()).empty(); });
        return head;
    }
    /// Says it in pieces that the node's system takes, while the node reads. False: the node has closed its
    /// end.
    bool say(Far& far, const std::string& bytes) {
        for (std::size_t said = 0; said < bytes.size();) {
            ssize_t sent =
                send(far.fd(), bytes.data() + said, std::min<std::size_t>(bytes.size() - said, 20000),
                     MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent < 0 && errno != EAGAIN) return false;
            if (sent > 0) said += std::size_t(sent);
            io.restart();
            io.poll();
        }
        return true;
    }

    Door door;
    BufferPool pool{8};
    boost::asio::io_context io;
    Clock clock;
    AsioScheduler scheduler{io, clock};
    std::vector<EndpointList> lists;
    discovery::Watcher watcher{io,    scheduler,
                               pool,  Names{{}, {}, {"a"}, {"m"}},
                               false, *parse_address(door.address),
                               7,     [this](const EndpointList& listing) { lists.push_back(listing); }};
};

class LongList : public ::testing::TestWithParam<bool> {};

// 200 servers with as many on their way out, indented, are more than a buffer holds.
TEST_P(LongList, IsReadWholeAndTheWatchGoesOnFromIt) {
    WatcherRig rig;
    rig.watcher.watch();
    FarPtr far = rig.accept();
    EXPECT_EQ(rig.call(*far).rfind("GET /v1/servers HTTP/1.1", 0), 0u);
    const std::string body = indented(41, 400);
    ASSERT_GT(body.size(), 65536u);
    if (GetParam()) {
        rig.say(*far, answer(body));
    } else {
        rig.say(*far, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (std::size_t at = 0; at < body.size(); at += 5000) {
            char size[16];
            const std::string piece = body.substr(at, 5000);
            std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
            rig.say(*far, size + piece + "\r\n");
        }
        rig.say(*far, "0\r\n\r\n");
    }
    rig.until([&] { return !rig.lists.empty(); });
    EXPECT_EQ(rig.lists.front().update.kind, UpdateKind::Full);
    EXPECT_EQ(rig.lists.front().update.entries.size(), 400u);
    EXPECT_EQ(rig.call(*far).rfind("GET /v1/servers?index=41&wait=", 0), 0u);
}

INSTANTIATE_TEST_SUITE_P(WithALengthAndInChunks, LongList, ::testing::Bool());

// One without end costs a stated amount of memory, and is asked for again.
TEST(LongList, OneThatNeverEndsIsGivenUpAtItsLimit) {
    WatcherRig rig;
    rig.watcher.watch();
    FarPtr far = rig.accept();
    rig.call(*far);
    rig.say(*far, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "4000\r\n" + std::string(0x4000, ' ') + "\r\n";
    std::size_t said = 0;
    while (said < (8u << 20) && rig.say(*far, chunk)) said += chunk.size();
    EXPECT_LT(said, 4u << 20);
    EXPECT_EQ(rig.call(*rig.accept()).rfind("GET /v1/servers HTTP/1.1", 0), 0u);
    EXPECT_TRUE(rig.lists.empty());
}

}  // namespace
}  // namespace ochrehub::peer
