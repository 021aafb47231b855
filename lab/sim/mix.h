// Seeds for the parts of a world, each by its own name: one more part leaves the others' draws as they were.
#pragma once

#include <cstdint>

#include "ochrehub/hash.h"

namespace ochrehub::lab {

/// One number of two.
inline std::uint64_t mix(std::uint64_t a, std::uint64_t b) {
    return mixed(a + kGolden * (b + 1));
}

/// A small fast generator for what each message draws.
class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}
    std::uint64_t next() { return mix(state_ += kGolden, 0); }
    double uniform() { return double(next() >> 11) * 0x1p-53; }

private:
    std::uint64_t state_;
};

}  // namespace ochrehub::lab
