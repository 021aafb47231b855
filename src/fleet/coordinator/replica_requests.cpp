// Requests of clients and operators, and their responses.
#include <coordinator.pb.h>

#include <string>
#include <utility>

#include "fleet/coordinator/replica.h"
#include "fleet/coordinator/role_name.h"
#include "fleet/coordinator/wire_codec.h"

namespace ochrehub::coordinator {
namespace {

/// Until an expiry is proposed again that Raft has rejected.
constexpr Duration kExpiryRetryDelay{100};
constexpr int kMaxReportedSessions = 1000;

Error error_of(raft::Error error) {
    switch (error) {
        case raft::Error::NotLeader:
            return Error::NotLeader;
        case raft::Error::Busy:
            return Error::Busy;
        case raft::Error::MembershipChanging:
            return Error::MembershipChanging;
        case raft::Error::LeadershipLost:
            return Error::PossiblyExecuted;
        case raft::Error::UnknownMember:
            return Error::UnknownMember;
        case raft::Error::LastVoter:
            return Error::LastVoter;
    }
    return Error::PossiblyExecuted;
}

}  // namespace

void Replica::handle_event(const RequestReceived& event) {
    wire::Request request;
    if (!request.ParseFromString(event.body)) return reject({event.connection, 0}, Error::Malformed);
    const Caller caller{event.connection, request.call()};
    if (request.body_case() == wire::Request::kStatus) return report_status(caller);
    if (!is_leader()) return reject(caller, Error::NotLeader);
    if (pending_.size() >= settings_.max_pending_requests) return reject(caller, Error::Busy);
    PendingRequest pending;
    pending.caller = caller;
    handle_leader_request(request, std::move(pending));
}

void Replica::handle_leader_request(const wire::Request& request, PendingRequest pending) {
    switch (request.body_case()) {
        case wire::Request::kOpen:
            return handle_open(request.open(), std::move(pending));
        case wire::Request::kRenew:
            pending.kind = RequestKind::Renew;
            pending.session = request.renew().session();
            return read(std::move(pending));
        case wire::Request::kClose: {
            pending.kind = RequestKind::Close;
            wire::LogEntry entry;
            *entry.mutable_close() = request.close();
            return propose(entry, std::move(pending));
        }
        case wire::Request::kCommand:
            return handle_command(request.command(), std::move(pending));
        case wire::Request::kQuery:
            if (!state_.state_machine(request.query().kind()))
                return reject(pending.caller, Error::UnknownKind);
            pending.kind = RequestKind::Query;
            pending.query_kind = request.query().kind();
            pending.query_body = request.query().body();
            return read(std::move(pending));
        case wire::Request::kChange:
            return change_membership(request.change(), std::move(pending));
        case wire::Request::kTransfer: {
            raft_events_.emplace_back(raft::TransferLeadership{request.transfer().to()});
            return respond(pending.caller, {});
        }
        case wire::Request::kStatus:
        case wire::Request::BODY_NOT_SET:
            break;
    }
    reject(pending.caller, Error::Malformed);
}

void Replica::handle_open(const wire::OpenSession& open, PendingRequest pending) {
    const Limits& limits = settings_.limits;
    const Duration lease{double(open.lease_ms())};
    if (open.name().size() > limits.max_name_bytes || open.zone().size() > limits.max_name_bytes)
        return reject(pending.caller, Error::TooLong);
    if (open.name().empty() || lease < settings_.min_lease || lease > settings_.max_lease)
        return reject(pending.caller, Error::Malformed);
    pending.kind = RequestKind::Open;
    wire::LogEntry entry;
    *entry.mutable_open() = open;
    propose(entry, std::move(pending));
}

void Replica::handle_command(const wire::Command& command, PendingRequest pending) {
    pending.kind = RequestKind::Command;
    // What is committed stays so under any leader.
    if (auto cached = state_.cached_outcome(command.session(), command.sequence()))
        return complete(pending, *cached);
    Error error = Error::None;
    if (command.body().size() > settings_.limits.max_command_bytes)
        error = Error::TooLong;
    else if (!state_.state_machine(command.kind()))
        error = Error::UnknownKind;
    if (error != Error::None && command.session() == 0) return reject(pending.caller, error);
    wire::LogEntry entry;
    *entry.mutable_command() = command;
    entry.mutable_command()->set_rejected_with(std::uint32_t(error));
    if (error != Error::None) {
        // A rejected command is proposed all the same, to consume its sequence number: an earlier leader of
        // another release may have committed it.
        entry.mutable_command()->clear_kind();
        entry.mutable_command()->clear_body();
    }
    propose(entry, std::move(pending));
}

void Replica::change_membership(const wire::ChangeMembership& change, PendingRequest pending) {
    pending.kind = RequestKind::ChangeMembership;
    const std::uint64_t id = next_pending_id_++;
    pending_.emplace(id, std::move(pending));
    raft_events_.emplace_back(raft::ChangeMembership{id, change.member(), change.add(), change.address()});
}

/// A membership change has no entry that is applied here: one that Raft has not rejected at once has begun.
void Replica::confirm_membership_change(std::uint64_t id) {
    const auto pending = take_pending(id);
    if (!pending) return;
    wire::Response response;
    add_members(members_, response);
    respond(pending->caller, std::move(response));
}

void Replica::report_status(Caller caller) {
    wire::Response response;
    wire::StatusResponse& status = *response.mutable_status();
    status.set_self(settings_.self);
    status.set_role(std::string(role_name(role_)));
    status.set_term(term_);
    status.set_leader(leader_);
    status.set_applied_index(applied_);
    status.set_trusted(trusted_);
    status.set_snapshot_index(snapshot_index_);
    add_members(members_, status);
    state_.for_each_session([&](const SessionInfo& info) {
        if (status.sessions_size() < kMaxReportedSessions) encode_session(info, *status.add_sessions());
    });
    for (const auto& machine : state_.state_machines())
        status.add_state_machines(std::string(machine->kind()));
    respond(caller, std::move(response));
}

void Replica::propose(const wire::LogEntry& entry, PendingRequest pending) {
    const std::uint64_t id = next_pending_id_++;
    pending_.emplace(id, std::move(pending));
    raft_events_.emplace_back(raft::Propose{id, entry.SerializeAsString()});
}

void Replica::read(PendingRequest pending) {
    const std::uint64_t id = next_pending_id_++;
    pending_.emplace(id, std::move(pending));
    raft_events_.emplace_back(raft::ReadIndex{id});
}

std::optional<Replica::PendingRequest> Replica::take_pending(std::uint64_t id) {
    auto found = pending_.extract(id);
    if (found.empty()) return std::nullopt;
    return std::move(found.mapped());
}

void Replica::complete(const PendingRequest& pending, const Outcome& outcome) {
    // A timeout that is still reported restarts with the next scan.
    if (pending.kind == RequestKind::ExpireTimeout) return timeout_deadlines_.erase(pending.timeout);
    if (pending.kind == RequestKind::ExpireSession) return session_deadlines_.erase(pending.session);
    if (outcome.error != Error::None) return reject(pending.caller, outcome.error);
    wire::Response response;
    if (pending.kind == RequestKind::Open) {
        // A delayed request may open a session again whose expiry is proposed: it expires all the same.
        const auto* deadline = session_deadlines_.find(outcome.session);
        if (deadline && deadline->is_expiring) return reject(pending.caller, Error::NoSession);
        start_lease(outcome.session);
        add_session_state(outcome.session, response);
    }
    if (pending.kind == RequestKind::Command) {
        ++commands_;
        response.set_result(outcome.result);
    }
    respond(pending.caller, std::move(response));
}

void Replica::complete_read(const PendingRequest& pending) {
    wire::Response response;
    if (pending.kind == RequestKind::Renew) {
        const auto* deadline = session_deadlines_.find(pending.session);
        if (!state_.session(pending.session) || (deadline && deadline->is_expiring))
            return reject(pending.caller, Error::NoSession);
        start_lease(pending.session);
        add_session_state(pending.session, response);
    } else {
        const StateMachine* machine = state_.state_machine(pending.query_kind);
        if (!machine) return reject(pending.caller, Error::UnknownKind);
        response.set_result(machine->query(pending.query_body));
    }
    respond(pending.caller, std::move(response));
}

/// Raft has rejected a proposal or a read. An expiry is tried again, unless another coordinator leads now.
void Replica::handle_raft(raft::Rejected& rejected) {
    const auto pending = take_pending(rejected.id);
    if (!pending) return;
    const TimePoint retry_at = now_ + kExpiryRetryDelay;
    if (pending->kind == RequestKind::ExpireSession) {
        if (is_leader()) session_deadlines_.set(pending->session, retry_at);
    } else if (pending->kind == RequestKind::ExpireTimeout) {
        if (is_leader()) timeout_deadlines_.set(pending->timeout, retry_at, pending->revision);
    } else {
        reject(pending->caller, error_of(rejected.error), rejected.leader_hint);
    }
}

void Replica::reject(Caller caller, Error error, raft::NodeId leader) {
    wire::Response response;
    response.set_error(std::uint32_t(error));
    if (error == Error::NotLeader) {
        response.set_leader(leader);
        for (const raft::Member& member : members_)
            if (member.id == leader) response.set_leader_address(member.address);
    }
    respond(caller, std::move(response));
}

void Replica::respond(Caller caller, wire::Response response) {
    if (caller.connection == 0) return;
    response.set_call(caller.call);
    actions_->push_back(SendResponse{caller.connection, response.SerializeAsString()});
}

void Replica::add_session_state(SessionId id, wire::Response& response) const {
    response.set_session(id);
    add_members(members_, response);
    for (const auto& machine : state_.state_machines()) {
        std::string bytes = machine->session_update(id);
        if (bytes.empty()) continue;
        wire::SessionUpdate& update = *response.add_updates();
        update.set_kind(std::string(machine->kind()));
        update.set_bytes(std::move(bytes));
    }
}

}  // namespace ochrehub::coordinator
