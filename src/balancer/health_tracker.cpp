#include "balancer/health_tracker.h"

#include <algorithm>

#include "balancer/timer_queue.h"

namespace ochrehub::balancer {
namespace {

/// Failures in a row that turn an endpoint Unhealthy, and successes in a row that turn it Healthy again.
constexpr int kFailuresToEject = 3;
constexpr int kSuccessesToReturn = 2;
/// Shortest time between two probes of one endpoint, in ms: many service times, so that probes stay a sample.
constexpr Duration kMinProbeInterval{100};
/// First pause after a failed response to a probe, in ms; it doubles up to kMaxProbeBackoff.
constexpr Duration kMinProbeBackoff{250};
/// Fraction of the result that scheduled probes may cost, and the least cost of one it is computed with.
constexpr double kProbeSpend = 0.002;
constexpr double kScheduledProbeCostFloor = 1e-4;
/// With more than this fraction of the endpoints Unhealthy, and more of them than
/// kMaxUnhealthyWithoutFastReturn, one success makes an endpoint usable instead of kSuccessesToReturn. An
/// endpoint without a success stays unusable, unlike under a panic threshold that ignores health.
constexpr double kFastReturnThreshold = 0.5;
constexpr std::size_t kMaxUnhealthyWithoutFastReturn = 2;

}  // namespace

SuccessResult HealthTracker::record_success(EndpointHealth& endpoint, TimePoint now) const {
    SuccessResult result;
    endpoint.failures = 0;
    endpoint.probe_backoff = Duration{0};
    endpoint.last_success = now;
    ++endpoint.successes;
    if (endpoint.status == Health::Healthy) return result;
    bool unhealthy = endpoint.status == Health::Unhealthy;
    result.returned_from_outage = unhealthy && endpoint.process_was_down && endpoint.successes == 1;
    if (unhealthy && endpoint.successes < kSuccessesToReturn) return result;
    endpoint.process_was_down = false;
    endpoint.status = Health::Healthy;
    result.became_healthy = true;
    return result;
}

bool HealthTracker::record_failure(EndpointHealth& endpoint, bool process_down) const {
    endpoint.successes = 0;
    endpoint.process_was_down = endpoint.process_was_down || process_down;
    ++endpoint.failures;
    if (endpoint.failures < kFailuresToEject || endpoint.status == Health::Unhealthy) return false;
    endpoint.status = Health::Unhealthy;
    return true;
}

void HealthTracker::back_off(EndpointHealth& endpoint) const {
    endpoint.probe_backoff = std::clamp(2 * endpoint.probe_backoff, kMinProbeBackoff, kMaxProbeBackoff);
}

void HealthTracker::reset(EndpointHealth& endpoint) const {
    endpoint.status = Health::Unknown;
    endpoint.failures = 0;
    endpoint.successes = 0;
    endpoint.process_was_down = false;
}

// Where most endpoints are Unhealthy, the cause is shared or lies in this node. One success then suffices, so
// that a fleet that is back does not wait for second probes.
bool HealthTracker::is_usable(const EndpointHealth& endpoint, const FleetHealth& fleet) const {
    if (endpoint.status != Health::Unhealthy) return true;
    return endpoint.successes > 0 && fleet.unhealthy > kMaxUnhealthyWithoutFastReturn &&
           double(fleet.unhealthy) > kFastReturnThreshold * double(fleet.in_use);
}

// As often as a fixed fraction of the result pays for, over all endpoints that are probed: if only Healthy
// ones shared the budget, the few that are left would pay for ever more probes of the others.
Duration HealthTracker::probe_interval(const FleetHealth& fleet, double arrivals_per_s) const {
    double probed = double(std::min(fleet.in_use, fleet.subset + fleet.unhealthy));
    double per_s = kProbeSpend / std::max(settings_.probe_cost, kScheduledProbeCostFloor) *
                   std::max(arrivals_per_s, 1.0);
    return std::clamp(Duration{1000 * probed / per_s}, kMinProbeInterval, kProbeInterval);
}

bool HealthTracker::shows_process_down(Outcome outcome, Duration elapsed, Duration timeout) {
    bool refused = outcome == Outcome::ConnectFailed && elapsed < timeout - kClockStep;
    return refused || outcome == Outcome::Reset;
}

bool HealthTracker::probe_timed_out(const EndpointHealth& endpoint, TimePoint now) const {
    return endpoint.probe_in_flight && now - endpoint.probe_sent >= kProbeTimeout - kClockStep;
}

}  // namespace ochrehub::balancer
