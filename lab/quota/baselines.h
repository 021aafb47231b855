// The common quota by other ways, on the same days: what each lets in too much, wastes, and adds to a
// request.
#pragma once

#include "lab/quota/simulation.h"

namespace ochrehub::lab {

enum class Baseline {
    StaticShares,             ///< each node a part of rate and burst of its own
    SingleCounterFailClosed,  ///< each request asks one counter; without an answer within a second it is
                              ///< refused
    SingleCounterFailOpen,    ///< ... or let in
    GossipedCounters,         ///< each node counts what it knows of, and tells three others every 200 ms
    Leases,                   ///< as shipped
};
std::string_view name(Baseline baseline);

struct BaselineResult {
    std::vector<AdmittedRequest> admitted;
    std::vector<double> waits;  ///< milliseconds that requests waited for an answer, in no order
    std::uint64_t messages = 0, requests = 0;
};
BaselineResult run(Baseline baseline, const QuotaSimulationSettings& settings);

}  // namespace ochrehub::lab
