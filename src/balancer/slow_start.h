// Slow start (rule 4): what a recently started endpoint may be sent. Its capacity rises linearly from
// slow_start_initial_capacity to 1 over slow_start_duration; it fails if sent overload_factor times that for
// overload_after. Each node, on its own, stays within its even part of that budget in every such span. Costs
// are response times without queueing, in ms. Not responsible for limits of warmed-up endpoints.
#pragma once

#include <optional>
#include <vector>

#include "balancer/latency_estimator.h"
#include "balancer/load_report_tracker.h"
#include "balancer/random_source.h"
#include "balancer/throughput_tracker.h"
#include "ochrehub/balancer.h"

namespace ochrehub::balancer {

/// An endpoint's part of the state.
struct EndpointSlowStart {
    struct Send {
        TimePoint at{};
        double cost_ms = 0;
    };
    std::optional<TimePoint> started;  ///< last known start of its process; none: long ago
    std::vector<Send> sends;           ///< of the last overload_after
    TimePoint span_end = TimePoint::min();
    Duration span{};         ///< length of the budget span that ends at span_end
    double random_draw = 0;  ///< for the span: decides who sends where budgets are below one send
};

/// A send that slow start must admit.
struct SlowStartQuery {
    double cost_ms = 0;
    int assigned_nodes = 0;       ///< nodes to which the endpoint is assigned; 0: none are; -1: not this one
    bool outside_subset = false;  ///< a healthy endpoint that this node uses only as a spare
    double nodes_per_endpoint = 1;  ///< expected, where none are assigned
    double weight = 1;
    double largest_weight = 1;  ///< of any endpoint
    EndpointLatency latency;
    TimePoint now{};
};

/// What the cost of a send depends on.
struct SlowStartCostQuery {
    int class_index = 0;
    double max_baseline_ms = 0;  ///< cost before any response of the class
    bool connected = false;
};

class SlowStart {
public:
    struct Inputs {
        const Settings& settings;
        const LatencyEstimator& latency;
        const LoadReportTracker& load_reports;
        const ThroughputTracker& throughput;
        RandomSource& random;
    };
    explicit SlowStart(const Inputs& inputs) : inputs_(inputs) {}

    /// First event of this process, or an earlier one.
    void record_event(TimePoint now) { process_started_ = std::min(process_started_, now); }
    /// Fraction of this node's budget that this process may use, while another process of it runs.
    void set_budget_fraction(double fraction) { budget_fraction_ = fraction; }

    /// Lower bound of the fraction of its capacity that an endpoint has, 0 to 1.
    double warmed_up_fraction(const EndpointSlowStart& endpoint, TimePoint now) const;
    /// Whether a send fits the budget. Only for endpoints that are not warmed up.
    bool admits(EndpointSlowStart& endpoint, const SlowStartQuery& query);
    double send_cost_ms(const EndpointSlowStart& endpoint, const SlowStartCostQuery& query) const;
    void record_send(EndpointSlowStart& endpoint, double cost_ms, TimePoint now) const;
    void reset_span(EndpointSlowStart& endpoint) const { endpoint.span_end = TimePoint::min(); }

private:
    void renew_span(EndpointSlowStart& endpoint, TimePoint now);
    double sustainable_load(const SlowStartQuery& query) const;

    Inputs inputs_;
    TimePoint process_started_ = TimePoint::max();
    double budget_fraction_ = 1;
};

}  // namespace ochrehub::balancer
