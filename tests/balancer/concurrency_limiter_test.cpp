// Concurrency limiter: by hand-built events in virtual time.
#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "balancer/balancer_fixture.h"

namespace ochrehub::testing {
namespace {

// A limit of one request for each of two nodes would leave an endpoint idle while requests wait elsewhere.
TEST(ConcurrencyLimiter, AllowsThreeRequestsPerEndpointWithTwoNodesInASlowPeriod) {
    Settings set = unprobed();
    set.node_count = 2;
    set.classes[0].late_response_weight = 0.5;
    Gateway g(set);
    g.list(0, {entry(1), entry(2), entry(3)});
    for (RequestId id = 1; id <= 100; ++id) {
        double t = 200.0 * double(id), took = id < 88 ? 20 : 199;
        if (auto to = sent_to(g.arrive(t, id))) g.ok(t + took, id, *to, took);
    }
    int sent = 0;
    for (RequestId id = 101; id <= 110; ++id) sent += sent_to(g.arrive(20'300, id)).has_value();
    EXPECT_EQ(sent, 9);  // a limit of 2.5 at each of three
}

// The typical latency must not be capped far below the objective: every response would seem slow, and limits
// would never grow.
TEST(ConcurrencyLimiter, GrowsWhenTheObjectiveIsCloseToTypicalLatency) {
    for (double objective : {170.0, 150.0, 130.0})
        for (bool late : {false, true}) {
            Settings set = unprobed();
            for (ClassSettings& c : set.classes)
                c.latency_objective = Duration{objective}, c.late_response_weight = late ? 0.5 : 0;
            Gateway g(set);
            g.list(0, {entry(1), entry(2), entry(3), entry(4)});
            std::mt19937 random(7);
            std::lognormal_distribution<double> took(std::log(100), 0.1);
            auto serve = [&](EndpointId, double) { return std::pair{Outcome::Ok, took(random)}; };
            EXPECT_GT(send_steady_load(g, 10'000, 25'000, 400, serve).share(), 0.98)
                << objective << (late ? ", late" : "");
        }
}

// A long slow period must not raise the typical latency: limits stay where they are at slow endpoints.
TEST(ConcurrencyLimiter, SlowPeriodDoesNotRaiseTypicalLatencyUnderWideObjectives) {
    Settings set = unprobed();
    for (ClassSettings& c : set.classes) c.latency_objective = Duration{150}, c.late_response_weight = 0.5;
    Gateway g(set);
    g.list(0, {entry(1), entry(2)});
    auto soon = [](EndpointId, double) { return std::pair{Outcome::Ok, 20.0}; };
    auto slow = [](EndpointId, double) { return std::pair{Outcome::Ok, 200.0}; };
    send_steady_load(g, 0, 5000, 100, soon);
    send_steady_load(g, 5000, 35'000, 200, slow);
    int held = 0;
    for (RequestId id = 1; id <= 40; ++id) held += sent_to(g.arrive(g.now + 250 * (id == 1), id)).has_value();
    EXPECT_LE(held, 12) << "six at each";
}

}  // namespace
}  // namespace ochrehub::testing
