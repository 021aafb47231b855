// A day in virtual time: the members' cores as they ship, the same faults, the same looks from outside.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "fleet/membership/membership.h"
#include "lab/fleet/day.h"
#include "lab/fleet/watch.h"

namespace ochrehub::lab::fleet {

struct VirtualOptions {
    /// Of each member's core, before it starts: for ablations and mutants.
    std::function<void(membership::Settings&)> settings;
    /// A saboteur: may change what a member sends, or (false) withhold it.
    std::function<bool(std::size_t from, membership::SendDatagram&)> meddles;
};

/// Throws std::invalid_argument for a day with faults of keys. Faults of connections have nothing to touch
/// here and do nothing. Restarts forget everything, as processes do.
std::vector<Event> run_virtual(const Day& day, const VirtualOptions& options = {});

inline constexpr double kLookEvery_s = 0.1;  ///< at what operators are shown, in both worlds

}  // namespace ochrehub::lab::fleet
