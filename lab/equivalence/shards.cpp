// Decisions of the processes that hold shards and of their clients, under drawn faults.
#include "lab/equivalence/runner.h"
#include "lab/shards/faults.h"

using namespace ochrehub;

int main(int count, char** words) {
    auto faults = [](std::uint64_t seed) {
        lab::shards::WorldSettings settings;
        settings.seed = seed;
        lab::shards::drawn_day(settings);
    };
    return lab::equivalence::run(count, words, {{"shards_faults", faults}});
}
