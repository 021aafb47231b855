// Snapshots of LeaseStateMachine: the stored form, written and read back.
#include <leadership.pb.h>

#include "fleet/leadership/lease_state_machine.h"
#include "fleet/leadership/parse.h"

namespace ochrehub::leadership {

std::string LeaseStateMachine::snapshot() const {
    wire::Snapshot out;
    out.set_revision(revision_);
    out.set_last_epoch(last_epoch_);
    out.set_jobs_created(jobs_created_);
    for (const auto& [id, session] : sessions_) {
        wire::Session& stored = *out.add_sessions();
        stored.set_id(id);
        stored.set_token(session.last_token);
        stored.set_created_job(session.last_created_job);
    }
    for (const auto& [name, role] : roles_) {
        wire::Role& stored = *out.add_roles();
        stored.set_name(name);
        stored.set_epoch(role.epoch);
        stored.set_holder(role.holder);
        stored.set_release_requested(role.release_requested);
        stored.set_job_completed(role.job_completed);
        for (auto [session, weight] : role.candidates) {
            wire::Candidate& candidate = *stored.add_candidates();
            candidate.set_session(session);
            candidate.set_weight(weight);
        }
    }
    return out.SerializeAsString();
}

bool LeaseStateMachine::restore(std::uint32_t schema, std::string_view bytes) {
    wire::Snapshot in;
    if (schema != kSchema || !parse(in, bytes)) return false;
    std::map<SessionId, Session> sessions;
    for (const wire::Session& stored : in.sessions()) {
        Session& session = sessions[stored.id()];
        session.last_token = stored.token();
        session.last_created_job = stored.created_job();
    }
    Roles roles;
    std::size_t candidate_count = 0;
    for (const wire::Role& stored : in.roles()) {
        auto [it, is_new] = roles.try_emplace(stored.name());
        if (!is_new || !is_valid_name(stored.name(), true) || stored.epoch() > in.last_epoch()) return false;
        Role& role = it->second;
        role.epoch = stored.epoch();
        role.holder = stored.holder();
        role.release_requested = stored.release_requested();
        role.job_completed = stored.job_completed();
        for (const wire::Candidate& candidate : stored.candidates())
            role.candidates[candidate.session()] = candidate.weight();
        candidate_count += role.candidates.size();
        if (role.holder == 0) continue;
        auto holder = sessions.find(role.holder);
        if (holder == sessions.end() || role.epoch == 0) return false;
        holder->second.held_roles.insert(stored.name());
        holder->second.requested_releases += role.release_requested;
    }
    revision_ = in.revision();
    last_epoch_ = in.last_epoch();
    jobs_created_ = in.jobs_created();
    candidate_count_ = candidate_count;
    sessions_ = std::move(sessions);
    roles_ = std::move(roles);
    return true;
}

}  // namespace ochrehub::leadership
