// What keepers say to each other, and what they keep. Numbers of keepers are from 1 on, and never given to
// another.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ochrehub::raft {

using NodeId = std::uint32_t;

struct Member {
    NodeId id = 0;
    bool voter = true;    ///< false: a learner, which is sent everything and counts for nothing
    std::string address;  ///< for whoever carries messages
    friend bool operator==(const Member&, const Member&) = default;
};
using Members = std::vector<Member>;  ///< by number, each once

struct Entry {
    enum class Kind : std::uint8_t { Data, NoOp, Configuration };
    std::uint64_t term = 0;
    Kind kind = Kind::Data;
    std::string data;  ///< of Configuration: all members from here on, encoded
    friend bool operator==(const Entry&, const Entry&) = default;
};
struct HardState {
    std::uint64_t term = 0;
    NodeId voted_for = 0;  ///< zero: nobody, in this term
    friend bool operator==(const HardState&, const HardState&) = default;
};
struct Snapshot {
    std::uint64_t last_included_index = 0, last_included_term = 0;  ///< of the last entry that is in it
    Members members;
    std::string state;
    friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

struct RequestVote {
    std::uint64_t term = 0, last_index = 0, last_term = 0;
    bool pre = false;       ///< would you, in this term
    bool transfer = false;  ///< the leader wishes it: patience does not count
    friend bool operator==(const RequestVote&, const RequestVote&) = default;
};
struct RequestVoteResponse {
    std::uint64_t term = 0;
    bool pre = false, granted = false;
    friend bool operator==(const RequestVoteResponse&, const RequestVoteResponse&) = default;
};
struct AppendEntries {
    std::uint64_t term = 0, previous_index = 0, previous_term = 0, committed = 0;
    std::uint64_t round =
        0;  ///< rises with each that the leader sends; comes back, for read index and check quorum
    std::vector<Entry> entries;
    std::uint64_t trusts = 0;  ///< the doubt that is over: it has again all that it may have promised
    friend bool operator==(const AppendEntries&, const AppendEntries&) = default;
};
struct AppendEntriesResponse {
    std::uint64_t term = 0, round = 0;
    bool matches = false;
    std::uint64_t index = 0;  ///< matches: on the disk up to here; else: look below this one
    std::uint64_t doubt =
        0;  ///< not zero: its disk is not trusted, and it counts for nothing; drawn at each such start
    friend bool operator==(const AppendEntriesResponse&, const AppendEntriesResponse&) = default;
};
struct InstallSnapshot {  ///< of a snapshot
    std::uint64_t term = 0, round = 0, index = 0, index_term = 0, offset = 0, size = 0;
    Members members;
    std::string octets;
    friend bool operator==(const InstallSnapshot&, const InstallSnapshot&) = default;
};
struct InstallSnapshotResponse {
    std::uint64_t term = 0, round = 0, index = 0,
                  next = 0;   ///< next: the offset that is wanted; the size: all of it is on the disk
    std::uint64_t doubt = 0;  ///< as in Appended
    friend bool operator==(const InstallSnapshotResponse&, const InstallSnapshotResponse&) = default;
};
struct TimeoutNow {
    std::uint64_t term = 0;
    friend bool operator==(const TimeoutNow&, const TimeoutNow&) = default;
};
using Message = std::variant<RequestVote, RequestVoteResponse, AppendEntries, AppendEntriesResponse,
                             InstallSnapshot, InstallSnapshotResponse, TimeoutNow>;

/// As protobuf (proto/raft.proto).
std::string encode(const Message& message);
/// Nothing where the octets are no message of this version. Reads none outside of them, whatever they claim.
std::optional<Message> decode(std::string_view octets);

/// An entry of Kind::Change bears these.
std::string encode(const Members& members);
std::optional<Members> decode_members(std::string_view octets);

}  // namespace ochrehub::raft
