// ochrehub_leadership_lab: long series of leadership simulations, and their figures.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "lab/leadership/endpoint_list_simulation.h"
#include "lab/leadership/experiments.h"

using namespace ochrehub;
using namespace ochrehub::lab::leadership;

namespace {

int failed = 0;

void print(const char* what, const ExperimentResult& result) {
    std::printf(
        "%-44s %7llu runs, %9llu events, %8llu effects, %6llu holders, %6llu rejected: %llu violations %s\n",
        what, static_cast<unsigned long long>(result.runs), static_cast<unsigned long long>(result.events),
        static_cast<unsigned long long>(result.effects), static_cast<unsigned long long>(result.holders),
        static_cast<unsigned long long>(result.rejected), static_cast<unsigned long long>(result.violations),
        result.first_violation.c_str());
    std::fflush(stdout);
    failed += result.violations > 0;
}

struct NamedHandover {
    Handover handover{};
    const char* name = "";
};

void gaps(bool real) {
    std::printf("time without a holder, lease 3 s, renewed each second, by the receivers (ms)%s\n",
                real ? ", over Raft" : "");
    constexpr NamedHandover kAll[] = {{Handover::Kill, "killed"},
                                      {Handover::Stop, "stopped"},
                                      {Handover::CutToKeepers, "cut off from the coordinators one way"},
                                      {Handover::Move, "transferred"}};
    for (const auto& [handover, what] : kAll) {
        Gaps all = time_without_holder(handover, 400, Duration{3000}, real);
        std::printf("%-34s median %5.0f  worst %5.0f  (%zu runs)\n", what, all.median().count(),
                    all.worst().count(), all.each.size());
    }
}

TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}

