// The stated time: the longest that two processes may act on versions of one document that contradict each
// other, from the settings alone. It is what `check` prints and what the world's judge holds the code to.
#pragma once

#include <optional>

#include "fleet/config_distribution/document.h"

namespace ochrehub::config_distribution {

struct LeaseTiming {
    Duration lease{3000};
    Duration margin{
        80};  ///< how much earlier a process takes its session for over: a hundredth of the lease and 50 ms
    double max_clock_drift = 0.01;      ///< how far apart two monotonic clocks may run
    std::optional<Duration> requested;  ///< what operators ask for, of quick documents
};
/// With the margin that a session of this lease has.
LeaseTiming lease_timing(Duration lease, std::optional<Duration> requested = {});

/// Strict: zero. Quick: what the lease of a process is that was renewed just before the next version was in
/// force, and hears nothing any more; where all is well, a renewal and its round trip. A canary of a quick
/// document adds its own length.
Duration max_inconsistency(const LeaseTiming& timing, ConsistencyMode mode);
/// A stated time that these cannot hold, or a margin that does not cover the clocks.
std::optional<Failure> validate(const LeaseTiming& timing);

}  // namespace ochrehub::config_distribution
