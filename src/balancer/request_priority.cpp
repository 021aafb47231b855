#include "balancer/request_priority.h"

#include <algorithm>

namespace ochrehub::balancer {
namespace {

/// Factor on the weight of a client's retry: part of its time is spent.
constexpr double kClientRetryFactor = 0.3;
/// Weight of one arrival in the mean.
constexpr double kMeanWeightGain = 0.02;
constexpr double kMinMeanWeight = 1e-9;
/// Least size of a tenant's token bucket, in requests.
constexpr double kMinBucket = 5;

}  // namespace

RequestPriority::RequestPriority(const Settings& settings) : settings_(settings) {
    double sum = 0;
    for (const ClassSettings& item : settings.classes) sum += item.priority_weight;
    if (!settings.classes.empty())
        mean_weight_ = std::max(kMinMeanWeight, sum / double(settings.classes.size()));
    tenants_.assign(settings.tenants.size(), {kMinBucket, TimePoint{}});
}

double RequestPriority::weight_of(const RequestArrived& request, TimePoint now) {
    double weight = settings_.classes[std::size_t(request.class_index)].priority_weight;
    weight *= request.is_client_retry ? kClientRetryFactor : 1;
    if (request.tenant >= 0 && takes_over_quota(request.tenant, now)) weight *= settings_.over_quota_weight;
    return weight;
}

void RequestPriority::record_arrival(int class_index) {
    double weight = settings_.classes[std::size_t(class_index)].priority_weight;
    mean_weight_ += kMeanWeightGain * (weight - mean_weight_);
}

bool RequestPriority::takes_over_quota(int tenant, TimePoint now) {
    TokenBucket& bucket = tenants_[std::size_t(tenant)];
    double quota = settings_.tenants[std::size_t(tenant)].quota_rps / settings_.node_count;
    if (quota <= 0) return false;
    double filled = bucket.tokens + quota * (now - bucket.filled_at).count() / 1000;
    bucket.tokens = std::min(std::max(kMinBucket, quota), filled);
    bucket.filled_at = now;
    if (bucket.tokens < 1) return true;
    bucket.tokens -= 1;
    return false;
}

}  // namespace ochrehub::balancer
