// Observes a simulated consensus group from outside, at every event: what servers send, write and apply, and
// what their disks hold. Checks the properties of Raft (Ongaro 2014, figure 3.2) and the promises of
// fleet/raft/raft.h. It never relies on a server's own word where its disk, or the group as a whole, shows
// more. Not thread-safe; no clock.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/raft/raft.h"
#include "lab/raft/register_map.h"
#include "lab/raft/virtual_disk.h"

namespace ochrehub::lab {

class RaftInvariantChecker {
public:
    struct ServerView {
        raft::NodeId id = 0;
        const raft::Raft* core = nullptr;
        const VirtualDisk* disk = nullptr;
    };
    using Disks = std::map<raft::NodeId, const VirtualDisk*>;

    void set_initial_members(const raft::Members& members) { configurations_[0] = members; }
    void on_start(raft::NodeId id);
    /// To be called before the disk loses acknowledged data. That the data was there still counts for entries
    /// whose acknowledgement is in flight.
    void on_data_loss(raft::NodeId id, const VirtualDisk& disk) { lost_disks_[id].push_back(disk); }
    /// A proposal, a read or a membership change is handed to a server.
    void on_request(std::uint64_t id, bool is_read) { open_requests_[id] = is_read ? last_committed() : 0; }
    /// To be called after each event of a server, before its actions are carried out.
    void on_event(const ServerView& server, const raft::Actions& actions, const Disks& disks);

    std::uint64_t last_committed() const { return committed_.empty() ? 0 : committed_.rbegin()->first; }
    std::uint64_t terms_with_leader() const { return leaders_.size(); }
    /// The first few; empty: none.
    const std::vector<std::string>& violations() const { return violations_; }
    void report(const std::string& violation);

private:
    struct EntryId {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        friend auto operator<=>(const EntryId&, const EntryId&) = default;
    };
    struct SeenEntry {
        std::uint64_t previous_term = 0;
        raft::Entry::Kind kind{};
        std::string data;
        friend bool operator==(const SeenEntry&, const SeenEntry&) = default;
    };
    struct CommittedEntry {
        std::uint64_t term = 0;
        std::uint64_t committed_in_term = 0;
        raft::Entry::Kind kind{};
        std::string data;
    };
    struct VoteId {
        raft::NodeId voter = 0;
        std::uint64_t term = 0;
        friend auto operator<=>(const VoteId&, const VoteId&) = default;
    };
    struct LeaderLog {
        raft::NodeId id = 0;
        std::uint64_t first_index = 1;
        std::vector<std::uint64_t> terms;  ///< of its entries from first_index on, when its term began
        bool holds(std::uint64_t index, std::uint64_t term) const;
    };

    void check_write(const ServerView& server, const raft::Write& write);
    void check_leader(const ServerView& server);
    void check_restore(const ServerView& server, const raft::Snapshot& snapshot);
    void check_commits(const ServerView& server, const Disks& disks);
    void commit(const ServerView& server, std::uint64_t index, const Disks& disks);
    bool is_durable(const raft::Member& member, EntryId entry, const Disks& disks);
    void check_apply(const ServerView& server, const raft::ApplyEntry& apply);
    void check_read(const ServerView& server, const raft::ReadReady& ready);
    void check_message(const ServerView& server, const raft::SendMessage& send);
    void check_append_response(const ServerView& server, const raft::AppendEntriesResponse& response);
    void check_snapshot_response(const ServerView& server, const raft::InstallSnapshotResponse& response);
    void check_vote(const ServerView& server, raft::NodeId candidate, std::uint64_t term);
    void check_candidacy(const ServerView& server, std::uint64_t term);
    void close_request(std::uint64_t id, const char* how);
    void report_incomplete_leader(std::uint64_t term, std::uint64_t index);
    const raft::Members& members_at(std::uint64_t index) const;

    std::map<std::uint64_t, LeaderLog> leaders_;         ///< by term
    std::map<EntryId, SeenEntry> entries_;               ///< all that were ever appended
    std::map<VoteId, raft::NodeId> votes_;               ///< for whom, over restarts and losses
    std::map<std::uint64_t, CommittedEntry> committed_;  ///< by index
    std::map<std::uint64_t, raft::Members>
        configurations_;                                   ///< committed ones by index; zero: the initial one
    std::map<std::uint64_t, std::uint64_t> state_hashes_;  ///< by the index that the state includes
    RegisterMap state_;                                    ///< of all committed entries
    std::map<raft::NodeId, std::uint64_t> commit_index_;   ///< of each server since its start
    std::map<raft::NodeId, std::uint64_t> last_applied_;   ///< of each server since its start
    std::map<std::uint64_t, std::uint64_t> open_requests_;  ///< of a read: last_committed() when requested
    std::map<raft::NodeId, std::vector<VirtualDisk>> lost_disks_;
    std::map<std::uint64_t, std::uint64_t> snapshot_sizes_;  ///< sent, by last included index, bytes
    std::vector<std::string> violations_;
};

}  // namespace ochrehub::lab
