// The messages between servers, named as in the Raft paper, and their encoding as protobuf
// (proto/raft.proto). Responsible for rejecting malformed bytes; what a message causes is raft.h's.
// Plain values and pure functions, safe on any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/raft/types.h"

namespace ochrehub::raft {

/// A candidate requests a vote.
struct RequestVote {
    std::uint64_t term = 0;  ///< pre-vote: the term that the sender would campaign in
    std::uint64_t last_log_index = 0;
    std::uint64_t last_log_term = 0;
    bool pre_vote = false;  ///< polls without changing any term (thesis, 9.6)
    bool leadership_transfer =
        false;  ///< the leader requested this election: voters don't wait for its timeout
    friend bool operator==(const RequestVote&, const RequestVote&) = default;
};

struct RequestVoteResponse {
    std::uint64_t term = 0;  ///< of a granted pre-vote: the term that was polled
    bool pre_vote = false;
    bool vote_granted = false;
    friend bool operator==(const RequestVoteResponse&, const RequestVoteResponse&) = default;
};

/// The leader replicates entries, or sends a heartbeat where `entries` is empty.
struct AppendEntries {
    std::uint64_t term = 0;
    std::uint64_t prev_log_index = 0;
    std::uint64_t prev_log_term = 0;
    std::uint64_t leader_commit = 0;
    /// Rises by one with each message of the leader; the response returns it, for read index and check
    /// quorum.
    std::uint64_t round = 0;
    std::vector<Entry> entries;  ///< from prev_log_index + 1 on
    /// Non-zero: the recovery that is complete. The receiver holds again all that it may have acknowledged.
    std::uint64_t completed_recovery_id = 0;
    friend bool operator==(const AppendEntries&, const AppendEntries&) = default;
};

struct AppendEntriesResponse {
    std::uint64_t term = 0;
    std::uint64_t round = 0;
    bool success = false;
    /// Success: the log is durable and matches the leader's up to here. Failure: the first index to send
    /// again.
    std::uint64_t index = 0;
    /// Non-zero: the sender lost stored data and counts for no majority. Random for each such start.
    std::uint64_t recovery_id = 0;
    friend bool operator==(const AppendEntriesResponse&, const AppendEntriesResponse&) = default;
};

/// One chunk of a snapshot. Chunks arrive in order of their offset; others are dropped by the receiver.
struct InstallSnapshot {
    std::uint64_t term = 0;
    std::uint64_t round = 0;  ///< as in AppendEntries
    std::uint64_t last_included_index = 0;
    std::uint64_t last_included_term = 0;
    std::uint64_t offset = 0;      ///< of the chunk, bytes
    std::uint64_t total_size = 0;  ///< of the snapshot's state, bytes
    Members members;
    std::string data;
    friend bool operator==(const InstallSnapshot&, const InstallSnapshot&) = default;
};

struct InstallSnapshotResponse {
    std::uint64_t term = 0;
    std::uint64_t round = 0;
    std::uint64_t last_included_index = 0;
    std::uint64_t next_offset = 0;  ///< expected next, bytes; total_size: the whole snapshot is durable
    std::uint64_t recovery_id = 0;  ///< as in AppendEntriesResponse
    friend bool operator==(const InstallSnapshotResponse&, const InstallSnapshotResponse&) = default;
};

/// The leader requests that the receiver starts an election at once (thesis, 3.10).
struct TimeoutNow {
    std::uint64_t term = 0;
    friend bool operator==(const TimeoutNow&, const TimeoutNow&) = default;
};

using Message = std::variant<RequestVote, RequestVoteResponse, AppendEntries, AppendEntriesResponse,
                             InstallSnapshot, InstallSnapshotResponse, TimeoutNow>;

std::string encode(const Message& message);

/// Nothing where the bytes are no well-formed message of this version. A number of 2^60 or more, unsorted
/// members, or a chunk that reaches beyond its snapshot are malformed too.
std::optional<Message> decode(std::string_view bytes);

/// The data of an entry of Kind::Configuration.
std::string encode(const Members& members);

/// Nothing where the bytes are no list of members, or its ids are zero, unsorted or repeated.
std::optional<Members> decode_members(std::string_view bytes);

}  // namespace ochrehub::raft
