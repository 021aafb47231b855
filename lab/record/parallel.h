// A number of independent runs, several at a time.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <exception>
#include <mutex>
#include <thread>
#include <vector>

namespace ochrehub::lab {

/// Calls `one(i)` for each i below `count`, on `jobs` threads at most, this one included. Where one throws no
/// more are begun, and what it threw is thrown here once all have ended.
template <class F>
void in_parallel(std::size_t count, int jobs, F&& one) {
    std::atomic<std::size_t> next{0};
    std::exception_ptr failed;
    std::mutex guard;
    auto work = [&] {
        for (std::size_t i = next++; i < count; i = next++) {
            try {
                one(i);
            } catch (...) {
                std::lock_guard lock(guard);
                failed = std::current_exception();
                next = count;
            }
        }
    };
    std::vector<std::thread> threads;
    for (int j = 1; j < std::min<int>(jobs, int(count)); ++j) threads.emplace_back(work);
    work();
    for (std::thread& thread : threads) thread.join();
    if (failed) std::rethrow_exception(failed);
}

}  // namespace ochrehub::lab
