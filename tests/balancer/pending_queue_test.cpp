// Pending queue: by hand-built events in virtual time.
#include <gtest/gtest.h>

#include <algorithm>

#include "balancer/balancer_fixture.h"

namespace ochrehub::testing {
namespace {

TEST(PendingQueue, RejectsWithRetryAfterWhenObjectiveCannotBeMet) {
    Settings set = unprobed();
    set.retry_after = true;
    set.max_retry_after = Duration{2000};
    Gateway g(set);
    g.list(0, {entry(1)});
    ASSERT_TRUE(sent_to(g.arrive(10, 1)));      // one at a time until a connection stands
    EXPECT_FALSE(sent_to(g.arrive(11, 2, 1)));  // waits here
    auto later = g.run_to(411);
    auto refused = all_of<Reject>(later);
    ASSERT_EQ(refused.size(), 1u);
    EXPECT_EQ(refused[0].request, 2u);
    EXPECT_GT(refused[0].retry_after.count(), 0);
    EXPECT_LE(refused[0].retry_after.count(), 2000);
}

TEST(PendingQueue, SendsHighestPriorityFirst) {
    Settings set = unprobed();
    set.classes[1].priority_weight = 10;
    Gateway g(set);
    g.list(0, {entry(1)});
    ASSERT_TRUE(sent_to(g.arrive(10, 1)));
    g.arrive(11, 2, 0);
    g.arrive(12, 3, 1);
    auto sends = all_of<Forward>(g.ok(60, 1, 1));
    ASSERT_FALSE(sends.empty());
    EXPECT_EQ(sends[0].request, 3u);
}

// A slow period must not leave an estimate so long that every later request is rejected on arrival.
TEST(PendingQueue, AdmitsAgainAfterASlowPeriod) {
    Gateway g(unprobed());
    g.list(0, {entry(1), entry(2)});
    int served = 0;
    for (RequestId i = 0; i < 400; ++i) {  // forty seconds, the first twenty of them slow
        double t = 10 + 100 * double(i);
        auto serve = [&](EndpointId) { return std::pair{Outcome::Ok, i < 200 ? 440.0 : 50.0}; };
        auto count = [&](EndpointId) { served += i >= 300; };
        g.play(
            t + 99, g.arrive(t, i), serve, [](EndpointId) { return 0.0; }, count);
    }
    EXPECT_GE(served, 90);  // of the last hundred
}

// A rejection after half the deadline is too late for the client to retry.
TEST(PendingQueue, RejectsBeforeHalfTheDeadlineWhenNoEndpointAccepts) {
    Settings set = unprobed();
    for (ClassSettings& c : set.classes) c.late_response_weight = 0.5;
    for (int cls : {0, 1, 2}) {
        Gateway g(set);
        g.list(0, {});
        EXPECT_TRUE(all_of<Reject>(g.arrive(10, 1, cls, 800)).empty());
        EXPECT_TRUE(all_of<Reject>(g.run_to(10 + 0.46 * 800)).empty());
        EXPECT_EQ(all_of<Reject>(g.run_to(10 + 0.48 * 800)).size(), 1u);
    }
}

// A response that will most likely be late must not use an endpoint while all are slow.
TEST(PendingQueue, StartsNothingThatCannotFinishInTypicalTime) {
    Settings set = unprobed();
    set.classes[0].late_response_weight = 0.5;
    Gateway g(set);
    g.list(0, {entry(1)});
    for (RequestId id = 1; id <= 60; ++id)
        if (auto to = sent_to(g.arrive(300.0 * double(id), id))) g.ok(300.0 * double(id) + 150, id, *to, 150);
    EXPECT_FALSE(sent_to(g.arrive(20'000, 100, 0, 215)).has_value());
    EXPECT_TRUE(sent_to(g.arrive(20'100, 101, 0, 400)).has_value());
}

// With a thousand nodes a quota share is under one request a second: not every request is over quota.
TEST(RequestPriority, RequestWithinASmallQuotaShareIsNotOverQuota) {
    Settings set = unprobed();
    set.tenants = {{0.05, 0.5}};
    set.over_quota_weight = 0.1;
    Gateway g(set);
    g.list(0, {entry(1)});
    ASSERT_TRUE(sent_to(g.arrive(5000, 1)));
    RequestArrived repeat;
    repeat.request = 2;
    repeat.deadline = at(12000);
    repeat.is_client_retry = true;
    g.tell(5010, repeat);
    RequestArrived first = repeat;
    first.request = 3;
    first.tenant = 0;
    first.is_client_retry = false;
    g.tell(5020, first);
    auto sent = all_of<Forward>(g.ok(5050, 1, 1, 50));
    ASSERT_FALSE(sent.empty());
    EXPECT_EQ(sent.front().request, 3u);
}

// A node with few events must send a waiting request when capacity frees up, not at the next arrival.
TEST(PendingQueue, ReconsidersWaitingRequestWithoutAnotherEvent) {
    Settings set = unprobed();
    set.node_count = 4;  // limits below one: sends to one endpoint are spaced
    Gateway g(set);
    g.list(0, {entry(1)});
    g.arrive(5000, 1);
    g.ok(5050, 1, 1, 50);
    auto first = g.arrive(5060, 2);
    ASSERT_FALSE(sent_to(first));
    EXPECT_TRUE(sent_to(g.run_to(5380)));
}

// The margin for the response to the client must shrink with the deadline.
TEST(PendingQueue, AcceptsDeadlinesOfAFewMilliseconds) {
    for (double deadline : {5.0, 8.0, 20.0}) {
        Settings set = unprobed();
        for (ClassSettings& c : set.classes) c.latency_objective = c.request_timeout = Duration{deadline};
        Gateway g(set);
        g.list(0, {entry(1)});
        auto serve = [&](EndpointId, double) { return std::pair{Outcome::Ok, 0.42 * deadline}; };
        EXPECT_GT(send_steady_load(g, 1000, 10'000, 40, serve, 0, deadline).share(), 0.98) << deadline;
    }
}

// A retry-after beyond the client deadline is of no use.
TEST(PendingQueue, RetryAfterStaysWithinTheClientDeadline) {
    for (double deadline : {100.0, 200.0, 400.0, 600.0, 2000.0}) {
        Settings set = unprobed();
        set.retry_after = true;
        set.max_retry_after = Duration{1200};
        for (ClassSettings& c : set.classes) c.latency_objective = c.request_timeout = Duration{deadline};
        Gateway g(set);
        g.list(0, {});
        double least = 1e9, most = 0;
        for (RequestId id = 0; id < 200; ++id) {
            g.arrive(g.now + 10, id, 0, deadline);
            for (const Reject& r : all_of<Reject>(g.run_to(g.now + deadline))) {
                least = std::min(least, r.retry_after.count());
                most = std::max(most, r.retry_after.count());
            }
        }
        bool sooner = deadline < 500;
        EXPECT_NEAR(least, sooner ? deadline / 4 : 500, 15) << deadline;
        EXPECT_NEAR(most, sooner ? 0.75 * deadline : 1200, 15) << deadline;
    }
}

}  // namespace
}  // namespace ochrehub::testing
