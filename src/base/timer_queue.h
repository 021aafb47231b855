// Tasks by the time they are due; those of the same time in the order they came. No clock of its own.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "base/scheduler.h"
#include "base/slots.h"

namespace ochrehub {

/// A heap whose places are known, so that what is cancelled goes at once: most timers are, long before their
/// time, and would otherwise fill it. Memory is that of the most that ever waited together.
class TimerQueue {
public:
    bool empty() const { return heap_.empty(); }
    std::size_t size() const { return heap_.size(); }
    /// Of the first; the queue must not be empty.
    TimePoint due() const { return heap_.front().at; }

    TimerId push(TimePoint at, Task task) {
        std::uint32_t slot = take_slot(slots_, free_);
        Slot& made = slots_[slot];
        made.task = std::move(task);
        made.place = std::uint32_t(heap_.size());
        heap_.push_back({at, ++order_, slot});
        rise(heap_.size() - 1);
        return std::uint64_t{made.life} << 32 | (slot + 1);
    }
    /// False where it has run or was cancelled before.
    bool cancel(TimerId timer) {
        std::uint32_t slot = std::uint32_t(timer) - 1;
        if (slot >= slots_.size() || slots_[slot].life != timer >> 32 || !slots_[slot].task) return false;
        remove(slots_[slot].place);
        release(slot);
        return true;
    }
    /// Takes the first out; the queue must not be empty.
    Task pop() {
        std::uint32_t slot = heap_.front().slot;
        Task task = std::move(slots_[slot].task);
        remove(0);
        release(slot);
        return task;
    }

private:
    static constexpr std::size_t kWays = 4;
    struct Entry {
        TimePoint at;
        std::uint64_t order;
        std::uint32_t slot;
        bool operator<(const Entry& o) const { return at != o.at ? at < o.at : order < o.order; }
    };
    struct Slot {
        Task task;
        std::uint32_t place = 0, life = 0;
    };

    void put(std::size_t place, const Entry& entry) {
        heap_[place] = entry;
        slots_[entry.slot].place = std::uint32_t(place);
    }
    void rise(std::size_t place) {
        Entry entry = heap_[place];
        while (place > 0) {
            std::size_t above = (place - 1) / kWays;
            if (!(entry < heap_[above])) break;
            put(place, heap_[above]);
            place = above;
        }
        put(place, entry);
    }
    void sink(std::size_t place) {
        Entry entry = heap_[place];
        while (true) {
            std::size_t first = place * kWays + 1, last = std::min(first + kWays, heap_.size()),
                        least = first;
            if (first >= heap_.size()) break;
            for (std::size_t i = first + 1; i < last; ++i)
                if (heap_[i] < heap_[least]) least = i;
            if (!(heap_[least] < entry)) break;
            put(place, heap_[least]);
            place = least;
        }
        put(place, entry);
    }
    void remove(std::size_t place) {
        Entry last = heap_.back();
        heap_.pop_back();
        if (place == heap_.size()) return;
        put(place, last);
        rise(place);
        sink(slots_[last.slot].place);
    }
    void release(std::uint32_t slot) {
        slots_[slot].task = Task{};
        ++slots_[slot].life;
        free_.push_back(slot);
    }

    std::vector<Entry> heap_;
    std::vector<Slot> slots_;
    std::vector<std::uint32_t> free_;
    std::uint64_t order_ = 0;
};

}  // namespace ochrehub
