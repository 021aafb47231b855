// How many of this node's own requests an endpoint may hold, so that queues form in the node, where a request
// can still go elsewhere. The limit grows while responses are quick and shrinks while they are slow. A limit
// below one becomes a minimum spacing between sends: many nodes with one request each are a crowd.
#pragma once

#include "balancer/latency_estimator.h"
#include "balancer/random_source.h"
#include "ochrehub/balancer.h"

namespace ochrehub::balancer {

/// An endpoint's part of the state.
struct EndpointConcurrency {
    int own_inflight = 0;          ///< this node's attempts in flight
    double limit = 0;              ///< of own_inflight; 0: not initialised yet
    TimePoint limit_reduced_at{};  ///< after a slow response
    TimePoint last_send{};
    TimePoint last_use{};  ///< of a connection: send or response
    Duration last_response_time{};
    bool connected = false;        ///< a response has come since its connections last broke
    int consecutive_timeouts = 0;  ///< own attempts since the last response
};

/// What an endpoint's capacity depends on besides its own state.
struct CapacityQuery {
    double warmed_up_fraction = 1;
    double nodes_per_endpoint = 1;
    bool load_is_reported = false;  ///< load probes bound what it holds
    TimePoint now{};
};

class ConcurrencyLimiter {
public:
    ConcurrencyLimiter(const Settings& settings, const LatencyEstimator& latency, RandomSource& random)
        : settings_(settings), latency_(latency), random_(random) {}

    /// Sets the limit of an endpoint that has none yet.
    void initialise(EndpointConcurrency& endpoint, double nodes_per_endpoint, TimePoint now);
    /// A new or restarted process.
    void reset(EndpointConcurrency& endpoint) const;

    bool has_capacity(const EndpointConcurrency& endpoint, const CapacityQuery& query) const;
    /// Adapts the limit to a response that took `elapsed`; `latency_ratio` is the endpoint's after it.
    void record_response(EndpointConcurrency& endpoint, Duration elapsed, double latency_ratio,
                         const CapacityQuery& query) const;
    /// A timeout or a rejection.
    void reduce(EndpointConcurrency& endpoint, double nodes_per_endpoint) const;

private:
    double min_limit(double nodes_per_endpoint) const;

    const Settings& settings_;
    const LatencyEstimator& latency_;
    RandomSource& random_;
};

}  // namespace ochrehub::balancer
