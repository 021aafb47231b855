// Agreement among a few keepers: Raft after Ongaro's thesis (2014), as one of them runs it: pre-vote (9.6),
// check quorum and leadership transfer (3.10, 6.2), read index (6.4), one member changed at a time (4.1),
// snapshots sent in pieces (5). A core without I/O: it is handed events with their time and returns what is
// to be sent, written and applied. It reads no clock and draws on its seed alone. What an entry means it does
// not know.
//
// Nothing is promised before it is on the disk: messages that depend on a write come out behind its Written.
// Whoever runs it carries out Write in order (they may be joined into one sync) and says Written with the
// last one's number.
#pragma once

#include <boost/random/taus88.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fleet/error/error.h"
#include "fleet/raft/entries.h"
#include "fleet/raft/message.h"
#include "ochrehub/balancer.h"

namespace ochrehub::raft {

struct Settings {
    NodeId self = 0;
    Duration heartbeat_interval{100};
    Duration election_timeout{1000};              ///< a follower's patience is drawn from this to twice this
    std::size_t max_append_bytes = 256 << 10;     ///< octets of entries in one message
    std::size_t snapshot_chunk_bytes = 64 << 10;  ///< octets of a snapshot in one message
    std::size_t max_inflight_appends =
        8;  ///< messages with entries to one follower that are not answered yet
    std::size_t max_pending_requests = 4096;  ///< proposals that are not committed yet; more are refused
    std::size_t retained_log_bytes =
        1 << 20;  ///< octets of entries that stay in memory behind a snapshot, for followers a little late
};

enum class Error {
    NotLeader,           ///< ask `hint`
    Busy,                ///< too many wait
    MembershipChanging,  ///< a change of members is under way
    LeadershipLost,      ///< leadership was lost with it under way: it may have been committed, or may yet
    UnknownMember,       ///< no such member, or it is one already
    LastVoter,           ///< the only voter: without it nobody could decide anything
};
const fleet::ErrorRow& row(Error error);

/// What was on the disk at the start. `trusted`: false where the store had lost something that was promised
/// (Found::Lost): this one neither votes nor counts until it has caught up with a leader's word.
struct PersistentState {
    HardState hard_state;
    std::optional<Snapshot> snapshot;
    std::uint64_t first_index = 1;  ///< index of entries[0]
    std::vector<Entry> entries;
    Members initial_members;  ///< at the very first start alone; later ones stand in snapshot and entries
    bool trusted = true;
};

// ---- What happens
struct TimerFired {};
struct MessageReceived {
    NodeId from = 0;
    Message message;
};
struct WriteCompleted {  ///< all Writes up to this number are on the disk
    std::uint64_t number = 0;
};
struct Propose {
    std::uint64_t id = 0;  ///< chosen by whoever asks; comes back in Applied or Rejected, once
    std::string data;
};
struct ReadIndex {  ///< answered by ReadReady once this one has certainly still been leader after now
    std::uint64_t id = 0;
};
struct ChangeMembership {  ///< one member more (a learner until it has caught up, then a voter), or one less
    std::uint64_t id = 0;
    NodeId member = 0;
    bool add = true;
    std::string address;
};
struct TransferLeadership {
    NodeId to = 0;
};
struct SnapshotTaken {  ///< whoever runs it has the state as of this index
    std::uint64_t index = 0;
    std::string state;
};
using Event = std::variant<TimerFired, MessageReceived, WriteCompleted, Propose, ReadIndex, ChangeMembership,
                           TransferLeadership, SnapshotTaken>;

// ---- What is to be done about it
struct SendMessage {
    NodeId to = 0;
    Message message;
};
/// In this order: vote, cut (entries from this index on are gone), append (at the log's end), snapshot.
struct Write {
    std::uint64_t number = 0;
    std::optional<HardState> hard_state;
    std::optional<std::uint64_t> truncate_from;
    std::vector<Entry> append;
    std::optional<Snapshot> snapshot;
    bool recovered = false;  ///< it has again what it may have promised: Log::caught_up
};
struct ApplyEntry {  ///< in order, each once; entries of the core's own (new terms, members) are skipped over
    std::uint64_t index = 0, term = 0;
    std::uint64_t id = 0;  ///< of the Propose, where it was made here; zero: elsewhere
    std::string data;
};
struct RestoreSnapshot {  ///< the state is this snapshot's from now on
    Snapshot snapshot;
};
struct ReadReady {  ///< once all up to `index` is applied, what is read is true
    std::uint64_t id = 0, index = 0;
};
struct Rejected {
    std::uint64_t id = 0;
    Error error{};
    NodeId hint = 0;  ///< who leads, as far as is known; zero: nobody
};
enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader, Learner };
struct RoleChanged {
    Role role{};
    std::uint64_t term = 0;
    NodeId leader = 0;
};
struct MembershipChanged {  ///< as of the last entry in the log
    Members members;
};
struct SetTimer {  ///< replaces what was asked for before
    TimePoint at;
};
using Action = std::variant<SendMessage, Write, ApplyEntry, RestoreSnapshot, ReadReady, Rejected, RoleChanged,
                            MembershipChanged, SetTimer>;
