// lab_migration_runs: runs that are too long for CI, started by hand. See docs/design/schema.md.
//     calm SEEDS                 migrations between all adjacent versions, without faults
//     faulty SEEDS               the same with lost and duplicated messages, a paused and resumed old
//     process, one
//                                crash and one pause
//     million RECORDS STEP       at one holder, with this number of groups per step: duration, rate, memory,
//     longest step sweep STEP SECOND JOBS     a crash or pause at every STEPth message, with a second fault
//     at every SECONDth message
//                                after it (0: none)
#include <cstdio>
#include <cstdlib>
#include <string>

#include "lab/schema_migration/million.h"
#include "lab/schema_migration/simulation.h"

using namespace ochrehub::lab::migration;
namespace m = ochrehub::schema_migration;

namespace {

int tell(const Settings& settings, const Outcome& outcome) {
    if (outcome.broken.empty() && m::ended(outcome.stage)) return 0;
    std::printf("seed %llu, %s %u to %u: %s, stopped %u %s\n", (unsigned long long)settings.seed,
                std::string(ochrehub::schema::name(settings.kind)).c_str(), settings.from, settings.to,
                std::string(m::name(outcome.stage)).c_str(), outcome.stopped, outcome.about.c_str());
    for (const std::string& broken : outcome.broken) std::printf("    %s\n", broken.c_str());
    return 1;
}

}  // namespace

int main(int argc, char** argv) {
    auto number = [&](int at, int otherwise) { return at < argc ? std::atoi(argv[at]) : otherwise; };
    std::string what = argc > 1 ? argv[1] : "";
    struct Pair {
        Kind kind;
        Version from, to;
    };
    const Pair pairs[] = {{Kind::Sessions, 1, 2}, {Kind::Sessions, 2, 3}, {Kind::Sessions, 3, 4},
                          {Kind::Sessions, 4, 3}, {Kind::Sessions, 2, 1}, {Kind::Rates, 1, 2},
                          {Kind::Rates, 2, 3},    {Kind::Rates, 3, 2}};
    if (what == "calm" || what == "faulty") {
        int bad = 0, runs = 0;
        unsigned long long acked = 0, messages = 0, epochs = 0;
        for (const Pair& pair : pairs)
            for (int seed = 1; seed <= number(2, 10); ++seed) {
                Settings settings;
                settings.kind = pair.kind, settings.from = pair.from, settings.to = pair.to,
                settings.seed = std::uint64_t(seed);
                if (what == "faulty") {
                    settings.loss = 0.02, settings.doubled = 0.05;
                    settings.faults = {
                        {std::uint64_t(1 + seed * 37 % 300), Fault::What(seed % 3), settings.lease * 1.4},
                        {std::uint64_t(301 + seed * 53 % 200), Fault::What(seed / 3 % 3),
                         settings.lease * 0.4}};
                    settings.old_node = pair.from < pair.to, settings.old_careless = true;
                    settings.old_stops = ochrehub::Duration{0},
                    settings.old_returns = ochrehub::Duration{6000};
                }
                Outcome outcome = run(settings);
                bad += tell(settings, outcome);
                ++runs, acked += outcome.acked, messages += outcome.messages, epochs += outcome.epochs;
            }
        std::printf(
            "%d worlds, %d broken; %llu writes acknowledged, %llu messages of migrations, %llu owners\n",
            runs, bad, acked, messages, epochs);
        return bad != 0;
    }
    if (what == "sweep") {
        FaultSweep all;
        all.settings.nodes = 2, all.settings.groups = 16, all.settings.op = ochrehub::Duration{30};
        all.step = std::uint64_t(number(2, 1)), all.second_step = std::uint64_t(number(3, 0)),
        all.jobs = number(4, 1);
        FaultSweepResult swept = sweep(all);
        std::printf("%llu worlds, %llu over, %llu broken, %llu messages of migrations, %llu in the longest\n",
                    (unsigned long long)swept.runs, (unsigned long long)swept.over,
                    (unsigned long long)swept.broken, (unsigned long long)swept.messages,
                    (unsigned long long)swept.longest);
        for (const std::string& broken : swept.first_broken) std::printf("    %s\n", broken.c_str());
        return swept.broken != 0;
    }
    if (what == "million")
        for (const Pair& pair : {Pair{Kind::Sessions, 3, 4}, Pair{Kind::Rates, 2, 3}})
            if (!run_large_migration(pair.kind, pair.from, pair.to, std::size_t(number(2, 1'000'000)),
                                     std::uint32_t(number(3, 200))))
                return 1;
    if (what == "million") return 0;
    std::fprintf(
        stderr,
        "lab_migration_runs calm SEEDS | faulty SEEDS | million RECORDS STEP | sweep STEP SECOND JOBS\n");
    return 2;
}
