// The state that all coordinators hold alike: the open sessions, the responses cached for retries, and the
// state machines. Changed by log entries alone, in their order; deterministic, and without a clock.
//
// Not responsible for replication (Replica) or for when a session expires (the leader's Replica). Not thread
// safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet/coordinator/error.h"
#include "fleet/coordinator/state_machine.h"

namespace ochrehub::coordinator {

namespace wire {
class Command;
class OpenSession;
class ReplicatedState;
class SessionRecord;
class TimeoutExpired;
}  // namespace wire

/// One of each kind, in the same order at every coordinator.
using StateMachines = std::vector<std::unique_ptr<StateMachine>>;
/// Makes all state machines, empty. One that a snapshot doesn't have, because its release was older, starts
/// with the sessions that are open.
using StateMachineFactory = std::function<StateMachines()>;

struct Limits {
    std::size_t max_sessions = 10'000;
    std::size_t max_name_bytes = 128;           ///< of a session's name, and of its zone
    std::size_t max_command_bytes = 768 << 10;  ///< of a command's body
    std::size_t max_cached_responses = 64;      ///< per session
};

/// What a client said of itself when it opened its session.
struct SessionInfo {
    SessionId id = 0;
    std::string name;
    std::string zone;
    std::uint64_t instance = 0;  ///< random id of the client's process
    std::uint64_t attempt = 0;   ///< which of the process's sessions this is
    std::uint32_t lease_ms = 0;
    std::uint32_t release = 0;
    std::uint32_t min_schema = 0;  ///< of the records that it reads
    std::uint32_t max_schema = 0;
    friend bool operator==(const SessionInfo&, const SessionInfo&) = default;
};

/// The outcome of a log entry.
struct Outcome {
    Error error = Error::None;
    SessionId session = 0;      ///< of OpenSession: the session that is open now
    std::string result{};       ///< of Command: the state machine's response
    bool is_fatal = false;      ///< with UnknownEntry: to continue would diverge from the other coordinators
    bool is_duplicate = false;  ///< the command had been applied before; this is its first response
};

class ReplicatedState {
public:
    ReplicatedState(const Limits& limits, StateMachineFactory make_state_machines);

    /// Applies a wire::LogEntry.
    Outcome apply(std::string_view entry);
    /// A wire::ReplicatedState.
    std::string snapshot() const;
    /// Replaces all state. False: this release can't read the snapshot; the object must not be used again.
    bool restore(std::string_view snapshot);

    /// Null: not open.
    const SessionInfo* session(SessionId id) const;
    /// In ascending order of ids.
    template <class Visitor>
    void for_each_session(Visitor&& visit) const {
        for (const auto& [id, session] : sessions_) visit(session.info);
    }
    std::size_t session_count() const { return sessions_.size(); }
    /// The response to a command that was applied before, where it is still cached.
    std::optional<Outcome> cached_outcome(SessionId session, std::uint64_t sequence) const;
    /// Null: no such kind.
    const StateMachine* state_machine(std::string_view kind) const;
    const StateMachines& state_machines() const { return state_machines_; }

private:
    struct CachedResponse {
        Error error = Error::None;
        std::string result;
    };
    struct Session {
        SessionInfo info;
        std::uint64_t last_sequence = 0;                           // of the last command that was applied
        std::map<std::uint64_t, CachedResponse> cached_responses;  // by sequence; not acknowledged yet
    };

    StateMachine* find(std::string_view kind) const;
    SessionId find_session(std::uint64_t instance, const std::string& name) const;
    Outcome apply_open(const wire::OpenSession& open);
    Outcome apply_timeout(const wire::TimeoutExpired& timeout);
    Outcome apply_command(const wire::Command& command);
    Outcome run_command(SessionId session, std::string_view kind, std::string_view body);
    void end_session(SessionId id);
    void restore_sessions(const wire::ReplicatedState& snapshot);
    bool restore_state_machines(const wire::ReplicatedState& snapshot);

    Limits limits_;
    StateMachineFactory make_state_machines_;
    StateMachines state_machines_;
    SessionId next_session_ = 1;  // ids below it have been used
    std::map<SessionId, Session> sessions_;
};

}  // namespace ochrehub::coordinator
