#include "balancer/latency_estimator.h"

#include <algorithm>
#include <cmath>

namespace ochrehub::balancer {
namespace {

/// Weight of one response in its endpoint's ratio and in the fleet's.
constexpr double kLatencyRatioGain = 0.15;
constexpr double kFleetLatencyRatioGain = 0.06;
/// Time constant over which a ratio decays without responses, in ms.
constexpr Duration kLatencyRatioDecay{3000};
/// Weight of one response below or above a baseline: it settles near the lower third of the responses.
constexpr double kBaselineFallGain = 0.04;
constexpr double kBaselineRiseGain = 0.02;
/// The cap of a baseline where the least response exceeds the objective's fraction: this multiple of it ...
constexpr double kBaselineOverMinimum = 1.4;
/// ... once there were this many responses.
constexpr int kMinResponsesForMinimum = 100;
/// Time constant with which the least response rises again, in ms.
constexpr Duration kMinimumRise{600000};
/// The baseline before the first response is the latency objective divided by this.
constexpr double kInitialBaselineDivisor = 4;
/// Least baseline that a ratio is computed against, in ms.
constexpr double kMinBaselineMs = 1e-3;

void settle(double& value, double sample) {
    value += (sample < value ? kBaselineFallGain : kBaselineRiseGain) * (sample - value);
}

}  // namespace

LatencyEstimator::LatencyEstimator(const std::vector<ClassSettings>& classes) {
    for (const ClassSettings& settings : classes) {
        ClassLatency& latency = classes_.emplace_back();
        latency.objective = settings.latency_objective;
        latency.baseline_ms = settings.latency_objective.count() / kInitialBaselineDivisor;
    }
}

double LatencyEstimator::mean_baseline_ms() const {
    double sum = 0;
    for (const ClassLatency& latency : classes_) sum += latency.baseline_ms;
    return sum / double(classes_.size());
}

double LatencyEstimator::fleet_ratio(TimePoint now) const {
    return kTypicalLatencyRatio + fleet_excess_.value_at(now, kLatencyRatioDecay);
}

double LatencyEstimator::endpoint_ratio(const EndpointLatency& endpoint, TimePoint now) const {
    double fleet = fleet_ratio(now);
    return fleet + (endpoint.ratio - fleet) * std::exp(-((now - endpoint.updated_at) / kLatencyRatioDecay));
}

// The cap keeps a slow spell from teaching a baseline at which every request would be rejected. Where
// responses take more than the cap at their best, the least of late replaces it, so that limits can grow.
void LatencyEstimator::record_baseline(const ResponseSample& sample, TimePoint now) {
    ClassLatency& latency = classes_[std::size_t(sample.class_index)];
    double ms = sample.latency_ms;
    if (latency.responses++ == 0) {
        latency.baseline_ms = ms;
        latency.observed_ms = ms;
        latency.warm_baseline_ms = ms;
        latency.minimum = {ms, now};
    }
    settle(latency.baseline_ms, ms);
    settle(latency.observed_ms, ms);
    if (sample.warmed_up) settle(latency.warm_baseline_ms, ms);
    latency.minimum = {std::min(latency.observed_ms, latency.minimum.value_at(now, -kMinimumRise)), now};
    double cap_ms = kMaxBaselinePerObjective * latency.objective.count();
    if (latency.responses >= kMinResponsesForMinimum && latency.minimum.value > cap_ms)
        cap_ms = kBaselineOverMinimum * latency.minimum.value;
    latency.baseline_ms = std::min(latency.baseline_ms, cap_ms);
    latency.warm_baseline_ms = std::min(latency.warm_baseline_ms, cap_ms);
}

void LatencyEstimator::record_response(EndpointLatency& endpoint, const ResponseSample& sample,
                                       TimePoint now) {
    double baseline_ms = std::max(kMinBaselineMs, state(sample.class_index).baseline_ms);
    record_ratio(endpoint, sample.latency_ms / baseline_ms / sample.queueing_factor, now);
}

void LatencyEstimator::record_timeout(EndpointLatency& endpoint, TimePoint now) {
    record_ratio(endpoint, kMaxLatencyRatio, now);
}

void LatencyEstimator::record_ratio(EndpointLatency& endpoint, double ratio, TimePoint now) {
    ratio = std::min(ratio, kMaxLatencyRatio);
    double current = endpoint_ratio(endpoint, now);
    endpoint.ratio = current + kLatencyRatioGain * (ratio - current);
    endpoint.updated_at = now;
    double fleet = fleet_ratio(now);
    fleet_excess_ = {fleet + kFleetLatencyRatioGain * (ratio - fleet) - kTypicalLatencyRatio, now};
}

}  // namespace ochrehub::balancer
