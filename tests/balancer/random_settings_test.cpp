// Days over settings generated from a number, unlike any site: the rules hold, and no class is starved.
#include <gtest/gtest.h>

#include <cmath>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include "balancer/random_settings_simulation.h"

namespace ochrehub::testing {
namespace {

Scenario make_random_scenario(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    auto u = [&] { return double(random() >> 11) * 0x1p-53; };
    auto pick = [&](std::initializer_list<double> of) {
        return *(of.begin() + std::ptrdiff_t(random() % of.size()));
    };
    auto logu = [&](double a, double b) { return a * std::exp(u() * std::log(b / a)); };
    Scenario d;
    d.seed = seed;
    d.endpoints = int(pick({1, 2, 3, 5, 8, 13}));
    d.slots = int(pick({1, 2, 4, 16}));
    d.zones = int(pick({0, 1, 1, 2, 3}));
    d.cells = int(pick({1, 2, 3}));
    d.spread = pick({0.05, 0.3, 0.6});
    d.network_delay_ms = pick({0.1, 0.3, 2, 8});
    d.cross_zone_delay_ms = d.network_delay_ms * pick({1, 3, 10});
    d.load = pick({0.05, 0.2, 0.4, 0.6});
    d.leave = pick({0, 0, 0.05});
    Settings& s = d.set;
    s.node_count = int(pick({1, 2, 3, 6}));
    s.clock_granularity = Duration{pick({0.5, 1, 2, 5, 10, 20})};
    s.probes = u() < 0.5;
    s.probes_report_load = s.probes && u() < 0.5;
    s.cancel = u() < 0.5;
    s.allows_hedging = u() < 0.3;
    s.retry_after = u() < 0.5;
    s.max_retry_after = Duration{pick({300, 1200, 10'000})};
    s.max_attempts = int(pick({1, 2, 3, 5}));
    s.slow_start_duration = Duration{pick({0, 3000, 10'000})};
    s.slow_start_initial_capacity = pick({0.1, 0.3, 0.8});
    s.overload_factor = pick({1.5, 2.5, 4});
    s.overload_after = Duration{pick({300, 1000, 3000})};
    s.over_quota_weight = pick({0, 0.2, 1});
    s.cross_zone_cost = pick({0, 0.02, 0.08, 0.4});
    s.probe_cost = pick({0, 0.002, 0.03, 0.06});
    s.connection_cost = pick({0, 0.05, 0.5});
    s.weights_track_load = u() < 0.3;
    double unit = logu(1, 300);  // ms of a request
    int classes = 1 + int(random() % 5);
    for (int c = 0; c < classes; ++c) {
        ClassSettings k;
        double took = unit * logu(0.4, 2.5);
        d.took_ms.push_back(took);
        d.mix.push_back(logu(0.1, 1));
        double least =
            took * (1 + 2.5 * d.spread) + 2 * d.cross_zone_delay_ms + 2 * s.clock_granularity.count();
        k.latency_objective = Duration{least * logu(1.2, 12)};
        k.request_timeout = k.latency_objective * pick({1, 1.5, 4});
        k.deduplication_window = Duration{k.request_timeout.count() * pick({0.3, 1, 5})};
        k.late_response_weight = pick({0, 0.3, 0.8});
        k.priority_weight = logu(0.3, 10);
        double e = u();
        k.idempotency = e < 0.4   ? Idempotency::Idempotent
                        : e < 0.7 ? Idempotency::IdempotentWithKey
                                  : Idempotency::NonIdempotent;
        k.deduplication_scope = DeduplicationScope(int(random() % 3));
        s.classes.push_back(k);
    }
    int tenants = int(pick({0, 0, 2, 4}));
    double mean = 0, sum = 0;
    for (std::size_t c = 0; c < d.mix.size(); ++c) mean += d.mix[c] * d.took_ms[c], sum += d.mix[c];
    double per_s = 1000 * d.load * d.endpoints * d.slots / (mean / sum);
    if (per_s > 1500) d.load *= 1500 / per_s, per_s = 1500;
    for (int t = 0; t < tenants; ++t) s.tenants.push_back({per_s * 1.5 / tenants, 1.0 / tenants});
    d.fault = Fault(int(random() % 7));
    d.struck = d.endpoints > 2 && u() < 0.8 ? 1 : d.endpoints > 3 ? d.endpoints / 2 : 0;
    if (d.struck == 0) d.fault = Fault::None;
    return d;
}

// What each of these scenarios contains is in make_random_scenario(); 134 has a sole endpoint that rejects
// requests, 316 and 365 have more requests than load probes can serve.
TEST(RandomSettings, KeepSafetyRulesAndStarveNoClass) {
    std::vector<std::uint64_t> seeds(40);
    std::iota(seeds.begin(), seeds.end(), 1);
    seeds.insert(seeds.end(), {134, 316, 365});
    for (std::uint64_t seed : seeds) {
        Scenario scenario = make_random_scenario(seed);
        ScenarioSimulation day(scenario);
        day.run();
        for (const std::string& what : day.breaks) ADD_FAILURE() << "seed " << seed << ": " << what;
        for (std::size_t c = 0; c < day.by_class.size(); ++c) {
            const auto& group = day.by_class[c];
            if (group.offered < 30) continue;
            EXPECT_GT(group.served, 0.4 * group.offered)
                << "seed " << seed << ", class " << c << " of " << group.offered;
        }
    }
}

// The number of endpoints in use must follow the load and not only the cost of probes.
TEST(RandomSettings, CostlyProbesLeaveNoNeededEndpointUnused) {
    for (double price : {0.06, 0.2, 1.0})
        for (double load : {0.4, 0.6}) {
            Scenario d = make_random_scenario(1);
            d.endpoints = 8, d.slots = 2, d.zones = 1, d.cells = 1, d.leave = 0,
            d.network_delay_ms = d.cross_zone_delay_ms = 0.3;
            d.took_ms = {300}, d.mix = {1}, d.spread = 0.3, d.load = load, d.length_ms = 30'000;
            d.fault = Fault::Full, d.struck = 1;
            Settings set;
            set.node_count = 1, set.probes = true, set.probes_report_load = false, set.cancel = true;
            set.clock_granularity = Duration{1}, set.max_attempts = 3;
            set.probe_cost = price, set.connection_cost = 0.05;
            ClassSettings unsafe;
            unsafe.latency_objective = Duration{800}, unsafe.request_timeout = Duration{1200},
            unsafe.priority_weight = 1, unsafe.late_response_weight = 0.5;
            unsafe.idempotency = Idempotency::NonIdempotent;
            set.classes = {unsafe};
            d.set = set;
            ScenarioSimulation day(d);
            day.run();
            for (const std::string& what : day.breaks) ADD_FAILURE() << price << ", " << load << ": " << what;
            EXPECT_GT(day.by_class[0].served, 0.85 * day.by_class[0].offered)
                << price << ", " << load << " of " << day.by_class[0].offered;
        }
}

}  // namespace
}  // namespace ochrehub::testing
