// Long runs of the shards' simulation, not for CI.
#include <CLI/CLI.hpp>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>

#include "lab/shards/fault_scenarios.h"

namespace {

using namespace ochrehub::lab::shards;

/// Calls each(i) for i from 0 to `count` - 1, on `threads` threads.
template <class F>
void parallel(std::size_t count, unsigned threads, F&& each) {
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> all;
    for (unsigned t = 0; t < threads; ++t)
        all.emplace_back([&] {
            for (std::size_t i; (i = next++) < count;) each(i);
        });
    for (std::thread& one : all) one.join();
}

struct Summary {
    std::mutex mutex;
    Simulation::Result figures;
    std::size_t runs = 0, failed = 0;
    void add(const std::string& what, const Simulation::Result& v) {
        std::lock_guard lock(mutex);
        ++runs;
        figures.answered += v.answered, figures.unknown += v.unknown, figures.unavailable += v.unavailable;
        figures.lost += v.lost, figures.views += v.views, figures.records += v.records;
        if (v.violations.empty()) return;
        ++failed;
        if (failed <= 20) std::printf("%s: %s\n", what.c_str(), v.violations.front().c_str());
    }
    int print(const char* what) const {
        std::printf(
            "%s: %zu runs, %zu with a violation; %llu completed, %llu unknown, %llu never written, %llu "
            "shards lost "
            "with both holders, %llu views\n",
            what, runs, failed, static_cast<unsigned long long>(figures.answered),
            static_cast<unsigned long long>(figures.unknown),
            static_cast<unsigned long long>(figures.unavailable),
            static_cast<unsigned long long>(figures.lost), static_cast<unsigned long long>(figures.views));
        return failed == 0 ? 0 : 1;
    }
};

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("long runs of the shards' simulation");
    std::uint64_t from = 1, seeds = 100, stride = 1;
    unsigned threads = 2;
    app.add_option("--from", from);
    app.add_option("--seeds", seeds);
    app.add_option("--threads", threads);
    app.add_option("--stride", stride, "of event numbers");
    app.require_subcommand(1);
    auto* days = app.add_subcommand("days", "runs with random faults");
    auto* events = app.add_subcommand(
        "events", "one run per event, with the holder killed during, killed after or paused after it");
    auto* mutants = app.add_subcommand("saboteurs", "which scenario finds which mutant");
    for (auto* sub : {days, events, mutants}) sub->fallthrough();
    CLI11_PARSE(app, argc, argv);

    if (*days) {
        Summary sum;
        parallel(seeds, threads, [&](std::size_t i) {
            SimulationSettings s;
            s.seed = from + i;
            sum.add("seed " + std::to_string(s.seed), run_random_faults(s));
        });
        return sum.print("random faults");
    }
    if (*events) {
        int worst = 0;
        for (std::uint64_t seed = from; seed < from + seeds; ++seed) {
            std::uint64_t count = count_events(seed);
            constexpr const char* kFaultNames[] = {"killed during", "killed after", "paused after"};
            for (auto what : {Simulation::AtEvent::KillDuring, Simulation::AtEvent::KillAfter,
                              Simulation::AtEvent::PauseAfter}) {
                Summary sum;
                parallel(count / stride, threads, [&](std::size_t i) {
                    std::uint64_t number = 1 + i * stride;
                    FaultRun fault_run = run_with_fault_at(number, what, seed);
                    if (fault_run.was_injected)
                        sum.add("seed " + std::to_string(seed) + " event " + std::to_string(number),
                                fault_run.result);
                });
                worst = std::max(worst, sum.print(kFaultNames[std::size_t(what)]));
            }
        }
        return worst;
    }
    for (int s = 0; s < kMutants; ++s) {
        std::printf("%s\n", std::string(name(Mutant(s))).c_str());
        for (const Scenario& scenario : scenarios()) {
            std::size_t found = 0;
            std::string first;
            for (std::uint64_t seed = from; seed < from + seeds; ++seed) {
                SimulationSettings set;
                set.seed = seed;
                set.mutant = Mutant(s);
                Simulation::Result v = scenario.run(set);
                found += !v.violations.empty();
                if (first.empty() && !v.violations.empty()) first = v.violations.front();
            }
            if (found)
                std::printf("    %3zu of %llu  %s: %s\n", found, static_cast<unsigned long long>(seeds),
                            std::string(scenario.name).c_str(), first.c_str());
        }
    }
}
