#include "balancer/subset_selector.h"

#include <algorithm>
#include <cmath>

#include "ochrehub/hash.h"

namespace ochrehub::balancer {
namespace {

/// What a second endpoint in use gains, as a fraction of the result; a zone crossing that costs more is
/// avoided.
constexpr double kSubsetGain = 0.05;
constexpr double kMinMemberCost = 1e-9;
/// Endpoints for each request that one holds, whatever they cost.
constexpr double kEndpointsPerBusyRequest = 2;
/// How long a subset is kept while the list and health do not change, in ms.
constexpr Duration kSubsetAge{1000};
/// A removed endpoint counts as answering for this many probe intervals after its last success.
constexpr int kRemovedProbeIntervals = 3;

}  // namespace

bool SubsetSelector::is_due(TimePoint now) const {
    return is_stale_ || now - rebuilt_at_ >= kSubsetAge;
}

void SubsetSelector::rebuild(TimePoint now) {
    is_stale_ = false;
    rebuilt_at_ = now;
    order_endpoints(now);
    total_weight_ = 0;
    for (EndpointIndex index : order_)
        total_weight_ += inputs_.settings.weights_track_load ? 1 : inputs_.registry.at(index).entry.weight;
    double busy = inputs_.throughput.served(now) * total_weight_ / 1000;
    std::size_t for_load = std::min(order_.size(), std::size_t(kEndpointsPerBusyRequest * busy));
    size_ = std::max(size_for(inputs_.throughput.arrivals_per_s()), for_load);
    double in_use = std::max(1.0, double(order_.size()));
    nodes_per_endpoint_ = std::max(1.0, inputs_.settings.node_count * double(size_) / in_use);
    members_ = 0;
    unhealthy_ = 0;
    unavailable_ = 0;
    for (Endpoint& endpoint : inputs_.registry.endpoints()) {
        endpoint.membership = {};
        unavailable_ += endpoint.registration.listed;
    }
    assign();
}

void SubsetSelector::order_endpoints(TimePoint now) {
    constexpr int kTiers = 3;
    order_.clear();
    local_count_ = 0;
    for (int tier = 0; tier < kTiers; ++tier) {
        for (EndpointIndex index : inputs_.registry.ranked()) {
            const Endpoint& endpoint = inputs_.registry.at(index);
            if (inputs_.registry.in_use(endpoint) && preference_tier(endpoint, now) == tier)
                order_.push_back(index);
        }
        if (tier == 0) local_count_ = order_.size();
    }
    // With no endpoint in the own zone there is no crossing to avoid.
    if (!prefers_own_zone() || local_count_ == 0) local_count_ = order_.size();
}

bool SubsetSelector::offer(Endpoint& endpoint) {
    bool unhealthy = endpoint.health.status == Health::Unhealthy;
    unhealthy_ += unhealthy;
    unavailable_ -= endpoint.registration.listed && !unhealthy;
    if (!unhealthy && members_ >= size_) return false;
    endpoint.membership.is_member = !unhealthy;
    members_ += !unhealthy;
    return true;
}

std::size_t SubsetSelector::size_for(double arrivals_per_s) const {
    const Settings& settings = inputs_.settings;
    double endpoints = std::max(1.0, double(order_.size()));
    double member_cost =
        settings.connection_cost * settings.node_count / (100 * endpoints) +
        settings.probe_cost / (kProbeInterval.count() / 1000 * std::max(1.0, arrivals_per_s));
    double size = std::sqrt(kSubsetGain / std::max(kMinMemberCost, member_cost));
    return std::max(kMinSubset, std::size_t(std::min(size, double(order_.size()))));
}

// Random subsets leave some endpoints with several times the nodes of others. All nodes must compute the same
// assignment, so its size follows the tenants' quotas, which all know, and not this node's arrivals.
void SubsetSelector::assign() {
    const Settings& settings = inputs_.settings;
    double quotas = 0;
    for (const TenantSettings& tenant : settings.tenants) quotas += tenant.quota_rps;
    std::size_t size = size_for(quotas / settings.node_count);
    if (quotas <= 0 || size >= order_.size() || prefers_own_zone() || settings.removal_not_binding) return;
    std::vector<std::uint64_t> keys;
    for (EndpointIndex index : order_) keys.push_back(mixed(inputs_.registry.at(index).entry.key));
    const Subset& subset = assignment_.get(keys, settings.node_count, settings.node_index, size);
    for (std::size_t k = 0; k < subset.nodes_per_endpoint.size(); ++k)
        inputs_.registry.at(order_[k]).membership.assigned_nodes =
            subset.assigned[k] ? subset.nodes_per_endpoint[k] : -1;
    std::stable_partition(order_.begin(), order_.end(), [&](EndpointIndex index) {
        return inputs_.registry.at(index).membership.assigned_nodes >= 0;
    });
}

bool SubsetSelector::prefers_own_zone() const {
    return inputs_.settings.cross_zone_cost > kSubsetGain;
}

bool SubsetSelector::is_in_other_zone(const Endpoint& endpoint) const {
    return endpoint.entry.zone != inputs_.settings.zone;
}

int SubsetSelector::preference_tier(const Endpoint& endpoint, TimePoint now) const {
    if (!endpoint.registration.listed &&
        now - endpoint.health.last_success > kRemovedProbeIntervals * kProbeInterval)
        return 2;
    return prefers_own_zone() && is_in_other_zone(endpoint) ? 1 : 0;
}

}  // namespace ochrehub::balancer
