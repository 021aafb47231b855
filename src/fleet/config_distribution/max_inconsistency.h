// The longest time for which two processes may use conflicting versions of one document, computed from the
// settings. `ochrehub check` prints it, and the lab's invariant checker enforces it.
#pragma once

#include <optional>

#include "fleet/config_distribution/document.h"

namespace ochrehub::config_distribution {

struct LeaseTiming {
    Duration lease{3000};
    Duration margin{80};  ///< how much earlier than the coordinators a process ends its lease: 1 % of the
                          ///< lease plus 50 ms
    double max_clock_drift = 0.01;      ///< maximum relative rate difference of two monotonic clocks
    std::optional<Duration> requested;  ///< the operators' limit for Bounded documents
};
/// With the margin that a session with this lease uses.
LeaseTiming lease_timing(Duration lease, std::optional<Duration> requested = {});

/// Strict: zero. Bounded: the lease of a process that renewed just before the next version came into force
/// and was then cut off; without faults, one renewal interval and its round trip. A canary of a Bounded
/// document adds its own duration.
Duration max_inconsistency(const LeaseTiming& timing, ConsistencyMode mode);
/// Fails if the requested limit is shorter than the lease allows, or the margin does not cover the clock
/// drift.
std::optional<Failure> validate(const LeaseTiming& timing);

}  // namespace ochrehub::config_distribution
