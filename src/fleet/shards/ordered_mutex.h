// Mutexes with a locking order. A thread holds one, or two locked in ascending order of their numbers; any
// other order could deadlock, so it aborts the process, the first time a thread uses a wrong order rather
// than the first time that two threads deadlock. The check is a few instructions on thread-local state, so it
// is always on.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <mutex>

namespace ochrehub::shards {

class OrderedMutex {
public:
    /// Sets the position in the locking order; before any other thread uses the mutex.
    void number(std::uint32_t n) { number_ = n; }

    void lock() {
        Held& held = held_;
        if (held.count == 2 || (held.count == 1 && held.numbers[0] >= number_))
            broken(held.numbers[held.count - 1]);
        mutex_.lock();
        held.numbers[held.count++] = number_;
    }
    void unlock() {
        Held& held = held_;
        if (held.count == 0) broken(number_);
        if (held.numbers[0] == number_) held.numbers[0] = held.numbers[1];
        --held.count;
        mutex_.unlock();
    }
    /// How many the calling thread holds.
    static int held() { return held_.count; }

private:
    struct Held {
        std::uint32_t numbers[2];
        int count;
    };
    [[noreturn]] void broken(std::uint32_t held) const {
        std::fprintf(stderr, "shards: lock %u is taken while %u is held: wrong order\n", unsigned(number_),
                     unsigned(held));
        std::abort();
    }

    std::mutex mutex_;
    std::uint32_t number_ = 0;
    static constinit inline thread_local Held held_{};
};

}  // namespace ochrehub::shards
