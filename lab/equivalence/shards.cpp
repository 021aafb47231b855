// Decisions of the processes that hold shards and of their clients, under random faults.
#include "lab/equivalence/runner.h"
#include "lab/shards/fault_scenarios.h"

using namespace ochrehub;

int main(int count, char** words) {
    auto faults = [](std::uint64_t seed) {
        lab::shards::SimulationSettings settings;
        settings.seed = seed;
        lab::shards::run_random_faults(settings);
    };
    return lab::equivalence::run(count, words, {{"shards_faults", faults}});
}
