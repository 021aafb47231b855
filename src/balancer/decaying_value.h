// A value that decays exponentially while nothing new is recorded. Time constants are passed per read, so
// that one value can be read over several spans.
#pragma once

#include <cmath>

#include "ochrehub/balancer.h"

namespace ochrehub::balancer {

struct DecayingValue {
    double value = 0;  ///< as of recorded_at
    TimePoint recorded_at{};

    /// The value at `now`; a negative time constant makes it grow.
    double value_at(TimePoint now, Duration time_constant) const {
        return value * std::exp(-((now - recorded_at) / time_constant));
    }
};

}  // namespace ochrehub::balancer
