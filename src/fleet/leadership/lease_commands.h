// Encoders and decoders of what processes exchange with the state machine of leadership leases
// (lease_state_machine.h). This is the only place that maps these types to leadership.proto, together with
// the state machine's own decoder. Pure functions: no state, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/coordinator/state_machine.h"
#include "fleet/leadership/error.h"

namespace ochrehub::leadership {

using coordinator::Epoch;
using coordinator::SessionId;

inline constexpr std::uint32_t kMaxWeight = 100;

// Commands, encoded. `role` is the name of a standing role or of a job.

/// The sending session becomes a candidate, or changes its weight (1 to kMaxWeight).
std::string add_candidacy_command(std::string_view role, std::uint32_t weight = 1);
/// The sending session is no candidate any more. If it holds the lease it keeps it until ReleaseLease.
std::string withdraw_candidacy_command(std::string_view role);
/// Creates a job; the response holds its name, `kind/number`. Repeating the session's last non-zero `token`
/// creates none and returns the same name.
std::string create_job_command(std::string_view kind, std::uint64_t token);
/// The holder has stopped all work under `epoch`.
std::string release_lease_command(std::string_view role, Epoch epoch, bool keep_candidacy = false);
/// The job is done and must not run again; receivers have yet to be notified by its holder.
std::string complete_job_command(std::string_view job, Epoch epoch);
/// All receivers know that the job is completed. An operator (no session) may remove a job without a holder.
std::string remove_job_command(std::string_view job, Epoch epoch);
/// An operator's command: requests the holder to release the lease.
std::string transfer_lease_command(std::string_view role);

/// The response to a command.
struct CommandResponse {
    std::optional<Error> error;  ///< none: success
    std::string name;            ///< the role; for CreateJob the new job
    Epoch epoch = 0;             ///< the role's current one; zero if there is no such role
};
/// None: malformed.
std::optional<CommandResponse> decode_command_response(std::string_view bytes);

/// One lease that a session holds.
struct HeldLease {
    std::string role;
    Epoch epoch = 0;
    bool release_requested = false;  ///< the holder is to stop and send ReleaseLease
    bool job_completed = false;      ///< no more work on the job: only receivers have yet to be notified
    friend bool operator==(const HeldLease&, const HeldLease&) = default;
};

/// All that a session holds, as of one revision of the state machine.
struct SessionUpdate {
    std::uint64_t revision = 0;  ///< updates may arrive out of order: lower ones are out of date
    std::vector<HeldLease> leases;
};
/// None: malformed.
std::optional<SessionUpdate> decode_session_update(std::string_view bytes);

}  // namespace ochrehub::leadership
