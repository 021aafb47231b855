// Random figures by number: the same seed and number give the same figure, in whatever order they are asked
// for. So a client's habits do not change where another node answers it, and paired runs compare like with
// like.
#pragma once

#include <cstdint>

#include "ochrehub/hash.h"

namespace ochrehub::lab {

using ochrehub::mixed;
constexpr std::uint64_t unmixed(std::uint64_t x) {
    x = (x ^ x >> 31 ^ x >> 62) * 0x319642b2d24d8ec3ULL;
    x = (x ^ x >> 27 ^ x >> 54) * 0x96de1b173f119089ULL;
    return x ^ x >> 30 ^ x >> 60;
}
static_assert(unmixed(mixed(0x0123456789abcdefULL)) == 0x0123456789abcdefULL);

/// `salt` sets apart what the same number is asked for.
constexpr std::uint64_t drawn(std::uint64_t seed, std::uint64_t salt, std::uint64_t number) {
    return mixed(mixed(seed + salt * kGolden) + number * 0xd1342543de82ef95ULL + 1);
}
/// In [0, 1).
constexpr double part_of(std::uint64_t bits) {
    return double(bits >> 11) * 0x1p-53;
}

}  // namespace ochrehub::lab
