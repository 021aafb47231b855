#include "balancer/concurrency_limiter.h"

#include <algorithm>

namespace ochrehub::balancer {
namespace {

/// Requests in flight at a new endpoint: of all nodes that use it, and at most of one.
constexpr double kInitialLimit = 3;
constexpr double kMaxInitialLimit = 3;
/// Requests in flight at a slow endpoint, of all nodes that use it: fewer leave its cores idle.
constexpr double kMinFleetLimit = 6;
/// Factors on the limit after a slow response, and after a timeout or rejection.
constexpr double kSlowResponseFactor = 0.85;
constexpr double kRejectionFactor = 0.7;
/// Numerator of the additive increase after a quick response: smaller as the limit grows.
constexpr double kIncrease = 1.25;
/// Longest time between two sends to an endpoint, in ms.
constexpr Duration kMaxSpacing{2000};

}  // namespace

// A random last send keeps nodes that learn of an endpoint together from sending to it together.
void ConcurrencyLimiter::initialise(EndpointConcurrency& endpoint, double nodes_per_endpoint, TimePoint now) {
    if (endpoint.limit > 0) return;
    endpoint.limit = std::min(kMaxInitialLimit, kInitialLimit / nodes_per_endpoint);
    endpoint.last_send = now - random_.uniform() * latency_.mean_baseline_ms() / endpoint.limit * Duration{1};
}

void ConcurrencyLimiter::reset(EndpointConcurrency& endpoint) const {
    endpoint.consecutive_timeouts = 0;
    endpoint.limit = 0;
    endpoint.connected = false;
}

bool ConcurrencyLimiter::has_capacity(const EndpointConcurrency& endpoint, const CapacityQuery& query) const {
    // Without a connection, or after timeouts: one request, and one handshake, at a time.
    bool on_trial = !endpoint.connected || endpoint.consecutive_timeouts > 1;
    double limit = (on_trial ? std::min(1.0, endpoint.limit) : endpoint.limit) * query.warmed_up_fraction;
    if (limit >= 1 || query.load_is_reported) return endpoint.own_inflight < std::max(1.0, limit);
    if (endpoint.own_inflight >= 1) return false;
    Duration round = std::max(endpoint.last_response_time, Duration{latency_.mean_baseline_ms()});
    Duration spacing = std::min(kMaxSpacing, round / std::max(limit, min_limit(query.nodes_per_endpoint)));
    return query.now - endpoint.last_send >= spacing;
}

void ConcurrencyLimiter::record_response(EndpointConcurrency& endpoint, Duration elapsed,
                                         double latency_ratio, const CapacityQuery& query) const {
    if (latency_ratio > kHighLatencyRatio && query.now - endpoint.limit_reduced_at > elapsed) {
        endpoint.limit = std::max(min_limit(query.nodes_per_endpoint), endpoint.limit * kSlowResponseFactor);
        endpoint.limit_reduced_at = query.now;
        return;
    }
    // During slow start only a part of the limit is in use.
    bool limit_in_use = endpoint.own_inflight + 1 >= endpoint.limit * query.warmed_up_fraction;
    if (latency_ratio < kLowLatencyRatio && limit_in_use)
        endpoint.limit += std::min(endpoint.limit, kIncrease / (1 + endpoint.limit));
}

void ConcurrencyLimiter::reduce(EndpointConcurrency& endpoint, double nodes_per_endpoint) const {
    endpoint.limit = std::max(min_limit(nodes_per_endpoint), endpoint.limit * kRejectionFactor);
}

// One or two nodes get no more together than three: part of each request's time passes elsewhere, so a single
// request of each would leave the endpoint idle.
double ConcurrencyLimiter::min_limit(double nodes_per_endpoint) const {
    return std::min(std::max(1.0, kMinFleetLimit / settings_.node_count),
                    kMinFleetLimit / nodes_per_endpoint);
}

}  // namespace ochrehub::balancer
