#include "balancer/endpoint_picker.h"

#include <algorithm>

namespace ochrehub::balancer {
namespace {

/// How often one request goes past a busy or lost subset.
constexpr int kMaxWidenings = 3;
/// Requests less, per unit of weight, that make the rotation yield: load reports are noisy.
constexpr double kYieldMargin = 0.25;
/// Range of the factor by which latency changes an endpoint's weight, and how long a weight is kept, in ms.
constexpr double kMinWeightFactor = 0.3;
constexpr double kMaxWeightFactor = 1.5;
constexpr Duration kWeightAge{50};
/// A crossing that costs less than this fraction of the request's weight is made at once ...
constexpr double kCheapCrossing = 0.1;
/// ... and one up to this fraction, if crossings go well, when this fraction of the request's time is gone.
constexpr double kMaxCrossing = 0.5;
constexpr double kLateFraction = 0.3;
/// Time constant over which bad crossings are remembered, in ms, and the weight of one.
constexpr Duration kCrossZoneDecay{10000};
constexpr double kCrossZoneGain = 0.15;
constexpr double kMinWeight = 1e-9;

}  // namespace

std::optional<EndpointIndex> EndpointPicker::pick(Request& request) {
    const SubsetSelector& subset = modules_.subset;
    if (auto local = pick_within(request, {0, subset.local_count()})) return local;
    if (subset.local_count() == subset.order().size()) return std::nullopt;
    // Where all zones are busy, crossing gains nothing: then it must have gone well of late.
    double cost = modules_.settings.cross_zone_cost * modules_.priority.mean_weight() /
                  std::max(kMinWeight, request.weight);
    Duration time = request.useful_until - request.arrived;
    bool is_late = modules_.now - request.arrived > kLateFraction * time;
    if (cost < kCheapCrossing || (is_late && cost < kMaxCrossing * cross_zone_success()))
        return pick_within(request, {subset.local_count(), subset.order().size()});
    return std::nullopt;
}

// Rule 1: nothing that may have been executed is repeated unless that is safe. Rule 2: a keyed repeat stays
// within its window and scope. Rule 3: nothing goes to a draining or removed endpoint. Rule 4: an endpoint in
// slow start is not overloaded by the sum of all nodes.
bool EndpointPicker::may_send(Request& request, Endpoint& endpoint) {
    const Modules& m = modules_;
    if (!m.retry.may_start_attempt(request, m.now)) return false;
    if (!m.registry.in_use(endpoint) || !slow_start_admits(request, endpoint)) return false;
    for (const Attempt& earlier : request.attempts) {
        const EndpointEntry& first = m.registry.at(earlier.endpoint).entry;
        if (!m.retry.may_repeat_at(request, earlier, {first, endpoint.entry}, m.now)) return false;
    }
    return true;
}

bool EndpointPicker::slow_start_admits(const Request& request, Endpoint& endpoint) {
    Modules& m = modules_;
    if (m.slow_start.warmed_up_fraction(endpoint.slow_start, m.now) >= 1) return true;
    const EndpointMembership& membership = endpoint.membership;
    SlowStartQuery query;
    query.cost_ms = slow_start_cost_ms(request, endpoint);
    query.assigned_nodes = membership.assigned_nodes;
    query.outside_subset = !membership.is_member && endpoint.health.status != Health::Unhealthy;
    query.nodes_per_endpoint = m.subset.nodes_per_endpoint();
    query.weight = endpoint.entry.weight;
    query.largest_weight = m.registry.largest_weight();
    query.latency = endpoint.latency;
    query.now = m.now;
    return m.slow_start.admits(endpoint.slow_start, query);
}

double EndpointPicker::slow_start_cost_ms(const Request& request, const Endpoint& endpoint) const {
    double max_baseline_ms = kMaxBaselinePerObjective * modules_.class_of(request).latency_objective.count();
    return modules_.slow_start.send_cost_ms(
        endpoint.slow_start, {request.class_index, max_baseline_ms, endpoint.concurrency.connected});
}

bool EndpointPicker::is_candidate(const Request& request, const Endpoint& endpoint, bool is_remote) const {
    const Modules& m = modules_;
    if (!monitor_.is_usable(endpoint) && !may_try_unhealthy(request, endpoint)) return false;
    if (!m.registry.in_use(endpoint) || m.now < endpoint.outlier.backoff_until) return false;
    // A crossing that opens a connection is only for requests of more than the mean weight.
    return !is_remote || request.weight > m.priority.mean_weight() || endpoint.concurrency.connected ||
           m.subset.size() >= m.subset.order().size();
}

// Without probes an Unhealthy endpoint is tried by one request at a time after its backoff: one that may be
// executed twice, or any where no endpoint is Healthy or none such has come for long.
bool EndpointPicker::may_try_unhealthy(const Request& request, const Endpoint& endpoint) const {
    const Modules& m = modules_;
    if (m.settings.probes || endpoint.concurrency.own_inflight > 0) return false;
    FleetHealth fleet = m.subset.fleet_health();
    if (fleet.unhealthy == fleet.in_use) return true;
    if (m.now - endpoint.outlier.backoff_until > kMaxProbeBackoff) return true;
    return m.class_of(request).idempotency != Idempotency::NonIdempotent;
}

bool EndpointPicker::has_capacity(const Endpoint& endpoint) const {
    const Modules& m = modules_;
    bool load_is_reported =
        m.load_reports.max_probes_per_request() > 0 && !m.load_reports.is_distrusted(endpoint.load);
    return m.concurrency.has_capacity(endpoint.concurrency,
                                      {m.slow_start.warmed_up_fraction(endpoint.slow_start, m.now),
                                       m.subset.nodes_per_endpoint(), load_is_reported, m.now});
}

double EndpointPicker::effective_weight(Endpoint& endpoint) {
    const Modules& m = modules_;
    EndpointRotation& rotation = endpoint.rotation;
    if (m.now - rotation.weight_at <= kWeightAge) return rotation.weight;
    rotation.weight_at = m.now;
    double quickness = m.latency.fleet_ratio(m.now) / m.latency.endpoint_ratio(endpoint.latency, m.now);
    rotation.weight = endpoint.entry.weight * m.slow_start.warmed_up_fraction(endpoint.slow_start, m.now) *
                      std::clamp(quickness, kMinWeightFactor, kMaxWeightFactor);
    return rotation.weight;
}

std::optional<EndpointIndex> EndpointPicker::pick_within(Request& request, Range range) {
    double total_weight = collect_candidates(request, range);
    if (candidates_.empty()) return std::nullopt;
    bool probes_load = modules_.load_reports.max_probes_per_request() > 0 && !skips_load_probes_;
    auto chosen = probes_load ? probe_then_choose(request) : std::optional(least_loaded_in_rotation());
    if (chosen) charge_rotation(*chosen, total_weight);
    return chosen;
}

// One subset's worth of endpoints at a time. A busy subset is waited for, a lost one is passed. Returns the
// total weight of the last group.
double EndpointPicker::collect_candidates(Request& request, Range range) {
    candidates_.clear();
    sorted_ = 0;
    double total_weight = 0;
    for (int tries = 0; tries < kMaxWidenings && candidates_.empty() && range.from < range.to; ++tries) {
        std::size_t busy = collect_group(request, range, total_weight);
        if (2 * busy > group_.size() && request.weight <= modules_.priority.mean_weight()) break;
    }
    return total_weight;
}

// Returns how many endpoints of the group may get the request but have no capacity.
std::size_t EndpointPicker::collect_group(Request& request, Range& range, double& total_weight) {
    const SubsetSelector& subset = modules_.subset;
    group_.clear();
    total_weight = 0;
    std::size_t busy = 0;
    for (; range.from < range.to && group_.size() < subset.size(); ++range.from) {
        EndpointIndex index = subset.order()[range.from];
        Endpoint& endpoint = modules_.registry.at(index);
        if (!is_candidate(request, endpoint, range.from >= subset.local_count())) continue;
        if (std::ranges::find(request.attempts, index, &Attempt::endpoint) != request.attempts.end())
            continue;
        bool allowed = may_send(request, endpoint);
        if (!allowed && !request.attempts.empty()) continue;  // a retry looks on for those it may go to
        group_.push_back(index);
        double weight = effective_weight(endpoint);
        total_weight += weight;
        if (allowed && has_capacity(endpoint))
            candidates_.push_back({-endpoint.rotation.current - weight, index});
        else
            busy += allowed;
    }
    return busy;
}

void EndpointPicker::charge_rotation(EndpointIndex chosen, double total_weight) {
    for (EndpointIndex index : group_) {
        Endpoint& endpoint = modules_.registry.at(index);
        double raised = endpoint.rotation.current + effective_weight(endpoint);
        endpoint.rotation.current = std::clamp(raised, -2 * total_weight, 2 * total_weight);
    }
    modules_.registry.at(chosen).rotation.current -= total_weight;
}

// The candidate at a position of the rotation. Sorts no further than needed: mostly two of all are.
EndpointIndex EndpointPicker::candidate(std::size_t position) {
    if (position >= sorted_) {
        auto from = candidates_.begin() + std::ptrdiff_t(sorted_);
        sorted_ = std::min(candidates_.size(), 2 * position + 2);
        std::partial_sort(from, candidates_.begin() + std::ptrdiff_t(sorted_), candidates_.end());
    }
    return candidates_[position].index;
}

// Yields to the next in rotation if that holds less. While the one chosen would make the request wait, or is
// in another zone and crossing costs, goes on to the first that would not, or to the least wait there is.
// Crossing counts as one request more, so that a crowded zone still spreads.
EndpointIndex EndpointPicker::least_loaded_in_rotation() {
    EndpointIndex best = candidate(0);
    for (std::size_t position = 1; position < candidates_.size(); ++position) {
        const Endpoint& current = modules_.registry.at(best);
        if (position > 1 && is_idle(current) && !crossing_costs(current)) break;
        const Endpoint& next = modules_.registry.at(candidate(position));
        double next_load = (requests_at(next) + crossing_costs(next) + kYieldMargin) / next.rotation.weight;
        double current_load = (requests_at(current) + crossing_costs(current)) / current.rotation.weight;
        if (next_load < current_load) best = candidate(position);
    }
    return best;
}

// Probes go along the rotation while the endpoints that respond are busy. One that does not respond is passed
// over. Where the latency objective would be missed the request waits here, where it can still be rejected
// safely. An idle endpoint is always tried: an estimate may be wrong.
std::optional<EndpointIndex> EndpointPicker::probe_then_choose(Request& request) {
    Modules& m = modules_;
    answered_.clear();
    std::size_t count = candidates_.size();
    for (std::size_t from = 0; from < count; from += kLoadProbeWidth) {
        ProbeRound round = probe_round(request, {from, std::min(count, from + kLoadProbeWidth)});
        if (round.is_waiting) return std::nullopt;
        if (round.found_idle) break;
    }
    if (!answered_.empty()) candidates_ = answered_;
    EndpointIndex best = least_loaded_in_rotation();
    const Endpoint& endpoint = m.registry.at(best);
    double baseline_ms = m.latency.baseline_ms(request.class_index);
    double wait_ms = baseline_ms * m.latency.endpoint_ratio(endpoint.latency, m.now) *
                     m.load_reports.queueing_factor(requests_at(endpoint)) /
                     m.slow_start.warmed_up_fraction(endpoint.slow_start, m.now);
    if (is_idle(endpoint) || m.now + Duration{wait_ms} + kResponseTransfer <= request.useful_until)
        return best;
    if (request.load_probes < m.load_reports.max_probes_per_request())
        m.start_timer(Duration{baseline_ms / 4}, {TimerKind::ServeQueue, request.id, 0});
    return std::nullopt;
}

EndpointPicker::ProbeRound EndpointPicker::probe_round(Request& request, Range positions) {
    Modules& m = modules_;
    ProbeRound round;
    for (std::size_t position = positions.from; position < positions.to; ++position) {
        EndpointIndex index = candidate(position);
        const Endpoint& endpoint = m.registry.at(index);
        bool is_fresh = m.load_reports.is_fresh(endpoint.load, m.now);
        if (!is_fresh && !endpoint.health.probe_in_flight && !request.skips_load_probes &&
            request.load_probes < m.load_reports.max_probes_per_request()) {
            ++request.load_probes;
            monitor_.send_load_probe(index);
            m.start_timer(m.load_reports.load_probe_timeout(), {TimerKind::ServeQueue, request.id, 0});
        }
        if (is_fresh) {
            answered_.push_back(candidates_[position]);
            round.found_idle = round.found_idle || is_idle(endpoint);
        } else if (monitor_.is_awaiting_load_probe(endpoint) && !request.skips_load_probes) {
            round.is_waiting = true;
            request.awaited_probe = index;
        }
    }
    return round;
}

double EndpointPicker::requests_at(const Endpoint& endpoint) const {
    return modules_.load_reports.requests_at(endpoint.load, endpoint.concurrency.own_inflight, modules_.now);
}

bool EndpointPicker::crossing_costs(const Endpoint& endpoint) const {
    return modules_.settings.cross_zone_cost > 0 && modules_.subset.is_in_other_zone(endpoint);
}

bool EndpointPicker::is_idle(const Endpoint& endpoint) const {
    return requests_at(endpoint) < std::max(1.0, modules_.load_reports.service_slots());
}

double EndpointPicker::cross_zone_success() const {
    return 1 - cross_zone_failures_.value_at(modules_.now, kCrossZoneDecay);
}

void EndpointPicker::record_cross_zone(bool well) {
    double success = cross_zone_success();
    cross_zone_failures_ = {1 - success - kCrossZoneGain * (well - success), modules_.now};
}

}  // namespace ochrehub::balancer
