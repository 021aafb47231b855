// Consensus on a log among a few servers: Raft after Ongaro's thesis (2014), one server's part of it.
// Responsible for pre-vote (9.6), check quorum and leadership transfer (3.10, 6.2), read index (6.4), one
// membership change at a time (4.1), chunked snapshots (5), and the recovery of servers that lost stored
// data. Not responsible for what an entry means, nor for sending, storing and applying: it is a core without
// I/O. Not thread-safe. Reads no clock: every event carries its time; random numbers come from its seed
// alone.
#pragma once

#include <boost/random/taus88.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include "fleet/raft/events.h"
#include "fleet/raft/progress.h"
#include "fleet/raft/raft_log.h"
#include "fleet/raft/write_queue.h"

namespace ochrehub::raft {

/// One server of a consensus group.
///
///                  election timeout           majority of pre-votes         majority of votes
///     Follower ------------------> PreCandidate ----------> Candidate ----------------------> Leader
///
/// Any role returns to Follower on a higher term, on a message from a current leader, and a Leader also when
/// it has received no response from a majority for an election timeout, or has removed itself. TimeoutNow
/// turns a Follower into a Candidate without a pre-vote. A server that is no voter is a Learner instead of a
/// Follower: it receives entries and starts no election.
///
/// The first event is TimerFired. Its actions restore the stored snapshot; stored entries after it are
/// applied again once a leader has shown that they are committed. When leadership ends, proposals and reads
/// that are pending are Rejected with LeadershipLost.
///
/// Nothing is acknowledged before it is durable: a message that depends on a Write is returned by the
/// WriteCompleted of that write.
///
/// Cost of an event: proportional to what it carries and to the number of members.
class Raft {
public:
    /// `seed`: another one at each start of a server, because it also identifies the recovery of lost data.
    Raft(const Settings& settings, const PersistentState& stored, std::uint64_t seed);

    /// `now`: on one monotonic clock. Appends to `actions`; the caller carries them out in order.
    void handle(TimePoint now, const Event& event, Actions& actions);

    Role role() const { return role_; }
    std::uint64_t term() const { return hard_state_.term; }
    NodeId leader() const { return leader_; }  ///< as far as is known; zero: unknown
    std::uint64_t commit_index() const { return commit_index_; }
    std::uint64_t durable_index() const { return writes_.durable_index(); }  ///< last entry that is stored
    std::uint64_t first_index() const { return log_.base_index() + 1; }      ///< may be last_index() + 1
    std::uint64_t last_index() const { return log_.last_index(); }
    /// Zero where the log doesn't hold `index`.
    std::uint64_t term_at(std::uint64_t index) const { return log_.term_at(index).value_or(0); }
    /// `index`: from first_index() to last_index().
    const Entry& entry(std::uint64_t index) const { return log_.entry(index); }
    /// As of the last entry; committed once membership_index() is at most commit_index().
    const Members& members() const { return log_.members(); }
    std::uint64_t membership_index() const { return log_.membership_index(); }
    bool storage_trusted() const { return recovery_id_ == 0; }  ///< see PersistentState::trusted
    std::size_t pending_proposals() const { return proposals_.size(); }
    NodeId transfer_target() const { return transfer_target_; }  ///< of a leadership transfer; zero: none

private:
    struct IncomingSnapshot {
        Snapshot snapshot;             ///< with the state received so far
        std::uint64_t total_size = 0;  ///< of the whole state, bytes
    };
    struct PendingProposal {
        std::uint64_t index = 0;
        std::uint64_t id = 0;
    };
    struct PendingRead {
        std::uint64_t id = 0;
        std::uint64_t index = 0;  ///< commit index when it was requested
        std::uint64_t round = 0;  ///< ready once a majority has acknowledged this round
    };

    // raft.cpp: events and what every event ends with
    void start();
    void on_event(const TimerFired& event);
    void on_event(const MessageReceived& event);
    void on_event(const WriteCompleted& event);
    void on_event(const SnapshotTaken& event);
    void finish_event();
    void report_changes();
    void set_timer();
    bool is_voter(NodeId id) const;
    void send(NodeId to, Message message);
    void send_after_writes(NodeId to, Message message);
    void reject(std::uint64_t id, Error error);
    void truncate_log(std::uint64_t from);
    double random_fraction();

    // election.cpp: who leads
    void on_message(NodeId from, const RequestVote& request);
    void on_message(NodeId from, const RequestVoteResponse& response);
    void on_message(NodeId from, const TimeoutNow& request);
    void start_pre_vote();
    void start_election(bool leadership_transfer);
    void begin_campaign(Role role);
    void request_votes(const RequestVote& request);
    void count_votes();
    void become_leader();
    void become_follower(std::uint64_t term, NodeId leader);
    void step_down();
    void reset_election_timer();
    bool has_current_leader() const;
    bool log_is_current(const RequestVote& request) const;
    bool counts_as_voter() const;
    bool may_campaign() const { return recovery_id_ == 0 && counts_as_voter(); }

