#include "fleet/config_distribution/max_inconsistency.h"

#include <cmath>

namespace ochrehub::config_distribution {

LeaseTiming lease_timing(Duration lease, std::optional<Duration> requested) {
    return {lease, lease / 100 + Duration{50}, 0.01, requested};
}

Duration max_inconsistency(const LeaseTiming& timing, ConsistencyMode mode) {
    if (mode == ConsistencyMode::Strict) return Duration{0};
    return (timing.lease - timing.margin) * (1 + timing.max_clock_drift);
}

std::optional<Failure> validate(const LeaseTiming& timing) {
    auto ms = [](Duration d) { return std::to_string(std::llround(std::ceil(d.count()))) + " ms"; };
    Duration longest = (timing.lease - timing.margin) * (1 + timing.max_clock_drift);
    if (longest > timing.lease || timing.margin >= timing.lease)
        return Failure{Error::Margin, "lease " + ms(timing.lease) + ", margin " + ms(timing.margin)};
    if (timing.requested && *timing.requested < longest)
        return Failure{Error::StatedTime, ms(*timing.requested) + " with a lease of " + ms(timing.lease) +
                                              ", which needs " + ms(longest)};
    return {};
}

}  // namespace ochrehub::config_distribution
