// Places in a vector that are used again: memory is that of the most that were ever taken together.
#pragma once

#include <cstdint>
#include <vector>

namespace ochrehub {

/// The place given back last, or a new one at the end. A used place holds what it held: whoever takes it
/// fills it.
template <class T>
std::uint32_t take_slot(std::vector<T>& slots, std::vector<std::uint32_t>& free) {
    if (free.empty()) {
        slots.emplace_back();
        return std::uint32_t(slots.size() - 1);
    }
    std::uint32_t slot = free.back();
    free.pop_back();
    return slot;
}

}  // namespace ochrehub
