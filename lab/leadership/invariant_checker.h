// What receivers recorded of effects, and the invariants that are checked from that alone: never from what a
// lease holder or a coordinator reports of itself.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub::lab::leadership {

struct Effect {
    TimePoint at{};  ///< the simulation's clock
    std::size_t receiver = 0;
    std::size_t sender = 0;
    std::string role;
    std::uint64_t epoch = 0;
    std::uint64_t item = 0;
};

/// An effect under an epoch that had been superseded at its receiver.
struct RejectedEffect {
    TimePoint at{};  ///< the simulation's clock
    std::size_t receiver = 0;
    std::size_t sender = 0;
    std::string role;
    std::uint64_t epoch = 0;
    Duration superseded_for{};  ///< since the receiver first saw the newer epoch
};

struct EffectLog {
    std::vector<Effect> effects;
    std::vector<RejectedEffect> rejected;
    std::vector<std::string> undone;  ///< what should have been done by the end and was not
};

struct CheckerSettings {
    /// How many effects of one lease holder under one epoch may be rejected: none unless a process was
    /// paused, and then one, between the look at the lease and the send.
    std::size_t max_late_effects = 0;
    /// An effect that arrives within this time of a newer epoch was sent before it.
    Duration max_transit{10};
};

/// One line per violation; empty: none.
std::vector<std::string> check_invariants(const EffectLog& log, const CheckerSettings& settings);

}  // namespace ochrehub::lab::leadership
