// The core of one coordinator: gives client requests to Raft, applies committed entries to ReplicatedState,
// and, while it leads, expires sessions and timeouts. It receives events with their time and returns actions;
// it does no I/O, reads no clock, and is not thread safe.
//
// Lease renewals write nothing to the log. A renewal is answered after a Raft read index: the leader has then
// confirmed that it still led after the request arrived, so any later leader was elected after the client
// sent it, and counts the full lease from its election on. A session whose expiry is proposed is not renewed
// any more.
//
//   request --> propose or read index --> committed or confirmed --> response
//   deadline --> propose SessionExpired or TimeoutExpired --> committed --> deadline erased
//
// replica.cpp: events and Raft's actions; replica_requests.cpp: requests and responses;
// replica_deadlines.cpp: what the leader counts.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/coordinator/deadline_map.h"
#include "fleet/coordinator/replicated_state.h"
#include "fleet/raft/raft.h"

namespace ochrehub::coordinator {

namespace wire {
class ChangeMembership;
class Command;
class LogEntry;
class OpenSession;
class Request;
class Response;
}  // namespace wire

struct ReplicaSettings {
    raft::NodeId self = 0;
    Limits limits;
    Duration min_lease{500};  ///< of a session; a request outside of min_lease to max_lease is malformed
    Duration max_lease{60'000};
    std::uint64_t snapshot_entries = 20'000;  ///< log entries after which a snapshot is taken, ...
    std::size_t snapshot_bytes = 16 << 20;    ///< ... or bytes of them; at least the last snapshot's size
    std::size_t max_pending_requests = 4096;  ///< without a response; further ones are rejected as Busy
    Duration timeout_scan_interval{20};       ///< min. time between two scans of the state machines' timeouts
};

/// Hands an event to Raft and appends its actions. A test can put a faulty implementation here.
using RaftHandler = std::function<void(TimePoint, const raft::Event&, raft::Actions&)>;

// Events

struct TimerFired {};
struct RaftMessageReceived {
    raft::NodeId from = 0;
    raft::Message message;
};
/// All writes up to this number are durable.
struct WriteCompleted {
    std::uint64_t number = 0;
};
/// A request of a client or of an operator's command.
struct RequestReceived {
    std::uint64_t connection = 0;  ///< for the response
    std::string body;              ///< wire::Request
};
using ReplicaEvent = std::variant<TimerFired, RaftMessageReceived, WriteCompleted, RequestReceived>;

// Actions

struct SendResponse {
    std::uint64_t connection = 0;
    std::string body;  ///< wire::Response
};
/// This coordinator can't continue; it does nothing more.
struct Stop {
    Error error{};
    std::string about;  ///< what could not be applied
};
using ReplicaAction = std::variant<raft::SendMessage, raft::Write, raft::RoleChanged, raft::MembershipChanged,
                                   raft::SetTimer, SendResponse, Stop>;
using ReplicaActions = std::vector<ReplicaAction>;

class Replica {
public:
    /// The first event must be TimerFired. `disk`: what Raft was started from.
    Replica(const ReplicaSettings& settings, StateMachineFactory make_state_machines,
            RaftHandler raft_handler, const raft::PersistentState& disk);

    void handle(TimePoint now, const ReplicaEvent& event, ReplicaActions& actions);

    const ReplicatedState& state() const { return state_; }
    raft::Role role() const { return role_; }
    std::uint64_t applied() const { return applied_; }                    ///< index of the last applied entry
    std::uint64_t commands() const { return commands_; }                  ///< answered here as the leader
    std::uint64_t sessions_expired() const { return sessions_expired_; }  ///< expiries proposed here
    std::uint64_t snapshots() const { return snapshots_; }                ///< taken here

private:
    /// Where a response goes.
    struct Caller {
        std::uint64_t connection = 0;  // 0: the request is the leader's own and has no response
        std::uint64_t call = 0;        // the client's id of it
    };
    enum class RequestKind {
        Open,
        Command,
        Close,
        Renew,
        Query,
        ChangeMembership,
        ExpireSession,
        ExpireTimeout
    };
    struct TimeoutKey {
        std::size_t machine = 0;  // position in ReplicatedState::state_machines
        std::uint64_t key = 0;
        // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on a defaulted <=>
        friend auto operator<=>(const TimeoutKey&, const TimeoutKey&) = default;
    };
    /// Waits for its entry to be applied, or for its read index.
    struct PendingRequest {
        Caller caller;
        RequestKind kind{};
        SessionId session = 0;       // of Renew and ExpireSession
        std::string query_kind;      // of Query
        std::string query_body;      // of Query
        TimeoutKey timeout;          // of ExpireTimeout
        std::uint64_t revision = 0;  // of ExpireTimeout
    };

