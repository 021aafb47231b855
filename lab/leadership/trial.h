// Runs of the world: a scripted one struck at each of its events, seeds with everything at once, the time
// without an owner, and the saboteurs, each with the fault that shows it.
#pragma once

#include "lab/leadership/world.h"

namespace ochrehub::lab::leadership {

struct Trial {
    std::uint64_t runs = 0, events = 0, effects = 0, refused = 0,
                  owners = 0;  ///< owners: changes seen by receivers
    std::uint64_t wrong = 0;
    std::string first;  ///< the first thing that was wrong, with the run that shows it
    void add(const World& world, const JudgeSettings& settings, const std::string& which);
};

/// Three owners, three keepers, two receivers, one job; an operator moves it in the middle.
WorldSettings scripted(std::uint64_t items, std::uint64_t seed = 1);
/// Struck at event `from`, `from + stride`, ... until the run has no more. `twice`: and once more, at each
/// `stride`-th behind it.
Trial strike_each(const WorldSettings& settings, Blow blow, std::uint64_t from, std::uint64_t stride,
                  bool twice = false);
/// Kills, stops, one-sided cuts, loss, late and doubled messages at once, for 20 s, three jobs. Odd seeds
/// stop nobody.
Trial chaos(std::uint64_t from, std::uint64_t to, bool real = false);

struct Gaps {
    std::vector<Duration> each;  ///< sorted
    Duration median() const { return each.empty() ? Duration{0} : each[each.size() / 2]; }
    Duration worst() const { return each.empty() ? Duration{0} : each.back(); }
};
enum class Change { Kill, Stop, CutToKeepers, Move };
/// Between the last effect of the old owner's and the first of the next one's, by the receivers.
Gaps without_owner(Change change, std::uint64_t seeds, Duration lease, bool real = false);

/// The run that is meant to show this saboteur, with and without it.
Trial shown_by(Saboteur what_for, Saboteur in_it);
std::string_view fault_for(Saboteur saboteur);

}  // namespace ochrehub::lab::leadership