using Actions = std::vector<Action>;

/// One keeper's part. Not for two threads. Cost of an event: what it carries, and the number of members.
///
/// The first event is Woken; its actions bear the snapshot from the disk, if there is one, as Restore, and
/// what lies behind it is applied again once a leader says that it is agreed on. A Change has no answer but a
/// refusal: it is done when MembersAre shows it and `membership_index() <= commit_index()`. A proposal and a
/// read that were under way when leadership ends are Rejected as Lost. A disk that is not trusted is so until
/// a leader has heard every other voter since, not only a majority (see docs/design/raft.md); where that
/// cannot be, the member is taken out and a new number added.
class Raft {
public:
    /// `seed`: another at each start, or a doubt that was settled in an earlier life might be taken for this
    /// one's.
    Raft(const Settings& settings, const PersistentState& disk, std::uint64_t seed);

    /// `now` is of one monotonic clock and does not go back.
    void handle(TimePoint now, const Event& event, Actions& actions);

    Role role() const { return role_; }
    std::uint64_t term() const { return vote_.term; }
    NodeId leader() const { return leader_; }  ///< as far as is known; zero: nobody
    std::uint64_t commit_index() const { return committed_; }
    std::uint64_t durable_index() const { return durable_; }  ///< the last entry that is on the disk
    std::uint64_t first_index() const {
        return log_.base() + 1;
    }  ///< of the entries in memory; `last` may be below it
    std::uint64_t last_index() const { return log_.last(); }
    std::uint64_t term_at(std::uint64_t index) const { return log_.term(index).value_or(0); }
    const Entry& entry(std::uint64_t index) const {
        return log_.at(index);
    }                                                          ///< first_index() to last_index()
    const Members& members() const { return log_.members(); }  ///< as of the last entry
    std::uint64_t membership_index() const {
        return log_.membership_index();
    }  ///< in force; agreed on once committed
    bool storage_trusted() const { return doubt_ == 0; }
    std::size_t pending_proposals() const { return proposals_.size(); }  ///< proposals that are not committed
    NodeId transfer_target() const { return transfer_to_; }              ///< to whom; zero: it is not

private:
    struct Peer {  ///< what the leader knows of another
        std::uint64_t next = 1, match = 0;
        std::uint64_t answered = 0;  ///< the highest round that it has answered with a disk that counts
        std::uint64_t seen = 0;      ///< ... with any
        TimePoint heard{};
        std::deque<std::uint64_t> flying;          ///< rounds of messages with entries that are not answered
        bool probing = false;                      ///< where its log joins is being looked for
        std::uint64_t since = 0;                   ///< refusals of rounds before this one are old
        std::shared_ptr<const Snapshot> snapshot;  ///< being sent
        std::uint64_t offset = 0, pieces = 0;      ///< of it; pieces: the round of the last piece
        TimePoint sent_piece{};
        std::uint64_t doubt = 0, doubted_round = 0, doubted_index = 0, trusts_round = 0;
        std::uint64_t catch_up = 0;  ///< a learner's: the index that ends this round of it
        TimePoint caught_since{};
    };
    struct Held {  ///< until the write is done
        std::uint64_t write = 0;
        NodeId to = 0;
        Message message;
    };
    struct Issued {
        std::uint64_t number = 0, last = 0;
    };
    struct Asked {
        std::uint64_t id = 0, index = 0, round = 0;
    };

