// Decisions of config distribution under three kinds of fault.
#include "lab/config_distribution/simulation.h"
#include "lab/equivalence/runner.h"

using namespace ochrehub;

int main(int count, char** words) {
    auto fault = [](lab::ConfigFault kind) {
        return [kind](std::uint64_t seed) {
            lab::ConfigSimulationSettings settings;
            settings.fault = kind;
            settings.seed = seed;
            lab::run(settings);
        };
    };
    return lab::equivalence::run(count, words,
                                 {{"documents_calm", fault(lab::ConfigFault::None)},
                                  {"documents_one_way", fault(lab::ConfigFault::OneWayPartitions)},
                                  {"documents_crashes", fault(lab::ConfigFault::Crashes)}});
}
