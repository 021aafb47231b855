#include "balancer/health_monitor.h"

#include <algorithm>
#include <string>
#include <utility>

namespace ochrehub::balancer {

// Probing goes on while the endpoint is in the subset or Unhealthy: on_probe_due ends it only for one that
// left the subset and is not Unhealthy. An Unhealthy one is probed until it returns, as nothing else brings
// it back.
void HealthMonitor::start_probing(EndpointIndex index) {
    Modules& m = modules_;
    EndpointHealth& health = m.registry.at(index).health;
    if (health.probing || !m.settings.probes) return;
    health.probing = true;
    Duration interval = m.health.probe_interval(m.subset.fleet_health(), m.throughput.arrivals_per_s());
    m.start_timer(interval * m.random.uniform(), {TimerKind::ProbeDue, index, ++health.probe_epoch});
}

void HealthMonitor::on_probe_due(EndpointIndex index, std::uint64_t epoch) {
    Modules& m = modules_;
    Endpoint& endpoint = m.registry.at(index);
    EndpointHealth& health = endpoint.health;
    if (health.probe_epoch != epoch) return;
    bool wanted = endpoint.membership.is_member || health.status == Health::Unhealthy;
    health.probing = m.registry.in_use(endpoint) && wanted;
    if (!health.probing) return;
    Duration interval =
        std::max(m.health.probe_interval(m.subset.fleet_health(), m.throughput.arrivals_per_s()),
                 health.probe_backoff);
    Duration remaining = health.last_probe_sent + interval - m.now;
    if (remaining <= kClockStep) {
        send_probe(index, true);
        remaining = interval;
    }
    m.start_timer(remaining, {TimerKind::ProbeDue, index, health.probe_epoch});
}

void HealthMonitor::send_probe(EndpointIndex index, bool counts_failure) {
    Endpoint& endpoint = modules_.registry.at(index);
    EndpointHealth& health = endpoint.health;
    health.probe_counts_failure = counts_failure;
    if (std::exchange(health.probe_in_flight, true)) return;
    health.probe_sent = modules_.now;
    modules_.emit(Probe{endpoint.id, kProbeTimeout});
    modules_.start_timer(kProbeTimeout, {TimerKind::ProbeTimeout, index, health.probe_epoch});
}

void HealthMonitor::on_probe_timeout(EndpointIndex index) {
    Endpoint& endpoint = modules_.registry.at(index);
    if (!modules_.health.probe_timed_out(endpoint.health, modules_.now)) return;
    endpoint.health.probe_in_flight = false;
    if (endpoint.health.probe_counts_failure) record_failure(endpoint, false);
}

void HealthMonitor::on_probe_ended(const ProbeEnded& event) {
    Modules& m = modules_;
    auto index = m.registry.find(event.endpoint);
    // A late response was counted when its timeout passed.
    if (!index || event.elapsed > kProbeTimeout) return;
    Endpoint& endpoint = m.registry.at(*index);
    if (!std::exchange(endpoint.health.probe_in_flight, false)) return;
    if (event.outcome == Outcome::Ok) {
        if (event.report.inflight) {
            const EndpointConcurrency& own = endpoint.concurrency;
            bool just_sent = m.now - own.last_send <= m.load_reports.load_probe_timeout();
            int settled = own.own_inflight - (just_sent ? 1 : 0);
            m.load_reports.record_report(endpoint.load, {*event.report.inflight, own.own_inflight, settled},
                                         m.now);
            m.load_reports.record_probe_round_trip(event.elapsed);
            if (event.report.queue)
                m.load_reports.record_service_slots(*event.report.inflight, *event.report.queue);
        }
        endpoint.health.last_probe_sent = endpoint.health.probe_sent;
        return record_success(endpoint);
    }
    if (event.outcome == Outcome::NotSent) return;  // the endpoint was not asked
    if (event.outcome == Outcome::Error) m.health.back_off(endpoint.health);
    // A load probe that fails may only have met a pause.
    if (!endpoint.health.probe_counts_failure) return;
    if (event.outcome == Outcome::ConnectFailed) endpoint.concurrency.connected = false;
    Duration timeout = std::min(m.settings.connect_timeout, kProbeTimeout);
    record_failure(endpoint, HealthTracker::shows_process_down(event.outcome, event.elapsed, timeout));
}

bool HealthMonitor::is_awaiting_load_probe(const Endpoint& endpoint) const {
    return endpoint.health.probe_in_flight && modules_.now - endpoint.health.probe_sent <
                                                  modules_.load_reports.load_probe_timeout() - kClockStep;
}

void HealthMonitor::record_success(Endpoint& endpoint) {
    SuccessResult result = modules_.health.record_success(endpoint.health, modules_.now);
    if (result.returned_from_outage) {
        endpoint.slow_start.started = modules_.now;
        modules_.slow_start.reset_span(endpoint.slow_start);
    }
    if (result.became_healthy) modules_.subset.invalidate();
}

void HealthMonitor::record_failure(Endpoint& endpoint, bool process_down) {
    if (process_down) endpoint.concurrency.connected = false;
    if (!modules_.health.record_failure(endpoint.health, process_down)) return;
    modules_.subset.invalidate();
    modules_.emit(Log{"server " + std::to_string(endpoint.id) + " unhealthy"});
}

bool HealthMonitor::is_usable(const Endpoint& endpoint) const {
    return modules_.health.is_usable(endpoint.health, modules_.subset.fleet_health());
}

}  // namespace ochrehub::balancer
