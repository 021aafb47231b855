// Endpoint registry: by hand-built events in virtual time.
#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>
#include <map>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace ochrehub::testing {
namespace {

TEST(EndpointRegistry, SendsNothingToRemovedDrainingOrUnlistedEndpoints) {
    for (Phase phase : {Phase::Draining, Phase::Removed}) {
        Gateway g(unprobed());
        g.list(0, {entry(1), entry(2)});
        auto leaving = entry(1);
        leaving.phase = phase;
        g.list(10, {leaving}, UpdateKind::Delta);
        for (RequestId i = 0; i < 6; ++i) {
            auto to = sent_to(g.arrive(20 + 100 * double(i), i));
            ASSERT_TRUE(to);
            EXPECT_EQ(*to, 2u);
            g.ok(60 + 100 * double(i), i, *to);
        }
    }
    Gateway g(unprobed());
    g.list(0, {entry(1), entry(2)});
    g.list(10, {entry(2)}, UpdateKind::Full);  // missing from a full list: removed
    for (RequestId i = 0; i < 4; ++i) {
        auto to = sent_to(g.arrive(20 + 100 * double(i), i));
        ASSERT_TRUE(to);
        EXPECT_EQ(*to, 2u);
        g.ok(60 + 100 * double(i), i, *to);
    }
}

TEST(EndpointRegistry, KeepsUnlistedEndpointsWhenRemovalIsNotBinding) {
    Settings set = unprobed();
    set.removal_not_binding = true;
    Gateway g(set);
    g.list(0, {entry(1)});
    auto gone = entry(1);
    gone.phase = Phase::Removed;
    g.list(10, {gone}, UpdateKind::Delta);
    EXPECT_EQ(sent_to(g.arrive(20, 1)), EndpointId{1});
    g.ok(60, 1, 1);
    auto draining = entry(1);
    draining.phase = Phase::Draining;
    g.list(70, {draining}, UpdateKind::Delta);
    g.list(80, {gone}, UpdateKind::Delta);
    EXPECT_FALSE(sent_to(g.arrive(90, 2)));
}

TEST(EndpointRegistry, SubscribesAgainAfterAFailure) {
    Settings set = unprobed();
    set.polls_discovery = set.watches_discovery = true;
    Gateway g(set);
    g.list(0, {entry(1)}, UpdateKind::Cached);
    EXPECT_EQ(all_of<WatchEndpoints>(g.run_to(50)).size(), 1u);
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(all_of<WatchEndpoints>(g.list(g.now + 10, {}, UpdateKind::Failed)).empty());
        auto again = g.run_to(g.now + 7000);
        EXPECT_EQ(all_of<WatchEndpoints>(again).size(), 1u);
    }
    EXPECT_TRUE(sent_to(g.arrive(g.now + 1, 1)));  // the old list stays in force
}

// With a pushed list, nothing may go to a draining endpoint 2 s after the agent knows of it.
TEST(EndpointRegistry, SubscribesToAgentAtOnceAndAgainWithinOneSecondInAnyFleet) {
    Settings set = unprobed();
    set.watches_discovery = true;
    set.node_count = 300;
    Gateway g(set);
    g.list(0, {entry(1)}, UpdateKind::Cached);
    EXPECT_EQ(all_of<WatchEndpoints>(g.run_to(1)).size(), 1u);
    for (int i = 0; i < 8; ++i) {
        g.list(g.now + 10, {}, UpdateKind::Failed);
        EXPECT_EQ(all_of<WatchEndpoints>(g.run_to(g.now + 800)).size(), 1u);
    }
}