    // follower.cpp: entries and snapshots from the leader
    void on_message(NodeId from, const AppendEntries& request);
    void on_message(NodeId from, const InstallSnapshot& request);
    void follow_leader(std::uint64_t term, NodeId leader);
    std::uint64_t conflict_index(std::uint64_t prev_log_index) const;
    bool store_entries(const AppendEntries& request);
    void install_snapshot();
    void advance_commit_index(std::uint64_t index);

    // leader.cpp: proposals, commitment, reads, leadership transfer, recovery of others
    void on_event(const Propose& event);
    void on_event(const ReadIndex& event);
    void on_event(const TransferLeadership& event);
    void run_leader();
    bool has_committed_in_term() const { return commit_index_ >= term_start_index_; }
    std::uint64_t append_entry(Entry::Kind kind, std::string data);
    void commit_replicated_entries();
    void serve_reads();
    void complete_recoveries();
    bool others_acknowledged(NodeId recovering, std::uint64_t round) const;
    void continue_transfer();
    TimePoint quorum_contact_time() const;
    template <class T, class GetValue>
    T quorum_value(T own, T none, GetValue&& value_of) const;

    // replication.cpp: the log and snapshots to others
    void on_message(NodeId from, const AppendEntriesResponse& response);
    void on_message(NodeId from, const InstallSnapshotResponse& response);
    Progress* record_response(NodeId from, std::uint64_t round, std::uint64_t recovery_id);
    bool record_recovery(Progress& peer, std::uint64_t round, std::uint64_t recovery_id);
    void send_heartbeats();
    void replicate_to(NodeId to, Progress& peer);
    void send_append(NodeId to, Progress& peer, bool with_entries);
    std::vector<Entry> take_batch(Progress& peer) const;
    void send_snapshot_chunk(NodeId to, Progress& peer);

    // membership.cpp: one change at a time
    void on_event(const ChangeMembership& event);
    std::optional<Error> apply_change(const ChangeMembership& event, Members& members) const;
    void track_members();
    void drop_removed_members();
    void promote_learner();
    bool has_caught_up(Progress& learner);

    Settings settings_;
    boost::random::taus88 random_;
    RaftLog log_;
    WriteQueue writes_;
    HardState hard_state_;  ///< the current term and vote, durable or not
    Role role_ = Role::Follower;
    NodeId leader_ = 0;               ///< of the current term; zero: unknown
    std::uint64_t recovery_id_ = 0;   ///< non-zero while the stored data is not trusted
    std::uint64_t commit_index_ = 0;  ///< also the paper's lastApplied: commands are applied at once
    bool started_ = false;            ///< the first event has been handled
    TimePoint now_{};                 ///< of the current event; never goes back
    Actions* actions_ = nullptr;      ///< of the current event; null between events

    // Elections
    TimePoint leader_contact_time_{};   ///< last message from a leader; valid while leader_ is another
    TimePoint election_deadline_{};     ///< a campaign starts then, unless this server leads
    std::set<NodeId> votes_;            ///< granted in the current campaign
    std::uint64_t own_vote_write_ = 0;  ///< the write that stores the candidate's vote for itself

    // Of a follower
    std::optional<IncomingSnapshot> incoming_snapshot_;  ///< whose chunks are arriving

    // Of a leader; stale while another server leads
    std::map<NodeId, Progress> peers_;    ///< all other members, and removed ones until that is committed
    std::uint64_t round_ = 0;             ///< of the last message that was sent
    std::uint64_t term_start_index_ = 0;  ///< of the NoOp entry that its term began with
    std::uint64_t heartbeat_round_ = 0;   ///< first round of the last heartbeats
    TimePoint next_heartbeat_{};
    TimePoint leader_since_{};
    std::deque<PendingProposal> proposals_;     ///< not committed, ascending by index
    std::deque<PendingRead> reads_;             ///< ascending by round
    std::deque<std::uint64_t> deferred_reads_;  ///< ids of reads before has_committed_in_term()
    NodeId transfer_target_ = 0;                ///< zero: no transfer in progress
    TimePoint transfer_deadline_{};             ///< the transfer is abandoned then
    bool timeout_now_sent_ = false;             ///< to the transfer target

    // What the caller was last notified of; nothing at the start
    std::optional<RoleChanged> reported_role_;
    std::optional<std::uint64_t> reported_membership_version_;
    std::optional<TimePoint> timer_;  ///< that is set and has not fired
};

}  // namespace ochrehub::raft
