#include "balancer/attempt_tracker.h"

#include <algorithm>
#include <utility>

namespace ochrehub::balancer {
namespace {

/// A connection that has not been used for this long is idle, in ms.
constexpr Duration kIdleAfter{300};
/// An attempt without a response has timed out after this multiple of the baseline, and no earlier than this
/// fraction of the latency objective.
constexpr double kTimeoutBaselines = 3;
constexpr double kMinTimeoutObjectives = 0.8;
/// A refused connection counts as a failure when the last success is this many probe intervals old.
constexpr double kRefusalProbeIntervals = 1.5;

}  // namespace

void AttemptTracker::send(Request& request, EndpointIndex index) {
    Modules& m = inputs_.modules;
    Endpoint& endpoint = m.registry.at(index);
    EndpointConcurrency& concurrency = endpoint.concurrency;
    request.queued = false;
    bool is_idle =
        concurrency.connected && concurrency.own_inflight == 0 && m.now - concurrency.last_use > kIdleAfter;
    if (closes_idle_connections(endpoint, is_idle)) is_idle = false;
    concurrency.last_use = m.now;
    int requests_before = int(inputs_.picker.requests_at(endpoint));
    bool is_counted = !request.receiving_body;
    request.attempts.push_back(
        {index, m.now, ExecutionState::Open, false, false, is_counted, is_idle, requests_before});
    ++request.open_attempts;
    concurrency.own_inflight += is_counted;
    ++endpoint.registration.references;
    concurrency.last_send = m.now;
    if (m.slow_start.warmed_up_fraction(endpoint.slow_start, m.now) < 1)
        m.slow_start.record_send(endpoint.slow_start, inputs_.picker.slow_start_cost_ms(request, endpoint),
                                 m.now);
    bool has_timeout = m.settings.cancel && !request.receiving_body;
    Duration timeout = has_timeout ? request.useful_until - m.now : Duration{0};
    m.emit(Forward{request.id, endpoint.id, timeout, request.retry_until});
    if (!request.receiving_body) start_response_timer(request, endpoint);
}

// Where attempts on idle connections are lost far more often than others, something drops such connections
// unseen: they are closed before a send, all but a few that show when the losses end.
bool AttemptTracker::closes_idle_connections(const Endpoint& endpoint, bool is_idle) {
    OutlierDetector& outliers = inputs_.modules.outliers;
    if (!is_idle || !outliers.idle_connections_suspect() || outliers.samples_idle_connection()) return false;
    inputs_.modules.emit(CloseIdleConnections{endpoint.id});
    return true;
}

void AttemptTracker::start_response_timer(const Request& request, const Endpoint& endpoint) {
    Modules& m = inputs_.modules;
    double fraction = m.slow_start.warmed_up_fraction(endpoint.slow_start, m.now);
    Duration expected{kTimeoutBaselines * m.latency.baseline_ms(request.class_index) / fraction};
    Duration minimum = kMinTimeoutObjectives * m.class_of(request).latency_objective;
    m.start_timer(std::max(expected, minimum),
                  {TimerKind::AttemptTimeout, request.id, request.attempts.size() - 1});
}

// A body that takes long to arrive says nothing about the endpoint, and occupies none of its capacity: an
// endpoint begins a request with its last byte.
void AttemptTracker::on_body_received(const RequestBodyReceived& event) {
    Request* request = inputs_.requests.find(event.request);
    if (!request) return;
    request->receiving_body = false;
    request->useful_until += event.deadline - request->deadline;
    request->deadline = event.deadline;
    if (request->open_attempts == 0) return;
    Attempt& attempt = request->attempts.back();
    Endpoint& endpoint = inputs_.modules.registry.at(attempt.endpoint);
    if (!std::exchange(attempt.is_counted, true)) ++endpoint.concurrency.own_inflight;
    start_response_timer(*request, endpoint);
}

void AttemptTracker::on_attempt_ended(const AttemptEnded& event) {
    Modules& m = inputs_.modules;
    Request* request = inputs_.requests.find(event.request);
    if (!request || event.attempt < 0 || event.attempt >= int(request->attempts.size())) return;
    Attempt& attempt = request->attempts[std::size_t(event.attempt)];
    if (std::exchange(attempt.ended, true)) return;
    attempt.execution = RetryPolicy::execution_state_after(event.outcome);
    --request->open_attempts;
    inputs_.queue.resume();
    Endpoint& endpoint = m.registry.at(attempt.endpoint);
    endpoint.concurrency.own_inflight -= attempt.is_counted;
    record_cross_zone(*request, endpoint, event);
    bool lost = event.outcome == Outcome::Timeout || event.outcome == Outcome::Reset;
    m.outliers.record_connection_use(attempt.on_idle_connection, lost);
    record_outcome(*request, attempt, event);
    if (event.request_completed) inputs_.requests.finish(*request);
    if (!request->finished && request->open_attempts == 0 && !request->queued)
        retry_or_finish(*request, attempt, event.replayable);
    if (request->finished) inputs_.requests.on_attempt_of_finished(request->id);
}

void AttemptTracker::record_cross_zone(const Request& request, const Endpoint& endpoint,
                                       const AttemptEnded& event) {
    const Modules& m = inputs_.modules;
    if (!m.subset.prefers_own_zone() || !m.subset.is_in_other_zone(endpoint)) return;
    double limit_ms = kLowLatencyRatio * m.latency.baseline_ms(request.class_index);
    inputs_.picker.record_cross_zone(event.outcome == Outcome::Ok && event.elapsed.count() < limit_ms);
}

// A reset shows a broken connection, not that the process is down: of one that is, probes fail. That of an
// idle connection is the connection's own fault.
void AttemptTracker::record_outcome(const Request& request, Attempt& attempt, const AttemptEnded& event) {
    Modules& m = inputs_.modules;
    Endpoint& endpoint = m.registry.at(attempt.endpoint);
    bool is_ok = event.outcome == Outcome::Ok;
    if (is_ok) record_response(request, attempt, event.elapsed);
    // Without probes an attempt is the trial of an Unhealthy endpoint, unless it is from before its backoff.
    bool is_trial = !m.settings.probes && attempt.sent >= endpoint.outlier.backoff_until;
    if (is_ok && (inputs_.monitor.is_usable(endpoint) || is_trial)) inputs_.monitor.record_success(endpoint);
    if (event.outcome == Outcome::ConnectFailed) record_failed_connection(endpoint, event.elapsed);
    bool is_error =
        event.outcome == Outcome::Error || (event.outcome == Outcome::Reset && !attempt.on_idle_connection);
    if (is_error && m.outliers.record_error(endpoint.outlier))
        inputs_.monitor.record_failure(endpoint, false);
    if (event.outcome == Outcome::Timeout && !attempt.timed_out) record_timeout(attempt);
    if (is_trial && !is_ok) record_failed_trial(endpoint);
    if (event.outcome == Outcome::Rejected) record_rejection(request, attempt, event.elapsed);
}

void AttemptTracker::record_response(const Request& request, const Attempt& attempt, Duration elapsed) {
    Modules& m = inputs_.modules;
    Endpoint& endpoint = m.registry.at(attempt.endpoint);
    EndpointConcurrency& concurrency = endpoint.concurrency;
    concurrency.connected = true;
    concurrency.last_use = m.now;
    concurrency.last_response_time = elapsed;
    concurrency.consecutive_timeouts = 0;
    m.outliers.record_success(endpoint.outlier);
    double fraction = m.slow_start.warmed_up_fraction(endpoint.slow_start, m.now);
    ResponseSample sample;
    sample.class_index = request.class_index;
    sample.latency_ms = elapsed.count() * fraction;
    sample.queueing_factor = m.load_reports.queueing_factor(attempt.requests_before);
    sample.warmed_up = fraction >= 1;
    m.latency.record_baseline(sample, m.now);
    m.throughput.record_response(m.latency.baseline_ms(request.class_index), m.subset.total_weight(), m.now);
    m.latency.record_response(endpoint.latency, sample, m.now);
    endpoint.rotation.weight_at = TimePoint::min();
    m.concurrency.record_response(concurrency, elapsed, endpoint.latency.ratio,
                                  {fraction, m.subset.nodes_per_endpoint(), false, m.now});
}

void AttemptTracker::record_failed_trial(Endpoint& endpoint) {
    Modules& m = inputs_.modules;
    if (endpoint.health.status != Health::Unhealthy) return;
    endpoint.health.successes = 0;
    m.health.back_off(endpoint.health);
    endpoint.outlier.backoff_until =
        std::max(endpoint.outlier.backoff_until, m.now + endpoint.health.probe_backoff);
}

// An endpoint that drains before the list says so rejects everything at once, and so always looks idle:
// without a backoff a request would go from one such to the next until its attempts are used up.
void AttemptTracker::record_rejection(const Request& request, const Attempt& attempt, Duration elapsed) {
    Modules& m = inputs_.modules;
    Endpoint& endpoint = m.registry.at(attempt.endpoint);
    auto is_open = [&](EndpointIndex index) {
        const Endpoint& other = m.registry.at(index);
        return inputs_.monitor.is_usable(other) && m.now >= other.outlier.backoff_until;
    };
    bool at_once = elapsed.count() < m.latency.baseline_ms(request.class_index);
    if (at_once && std::ranges::count_if(m.subset.order(), is_open) > 1)
        m.outliers.back_off_after_rejection(endpoint.outlier, m.now);
    m.concurrency.reduce(endpoint.concurrency, m.subset.nodes_per_endpoint());
    m.load_reports.record_rejection(endpoint.load, attempt.requests_before);
}

// An endpoint that answers otherwise refuses connections because its table is full. With probes, only they
// show that its process is down.
void AttemptTracker::record_failed_connection(Endpoint& endpoint, Duration elapsed) {
    Modules& m = inputs_.modules;
    endpoint.concurrency.connected = false;
    m.outliers.back_off_after_refused_connection(endpoint.outlier, m.now);
    if (m.now - endpoint.health.last_success <= kRefusalProbeIntervals * kProbeInterval) return;
    bool process_down =
        !m.settings.probes &&
        HealthTracker::shows_process_down(Outcome::ConnectFailed, elapsed, m.settings.connect_timeout);
    inputs_.monitor.record_failure(endpoint, process_down);
}

void AttemptTracker::on_attempt_timeout(RequestId id, std::uint64_t attempt) {
    Request* request = inputs_.requests.find(id);
    if (!request || attempt >= request->attempts.size()) return;
    Attempt& timed_out = request->attempts[attempt];
    if (!timed_out.ended && !timed_out.timed_out) record_timeout(timed_out);
}

// An endpoint that accepts requests and answers none passes its probes, so timeouts count against it until
// the next response.
void AttemptTracker::record_timeout(Attempt& attempt) {
    Modules& m = inputs_.modules;
    attempt.timed_out = true;
    if (attempt.on_idle_connection && m.outliers.idle_connections_suspect()) return;
    Endpoint& endpoint = m.registry.at(attempt.endpoint);
    ++endpoint.concurrency.consecutive_timeouts;
    m.latency.record_timeout(endpoint.latency, m.now);
    endpoint.rotation.weight_at = TimePoint::min();
    m.concurrency.reduce(endpoint.concurrency, m.subset.nodes_per_endpoint());
}

void AttemptTracker::retry_or_finish(Request& request, const Attempt& attempt, bool replayable) {
    if (inputs_.modules.retry.take_retry(request, attempt.execution, replayable))
        inputs_.queue.enqueue(request);
    else
        inputs_.requests.finish_without_response(request);
}

}  // namespace ochrehub::balancer
