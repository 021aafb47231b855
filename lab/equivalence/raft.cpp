// Decisions of the consensus core under drawn faults.
#include "lab/equivalence/runner.h"
#include "lab/raft/random_faults.h"

using namespace ochrehub;

int main(int count, char** words) {
    auto faults = [](std::size_t members) {
        return [members](std::uint64_t seed) {
            lab::RandomFaultSettings settings;
            settings.seed = seed;
            settings.time = Duration{10'000};
            settings.servers = members;
            lab::run_random_faults(settings);
        };
    };
    return lab::equivalence::run(count, words, {{"raft_3", faults(3)}, {"raft_5", faults(5)}});
}
