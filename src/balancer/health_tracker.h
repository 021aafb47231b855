// Active health checking: per endpoint a status that starts Unknown (takes traffic), becomes Unhealthy after
// kFailuresToEject failures in a row and Healthy again after kSuccessesToReturn successes in a row. Also when
// an endpoint's next probe is due. Failures and successes come from probes and, judged by others, attempts.
#pragma once

#include "ochrehub/balancer.h"

namespace ochrehub::balancer {

/// Longest time between two probes of one endpoint, and the timeout of each, in ms.
inline constexpr Duration kProbeInterval{2000};
inline constexpr Duration kProbeTimeout{300};
/// Longest pause after failed responses to probes, in ms.
inline constexpr Duration kMaxProbeBackoff{4000};

enum class Health { Unknown, Healthy, Unhealthy };

/// An endpoint's part of the state.
struct EndpointHealth {
    Health status = Health::Unknown;
    int failures = 0;               ///< in a row
    int successes = 0;              ///< in a row
    bool process_was_down = false;  ///< a failure since the last success shows that it did not run
    TimePoint last_success = TimePoint::min();
    bool probing = false;         ///< a ProbeDue timer is pending
    Duration probe_backoff{0};    ///< after a failed response; 0: none
    TimePoint last_probe_sent{};  ///< of those that succeeded
    bool probe_in_flight = false;
    bool probe_counts_failure = false;  ///< scheduled; a load probe that times out says too little
    std::uint64_t probe_epoch = 0;      ///< ProbeDue timers of earlier epochs are void
    TimePoint probe_sent{};             ///< of the one in flight
};

/// How many endpoints are in use, and how many of them are in the subset or Unhealthy.
struct FleetHealth {
    std::size_t in_use = 0;
    std::size_t subset = 0;
    std::size_t unhealthy = 0;
};

struct SuccessResult {
    bool returned_from_outage = false;  ///< its process was down: it starts in slow start
    bool became_healthy = false;
};

class HealthTracker {
public:
    explicit HealthTracker(const Settings& settings) : settings_(settings) {}

    SuccessResult record_success(EndpointHealth& endpoint, TimePoint now) const;
    /// `process_down`: the failure shows that the process does not run. True: it became Unhealthy by it.
    bool record_failure(EndpointHealth& endpoint, bool process_down) const;
    /// Doubles the pause before the next probe, or before the next attempt where there are no probes.
    void back_off(EndpointHealth& endpoint) const;
    /// A new or restarted process: Unknown.
    void reset(EndpointHealth& endpoint) const;

    bool is_usable(const EndpointHealth& endpoint, const FleetHealth& fleet) const;
    /// Time between two probes of one endpoint, in ms; `arrivals_per_s`: first attempts.
    Duration probe_interval(const FleetHealth& fleet, double arrivals_per_s) const;
    /// Whether a failed probe or attempt shows that the process does not run: its connection was refused or
    /// reset. One that did not come up within `timeout` only shows that the endpoint could not be reached;
    /// its process may have gone on running, warmed up.
    static bool shows_process_down(Outcome outcome, Duration elapsed, Duration timeout);
    /// The probe in flight has exceeded its timeout.
    bool probe_timed_out(const EndpointHealth& endpoint, TimePoint now) const;

private:
    const Settings& settings_;
};

}  // namespace ochrehub::balancer
