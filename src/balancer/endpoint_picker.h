// Which endpoint a request is sent to, if any: smooth weighted rotation over the endpoints that may get it
// and have capacity, yielding to the next in rotation when that holds fewer requests. Where probes report
// load, the next ones in rotation are probed before the send. Other zones are used when the own one cannot
// serve. may_send is the one gate for every attempt: rules 1 to 4 hold there, whatever picks.
#pragma once

#include <optional>
#include <vector>

#include "balancer/health_monitor.h"
#include "balancer/modules.h"

namespace ochrehub::balancer {

/// Time kept for the response's way back to the client, in ms.
inline constexpr Duration kResponseTransfer{2};

class EndpointPicker {
public:
    EndpointPicker(Modules& modules, HealthMonitor& monitor) : modules_(modules), monitor_(monitor) {}

    /// The endpoint for the request's next attempt; none: it waits.
    std::optional<EndpointIndex> pick(Request& request);
    /// While more requests wait for load probes than these can serve, no load probe is waited for.
    void set_skips_load_probes(bool skips) { skips_load_probes_ = skips; }
    /// An attempt in another zone ended; `well`: quickly and successfully.
    void record_cross_zone(bool well);
    /// Cost of sending the request to an endpoint in slow start, in ms.
    double slow_start_cost_ms(const Request& request, const Endpoint& endpoint) const;
    double requests_at(const Endpoint& endpoint) const;

private:
    struct Candidate {
        double order = 0;  ///< less is earlier in rotation
        EndpointIndex index = 0;
        // The check takes the 0 that the defaulted comparison compares with for a pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(const Candidate&) const = default;
    };
    struct Range {
        std::size_t from = 0;
        std::size_t to = 0;
    };
    struct ProbeRound {
        bool is_waiting = false;  ///< a load probe in flight is waited for
        bool found_idle = false;
    };

    bool may_send(Request& request, Endpoint& endpoint);
    bool slow_start_admits(const Request& request, Endpoint& endpoint);
    bool is_candidate(const Request& request, const Endpoint& endpoint, bool is_remote) const;
    bool may_try_unhealthy(const Request& request, const Endpoint& endpoint) const;
    bool has_capacity(const Endpoint& endpoint) const;
    double effective_weight(Endpoint& endpoint);

    std::optional<EndpointIndex> pick_within(Request& request, Range range);
    double collect_candidates(Request& request, Range range);
    std::size_t collect_group(Request& request, Range& range, double& total_weight);
    void charge_rotation(EndpointIndex chosen, double total_weight);

    EndpointIndex candidate(std::size_t position);
    EndpointIndex least_loaded_in_rotation();
    std::optional<EndpointIndex> probe_then_choose(Request& request);
    ProbeRound probe_round(Request& request, Range positions);

    bool crossing_costs(const Endpoint& endpoint) const;
    bool is_idle(const Endpoint& endpoint) const;
    double cross_zone_success() const;

    Modules& modules_;
    HealthMonitor& monitor_;
    DecayingValue cross_zone_failures_;  ///< fraction of attempts in other zones that went badly
    bool skips_load_probes_ = false;
    // Valid during one pick:
    std::vector<EndpointIndex> group_;   ///< endpoints considered, also those without capacity
    std::vector<Candidate> candidates_;  ///< those with capacity; the first sorted_ of them in rotation order
    std::vector<Candidate> answered_;    ///< candidates with a fresh load report
    std::size_t sorted_ = 0;
};

}  // namespace ochrehub::balancer
