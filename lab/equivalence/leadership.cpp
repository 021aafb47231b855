// Decisions of lease holders, and of the nodes that go by the agreed endpoint list.
#include "lab/equivalence/runner.h"
#include "lab/leadership/list_world.h"
#include "lab/leadership/trial.h"

using namespace ochrehub;

namespace {

void endpoint_list(std::uint64_t seed) {
    lab::leadership::ListSettings settings;
    settings.seed = seed;
    settings.real = true;
    lab::leadership::ListWorld world(settings);
    world.hit_at(300 + 100 * seed, lab::leadership::Hit(seed % 9), Duration{5000});
    world.run_to(world.now() + Duration{20'000});
}

}  // namespace

int main(int count, char** words) {
    auto faults = [](bool real) {
        return [real](std::uint64_t seed) { lab::leadership::chaos(seed, seed + 1, real); };
    };
    return lab::equivalence::run(count, words,
                                 {{"leadership_model", faults(false)},
                                  {"leadership_raft", faults(true)},
                                  {"endpoint_list", endpoint_list}});
}
