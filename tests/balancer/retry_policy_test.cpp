// Retry policy: by hand-built events in virtual time.
#include <gtest/gtest.h>

#include <vector>

#include "balancer/balancer_fixture.h"

namespace ochrehub::testing {
namespace {

TEST(RetryPolicy, RetriesEveryClassWhenTheAttemptNeverRan) {
    for (int cls = 0; cls < 3; ++cls)
        for (Outcome outcome : {Outcome::Rejected, Outcome::ConnectFailed}) {
            Gateway g(unprobed());
            g.list(0, {entry(1), entry(2)});
            auto first = sent_to(g.arrive(10, 1, cls));
            ASSERT_TRUE(first);
            auto second = sent_to(g.end(15, 1, 0, *first, outcome, 5));
            ASSERT_TRUE(second);
            EXPECT_NE(*first, *second);
        }
}

TEST(RetryPolicy, FailsNonIdempotentRequestThatMayHaveRun) {
    for (Outcome outcome : {Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled}) {
        Gateway g(unprobed());
        g.list(0, {entry(1), entry(2)});
        auto to = sent_to(g.arrive(10, 1, 1));
        ASSERT_TRUE(to);
        auto after = g.end(15, 1, 0, *to, outcome, 5);
        EXPECT_FALSE(sent_to(after));
        EXPECT_EQ(all_of<Fail>(after).size(), 1u);
        EXPECT_TRUE(all_of<Reject>(after).empty());
    }
}

TEST(RetryPolicy, FailsAtOnceOnTimeoutAtTheDeadline) {
    Gateway g(unprobed());
    g.list(0, {entry(1)});
    ASSERT_TRUE(sent_to(g.arrive(10, 1, 1)));
    auto after = g.end(1010, 1, 0, 1, Outcome::Timeout, 1000);
    EXPECT_EQ(all_of<Fail>(after).size(), 1u);
}

// Requests past their objective must not fill endpoint queues and delay those behind them.
TEST(RetryPolicy, TimesOutAtLatencyObjectiveWhenCancelIsAllowed) {
    for (bool cancel : {false, true}) {
        Settings set = unprobed();
        set.cancel = cancel;
        Gateway g(set);
        g.list(0, {entry(1)});
        auto sends = all_of<Forward>(g.arrive(10, 1));
        ASSERT_EQ(sends.size(), 1u);
        EXPECT_DOUBLE_EQ(sends[0].timeout.count(), cancel ? 400 : 0);
        auto after = g.end(410, 1, 0, 1, Outcome::Timeout, 400);
        EXPECT_EQ(all_of<Reject>(after).size(), 1u);
    }
}

TEST(RetryPolicy, RetryBudgetEndsARunOfErrors) {
    Gateway g(unprobed());
    std::vector<EndpointEntry> endpoints;
    for (EndpointId id = 1; id <= 20; ++id) endpoints.push_back(entry(id));
    g.list(0, endpoints);
    int retried = 0;
    for (RequestId i = 0; i < 60; ++i) {
        double t = 10 + 30 * double(i);
        auto to = sent_to(g.arrive(t, i));
        if (!to) continue;
        auto again = sent_to(g.end(t + 5, i, 0, *to, Outcome::Error, 5));
        retried += again.has_value();
        if (again) g.end(t + 10, i, 1, *again, Outcome::Ok, 5, true);
    }
    EXPECT_GT(retried, 3);
    EXPECT_LT(retried, 25);  // a fifth of the first tries and a small burst
}

// The deduplication window must also hold on a connection that is established late.
TEST(RetryPolicy, RetryCarriesWriteDeadlineWhenFirstAttemptMayHaveRun) {
    Settings set = unprobed();
    set.classes[2].deduplication_window = Duration{300};
    set.clock_granularity = Duration{2};
    Gateway g(set);
    g.list(0, {entry(1), entry(2)});
    auto first = all_of<Forward>(g.arrive(100, 1, 2));
    ASSERT_EQ(first.size(), 1u);
    EXPECT_EQ(first[0].send_deadline, TimePoint::max()) << "no repeat";
    auto again = all_of<Forward>(g.end(150, 1, 0, first[0].endpoint, Outcome::Reset));
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(again[0].send_deadline, at(100 + 300 - 4));
    g.end(155, 1, 1, again[0].endpoint, Outcome::Ok, 5, true);
    auto free = all_of<Forward>(g.arrive(160, 2, 0));
    ASSERT_EQ(free.size(), 1u);
    auto more = all_of<Forward>(g.end(170, 2, 0, free[0].endpoint, Outcome::Reset));
    ASSERT_EQ(more.size(), 1u);
    EXPECT_EQ(more[0].send_deadline, TimePoint::max()) << "may be repeated at any time";
}

// In a release a request must not use up its attempts at one draining endpoint after another.
TEST(RetryPolicy, AvoidsRejectingEndpointBriefly) {
    Gateway g(unprobed());
    std::vector<EndpointEntry> fleet;
    for (EndpointId s = 1; s <= 6; ++s) fleet.push_back(entry(s));
    g.list(0, fleet);
    int rejected = 0, served = 0, refused = 0;
    for (RequestId i = 0; i < 400; ++i) {
        Actions actions = g.arrive(10 + 5 * double(i), i);
        for (int attempt = 0; !actions.empty();) {
            auto to = sent_to(actions);
            refused += int(all_of<Reject>(actions).size());
            if (!to) break;
            bool drains = *to <= 4;
            (drains ? rejected : served) += 1;
            actions = g.end(g.now + 0.5, i, attempt++, *to, drains ? Outcome::Rejected : Outcome::Ok,
                            drains ? 0.5 : 20, !drains);
        }
    }
    EXPECT_GT(served, 380);
    EXPECT_LT(rejected, 60);
    EXPECT_EQ(refused, 0);
}

// An endpoint that rejected a request is not avoided when no other can take requests.
TEST(RetryPolicy, KeepsUsingTheLastEndpointWhenItRejects) {
    for (EndpointId endpoints : {1u, 2u}) {
        Settings set = unprobed();
        for (ClassSettings& c : set.classes) c.latency_objective = c.request_timeout = Duration{100};
        Gateway g(set);
        std::vector<EndpointEntry> fleet;
        for (EndpointId s = 1; s <= endpoints; ++s) fleet.push_back(entry(s));
        g.list(0, fleet);
        int n = 0;
        auto serve = [&](EndpointId, double) {
            return ++n % 25 == 0 ? std::pair{Outcome::Rejected, 1.0} : std::pair{Outcome::Ok, 10.0};
        };
        EXPECT_GT(send_steady_load(g, 1000, 20'000, 100, serve, 0, 100).share(), 0.94) << endpoints;
    }
}

TEST(RetryPolicy, DoesNotRetryARequestThatCannotBeReplayed) {
    for (bool replayable : {true, false}) {
        Gateway g(unprobed());
        g.list(0, {entry(1), entry(2)});
        auto to = sent_to(g.arrive(10, 1, 1));
        ASSERT_TRUE(to);
        Actions actions =
            g.tell(20, AttemptEnded{1, 0, *to, Outcome::ConnectFailed, Duration{10}, false, {}, replayable});
        EXPECT_EQ(sent_to(actions).has_value(), replayable);
        EXPECT_EQ(all_of<Reject>(actions).size(),
                  replayable ? 0u : 1u);  // it never ran: the client may try again
    }
}

}  // namespace
}  // namespace ochrehub::testing
