// Health tracker: by hand-built events in virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace ochrehub::testing {
namespace {

TEST(HealthTracker, EjectsAfterThreeFailuresAndReturnsAfterTwoSuccesses) {
    Settings set = make_settings();
    Gateway g(set);
    g.list(0, {entry(1), entry(2)});
    auto failing = [](EndpointId s) { return s == 1 ? Outcome::Timeout : Outcome::Ok; };
    int failures = 0;
    double ejected_at = 0;
    for (double t = 0; t < 20000 && ejected_at == 0; t += 10) {
        for (const Action& a : g.run_to(t))
            if (const auto* p = std::get_if<Probe>(&a)) {
                failures += p->endpoint == 1;
                if (!all_of<Log>(g.probe(t, p->endpoint, failing(p->endpoint))).empty()) ejected_at = t;
            }
    }
    EXPECT_EQ(failures, 3);
    EXPECT_LT(ejected_at, 10000);
    for (RequestId i = 0; i < 6; ++i) {
        auto to = sent_to(g.arrive(ejected_at + 1 + double(i), i));
        ASSERT_TRUE(to);
        EXPECT_EQ(*to, 2u);
        g.ok(ejected_at + 1.5 + double(i), i, *to, 0.5);
    }
    int successes = 0;
    bool back = false;
    for (double t = ejected_at + 10; t < ejected_at + 20000 && !back; t += 10) {
        for (const Action& a : g.run_to(t))
            if (const auto* p = std::get_if<Probe>(&a)) {
                successes += p->endpoint == 1;
                g.probe(t, p->endpoint, Outcome::Ok);
            }
        RequestId id = RequestId(t * 10);
        for (RequestId k = 0; k < 2; ++k) {
            auto to = sent_to(g.arrive(t, id + k));
            ASSERT_TRUE(to);
            back = back || *to == 1;
            g.ok(t, id + k, *to, 0.5);
        }
    }
    EXPECT_TRUE(back);
    EXPECT_EQ(successes, 2);
}

TEST(HealthTracker, KeepsStatusUnderFlappingProbes) {
    Gateway g;
    g.list(0, {entry(1)});
    int n = 0;
    auto flapping = [&n](EndpointId) {
        return ++n % 3 == 0 ? Outcome::Ok : Outcome::Timeout;
    };  // never three in a row
    EXPECT_TRUE(all_of<Log>(g.run_probed(30000, flapping)).empty());
    EXPECT_GT(n, 10);
}

TEST(HealthTracker, FailsUnansweredProbeAtItsTimeout) {
    Gateway g;
    g.list(0, {entry(1)});
    auto actions = g.run_to(10000);  // no result ever comes
    EXPECT_EQ(all_of<Log>(actions).size(), 1u);
}

TEST(HealthTracker, KeepsProbeIntervalBelowFiveSeconds) {
    Gateway g;
    g.list(0, {entry(1), entry(2), entry(3)});
    std::map<EndpointId, double> last;
    for (double t = 0; t < 30000; t += 5)
        for (const Action& a : g.run_to(t))
            if (const auto* p = std::get_if<Probe>(&a)) {
                EXPECT_LE(t - last[p->endpoint], 2010);
                last[p->endpoint] = t;
                g.probe(t, p->endpoint, Outcome::Ok);
            }
    EXPECT_EQ(last.size(), 3u);
}

TEST(HealthTracker, RequestsWaitThenEndInTimeWhenAllAreUnhealthy) {
    Gateway g;
    g.list(0, {entry(1), entry(2)});
    g.run_probed(10000, [](EndpointId) { return Outcome::ConnectFailed; });
    auto arrived = g.arrive(10001, 1, 1);
    EXPECT_FALSE(sent_to(arrived));
    EXPECT_TRUE(all_of<Reject>(arrived).empty());  // it waits for recovery
    auto later = g.run_to(10401);
    EXPECT_EQ(all_of<Reject>(later).size(), 1u);  // and is rejected before its objective has passed
}

// Endpoints pass few probes a second. The probe rate for Unhealthy endpoints must not grow as fewer are
// Healthy: none would pass two in a row, and the fleet would stay Unhealthy after the outage.
TEST(HealthTracker, FleetAnsweringTwoProbesPerSecondRecoversUnderOverload) {
    Settings set = make_settings();
    set.probe_cost = 0.03;
    Gateway g(set);
    std::vector<EndpointEntry> fleet;
    for (EndpointId s = 1; s <= 10; ++s) fleet.push_back(entry(s));
    g.list(0, fleet);
    std::map<EndpointId, std::vector<double>> probes;
    std::map<RequestId, int> attempts;
    RequestId id = 0;
    int served = 0;
    double most = 0;
    for (double t = 0; t < 25000; t += 5) {
        bool down = t > 2000 && t < 10000;
        std::vector<Action> actions = g.run_to(t);
        // 1,000 first tries a second, as clients send that are rejected and retry.
        for (int k = 0; k < 5; ++k)
            for (const Action& a : g.arrive(t, ++id)) actions.push_back(a);
        for (std::size_t i = 0; i < actions.size(); ++i) {
            if (const auto* p = std::get_if<Probe>(&actions[i])) {
                auto& last = probes[p->endpoint];
                // Another node's probes count too: of this one's, one in 500 ms is answered well.
                bool well = last.empty() || t - last.back() >= 500;
                if (well) last.push_back(t);
                Outcome up = well ? Outcome::Ok : Outcome::Error;
                auto more = g.probe(t, p->endpoint, down ? Outcome::ConnectFailed : up);
                actions.insert(actions.end(), more.begin(), more.end());
            } else if (const auto* f = std::get_if<Forward>(&actions[i])) {
                Outcome came = down ? Outcome::ConnectFailed : Outcome::Ok;
                auto more = g.end(t, f->request, attempts[f->request]++, f->endpoint, came, 2, !down);
                actions.insert(actions.end(), more.begin(), more.end());
                if (!down && t > 13000) ++served;
            }
        }
        most = t;
    }
    EXPECT_GT(served, 0.5 * (most - 13000)) << "of 1,000 a second";
}

TEST(HealthTracker, AnsweredLoadProbeReplacesTheIntervalProbe) {
    auto probes_in_ten_seconds = [](bool load_probes) {
        Gateway g(settings_with_load_reports());
        g.list(0, {entry(1)});
        g.run_probed(2999, [](EndpointId) { return Outcome::Ok; });
        std::size_t by_interval = 0;
        for (double t = 3000; t < 13000; t += 100) {
            auto some = g.run_probed(t, [](EndpointId) { return Outcome::Ok; });
            by_interval += all_of<Probe>(some).size();
            if (!load_probes) continue;
            g.arrive(t, RequestId(t));
            auto sent = all_of<Forward>(g.probe(t + 1, 1, Outcome::Ok, 0, 0));
            for (const Forward& f : sent) g.ok(t + 5, f.request, 1, 4);
        }
        return by_interval;
    };
    EXPECT_GE(probes_in_ten_seconds(false), 4u);
    EXPECT_LE(probes_in_ten_seconds(true), 1u);
}

/// Endpoint 1 of four fails from 1 s to `till_ms`; sends to it by when they were made.
std::vector<double> send_times_to_failing_endpoint(Gateway& g, double till_ms, double end_ms, int cls) {
    g.list(0, {entry(1), entry(2), entry(3), entry(4)});
    std::vector<double> tried;
    auto serve = [&](EndpointId s, double now) {
        if (s == 1) tried.push_back(now);
        return std::pair{s == 1 && now > 1000 && now < till_ms ? Outcome::Error : Outcome::Ok, 20.0};
    };
    send_steady_load(g, 0, end_ms, 50, serve, cls);
    return tried;
}

// Without probes, single requests find out whether an Unhealthy endpoint has recovered.
TEST(HealthTracker, UnhealthyEndpointReturnsWithoutProbes) {
    for (int cls : {0, 1, 2}) {
        Gateway g(unprobed());
        std::vector<double> tried = send_times_to_failing_endpoint(g, 21'000, 40'000, cls);
        auto between = [&](double from, double to) {
            return std::count_if(tried.begin(), tried.end(), [&](double t) { return t >= from && t < to; });
        };
        EXPECT_GT(between(0, 1000), 8) << cls;
        // Rests of 250 ms that double to 4 s: two in the first second, then four to eight, and never two at
        // once.
        EXPECT_LE(between(4000, 21'000), 9) << cls;
        EXPECT_GE(between(4000, 21'000), cls == 1 ? 1 : 3) << cls;
        for (std::size_t i = 1; i < tried.size(); ++i)
            if (tried[i - 1] > 4000 && tried[i] < 21'000) {
                EXPECT_GT(tried[i] - tried[i - 1], 250) << cls;
            }
        EXPECT_GT(between(32'000, 40'000), 60) << cls << ": a fourth of 400";
    }
}

// After an outage of all endpoints, requests take the place of probes, one at each endpoint at a time.
TEST(HealthTracker, FleetRecoversFromAnOutageWithoutProbes) {
    for (Outcome down : {Outcome::ConnectFailed, Outcome::Error, Outcome::Timeout}) {
        Gateway g(unprobed());
        g.list(0, {entry(1), entry(2), entry(3)});
        auto serve = [&](EndpointId, double now) {
            return std::pair{now > 5000 && now < 25'000 ? down : Outcome::Ok, 20.0};
        };
        EXPECT_GT(send_steady_load(g, 35'000, 45'000, 50, serve, 1).share(), 0.98) << int(down);
    }
}

}  // namespace
}  // namespace ochrehub::testing
