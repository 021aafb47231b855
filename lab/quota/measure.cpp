// The measurements of docs/design/quota.md: quota_measure seeds|used|cut|lost|ways|saboteurs|events|charge
// [COUNT]
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

#include "lab/quota/baselines.h"
#include "lab/quota/workloads.h"

using namespace ochrehub;
using namespace ochrehub::lab;

namespace {

/// Calls `one(seed)` for each seed from 1 to `count`, on a few threads.
template <class F>
void each_seed(std::uint64_t count, F one) {
    std::atomic<std::uint64_t> next{1};
    std::vector<std::thread> threads;
    for (int t = 0; t < 3; ++t)
        threads.emplace_back([&] {
            for (std::uint64_t seed; (seed = next++) <= count;) one(seed);
        });
    for (std::thread& t : threads) t.join();
}

struct Shape {
    std::size_t sites, nodes;
};
constexpr Shape kShapes[] = {{2, 5}, {5, 40}};

/// By turns: a steady load, one that moves between sites, and one that comes in bursts after idle times.
void seeds(std::uint64_t count) {
    for (Shape shape : kShapes) {
        std::mutex lock;
        double max_excess = -1e18, tail = 0, min_use = 1e18;
        std::uint64_t violations = 0, requests = 0, messages = 0, calm = 0;
        each_seed(count, [&](std::uint64_t seed) {
            QuotaSimulationSettings settings = seed % 3 == 1
                                                   ? steady_workload(shape.sites, shape.nodes, seed)
                                                   : swinging_workload(shape.sites, shape.nodes, seed);
            if (seed % 3 == 0) {
                auto base = settings.demand;
                settings.demand = [base](std::size_t b, std::size_t s, Duration at) {
                    return std::fmod(at.count(), 6000) < 3000 ? 4 * base(b, s, at) : 0.0;
                };
            }
            settings.faults = random_faults(seed, settings, 12);
            settings.loss = settings.duplication = 0.01;
            QuotaSimulationResult result = run(settings);
            double w = worst_excess(settings, result),
                   u = budget_use(settings, result, 0, settings.length - Duration{3000}, settings.length);
            std::unique_lock hold(lock);
            max_excess = std::max(max_excess, w), violations += w > 0;
            if (seed % 3 != 0) ++calm, tail += u, min_use = std::min(min_use, u);
            requests += result.requests, messages += result.messages;
        });
        std::printf(
            "%zu x %zu, 12 faults in 20 s: %llu seeds, %llu over the budget; the worst window exceeds it by "
            "%.1f requests; used in the "
            "last 3 s %.3f (minimum %.3f); %.1f million requests, %.1f million messages\n",
            shape.sites, shape.nodes, (unsigned long long)count, (unsigned long long)violations, max_excess,
            tail / double(std::max<std::uint64_t>(1, calm)), min_use, double(requests) / 1e6,
            double(messages) / 1e6);
        std::fflush(stdout);
    }
}

void used_shares(std::uint64_t count) {
    for (Shape shape : kShapes)
        for (auto make : {steady_workload, swinging_workload}) {
            double min_use[2] = {9, 9}, sum[2] = {};
            std::uint64_t messages = 0;
            for (std::uint64_t seed = 1; seed <= count; ++seed) {
                QuotaSimulationSettings settings = make(shape.sites, shape.nodes, seed);
                settings.length = Duration{60'000};
                QuotaSimulationResult result = run(settings);
                for (std::size_t b = 0; b < 2; ++b) {
                    double u = budget_use(settings, result, b, Duration{3000}, settings.length);
                    min_use[b] = std::min(min_use[b], u), sum[b] += u / double(count);
                }
                messages += result.messages;
            }
            std::printf(
                "%zu x %zu, %s: dealers %.3f (minimum %.3f), workshops %.3f (minimum %.3f); %.0f messages "
                "per "
                "second\n",
                shape.sites, shape.nodes, make == steady_workload ? "steady" : "swinging every 10 s", sum[0],
                min_use[0], sum[1], min_use[1], double(messages) / double(count) / 60);
        }
    for (double part : {0.35, 0.5, 0.75, 1.0, 1.5}) {
        QuotaSimulationSettings settings = steady_workload(5, 40, 1);
        settings.budgets = {plain_budget("dealers", 2000, std::int64_t(2000 * part), 5, 0, 0)};
        QuotaSimulationResult result = run(settings);
        std::printf("5 x 40, no floors, burst of %.2f s: used %.3f\n", part,
                    budget_use(settings, result, 0, Duration{3000}, settings.length));
    }
}

void cut(std::uint64_t count) {
    for (Shape shape : kShapes) {
        double min_use = 9, most_used = 0, use_after_heal = 0;
        for (std::uint64_t seed = 1; seed <= count; ++seed) {
            QuotaSimulationSettings settings = steady_workload(shape.sites, shape.nodes, seed);
            settings.length = Duration{40'000};
            settings.faults = {
                {QuotaFault::Kind::CutSite, Duration{10'000}, Duration{20'000}, 1, 0}};  // the second site
            QuotaSimulationResult result = run(settings);
            double floor = double(settings.budgets[0].floors[1].rate);
            double in = double(admitted(result.admitted, 0, TimePoint{} + Duration{14'000},
                                        TimePoint{} + Duration{30'000}, 1)) /
                        16;
            min_use = std::min(min_use, in / floor), most_used = std::max(most_used, in / floor);
            use_after_heal +=
                budget_use(settings, result, 0, Duration{31'000}, Duration{34'000}) / double(count);
        }
        std::printf(
            "%zu x %zu, a site partitioned for 20 s: it admitted at least %.3f and at most %.3f of its "
            "floor; all "
            "sites, 1 to 4 s after "
            "the partition: %.3f of the budget\n",
            shape.sites, shape.nodes, min_use, most_used, use_after_heal);
    }
}

void lost(std::uint64_t count) {
    std::vector<double> times;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        QuotaSimulationSettings settings = steady_workload(5, 40, seed);
        settings.budgets = {plain_budget("dealers", 2000, 2400, 5, 0, 0)};
        settings.demand = [](std::size_t, std::size_t site, Duration) { return site == 1 ? 1600.0 : 600.0; };
        settings.faults = {{QuotaFault::Kind::SiteLost, Duration{8000}, Duration{0}, 1, 0}};
        QuotaSimulationResult result = run(settings);
        double at = 8000;
        while (at < 20'000 && budget_use(settings, result, 0, Duration{at}, Duration{at + 500}) < 0.93)
            at += 20;
        times.push_back(at - 8000);
    }
    std::sort(times.begin(), times.end());
    std::printf(
        "the site with a third of the load lost: the others use 0.93 of the budget again %.0f ms later "
        "(median of %zu), %.0f worst; "
        "lease 3000 ms\n",
        times[times.size() / 2], times.size(), times.back());
}

void baselines(std::uint64_t count) {
    for (int faults : {0, 12})
        for (int baseline = 0; baseline <= int(Baseline::Leases); ++baseline) {
            std::mutex lock;
            double max_excess = -1e18, share = 0, messages = 0;
            std::uint64_t violations = 0;
            std::vector<double> waits;
            each_seed(count, [&](std::uint64_t seed) {
                QuotaSimulationSettings settings = swinging_workload(2, 5, seed);
                auto base = settings.demand;
                if (faults)
                    settings.loss = settings.duplication = 0.01,
                    settings.faults = random_faults(seed, settings, std::size_t(faults));
                // An idle time, then a burst, which shows any excess. The use is measured before, in the
                // steady part.
                settings.demand = [base](std::size_t b, std::size_t s, Duration at) {
                    return at < Duration{15'000}   ? base(b, s, at)
                           : at < Duration{17'000} ? 0.0
                                                   : 4 * base(b, s, at);
                };
                BaselineResult result = run(Baseline(baseline), settings);
                double w = -1e18;
                for (std::size_t b = 0; b < settings.budgets.size(); ++b)
                    w = std::max(w, worst_window(result.admitted, b, settings.budgets[b].rate,
                                                 settings.budgets[b].burst)
                                            .amount /
                                        double(kUnit));
                double u = double(admitted(result.admitted, 0, TimePoint{} + Duration{3000},
                                           TimePoint{} + Duration{15'000})) /
                           (double(settings.budgets[0].rate) * 12);
                std::unique_lock hold(lock);
                max_excess = std::max(max_excess, w), violations += w > 0, share += u / double(count);
                messages += double(result.messages) / double(std::max<std::uint64_t>(1, result.requests)) /
                            double(count);
                waits.insert(waits.end(), result.waits.begin(), result.waits.end());
            });
            std::sort(waits.begin(), waits.end());
            auto at = [&](double part) {
                return waits.empty() ? 0.0 : waits[std::size_t(part * double(waits.size() - 1))];
            };
            std::printf(
                "%2d faults  %-20s over the budget in %llu of %llu runs, by at most %.0f requests; used "
                "%.3f; a "
                "request waits %.1f ms, p99 %.0f; "
                "%.2f messages per request\n",
                faults, std::string(name(Baseline(baseline))).c_str(), (unsigned long long)violations,
                (unsigned long long)count, std::max(0.0, max_excess), share, at(0.5), at(0.99), messages);
        }
}

void mutants(std::uint64_t count) {
    for (int s = 1; s <= int(QuotaMutant::MintsAboveCap); ++s) {
        int detections = 0;
        double max_excess = -1e18, unmutated = -1e18;
        for (std::uint64_t seed = 1; seed <= count; ++seed) {
            QuotaSimulationSettings settings = mutant_workload(QuotaMutant(s), seed);
            double w = worst_excess(settings, run(settings));
            detections += w > 0, max_excess = std::max(max_excess, w);
            settings.mutant = QuotaMutant::None;
            unmutated = std::max(unmutated, worst_excess(settings, run(settings)));
        }
        std::printf("%-26s detected in %d of %llu runs, worst excess %.1f; without it %.1f\n",
                    std::string(name(QuotaMutant(s))).c_str(), detections, (unsigned long long)count,
                    max_excess, unmutated);
    }
}

/// Each process crashes, and pauses, at each event of a short run.
void events(std::uint64_t stride) {
    QuotaSimulationSettings settings = small_workload();
    std::uint64_t event_count = run(settings).event_count, runs = 0, violations = 0;
    double max_excess = -1e18;
    std::mutex lock;
    std::size_t processes = 3 + settings.sites * (3 + settings.nodes);
    each_seed(event_count / stride, [&](std::uint64_t n) {
        for (std::size_t p = 0; p < processes; ++p)
            for (bool pauses : {false, true}) {
                QuotaSimulationSettings hit = settings;
                hit.fault_at_event = QuotaSimulationSettings::FaultAtEvent{n * stride, p, pauses,
                                                                           Duration{pauses ? 1500.0 : 50.0}};
                double w = worst_excess(hit, run(hit));
                std::unique_lock hold(lock);
                ++runs, violations += w > 0, max_excess = std::max(max_excess, w);
            }
    });
    std::printf(
        "crash and pause of each of %zu processes at each of %llu events (every %llu): %llu runs, %llu over "
        "the budget, "
        "worst %.1f\n",
        processes, (unsigned long long)event_count, (unsigned long long)stride, (unsigned long long)runs,
        (unsigned long long)violations, max_excess);
}

void charge(std::uint64_t count) {
    using Clock = std::chrono::steady_clock;
    quota::QuotaLimiterSettings settings;
    settings.instance = 1;
    quota::QuotaLimiter limiter(settings);
    std::vector<quota::Budget> budgets;
    for (int i = 0; i < 10'000; ++i)
        budgets.push_back(
            plain_budget(std::string("partner").append(std::to_string(i)), 1000, 1000, 0, 0, 0));
    limiter.configure(budgets);
    boost::random::taus88 random(1);
    std::vector<double> took;
    took.reserve(count);
    std::vector<std::string> names;
    for (int i = 0; i < 10'000; ++i)
        names.push_back(std::string("partner").append(std::to_string(i % 2 ? 0 : random() % 10'000)));
    std::atomic<bool> done{false};
    // As in a node, requests are sent and responses applied ten times a second meanwhile.
    std::thread asker([&] {
        while (!done) {
            TimePoint now = TimePoint{} + Duration{double(Clock::now().time_since_epoch().count()) / 1e6};
            quota::BorrowRequest request = limiter.next_request(now);
            quota::BorrowResponse response{request.instance, request.seq, {}};
            for (const quota::BorrowRequestLine& l : request.lines)
                response.lines.push_back({l.account, 1, l.spent + l.returned + 100'000 * kUnit, 3'000'000,
                                          1000 * kUnit, false, false});
            limiter.handle_response(now, response);
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    });
    std::vector<std::uint32_t> numbers;
    for (const std::string& name : names) numbers.push_back(*limiter.find(name));
    std::uint64_t allowed = 0;
    auto measured = [&](const char* text, auto which) {
        took.clear();
        for (std::uint64_t i = 0; i < count; ++i) {
            auto begun = Clock::now();
            auto result =
                limiter.charge(TimePoint{} + Duration{double(begun.time_since_epoch().count()) / 1e6},
                               which(i % names.size()), kNone);
            auto ended = Clock::now();
            took.push_back(std::chrono::duration<double, std::nano>(ended - begun).count());
            allowed += std::holds_alternative<quota::Charge>(result);
        }
        std::sort(took.begin(), took.end());
        std::printf(
            "%s, 10000 partners, one with half of the load: median %.0f ns, p99 %.0f ns, p99.9 %.0f ns\n",
            text, took[count / 2], took[count * 99 / 100], took[count * 999 / 1000]);
    };
    measured("charge by a tenant's number", [&](std::size_t i) { return numbers[i]; });
    measured("charge by a key's text", [&](std::size_t i) { return *limiter.find(names[i]); });
    took.clear();
    for (std::uint64_t i = 0; i < count; ++i) {
        auto begun = Clock::now();
        took.push_back(std::chrono::duration<double, std::nano>(Clock::now() - begun).count());
    }
    std::sort(took.begin(), took.end());
    std::printf("of that, two clock reads: median %.0f ns, p99 %.0f ns; %.3f were admitted\n",
                took[count / 2], took[count * 99 / 100], double(allowed) / double(2 * count));
    done = true;
    asker.join();
}

}  // namespace

int main(int argc, char** argv) {
    std::string what = argc > 1 ? argv[1] : "";
    std::uint64_t count = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 0;
    if (what == "seeds") return seeds(count ? count : 1000), 0;
    if (what == "used") return used_shares(count ? count : 5), 0;
    if (what == "cut") return cut(count ? count : 5), 0;
    if (what == "lost") return lost(count ? count : 20), 0;
    if (what == "ways") return baselines(count ? count : 100), 0;
    if (what == "saboteurs") return mutants(count ? count : 20), 0;
    if (what == "events") return events(count ? count : 1), 0;
    if (what == "charge") return charge(count ? count : 1'000'000), 0;
    std::fprintf(stderr, "quota_measure seeds|used|cut|lost|ways|saboteurs|events|charge [COUNT]\n");
    return 2;
}
