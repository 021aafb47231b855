// Long runs of the consensus simulation, by hand; CI has short ones:
//   ochrehub_raft_lab seeds FROM COUNT [JOBS]
//   ochrehub_raft_lab bench [PROPOSALS] [BYTES] [AT ONCE]
//   ochrehub_raft_lab saboteurs [SEEDS]        (detects all mutants)
//   ochrehub_raft_lab crashes [JOBS]
//   ochrehub_raft_lab explore [DEPTH] [CRASHES] [TIMERS] [DUPLICATES]
// Exits with 0 where nothing was violated, with 1 where something was, with 2 on a wrong command line.
#include <chrono>
#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>

#include "lab/raft/bench.h"
#include "lab/raft/crash_sweep.h"
#include "lab/raft/exploration.h"
#include "lab/raft/mutants.h"
#include "lab/raft/random_faults.h"
#include "lab/record/parallel.h"

using namespace ochrehub::lab;

namespace {

using Seconds = std::chrono::duration<double>;

int run_seeds(std::uint64_t from, std::uint64_t count, int jobs) {
    std::mutex mutex;
    RandomFaultResult total;
    std::uint64_t faulty = 0;
    in_parallel(std::size_t(count), jobs, [&](std::size_t i) {
        RandomFaultSettings settings;
        settings.seed = from + i;
        RandomFaultResult result = run_random_faults(settings);
        std::lock_guard lock(mutex);
        for (const auto& [name, n] : result.counts) total.counts[name] += n;
        total.committed += result.committed;
        total.terms_with_leader += result.terms_with_leader;
        total.operations += result.operations;
        total.events += result.events;
        faulty += !result.violations.empty();
        for (const std::string& violation : result.violations)
            std::printf("seed %" PRIu64 ": %s\n", settings.seed, violation.c_str());
    });
    std::printf("%" PRIu64 " seeds, %" PRIu64 " with violations; %" PRIu64 " events, %" PRIu64
                " committed entries, %" PRIu64 " terms with a leader, %" PRIu64 " operations checked\n",
                count, faulty, total.events, total.committed, total.terms_with_leader, total.operations);
    for (const auto& [name, n] : total.counts) std::printf("  %s: %" PRIu64 "\n", name.c_str(), n);
    return faulty == 0 ? 0 : 1;
}

int run_bench(const RaftBenchSettings& settings) {
    RaftBenchResult result = run_raft_bench(settings);
    auto committed = double(result.committed);
    std::printf("%" PRIu64
                " proposals of %zu bytes, %zu at once: %.0f a second, %.2f messages and %.0f bytes each\n",
                result.committed, settings.proposal_bytes, settings.at_once, committed / result.seconds,
                double(result.messages) / committed, double(result.message_bytes) / committed);
    return result.committed == 0 ? 1 : 0;
}

int detect_mutants(std::uint64_t max_seed) {
    int missed = 0;
    for (const RaftMutant& mutant : raft_mutants()) {
        MutantDetection detection = detect_mutant(mutant, max_seed);
        bool found = !detection.violation.empty();
        missed += !found;
        std::string where =
            detection.seed == 0 ? "in its scenario" : "seed " + std::to_string(detection.seed);
        std::printf("%s: %s: %s\n", mutant.name.c_str(), where.c_str(),
                    found ? detection.violation.c_str() : "NOT FOUND");
    }
    return missed == 0 ? 0 : 1;
}

int run_exploration(int depth, const EventBudget& budget) {
    bool violated = false;
    for (ExplorationStart start :
         {ExplorationStart::Empty, ExplorationStart::Candidates, ExplorationStart::Leader,
          ExplorationStart::OldLeader, ExplorationStart::Removal}) {
        ExplorationSettings settings;
        settings.start = start;
        settings.depth = depth;
        settings.budget = budget;
        settings.budget.reads = start == ExplorationStart::OldLeader ? 1 : 0;
        auto began = std::chrono::steady_clock::now();
        ExplorationResult result = explore_raft(settings);
        Seconds elapsed = std::chrono::steady_clock::now() - began;
        std::printf("%s, depth %d: %" PRIu64 " states by %" PRIu64 " steps, %zu violations, %.1f s\n",
                    name(start).c_str(), depth, result.states, result.steps, result.violations.size(),
                    elapsed.count());
        for (const std::string& violation : result.violations) std::printf("  %s\n", violation.c_str());
        std::fflush(stdout);
        violated = violated || !result.violations.empty();
    }
    return violated ? 1 : 0;
}

/// A crash after each event of the scripted run, with each fate of unsynced writes.
int run_crashes(int jobs) {
    constexpr std::size_t kFates = 3;  ///< of unsynced writes
    constexpr std::uint64_t kEventsAtATime = 300;
    std::mutex mutex;
    std::uint64_t runs = 0;
    std::uint64_t faulty = 0;
    bool more = true;
    for (std::uint64_t from = 1; more; from += kEventsAtATime) {
        more = false;
        in_parallel(std::size_t(kEventsAtATime * kFates), jobs, [&](std::size_t i) {
            CrashRunSettings settings;
            settings.crash_after_event = from + i / kFates;
            settings.unsynced = UnsyncedWrites(i % kFates);
            CrashRunResult result = run_with_crash(settings);
            std::lock_guard lock(mutex);
            if (!result.crashed) return;
            more = more || i / kFates == kEventsAtATime - 1;
            ++runs;
            if (result.violations.empty()) return;
            ++faulty;
            std::printf("event %" PRIu64 ", unsynced writes %zu: %s\n", settings.crash_after_event,
                        i % kFates, result.violations[0].c_str());
        });
    }
    std::printf("%" PRIu64 " crashes, %" PRIu64 " with violations\n", runs, faulty);
    return faulty == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    std::string command = argc > 1 ? argv[1] : "";
    auto number = [&](int position, std::uint64_t fallback) -> std::uint64_t {
        return argc > position ? std::strtoull(argv[position], nullptr, 10) : fallback;
    };
    if (command == "seeds") return run_seeds(number(2, 1), number(3, 100), int(number(4, 2)));
    if (command == "saboteurs") return detect_mutants(number(2, 200));
    if (command == "crashes") return run_crashes(int(number(2, 2)));
    if (command == "explore") {
        EventBudget budget;
        budget.crashes = int(number(3, 1));
        budget.timers = int(number(4, 2));
        budget.duplicates = int(number(5, 1));
        return run_exploration(int(number(2, 6)), budget);
    }
    if (command == "bench")
        return run_bench({number(2, 300'000), std::size_t(number(3, 100)), std::size_t(number(4, 1))});
    std::fprintf(stderr,
                 "usage: ochrehub_raft_lab seeds FROM COUNT [JOBS] | bench [PROPOSALS] [BYTES] [AT ONCE] | "
                 "saboteurs [SEEDS] | crashes [JOBS] | explore [DEPTH] [CRASHES] [TIMERS] [DUPLICATES]\n");
    return 2;
}
