#include <algorithm>
#include <array>

#include "lab/leadership/endpoint_list_simulation.h"

namespace ochrehub::lab::leadership {

std::string_view name(EndpointListMutant mutant) {
    constexpr std::array<std::string_view, kEndpointListMutants> kNames{
        "none",
        "never watches discovery itself",
        "counts from the update",
        "reports without polling",
        "no jitter",
        "the publisher ignores discovery's response"};
    return kNames[std::size_t(mutant)];
}

std::string_view name(PublisherFault fault) {
    constexpr std::array<std::string_view, 9> kNames{"killed",
                                                     "paused",
                                                     "cut to the coordinators",
                                                     "cut from the coordinators",
                                                     "cut to discovery",
                                                     "cut from discovery",
                                                     "hung",
                                                     "coordinators gone",
                                                     "coordinators gone and back"};
    return kNames[std::size_t(fault)];
}

void EndpointListResult::add(EndpointListSimulation& simulation, const std::string& run) {
    EndpointListOutcome outcome = simulation.outcome();
    ++runs;
    drains += outcome.drains;
    calls += outcome.calls;
    failed += outcome.failed;
    seconds += outcome.seconds;
    if (!outcome.known_after.empty()) worst = std::max(worst, outcome.known_after.back());
    if (outcome.violations.empty()) return;
    if (violations++ == 0) first_violation = run + ": " + outcome.violations.front();
}

EndpointListResult fault_at_each_event(const EndpointListSimulationSettings& settings,
                                       const EndpointListFaults& faults) {
    EndpointListResult result;
    EndpointListSimulation without_fault(settings);
    without_fault.run_to(TimePoint{Duration{5000}});
    const std::uint64_t begin = without_fault.events();
    without_fault.run_to(TimePoint{Duration{15'000}});
    for (std::uint64_t n = begin + faults.first; n <= without_fault.events(); n += faults.stride) {
        EndpointListSimulation simulation(settings);
        simulation.inject_at(n, faults.fault, faults.duration);
        simulation.run_to(TimePoint{Duration{45'000}});
        result.add(simulation, std::string(name(faults.fault)) + " at event " + std::to_string(n));
    }
    return result;
}

EndpointListResult endpoint_list_runs_for_mutant(EndpointListMutant revealed, EndpointListMutant in_effect) {
    EndpointListSimulationSettings settings;
    settings.mutant = in_effect;
    if (revealed == EndpointListMutant::OwnerIgnoresTold)
        return fault_at_each_event(settings, {PublisherFault::CutToKeepers, Duration{20'000}, 1, 47});
    if (revealed == EndpointListMutant::NeverAsksItself || revealed == EndpointListMutant::CountsFromNews)
        return fault_at_each_event(settings, {PublisherFault::Hang, Duration{25'000}, 1, 199});
    const bool floods = revealed == EndpointListMutant::AsksAtOnce;
    if (floods) {
        settings.nodes = 100;
        settings.calls_per_s = 40;
        settings.drain_interval = Duration{1e9};
    }
    EndpointListSimulation simulation(settings);
    simulation.run_to(TimePoint{Duration{10'000}});
    if (floods) simulation.inject(PublisherFault::KeepersGone, Duration{60'000});
    simulation.run_to(TimePoint{Duration{45'000}});
    EndpointListResult result;
    result.add(simulation, "one run");
    if (floods && result.failed > 0) {
        ++result.violations;
        result.first_violation = std::to_string(result.failed) + " calls failed";
    }
    return result;
}

}  // namespace ochrehub::lab::leadership
