// Things that come and go by the million, in places that are used again: nothing is allocated once the most
// that were ever there together have been.
#pragma once

#include <boost/circular_buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace ochrehub::lab {

inline constexpr std::uint32_t kNoSlot = 0xffffffff;

template <class T>
class Slots {
public:
    std::uint32_t take() {
        if (free_.empty()) {
            things_.emplace_back();
            return static_cast<std::uint32_t>(things_.size() - 1);
        }
        const std::uint32_t slot = free_.back();
        free_.pop_back();
        things_[slot] = T{};
        return slot;
    }
    void give(std::uint32_t slot) { free_.push_back(slot); }
    T& operator[](std::uint32_t slot) { return things_[slot]; }
    std::size_t live() const { return things_.size() - free_.size(); }
    /// Every place, in use or not.
    std::size_t places() const { return things_.size(); }
    void clear() {
        things_.clear();
        free_.clear();
    }

private:
    std::vector<T> things_;
    std::vector<std::uint32_t> free_;
};

/// First in, first out, with any of them leaving early. T has `previous` and `next`.
template <class T>
class SlotList {
public:
    std::uint32_t front() const { return front_; }
    bool empty() const { return front_ == kNoSlot; }
    std::size_t size() const { return size_; }
    void push_back(Slots<T>& slots, std::uint32_t slot) {
        slots[slot].previous = back_;
        slots[slot].next = kNoSlot;
        (back_ == kNoSlot ? front_ : slots[back_].next) = slot;
        back_ = slot;
        ++size_;
    }
    void remove(Slots<T>& slots, std::uint32_t slot) {
        const T& thing = slots[slot];
        (thing.previous == kNoSlot ? front_ : slots[thing.previous].next) = thing.next;
        (thing.next == kNoSlot ? back_ : slots[thing.next].previous) = thing.previous;
        --size_;
    }
    void clear() { *this = SlotList(); }

private:
    std::uint32_t front_ = kNoSlot, back_ = kNoSlot;
    std::size_t size_ = 0;
};

/// A ring that grows; boost's overwrites its oldest when it is full.
template <class T>
void push_growing(boost::circular_buffer<T>& ring, const T& thing) {
    if (ring.full()) ring.set_capacity(ring.capacity() < 8 ? 16 : 2 * ring.capacity());
    ring.push_back(thing);
}

}  // namespace ochrehub::lab
