// Decisions of the processes that act on distributed documents, under each kind of fault.
#include "lab/config_distribution/simulation.h"
#include "lab/equivalence/runner.h"

using namespace ochrehub;

int main(int count, char** words) {
    auto fault = [](lab::Fault kind) {
        return [kind](std::uint64_t seed) {
            lab::WorldSettings settings;
            settings.fault = kind;
            settings.seed = seed;
            lab::play(settings);
        };
    };
    return lab::equivalence::run(count, words,
                                 {{"documents_calm", fault(lab::Fault::None)},
                                  {"documents_one_way", fault(lab::Fault::OneWay)},
                                  {"documents_crashes", fault(lab::Fault::Crashes)}});
}