    void begin();
    void on(const TimerFired& event);
    void on(const MessageReceived& event);
    void on(const WriteCompleted& event);
    void on(const Propose& event);
    void on(const ReadIndex& event);
    void on(const ChangeMembership& event);
    void on(const TransferLeadership& event);
    void on(const SnapshotTaken& event);
    void finish();

    // Elections: election.cpp
    void take(NodeId from, const RequestVote& m);
    void take(NodeId from, const RequestVoteResponse& m);
    void take(NodeId from, const TimeoutNow& m);
    void campaign(bool pre, bool transfer);
    void count_votes();
    void lead();
    void follow(std::uint64_t term, NodeId leader);
    void leave_lead();
    void draw_patience();
    bool hears_leader() const;
    /// A voter; or one whose end as a voter is in its log and not agreed on: it may be the only one that can
    /// bring it about (thesis, 4.2.2).
    bool elects() const;
    bool may_campaign() const { return doubt_ == 0 && elects(); }

    // Followers: follower.cpp
    void take(NodeId from, const AppendEntries& m);
    void take(NodeId from, const InstallSnapshot& m);
    void obey(std::uint64_t term, NodeId leader);
    void commit(std::uint64_t index);

    // The leader: leader.cpp
    void take(NodeId from, const AppendEntriesResponse& m);
    void take(NodeId from, const InstallSnapshotResponse& m);
    Peer* answered(NodeId from, std::uint64_t round, std::uint64_t doubt);
    void beat();
    void pump(NodeId to, Peer& peer);
    void send_entries(NodeId to, Peer& peer, bool with_entries);
    void send_piece(NodeId to, Peer& peer);
    std::uint64_t append(Entry entry);
    void lead_on();
    void advance();
    void answer_reads();
    void promote();
    void settle_doubts();
    void hand_over();
    void meet_members();
    TimePoint majority_heard() const;
    /// The greatest value that a majority of voters has reached; what this one has is `own`.
    template <class T, class F>
    T reached(T own, T none, F&& of) const;

    bool voter(NodeId id) const;
    void send(NodeId to, Message message) { out_->emplace_back(SendMessage{to, std::move(message)}); }
    /// Once all that is being written is on the disk.
    void send_behind(NodeId to, Message message);
    void reject(std::uint64_t id, Error error) { out_->emplace_back(Rejected{id, error, leader_}); }
    bool writes() const {
        return write_.hard_state || write_.truncate_from || !write_.append.empty() || write_.snapshot ||
               write_.recovered;
    }
    std::uint64_t last_write() const { return issued_ + (writes() ? 1 : 0); }
    void cut(std::uint64_t from);
    double uniform() { return double(random_()) * 0x1p-32; }

    Settings set_;
    boost::random::taus88 random_;
    Entries log_;
    HardState vote_;  ///< its term is the current one
    Role role_ = Role::Follower;
    NodeId leader_ = 0;
    std::uint64_t doubt_ = 0;
    std::uint64_t committed_ = 0, durable_ = 0;
    bool begun_ = false;
    TimePoint now_{}, heard_{}, patience_{};  ///< patience_: its end
    std::set<NodeId> votes_;
    std::uint64_t own_vote_ = 0;  ///< the write that has it
    bool transferred_ = false;    ///< this candidacy was the leader's wish

    // Written or to be written
    Write write_;
    std::uint64_t issued_ = 0, written_ = 0;
    std::deque<Issued> writing_;
    std::deque<Held> held_;

    // A follower's
    std::optional<Snapshot> pieces_;
    std::uint64_t pieces_size_ = 0;

    // The leader's
    std::map<NodeId, Peer> peers_;
    std::uint64_t round_ = 0, began_ = 0;                            ///< began_: index of its own first entry
    std::uint64_t beat_round_ = 0;                                   ///< the first round of the last beat
    TimePoint beat_{}, led_since_{};                                 ///< beat_: the next
    std::deque<std::pair<std::uint64_t, std::uint64_t>> proposals_;  ///< index, id
    std::deque<Asked> reads_;
    std::deque<std::uint64_t> early_reads_;
    NodeId transfer_to_ = 0;
    TimePoint transfer_until_{};
    bool transfer_told_ = false;

    // What was last said
    Actions* out_ = nullptr;
    std::optional<RoleChanged> said_;
    std::optional<std::uint64_t> said_members_;
    std::optional<TimePoint> asked_;
};

}  // namespace ochrehub::raft
