// The only source of randomness of the decision core: seeded, so that equal events give equal actions.
#pragma once

#include <cstdint>
#include <random>

namespace ochrehub::balancer {

class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

    /// 64 random bits.
    std::uint64_t bits() { return engine_(); }

    /// Uniform in [0, 1).
    double uniform() { return double(engine_() >> 11) * 0x1p-53; }

private:
    std::mt19937_64 engine_;
};

}  // namespace ochrehub::balancer
