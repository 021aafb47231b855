// Judges a run by what was seen of it from outside. It knows the day and the events, nothing of the members'
// code.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "lab/fleet/day.h"
#include "lab/fleet/watch.h"

namespace ochrehub::lab::fleet {

struct Broken {
    std::string promise;
    double at_s = 0;
    std::vector<std::string> proof;  ///< the faults and events behind it, a line each
};

struct Verdict {
    std::vector<Broken> broken;
    /// Seconds but for "deaths" and "served": what was measured, one value each time it came up; negative:
    /// never.
    std::map<std::string, std::vector<double>> figures;
};

Verdict judge(const Day& day, const std::vector<Event>& events);

}  // namespace ochrehub::lab::fleet
