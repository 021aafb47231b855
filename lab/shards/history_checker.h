// Checks whether the history of one record is linearizable: each operation takes effect at one moment between
// its call and its response, and each read returns the last write before it. The search is that of Wing and
// Gong (1993) with Lowe's cache of visited states (2017). An operation with an unknown outcome may take
// effect at any moment after its call, or never.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub::lab::shards {

inline constexpr std::uint64_t kAbsent = 0;
inline constexpr std::uint64_t kLost = ~0ull;  ///< the holders respond that the value was lost

struct Operation {
    enum class What : std::uint8_t {
        Read,   ///< returned `value`
        Write,  ///< of `value`
        Swap,   ///< to `value`, if the record has `expected`
        Loss,   ///< both holders were lost: from some moment on reads return kLost
    };
    What what = What::Read;
    std::uint64_t value = kAbsent, expected = kAbsent;
    bool sure = true;  ///< false: the outcome is unknown
    TimePoint called{}, answered{Duration{std::numeric_limits<double>::infinity()}};
};
/// `operations` of one record, in any order. Each written value is unique.
bool linearizable(std::vector<Operation> operations);
std::string text(const std::vector<Operation>& operations);

}  // namespace ochrehub::lab::shards
