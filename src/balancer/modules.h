// The modules of one Balancer in their order of dependency, with what they share: settings, randomness,
// timers, the time of the event in hand, and the actions that it causes.
#pragma once

#include <utility>

#include "balancer/concurrency_limiter.h"
#include "balancer/endpoint_registry.h"
#include "balancer/health_tracker.h"
#include "balancer/latency_estimator.h"
#include "balancer/load_report_tracker.h"
#include "balancer/outlier_detector.h"
#include "balancer/random_source.h"
#include "balancer/request_priority.h"
#include "balancer/retry_policy.h"
#include "balancer/slow_start.h"
#include "balancer/subset_selector.h"
#include "balancer/throughput_tracker.h"
#include "balancer/timer_queue.h"

namespace ochrehub::balancer {

struct Modules {
    Modules(Settings initial, std::uint64_t seed) : settings(std::move(initial)), random(seed) {
        if (!settings.probes) settings.probe_cost = 0;  // none is sent
    }
    ~Modules() = default;
    Modules(const Modules&) = delete;
    Modules& operator=(const Modules&) = delete;

    template <class T>
    void emit(T&& action) {
        actions->emplace_back(std::forward<T>(action));
    }
    void start_timer(Duration delay, TimerTarget target) { timers.start(now, delay, target); }
    const ClassSettings& class_of(const Request& request) const {
        return settings.classes[std::size_t(request.class_index)];
    }

    Settings settings;
    RandomSource random;
    TimePoint now{};             ///< of the event in hand
    Actions* actions = nullptr;  ///< of the event in hand; the caller's
    TimerQueue timers;
    ThroughputTracker throughput;
    LatencyEstimator latency{settings.classes};
    LoadReportTracker load_reports{settings};
    OutlierDetector outliers{random};
    HealthTracker health{settings};
    ConcurrencyLimiter concurrency{settings, latency, random};
    SlowStart slow_start{{settings, latency, load_reports, throughput, random}};
    RequestPriority priority{settings};
    RetryPolicy retry{settings, random};
    EndpointRegistry registry{settings, random};
    DiscoveryPoller discovery{settings, random};
    SubsetSelector subset{{settings, registry, throughput}};
};

}  // namespace ochrehub::balancer
