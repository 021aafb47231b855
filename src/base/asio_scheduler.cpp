#include "base/asio_scheduler.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

namespace ochrehub {

void AsioScheduler::post(Task task) {
    boost::asio::post(io_, std::move(task));
}

TimerId AsioScheduler::call_at(TimePoint at, Task task) {
    TimerId timer = queue_.push(at, std::move(task));
    if (!armed_ || at < *armed_) arm();
    return timer;
}

// The loop's timer stays as it is where the first of the queue went: it finds nothing due and is armed anew.
// Most timers are cancelled, and each change of the loop's own costs a call to the kernel.
void AsioScheduler::cancel(TimerId timer) {
    queue_.cancel(timer);
}

void AsioScheduler::arm() {
    armed_ = queue_.due();
    timer_.expires_at(clock_.steady(*armed_) +
                      std::chrono::microseconds(1));  // never a rounding before its time
    timer_.async_wait([this](boost::system::error_code stopped) {
        if (!stopped) run_due();
    });
}

// What a task adds is left to the loop's next turn even where it is due: sockets have theirs in between.
void AsioScheduler::run_due() {
    armed_.reset();
    TimePoint due = clock_.now();
    for (std::size_t most = queue_.size(); most > 0 && !queue_.empty() && queue_.due() <= due; --most) {
        Task task = queue_.pop();
        armed_ = due;  // what tasks add arms nothing yet: once is enough, below
        task();
        armed_.reset();
    }
    if (!queue_.empty()) arm();
}

}  // namespace ochrehub