// Discovery serves one queue: 20 calls a second, and a call that waited 2 s fails but uses capacity. A
// hundred nodes that start, and later lose their subscriptions at once, must not call faster than it
// responds.
TEST(EndpointRegistry, HundredNodesStayWithinDiscoveryCapacity) {
    Settings set = unprobed();
    set.polls_discovery = set.watches_discovery = true;
    set.node_count = 100;
    std::vector<Gateway> nodes;
    for (std::uint64_t n = 0; n < 100; ++n) nodes.emplace_back(set, n + 1);
    constexpr double kWork = 50, kPatience = 2000;
    for (double from : {0.0, 60'000.0}) {
        double free_at = from;
        int failed = 0;
        std::vector<bool> watches(100, false);
        std::multimap<double, std::pair<std::size_t, bool>>
            ends;  // of calls: whose, and whether it was served
        for (auto& g : nodes) g.list(from, {entry(1)}, from == 0 ? UpdateKind::Cached : UpdateKind::Failed);
        for (double now = from; now < from + 30'000; now += 1) {
            for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin())) {
                auto [who, served] = ends.begin()->second;
                watches[who] = served;
                failed += !served;
                nodes[who].list(now, {}, served ? UpdateKind::Delta : UpdateKind::Failed);
            }
            for (std::size_t n = 0; n < nodes.size(); ++n)
                if (!all_of<WatchEndpoints>(nodes[n].run_to(now)).empty()) {
                    free_at = std::max(now, free_at) + kWork;
                    bool served = free_at <= now + kPatience;
                    ends.emplace(std::min(free_at, now + kPatience), std::pair{n, served});
                }
            if (now == from + 12'000) {
                EXPECT_GE(std::count(watches.begin(), watches.end(), true), 95) << "from " << from;
            }
        }
        EXPECT_EQ(std::count(watches.begin(), watches.end(), true), 100) << "from " << from;
        EXPECT_LT(failed, 50) << "from " << from;
    }
}

// In a fleet of any size each node subscribes before its missing list counts as stale.
TEST(EndpointRegistry, SubscribesWithinSecondsInAnyFleet) {
    for (int nodes : {0, 1, 3, 100, 10'000, 1'000'000}) {
        Settings set = unprobed();
        set.polls_discovery = set.watches_discovery = true;
        set.node_count = std::max(1, nodes);
        set.node_index = set.node_count - 1;
        Gateway g(set);
        g.list(0, {entry(1)}, UpdateKind::Cached);
        EXPECT_EQ(all_of<WatchEndpoints>(g.run_to(10'000)).size(), 1u) << nodes;
        for (double failed : {10'001.0, 50'001.0, 100'001.0}) {
            g.list(failed, {}, UpdateKind::Failed);
            EXPECT_EQ(all_of<WatchEndpoints>(g.run_to(failed + 30'000)).size(), 1u) << nodes;
        }
    }
}

// In a release a list is outdated within a second: a node whose calls fail for a while must retry soon.
TEST(EndpointRegistry, RetriesSoonAfterRepeatedFailures) {
    Settings set = unprobed();
    set.polls_discovery = set.watches_discovery = true;
    Gateway g(set);
    g.list(0, {entry(1)}, UpdateKind::Cached);
    double subscribed_at = 0, longest = 0;
    for (int failures = 0; failures < 12; ++failures) {
        g.tell(subscribed_at + 170, EndpointUpdate{UpdateKind::Failed, {}});
        double from = subscribed_at + 170, now = from;
        while (now < from + 10'000 && all_of<WatchEndpoints>(g.run_to(now)).empty()) now += 5;
        ASSERT_LT(now, from + 10'000);
        subscribed_at = now;
        longest = std::max(longest, subscribed_at - from);
        if (failures == 0) {
            EXPECT_LT(subscribed_at - from, 400);
        }
    }
    EXPECT_LT(longest, 1'850);
    EXPECT_GT(longest, 600) << "many nodes must not subscribe all the time";
}

// Where endpoints are replaced for good, memory for unlisted ones must not grow.
TEST(EndpointRegistry, ForgetsEndpointsUnlistedForLong) {
    Gateway g(unprobed());
    auto replace = [&](EndpointId from, EndpointId to) {
        for (EndpointId id = from; id < to; ++id) g.list(1000.0 * id, {entry(id), entry(id + 1)});
    };
    replace(1, 200);
    std::size_t before = mallinfo2().uordblks;  // zero under the sanitizers, which have memory of their own
    replace(200, 4000);
    EXPECT_LT(mallinfo2().uordblks, before + 200'000);
    g.arrive(4'000'000, 1);
    auto to = sent_to(g.arrive(4'000'001, 2));
    ASSERT_TRUE(to);
    EXPECT_GE(*to, 3999u);
}

}  // namespace
}  // namespace ochrehub::testing
