// Config distribution in virtual time: coordinators over Raft as shipped, nodes with their sessions and
// subscribers, and operators who propose versions, roll back and run canaries, on a network that loses,
// delays, duplicates and partitions, with pauses, crashes and clock drift. The invariant checker sees each
// decision.
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

/// A planted fault, to test that the invariant checker finds it.
enum class ConfigMutant : std::uint8_t {
    None,
    LeaseFromResponse,     ///< a node counts its lease from the response instead of the request
    LeaseTooLong,          ///< a node extends its lease by a tenth
    ClockNotChecked,       ///< a node does not check the clock after a pause
    ReleaseBeforeApply,    ///< a node reports a release but keeps using the older version
    AcceptsStaleUpdate,    ///< a node accepts a stale update as the newest
    ActsFromFile,          ///< a node uses its file as if it had a lease
    LeaseOutlivesSession,  ///< a lost session does not end its leases
    SkipsDraining,         ///< coordinators put a Strict version in force without draining
    ReleaseByMajority,     ///< draining ends once a majority has released
    ExtendsBeforeApply,    ///< leases are extended at once, while their replacements arrive later
    ShorterServerLease,    ///< coordinators count a shorter lease than the node
    NackAsAck,             ///< a node's rejection counts as an acknowledgement
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
    std::map<std::string, int> stopped;  ///< by error code
    std::map<config_distribution::ConfigMode, std::uint64_t> by_mode;
    Duration max_inconsistency{}, longest_bounded{};  ///< not counting the duration of canaries
    std::vector<std::string> violations;              ///< of invariants
};

ConfigSimulationResult run(const ConfigSimulationSettings& settings);
/// Settings of a smaller run with a mutant.
ConfigSimulationSettings mutant_settings(ConfigMutant mutant, ConfigFault fault, std::uint64_t seed);

/// A comparison run with the same nodes, faults and changes, in which a script copies files from node to node
/// and signals each to reload.
ConfigSimulationResult run_copied_files(const ConfigSimulationSettings& settings);

/// One Strict change among three coordinators and three nodes. At the `event`th event after the proposal,
/// `process` crashes (and restarts a second later) or is paused for 8 s. 0: no fault; the result's `events`
/// is their number.
ConfigSimulationResult run_single_change(std::uint64_t seed, std::uint64_t event, std::size_t process,
                                         bool crash);

}  // namespace ochrehub::lab
