// Discovery's client on sockets: what lists do to the servers that are known, and calls that end badly.
// Discovery is in this process, the loop turns only when told to, and the watch's own clock moves by hand.
#include "discovery/watcher.h"

#include <gtest/gtest.h>

#include <deque>

#include "base/timer_queue.h"
#include "server_peer.h"

using namespace ochrehub;
using namespace ochrehub::peer;

namespace {

class ByHand : public Scheduler {
public:
    TimePoint now() const override { return now_; }
    void post(Task task) override { call_at(now_, std::move(task)); }
    TimerId call_at(TimePoint at, Task task) override {
        return queue_.push(std::max(at, now_), std::move(task));
    }
    void cancel(TimerId timer) override { queue_.cancel(timer); }
    void move(Duration by) {
        TimePoint end = now_ + by;
        while (!queue_.empty() && queue_.due() <= end) {
            now_ = queue_.due();
            Task task = queue_.pop();
            task();
        }
        now_ = end;
    }

private:
    TimePoint now_{Duration{1000000}};
    TimerQueue queue_;
};

struct Node {
    Node()
        : watcher(io, scheduler, pool, {}, false, *parse_address(door.address), 1,
                  [this](const EndpointList& listing) { lists.push_back(listing); }) {
        ServerList known;
        known.revision = 41;
        known.complete = true;
        ServerList::Member& member = known.members.emplace_back();
        member.id = "a";
        member.address = "127.0.0.1:1";
        watcher.cached(known);
        lists.clear();
        watcher.watch();
    }
    void turn() {
        io.restart();
        io.poll();
    }
    void until(const std::function<bool()>& there) {
        auto given_up = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!there()) {
            if (std::chrono::steady_clock::now() >= given_up) throw std::runtime_error("never came");
            io.restart();
            io.run_one_for(std::chrono::milliseconds(1));
        }
    }
    FarPtr accept(Door& at) {
        until([&] { return at.knocked(); });
        return at.accept();
    }
    FarPtr accept() { return accept(door); }
    /// The target of the call that comes there.
    std::string call_at(Far& far) {
        std::string head;
        until([&] { return !(head = far.head()).empty(); });
        return head.substr(4, head.find(' ', 4) - 4);
    }
    const EndpointList& listed() {
        until([&] { return !lists.empty(); });
        taken = lists.front();
        lists.pop_front();
        return taken;
    }

    Door door;
    BufferPool pool{8};
    boost::asio::io_context io;
    ByHand scheduler;
    std::deque<EndpointList> lists;
    EndpointList taken;
    discovery::Watcher watcher;
};

std::string member(const std::string& id, const std::string& phase = "in_service",
                   const std::string& at = "127.0.0.1:1", const std::string& up = "0") {
    return R"({"id":")" + id + R"(","host_port":")" + at +
           R"(","locality":"","flavor":"","cell":1,"phase":")" + phase + R"(","size":1.0,"up_since_ms":)" +
           up + "}";
}

std::string list(int revision, bool complete, const std::string& members) {
    return answer(R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" +
                  (complete ? "true" : "false") + R"(,"members":[)" + members + "]}");
}

std::string watched(int revision) {
    return "/v1/servers?index=" + std::to_string(revision) + "&wait=3600";
}

TEST(Watcher, ADeltaMayNameAServerThatNobodyKnew) {
    Node node;
    FarPtr far = node.accept();
    EXPECT_EQ(node.call_at(*far), watched(41));
    far->say(
        list(42, false, member("b") + "," + member("c", "terminated") + "," + member("d", "terminating")));
    const EndpointList& listing = node.listed();
    EXPECT_EQ(listing.update.kind, UpdateKind::Delta);
    ASSERT_EQ(listing.update.entries.size(), 3u);
    std::set<EndpointId> numbers{1};  // that of "a"
    for (const EndpointEntry& entry : listing.update.entries)
        EXPECT_TRUE(numbers.insert(entry.endpoint).second);
    EXPECT_EQ(listing.update.entries[0].phase, Phase::Ready);
    EXPECT_EQ(listing.update.entries[1].phase, Phase::Removed);
    EXPECT_EQ(listing.update.entries[2].phase, Phase::Draining);
    EXPECT_EQ(node.call_at(*far), watched(42));
}

