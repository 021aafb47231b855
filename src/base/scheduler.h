// The seam between what happens in time and the clock it happens by. Two live behind it: AsioScheduler, and
// the lab's virtual clock.
#pragma once

#include <cstdint>

#include "base/task.h"
#include "ochrehub/balancer.h"

namespace ochrehub {

/// Names a task that waits for its time. Never given twice in a scheduler's life; zero is no task's.
using TimerId = std::uint64_t;

/// Runs tasks one after the other, none from inside another. Not for use by several threads.
class Scheduler {
public:
    virtual ~Scheduler() = default;

    /// Never goes back.
    virtual TimePoint now() const = 0;
    /// Runs the task soon, behind all that was posted before it.
    virtual void post(Task task) = 0;
    /// Runs the task at the first chance at or after `at`, never before; one whose time has passed soon, but
    /// not from inside this call. Tasks of the same time run in the order they were given.
    virtual TimerId call_at(TimePoint at, Task task) = 0;
    /// Takes a task back. One that has run, and zero, are no fault.
    virtual void cancel(TimerId timer) = 0;
};

}  // namespace ochrehub
