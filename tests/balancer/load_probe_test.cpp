// Load probe: by hand-built events in virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace ochrehub::testing {
namespace {

TEST(LoadProbe, ProbesTwoEndpointsAndSendsToTheIdleOne) {
    Gateway g(settings_with_load_reports());
    g.list(0, {entry(1), entry(2)});
    auto arrived = g.arrive(3000, 1);
    auto probes = all_of<Probe>(arrived);
    ASSERT_EQ(probes.size(), 2u);
    EXPECT_FALSE(sent_to(arrived));
    EXPECT_FALSE(sent_to(g.probe(3001, 1, Outcome::Ok, 3, 2)));
    EXPECT_EQ(sent_to(g.probe(3001, 2, Outcome::Ok, 0, 0)), EndpointId{2});
}

TEST(LoadProbe, SkipsEndpointThatDoesNotAnswer) {
    Gateway g(settings_with_load_reports());
    g.list(0, {entry(1), entry(2)});
    ASSERT_EQ(all_of<Probe>(g.arrive(3000, 1)).size(), 2u);
    EXPECT_FALSE(sent_to(g.probe(3001, 2, Outcome::Ok, 1, 0)));
    EXPECT_EQ(sent_to(g.run_to(3010)), EndpointId{2});
}

TEST(LoadProbe, RequestWaitsWhileEveryEndpointIsFull) {
    Gateway g(settings_with_load_reports());
    g.list(0, {entry(1), entry(2)});
    auto arrived = g.arrive(3000, 1);
    g.probe(3001, 1, Outcome::Ok, 9, 8);
    EXPECT_FALSE(sent_to(g.probe(3001, 2, Outcome::Ok, 9, 8)));
}

// Endpoints with full queues that report being idle must not attract all requests.
TEST(LoadProbe, IgnoresReportsContradictedByOwnRequests) {
    Gateway g(settings_with_load_reports());
    g.list(0, {entry(1), entry(2)});
    std::map<EndpointId, int> sends;
    for (RequestId i = 0; i < 100; ++i) {
        double t = 3000 + 20 * double(i);
        // 1 always reports that it is idle, and rejects every request; 2 holds one of another node's.
        auto serve = [](EndpointId s) {
            return s == 1 ? std::pair{Outcome::Rejected, 1.0} : std::pair{Outcome::Ok, 13.0};
        };
        auto report = [](EndpointId s) { return s == 1 ? 0.0 : 1.0; };
        g.play(t + 19, g.arrive(t, i), serve, report, [&](EndpointId s) { sends[s] += i >= 20; });
    }
    EXPECT_GT(sends[2], 2 * sends[1]);
}

// With costly probes a request must not pay for several of them.
TEST(LoadProbe, IsSkippedWhenItCostsMoreThanItGains) {
    Settings set = settings_with_load_reports();
    set.probe_cost = 0.05;
    Gateway g(set);
    g.list(0, {entry(1), entry(2)});
    std::size_t probes = 0;
    int served = 0;
    for (RequestId i = 0; i < 100; ++i) {
        double t = 3000 + 20 * double(i);
        Actions actions = g.arrive(t, i);
        for (const Probe& p : all_of<Probe>(actions)) {
            ++probes;
            for (const Action& a : g.probe(t + 1, p.endpoint, Outcome::Ok, 0, 0)) actions.push_back(a);
        }
        auto to = sent_to(actions);
        if (!to) continue;
        ++served;
        g.ok(t + 10, i, *to, 10);
    }
    EXPECT_LE(probes, 2u);
    EXPECT_GE(served, 95);
}

struct BatchedLoadResult {
    int offered = 0, served = 0, probes = 0;
    double waited_ms = 0;
};

/// As a platform hands events over: in batches `granularity` apart, timers before answers. Probes are
/// answered `network_delay_ms` after they were sent; requests have 150 ms.
BatchedLoadResult run_in_batches(double granularity, double network_delay_ms, bool load_reports,
                                 double per_s = 200, EndpointId endpoints = 4, double took = 20) {
    Settings set = make_settings();
    set.probes_report_load = load_reports;
    set.clock_granularity = Duration{granularity};
    for (ClassSettings& c : set.classes) c.latency_objective = c.request_timeout = Duration{150};
    Gateway g(set);
    std::vector<EndpointEntry> fleet;
    for (EndpointId s = 1; s <= endpoints; ++s) fleet.push_back(entry(s));
    g.list(0, fleet);
    BatchedLoadResult all;
    std::multimap<double, Event> answers;
    std::map<RequestId, double> came;
    std::map<EndpointId, double> held;
    RequestId id = 0;
    auto take = [&](const Actions& actions) {
        for (const Action& action : actions) {
            if (const auto* f = std::get_if<Forward>(&action)) {
                all.waited_ms += g.now - came[f->request];
                ++held[f->endpoint];
                answers.emplace(
                    g.now + took,
                    AttemptEnded{f->request, 0, f->endpoint, Outcome::Ok, Duration{took}, true, {}});
            } else if (const auto* p = std::get_if<Probe>(&action)) {
                ++all.probes;
                double n = held[p->endpoint];
                LoadReport report{n, std::max(0.0, n - 16), {}};
                answers.emplace(g.now + network_delay_ms,
                                ProbeEnded{p->endpoint, Outcome::Ok, Duration{network_delay_ms}, report});
            }
        }
    };
    for (double t = granularity; t < 10'000; t += granularity) {
        g.now = t;
        take(g.run_to(t));
        while (!answers.empty() && answers.begin()->first <= t) {
            Event event = answers.begin()->second;
            answers.erase(answers.begin());
            if (const auto* end = std::get_if<AttemptEnded>(&event)) {
                all.served += t - came[end->request] <= 150;
                --held[end->endpoint];
            }
            take(g.tell(t, event));
        }
        for (; double(id) * 1000 / per_s < t && t < 9500; ++id) {
            came[id] = t;
            ++all.offered;
            take(g.arrive(t, id, 0, 150));
        }
    }
    return all;
}

// A load probe must still be fresh when its result is processed in a coarse batch, and must serve all waiting
// requests.
TEST(LoadProbe, IsInTimeUnderCoarseClockGranularity) {
    for (double granularity : {1.0, 2.0, 5.0, 10.0, 20.0, 40.0}) {
        BatchedLoadResult seen = run_in_batches(granularity, 1, true);
        EXPECT_GT(seen.served, 0.97 * seen.offered) << granularity;
        EXPECT_LT(seen.probes, 2.5 * seen.offered) << granularity;
    }
}

TEST(LoadProbe, IsInTimeUnderLongRoundTrips) {
    for (double network_delay_ms : {1.0, 4.0, 7.0, 15.0, 40.0}) {
        BatchedLoadResult seen = run_in_batches(1, network_delay_ms, true);
        EXPECT_GT(seen.served, 0.97 * seen.offered) << network_delay_ms;
        EXPECT_LT(seen.probes, 2.5 * seen.offered) << network_delay_ms;
        EXPECT_LT(seen.waited_ms, (network_delay_ms + 2) * seen.offered) << network_delay_ms;
    }
}

// Load probes must not limit a node to one or two waiting requests at a time.
TEST(LoadProbe, DoesNotDelayABusyNode) {
    BatchedLoadResult seen = run_in_batches(1, 0.5, true, 1000, 13, 30);
    EXPECT_GT(seen.served, 0.98 * seen.offered);
}

}  // namespace
}  // namespace ochrehub::testing
