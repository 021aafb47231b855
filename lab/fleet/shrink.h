// The smallest list of faults that still breaks what a day broke, in virtual time: faults are taken out, then
// shortened.
#pragma once

#include <functional>

#include "lab/fleet/day.h"

namespace ochrehub::lab::fleet {

struct Shrunk {
    Day day;
    int runs = 0;  ///< that it took
};

/// `breaks`: the day still shows what is looked for; it does for `day` itself. Never runs more than `most`
/// days.
Shrunk shrink(Day day, const std::function<bool(const Day&)>& breaks, int most = 400);

}  // namespace ochrehub::lab::fleet