TEST(Watcher, AServerThatMovesOrStartsAnewStaysTheOneThatItWas) {
    Node node;
    FarPtr far = node.accept();
    node.call_at(*far);
    far->say(list(42, false, member("a", "in_service", "127.0.0.1:2")));
    EndpointList listing = node.listed();
    EXPECT_EQ(listing.update.entries[0].endpoint, 1u);
    EXPECT_EQ(listing.addresses[0], "127.0.0.1:2");
    EXPECT_FALSE(listing.update.entries[0].last_start);
    node.call_at(*far);
    far->say(list(43, false, member("a", "in_service", "127.0.0.1:2", "1700000000000")));
    listing = node.listed();
    EXPECT_EQ(listing.update.entries[0].endpoint, 1u);
    EXPECT_EQ(listing.update.entries[0].last_start, TimePoint{Duration{1700000000000.0}});
}

TEST(Watcher, AServerThatIsGoneAndBackInOneListIsAnotherFromThenOn) {
    Node node;
    FarPtr far = node.accept();
    node.call_at(*far);
    far->say(list(42, false, member("a", "terminated") + "," + member("a")));
    EndpointList listing = node.listed();
    ASSERT_EQ(listing.update.entries.size(), 2u);
    EXPECT_EQ(listing.update.entries[0].endpoint, 1u);
    EndpointId back = listing.update.entries[1].endpoint;
    EXPECT_NE(back, 1u);
    node.call_at(*far);
    far->say(list(43, false, member("a", "terminating")));
    EXPECT_EQ(node.listed().update.entries[0].endpoint, back) << "its drain would be another's";
}

TEST(Watcher, WhatAWholeListLeavesOutComesBackAsAnother) {
    Node node;
    FarPtr far = node.accept();
    node.call_at(*far);
    far->say(list(42, true, member("b")));
    EXPECT_EQ(node.listed().update.kind, UpdateKind::Full);
    node.call_at(*far);
    far->say(list(43, false, member("a")));
    EXPECT_GT(node.listed().update.entries[0].endpoint, 2u);
}

TEST(Watcher, AnOlderWholeListIsTakenAndAnOlderDeltaAskedForWhole) {
    Node node;
    FarPtr far = node.accept();
    node.call_at(*far);
    far->say(list(7, true, member("b")));
    EXPECT_EQ(node.listed().update.kind, UpdateKind::Full);
    node.scheduler.move(Duration{100});  // nothing new: not asked at once
    EXPECT_EQ(node.call_at(*far), watched(7));
    far->say(list(3, false, member("c")));
    node.turn();
    node.scheduler.move(Duration{100});  // nothing new: not asked at once
    EXPECT_EQ(node.call_at(*far), "/v1/servers");
    EXPECT_TRUE(node.lists.empty()) << "what changed before it is not in it";
    far->say(list(3, true, member("b") + "," + member("c")));
    EXPECT_EQ(node.listed().update.entries.size(), 2u);
    EXPECT_EQ(node.call_at(*far), watched(3));
}

// A list may come in pieces, with pauses as long as machines stand still.
TEST(Watcher, AListInPiecesIsOne) {
    bool stalled = true;  // this process did, for longer than any list may
    for (int i = 0; stalled && i < 20; ++i) {
        Node node;
        FarPtr far = node.accept();
        node.call_at(*far);
        const std::string whole = list(42, false, member("b"));
        stalled = false;
        for (std::size_t at = 0; at < whole.size() && !stalled; at += 100) {
            auto before = std::chrono::steady_clock::now();
            if (at > 0) usleep(450000);
            node.turn();
            stalled = std::chrono::steady_clock::now() - before > std::chrono::milliseconds(900);
            if (stalled) break;
            ASSERT_FALSE(far->closed()) << "given up";
            far->say(whole.substr(at, 100));
            node.turn();
        }
        if (stalled) continue;
        EXPECT_EQ(node.listed().update.kind, UpdateKind::Delta);
        EXPECT_EQ(node.call_at(*far), watched(42));
    }
    EXPECT_FALSE(stalled);
}

