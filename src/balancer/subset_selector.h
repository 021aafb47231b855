// Which endpoints this node uses and probes. Where there are many nodes or few requests that is a subset, as
// large as one more endpoint gains more than it costs in probes and connections; endpoints that are Unhealthy
// are made up for. Also the order of all endpoints in use: own zone first where crossing costs, and last
// those that were removed but still answer. Subsets that all nodes compute alike are subset assignment's.
#pragma once

#include <vector>

#include "balancer/endpoint_registry.h"
#include "balancer/health_tracker.h"
#include "balancer/throughput_tracker.h"
#include "ochrehub/subset.h"

namespace ochrehub::balancer {

/// Least size of a subset: a load probe to two, and one to spare.
inline constexpr std::size_t kMinSubset = 3;

class SubsetSelector {
public:
    struct Inputs {
        const Settings& settings;
        EndpointRegistry& registry;
        const ThroughputTracker& throughput;
    };
    explicit SubsetSelector(const Inputs& inputs) : inputs_(inputs) {}

    /// The endpoint list, an endpoint's health or the number of nodes has changed.
    void invalidate() { is_stale_ = true; }
    bool is_due(TimePoint now) const;

    /// Orders the endpoints in use and sizes the subset, which is empty then.
    void rebuild(TimePoint now);
    /// Offers the endpoints in order; true: it is in the subset or Unhealthy, so it is to be probed.
    bool offer(Endpoint& endpoint);

    /// Endpoints in use, in order of preference.
    const std::vector<EndpointIndex>& order() const { return order_; }
    /// How many of them, from the front, need no zone crossing that costs.
    std::size_t local_count() const { return local_count_; }
    std::size_t size() const { return size_; }
    /// Sum of the weights in use; 1 per endpoint where weights say nothing of capacity.
    double total_weight() const { return total_weight_; }
    /// Listed endpoints that get no new requests.
    std::size_t unavailable() const { return unavailable_; }
    FleetHealth fleet_health() const { return {order_.size(), members_, unhealthy_}; }
    /// Nodes that use one endpoint, if all have subsets of this one's size; 1 at least.
    double nodes_per_endpoint() const { return nodes_per_endpoint_; }
    /// Crossing zones costs enough to use the own zone first.
    bool prefers_own_zone() const;
    bool is_in_other_zone(const Endpoint& endpoint) const;

private:
    std::size_t size_for(double arrivals_per_s) const;
    int preference_tier(const Endpoint& endpoint, TimePoint now) const;
    void order_endpoints(TimePoint now);
    void assign();

    Inputs inputs_;
    SubsetCache assignment_;
    std::vector<EndpointIndex> order_;
    std::size_t local_count_ = 0;
    std::size_t size_ = kMinSubset;  ///< at most this many endpoints are members
    std::size_t members_ = 0;
    std::size_t unhealthy_ = 0;
    std::size_t unavailable_ = 0;
    double total_weight_ = 1;
    double nodes_per_endpoint_ = 1;
    bool is_stale_ = true;
    TimePoint rebuilt_at_{};
};

}  // namespace ochrehub::balancer
