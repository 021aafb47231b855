#include "balancer/load_report_tracker.h"

#include <algorithm>
#include <cmath>

namespace ochrehub::balancer {
namespace {

/// Largest fraction of the result that load probes for one request may cost.
constexpr double kLoadProbeSpend = 0.016;
/// Least probe cost that a budget is computed with.
constexpr double kMinProbeCost = 1e-4;
/// Time constant over which a report decays into the fleet's mean, in ms.
constexpr Duration kReportDecay{600};
/// Contradicted reports in a row after which an endpoint is distrusted, and how many one rejection counts
/// for.
constexpr int kContradictionsToDistrust = 3;
constexpr int kContradictionsPerRejection = 2;
/// Requests by which a report may fall short of this node's own.
constexpr double kReportTolerance = 0.5;
/// Weight of one report in the fleet's mean.
constexpr double kMeanReportGain = 0.05;
/// Factors on the estimated median round trip when a probe took longer or less.
constexpr double kRoundTripRise = 1.04;
constexpr double kRoundTripFall = 0.96;
/// A load probe is waited for this many clock steps of the caller, or median round trips.
constexpr double kTimeoutGranularities = 2.5;
constexpr double kTimeoutRoundTrips = 1.5;

}  // namespace

LoadReportTracker::LoadReportTracker(const Settings& settings)
    : settings_(settings), probe_round_trip_(kMinLoadProbeTimeout / 3) {
    double affordable = kLoadProbeSpend / std::max(settings.probe_cost, kMinProbeCost);
    bool reported = settings.probes && settings.probes_report_load;
    if (reported && affordable >= kLoadProbeWidth) max_probes_per_request_ = int(affordable);
}

void LoadReportTracker::record_report(EndpointLoad& endpoint, const Report& report, TimePoint now) {
    if (report.settled > 0) {
        bool contradicted = report.inflight < report.settled - kReportTolerance;
        endpoint.contradicted_reports = contradicted ? endpoint.contradicted_reports + 1 : 0;
    }
    double others = std::max(0.0, report.inflight - report.own);
    endpoint.reported_inflight_of_others = others;
    endpoint.reported_at = now;
    if (is_distrusted(endpoint))
        endpoint.reported_inflight_of_others = std::max(others, mean_inflight_of_others_);
    else
        mean_inflight_of_others_ += kMeanReportGain * (others - mean_inflight_of_others_);
}

void LoadReportTracker::record_rejection(EndpointLoad& endpoint, int believed) const {
    if (believed < 2 * service_slots_) endpoint.contradicted_reports += kContradictionsPerRejection;
}

void LoadReportTracker::record_probe_round_trip(Duration elapsed) {
    double factor = elapsed > probe_round_trip_ ? kRoundTripRise : kRoundTripFall;
    probe_round_trip_ = std::max(kMinLoadProbeTimeout / 3, probe_round_trip_ * factor);
}

void LoadReportTracker::record_service_slots(double inflight, double queued) {
    service_slots_ = std::max(service_slots_, std::round(inflight - queued));
}

bool LoadReportTracker::is_distrusted(const EndpointLoad& endpoint) const {
    return endpoint.contradicted_reports >= kContradictionsToDistrust;
}

bool LoadReportTracker::is_fresh(const EndpointLoad& endpoint, TimePoint now) const {
    return now - endpoint.reported_at <= load_probe_timeout();
}

double LoadReportTracker::requests_at(const EndpointLoad& endpoint, int own, TimePoint now) const {
    double known = std::exp(-((now - endpoint.reported_at) / kReportDecay));
    return own + endpoint.reported_inflight_of_others * known + mean_inflight_of_others_ * (1 - known);
}

double LoadReportTracker::queueing_factor(double waiting) const {
    return service_slots_ > 0 ? std::max(1.0, (waiting + 1) / service_slots_) : 1;
}

// Two batches of the caller and the rest of one, or half as much again as probes take: a shorter wait would
// find every report late or stale where batches are coarse or the network is slow.
Duration LoadReportTracker::load_probe_timeout() const {
    return std::max({kMinLoadProbeTimeout, kTimeoutGranularities * settings_.clock_granularity,
                     kTimeoutRoundTrips * probe_round_trip_});
}

}  // namespace ochrehub::balancer
