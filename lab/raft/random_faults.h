// Runs a simulated consensus group under random faults of every kind, then removes them and requires that it
// heals. Deterministic by its seed; a run is single-threaded, several may run in parallel.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lab/raft/mutation.h"
#include "ochrehub/balancer.h"

namespace ochrehub::lab {

struct RandomFaultSettings {
    std::uint64_t seed = 1;
    Duration time{30'000};  ///< ms of virtual time under faults
    RaftMutation mutation;
    bool lose_data = true;               ///< one disk at a time loses acknowledged data
    std::optional<std::size_t> servers;  ///< nothing: three or five by the seed
};
struct RandomFaultResult {
    std::vector<std::string> violations;
    std::map<std::string, std::uint64_t> counts;  ///< of faults and of what came of them, by name
    std::uint64_t committed = 0;                  ///< entries
    std::uint64_t terms_with_leader = 0;
    std::uint64_t operations = 0;  ///< of clients, that may have been executed
    std::uint64_t events = 0;      ///< of all servers
};
RandomFaultResult run_random_faults(const RandomFaultSettings& settings);

}  // namespace ochrehub::lab
