// The priority weight of a request: its class's, less for a client's retry and for one over its tenant's
// quota. Quotas are token buckets of one second, of this node's even part; tokens are requests.
#pragma once

#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub::balancer {

class RequestPriority {
public:
    explicit RequestPriority(const Settings& settings);

    /// Weight of an arriving request; takes its token from the tenant's quota.
    double weight_of(const RequestArrived& request, TimePoint now);
    /// Adds a client's first attempt to the mean.
    void record_arrival(int class_index);
    /// Mean class weight of first attempts of late.
    double mean_weight() const { return mean_weight_; }

private:
    struct TokenBucket {
        double tokens = 0;
        TimePoint filled_at{};
    };

    bool takes_over_quota(int tenant, TimePoint now);

    const Settings& settings_;
    std::vector<TokenBucket> tenants_;
    double mean_weight_ = 1;
};

}  // namespace ochrehub::balancer
