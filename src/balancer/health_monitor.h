// Runs the active health checks: schedules and sends probes, scheduled ones and load probes for requests, and
// hands their results to health_tracker and load_report_tracker. Also carries out what a change of health
// means elsewhere: a log line, a new subset, slow start after an outage.
#pragma once

#include "balancer/modules.h"

namespace ochrehub::balancer {

class HealthMonitor {
public:
    explicit HealthMonitor(Modules& modules) : modules_(modules) {}

    /// Starts probing an endpoint of the subset, if it is not probed yet.
    void start_probing(EndpointIndex index);
    void on_probe_due(EndpointIndex index, std::uint64_t epoch);
    void on_probe_timeout(EndpointIndex index);
    void on_probe_ended(const ProbeEnded& event);
    /// Probes an endpoint for its load, on behalf of a request.
    void send_load_probe(EndpointIndex index) { send_probe(index, false); }
    /// A load probe is in flight and still waited for.
    bool is_awaiting_load_probe(const Endpoint& endpoint) const;

    void record_success(Endpoint& endpoint);
    void record_failure(Endpoint& endpoint, bool process_down);
    bool is_usable(const Endpoint& endpoint) const;

private:
    void send_probe(EndpointIndex index, bool counts_failure);

    Modules& modules_;
};

}  // namespace ochrehub::balancer
