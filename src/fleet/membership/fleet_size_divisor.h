// By how many nodes this one divides what the tier has: limits, cold budgets, quotas. A core without I/O.
//
// A rumour may raise the number at once, which makes this node's part smaller and harms nobody. It lowers it
// slowly, and never below `least`. While `least` is half of `nodes` or more, parts over all of `nodes` nodes
// add up to twice the whole at most, whatever each of them believes: that is what a tier cut in two may do,
// and what it is bounded by.
#pragma once

#include <algorithm>

#include "ochrehub/balancer.h"

namespace ochrehub::membership {

class FleetSizeDivisor {
public:
    struct Settings {
        int nodes = 1;        ///< as the operators have it
        int least = 1;        ///< what the number never falls below
        Duration hold{5000};  ///< fewer must have been here for so long before it falls
        Duration step{1000};  ///< then a quarter of what is left, one at least, each so often
    };
    static constexpr int kMostTimes = 4;  ///< a rumour raises it to so many times `nodes` at most

    explicit FleetSizeDivisor(const Settings& settings)
        : set_(settings), value_(std::max(settings.nodes, settings.least)) {}

    /// `here`: nodes that are seen to serve, this one included. To be told at each change and every `step` at
    /// least.
    int update(TimePoint now, int here) {
        here = std::clamp(here, set_.least, std::max(set_.least, kMostTimes * set_.nodes));
        if (here >= value_) {
            value_ = here;
            fewer_ = false;
        } else if (!fewer_) {
            fewer_ = true;
            next_ = now + set_.hold;
        } else if (now >= next_) {
            value_ -= std::max(1, (value_ - here + 3) / 4);
            next_ = now + set_.step;
            fewer_ = here < value_;
        }
        return value_;
    }
    int value() const { return value_; }

private:
    Settings set_;
    int value_;
    bool fewer_ = false;
    TimePoint next_{};
};

}  // namespace ochrehub::membership
