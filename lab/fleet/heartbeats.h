// Two simpler detectors on the same days, for comparison alone: each member tells each other that it lives,
// twice a second, and whoever hears nothing judges by itself. No question is asked through others and nothing
// is passed on.
#pragma once

#include <vector>

#include "lab/fleet/day.h"
#include "lab/fleet/watch.h"

namespace ochrehub::lab::fleet {

enum class Detector {
    Timeout,  ///< dead behind kTimeout_s without a word, which finds a killed one as soon as the members of
              ///< this program do
    Phi,  ///< dead where so long a silence is less likely than 10^-kPhi by the mean and spread of the last
          ///< hundred
};
inline constexpr double kTimeout_s = 5.5, kPhi = 8;

std::vector<Event> run_heartbeats(const Day& day, Detector detector);

}  // namespace ochrehub::lab::fleet
