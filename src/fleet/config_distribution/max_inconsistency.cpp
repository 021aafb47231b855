#include "fleet/config_distribution/max_inconsistency.h"

#include <cmath>

namespace ochrehub::config_distribution {

LeaseTiming lease_timing(Duration lease, std::optional<Duration> stated) {
    return {lease, lease / 100 + Duration{50}, 0.01, stated};
}

Duration max_inconsistency(const LeaseTiming& t, ConsistencyMode mode) {
    if (mode == ConsistencyMode::Strict) return Duration{0};
    return (t.lease - t.margin) * (1 + t.drift);
}

std::optional<Failure> validate(const LeaseTiming& t) {
    auto ms = [](Duration d) { return std::to_string(std::llround(std::ceil(d.count()))) + " ms"; };
    Duration held = (t.lease - t.margin) * (1 + t.drift);
    if (held > t.lease || t.margin >= t.lease)
        return Failure{Error::Margin, "lease " + ms(t.lease) + ", margin " + ms(t.margin)};
    if (t.stated && *t.stated < held)
        return Failure{Error::StatedTime,
                       ms(*t.stated) + " with a lease of " + ms(t.lease) + ", which needs " + ms(held)};
    return {};
}

}  // namespace ochrehub::config_distribution
