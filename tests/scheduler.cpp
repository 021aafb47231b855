// The timer queue against a plain model of it, and the loop's scheduler: order, cancelling, never before its
// time.
#undef NDEBUG
#include <boost/asio/io_context.hpp>
#include <cassert>
#include <map>
#include <random>
#include <vector>

#include "base/asio_scheduler.h"

using namespace ochrehub;

namespace {

TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}

void queue_is_as_a_sorted_map() {
    std::mt19937 random(7);
    TimerQueue queue;
    std::map<std::pair<TimePoint, int>, TimerId> model;
    std::vector<TimerId> gone;
    int made = 0, ran = -1;
    for (int step = 0; step < 20000; ++step) {
        unsigned what = random() % 8;
        if (what < 4) {
            TimePoint due = at(double(random() % 50));
            int name = made++;
            model[{due, name}] = queue.push(due, [&ran, name] { ran = name; });
        } else if (what < 6 && !model.empty()) {
            auto it = std::next(model.begin(), std::ptrdiff_t(random() % model.size()));
            assert(queue.cancel(it->second));
            gone.push_back(it->second);
            model.erase(it);
        } else if (!model.empty()) {
            assert(queue.due() == model.begin()->first.first);
            queue.pop()();
            assert(ran == model.begin()->first.second);
            gone.push_back(model.begin()->second);
            model.erase(model.begin());
        }
        assert(queue.size() == model.size());
        if (!gone.empty())
            assert(!queue.cancel(gone[random() % gone.size()]));  // also where its slot is another's
    }
    assert(!queue.cancel(0));
}

void loop_keeps_order_and_time() {
    boost::asio::io_context io{1};
    AsioScheduler scheduler(io);
    std::vector<int> order;
    TimePoint start = scheduler.now(), due = start + Duration{5};
    TimerId never = scheduler.call_at(start + Duration{2}, [&] { order.push_back(-1); });
    scheduler.call_at(due, [&] {
        assert(scheduler.now() >= due);
        order.push_back(3);
        scheduler.call_at(start, [&] { order.push_back(5); });  // its time has passed: soon, not at once
        order.push_back(4);
    });
    scheduler.call_at(start + Duration{1}, [&] { order.push_back(2); });
    scheduler.post([&] { order.push_back(1); });
    scheduler.cancel(never);
    scheduler.cancel(never);
    io.run();
    assert((order == std::vector<int>{1, 2, 3, 4, 5}));
}

}  // namespace

int main() {
    queue_is_as_a_sorted_map();
    loop_keeps_order_and_time();
    return 0;
}
