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

enum class ConfigFault : std::uint8_t {
    None,
    Loss,
    Delays,
    Partitions,
    OneWayPartitions,
    Pauses,
    Crashes,
    Coordinators,
    All
};
inline constexpr std::size_t kConfigFaults = 9;
std::string_view name(ConfigFault fault);

/// Something wrong on purpose, to see whether the judge finds it.
enum class ConfigMutant : std::uint8_t {
    None,
    LeaseFromResponse,     ///< a process counts its lease from when the answer came
    LeaseTooLong,          ///< ... and forgets the margin, by a tenth of the lease
    ClockNotChecked,       ///< a process does not look at the clock behind a pause, until it is told
    ReleaseBeforeApply,    ///< it says that older versions are given back, and goes on with them
    AcceptsStaleUpdate,    ///< news that were overtaken are taken for the newest
    ActsFromFile,          ///< what its file says is acted on as though it had a permit
    LeaseOutlivesSession,  ///< a session that is lost takes no permit along
    SkipsDraining,         ///< keepers bring a strict version in force once all have said yes
    ReleaseByMajority,     ///< ... once most have given older ones back
    ExtendsBeforeApply,    ///< permits are lengthened at once, and what replaces them comes to the loop by a
                         ///< slower path
    ShorterServerLease,  ///< keepers count a shorter lease than the process does
    NackAsAck,           ///< a node's no is taken for a yes
};
inline constexpr std::size_t kConfigMutants = 13;
std::string_view name(ConfigMutant mutant);

struct ConfigSimulationSettings {
    std::size_t coordinators = 5, nodes = 20;
    int changes = 50;
    std::uint64_t seed = 1;
    ConfigFault fault = ConfigFault::All;
    ConfigMutant mutant = ConfigMutant::None;
    Duration lease{3000};
    ConfigInvariantChecker::Contradict contradict = config_distribution::conflicts;
};

struct ConfigSimulationResult {
    std::uint64_t events = 0, decisions = 0;
    int proposed = 0, in_force = 0;
    std::map<std::string, int> stopped;  ///< by the error's code
    std::map<config_distribution::ConfigMode, std::uint64_t> by_mode;
    Duration max_inconsistency{}, longest_bounded{};  ///< without what a canary's length allows
    std::vector<std::string> violations;              ///< which promise, and how
};

ConfigSimulationResult run(const ConfigSimulationSettings& settings);
/// A smaller day with something wrong in it.
ConfigSimulationSettings mutant_settings(ConfigMutant mutant, ConfigFault fault, std::uint64_t seed);

/// The same nodes, faults and changes, with settings copied by a script that goes from node to node, and a
/// signal.
ConfigSimulationResult run_copied_files(const ConfigSimulationSettings& settings);

/// One strict change among three keepers and three nodes; at the `event`th thing that happens from the
/// proposal on, `process` is crashed (and started a second later) or stopped (for 8 s). Zero: nothing is done
/// to anybody; `Day::events` is how many there are.
ConfigSimulationResult run_single_change(std::uint64_t seed, std::uint64_t event, std::size_t process,
                                         bool crash);

}  // namespace ochrehub::lab
