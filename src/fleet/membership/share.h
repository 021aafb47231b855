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

class Share {
public:
    struct Settings {
        int nodes = 1;        ///< as the operators have it
        int least = 1;        ///< what the number never falls below
        Duration hold{5000};  ///< fewer must have been here for so long before it falls
        Duration step{1000};  ///< then a quarter of what is left, one at least, each so often
    };
    static constexpr int kMostTimes = 4;  ///< a rumour raises it to so many times `nodes` at most

    explicit Share(const Settings& settings)
        : set_(settings), count_(std::max(settings.nodes, settings.least)) {}

    /// `here`: nodes that are seen to serve, this one included. To be told at each change and every `step` at
    /// least.
    int see(TimePoint now, int here) {
        here = std::clamp(here, set_.least, std::max(set_.least, kMostTimes * set_.nodes));
        if (here >= count_) {
            count_ = here;
            fewer_ = false;
        } else if (!fewer_) {
            fewer_ = true;
            next_ = now + set_.hold;
        } else if (now >= next_) {
            count_ -= std::max(1, (count_ - here + 3) / 4);
            next_ = now + set_.step;
            fewer_ = here < count_;
        }
        return count_;
    }
    int count() const { return count_; }

private:
    Settings set_;
    int count_;
    bool fewer_ = false;
    TimePoint next_{};
};

}  // namespace ochrehub::membership
