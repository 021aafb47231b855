// Simulations of other designs of a common quota on the same workloads, for comparison: by how much each
// exceeds the budget, what it leaves unused, and what delay it adds to a request.
#pragma once

#include "lab/quota/simulation.h"

namespace ochrehub::lab {

enum class Baseline {
    StaticShares,             ///< each node has a fixed share of rate and burst
    SingleCounterFailClosed,  ///< each request queries one counter; without a response within a second it
                              ///< is rejected
    SingleCounterFailOpen,    ///< as before, but without a response the request is admitted
    GossipedCounters,         ///< each node counts the requests it knows of, and sends its counts to three
                              ///< others every 200 ms
    Leases,                   ///< the production design
};
std::string_view name(Baseline baseline);

struct BaselineResult {
    std::vector<AdmittedRequest> admitted;
    std::vector<double> waits;  ///< how long requests waited for a response, in milliseconds, in no order
    std::uint64_t messages = 0, requests = 0;
};
BaselineResult run(Baseline baseline, const QuotaSimulationSettings& settings);

}  // namespace ochrehub::lab
