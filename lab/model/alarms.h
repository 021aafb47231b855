// Alarms by the time they are due, at most one a slot. What the cores of the model keep their waiting in.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub::lab {

inline constexpr TimePoint kNever{Duration{std::numeric_limits<double>::infinity()}};

/// Those of the same time come in the order they were set. Leaner than base/timer_queue.h, which holds a
/// callable a timer: here the slot says what is due. What is cleared leaves at once, so memory is that of the
/// highest slot.
class Alarms {
public:
    bool empty() const { return heap_.empty(); }
    std::size_t size() const { return heap_.size(); }
    /// Of the first; kNever where there is none.
    TimePoint due() const { return heap_.empty() ? kNever : heap_.front().at; }
    /// The slot of the first; there must be one.
    std::uint32_t first() const { return heap_.front().slot; }

    /// Sets the slot's alarm, in place of the one it may have.
    void set(std::uint32_t slot, TimePoint at) {
        clear(slot);
        if (slot >= places_.size()) places_.resize(std::size_t{slot} + 1, kNowhere);
        heap_.push_back({at, ++order_, slot});
        places_[slot] = std::uint32_t(heap_.size() - 1);
        rise(heap_.size() - 1);
    }
    void clear(std::uint32_t slot) {
        if (slot >= places_.size() || places_[slot] == kNowhere) return;
        std::size_t place = places_[slot];
        places_[slot] = kNowhere;
        Entry last = heap_.back();
        heap_.pop_back();
        if (place == heap_.size()) return;
        put(place, last);
        rise(place);
        sink(places_[last.slot]);
    }

private:
    static constexpr std::uint32_t kNowhere = ~std::uint32_t{0};
    static constexpr std::size_t kWays = 4;
    struct Entry {
        TimePoint at;
        std::uint64_t order;
        std::uint32_t slot;
        bool operator<(const Entry& o) const { return at != o.at ? at < o.at : order < o.order; }
    };

    void put(std::size_t place, const Entry& entry) {
        heap_[place] = entry;
        places_[entry.slot] = std::uint32_t(place);
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

    std::vector<Entry> heap_;
    std::vector<std::uint32_t> places_;
    std::uint64_t order_ = 0;
};

}  // namespace ochrehub::lab