TEST(Watcher, AListThatStopsIsAskedForAnew) {
    Node node;
    FarPtr far = node.accept();
    node.call_at(*far);
    far->say(list(42, false, member("b")).substr(0, 100));
    node.until([&] { return far->closed(); });
    EXPECT_TRUE(node.lists.empty());
    node.scheduler.move(Duration{600});
    FarPtr again = node.accept();
    EXPECT_EQ(node.call_at(*again), watched(41));
}

// Each of its bytes is in time; the whole is not.
TEST(Watcher, AListThatNeverEndsIsAskedForAnewBesideIt) {
    Node node;
    FarPtr far = node.accept();
    node.call_at(*far);
    far->say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 20; ++i) {
        far->say("1\r\n \r\n");
        node.turn();
        node.scheduler.move(Duration{199});
    }
    EXPECT_FALSE(node.door.knocked());
    node.scheduler.move(Duration{20 + 500});  // 4 s, and what it waits beside others
    FarPtr again = node.accept();
    EXPECT_EQ(node.call_at(*again), watched(41));
    far->say("1\r\n \r\n");
    node.turn();
    EXPECT_FALSE(far->closed()) << "it may still end";
    again->say(list(42, false, member("b")));
    EXPECT_EQ(node.listed().addresses.size(), 1u);
    EXPECT_EQ(node.call_at(*again), watched(42));
    node.until([&] { return far->closed(); });
}

TEST(Watcher, AListThatNoBufferHoldsIsAskedForAnew) {
    Node node;
    FarPtr far = node.accept();
    node.call_at(*far);
    far->say("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, ' '));
    node.until([&] { return far->closed(); });
    node.scheduler.move(Duration{600});
    FarPtr again = node.accept();
    EXPECT_EQ(node.call_at(*again), watched(41));
}

// It lies with the node's kernel, unread, when SIGHUP moves discovery.
TEST(Watcher, AListInTheMomentOfAMoveCounts) {
    for (bool cut : {false, true}) {
        Node node;
        FarPtr old = node.accept();
        node.call_at(*old);
        Door moved;
        std::string said = list(42, false, member("a", "terminating"));
        old->say(cut ? said.substr(0, said.size() - 5) : said);
        if (cut) old->end();
        node.watcher.move_to(*parse_address(moved.address));
        FarPtr far = node.accept(moved);
        EXPECT_EQ(node.call_at(*far), "/v1/servers");
        node.until([&] { return old->closed(); });
        if (!cut) {
            EXPECT_EQ(node.listed().update.entries[0].phase, Phase::Draining);
        }
        EXPECT_TRUE(node.lists.empty());
        far->say(list(3, true, member("a")));
        EXPECT_EQ(node.listed().update.kind, UpdateKind::Full);
        EXPECT_EQ(node.call_at(*far), watched(3)) << "revisions of the old address mean nothing here";
        EXPECT_EQ(old->heard(), "");
    }
}

// A second answer, as some servers give: what lies there when the connection is used again is no answer to
// that call.
TEST(Watcher, ASecondAnswerIsNotTakenForTheNextOnes) {
    Node node;
    FarPtr far = node.accept();
    node.call_at(*far);
    far->say(list(42, false, member("b")) + list(99, false, member("c")));
    EXPECT_EQ(node.listed().ids[0], "b");
    FarPtr other = node.accept();
    EXPECT_EQ(node.call_at(*other), watched(42));
    EXPECT_TRUE(far->closed());
    EXPECT_TRUE(node.lists.empty());
}

}  // namespace
