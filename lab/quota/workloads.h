// Workloads for the quota simulation: common ones, and for each mutant one that exposes it.
#pragma once

#include <cmath>

#include "lab/quota/simulation.h"

namespace ochrehub::lab {

using quota::kUnit;

/// 1.5 times the budget's rate, 0.4 of it at the first site.
inline QuotaSimulationSettings steady_workload(std::size_t sites, std::size_t nodes, std::uint64_t seed) {
    QuotaSimulationSettings settings;
    settings.sites = sites, settings.nodes = nodes, settings.seed = seed;
    settings.budgets = sites * nodes > 20 ? std::vector{plain_budget("dealers", 2000, 3000, sites, 100, 300),
                                                        plain_budget("workshops", 400, 600, sites, 0, 0)}
                                          : std::vector{plain_budget("dealers", 400, 600, sites, 20, 60),
                                                        plain_budget("workshops", 100, 300, sites, 0, 0)};
    settings.clock_rates_vary = true;
    settings.demand = [budgets = settings.budgets, sites](std::size_t b, std::size_t site, Duration) {
        return 1.5 * double(budgets[b].rate) / double(kUnit) * (site == 0 ? 0.4 : 0.6 / double(sites - 1));
    };
    return settings;
}
/// 1.5 times the budget's rate, four fifths of it at one site, which changes every 10 s.
inline QuotaSimulationSettings swinging_workload(std::size_t sites, std::size_t nodes, std::uint64_t seed) {
    QuotaSimulationSettings settings = steady_workload(sites, nodes, seed);
    settings.demand = [budgets = settings.budgets, sites](std::size_t b, std::size_t site, Duration at) {
        bool is_main_site = std::size_t(at.count() / 10'000) % sites == site;
        return 1.5 * double(budgets[b].rate) / double(kUnit) * (is_main_site ? 0.8 : 0.2 / double(sites - 1));
    };
    return settings;
}
/// A small federation in which much is lent, much is idle, and all of it is then requested at once, so that
/// any leak of budget shows. Cycles of `cycle_ms`: for 4 s nine tenths of the rate, most of it at one site,
/// by turns; then nothing; for the last second 400 requests per second at each site, together eight times the
/// default rate.
inline QuotaSimulationSettings leaky_workload(std::uint64_t seed, std::int64_t rate = 100,
                                              double holding_time_ms = 1000, double cycle_ms = 7000) {
    QuotaSimulationSettings settings;
    settings.sites = 2, settings.nodes = 3, settings.seed = seed, settings.length = Duration{cycle_ms * 6};
    settings.budgets = {plain_budget("dealers", rate, 150, 2, rate / 10, 15)};
    settings.timing.holding_time = Duration{holding_time_ms};
    settings.demand = [cycle_ms, rate](std::size_t, std::size_t site, Duration at) {
        double t = std::fmod(at.count(), cycle_ms);
        bool is_main_site = std::size_t(at.count() / cycle_ms) % 2 == site;
        return t < 4000 ? double(rate) * (is_main_site ? 0.7 : 0.2) : t < cycle_ms - 1000 ? 0.0 : 400.0;
    };
    return settings;
}

/// Two sites of two nodes for two seconds: a low load, then a burst.
inline QuotaSimulationSettings small_workload() {
    QuotaSimulationSettings settings = leaky_workload(1);
    settings.nodes = 2, settings.length = Duration{2000}, settings.session_duration = Duration{300};
    settings.budgets = {plain_budget("dealers", 100, 60, 2, 10, 10)};
    settings.timing.holding_time = Duration{300};
    settings.demand = [](std::size_t, std::size_t, Duration at) { return at.count() < 1200 ? 20.0 : 400.0; };
    return settings;
}

inline QuotaSimulationSettings mutant_workload(QuotaMutant mutant, std::uint64_t seed) {
    using Kind = QuotaFault::Kind;
    QuotaSimulationSettings settings = leaky_workload(seed);
    auto set_constant_load = [&](double first_site, double second_site, double ms) {
        settings.demand = [=](std::size_t, std::size_t site, Duration) {
            return site == 0 ? first_site : second_site;
        };
        settings.length = Duration{ms};
    };
    constexpr std::size_t kOwner = 1;  // the federation's first owner
    constexpr std::size_t kNode = 6;   // the first site's first node
    switch (mutant) {
        case QuotaMutant::RefundsTwice:
        case QuotaMutant::RefundsReportedCharge:
            settings.never_ran_share = 0.4;
            break;
        case QuotaMutant::LeaseFromResponseTime:
            // A burst is requested, and the nodes are paused when the responses that grant it arrive, until
            // long after the leases have expired.
            settings = leaky_workload(seed, 40, 4000, 10'000);
            settings.length = Duration{30'000};
            settings.demand = [](std::size_t, std::size_t site, Duration at) {
                return at.count() >= 29'000                                       ? 400.0
                       : at.count() >= 20'000 && at.count() < 21'000 && site == 0 ? 300.0
                                                                                  : 0.0;
            };
            for (std::size_t n = 0; n < 3; ++n) {
                settings.faults.push_back(
                    {Kind::ExtraDelay, Duration{19'500}, Duration{1500}, kNode + n, 400});
                settings.faults.push_back({Kind::Pause, Duration{20'400}, Duration{9000}, kNode + n, 0});
            }
            break;
        case QuotaMutant::StaleClock:
            settings = leaky_workload(seed, 40, 4000, 10'000);
            for (std::size_t n = 0; n < 3; ++n)
                settings.faults.push_back({Kind::Pause, Duration{23'900}, Duration{5600}, kNode + n, 0});
            break;
        case QuotaMutant::ForgetsLeasesAtRestart:
            set_constant_load(150, 150, 12'000);
            settings.session_duration = Duration{300};
            for (int i = 0; i < 4; ++i)
                settings.faults.push_back(
                    {Kind::Crash, Duration{6000.0 + 800 * i}, Duration{500}, kOwner + std::size_t(i) % 2, 0});
            break;
        case QuotaMutant::IgnoresEpochs:
            set_constant_load(150, 150, 40'000);
            settings.faults.push_back({Kind::Pause, Duration{6000}, Duration{3000}, kOwner, 0});
            for (std::size_t n : {4, 5})
                settings.faults.push_back({Kind::CutLink, Duration{10'000}, Duration{30'000}, n, kOwner + 1});
            break;
        case QuotaMutant::CountsSurplusTwice:
            settings.budgets = {plain_budget("dealers", 100, 150, 2, 25, 40)};
            set_constant_load(200, 0, 40'000);
            break;
        case QuotaMutant::ReportsShrinkInForceEarly:
            set_constant_load(150, 150, 12'000);
            settings.demand = [](std::size_t, std::size_t, Duration at) {
                return at.count() < 5900 ? 40.0 : 300.0;
            };
            settings.changed_budgets = {plain_budget("dealers", 10, 15, 2, 1, 2)};
            settings.faults.push_back({Kind::ChangeBudgets, Duration{6000}, Duration{0}, 0, 0});
            break;
        case QuotaMutant::AppliesResponseTwice:
            settings.duplication = 0.2;
            break;
        default:
            break;
    }
    settings.mutant = mutant;
    return settings;
}

/// The worst excess over all partners' budgets, in requests of the default cost. Above zero: a violation.
inline double worst_excess(const QuotaSimulationSettings& settings, const QuotaSimulationResult& result) {
    double max_excess = -1e18;
    bool shrinks = !settings.changed_budgets.empty() && result.in_force;
    for (std::size_t b = 0; b < settings.budgets.size(); ++b) {
        const quota::Budget& budget = settings.budgets[b];
        max_excess = std::max(
            max_excess, worst_window(result.admitted, b, budget.rate, budget.burst + budget.bound).amount);
        if (shrinks)
            max_excess =
                std::max(max_excess,
                         worst_window(result.admitted, b, settings.changed_budgets[b].rate,
                                      settings.changed_budgets[b].burst + settings.changed_budgets[b].bound,
                                      TimePoint{} + *result.in_force)
                             .amount);
    }
    return max_excess / double(kUnit);
}
/// The share of the budget that was used between `from` and `to`.
inline double budget_use(const QuotaSimulationSettings& settings, const QuotaSimulationResult& result,
                         std::size_t partner, Duration from, Duration to) {
    return double(admitted(result.admitted, partner, TimePoint{} + from, TimePoint{} + to)) /
           (double(settings.budgets[partner].rate) * (to - from).count() / 1000);
}

}  // namespace ochrehub::lab
