// Decisions of the quota's allocators and limiters under drawn faults.
#include "lab/equivalence/runner.h"
#include "lab/quota/scripts.h"
#include "lab/quota/world.h"

using namespace ochrehub;

int main(int count, char** words) {
    auto faults = [](std::uint64_t seed) {
        lab::QuotaDay day = lab::swinging_day(2, 5, seed);
        day.faults = lab::draw_faults(seed, day, 12);
        lab::run(day);
    };
    auto calm = [](std::uint64_t seed) { lab::run(lab::steady_day(2, 5, seed)); };
    return lab::equivalence::run(count, words, {{"quota_calm", calm}, {"quota_faults", faults}});
}
