#include "balancer/outlier_detector.h"

#include <algorithm>

namespace ochrehub::balancer {
namespace {

/// Weight of one outcome in an endpoint's error rate and in the fleet's.
constexpr double kErrorRateGain = 0.3;
constexpr double kFleetErrorRateGain = 0.06;
/// An outlier has an error rate above this plus kOutlierFactor times the fleet's: more than one error.
constexpr double kMinOutlierErrorRate = 0.2;
constexpr double kOutlierFactor = 1.5;
/// Weight of one attempt in the rates of lost attempts.
constexpr double kLossRateGain = 0.1;
/// Idle connections are suspect when attempts on them are lost this much more often.
constexpr double kSuspectLossDifference = 0.3;
/// Mean backoff after a refused connection, in ms; doubled from the second in a row on.
constexpr Duration kRefusalBackoff{1000};
/// Mean backoff after a request was rejected without execution, in ms.
constexpr Duration kRejectionBackoff{300};

}  // namespace

bool OutlierDetector::record_error(EndpointOutlier& endpoint) {
    endpoint.error_rate += kErrorRateGain * (1 - endpoint.error_rate);
    fleet_error_rate_ += kFleetErrorRateGain * (1 - fleet_error_rate_);
    return endpoint.error_rate > kMinOutlierErrorRate + kOutlierFactor * fleet_error_rate_;
}

void OutlierDetector::record_success(EndpointOutlier& endpoint) {
    endpoint.consecutive_refusals = 0;
    endpoint.error_rate -= kErrorRateGain * endpoint.error_rate;
    fleet_error_rate_ -= kFleetErrorRateGain * fleet_error_rate_;
}

// Jitter of half to one and a half keeps the nodes from returning together.
void OutlierDetector::back_off_after_refused_connection(EndpointOutlier& endpoint, TimePoint now) {
    int factor = endpoint.consecutive_refusals > 0 ? 2 : 1;
    ++endpoint.consecutive_refusals;
    endpoint.backoff_until = now + kRefusalBackoff * ((0.5 + random_.uniform()) * factor);
}

void OutlierDetector::back_off_after_rejection(EndpointOutlier& endpoint, TimePoint now) {
    TimePoint until = now + kRejectionBackoff * (0.5 + random_.uniform());
    endpoint.backoff_until = std::max(endpoint.backoff_until, until);
}

void OutlierDetector::record_connection_use(bool idle_connection, bool lost) {
    double& rate = idle_connection ? idle_loss_rate_ : used_loss_rate_;
    rate += kLossRateGain * (lost - rate);
}

bool OutlierDetector::idle_connections_suspect() const {
    return idle_loss_rate_ > used_loss_rate_ + kSuspectLossDifference;
}

}  // namespace ochrehub::balancer
