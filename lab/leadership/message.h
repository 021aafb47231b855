#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/coordinator/state_machine.h"
#include "fleet/fencing/fencing_guard.h"

namespace ochrehub::lab::leadership {

struct Message {
    enum class Kind {
        Beat,  // among keepers
        Renew,
        Renewed,
        NotLeader,  // a session; session zero: a new one
        Do,
        Did,  // a command and its answer
        Effect,
        Look,
        Retire,
        Verdict,  // owner and receiver
        Ask,
        List,
        Failed,  // a node and discovery
        Raft,
        Asked,
        Answered  // among real keepers, and with their sessions
    } kind{};
    std::uint64_t call = 0;
    coordinator::SessionId session = 0;
    std::string what, body;  // which machine; its command, answer; a duty's name
    std::vector<std::pair<std::string, std::string>> news;
    std::uint64_t epoch = 0, step = 0, item = 0;
    fencing::Verdict verdict{};
    std::uint64_t index = 0;
    double wait = 0;
};

}  // namespace ochrehub::lab::leadership
