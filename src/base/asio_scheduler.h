// The scheduler of the real node: one steady timer of the loop's for all that waits.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>

#include "base/clock.h"
#include "base/timer_queue.h"

namespace ochrehub {

class AsioScheduler : public Scheduler {
public:
    /// Loops that compare their times are given copies of one clock.
    explicit AsioScheduler(boost::asio::io_context& io, Clock clock = Clock())
        : io_(io), clock_(clock), timer_(io) {}

    TimePoint now() const override { return clock_.now(); }
    void post(Task task) override;
    TimerId call_at(TimePoint at, Task task) override;
    void cancel(TimerId timer) override;

private:
    void arm();
    void run_due();

    boost::asio::io_context& io_;
    Clock clock_;
    TimerQueue queue_;
    boost::asio::steady_timer timer_;
    std::optional<TimePoint> armed_;  // what the loop's timer waits for
};

}  // namespace ochrehub
