// The one message type of the leadership simulations' network.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/coordinator/state_machine.h"
#include "fleet/fencing/fencing_guard.h"

namespace ochrehub::lab::leadership {

struct Message {
    enum class Kind {
        // Among simulated coordinators.
        Beat,
        // A session with simulated coordinators. Renew with session zero opens a new one.
        Renew,
        Renewed,
        NotLeader,
        // A command and its response.
        Do,
        Did,
        // Lease holder to receiver, and the receiver's response.
        Effect,
        Look,
        Retire,
        Verdict,
        // A node's query of the endpoint list's state machine, or its call to discovery, and the response.
        Ask,
        List,
        Failed,
        // Among coordinators over Raft, and with their sessions.
        Raft,
        Asked,
        Answered
    };
    struct Entry {
        std::string key;    ///< a state machine's kind, or a server's id
        std::string value;  ///< its session update, or the server's phase; empty: removed
    };

    Kind kind{};
    std::uint64_t call = 0;  ///< repeated in the response
    coordinator::SessionId session = 0;
    std::string what;  ///< a state machine's kind, or a role
    std::string body;  ///< a command, query, or response
    std::vector<Entry> entries;
    std::uint64_t epoch = 0;
    std::uint64_t step = 0;
    std::uint64_t item = 0;
    fencing::Verdict verdict{};
    std::uint64_t index = 0;  ///< the leader, discovery's revision, or what kind of request a verdict answers
    bool is_full = false;     ///< discovery's response holds all servers
    double wait = 0;          ///< ms for which discovery may wait for a change
};

}  // namespace ochrehub::lab::leadership
