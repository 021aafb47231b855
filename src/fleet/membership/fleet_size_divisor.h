// By how many nodes this node divides what belongs to the whole tier: limits, cold budgets, quotas. A core
// without I/O; it does not count live members itself.
//
// Gossip may raise the divisor at once: that makes this node's share smaller, and is safe. It lowers the
// divisor slowly, and never below `min_divisor`. With `min_divisor` at half of `configured_nodes` or more,
// the shares of all configured nodes add up to twice the whole at most, whatever each of them believes: the
// bound for a tier that is partitioned.
//
// Clock: the process's monotonic clock, as passed to update(). Not thread-safe.
#pragma once

#include <algorithm>

#include "ochrehub/balancer.h"

namespace ochrehub::membership {

class FleetSizeDivisor {
public:
    struct Settings {
        int configured_nodes = 1;
        int min_divisor = 1;
        Duration hold_time{5000};      ///< for which fewer nodes must be live before the divisor falls
        Duration step_interval{1000};  ///< between its steps down: a quarter of the difference, one at least
    };
    /// Gossip raises the divisor to this many times `configured_nodes` at most.
    static constexpr int kMaxRaise = 4;

    explicit FleetSizeDivisor(const Settings& settings)
        : settings_(settings), value_(std::max(settings.configured_nodes, settings.min_divisor)) {}

    /// `live_nodes`: nodes that are seen to serve, this one included. To be called at each change of it, and
    /// every `step_interval` at least. Returns value().
    int update(TimePoint now, int live_nodes) {
        const int max = std::max(settings_.min_divisor, kMaxRaise * settings_.configured_nodes);
        const int target = std::clamp(live_nodes, settings_.min_divisor, max);
        if (target >= value_) {
            value_ = target;
            is_falling_ = false;
        } else if (!is_falling_) {
            is_falling_ = true;
            next_step_ = now + settings_.hold_time;
        } else if (now >= next_step_) {
            value_ -= std::max(1, (value_ - target + 3) / 4);
            next_step_ = now + settings_.step_interval;
            is_falling_ = target < value_;
        }
        return value_;
    }
    int value() const { return value_; }

private:
    Settings settings_;
    int value_;
    bool is_falling_ = false;  ///< fewer nodes are live than value_
    TimePoint next_step_{};    ///< valid while is_falling_
};

}  // namespace ochrehub::membership
