// A client's session with the coordinators, without I/O: finds the leader, opens the session, renews it at a
// third of its lease, and sends commands in order under sequence numbers that stay the same in retries, so
// that each is applied exactly once. It receives events with their time and returns actions; it reads no
// clock and is not thread safe.
//
//   no session --open--> active --renew--> active
//   active --lease passed, NoSession, close--> no session: SessionLost, then CallCompleted for each command
//
// The lease counts from before the renewal was sent, on the client's own clock, and ends a margin early.
// Every event checks the clock first, so after a pause SessionLost is the first action. A caller acting under
// the session must compare `until` with the clock before each act; SessionLost is only the earlier notice.
//
// session.cpp: the session and its leader; session_calls.cpp: commands and queries.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "fleet/coordinator/error.h"
#include "fleet/coordinator/state_machine.h"
#include "ochrehub/balancer.h"

namespace ochrehub::coordinator {

namespace wire {
class Request;
class Response;
}  // namespace wire

struct SessionSettings {
    std::vector<std::string> coordinators;  ///< addresses of some; responses name the others
    std::string name;
    std::string zone;
    std::uint64_t instance = 0;  ///< random id of this process
    std::uint32_t release = 0;
    std::uint32_t min_schema = 0;  ///< of the records that this process reads
    std::uint32_t max_schema = 0;
    Duration lease{3000};
    Duration response_timeout{400};  ///< of an open or renewal, before another coordinator is tried
    Duration min_backoff{50};
    Duration max_backoff{300};
    Duration resend_interval{1000};          ///< of a command or query without a response
    Duration query_timeout{5000};            ///< after which a query completes with Unreachable
    std::size_t max_inflight_commands = 32;  ///< below Limits::max_cached_responses
    std::size_t max_pending_calls = 4096;    ///< commands and queries; further ones complete with Busy
    std::size_t max_command_bytes = 768 << 10;
    std::uint64_t seed = 1;
};

// Events

struct SessionTimerFired {};
struct ResponseReceived {
    std::string from;  ///< a coordinator's address
    std::string body;  ///< wire::Response
};
/// The connection to this address is lost, or could not be established.
struct Disconnected {
    std::string from;
};
/// A command for a state machine, under the session.
struct CommandRequested {
    std::uint64_t call = 0;  ///< the caller's id for it, returned in exactly one CallCompleted
    std::string kind;
    std::string body;
};
/// StateMachine::query at the leader; needs no session.
struct QueryRequested {
    std::uint64_t call = 0;  ///< as above
    std::string kind;
    std::string body;
};
/// Closes the session; no other is opened.
struct CloseRequested {};
using SessionEvent = std::variant<SessionTimerFired, ResponseReceived, Disconnected, CommandRequested,
                                  QueryRequested, CloseRequested>;

// Actions

/// Connects first where there is no connection.
struct SendRequest {
    std::string to;    ///< a coordinator's address
    std::string body;  ///< wire::Request
};
/// The session was opened or renewed: its client may act under it before `until`.
struct SessionRenewed {
    SessionId session = 0;
    TimePoint until;
};
/// Nothing may be done under the session any more.
struct SessionLost {
    SessionId session = 0;
};
/// StateMachine::session_update as of the last renewal. Follows SessionRenewed, one for each kind that has
/// any.
struct SessionUpdate {
    std::string kind;
    std::string bytes;
};
struct CallCompleted {
    std::uint64_t call = 0;
    Error error = Error::None;  ///< NoSession: not sent; PossiblyExecuted: sent, and the session was lost
    std::string result;
};
/// Replaces the previous timer.
struct SetSessionTimer {
    TimePoint at;
};
using SessionAction =
    std::variant<SendRequest, SessionRenewed, SessionLost, SessionUpdate, CallCompleted, SetSessionTimer>;
using SessionActions = std::vector<SessionAction>;

class Session {
public:
    /// The first event must be SessionTimerFired.
    explicit Session(const SessionSettings& settings);

