// Runs config distribution simulations in parallel, for the figures of docs/design/agreement.md.
//   days SEEDS [FIRST]   runs under each fault in turn: violations, longest Bounded conflict
//   copied SEEDS         the same runs with files copied by a script and a signal to reload
//   saboteurs SEEDS      each mutant under each fault, until the invariant checker finds it
//   change               a Strict change among three nodes, with a crash or pause at each event
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>

#include "lab/config_distribution/simulation.h"

namespace {

using namespace ochrehub;
using namespace ochrehub::lab;

constexpr int kThreads = 3;

template <class F>
void each(std::uint64_t count, F f) {
    std::atomic<std::uint64_t> next{0};
    std::vector<std::thread> threads;
    for (int t = 0; t < kThreads; ++t)
        threads.emplace_back([&] {
            for (std::uint64_t i; (i = next++) < count;) f(i);
        });
    for (auto& t : threads) t.join();
}

struct FaultTotals {
    std::uint64_t days = 0, violations = 0, proposed = 0, in_force = 0, decisions = 0;
    Duration longest{};
    std::map<config_distribution::ConfigMode, std::uint64_t> by_mode;
    std::map<std::string, int> stopped;
};

int days(std::uint64_t seeds, std::uint64_t first, bool copied) {
    std::map<ConfigFault, FaultTotals> sums;
    std::mutex mutex;
    Duration max_inconsistency{};
    std::uint64_t bad = 0;
    each(seeds, [&](std::uint64_t i) {
        ConfigSimulationSettings set;
        set.seed = first + i;
        set.fault = ConfigFault(i % kConfigFaults);
        ConfigSimulationResult result = copied ? run_copied_files(set) : run(set);
        std::lock_guard lock(mutex);
        FaultTotals& s = sums[set.fault];
        ++s.days, s.violations += !result.violations.empty(), s.proposed += std::uint64_t(result.proposed),
            s.in_force += std::uint64_t(result.in_force);
        s.decisions += result.decisions, s.longest = std::max(s.longest, result.longest_bounded),
                                         max_inconsistency = result.max_inconsistency;
        for (auto [mode, n] : result.by_mode) s.by_mode[mode] += n;
        for (const auto& [code, n] : result.stopped) s.stopped[code] += n;
        bad += !result.violations.empty();
        if (!copied)
            for (const std::string& line : result.violations)
                std::printf("seed %llu, %s: %s\n", (unsigned long long)set.seed,
                            std::string(name(set.fault)).c_str(), line.c_str());
    });
    std::printf(
        "| fault | days | days with a broken promise | proposed | in force | longest of quick, ms | stated, "
        "ms | by a version | without a lease |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    std::map<std::string, int> stopped;
    for (auto& [fault, s] : sums) {
        double all = double(s.decisions);
        double without = double(s.by_mode[config_distribution::ConfigMode::KeepCurrent] +
                                s.by_mode[config_distribution::ConfigMode::Conservative] +
                                s.by_mode[config_distribution::ConfigMode::DenyAll]);
        std::printf("| %s | %llu | %llu | %llu | %llu | %.0f | %.0f | %.4f | %.4f |\n",
                    std::string(name(fault)).c_str(), (unsigned long long)s.days,
                    (unsigned long long)s.violations, (unsigned long long)s.proposed,
                    (unsigned long long)s.in_force, s.longest.count(), max_inconsistency.count(),
                    double(s.by_mode[config_distribution::ConfigMode::Full]) / all, without / all);
        for (const auto& [code, n] : s.stopped) stopped[code] += n;
    }
    for (const auto& [code, n] : stopped) std::printf("%s: %d\n", code.c_str(), n);
    return bad != 0 && !copied;
}

/// Prints, for each mutant and kind of fault, the first seed whose run violates an invariant.
int saboteurs(std::uint64_t seeds) {
    int missed = 0;
    for (std::size_t i = 1; i < kConfigMutants; ++i) {
        bool found = false;
        for (std::size_t f = 0; f < kConfigFaults; ++f) {
            std::atomic<std::uint64_t> first{seeds + 1};
            std::mutex mutex;
            std::string line;
            each(seeds, [&](std::uint64_t i_seed) {
                std::uint64_t seed = i_seed + 1;
                if (seed > first) return;
                ConfigSimulationResult result = run(mutant_settings(ConfigMutant(i), ConfigFault(f), seed));
                if (result.violations.empty()) return;
                std::lock_guard lock(mutex);
                if (seed < first) first = seed, line = result.violations.front();
            });
            if (first > seeds) continue;
            found = true;
            std::printf("%s, %s: seed %llu: %s\n", std::string(name(ConfigMutant(i))).c_str(),
                        std::string(name(ConfigFault(f))).c_str(), (unsigned long long)first, line.c_str());
            std::fflush(stdout);
        }
        if (!found) std::printf("%s: not found\n", std::string(name(ConfigMutant(i))).c_str());
        missed += !found;
    }
    return missed;
}

int change() {
    std::uint64_t events = run_single_change(1, 0, 0, false).events;
    std::atomic<std::uint64_t> violations{0}, in_force{0};
    each(events * 12, [&](std::uint64_t i) {
        std::uint64_t event = i / 12 + 1;
        ConfigSimulationResult result = run_single_change(1, event, i % 6, i % 12 < 6);
        in_force += result.in_force > 1;
        for (const std::string& line : result.violations)
            ++violations,
                std::printf("event %llu, process %llu, %s: %s\n", (unsigned long long)event,
                            (unsigned long long)(i % 6), i % 12 < 6 ? "crash" : "stop", line.c_str());
    });
    std::printf("%llu events, %llu runs, %llu with the change in force, %llu broken\n",
                (unsigned long long)events, (unsigned long long)events * 12, (unsigned long long)in_force,
                (unsigned long long)violations);
    return violations != 0;
}

}  // namespace

int main(int argc, char** argv) {
    std::string what = argc > 1 ? argv[1] : "";
    std::uint64_t seeds = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 9,
                  first = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 1;
    if (what == "days") return days(seeds, first, false);
    if (what == "copied") return days(seeds, first, true);
    if (what == "saboteurs") return saboteurs(seeds);
    if (what == "change") return change();
    std::fprintf(stderr, "ochrehub_agreement_days days|copied|saboteurs SEEDS | change\n");
    return 2;
}
