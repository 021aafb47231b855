// The lease holder's side of leadership: which roles this process may act on, and under which epoch, derived
// from its session with the coordinators and its own clock. A core without I/O: the shell passes in the
// session's events and carries out the actions. It does not decide who holds a lease (lease_state_machine.h),
// nor can it keep a late effect from arriving: whatever is sent bears the epoch, and the receiver's fence
// rejects old ones.
//
// Clock: the process's monotonic clock, as passed to each call. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/leadership/lease_commands.h"

namespace ochrehub::leadership {

struct LeaseHolderSettings {
    /// Work stops this long before the session ends: a hundredth of the session's length, and 50 ms. Zero if
    /// the shell has already subtracted it from SessionRenewed::valid_until.
    Duration safety_margin{80};
    /// A command without a response is sent again after this time. Zero: the shell retries by itself.
    Duration retry_interval{500};
};

/// Why work on a role has to stop.
enum class RevocationReason {
    LeaseExpiring,     ///< the session ends within the safety margin, by this process's clock
    SessionLost,       ///< the session has ended
    ReleaseRequested,  ///< another process is to hold the lease (SessionUpdate), or ReleaseLease was handled
    Withdrawn,         ///< this process is no candidate any more
    Revoked,           ///< the lease is another's by now, or the job was removed
};
std::string_view name(RevocationReason reason);

// Events

/// A session was opened or renewed.
struct SessionRenewed {
    SessionId session = 0;
    TimePoint valid_until{};  ///< counted from before the renewal was sent
};
struct SessionLost {};
/// A SessionUpdate of the state machine. It may be late, duplicated, or out of order.
struct SessionUpdateReceived {
    SessionId session = 0;
    std::string update;  ///< encoded
};
/// The response to a SendCommand.
struct CommandCompleted {
    std::uint64_t request_id = 0;  ///< SendCommand::request_id
    std::string response;          ///< encoded CommandResponse
};
/// This process is to become a candidate, or to change its weight.
struct AddCandidacy {
    std::string role;
    std::uint32_t weight = 1;  ///< 1 to kMaxWeight
};
/// This process is to be no candidate any more.
struct WithdrawCandidacy {
    std::string role;
};
/// After StopWork: nothing started under this epoch is running, or will be sent again.
struct WorkStopped {
    std::string role;
    Epoch epoch = 0;
};
/// All work on the job is done and at rest; it must never run again.
struct JobCompleted {
    std::string role;
    Epoch epoch = 0;
};
/// After RetireJob: every receiver of this job has acknowledged.
struct JobRetired {
    std::string role;
    Epoch epoch = 0;
};
/// This process cannot do the work here and now. It stays a candidate: another candidate comes first, without
/// one the lease returns.
struct ReleaseLease {
    std::string role;
    Epoch epoch = 0;
};
/// The process is shutting down: all work is to stop and all leases are to be released.
struct Leave {};
/// The time of the last SetTimer was reached.
struct TimerFired {};
using LeaseHolderEvent =
    std::variant<SessionRenewed, SessionLost, SessionUpdateReceived, CommandCompleted, AddCandidacy,
                 WithdrawCandidacy, WorkStopped, JobCompleted, JobRetired, ReleaseLease, Leave, TimerFired>;

// Actions

/// The lease is held: work may start, each effect under this epoch.
struct StartWork {
    std::string role;
    Epoch epoch = 0;
};
/// Follows a StartWork or RetireJob at most once, and is answered by WorkStopped.
struct StopWork {
    std::string role;
    Epoch epoch = 0;
    RevocationReason reason{};
};
/// Send to the state machine, under this session.
struct SendCommand {
    std::uint64_t request_id = 0;  ///< the same when it is sent again
    SessionId session = 0;
    std::string command;  ///< encoded
};
/// The state machine did not accept the candidacy.
struct CandidacyRejected {
    std::string role;
    Error error{};
};
/// The job's completion is recorded: send `retire` under this epoch to every receiver, then JobRetired.
struct RetireJob {
    std::string role;
    Epoch epoch = 0;
};
/// After Leave: no lease is held any more, and the state machine has recorded that.
struct LeaveCompleted {};
/// Replaces the previous timer.
struct SetTimer {
    TimePoint at{};
};
using LeaseHolderAction =
    std::variant<StartWork, StopWork, SendCommand, CandidacyRejected, RetireJob, LeaveCompleted, SetTimer>;
using LeaseHolderActions = std::vector<LeaseHolderAction>;

/// Each role that this process holds passes through these states:
///
///     none --SessionUpdate: held--> working (StartWork) --JobCompleted, recorded--> retiring (RetireJob)
///     working, retiring --StopWork--> stopping --WorkStopped--> none
///     retiring --JobRetired--> none
///
/// - Work stops a safety margin before the session ends, by this process's clock, whatever else happens.
/// - Every call checks the clock first: after a pause of the process the first action is StopWork.
/// - A lease is released only at rest: ReleaseLease is sent after WorkStopped.
class LeaseHolder {
public:
    explicit LeaseHolder(const LeaseHolderSettings& settings = {}) : settings_(settings) {}

