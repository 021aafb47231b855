// The data of consensus that is both sent and stored: log entries, the vote, snapshots, the cluster's
// members. Responsible for their meaning; how they are encoded is message.h's, where they are stored the
// caller's. Plain values without threads or clock.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ochrehub::raft {

/// Identifies a server of the cluster. From 1 on; zero stands for none. Never reused for another server.
using NodeId = std::uint32_t;

/// A server of the cluster, as a configuration entry names it.
struct Member {
    NodeId id = 0;
    bool voter = true;    ///< false: a learner, which receives all entries and counts for no majority
    std::string address;  ///< where the transport reaches it; opaque to consensus
    friend bool operator==(const Member&, const Member&) = default;
};

/// The cluster's configuration: ascending by id, each id once.
using Members = std::vector<Member>;

/// One entry of the replicated log.
struct Entry {
    /// The values are stored and sent.
    enum class Kind : std::uint8_t {
        Data,           ///< a client's command
        NoOp,           ///< the first entry of a leader's term, without data
        Configuration,  ///< all members from this entry on
    };
    std::uint64_t term = 0;
    Kind kind = Kind::Data;
    std::string data;  ///< Data: the command, opaque; Configuration: encoded Members
    friend bool operator==(const Entry&, const Entry&) = default;
};

/// The paper's currentTerm and votedFor.
struct HardState {
    std::uint64_t term = 0;
    NodeId voted_for = 0;  ///< in this term; zero: nobody
    friend bool operator==(const HardState&, const HardState&) = default;
};

/// The state machine's state as of an entry, which replaces the log up to and including it.
struct Snapshot {
    std::uint64_t last_included_index = 0;
    std::uint64_t last_included_term = 0;
    Members members;    ///< the configuration as of last_included_index
    std::string state;  ///< opaque to consensus
    friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

}  // namespace ochrehub::raft
