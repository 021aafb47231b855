// The replicated state machine of leadership leases: each role is held by at most one session at a time,
// under an epoch. It decides who holds what; it does not enforce it: holders stop by their own clock
// (lease_holder.h), and receivers reject older epochs (fencing::FencingGuard).
//
// Like every coordinator::StateMachine it is deterministic and has no clock: sessions end by the leader's
// count. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/coordinator/state_machine.h"
#include "fleet/leadership/lease_commands.h"

namespace ochrehub::leadership::wire {
class Command;
}

namespace ochrehub::leadership {

inline constexpr std::uint32_t kSchema = 1;  ///< of commands and snapshots

/// Part of the replicated rules: the same at every coordinator.
struct Limits {
    std::size_t max_roles = 10'000;
    std::size_t max_candidates_per_role = 1'000;
    std::size_t max_candidates = 200'000;  ///< over all roles
    std::size_t max_name_bytes = 64;       ///< fencing::FencingGuard has the same limit
};

/// A role passes through these states:
///
///     absent --AddCandidacy, CreateJob--> without holder --a candidate is there--> held
///     held --TransferLease, WithdrawCandidacy, rebalancing--> release requested
///     held, release requested --ReleaseLease, end of the holder's session-->
///         held by the next, or without holder
///
/// A standing role is there while it has candidates. A job is created once under a name that is never reused,
/// and goes on to completed (CompleteJob) and removed (RemoveJob).
///
/// All epochs come from one counter that never goes back. So a role that was dropped and added again is
/// granted under a higher epoch than ever before, and a receiver may forget single roles below a bound
/// (fencing::FencingGuard::retire).
class LeaseStateMachine : public coordinator::StateMachine {
public:
    explicit LeaseStateMachine(const Limits& limits = {}) : limits_(limits) {}

    /// The kind is part of the stored format.
    std::string_view kind() const override { return "duty"; }
    std::uint32_t schema() const override { return kSchema; }
    std::string apply(const coordinator::Command& command) override;
    void session_opened(SessionId session, std::string_view name, std::string_view zone) override;
    void session_ended(SessionId session) override;
    /// An encoded SessionUpdate. Never empty: that a session holds nothing is information too.
    std::string session_update(SessionId session) const override;
    void timeouts(std::vector<coordinator::Timeout>&) const override {}
    std::string on_timeout(std::uint64_t, std::uint64_t) const override { return {}; }
    std::string snapshot() const override;
    bool restore(std::uint32_t schema, std::string_view bytes) override;

    struct Role {
        Epoch epoch = 0;       ///< of the last grant; zero: never granted
        SessionId holder = 0;  ///< zero: none
        bool release_requested = false;
        bool job_completed = false;
        std::map<SessionId, std::uint32_t> candidates;  ///< with their weights
        friend bool operator==(const Role&, const Role&) = default;
    };
    const std::map<std::string, Role, std::less<>>& roles() const { return roles_; }
    Epoch last_epoch() const { return last_epoch_; }  ///< the highest that was granted
    std::uint64_t revision() const { return revision_; }

private:
    using Roles = std::map<std::string, Role, std::less<>>;
    struct Session {
        std::set<std::string, std::less<>> held_roles;
        std::size_t requested_releases = 0;  ///< held roles with `release_requested`
        std::uint64_t last_token = 0;        ///< of its last CreateJob; zero: none
        std::string last_created_job;        ///< valid where last_token is not zero
    };

    // Commands (lease_state_machine.cpp).
    CommandResponse execute(const coordinator::Command& command);
    CommandResponse execute_on_role(SessionId session, const wire::Command& in, Roles::iterator it);
    CommandResponse add_candidacy(SessionId session, std::string_view name, std::uint32_t weight);
    CommandResponse create_job(SessionId session, std::string_view kind, std::uint64_t token);
    void withdraw_candidacy(SessionId session, Roles::iterator it);
    void release_lease(SessionId session, Roles::iterator it, bool keep_candidacy);
    std::optional<Error> complete_job(Roles::iterator it);
    std::optional<Error> remove_job(SessionId session, Roles::iterator it);
    void after_release(SessionId session);
    Roles::iterator drop_if_unused(Roles::iterator it);
    bool is_valid_name(std::string_view name, bool allow_slash) const;

    // Who holds a role, and when it moves (lease_placement.cpp).
    void grant(std::string_view name, Role& role);
    void clear_holder(std::string_view name, Role& role);
    void request_release(Role& role);
    bool improves_balance(const Role& role, SessionId other, std::uint32_t weight) const;
    void rebalance_all();
    void request_one_release_for(SessionId receiver);
    void request_one_release_from(SessionId holder);

    Limits limits_;
    std::uint64_t revision_ = 0;       ///< raised by each command that changes what sessions are sent
    std::uint64_t jobs_created_ = 0;   ///< the number of the last job
    Epoch last_epoch_ = 0;             ///< of all roles
    std::size_t candidate_count_ = 0;  ///< the sum of all roles' candidates
    std::map<SessionId, Session> sessions_;
    Roles roles_;
};

/// The name of a job contains a slash, that of a standing role never does.
inline bool is_job_name(std::string_view name) {
    return name.find('/') != std::string_view::npos;
}

}  // namespace ochrehub::leadership
