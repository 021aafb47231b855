// How many requests an endpoint holds: this node's own, plus those of other nodes as probes last reported
// them. Also how long a probe for load may take. Reports are checked against this node's own requests; an
// endpoint that keeps contradicting them counts as holding the fleet's mean until one report agrees.
#pragma once

#include <cstddef>

#include "ochrehub/balancer.h"

namespace ochrehub::balancer {

/// Shortest time that a load probe is waited for and that its report stays fresh, in ms.
inline constexpr Duration kMinLoadProbeTimeout{6};

/// Endpoints probed together for one request: the one in rotation and the next.
inline constexpr std::size_t kLoadProbeWidth = 2;

/// An endpoint's part of the state.
struct EndpointLoad {
    double reported_inflight_of_others = 0;  ///< requests, as of reported_at
    TimePoint reported_at{};
    int contradicted_reports = 0;  ///< in a row
};

class LoadReportTracker {
public:
    explicit LoadReportTracker(const Settings& settings);

    /// Load probes that one request may cause; 0 where probes carry no load or cost more than they gain.
    int max_probes_per_request() const { return max_probes_per_request_; }

    struct Report {
        double inflight = 0;  ///< requests that the endpoint reports
        int own = 0;          ///< this node's requests there
        int settled = 0;      ///< those of `own` that were sent long enough ago to be in the report
    };
    void record_report(EndpointLoad& endpoint, const Report& report, TimePoint now);
    /// The endpoint rejected a request sent when it was believed to hold `believed` requests.
    void record_rejection(EndpointLoad& endpoint, int believed) const;
    void record_probe_round_trip(Duration elapsed);
    void record_service_slots(double inflight, double queued);

    bool is_distrusted(const EndpointLoad& endpoint) const;
    /// Report recent enough to send a request by.
    bool is_fresh(const EndpointLoad& endpoint, TimePoint now) const;
    /// Requests at the endpoint, `own` of them this node's.
    double requests_at(const EndpointLoad& endpoint, int own, TimePoint now) const;
    /// Multiple of the service time that a request takes behind `waiting` others.
    double queueing_factor(double waiting) const;
    /// Most requests that an endpoint has been seen to serve at once; 0 where none reports them.
    double service_slots() const { return service_slots_; }
    /// How long a load probe is waited for.
    Duration load_probe_timeout() const;

private:
    const Settings& settings_;
    int max_probes_per_request_ = 0;
    double mean_inflight_of_others_ = 0;  ///< requests per endpoint, over trusted reports
    double service_slots_ = 0;
    Duration probe_round_trip_;  ///< median of answered probes, approximately
};

}  // namespace ochrehub::balancer