    // Events
    void handle_event(const TimerFired& event);
    void handle_event(const RaftMessageReceived& event);
    void handle_event(const WriteCompleted& event);
    void handle_event(const RequestReceived& event);

    // Raft's actions
    void run_raft();
    void handle_raft(raft::SendMessage& send);
    void handle_raft(raft::Write& write);
    void handle_raft(raft::ApplyEntry& entry);
    void handle_raft(raft::RestoreSnapshot& restore);
    void handle_raft(raft::ReadReady& ready);
    void handle_raft(raft::Rejected& rejected);
    void handle_raft(raft::RoleChanged& became);
    void handle_raft(raft::MembershipChanged& members);
    void handle_raft(raft::SetTimer& wake);
    void stop(Error error, std::string about);
    void take_snapshot_if_due();
    void set_timer();

    // Requests
    void handle_leader_request(const wire::Request& request, PendingRequest pending);
    void handle_open(const wire::OpenSession& open, PendingRequest pending);
    void handle_command(const wire::Command& command, PendingRequest pending);
    void change_membership(const wire::ChangeMembership& change, PendingRequest pending);
    void report_status(Caller caller);
    void confirm_membership_change(std::uint64_t id);
    void propose(const wire::LogEntry& entry, PendingRequest pending);
    void read(PendingRequest pending);
    std::optional<PendingRequest> take_pending(std::uint64_t id);
    void complete(const PendingRequest& pending, const Outcome& outcome);
    void complete_read(const PendingRequest& pending);
    void reject(Caller caller, Error error) { reject(caller, error, leader_); }
    void reject(Caller caller, Error error, raft::NodeId leader);
    void respond(Caller caller, wire::Response response);
    void add_session_state(SessionId id, wire::Response& response) const;

    // Deadlines; the leader's only
    void restart_deadlines();
    void clear_deadlines();
    void start_lease(SessionId id);
    void scan_timeouts();
    void expire_sessions();
    void expire_timeouts();
    bool is_leader() const { return role_ == raft::Role::Leader; }

    const ReplicaSettings settings_;
    const RaftHandler raft_handler_;
    ReplicatedState state_;
    bool stopped_ = false;

    // During `handle` only
    TimePoint now_{};
    ReplicaActions* actions_ = nullptr;

    // As Raft last reported them
    raft::Role role_ = raft::Role::Follower;
    std::uint64_t term_ = 0;
    raft::NodeId leader_ = 0;  // 0: not known
    raft::Members members_;
    bool trusted_ = true;  // false: the disk may lack votes or entries that it has acknowledged
    TimePoint raft_timer_ = TimePoint::max();

    std::uint64_t applied_ = 0;         // index of the last entry in state_
    std::uint64_t snapshot_index_ = 0;  // of the last snapshot
    std::size_t snapshot_size_ = 0;     // bytes of the last snapshot
    std::size_t bytes_since_snapshot_ = 0;

    std::deque<raft::Event> raft_events_;  // not given to Raft yet
    std::map<std::uint64_t, PendingRequest> pending_;
    std::uint64_t next_pending_id_ = 1;

    DeadlineMap<SessionId> session_deadlines_;
    DeadlineMap<TimeoutKey> timeout_deadlines_;
    bool timeout_scan_due_ = false;
    TimePoint next_timeout_scan_{};  // not before
    TimePoint timer_ = TimePoint::max();

    std::uint64_t commands_ = 0;
    std::uint64_t sessions_expired_ = 0;
    std::uint64_t snapshots_ = 0;
};

}  // namespace ochrehub::coordinator