    void handle(TimePoint now, const LeaseHolderEvent& event, LeaseHolderActions& actions);

    /// The epoch that an effect must bear; none: no effect may be sent now. To be called before each effect
    /// with the clock of that moment.
    std::optional<Epoch> current_epoch(TimePoint now, std::string_view role) const;
    SessionId session() const { return session_; }  ///< zero: none
    /// The number of roles that are being worked on or retired.
    std::size_t active_leases() const;

private:
    struct Lease {
        Epoch epoch = 0;
        bool stopping = false;              ///< StopWork was returned, WorkStopped has yet to come
        bool release_when_stopped = false;  ///< ReleaseLease is sent at WorkStopped
        bool job_completed = false;         ///< a job: no more work on it
    };
    struct Candidacy {
        std::uint32_t weight = 1;
        bool sent = false;  ///< under the current session
    };
    struct PendingCommand {
        enum class Kind { AddCandidacy, WithdrawCandidacy, ReleaseLease, CompleteJob, RemoveJob };
        std::string command;  ///< encoded
        std::string role;
        Kind kind{};
        Epoch epoch = 0;  ///< zero for candidacies
        TimePoint retry_at{};
    };
    using Leases = std::map<std::string, Lease, std::less<>>;

    void on(TimePoint now, const SessionRenewed& event, LeaseHolderActions& actions);
    void on(TimePoint now, const SessionLost& event, LeaseHolderActions& actions);
    void on(TimePoint now, const SessionUpdateReceived& event, LeaseHolderActions& actions);
    void on(TimePoint now, const CommandCompleted& event, LeaseHolderActions& actions);
    void on(TimePoint now, const AddCandidacy& event, LeaseHolderActions& actions);
    void on(TimePoint now, const WithdrawCandidacy& event, LeaseHolderActions& actions);
    void on(TimePoint now, const WorkStopped& event, LeaseHolderActions& actions);
    void on(TimePoint now, const JobCompleted& event, LeaseHolderActions& actions);
    void on(TimePoint now, const JobRetired& event, LeaseHolderActions& actions);
    void on(TimePoint now, const ReleaseLease& event, LeaseHolderActions& actions);
    void on(TimePoint now, const Leave& event, LeaseHolderActions& actions);
    void on(TimePoint now, const TimerFired& event, LeaseHolderActions& actions);

    void stop_if_expiring(TimePoint now, LeaseHolderActions& actions);
    void stop_revoked(const SessionUpdate& update, LeaseHolderActions& actions);
    void apply_held_lease(TimePoint now, const HeldLease& held, LeaseHolderActions& actions);
    void start(const HeldLease& held, LeaseHolderActions& actions);
    void stop(Leases::iterator it, RevocationReason reason, LeaseHolderActions& actions);
    void release(TimePoint now, const std::string& role, Epoch epoch, LeaseHolderActions& actions);
    void withdraw(TimePoint now, std::string_view role, LeaseHolderActions& actions);
    void send(TimePoint now, PendingCommand command, LeaseHolderActions& actions);
    void send_candidacies(TimePoint now, LeaseHolderActions& actions);
    void on_completion_recorded(TimePoint now, const PendingCommand& command, LeaseHolderActions& actions);
    void on_candidacy_rejected(const std::string& role, Error error, LeaseHolderActions& actions);
    void complete_leave_if_done(LeaseHolderActions& actions);
    void set_timer(TimePoint now, LeaseHolderActions& actions) const;
    Leases::iterator find(std::string_view role, Epoch epoch);
    bool session_is_valid(TimePoint now) const {
        return session_ != 0 && now < valid_until_ - settings_.safety_margin;
    }

    LeaseHolderSettings settings_;
    SessionId session_ = 0;            ///< the current one; zero: none
    SessionId last_lost_session_ = 0;  ///< events of this one and of older ones are out of date
    TimePoint valid_until_{};          ///< when `session_` ends; meaningless without one
    std::uint64_t revision_ = 0;       ///< of the newest update under `session_`
    std::uint64_t last_request_id_ = 0;
    bool leaving_ = false;
    bool leave_completed_ = false;
    std::map<std::string, Candidacy, std::less<>> candidacies_;  ///< by role; kept over sessions
    Leases leases_;                                              ///< by role, until they are at rest
    std::map<std::uint64_t, PendingCommand> pending_commands_;   ///< by request id, under `session_`
    /// By role, under `session_`: the epoch that was released last. Updates that still show it are late.
    std::map<std::string, Epoch, std::less<>> released_;
};

}  // namespace ochrehub::leadership
