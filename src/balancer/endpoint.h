// One endpoint as this node knows it: its registration, and the state of each module, which only that module
// interprets.
#pragma once

#include <cstdint>

#include "balancer/concurrency_limiter.h"
#include "balancer/health_tracker.h"
#include "balancer/latency_estimator.h"
#include "balancer/load_report_tracker.h"
#include "balancer/outlier_detector.h"
#include "balancer/slow_start.h"
#include "ochrehub/balancer.h"

namespace ochrehub::balancer {

/// Index of an endpoint in EndpointRegistry; reused once the endpoint is forgotten.
using EndpointIndex = std::size_t;

/// EndpointRegistry's part of the state.
struct EndpointRegistration {
    bool listed = false;         ///< by the current endpoint list
    bool listed_before = false;  ///< by this list or the one before
    TimePoint last_listed{};
    int references = 0;      ///< attempts of requests that are still known
    bool is_free = false;    ///< forgotten: its place may be taken by another
    bool draining = false;   ///< announced, also if removed since
    std::uint64_t rank = 0;  ///< in this node's random order of the endpoints
};

/// SubsetSelector's part of the state.
struct EndpointMembership {
    bool is_member = false;
    int assigned_nodes =
        0;  ///< nodes it is assigned to, this one included; 0: no assignment; -1: not this one
};

/// EndpointPicker's part of the state.
struct EndpointRotation {
    double current = 0;  ///< of the smooth weighted rotation
    double weight = 1;   ///< effective weight, as of weight_at
    TimePoint weight_at = TimePoint::min();
};

struct Endpoint {
    EndpointId id = 0;
    EndpointEntry entry;
    EndpointRegistration registration;
    EndpointHealth health;
    EndpointOutlier outlier;
    EndpointConcurrency concurrency;
    EndpointLatency latency;
    EndpointLoad load;
    EndpointSlowStart slow_start;
    EndpointMembership membership;
    EndpointRotation rotation;
};

}  // namespace ochrehub::balancer
