// Virtual time: jumps from one thing due to the next. Of what is due at the same instant, that which was
// asked for first happens first.
#pragma once

#include <cstdint>
#include <utility>

#include "base/timer_queue.h"

namespace ochrehub::lab {

class VirtualScheduler : public Scheduler {
public:
    explicit VirtualScheduler(TimePoint start) : now_(start) {}

    TimePoint now() const override { return now_; }
    void post(Task task) override { call_at(now_, std::move(task)); }
    TimerId call_at(TimePoint at, Task task) override {
        return queue_.push(at < now_ ? now_ : at, std::move(task));
    }
    void cancel(TimerId timer) override { queue_.cancel(timer); }

    bool idle() const { return queue_.empty(); }
    TimePoint next() const { return queue_.due(); }
    /// Runs the one that is due first. Must not be idle.
    void step() {
        now_ = queue_.due();
        ++steps_;
        Task task = queue_.pop();
        task();
    }
    std::uint64_t steps() const { return steps_; }

private:
    TimePoint now_;
    TimerQueue queue_;
    std::uint64_t steps_ = 0;
};

}  // namespace ochrehub::lab
