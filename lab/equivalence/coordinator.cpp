// Decisions of the coordinators' replicas and of the sessions with them, under drawn faults.
#include "lab/coordinator/simulation.h"
#include "lab/equivalence/runner.h"

using namespace ochrehub;

int main(int count, char** words) {
    auto faults = [](std::size_t members) {
        return [members](std::uint64_t seed) {
            lab::CoordinatorSimulationSettings settings;
            settings.coordinators = members;
            settings.seed = seed;
            lab::run(settings);
        };
    };
    return lab::equivalence::run(count, words, {{"coordinator_3", faults(3)}, {"coordinator_5", faults(5)}});
}
