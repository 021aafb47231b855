#include "fleet/leadership/lease_commands.h"

#include <leadership.pb.h>

#include "fleet/leadership/parse.h"

namespace ochrehub::leadership {

std::string add_candidacy_command(std::string_view role, std::uint32_t weight) {
    wire::Command command;
    command.mutable_add_candidacy()->set_name(std::string(role));
    command.mutable_add_candidacy()->set_weight(weight);
    return command.SerializeAsString();
}

std::string withdraw_candidacy_command(std::string_view role) {
    wire::Command command;
    command.mutable_withdraw_candidacy()->set_name(std::string(role));
    return command.SerializeAsString();
}

std::string create_job_command(std::string_view kind, std::uint64_t token) {
    wire::Command command;
    command.mutable_create_job()->set_kind(std::string(kind));
    command.mutable_create_job()->set_token(token);
    return command.SerializeAsString();
}

std::string release_lease_command(std::string_view role, Epoch epoch, bool keep_candidacy) {
    wire::Command command;
    wire::ReleaseLease& release = *command.mutable_release_lease();
    release.set_name(std::string(role));
    release.set_epoch(epoch);
    release.set_keep_candidacy(keep_candidacy);
    return command.SerializeAsString();
}

std::string complete_job_command(std::string_view job, Epoch epoch) {
    wire::Command command;
    command.mutable_complete_job()->set_name(std::string(job));
    command.mutable_complete_job()->set_epoch(epoch);
    return command.SerializeAsString();
}

std::string remove_job_command(std::string_view job, Epoch epoch) {
    wire::Command command;
    command.mutable_remove_job()->set_name(std::string(job));
    command.mutable_remove_job()->set_epoch(epoch);
    return command.SerializeAsString();
}

std::string transfer_lease_command(std::string_view role) {
    wire::Command command;
    command.mutable_transfer_lease()->set_name(std::string(role));
    return command.SerializeAsString();
}

std::optional<CommandResponse> decode_command_response(std::string_view bytes) {
    wire::Response in;
    if (!parse(in, bytes) || in.error() > kErrors) return std::nullopt;
    CommandResponse response{std::nullopt, in.name(), in.epoch()};
    if (in.error() > 0) response.error = Error(in.error() - 1);
    return response;
}

std::optional<SessionUpdate> decode_session_update(std::string_view bytes) {
    wire::SessionUpdate in;
    if (!parse(in, bytes)) return std::nullopt;
    SessionUpdate update{in.revision(), {}};
    for (const wire::HeldLease& lease : in.leases()) {
        if (lease.epoch() == 0 || lease.name().empty()) return std::nullopt;
        update.leases.push_back(
            {lease.name(), lease.epoch(), lease.release_requested(), lease.job_completed()});
    }
    return update;
}

}  // namespace ochrehub::leadership
