// Decisions of lease holders, and of the nodes that use the replicated endpoint list.
#include "lab/equivalence/runner.h"
#include "lab/leadership/endpoint_list_simulation.h"
#include "lab/leadership/experiments.h"

using namespace ochrehub;

namespace {

void endpoint_list(std::uint64_t seed) {
    lab::leadership::EndpointListSimulationSettings settings;
    settings.seed = seed;
    settings.real = true;
    lab::leadership::EndpointListSimulation simulation(settings);
    simulation.inject_at(300 + 100 * seed, lab::leadership::PublisherFault(seed % 9), Duration{5000});
    simulation.run_to(simulation.now() + Duration{20'000});
}

}  // namespace

int main(int count, char** words) {
    auto faults = [](bool real) {
        return [real](std::uint64_t seed) { lab::leadership::random_faults(seed, seed + 1, real); };
    };
    return lab::equivalence::run(count, words,
                                 {{"leadership_model", faults(false)},
                                  {"leadership_raft", faults(true)},
                                  {"endpoint_list", endpoint_list}});
}
