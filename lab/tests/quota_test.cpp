// The quota's cores together on a faulty simulated network: admitted requests never exceed the budget.
#include <gtest/gtest.h>

#include "lab/quota/baselines.h"
#include "lab/quota/workloads.h"

namespace ochrehub::lab {
namespace {

TEST(QuotaSimulation, TheInvariantCheckerFindsTheWorstWindow) {
    std::vector<AdmittedRequest> records;
    for (int i = 0; i < 10; ++i)
        records.push_back({TimePoint{} + Duration{1000.0 + 100 * i}, 0, 0, 0, kUnit, false});
    // Ten requests within 900 ms: at one per second a burst of 10 - 0.9 is needed.
    EXPECT_NEAR(worst_window(records, 0, kUnit, 0).amount / double(kUnit), 9.1, 1e-6);
    EXPECT_NEAR(worst_window(records, 0, kUnit, 10 * kUnit).amount / double(kUnit), -0.9, 1e-6);
    EXPECT_NEAR(worst_window(records, 0, 20 * kUnit, kUnit).amount / double(kUnit), 0, 1e-6);
    records[4].refunded = true;
    EXPECT_NEAR(worst_window(records, 0, kUnit, 0).amount / double(kUnit), 8.1, 1e-6);
    EXPECT_NEAR(worst_window(records, 1, kUnit, 0).amount, 0, 1e-6);
}

TEST(QuotaSimulation, WithoutFaultsNearlyAllOfTheBudgetIsUsed) {
    for (auto make : {steady_workload, swinging_workload}) {
        QuotaSimulationSettings settings = make(2, 5, 1);
        QuotaSimulationResult result = run(settings);
        EXPECT_LE(worst_excess(settings, result), 0);
        for (std::size_t b = 0; b < 2; ++b)
            EXPECT_GE(budget_use(settings, result, b, Duration{3000}, settings.length),
                      make == steady_workload ? 0.95 : 0.85);
    }
}

TEST(QuotaSimulation, StaysWithinTheBudgetUnderRandomFaults) {
    for (std::uint64_t seed = 1; seed <= 12; ++seed)
        for (auto make : {+[](std::uint64_t s) { return steady_workload(2, 5, s); },
                          +[](std::uint64_t s) { return leaky_workload(s); }}) {
            QuotaSimulationSettings settings = make(seed);
            settings.faults = random_faults(seed, settings, 10);
            settings.loss = settings.duplication = 0.02;
            QuotaSimulationResult result = run(settings);
            EXPECT_LE(worst_excess(settings, result), 0) << "seed " << seed;
        }
}

TEST(QuotaSimulation, StaysWithinTheBudgetUnderACrashOrPauseAtAnyEvent) {
    QuotaSimulationSettings settings = small_workload();
    std::uint64_t event_count = run(settings).event_count;
    std::size_t processes = 3 + settings.sites * (3 + settings.nodes);
    for (std::uint64_t n = 1; n < event_count; n += 7) {  // every event: quota_measure events
        settings.fault_at_event = QuotaSimulationSettings::FaultAtEvent{n, n / 7 % processes, n % 2 == 0,
                                                                        Duration{n % 2 ? 50.0 : 1500.0}};
        EXPECT_LE(worst_excess(settings, run(settings)), 0) << "event " << n;
    }
}

TEST(QuotaSimulation, APartitionedSiteHasItsFloorAndTheOthersTheRest) {
    QuotaSimulationSettings settings = steady_workload(2, 5, 3);
    settings.length = Duration{20'000};
    settings.faults = {{QuotaFault::Kind::CutSite, Duration{6000}, Duration{14'000}, 1, 0}};
    QuotaSimulationResult result = run(settings);
    EXPECT_LE(worst_excess(settings, result), 0);
    auto share = [&](int site, double rate) {
        return double(admitted(result.admitted, 0, TimePoint{} + Duration{10'000},
                               TimePoint{} + settings.length, site)) /
               10 / rate / double(kUnit);
    };
    EXPECT_GE(share(1, 20), 0.95);
    EXPECT_LE(share(1, 20), 1.02);
    EXPECT_GE(share(0, 380), 0.6);  // the whole load there is 240 per second
}

TEST(QuotaSimulation, ASiteThatOverstatesItsDemandStarvesNoOtherSite) {
    QuotaSimulationSettings settings = steady_workload(2, 5, 4);
    settings.overstating_site = 0;
    settings.demand = [](std::size_t b, std::size_t site, Duration) {
        return b == 0 ? (site == 0 ? 20.0 : 500.0) : 50.0;
    };
    QuotaSimulationResult result = run(settings);
    EXPECT_LE(worst_excess(settings, result), 0);
    EXPECT_GE(
        double(admitted(result.admitted, 0, TimePoint{} + Duration{4000}, TimePoint{} + settings.length, 1)) /
            16 / double(kUnit),
        0.85 * 380);
}

TEST(QuotaSimulation, ComparesBaselinesOnTheSameWorkload) {
    QuotaSimulationSettings settings = swinging_workload(2, 5, 5);
    auto base = settings.demand;
    settings.demand = [base](std::size_t b, std::size_t s, Duration at) {
        return at.count() < 9000 ? base(b, s, at) : at.count() < 12'000 ? 0.0 : 4 * base(b, s, at);
    };
    auto excess = [&](Baseline baseline) {
        return worst_window(run(baseline, settings).admitted, 0, settings.budgets[0].rate,
                            settings.budgets[0].burst)
            .amount;
    };
    EXPECT_LE(excess(Baseline::StaticShares), 0);
    EXPECT_LE(excess(Baseline::SingleCounterFailClosed), 0);
    EXPECT_GT(excess(Baseline::GossipedCounters), 0);
    EXPECT_LE(excess(Baseline::Leases), 0);
    BaselineResult queried = run(Baseline::SingleCounterFailClosed, settings);
    ASSERT_FALSE(queried.waits.empty());
    EXPECT_GT(*std::max_element(queried.waits.begin(), queried.waits.end()),
              20);  // each request waits for a round trip between sites
}

TEST(QuotaSimulation, EveryMutantIsDetected) {
    for (int s = 1; s <= int(QuotaMutant::MintsAboveCap); ++s) {
        int detections = 0;
        for (std::uint64_t seed = 1; seed <= 20 && detections == 0; ++seed) {
            QuotaSimulationSettings settings = mutant_workload(QuotaMutant(s), seed);
            detections += worst_excess(settings, run(settings)) > 0;
            // The mutant is the cause: without it the same workload stays within the budget.
            settings.mutant = QuotaMutant::None;
            EXPECT_LE(worst_excess(settings, run(settings)), 0) << name(QuotaMutant(s));
        }
        EXPECT_GT(detections, 0) << name(QuotaMutant(s));
    }
}

}  // namespace
}  // namespace ochrehub::lab
