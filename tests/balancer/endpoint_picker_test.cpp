// Endpoint picker: by hand-built events in virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "balancer/balancer_fixture.h"

namespace ochrehub::testing {
namespace {

TEST(EndpointPicker, RotatesOverEqualEndpoints) {
    Gateway g(unprobed());
    g.list(0, {entry(1), entry(2), entry(3)});
    std::map<EndpointId, int> sends;
    for (int i = 0; i < 9; ++i) {
        auto to = sent_to(g.arrive(10 + 100 * i, RequestId(i)));
        ASSERT_TRUE(to);
        ++sends[*to];
        g.ok(60 + 100 * i, RequestId(i), *to);
    }
    EXPECT_EQ(sends, (std::map<EndpointId, int>{{1, 3}, {2, 3}, {3, 3}}));
}

TEST(EndpointPicker, FollowsListWeightsSmoothly) {
    Gateway g(unprobed());
    auto heavy = entry(1);
    heavy.weight = 3;
    g.list(0, {heavy, entry(2)});
    std::map<EndpointId, int> sends;
    int longest = 0, run = 0;
    open_connections(g, {1, 2});
    for (int i = 0; i < 40; ++i) {
        auto to = sent_to(g.arrive(10 + 100 * i, RequestId(i)));
        ASSERT_TRUE(to);
        ++sends[*to];
        run = *to == 1 ? run + 1 : 0;
        longest = std::max(longest, run);
        g.ok(60 + 100 * i, RequestId(i), *to);
    }
    EXPECT_NEAR(sends[1], 30, 2);
    EXPECT_LE(longest, 4);  // smooth: the light endpoint's turns are spread between the heavy one's
}

TEST(EndpointPicker, PrefersNextEndpointWithFewerRequestsInFlight) {
    Gateway g(unprobed());
    g.list(0, {entry(1), entry(2)});
    open_connections(g, {1, 2});
    auto first = sent_to(g.arrive(100, 1));
    auto second = sent_to(g.arrive(101, 2));
    ASSERT_TRUE(first && second);
    ASSERT_NE(*first, *second);
    g.ok(150, 2, *second);
    // In turn is the first again, but it still holds a request and the other does not.
    EXPECT_EQ(sent_to(g.arrive(151, 3)), second);
}

// With no endpoint in the local zone every request crosses, whatever its priority.
TEST(EndpointPicker, CrossesZonesAtOnceWhenTheLocalZoneIsEmpty) {
    Settings set = unprobed();
    set.cross_zone_cost = 0.2;
    Gateway g(set);
    g.list(0, {entry(1, 1), entry(2, 2)});
    int served = 0;
    for (RequestId i = 0; i < 50; ++i) {
        auto to = sent_to(g.arrive(100 + 100.0 * double(i), i));
        if (!to) continue;
        ++served;
        g.ok(130 + 100.0 * double(i), i, *to, 30);
    }
    EXPECT_EQ(served, 50);
}

TEST(EndpointPicker, CostlyCrossZoneSendWaitsUntilTheDeadlineIsClose) {
    Settings set = unprobed();
    set.cross_zone_cost = 0.2;
    Gateway g(set);
    g.list(0, {entry(1, 0), entry(2, 1)});
    EXPECT_EQ(sent_to(g.arrive(10, 1)), EndpointId{1});
    EXPECT_FALSE(sent_to(g.arrive(11, 2)));  // the local one takes one at a time until it has answered
    EXPECT_EQ(sent_to(g.arrive(200, 3)), EndpointId{2});  // the second has waited long enough by now
}

// With cheap crossing, requests of a node with little load must still stay in its zone.
TEST(EndpointPicker, CheapCrossZoneSendCountsAsOneMoreRequestInFlight) {
    Settings set = unprobed();
    set.cross_zone_cost = 0.01;
    Gateway g(set);
    g.list(0, {entry(1, 0), entry(2, 1)});
    open_connections(g, {1, 2});
    for (RequestId i = 1; i <= 20; ++i) {
        double t = 100 * double(i);
        EXPECT_EQ(sent_to(g.arrive(t, i)), EndpointId{1});
        g.ok(t + 50, i, 1);
    }
    // A zone with more callers than endpoints still spreads.
    std::map<EndpointId, int> sends;
    for (RequestId i = 100; i < 104; ++i)
        for (const Forward& f : all_of<Forward>(g.arrive(3000 + double(i), i))) ++sends[f.endpoint];
    EXPECT_GE(sends[2], 1);
}

// Overloaded zones must not send each other requests that neither can serve.
TEST(EndpointPicker, AvoidsCostlyCrossZoneSendsWhileTheyFail) {
    Settings set = unprobed();
    set.cross_zone_cost = 0.2;
    Gateway g(set);
    g.list(0, {entry(1, 0), entry(2, 1)});
    g.arrive(10, 1);  // keeps the local one busy
    int crossed = 0;
    for (RequestId i = 2; i < 42; ++i) {
        double t = 20 + 10 * double(i);
        auto sent = all_of<Forward>(g.arrive(t, i, 1));
        for (const Forward& f : sent) g.end(t + 5, f.request, 0, f.endpoint, Outcome::Rejected, 5);
        crossed += int(sent.size());
    }
    EXPECT_LE(crossed, 8);
}

}  // namespace
}  // namespace ochrehub::testing
