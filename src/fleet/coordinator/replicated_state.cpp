#include "fleet/coordinator/replicated_state.h"

#include <coordinator.pb.h>

#include <algorithm>

#include "fleet/coordinator/wire_codec.h"

namespace ochrehub::coordinator {
namespace {

constexpr std::uint32_t kSnapshotVersion = 1;

Outcome failed(Error error) {
    return {.error = error, .session = 0, .result = {}, .is_fatal = error == Error::UnknownEntry};
}

}  // namespace

ReplicatedState::ReplicatedState(const Limits& limits, StateMachineFactory make_state_machines)
    : limits_(limits),
      make_state_machines_(std::move(make_state_machines)),
      state_machines_(make_state_machines_()) {}

StateMachine* ReplicatedState::find(std::string_view kind) const {
    for (const auto& machine : state_machines_)
        if (machine->kind() == kind) return machine.get();
    return nullptr;
}

const StateMachine* ReplicatedState::state_machine(std::string_view kind) const {
    return find(kind);
}

const SessionInfo* ReplicatedState::session(SessionId id) const {
    auto found = sessions_.find(id);
    return found == sessions_.end() ? nullptr : &found->second.info;
}

std::optional<Outcome> ReplicatedState::cached_outcome(SessionId session, std::uint64_t sequence) const {
    auto found = sessions_.find(session);
    if (found == sessions_.end()) return std::nullopt;
    auto cached = found->second.cached_responses.find(sequence);
    if (cached == found->second.cached_responses.end()) return std::nullopt;
    return Outcome{.error = cached->second.error,
                   .session = session,
                   .result = cached->second.result,
                   .is_duplicate = true};
}

Outcome ReplicatedState::apply(std::string_view bytes) {
    wire::LogEntry entry;
    if (!entry.ParseFromArray(bytes.data(), int(bytes.size()))) return failed(Error::UnknownEntry);
    switch (entry.body_case()) {
        case wire::LogEntry::kOpen:
            return apply_open(entry.open());
        case wire::LogEntry::kClose:
            end_session(entry.close().session());
            return {};
        case wire::LogEntry::kSessionExpired:
            end_session(entry.session_expired().session());
            return {};
        case wire::LogEntry::kTimeoutExpired:
            return apply_timeout(entry.timeout_expired());
        case wire::LogEntry::kCommand:
            return apply_command(entry.command());
        case wire::LogEntry::BODY_NOT_SET:
            break;
    }
    return failed(Error::UnknownEntry);
}

SessionId ReplicatedState::find_session(std::uint64_t instance, const std::string& name) const {
    SessionId last = 0;
    for (const auto& [id, session] : sessions_)
        if (session.info.instance == instance && session.info.name == name) last = id;
    return last;
}

Outcome ReplicatedState::apply_open(const wire::OpenSession& open) {
    const SessionId previous = find_session(open.instance(), open.name());
    if (previous != 0) {
        const std::uint64_t previous_attempt = sessions_.at(previous).info.attempt;
        if (previous_attempt == open.attempt()) return {.session = previous};
        // A delayed request must not end the session that a later one of the same process has opened.
        if (open.attempt() < previous_attempt) return failed(Error::ResponseDiscarded);
        // By opening another session the process says that it holds nothing under the previous one.
        end_session(previous);
    }
    if (sessions_.size() >= limits_.max_sessions) return failed(Error::TooManySessions);
    const SessionId id = next_session_++;
    const SessionInfo info{.id = id,
                           .name = open.name(),
                           .zone = open.zone(),
                           .instance = open.instance(),
                           .attempt = open.attempt(),
                           .lease_ms = open.lease_ms(),
                           .release = open.release(),
                           .min_schema = open.min_schema(),
                           .max_schema = open.max_schema()};
    sessions_[id].info = info;
    for (const auto& machine : state_machines_) machine->session_opened(id, info.name, info.zone);
    return {.session = id};
}

void ReplicatedState::end_session(SessionId id) {
    if (sessions_.erase(id) == 0) return;
    for (const auto& machine : state_machines_) machine->session_ended(id);
}

Outcome ReplicatedState::apply_timeout(const wire::TimeoutExpired& timeout) {
    StateMachine* machine = find(timeout.kind());
    if (!machine) return failed(Error::UnknownEntry);
    machine->apply({0, machine->on_timeout(timeout.key(), timeout.revision())});
    return {};
}

Outcome ReplicatedState::apply_command(const wire::Command& command) {
    if (command.session() == 0) return run_command(0, command.kind(), command.body());
    auto found = sessions_.find(command.session());
    if (found == sessions_.end()) return failed(Error::NoSession);
    Session& session = found->second;
    const std::uint64_t sequence = command.sequence();
    if (sequence <= session.last_sequence) {
        if (auto cached = cached_outcome(command.session(), sequence)) return *cached;
        return failed(Error::ResponseDiscarded);
    }
    if (sequence != session.last_sequence + 1) return failed(Error::OutOfOrder);
    auto& responses = session.cached_responses;
    responses.erase(responses.begin(), responses.upper_bound(command.acknowledged()));
    if (responses.size() >= limits_.max_cached_responses) return failed(Error::Busy);
    Outcome outcome = command.rejected_with() != 0
                          ? failed(Error(command.rejected_with()))
                          : run_command(command.session(), command.kind(), command.body());
    if (outcome.is_fatal) return outcome;
    session.last_sequence = sequence;
    responses[sequence] = {outcome.error, outcome.result};
    return outcome;
}

Outcome ReplicatedState::run_command(SessionId session, std::string_view kind, std::string_view body) {
    // A leader proposes no command of an unknown kind. One that a leader of another release has committed
    // can't be skipped: the other coordinators have applied it.
    StateMachine* machine = find(kind);
    if (!machine) return failed(Error::UnknownEntry);
    return {.error = Error::None, .session = session, .result = machine->apply({session, body})};
}

std::string ReplicatedState::snapshot() const {
    wire::ReplicatedState snapshot;
    snapshot.set_version(kSnapshotVersion);
    snapshot.set_next_session(next_session_);
    for (const auto& [id, session] : sessions_) {
        wire::SessionRecord& record = *snapshot.add_sessions();
        encode_session(session.info, record);
        record.set_attempt(session.info.attempt);
        record.set_last_sequence(session.last_sequence);
        for (const auto& [sequence, response] : session.cached_responses) {
            wire::CachedResponse& cached = *record.add_cached_responses();
            cached.set_sequence(sequence);
            cached.set_error(std::uint32_t(response.error));
            cached.set_result(response.result);
        }
    }
    for (const auto& machine : state_machines_) {
        wire::StateMachineSnapshot& state = *snapshot.add_state_machines();
        state.set_kind(std::string(machine->kind()));
        state.set_schema(machine->schema());
        state.set_bytes(machine->snapshot());
    }
    return snapshot.SerializeAsString();
}

bool ReplicatedState::restore(std::string_view bytes) {
    wire::ReplicatedState snapshot;
    const bool parsed = snapshot.ParseFromArray(bytes.data(), int(bytes.size()));
    if (!parsed || snapshot.version() != kSnapshotVersion) return false;
    restore_sessions(snapshot);
    return restore_state_machines(snapshot);
}

void ReplicatedState::restore_sessions(const wire::ReplicatedState& snapshot) {
    sessions_.clear();
    next_session_ = snapshot.next_session();
    for (const wire::SessionRecord& record : snapshot.sessions()) {
        Session& session = sessions_[record.id()];
        session.info = decode_session(record);
        session.last_sequence = record.last_sequence();
        for (const wire::CachedResponse& cached : record.cached_responses())
            session.cached_responses[cached.sequence()] = {Error(cached.error()), cached.result()};
    }
}

bool ReplicatedState::restore_state_machines(const wire::ReplicatedState& snapshot) {
    state_machines_ = make_state_machines_();
    for (const wire::StateMachineSnapshot& state : snapshot.state_machines()) {
        StateMachine* machine = find(state.kind());
        if (!machine || !machine->restore(state.schema(), state.bytes())) return false;
    }
    for (const auto& machine : state_machines_) {
        const bool restored = std::any_of(
            snapshot.state_machines().begin(), snapshot.state_machines().end(),
            [&](const wire::StateMachineSnapshot& state) { return state.kind() == machine->kind(); });
        if (restored) continue;
        for (const auto& [id, session] : sessions_)
            machine->session_opened(id, session.info.name, session.info.zone);
    }
    return true;
}

}  // namespace ochrehub::coordinator
