// One tier's life, measured: how soon all know all, what they send, how soon a death is known, and who is
// wrongly dead.
#pragma once

#include <string>
#include <vector>

#include "lab/swarm/swarm.h"

namespace ochrehub::lab {

struct SwarmTrial {
    Swarm::Settings swarm;
    Duration settles_within{120'000};
    Duration calm{60'000};  ///< undisturbed, in which messages are counted
    Duration known_within{60'000};
    bool crash = true;  ///< one member, behind the calm
    // While messages are counted, which is then no calm:
    double pauses = 0;       ///< of each member, an hour, drawn
    Duration longest{3000};  ///< ... each up to so long
    int one_sided = 0;       ///< so many of a hundred members are not heard by one other that is drawn
};

struct SwarmOutcome {
    double settled_ms = -1;    ///< from the first start; negative: not within the time
    double sent_a_second = 0;  ///< datagrams a member, while it was calm
    double most_a_second = 0;  ///< ... of the member that sent the most
    double known_ms = -1;      ///< from the crash until all that are up take it for dead
    std::uint64_t falsely =
        0;  ///< lives that somebody ended in the counted time while they were not over, a pause included
    double hours = 0;               ///< of all members in that time
    std::uint64_t called_dead = 0;  ///< believing so of one that was up, by each that came to
    std::uint64_t wrong_at_end =
        0;  ///< beliefs about members that are up and are taken for gone, a minute later
    double cpu_s = 0;
};

SwarmOutcome run(const SwarmTrial& trial);
/// A seed after the other, `jobs` at a time; the order is the seeds'.
std::vector<SwarmOutcome> run(const SwarmTrial& trial, std::uint64_t first, std::uint64_t last, int jobs);
/// Medians and worst, in one line of words and one of figures.
std::string summary(const SwarmTrial& trial, const std::vector<SwarmOutcome>& outcomes);

}  // namespace ochrehub::lab
