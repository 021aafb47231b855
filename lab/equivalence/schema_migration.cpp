// Decisions of the process that leads a migration, with loss, duplicates, a crash and a stop.
#include "lab/equivalence/runner.h"
#include "lab/schema_migration/simulation.h"

using namespace ochrehub;

int main(int count, char** words) {
    auto faults = [](std::uint64_t seed) {
        lab::migration::Settings settings;
        settings.seed = seed;
        settings.loss = 0.02;
        settings.doubled = 0.05;
        settings.faults = {
            {1 + seed * 37 % 300, lab::migration::Fault::What(seed % 3), settings.lease * 1.4}};
        lab::migration::run(settings);
    };
    return lab::equivalence::run(count, words, {{"migration_faults", faults}});
}
