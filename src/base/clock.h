// The node's clock: steady, tied to Unix time once, since server starts are told in it.
#pragma once

#include <chrono>

#include "ochrehub/balancer.h"

namespace ochrehub {

class Clock {
public:
    using Steady = std::chrono::steady_clock;

    TimePoint now() const { return at(Steady::now()); }
    Steady::time_point steady(TimePoint t) const {
        return anchor_ + std::chrono::duration_cast<Steady::duration>(t.time_since_epoch() - unix_anchor_);
    }

private:
    TimePoint at(Steady::time_point t) const { return TimePoint{unix_anchor_ + Duration{t - anchor_}}; }

    Steady::time_point anchor_ = Steady::now();
    Duration unix_anchor_{std::chrono::system_clock::now().time_since_epoch()};
};

}  // namespace ochrehub
