// ochrehub_keeper_seeds FROM COUNT [COORDINATORS [MUTANT [MAX_RESPONSE_DELAY_MS]]]: the simulation with COUNT
// seeds, on up to three threads, and the violations that it found.
// ochrehub_keeper_seeds crash COORDINATORS [STRIDE]: a crash of each coordinator at event N, for every N.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "lab/coordinator/simulation.h"

using namespace ochrehub::lab;

namespace {

constexpr unsigned kMaxThreads = 3;
constexpr std::uint64_t kMaxPrintedFailures = 10;

struct Plan {
    CoordinatorSimulationSettings settings;
    bool crashes = false;  // else seeds
    std::uint64_t first_seed = 1;
    std::uint64_t runs = 0;
    std::uint64_t stride = 1;
};

struct Total {
    std::mutex mutex;
    std::uint64_t runs = 0;
    std::uint64_t failed = 0;
    CoordinatorSimulationResult sum;
};

unsigned long long printable(std::uint64_t number) {
    return number;
}

Plan crash_plan(int count, char** arguments) {
    Plan plan;
    plan.crashes = true;
    CoordinatorSimulationSettings& settings = plan.settings;
    settings.coordinators = std::strtoull(arguments[2], nullptr, 10);
    settings.no_random_faults = true;
    settings.lease = ochrehub::Duration{3000};
    settings.clients = 2;
    settings.fault_phase = ochrehub::Duration{2500};
    settings.settle_phase = ochrehub::Duration{6000};
    settings.snapshot_entries = 15;
    if (count > 3) plan.stride = std::strtoull(arguments[3], nullptr, 10);
    plan.runs = run(settings).events * settings.coordinators;
    return plan;
}

Plan seed_plan(int count, char** arguments) {
    Plan plan;
    plan.first_seed = std::strtoull(arguments[1], nullptr, 10);
    plan.runs = std::strtoull(arguments[2], nullptr, 10);
    if (count > 3) plan.settings.coordinators = std::strtoull(arguments[3], nullptr, 10);
    for (int i = 0; count > 4 && i < int(CoordinatorMutant::Count); ++i)
        if (std::string(name(CoordinatorMutant(i))) == arguments[4])
            plan.settings.mutant = CoordinatorMutant(i);
    if (count > 5) plan.settings.max_response_delay = ochrehub::Duration{std::strtod(arguments[5], nullptr)};
    return plan;
}

CoordinatorSimulationSettings settings_of(const Plan& plan, std::uint64_t number) {
    CoordinatorSimulationSettings settings = plan.settings;
    if (plan.crashes) {
        settings.crash_at_event = number / settings.coordinators + 1;
        settings.crashed_coordinator = (number / plan.stride) % settings.coordinators;
    } else {
        settings.seed = plan.first_seed + number;
    }
    return settings;
}

void add(Total& total, const CoordinatorSimulationSettings& settings,
         const CoordinatorSimulationResult& result) {
    std::lock_guard lock(total.mutex);
    ++total.runs;
    CoordinatorSimulationResult& sum = total.sum;
    sum.events += result.events;
    sum.commands += result.commands;
    sum.queries += result.queries;
    sum.possibly_executed += result.possibly_executed;
    sum.sessions += result.sessions;
    sum.sessions_ended += result.sessions_ended;
    sum.timeouts_expired += result.timeouts_expired;
    sum.leaders += result.leaders;
    sum.snapshots += result.snapshots;
    sum.duplicates += result.duplicates;
    if (result.violations.empty() || ++total.failed > kMaxPrintedFailures) return;
    std::printf("seed %llu, crash of %zu at %llu: %s\n", printable(settings.seed),
                settings.crashed_coordinator + 1, printable(settings.crash_at_event),
                result.violations[0].c_str());
}

void run_all(const Plan& plan, Total& total) {
    std::atomic<std::uint64_t> next{0};
    const auto work = [&] {
        for (std::uint64_t i = next.fetch_add(plan.stride); i < plan.runs; i = next.fetch_add(plan.stride)) {
            const CoordinatorSimulationSettings settings = settings_of(plan, i);
            CoordinatorSimulationResult result = run(settings);
            if (plan.crashes && result.sessions_ended > 0)
                result.violations.emplace_back(
                    "a session was lost, though one crash is shorter than a lease");
            add(total, settings, result);
        }
    };
    std::vector<std::thread> threads;
    const unsigned count = std::max(1u, std::min(kMaxThreads, std::thread::hardware_concurrency()));
    for (unsigned i = 0; i < count; ++i) threads.emplace_back(work);
    for (std::thread& thread : threads) thread.join();
}

}  // namespace

int main(int count, char** arguments) {
    if (count < 3) return 2;
    const bool crashes = std::string(arguments[1]) == "crash";
    const Plan plan = crashes ? crash_plan(count, arguments) : seed_plan(count, arguments);
    Total total;
    run_all(plan, total);
    const CoordinatorSimulationResult& sum = total.sum;
    std::printf(
        "%llu runs, %llu failed; %llu events, %llu commands, %llu queries, %llu possibly executed, "
        "%llu duplicates, %llu sessions, %llu ended, %llu timeouts, %llu leaders, %llu snapshots\n",
        printable(total.runs), printable(total.failed), printable(sum.events), printable(sum.commands),
        printable(sum.queries), printable(sum.possibly_executed), printable(sum.duplicates),
        printable(sum.sessions), printable(sum.sessions_ended), printable(sum.timeouts_expired),
        printable(sum.leaders), printable(sum.snapshots));
    return total.failed > 0 ? 1 : 0;
}
