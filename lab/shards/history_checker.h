// Whether what clients saw of one record can have happened one by one: each operation at some moment between
// its call and its answer, each read seeing the last write before it (linearizability; searched as Wing and
// Gong 1993 do, with Lowe's memory of what was tried, 2017). An operation whose outcome nobody told may have
// happened at any moment behind its call, or never.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub::lab::shards {

inline constexpr std::uint64_t kAbsent = 0;
inline constexpr std::uint64_t kLost = ~0ull;  ///< its holders say that they cannot know

struct Operation {
    enum class What : std::uint8_t {
        Read,   ///< saw `value`
        Write,  ///< of `value`
        Swap,   ///< of `value`, where `expected` is there
        Loss,   ///< both holders lost: from some moment on its holders say kLost
    };
    What what = What::Read;
    std::uint64_t value = kAbsent, expected = kAbsent;
    bool sure = true;  ///< false: it may not have happened
    TimePoint called{}, answered{Duration{std::numeric_limits<double>::infinity()}};
};
/// Values are drawn once; `operations` in any order, of one record.
bool linearizable(std::vector<Operation> operations);
std::string text(const std::vector<Operation>& operations);

}  // namespace ochrehub::lab::shards
