#include "fleet/leadership/lease_holder.h"

#include <algorithm>
#include <array>
#include <utility>

namespace ochrehub::leadership {

std::string_view name(RevocationReason reason) {
    constexpr std::array<std::string_view, 5> kNames{"lease expiring", "session lost", "release requested",
                                                     "withdrawn", "revoked"};
    return kNames[std::size_t(reason)];
}

void LeaseHolder::handle(TimePoint now, const LeaseHolderEvent& event, LeaseHolderActions& actions) {
    stop_if_expiring(now, actions);
    std::visit([&](const auto& alternative) { on(now, alternative, actions); }, event);
    complete_leave_if_done(actions);
    set_timer(now, actions);
}

std::optional<Epoch> LeaseHolder::current_epoch(TimePoint now, std::string_view role) const {
    auto it = leases_.find(role);
    if (!session_is_valid(now) || it == leases_.end()) return std::nullopt;
    if (it->second.stopping || it->second.job_completed) return std::nullopt;
    return it->second.epoch;
}

std::size_t LeaseHolder::active_leases() const {
    auto is_active = [](const auto& lease) { return !lease.second.stopping; };
    return std::size_t(std::count_if(leases_.begin(), leases_.end(), is_active));
}

void LeaseHolder::stop_if_expiring(TimePoint now, LeaseHolderActions& actions) {
    if (session_ == 0 || session_is_valid(now)) return;
    for (auto it = leases_.begin(); it != leases_.end(); ++it)
        stop(it, RevocationReason::LeaseExpiring, actions);
}

void LeaseHolder::on(TimePoint now, const SessionRenewed& event, LeaseHolderActions& actions) {
    if (event.session <= last_lost_session_ || event.session < session_) return;
    if (event.session > session_) {
        on(now, SessionLost{}, actions);
        session_ = event.session;
        valid_until_ = event.valid_until;
        revision_ = 0;
        released_.clear();
        for (auto& [role, candidacy] : candidacies_) candidacy.sent = false;
    }
    valid_until_ = std::max(valid_until_, event.valid_until);
    send_candidacies(now, actions);
}

void LeaseHolder::on(TimePoint /*now*/, const SessionLost& /*event*/, LeaseHolderActions& actions) {
    for (auto it = leases_.begin(); it != leases_.end(); ++it) {
        stop(it, RevocationReason::SessionLost, actions);
        it->second.release_when_stopped = false;  // the end of the session has released it
    }
    last_lost_session_ = std::max(last_lost_session_, session_);
    session_ = 0;
    pending_commands_.clear();
}

void LeaseHolder::on(TimePoint now, const SessionUpdateReceived& event, LeaseHolderActions& actions) {
    if (event.session != session_ || !session_is_valid(now)) return;
    std::optional<SessionUpdate> update = decode_session_update(event.update);
    if (!update || update->revision < revision_) return;
    revision_ = update->revision;
    stop_revoked(*update, actions);
    for (const HeldLease& held : update->leases) apply_held_lease(now, held, actions);
}

void LeaseHolder::stop_revoked(const SessionUpdate& update, LeaseHolderActions& actions) {
    for (auto it = leases_.begin(); it != leases_.end(); ++it) {
        const bool is_held = std::any_of(
            update.leases.begin(), update.leases.end(),
            [&](const HeldLease& held) { return held.role == it->first && held.epoch == it->second.epoch; });
        if (!is_held) stop(it, RevocationReason::Revoked, actions);
    }
}

void LeaseHolder::apply_held_lease(TimePoint now, const HeldLease& held, LeaseHolderActions& actions) {
    auto released = released_.find(held.role);
    if (released != released_.end() && released->second >= held.epoch) return;
    auto it = leases_.find(held.role);
    if (it != leases_.end()) {
        if (it->second.epoch != held.epoch || !held.release_requested) return;
        it->second.release_when_stopped = true;
        stop(it, RevocationReason::ReleaseRequested, actions);
    } else if (candidacies_.contains(held.role) && !held.release_requested) {
        start(held, actions);
    } else {
        release(now, held.role, held.epoch, actions);  // nothing of it is running here
    }
}

void LeaseHolder::start(const HeldLease& held, LeaseHolderActions& actions) {
    Lease& lease = leases_[held.role];
    lease.epoch = held.epoch;
    lease.job_completed = held.job_completed;
    if (held.job_completed)
        actions.push_back(RetireJob{held.role, held.epoch});
    else
        actions.push_back(StartWork{held.role, held.epoch});
}

void LeaseHolder::stop(Leases::iterator it, RevocationReason reason, LeaseHolderActions& actions) {
    if (std::exchange(it->second.stopping, true)) return;
    actions.push_back(StopWork{it->first, it->second.epoch, reason});
}

void LeaseHolder::release(TimePoint now, const std::string& role, Epoch epoch, LeaseHolderActions& actions) {
    released_[role] = epoch;
    const bool keep_candidacy = candidacies_.contains(role);
    send(now,
         {.command = release_lease_command(role, epoch, keep_candidacy),
          .role = role,
          .kind = PendingCommand::Kind::ReleaseLease,
          .epoch = epoch},
         actions);
}

void LeaseHolder::on(TimePoint now, const WorkStopped& event, LeaseHolderActions& actions) {
    auto it = find(event.role, event.epoch);
    if (it == leases_.end() || !it->second.stopping) return;
    const bool release_when_stopped = it->second.release_when_stopped;
    leases_.erase(it);
    if (session_ == 0) return;
    // Without a request to release it, a candidate keeps the lease and starts again with the next update.
    if (!release_when_stopped && candidacies_.contains(event.role)) return;
    release(now, event.role, event.epoch, actions);
}

void LeaseHolder::on(TimePoint now, const JobCompleted& event, LeaseHolderActions& actions) {
    auto it = find(event.role, event.epoch);
    if (it == leases_.end() || it->second.stopping || session_ == 0) return;
    // From here on `current_epoch` returns none, and a late update does not start the work again.
    if (std::exchange(it->second.job_completed, true)) return;
    send(now,
         {.command = complete_job_command(event.role, event.epoch),
          .role = event.role,
          .kind = PendingCommand::Kind::CompleteJob,
          .epoch = event.epoch},
         actions);
}

void LeaseHolder::on(TimePoint now, const JobRetired& event, LeaseHolderActions& actions) {
    auto it = find(event.role, event.epoch);
    if (it == leases_.end() || it->second.stopping || !it->second.job_completed || session_ == 0) return;
    leases_.erase(it);
    released_[event.role] = event.epoch;
    send(now,
         {.command = remove_job_command(event.role, event.epoch),
          .role = event.role,
          .kind = PendingCommand::Kind::RemoveJob,
          .epoch = event.epoch},
         actions);
}

void LeaseHolder::on(TimePoint /*now*/, const ReleaseLease& event, LeaseHolderActions& actions) {
    auto it = find(event.role, event.epoch);
    if (it == leases_.end() || it->second.stopping) return;
    it->second.release_when_stopped = true;
    stop(it, RevocationReason::ReleaseRequested, actions);
}

void LeaseHolder::on(TimePoint now, const AddCandidacy& event, LeaseHolderActions& actions) {
    if (leaving_) return;
    Candidacy& candidacy = candidacies_[event.role];
    if (candidacy.weight != event.weight) candidacy = {event.weight, false};
    send_candidacies(now, actions);
}

void LeaseHolder::on(TimePoint now, const WithdrawCandidacy& event, LeaseHolderActions& actions) {
    withdraw(now, event.role, actions);
}

void LeaseHolder::on(TimePoint now, const Leave& /*event*/, LeaseHolderActions& actions) {
    leaving_ = true;
    while (!candidacies_.empty()) withdraw(now, candidacies_.begin()->first, actions);
}

void LeaseHolder::withdraw(TimePoint now, std::string_view role, LeaseHolderActions& actions) {
    auto candidacy = candidacies_.find(role);
    if (candidacy == candidacies_.end()) return;
    const std::string name = candidacy->first;
    candidacies_.erase(candidacy);
    auto it = leases_.find(name);
    if (it != leases_.end()) {
        it->second.release_when_stopped = session_ != 0;
        stop(it, RevocationReason::Withdrawn, actions);
    } else if (session_ != 0) {
        send(now,
             {.command = withdraw_candidacy_command(name),
              .role = name,
              .kind = PendingCommand::Kind::WithdrawCandidacy},
             actions);
    }
}

void LeaseHolder::send_candidacies(TimePoint now, LeaseHolderActions& actions) {
    if (!session_is_valid(now)) return;
    for (auto& [role, candidacy] : candidacies_) {
        if (std::exchange(candidacy.sent, true)) continue;
        send(now,
             {.command = add_candidacy_command(role, candidacy.weight),
              .role = role,
              .kind = PendingCommand::Kind::AddCandidacy},
             actions);
    }
}

void LeaseHolder::send(TimePoint now, PendingCommand command, LeaseHolderActions& actions) {
    command.retry_at = now + settings_.retry_interval;
    ++last_request_id_;
    actions.push_back(SendCommand{last_request_id_, session_, command.command});
    pending_commands_.emplace(last_request_id_, std::move(command));
}

void LeaseHolder::on(TimePoint now, const TimerFired& /*event*/, LeaseHolderActions& actions) {
    if (!session_is_valid(now) || settings_.retry_interval <= Duration{0}) return;
    for (auto& [request_id, command] : pending_commands_) {
        if (command.retry_at > now) continue;
        command.retry_at = now + settings_.retry_interval;
        actions.push_back(SendCommand{request_id, session_, command.command});
    }
}

void LeaseHolder::on(TimePoint now, const CommandCompleted& event, LeaseHolderActions& actions) {
    auto pending = pending_commands_.find(event.request_id);
    std::optional<CommandResponse> response = decode_command_response(event.response);
    if (pending == pending_commands_.end() || !response) return;
    PendingCommand command = std::move(pending->second);
    pending_commands_.erase(pending);
    if (command.kind == PendingCommand::Kind::CompleteJob) {
        if (!response->error) on_completion_recorded(now, command, actions);
    } else if (command.kind == PendingCommand::Kind::RemoveJob) {
        // With an error too: if the first response was lost, a second RemoveJob finds no job.
        candidacies_.erase(command.role);
    } else if (command.kind == PendingCommand::Kind::AddCandidacy && response->error) {
        on_candidacy_rejected(command.role, *response->error, actions);
    }
}

void LeaseHolder::on_completion_recorded(TimePoint now, const PendingCommand& command,
                                         LeaseHolderActions& actions) {
    auto it = find(command.role, command.epoch);
    if (!session_is_valid(now) || it == leases_.end() || it->second.stopping) return;
    it->second.job_completed = true;  // work may have stopped and started again since the command was sent
    actions.push_back(RetireJob{command.role, command.epoch});
}

void LeaseHolder::on_candidacy_rejected(const std::string& role, Error error, LeaseHolderActions& actions) {
    auto candidacy = candidacies_.find(role);
    if (candidacy == candidacies_.end()) return;
    actions.push_back(CandidacyRejected{role, error});
    if (row(error).passes)
        candidacy->second.sent = false;  // it is sent again with the next renewal
    else
        candidacies_.erase(candidacy);
}

void LeaseHolder::complete_leave_if_done(LeaseHolderActions& actions) {
    if (!leaving_ || leave_completed_ || !leases_.empty() || !pending_commands_.empty()) return;
    leave_completed_ = true;
    actions.push_back(LeaveCompleted{});
}

void LeaseHolder::set_timer(TimePoint now, LeaseHolderActions& actions) const {
    if (!session_is_valid(now)) return;
    if (leases_.empty() && pending_commands_.empty()) return;
    TimePoint at = valid_until_ - settings_.safety_margin;
    if (settings_.retry_interval > Duration{0})
        for (const auto& [request_id, command] : pending_commands_) at = std::min(at, command.retry_at);
    actions.push_back(SetTimer{at});
}

LeaseHolder::Leases::iterator LeaseHolder::find(std::string_view role, Epoch epoch) {
    auto it = leases_.find(role);
    return it != leases_.end() && it->second.epoch == epoch ? it : leases_.end();
}

}  // namespace ochrehub::leadership
