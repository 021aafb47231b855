// The interface of the consensus core as data: its settings, what it starts from, the events that it receives
// and the actions that it returns. Responsible for naming them; the rules are raft.h's.
// Plain values without threads; times are on the caller's monotonic clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fleet/raft/error.h"
#include "fleet/raft/message.h"
#include "ochrehub/balancer.h"

namespace ochrehub::raft {

struct Settings {
    NodeId self = 0;                           ///< this server
    Duration heartbeat_interval{100};          ///< ms, between two heartbeats of a leader
    Duration election_timeout{1000};           ///< ms; each timeout is random between this and twice this
    std::size_t max_append_bytes = 256 << 10;  ///< of entries in one AppendEntries; one entry may exceed it
    std::size_t snapshot_chunk_bytes = 64 << 10;  ///< of a snapshot's state in one InstallSnapshot
    std::size_t max_inflight_appends = 8;  ///< AppendEntries with entries to one follower without a response
    std::size_t max_pending_requests = 4096;  ///< proposals, and reads, without a result; more are rejected
    std::size_t retained_log_bytes =
        1 << 20;  ///< of entries kept behind a snapshot for slightly late followers
};

/// What a server had stored when it started.
struct PersistentState {
    HardState hard_state;
    std::optional<Snapshot> snapshot;
    std::uint64_t first_index = 1;  ///< index of entries[0]
    std::vector<Entry> entries;
    Members initial_members;  ///< used where neither the snapshot nor an entry holds a configuration
    /// False: the storage has lost data that this server had acknowledged. It neither votes nor counts for a
    /// majority until a leader has completed its recovery.
    bool trusted = true;
};

// Events

/// The time of the last SetTimer has come. It is also the first event after construction.
struct TimerFired {};

struct MessageReceived {
    NodeId from = 0;
    Message message;
};

/// All Writes up to this number are durable.
struct WriteCompleted {
    std::uint64_t number = 0;
};

/// Append a command to the log. Ends in exactly one ApplyEntry or Rejected with this id, unless the server
/// stops before.
struct Propose {
    std::uint64_t id = 0;  ///< chosen by the caller, unique among its pending requests, non-zero
    std::string data;
};

/// A linearizable read (thesis, 6.4). Ends in exactly one ReadReady or Rejected with this id.
struct ReadIndex {
    std::uint64_t id = 0;
};

/// Add a member, which becomes a voter once it has caught up, or remove one. Rejected with this id where it
/// cannot begin; otherwise it is done when MembershipChanged shows it and it is committed.
struct ChangeMembership {
    std::uint64_t id = 0;
    NodeId member = 0;
    bool add = true;
    std::string address;  ///< of a member to add
};

/// Make another voter the leader.
struct TransferLeadership {
    NodeId to = 0;  ///< zero: the voter whose log is the longest
};

/// The caller has serialized its state machine's state as of this index.
struct SnapshotTaken {
    std::uint64_t index = 0;
    std::string state;
};

using Event = std::variant<TimerFired, MessageReceived, WriteCompleted, Propose, ReadIndex, ChangeMembership,
                           TransferLeadership, SnapshotTaken>;

// Actions

/// May be lost, duplicated, delayed or reordered by the transport.
struct SendMessage {
    NodeId to = 0;
    Message message;
};

/// To be made durable, in order of the numbers; several may share one sync. Within one: hard_state,
/// truncate_from, append, snapshot, recovered.
struct Write {
    std::uint64_t number = 0;  ///< for WriteCompleted
    std::optional<HardState> hard_state;
    std::optional<std::uint64_t> truncate_from;  ///< delete the entries from this index on
    std::vector<Entry> append;                   ///< at the end of the log
    std::optional<Snapshot>
        snapshot;            ///< replaces the log up to its index; all of it where the log ends before
    bool recovered = false;  ///< the storage may be trusted again
};

/// Apply a committed command to the state machine. In order of the index, each once; entries without a
/// command are skipped.
struct ApplyEntry {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::uint64_t id = 0;  ///< of the Propose event on this server; zero: proposed elsewhere, or before
    std::string data;
};

/// Replace the state machine's state by this snapshot's.
struct RestoreSnapshot {
    Snapshot snapshot;
};

/// The read may be served once all entries up to `index` have been applied.
struct ReadReady {
    std::uint64_t id = 0;
    std::uint64_t index = 0;
};

struct Rejected {
    std::uint64_t id = 0;  ///< of the request
    Error error{};
    NodeId leader_hint = 0;  ///< the leader as far as is known; zero: unknown
};

enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader, Learner };

struct RoleChanged {
    Role role{};
    std::uint64_t term = 0;
    NodeId leader = 0;  ///< as far as is known; zero: unknown
};

/// The members as of the last entry of the log, committed or not.
struct MembershipChanged {
    Members members;
};

/// Deliver TimerFired at this time. Replaces the previous SetTimer.
struct SetTimer {
    TimePoint at;
};

using Action = std::variant<SendMessage, Write, ApplyEntry, RestoreSnapshot, ReadReady, Rejected, RoleChanged,
                            MembershipChanged, SetTimer>;
using Actions = std::vector<Action>;

}  // namespace ochrehub::raft