void calls_of(const char* what, EndpointListSimulationSettings settings, Duration every) {
    settings.drain_interval = every;
    EndpointListSimulation simulation(settings);
    simulation.run_to(at(66'000));
    EndpointListOutcome out = simulation.outcome();
    Duration median = out.known_after.empty() ? Duration{0} : out.known_after[out.known_after.size() / 2];
    std::printf(
        "%-44s every %6.0f ms: %6llu calls, %5llu failed, drains known: median %5.0f  worst %5.0f ms, %zu "
        "violations\n",
        what, every.count(), static_cast<unsigned long long>(out.calls),
        static_cast<unsigned long long>(out.failed), median.count(),
        out.known_after.empty() ? 0 : out.known_after.back().count(), out.violations.size());
    failed += !out.violations.empty() && settings.replicated;
}

void endpoint_list(std::uint64_t stride) {
    for (Duration every : {Duration{1e9}, Duration{10'000}, Duration{3000}}) {
        EndpointListSimulationSettings tier, one, each;
        tier.nodes = each.nodes = 100;
        one.nodes = 1;
        one.replicated = each.replicated = false;
        calls_of("100 nodes, replicated list", tier, every);
        calls_of("one node by itself", one, every);
        calls_of("100 nodes, each by itself", each, every);
        each.calls_per_s = tier.calls_per_s = 22;
        calls_of("100 nodes, replicated list, 22 calls a second", tier, every);
        calls_of("100 nodes, each by itself, 22 calls a second", each, every);
    }
    for (PublisherFault fault :
         {PublisherFault::Kill, PublisherFault::Stop, PublisherFault::CutToKeepers,
          PublisherFault::CutFromKeepers, PublisherFault::CutToDiscovery, PublisherFault::CutFromDiscovery,
          PublisherFault::Hang, PublisherFault::KeepersGone, PublisherFault::KeepersAndBack}) {
        EndpointListResult trial = fault_at_each_event({}, {fault, Duration{9000}, 1, stride});
        std::printf(
            "publisher: %-22s %llu runs, %llu drains, longest %6.0f ms, %.2f calls a second, %llu violations "
            "%s\n",
            std::string(name(fault)).c_str(), static_cast<unsigned long long>(trial.runs),
            static_cast<unsigned long long>(trial.drains), trial.worst.count(),
            double(trial.calls) / trial.seconds, static_cast<unsigned long long>(trial.violations),
            trial.first_violation.c_str());
        std::fflush(stdout);
        failed += trial.violations > 0;
        EndpointListSimulationSettings real;
        real.real = true;
        EndpointListResult over = fault_at_each_event(real, {fault, Duration{9000}, 1, 7 * stride});
        std::printf("publisher: %-22s over Raft: %llu runs, longest %6.0f ms, %llu violations %s\n",
                    std::string(name(fault)).c_str(), static_cast<unsigned long long>(over.runs),
                    over.worst.count(), static_cast<unsigned long long>(over.violations),
                    over.first_violation.c_str());
        failed += over.violations > 0;
    }
    for (std::size_t i = 1; i < kEndpointListMutants; ++i) {
        EndpointListResult with = endpoint_list_runs_for_mutant(EndpointListMutant(i), EndpointListMutant(i)),
                           without =
                               endpoint_list_runs_for_mutant(EndpointListMutant(i), EndpointListMutant::None);
        std::printf(
            "%s | %llu of %llu | without it %llu | %s\n", std::string(name(EndpointListMutant(i))).c_str(),
            static_cast<unsigned long long>(with.violations), static_cast<unsigned long long>(with.runs),
            static_cast<unsigned long long>(without.violations), with.first_violation.c_str());
        failed += with.violations == 0 || without.violations > 0;
    }
}

void faults_at_each_event() {
    struct NamedFault {
        Fault fault{};
        std::string name;
    };
    const NamedFault all[] = {{Fault::Kill, "killed at each event"},
                              {Fault::Stop, "paused after each event"},
                              {Fault::CutToKeepers, "cut off one way at each event"}};
    for (const auto& [fault, name] : all) {
        print(name.c_str(), fault_at_each_event(scripted(20), fault, {1, 1}));
        LeaseSimulationSettings over_raft = scripted(20);
        over_raft.real = true;
        print((name + ", over Raft").c_str(), fault_at_each_event(over_raft, fault, {1, 1}));
        print((name + ", and again").c_str(), fault_at_each_event(scripted(4), fault, {1, 1}, true));
    }
}

void mutants() {
    for (std::size_t i = 1; i < kMutants; ++i) {
        const Mutant mutant = Mutant(i);
        const ExperimentResult with = runs_for_mutant(mutant, mutant);
        const ExperimentResult without = runs_for_mutant(mutant, Mutant::None);
        std::printf("%s | %s | %llu of %llu | without it %llu | %s\n", std::string(name(mutant)).c_str(),
                    std::string(revealing_fault(mutant)).c_str(),
                    static_cast<unsigned long long>(with.violations),
                    static_cast<unsigned long long>(with.runs),
                    static_cast<unsigned long long>(without.violations), with.first_violation.c_str());
        failed += with.violations == 0 || without.violations > 0;
    }
}

}  // namespace

int main(int count, char** words) {
    const std::string what = count > 1 ? words[1] : "";
    if (what == "each") {
        faults_at_each_event();
    } else if (what == "seeds") {
        const std::uint64_t end = 1 + std::uint64_t(count > 2 ? std::atoi(words[2]) : 1000);
        print("everything at once", random_faults(1, end));
        print("everything at once, over Raft", random_faults(1, end, true));
    } else if (what == "gaps") {
        gaps(false);
        gaps(true);
    } else if (what == "mutants") {
        mutants();
    } else if (what == "list") {
        endpoint_list(count > 2 ? std::uint64_t(std::max(1, std::atoi(words[2]))) : 1);
    } else {
        std::printf("ochrehub_leadership_lab each | seeds [N] | gaps | mutants | list [STRIDE]\n");
        return 2;
    }
    return failed > 0;
}
