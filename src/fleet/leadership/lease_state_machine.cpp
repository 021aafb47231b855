#include "fleet/leadership/lease_state_machine.h"

#include <leadership.pb.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "fleet/leadership/parse.h"

namespace ochrehub::leadership {

namespace {

constexpr std::size_t kMaxCommandBytes = 4096;

bool is_name_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
}

/// The role that a command is about; null: the command is about none that exists yet, or is empty.
const std::string* role_name(const wire::Command& in) {
    switch (in.what_case()) {
        case wire::Command::kWithdrawCandidacy:
            return &in.withdraw_candidacy().name();
        case wire::Command::kReleaseLease:
            return &in.release_lease().name();
        case wire::Command::kRemoveJob:
            return &in.remove_job().name();
        case wire::Command::kCompleteJob:
            return &in.complete_job().name();
        case wire::Command::kTransferLease:
            return &in.transfer_lease().name();
        default:
            return nullptr;
    }
}

/// The epoch under which the sender claims to hold the lease.
Epoch claimed_epoch(const wire::Command& in) {
    if (in.has_remove_job()) return in.remove_job().epoch();
    if (in.has_complete_job()) return in.complete_job().epoch();
    return in.release_lease().epoch();
}

}  // namespace

std::string LeaseStateMachine::apply(const coordinator::Command& command) {
    CommandResponse response = execute(command);
    wire::Response out;
    out.set_error(response.error ? 1 + std::uint32_t(*response.error) : 0);
    out.set_name(response.name);
    out.set_epoch(response.epoch);
    return out.SerializeAsString();
}

CommandResponse LeaseStateMachine::execute(const coordinator::Command& command) {
    wire::Command in;
    if (command.body.size() > kMaxCommandBytes || !parse(in, command.body)) return {Error::Malformed, {}, 0};
    if (command.session != 0 && !sessions_.contains(command.session)) return {Error::NoSession, {}, 0};
    if (in.has_add_candidacy())
        return add_candidacy(command.session, in.add_candidacy().name(), in.add_candidacy().weight());
    if (in.has_create_job())
        return create_job(command.session, in.create_job().kind(), in.create_job().token());
    const std::string* name = role_name(in);
    if (!name) return {Error::Malformed, {}, 0};
    auto it = roles_.find(*name);
    if (it == roles_.end()) return {is_job_name(*name) ? Error::JobNotFound : Error::UnknownRole, *name, 0};
    return execute_on_role(command.session, in, it);
}

CommandResponse LeaseStateMachine::execute_on_role(SessionId session, const wire::Command& in,
                                                   Roles::iterator it) {
    Role& role = it->second;
    CommandResponse response{std::nullopt, it->first, role.epoch};
    if (in.has_transfer_lease()) {
        if (role.holder != 0 && !role.release_requested) request_release(role);
        return response;
    }
    // Operators have no session. All that they may do here is to remove a job that nobody holds.
    if (session == 0 && !(in.has_remove_job() && role.holder == 0)) {
        response.error = Error::NotHolder;
        return response;
    }
    if (in.has_withdraw_candidacy()) {
        withdraw_candidacy(session, it);
        return response;
    }
    if (role.holder != session || (session != 0 && role.epoch != claimed_epoch(in))) {
        response.error = Error::NotHolder;
        return response;
    }
    if (in.has_complete_job())
        response.error = complete_job(it);
    else if (in.has_remove_job())
        response.error = remove_job(session, it);
    else
        release_lease(session, it, in.release_lease().keep_candidacy());
    return response;
}

CommandResponse LeaseStateMachine::add_candidacy(SessionId session, std::string_view name,
                                                 std::uint32_t weight) {
    CommandResponse response{std::nullopt, std::string(name), 0};
    auto reject = [&](Error error) {
        response.error = error;
        return response;
    };
    if (session == 0) return reject(Error::NoSession);
    if (!is_valid_name(name, true)) return reject(Error::InvalidName);
    if (weight == 0 || weight > kMaxWeight) return reject(Error::InvalidWeight);
    auto it = roles_.find(name);
    if (it == roles_.end()) {
        if (is_job_name(name)) return reject(Error::JobNotFound);
        if (roles_.size() >= limits_.max_roles) return reject(Error::TooManyRoles);
        it = roles_.try_emplace(std::string(name)).first;
    }
    Role& role = it->second;
    response.epoch = role.epoch;
    auto candidate = role.candidates.find(session);
    const bool is_new = candidate == role.candidates.end();
    const bool is_full = role.candidates.size() >= limits_.max_candidates_per_role ||
                         candidate_count_ >= limits_.max_candidates;
    if (is_new && is_full) return reject(Error::TooManyCandidates);
    if (!is_new && candidate->second == weight) return response;
    candidate_count_ += is_new;
    role.candidates[session] = weight;
    ++revision_;
    if (role.holder == 0)
        grant(name, role);
    else if (improves_balance(role, session, weight))
        request_release(role);
    response.epoch = role.epoch;
    return response;
}

