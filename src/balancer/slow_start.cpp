#include "balancer/slow_start.h"

#include <algorithm>
#include <cmath>

namespace ochrehub::balancer {
namespace {

/// Fraction of the budget that is used: the rest covers handshakes and chance.
constexpr double kBudgetMargin = 0.75;
/// Factor on the number of sending nodes: endpoint lists, and with them subsets, differ for a while.
constexpr double kSenderMargin = 1.3;
/// Factor on the expected number of nodes per endpoint where none are assigned.
constexpr double kUnassignedSenders = 1.5;
/// Standard deviations of the sends so far that are kept in reserve.
constexpr double kReserveDeviations = 0.4;
/// Cost of a send that opens a connection, as a multiple.
constexpr double kConnectCost = 1.5;
/// With more nodes per endpoint than this, random subsets cover all endpoints: spares get nothing.
constexpr double kMaxNodesWithSpares = 8;
/// Work of one service slot that is counted on: 1000 ms per second over this.
constexpr double kSlotHeadroom = 1.5;

}  // namespace

double SlowStart::warmed_up_fraction(const EndpointSlowStart& endpoint, TimePoint now) const {
    const Settings& settings = inputs_.settings;
    if (!endpoint.started || settings.slow_start_duration.count() <= 0) return 1;
    double age = (now - *endpoint.started) / settings.slow_start_duration;
    if (age >= 1) return 1;
    double initial = settings.slow_start_initial_capacity;
    return initial + (1 - initial) * std::max(0.0, age);
}

// The first span ends at a random time, so that nodes notified together do not send together. The span counts
// from this process's start at the earliest: a predecessor of it may have used the budget before.
bool SlowStart::admits(EndpointSlowStart& endpoint, const SlowStartQuery& query) {
    bool unassigned_spare =
        query.assigned_nodes == 0 && query.outside_subset && query.nodes_per_endpoint > kMaxNodesWithSpares;
    if (query.assigned_nodes < 0 || unassigned_spare) return false;
    const Settings& settings = inputs_.settings;
    const TimePoint now = query.now;
    std::erase_if(endpoint.sends, [&](const auto& send) { return send.at <= now - settings.overload_after; });
    if (now >= endpoint.span_end) renew_span(endpoint, now);
    double senders =
        query.assigned_nodes > 0 ? query.assigned_nodes : kUnassignedSenders * query.nodes_per_endpoint;
    Duration covered = std::max(now, *endpoint.started + settings.overload_after) - process_started_;
    Duration span = std::min(endpoint.span, covered);
    double budget = budget_fraction_ * kBudgetMargin * settings.overload_factor *
                    warmed_up_fraction(endpoint, now) * sustainable_load(query);
    budget *= span.count() / 1000 / std::min(double(settings.node_count), kSenderMargin * senders);
    double sent = 0;
    for (const EndpointSlowStart::Send& send : endpoint.sends) sent += send.cost_ms;
    double reserve = kReserveDeviations * std::sqrt(sent * query.cost_ms);
    return sent + reserve + (1 - endpoint.random_draw) * query.cost_ms <= budget;
}

void SlowStart::renew_span(EndpointSlowStart& endpoint, TimePoint now) {
    endpoint.span = inputs_.settings.overload_after;
    bool first = endpoint.span_end == TimePoint::min();
    if (first && inputs_.settings.node_count > 1) endpoint.span *= inputs_.random.uniform();
    endpoint.span_end = now + endpoint.span;
    endpoint.random_draw = inputs_.random.uniform();
}

// Also by what warmed-up endpoints take, as one in slow start may be as quick.
double SlowStart::send_cost_ms(const EndpointSlowStart& endpoint, const SlowStartCostQuery& query) const {
    const LatencyEstimator& latency = inputs_.latency;
    double known =
        std::max(latency.baseline_ms(query.class_index), latency.warm_baseline_ms(query.class_index));
    double usual = latency.has_responses(query.class_index) ? known : query.max_baseline_ms;
    return usual * (query.connected || !endpoint.sends.empty() ? 1 : kConnectCost);
}

void SlowStart::record_send(EndpointSlowStart& endpoint, double cost_ms, TimePoint now) const {
    if (warmed_up_fraction(endpoint, now) < 1) endpoint.sends.push_back({now, cost_ms});
}

// Work in ms per second that a warmed-up endpoint of this weight is known to sustain: by its service slots,
// or the most that endpoints served of late. Less if it responds slowly.
double SlowStart::sustainable_load(const SlowStartQuery& query) const {
    bool weighted = !inputs_.settings.weights_track_load;
    double weight = weighted ? query.weight : 1;
    double slots = std::max(1.0, inputs_.load_reports.service_slots()) * 1000 / kSlotHeadroom *
                   (weighted ? weight / query.largest_weight : 1);
    double served = inputs_.throughput.peak_served(query.now) * inputs_.settings.node_count * weight;
    double quickness =
        inputs_.latency.fleet_ratio(query.now) / inputs_.latency.endpoint_ratio(query.latency, query.now);
    return std::max(slots, served) * std::min(1.0, quickness);
}

}  // namespace ochrehub::balancer
