// What receivers recorded of effects, and the verdict from that alone: never an owner's or a keeper's own
// word.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub::lab::leadership {

struct EffectSeen {
    TimePoint at{};  ///< the world's clock
    std::size_t receiver = 0, sender = 0;
    std::string duty;
    std::uint64_t epoch = 0, item = 0;  ///< which piece of the work it was
};
/// An effect under an epoch that had been replaced. `since`: how long before, the newer one had been seen
/// there.
struct RefusedSeen {
    TimePoint at{};
    std::size_t receiver = 0, sender = 0;
    std::string duty;
    std::uint64_t epoch = 0;
    Duration since{};
};
struct Records {
    std::vector<EffectSeen> effects;
    std::vector<RefusedSeen> refused;
    std::vector<std::string>
        undone;  ///< what should have been done by the end and was not, by the receivers' disks
};

struct JudgeSettings {
    /// How many effects of one owner may come so late that they are refused: none where no process was
    /// stopped, and one where an owner was, between looking at its lease and sending.
    std::size_t late = 0;
    Duration on_the_way{10};  ///< what comes within this behind a newer epoch was sent before it
};
/// One line for each thing that is wrong; empty: nothing is.
std::vector<std::string> judge(const Records& records, const JudgeSettings& settings);

}  // namespace ochrehub::lab::leadership
