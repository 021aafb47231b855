// Decisions of the balancer in the scenarios that ship.
#include "lab/equivalence/runner.h"
#include "lab/sim/simulate.h"

using namespace ochrehub::lab;

int main(int count, char** words) {
    std::vector<equivalence::Scenario> scenarios;
    for (const char* name : {"advice_long",
                             "brownout",
                             "calm",
                             "churn",
                             "cold_start",
                             "discovery_down",
                             "discovery_stale",
                             "fast_errors",
                             "hang",
                             "herd",
                             "hostile",
                             "join",
                             "list_empties",
                             "mixed_random",
                             "nodes_cut",
                             "nodes_restart",
                             "outage_storm",
                             "overload",
                             "partition",
                             "pauses",
                             "planned_restart",
                             "rate_storm",
                             "release",
                             "shared_slow",
                             "slow_clients",
                             "tenant_storm",
                             "third_lost",
                             "tiny",
                             "zone_return",
                             "zone_skew"})
        scenarios.push_back(
            {name, [name](std::uint64_t seed) { simulate(Scenario::read(name).draw(seed)); }});
    return equivalence::run(count, words, scenarios);
}
