// Interface of a replicated state machine: what the coordinators apply their committed log entries to, one
// state machine per kind of agreement (leadership, shards, quotas, documents, schema versions).
//
// A state machine is deterministic and has no clock: the same commands in the same order produce the same
// state and the same responses at every coordinator, and in every release that reads its schema. It is called
// from one thread, and knows neither Raft nor the clients' connections.
//
// Time is the leader's. The leader counts the timeouts that a state machine reports, on its own monotonic
// clock, from when it became leader or first saw the timeout; when one expires it proposes the command that
// `on_timeout` returns.
//
// A client holds whatever it holds through its session: one lease, renewed by one request for all state
// machines. The client counts the lease from before it sent the renewal and stops a margin early; the leader
// counts it from after the renewal. A new leader gives every session and every timeout its full length again.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub::coordinator {

/// Increases over all sessions and restarts, and is never reused. 0: no session.
using SessionId = std::uint64_t;
/// Fencing number of a leadership grant; a receiver rejects all below the highest that it has seen.
using Epoch = std::uint64_t;

/// A committed command, as a state machine sees it.
struct Command {
    SessionId session = 0;  ///< of the client; 0: an operator's command, or an expired timeout
    std::string_view body;  ///< the state machine's own protobuf message; valid during the call
};

/// A timeout for the leader to count. The count of a (key, revision) goes on while it is reported; a new
/// revision restarts it.
struct Timeout {
    std::uint64_t key = 0;
    std::uint64_t revision = 0;
    Duration length{};
};

class StateMachine {
public:
    virtual ~StateMachine() = default;

    /// Its name in commands, snapshots and status reports.
    virtual std::string_view kind() const = 0;
    /// Version of its commands and snapshots.
    virtual std::uint32_t schema() const = 0;

    /// Applies one committed command and returns the response. An invalid command gets a response that says
    /// so; it never throws.
    virtual std::string apply(const Command& command) = 0;
    /// A linearizable read, at the leader. Changes nothing.
    virtual std::string query(std::string_view /*request*/) const { return {}; }

    virtual void session_opened(SessionId session, std::string_view name, std::string_view zone) = 0;
    /// The session was closed or has expired: its client holds nothing any more.
    virtual void session_ended(SessionId session) = 0;
    /// What the client of this session must know now; sent with each response to a renewal. Empty: nothing.
    virtual std::string session_update(SessionId session) const = 0;

    /// Appends the timeouts that the leader is to count now.
    virtual void timeouts(std::vector<Timeout>& timeouts) const = 0;
    /// The command to propose when a timeout has expired. Must have no effect if the revision has changed by
    /// the time it is applied.
    virtual std::string on_timeout(std::uint64_t key, std::uint64_t revision) const = 0;

    virtual std::string snapshot() const = 0;
    /// Replaces the state. False, without any change: the schema is unknown or the bytes are malformed.
    virtual bool restore(std::uint32_t schema, std::string_view bytes) = 0;
};

}  // namespace ochrehub::coordinator