    void handle(TimePoint now, const SessionEvent& event, SessionActions& actions);

    SessionId id() const { return session_; }
    TimePoint until() const { return until_; }             ///< valid while there is a session
    const std::string& leader() const { return target_; }  ///< as far as is known
    std::uint64_t renewals() const { return renewals_; }
    std::uint64_t sessions_lost() const { return sessions_lost_; }

private:
    enum class LeaveReason { NotLeader, NoResponse };
    /// A command or a query without a response.
    struct PendingCall {
        std::uint64_t caller_id = 0;  // the caller's id for it
        std::uint64_t wire_id = 0;    // in requests, the same in retries
        std::uint64_t sequence = 0;   // of a command
        std::string kind;
        std::string body;
        TimePoint deadline{};   // of a query
        TimePoint sent_at{};    // valid once `was_sent`
        bool is_sent = false;   // and nothing says that it must be sent again
        bool was_sent = false;  // at least once
    };
    /// The request that opens or renews the session; at most one at a time.
    struct LeaseRequest {
        std::uint64_t wire_id = 0;
        TimePoint sent_at{};
        bool is_pending = false;
        bool opens = false;  // else it renews
    };

    // Events
    void handle_event(const SessionTimerFired&) {}
    void handle_event(const ResponseReceived& event);
    void handle_event(const Disconnected& event);
    void handle_event(const CommandRequested& event);
    void handle_event(const QueryRequested& event);
    void handle_event(const CloseRequested& event);

    // The session and its leader
    void run_due_work();
    void send_lease_request();
    void handle_lease_response(const std::string& from, const wire::Response& response);
    void accept_lease(const std::string& from, const wire::Response& response, TimePoint until);
    void lose_session();
    void leave_target(LeaveReason reason, const std::string& leader_hint);
    bool is_usable(const std::string& leader_hint) const;
    void try_next_target();
    void update_coordinators(const wire::Response& response);
    void send(const wire::Request& request);
    void complete(std::uint64_t call, Error error, std::string result = {});
    Duration next_backoff();
    double uniform() { return double(random_() >> 11) * 0x1p-53; }

    // Commands and queries
    std::size_t pending_calls() const { return commands_.size() + queries_.size(); }
    void handle_command_response(const std::string& from, const wire::Response& response);
    void handle_query_response(const std::string& from, const wire::Response& response);
    void handle_rejection(const std::string& from, const wire::Response& response);
    void expire_queries();
    void send_pending_calls();
    void send_commands();
    void send_queries();

    // Timer
    void set_timer();
    TimePoint resend_at(const PendingCall& call) const;
    TimePoint next_call_deadline() const;

    const SessionSettings settings_;
    std::mt19937_64 random_;

    // During `handle` only
    TimePoint now_{};
    SessionActions* actions_ = nullptr;

    TimePoint timer_ = TimePoint::max();
    std::vector<std::string> coordinators_;  // all known addresses
    std::string target_;                     // the coordinator that requests go to
    bool target_leads_ = false;              // by its last response
    int hints_followed_ = 0;                 // since the last pause
    int failures_ = 0;                       // since the last success, for the backoff
    std::string unresponsive_;               // the last target that did not respond
    TimePoint unresponsive_since_{};

    SessionId session_ = 0;  // 0: none
    TimePoint until_{};      // end of the lease; valid while there is a session
    bool is_closed_ = false;
    LeaseRequest lease_request_;
    TimePoint next_lease_request_at_{};
    std::uint64_t attempt_ = 1;  // of opening a session

    std::deque<PendingCall> commands_;  // in order of sequence numbers
    std::deque<PendingCall> queries_;
    TimePoint resend_not_before_{};  // backoff of commands and queries
    std::uint64_t next_wire_id_ = 1;
    std::uint64_t next_sequence_ = 1;  // starts again with each session

    std::uint64_t renewals_ = 0;
    std::uint64_t sessions_lost_ = 0;
};

}  // namespace ochrehub::coordinator