CommandResponse LeaseStateMachine::create_job(SessionId session, std::string_view kind, std::uint64_t token) {
    auto sender = sessions_.find(session);
    if (sender != sessions_.end() && token != 0 && sender->second.last_token == token)
        return {std::nullopt, sender->second.last_created_job, 0};
    std::string name = std::string(kind) + "/" + std::to_string(jobs_created_ + 1);
    if (!is_valid_name(kind, false) || !is_valid_name(name, true))
        return {Error::InvalidName, std::string(kind), 0};
    if (roles_.size() >= limits_.max_roles) return {Error::TooManyRoles, std::string(kind), 0};
    ++jobs_created_;
    ++revision_;
    roles_.try_emplace(name);
    if (sender != sessions_.end()) {
        sender->second.last_token = token;
        sender->second.last_created_job = name;
    }
    return {std::nullopt, name, 0};
}

void LeaseStateMachine::withdraw_candidacy(SessionId session, Roles::iterator it) {
    Role& role = it->second;
    if (role.candidates.erase(session) == 0) return;
    --candidate_count_;
    ++revision_;
    // A holder keeps the lease until it reports that it has stopped.
    if (role.holder == session && !role.release_requested) request_release(role);
    drop_if_unused(it);
}

void LeaseStateMachine::release_lease(SessionId session, Roles::iterator it, bool keep_candidacy) {
    Role& role = it->second;
    auto candidate = role.candidates.find(session);
    std::optional<std::uint32_t> weight;
    if (candidate != role.candidates.end()) {
        weight = candidate->second;
        role.candidates.erase(candidate);
        --candidate_count_;
    }
    clear_holder(it->first, role);
    // The sender is not among the candidates now: it is granted the role again only if there is no other.
    grant(it->first, role);
    if (keep_candidacy && weight) {
        role.candidates[session] = *weight;
        ++candidate_count_;
        if (role.holder == 0) grant(it->first, role);
    }
    request_one_release_from(role.holder);
    drop_if_unused(it);
    after_release(session);
}

std::optional<Error> LeaseStateMachine::complete_job(Roles::iterator it) {
    if (!is_job_name(it->first)) return Error::InvalidName;
    if (!std::exchange(it->second.job_completed, true)) ++revision_;
    return std::nullopt;
}

std::optional<Error> LeaseStateMachine::remove_job(SessionId session, Roles::iterator it) {
    Role& role = it->second;
    if (!is_job_name(it->first)) return Error::InvalidName;
    if (session != 0 && !role.job_completed) return Error::JobNotCompleted;
    clear_holder(it->first, role);
    candidate_count_ -= role.candidates.size();
    roles_.erase(it);
    after_release(session);
    return std::nullopt;
}

/// `session` holds one role less.
void LeaseStateMachine::after_release(SessionId session) {
    ++revision_;
    request_one_release_from(session);  // this release may have been the one of several that it still owed
    request_one_release_for(session);
}

bool LeaseStateMachine::is_valid_name(std::string_view name, bool allow_slash) const {
    if (name.empty() || name.size() > limits_.max_name_bytes) return false;
    return std::all_of(name.begin(), name.end(),
                       [&](char c) { return is_name_character(c) || (allow_slash && c == '/'); });
}

// Epochs are not a role's own, so dropping a standing role loses nothing. A job stays until it is removed.
LeaseStateMachine::Roles::iterator LeaseStateMachine::drop_if_unused(Roles::iterator it) {
    const Role& role = it->second;
    if (role.holder == 0 && role.candidates.empty() && !is_job_name(it->first)) return roles_.erase(it);
    return std::next(it);
}

void LeaseStateMachine::session_opened(SessionId session, std::string_view /*name*/,
                                       std::string_view /*zone*/) {
    sessions_.try_emplace(session);
}

void LeaseStateMachine::session_ended(SessionId session) {
    if (sessions_.erase(session) == 0) return;
    ++revision_;
    for (auto it = roles_.begin(); it != roles_.end();) {
        Role& role = it->second;
        candidate_count_ -= role.candidates.erase(session);
        if (role.holder == session) {
            clear_holder(it->first, role);
            grant(it->first, role);
        }
        it = drop_if_unused(it);
    }
    rebalance_all();
}

std::string LeaseStateMachine::session_update(SessionId session) const {
    wire::SessionUpdate update;
    update.set_revision(revision_);
    auto found = sessions_.find(session);
    if (found == sessions_.end()) return update.SerializeAsString();
    for (const std::string& name : found->second.held_roles) {
        const Role& role = roles_.find(name)->second;
        wire::HeldLease& lease = *update.add_leases();
        lease.set_name(name);
        lease.set_epoch(role.epoch);
        lease.set_release_requested(role.release_requested);
        lease.set_job_completed(role.job_completed);
    }
    return update.SerializeAsString();
}

}  // namespace ochrehub::leadership
