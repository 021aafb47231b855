// Pending timers of one Balancer, ordered by due time and then by the order in which they were started.
// The caller turns `wakeup_to_request` into a SetTimer action and returns with TimerFired. Timers are never
// cancelled: whoever starts one carries an epoch and ignores it when that has passed.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub::balancer {

/// Resolution of timestamps, in ms: a timer closer than this is due.
inline constexpr Duration kClockStep{0.002};

enum class TimerKind {
    ProbeDue,        ///< subject: endpoint index; epoch: its probe epoch
    ProbeTimeout,    ///< subject: endpoint index
    DiscoveryPoll,   ///< epoch: poll epoch
    StartDeadline,   ///< subject: request; epoch: its number of attempts
    AttemptTimeout,  ///< subject: request; epoch: attempt number
    ServeQueue       ///< only wakes the balancer up: it serves the pending queue after every event
};

struct TimerTarget {
    TimerKind kind{};
    std::uint64_t subject = 0;
    std::uint64_t epoch = 0;
};

class TimerQueue {
public:
    void start(TimePoint now, Duration delay, TimerTarget target) {
        timers_.push(Timer{now + std::max(delay, Duration{0}), ++next_order_, target});
    }

    /// Removes and returns the next timer that is due at `now`.
    std::optional<TimerTarget> pop_due(TimePoint now) {
        if (timers_.empty() || timers_.top().due > now + kClockStep) return std::nullopt;
        TimerTarget target = timers_.top().target;
        timers_.pop();
        return target;
    }

    /// TimerFired arrived: the wake-up requested for this time is used up.
    void on_wakeup(TimePoint now) {
        if (requested_wakeup_ && *requested_wakeup_ <= now + kClockStep) requested_wakeup_.reset();
    }

    /// The time for which the caller must request a wake-up, if it has not requested an earlier one.
    std::optional<TimePoint> wakeup_to_request() {
        if (timers_.empty()) return std::nullopt;
        if (requested_wakeup_ && timers_.top().due >= *requested_wakeup_) return std::nullopt;
        requested_wakeup_ = timers_.top().due;
        return requested_wakeup_;
    }

private:
    struct Timer {
        TimePoint due{};
        std::uint64_t order = 0;
        TimerTarget target;
        bool operator>(const Timer& other) const {
            return due != other.due ? due > other.due : order > other.order;
        }
    };

    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
    std::optional<TimePoint> requested_wakeup_;  ///< the earliest that the caller has been given
    std::uint64_t next_order_ = 0;               ///< breaks ties between equal due times
};

}  // namespace ochrehub::balancer
