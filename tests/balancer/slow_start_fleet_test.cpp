// Slow start fleet: by hand-built events in virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace ochrehub::testing {
namespace {

// A new process must not use a whole budget on top of what its predecessor sent.
TEST(SlowStart, SuccessiveProcessesShareOneBudget) {
    Settings set = unprobed();
    set.classes.resize(1);
    auto starting = entry(1);
    starting.last_start = at(1000);
    double most = 0,
           usual = set.classes[0].latency_objective.count() /
                   4;  // what a request takes; nothing answered says otherwise
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::vector<double> sends;
        for (int life = 0; life < 12; ++life) {
            Gateway g(set, seed * 100 + std::uint64_t(life));
            double begins = 3000 + 400.0 * life;
            g.list(begins, {starting});
            for (RequestId i = 1; i < 200; ++i) {
                double t = begins + 2 * double(i);
                auto to = sent_to(g.arrive(t, i));
                if (!to) continue;
                sends.push_back(t);
                g.end(t + 1, i, 0, *to, Outcome::Rejected, usual);
            }
        }
        for (std::size_t i = 0; i < sends.size(); ++i) {
            double in_span = 0, share = std::min(1.0, 0.3 + 0.7 * (sends[i] - 1000) / 8000);
            for (std::size_t k = i; k < sends.size() && sends[k] < sends[i] + 2000; ++k) ++in_span;
            double budget = 2.5 * share * 2 * 1000 / 1.5 / usual;  // of one slot, at the span's begin
            most = std::max(most, (in_span - budget) / (2 * std::sqrt(budget) + 2));
        }
        EXPECT_GT(sends.size(), 5u) << seed;
    }
    EXPECT_LE(most, 1);
}

// Many nodes, each with notice of the same start, with more requests than the endpoint can carry: what they
// send together in any span stays under its budget, and it is not left idle either.
class SlowStartFleet : public ::testing::TestWithParam<int> {};

TEST_P(SlowStartFleet, SendsOfAllNodesStayWithinTheBudget) {
    int nodes = GetParam();
    Settings set = unprobed();
    set.node_count = nodes;
    set.slow_start_duration = Duration{8000};
    std::vector<double> sends;
    for (int k = 0; k < nodes; ++k) {
        Gateway g(set, std::uint64_t(k) * 7919 + 1);
        auto starting = entry(1);
        starting.last_start = at(1000);
        g.list(1, {entry(1)});
        g.list(1001 + 50.0 * k / nodes, {starting}, UpdateKind::Delta);
        double gap = std::max(20.0, nodes / 0.5);  // up to 500 requests a second in all
        for (RequestId i = 0;; ++i) {
            double t = 1100 + gap * (double(i) + double(k) / nodes);
            if (t >= 9000) break;
            // One core: 20 a second when warm, and as much slower during slow start.
            double share = std::min(1.0, 0.3 + 0.7 * (t - 1000) / 8000);
            auto sent = all_of<Forward>(g.arrive(t, i));
            for (std::size_t n = 0; n < sent.size(); ++n) {
                sends.push_back(t);
                auto more = all_of<Forward>(g.ok(t + 5, sent[n].request, sent[n].endpoint, 50 / share));
                sent.insert(sent.end(), more.begin(), more.end());
            }
        }
    }
    std::sort(sends.begin(), sends.end());
    ASSERT_GT(sends.size(), 10u);
    for (std::size_t i = 0; i < sends.size(); ++i) {
        std::size_t in_span = 0;
        for (std::size_t k = i; k < sends.size() && sends[k] < sends[i] + 2000; ++k) ++in_span;
        double share = std::min(1.0, 0.3 + 0.7 * (sends[i] - 1000) / 8000);
        EXPECT_LE(double(in_span), 2.5 * share * 20 * 2) << "from " << sends[i];
    }
}

INSTANTIATE_TEST_SUITE_P(Fleets, SlowStartFleet, ::testing::Values(1, 3, 1000));

// In a large fleet few nodes use an endpoint: a hundredth of the budget for each of a hundred nodes would
// leave it almost idle during slow start while others queue.
TEST(SlowStart, EndpointIsUsedWhenFewOfManyNodesSelectIt) {
    Settings set = make_settings();
    set.node_count = 100;
    set.probe_cost = 0.08;
    set.slow_start_duration = Duration{8000};
    std::vector<EndpointEntry> fleet;
    for (EndpointId id = 1; id <= 60; ++id) fleet.push_back(entry(id));
    std::vector<double> sends;  // to the first twenty, which start together
    for (int k = 0; k < 100; ++k) {
        set.node_index = k;
        Gateway g(set, std::uint64_t(k) * 7919 + 1);
        g.list(0, fleet);
        RequestId id = 0;
        for (double t = 10.0 + k / 2.0; t < 9000; t += 60) {
            if (t > 1010 && t < 1071) {
                std::vector<EndpointEntry> fresh(fleet.begin(), fleet.begin() + 20);
                for (EndpointEntry& one : fresh) one.last_start = at(1000);
                g.list(t - 1, fresh, UpdateKind::Delta);
            }
            g.run_probed(t, [](EndpointId) { return Outcome::Ok; });
            auto to = sent_to(g.arrive(t, ++id));
            if (!to) continue;
            double share = *to > 20 || t < 1071 ? 1 : 0.3 + 0.7 * (t - 1000) / 8000;
            if (*to <= 20 && t >= 1071) sends.push_back(t);
            g.ok(t + 5, id, *to, 50 / share);
        }
    }
    std::sort(sends.begin(), sends.end());
    // Twenty endpoints, each of 50 ms a send: 20 a second when warm. A third of what they could carry at the
    // least, twice at the most.
    for (double from = 2500; from + 1500 <= 8500; from += 1500) {
        auto in_span =
            std::count_if(sends.begin(), sends.end(), [&](double t) { return t >= from && t < from + 1500; });
        double could = 20 * 1.5 * 20 * (0.3 + 0.7 * (from - 1000) / 8000);
        EXPECT_GE(double(in_span), could / 3) << "from " << from;
        EXPECT_LE(double(in_span), could * 2) << "from " << from;
    }
}

