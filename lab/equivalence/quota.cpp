// Decisions of the quota's allocators and limiters under random faults.
#include "lab/equivalence/runner.h"
#include "lab/quota/simulation.h"
#include "lab/quota/workloads.h"

using namespace ochrehub;

int main(int count, char** words) {
    auto faults = [](std::uint64_t seed) {
        lab::QuotaSimulationSettings settings = lab::swinging_workload(2, 5, seed);
        settings.faults = lab::random_faults(seed, settings, 12);
        lab::run(settings);
    };
    auto calm = [](std::uint64_t seed) { lab::run(lab::steady_workload(2, 5, seed)); };
    return lab::equivalence::run(count, words, {{"quota_calm", calm}, {"quota_faults", faults}});
}
