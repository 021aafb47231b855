// Coordinators and clients in virtual time: the cores as they ship, Raft included, over lab/swarm/net.h, with
// a simulated disk for each coordinator, under injected faults. Every draw comes from the seed: the same
// settings give the same run. The invariant checker watches from outside.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/coordinator/mutant.h"
#include "ochrehub/balancer.h"

namespace ochrehub::lab {

struct CoordinatorSimulationSettings {
    std::size_t coordinators = 3;
    std::size_t clients = 3;
    std::uint64_t seed = 1;
    Duration fault_phase{25'000};
    Duration settle_phase{12'000};     ///< without faults; every client must be served at its end
    bool no_random_faults = false;     ///< only the crash below
    Duration lease{1200};              ///< short enough to end between two leaders
    Duration max_response_delay{0};    ///< of all messages from coordinators to clients
    std::uint64_t crash_at_event = 0;  ///< 0: never. `crashed_coordinator` restarts a second later
    std::size_t crashed_coordinator = 0;
    std::uint64_t snapshot_entries = 40;
    CoordinatorMutant mutant = CoordinatorMutant::None;
};

struct CoordinatorSimulationResult {
    std::vector<std::string> violations;  ///< of invariants; the first ones
    std::uint64_t events = 0;
    std::uint64_t commands = 0;
    std::uint64_t queries = 0;
    std::uint64_t possibly_executed = 0;
    std::uint64_t sessions = 0;
    std::uint64_t sessions_ended = 0;    ///< summed over coordinators
    std::uint64_t timeouts_expired = 0;  ///< summed over coordinators
    std::uint64_t leaders = 0;
    std::uint64_t snapshots = 0;
    std::uint64_t duplicates = 0;  ///< commands that arrived again and were recognized
};

CoordinatorSimulationResult run(const CoordinatorSimulationSettings& settings);

}  // namespace ochrehub::lab
