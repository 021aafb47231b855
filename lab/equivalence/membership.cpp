// Decisions of gossip members: joining, loss, pauses, one-sided cuts and a crash.
#include "lab/equivalence/runner.h"
#include "lab/swarm/trial.h"

using namespace ochrehub;

int main(int count, char** words) {
    auto members = [](std::size_t size, double loss, double pauses) {
        return [size, loss, pauses](std::uint64_t seed) {
            lab::SwarmTrial trial;
            trial.swarm.members = size;
            trial.swarm.loss = loss;
            trial.swarm.seed = seed;
            trial.pauses = pauses;
            trial.one_sided = pauses > 0 ? 10 : 0;
            lab::run(trial);
        };
    };
    return lab::equivalence::run(
        count, words, {{"membership_calm", members(10, 0, 0)}, {"membership_faults", members(16, 0.1, 60)}});
}
