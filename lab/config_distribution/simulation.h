// A fleet that agrees on documents, in virtual time: keepers over Raft as shipped, processes with their
// sessions and holders, operators who propose, take back and try out, on a network that loses, delays,
// doubles and cuts, with pauses, crashes and clocks that run apart. The judge sees each decision.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/config_distribution/invariant_checker.h"

namespace ochrehub::lab {

enum class Fault : std::uint8_t { None, Loss, Late, Cuts, OneWay, Pauses, Crashes, Keepers, All };
inline constexpr std::size_t kFaults = 9;
std::string_view name(Fault fault);

/// Something wrong on purpose, to see whether the judge finds it.
enum class Saboteur : std::uint8_t {
    None,
    CountsFromAnswer,   ///< a process counts its lease from when the answer came
    HoldsTooLong,       ///< ... and forgets the margin, by a tenth of the lease
    LooksTooLate,       ///< a process does not look at the clock behind a pause, until it is told
    GivesBackAtOnce,    ///< it says that older versions are given back, and goes on with them
    TakesOldNews,       ///< news that were overtaken are taken for the newest
    ActsFromDisk,       ///< what its file says is acted on as though it had a permit
    KeepsOverSessions,  ///< a session that is lost takes no permit along
    NoDraining,         ///< keepers bring a strict version in force once all have said yes
    MajorityGivesBack,  ///< ... once most have given older ones back
    ExtendsFirst,  ///< permits are lengthened at once, and what replaces them comes to the loop by a slower
                   ///< path
    ShortLease,    ///< keepers count a shorter lease than the process does
    NoIsYes,       ///< a node's no is taken for a yes
};
inline constexpr std::size_t kSaboteurs = 13;
std::string_view name(Saboteur saboteur);

struct WorldSettings {
    std::size_t keepers = 5, nodes = 20;
    int changes = 50;
    std::uint64_t seed = 1;
    Fault fault = Fault::All;
    Saboteur saboteur = Saboteur::None;
    Duration lease{3000};
    Judge::Contradict contradict = config_distribution::conflicts;
};

struct Day {
    std::uint64_t events = 0, decisions = 0;
    int proposed = 0, in_force = 0;
    std::map<std::string, int> stopped;  ///< by the error's code
    std::map<config_distribution::ConfigMode, std::uint64_t> by_mode;
    Duration stated{}, longest_quick{};  ///< without what a canary's length allows
    std::vector<std::string> broken;     ///< which promise, and how
};

Day play(const WorldSettings& settings);
/// A smaller day with something wrong in it.
WorldSettings sabotaged(Saboteur saboteur, Fault fault, std::uint64_t seed);

/// The same nodes, faults and changes, with settings copied by a script that goes from node to node, and a
/// signal.
Day play_copied(const WorldSettings& settings);

/// One strict change among three keepers and three nodes; at the `event`th thing that happens from the
/// proposal on, `process` is crashed (and started a second later) or stopped (for 8 s). Zero: nothing is done
/// to anybody; `Day::events` is how many there are.
Day play_change(std::uint64_t seed, std::uint64_t event, std::size_t process, bool crash);

}  // namespace ochrehub::lab