// Weights that fall with load must not give an idle starting endpoint the largest budget.
TEST(SlowStart, IgnoresLiveWeightOfAStartingEndpoint) {
    auto sends_at = [](bool live, double warm_size) {
        Settings set = unprobed();
        set.classes.resize(1);
        set.weights_track_load = live;
        Gateway g(set);
        std::vector<EndpointEntry> fleet = {entry(1), entry(2), entry(3)};
        for (EndpointEntry& e : fleet) e.weight = warm_size;
        g.list(0, fleet);
        std::multimap<double, std::pair<RequestId, EndpointId>> in_flight;
        RequestId id = 0;
        int sends = 0;
        for (double t = 1; t < 22'000; t += 10) {
            if (id == 2000) {
                fleet.push_back(entry(4));
                fleet.back().last_start = at(t);
                g.list(t, fleet);
            }
            Actions all = g.run_to(t);
            auto add = [&](const Actions& more) { all.insert(all.end(), more.begin(), more.end()); };
            for (; !in_flight.empty() && in_flight.begin()->first <= t; in_flight.erase(in_flight.begin()))
                add(g.ok(t, in_flight.begin()->second.first, in_flight.begin()->second.second, 50));
            add(g.arrive(t, ++id, 0, 400));
            for (const Forward& f : all_of<Forward>(all)) {
                in_flight.emplace(t + 50, std::pair(f.request, f.endpoint));
                sends += f.endpoint == 4;
            }
        }
        return sends;
    };
    // Three endpoints carry 100 a second: in the 2 s behind its start a starting one may be sent 2.5 times
    // 0.39 of 33 a second.
    EXPECT_LE(sends_at(false, 1), 64);
    EXPECT_LE(sends_at(true, 0.1), 64);
    EXPECT_GE(sends_at(true, 0.1), 20);
}

// One slow first response must not cut the budget of a starting endpoint to almost nothing.
TEST(SlowStart, SlowFirstResponseDoesNotStarveAStartingEndpoint) {
    auto sends = [](double first_ms) {
        Settings set = unprobed();
        set.classes.resize(1);
        Gateway g(set);
        std::vector<EndpointEntry> fleet = {entry(1), entry(2), entry(3)};
        g.list(0, fleet);
        std::multimap<double, std::pair<RequestId, EndpointId>> in_flight;
        RequestId id = 0;
        int sent = 0;
        for (double t = 1; t < 1500; t += 10) {
            if (id == 12) {
                fleet.push_back(entry(4));
                fleet.back().last_start = at(t);
                g.list(t, fleet);
            }
            Actions all = g.run_to(t);
            auto add = [&](const Actions& more) { all.insert(all.end(), more.begin(), more.end()); };
            for (; !in_flight.empty() && in_flight.begin()->first <= t; in_flight.erase(in_flight.begin())) {
                auto [request, endpoint] = in_flight.begin()->second;
                add(g.ok(t, request, endpoint, request <= 3 ? first_ms : 50));
            }
            add(g.arrive(t, ++id, 0, 4000));
            for (const Forward& f : all_of<Forward>(all)) {
                in_flight.emplace(t + 50, std::pair(f.request, f.endpoint));
                sent += f.endpoint == 4;
            }
        }
        return sent;
    };
    EXPECT_GE(sends(2000), sends(50) / 2);
    EXPECT_GE(sends(50), 10);
}

TEST(SlowStart, RestartAppliesAtOnceAfterARecentEstimate) {
    Settings set = unprobed();
    set.node_count = 1000;
    int sends = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Gateway g(set, seed);
        g.list(0, {entry(1)});
        g.arrive(1000, 1);
        g.ok(1010, 1, 1, 10);
        auto starting = entry(1);
        starting.last_start = at(1015);
        g.list(1020, {starting}, UpdateKind::Delta);
        sends += sent_to(g.arrive(1030, 2)).has_value();
    }
    EXPECT_LE(sends, 20);  // a warm endpoint would be sent all two hundred
}

}  // namespace
}  // namespace ochrehub::testing
