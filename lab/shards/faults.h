// Days of the shards' world: faults drawn from a seed, and scripts that reach one kind of fault by name.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "lab/shards/world.h"

namespace ochrehub::lab::shards {

/// 25 s of drawn faults, of which all are healed, then quiet until all is settled again.
World::Verdict drawn_day(const WorldSettings& settings);

struct Script {
    std::string_view name;
    std::function<World::Verdict(WorldSettings)> run;
};
const std::vector<Script>& scripts();

/// A day without other faults, with one at an event's number: killed in or behind it, or stopped and let go
/// two views later.
struct Hit {
    bool hit = false;
    World::Verdict verdict;
};
Hit day_with(std::uint64_t number, World::AtEvent what, std::uint64_t seed, std::size_t joins = 1);
/// Events of that day's script.
std::uint64_t day_events(std::uint64_t seed);

}  // namespace ochrehub::lab::shards
