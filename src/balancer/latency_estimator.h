// What responses usually take: per class a baseline (ms, without queueing), per endpoint and for the fleet
// the ratio of response time to that baseline. Responsible for no limit and no health decision. An endpoint's
// ratio decays into the fleet's and the fleet's into a typical one, so that no verdict outlives its evidence
// and a slowdown of all endpoints is seen although each has few responses.
#pragma once

#include <vector>

#include "balancer/decaying_value.h"
#include "ochrehub/balancer.h"

namespace ochrehub::balancer {

/// Latency ratio assumed where nothing is known.
inline constexpr double kTypicalLatencyRatio = 1.4;
/// Latency ratio recorded for a timeout, and the most that one response records.
inline constexpr double kMaxLatencyRatio = 6;
/// Above this ratio an endpoint holds too many requests; below kLowLatencyRatio it may get more.
inline constexpr double kHighLatencyRatio = 2.0;
inline constexpr double kLowLatencyRatio = 1.6;
/// Highest fraction of the latency objective that a baseline is believed to take.
inline constexpr double kMaxBaselinePerObjective = 0.4;

/// An endpoint's part of the state.
struct EndpointLatency {
    double ratio = kTypicalLatencyRatio;  ///< as of updated_at
    TimePoint updated_at{};
};

/// One response, as LatencyEstimator records it.
struct ResponseSample {
    int class_index = 0;
    double latency_ms = 0;       ///< scaled to a warmed-up endpoint
    double queueing_factor = 1;  ///< times the service time that queueing explains
    bool warmed_up = true;       ///< the endpoint is not in slow start
};

class LatencyEstimator {
public:
    explicit LatencyEstimator(const std::vector<ClassSettings>& classes);

    /// Response time of a class without queueing, in ms.
    double baseline_ms(int class_index) const { return state(class_index).baseline_ms; }
    /// As baseline_ms, of warmed-up endpoints only.
    double warm_baseline_ms(int class_index) const { return state(class_index).warm_baseline_ms; }
    bool has_responses(int class_index) const { return state(class_index).responses > 0; }
    /// Mean baseline over all classes, in ms.
    double mean_baseline_ms() const;

    double fleet_ratio(TimePoint now) const;
    double endpoint_ratio(const EndpointLatency& endpoint, TimePoint now) const;
    /// A new or restarted endpoint takes the fleet's ratio.
    void reset(EndpointLatency& endpoint, TimePoint now) const { endpoint.ratio = fleet_ratio(now); }

    /// Updates the class's baseline and then the ratios.
    void record_baseline(const ResponseSample& sample, TimePoint now);
    void record_response(EndpointLatency& endpoint, const ResponseSample& sample, TimePoint now);
    void record_timeout(EndpointLatency& endpoint, TimePoint now);

private:
    struct ClassLatency {
        Duration objective{};
        double baseline_ms = 0;       ///< believed
        double observed_ms = 0;       ///< settled value of all responses, without the cap
        double warm_baseline_ms = 0;  ///< as baseline_ms, of warmed-up endpoints
        DecayingValue minimum;        ///< least observed_ms of late, in ms; rises by itself
        int responses = 0;
    };

    const ClassLatency& state(int class_index) const { return classes_[std::size_t(class_index)]; }
    void record_ratio(EndpointLatency& endpoint, double ratio, TimePoint now);

    std::vector<ClassLatency> classes_;
    DecayingValue fleet_excess_;  ///< the fleet's ratio above the typical one
};

}  // namespace ochrehub::balancer
