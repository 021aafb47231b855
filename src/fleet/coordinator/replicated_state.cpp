#include "fleet/coordinator/replicated_state.h"

#include <coordinator.pb.h>

namespace ochrehub::coordinator {
namespace {

constexpr std::uint32_t kVersion = 1;  // of the snapshot's own form

Outcome failed(Error error) {
    return {.error = error, .session = 0, .result = {}, .fatal = error == Error::Behind};
}

}  // namespace

ReplicatedState::ReplicatedState(const Limits& limits, StateMachineFactory make)
    : limits_(limits), make_(std::move(make)), machines_(make_()) {}

StateMachine* ReplicatedState::find(std::string_view kind) const {
    for (const auto& machine : machines_)
        if (machine->kind() == kind) return machine.get();
    return nullptr;
}

const StateMachine* ReplicatedState::machine(std::string_view kind) const {
    return find(kind);
}

const SessionInfo* ReplicatedState::session(SessionId id) const {
    auto found = sessions_.find(id);
    return found == sessions_.end() ? nullptr : &found->second.info;
}

std::optional<Outcome> ReplicatedState::answered(SessionId session, std::uint64_t number) const {
    auto found = sessions_.find(session);
    if (found == sessions_.end()) return std::nullopt;
    auto kept = found->second.kept.find(number);
    if (kept == found->second.kept.end()) return std::nullopt;
    return Outcome{
        .error = kept->second.error, .session = session, .result = kept->second.result, .again = true};
}

void ReplicatedState::end(SessionId id) {
    if (sessions_.erase(id) == 0) return;
    for (const auto& machine : machines_) machine->session_ended(id);
}

Outcome ReplicatedState::carry_out(SessionId session, std::string_view kind, std::string_view body) {
    // A leader proposes nothing that it does not know. What another release's has put into the log cannot be
    // passed over: the others have carried it out.
    StateMachine* machine = find(kind);
    if (!machine) return failed(Error::Behind);
    return {.error = Error::None, .session = session, .result = machine->apply({session, body})};
}

Outcome ReplicatedState::apply(std::string_view bytes) {
    wire::LogEntry entry;
    if (!entry.ParseFromArray(bytes.data(), int(bytes.size()))) return failed(Error::Behind);
    switch (entry.body_case()) {
        case wire::LogEntry::kOpen: {
            const wire::OpenSession& open = entry.open();
            SessionId before = 0;
            for (const auto& [id, one] : sessions_)
                if (one.info.instance == open.instance() && one.info.name == open.name()) before = id;
            if (before != 0 && sessions_.at(before).info.attempt == open.attempt())
                return {.session = before};
            // An ask that was overtaken by a later one of the same process must not end what that has opened.
            if (before != 0 && open.attempt() < sessions_.at(before).info.attempt)
                return failed(Error::Forgotten);
            // The same process opens another: it says that it holds nothing of the one before.
            if (before != 0) end(before);
            if (sessions_.size() >= limits_.max_sessions) return failed(Error::TooMany);
            SessionId id = next_++;
            SessionInfo info{id,
                             open.name(),
                             open.zone(),
                             open.instance(),
                             open.attempt(),
                             open.lease_ms(),
                             open.release(),
                             open.min_schema(),
                             open.max_schema()};
            sessions_[id].info = info;
            for (const auto& machine : machines_) machine->session_opened(id, info.name, info.zone);
            return {.session = id};
        }
        case wire::LogEntry::kClose:
            end(entry.close().session());
            return {};
        case wire::LogEntry::kSessionExpired:
            end(entry.session_expired().session());
            return {};
        case wire::LogEntry::kTimeoutExpired: {
            const wire::TimeoutExpired& over = entry.timeout_expired();
            StateMachine* machine = find(over.kind());
            if (!machine) return failed(Error::Behind);
            machine->apply({0, machine->on_timeout(over.key(), over.revision())});
            return {};
        }
        case wire::LogEntry::kCommand: {
            const wire::Command& what = entry.command();
            if (what.session() == 0) return carry_out(0, what.kind(), what.body());
            auto found = sessions_.find(what.session());
            if (found == sessions_.end()) return failed(Error::NoSession);
            One& one = found->second;
            if (what.sequence() <= one.last) {
                if (auto kept = answered(what.session(), what.sequence())) return *kept;
                return failed(Error::Forgotten);
            }
            if (what.sequence() != one.last + 1) return failed(Error::OutOfOrder);
            one.kept.erase(one.kept.begin(), one.kept.upper_bound(what.acknowledged()));
            if (one.kept.size() >= limits_.max_cached_responses)
                return failed(Error::Busy);  // more than it may leave unsettled
            Outcome outcome = what.rejected_with() != 0 ? failed(Error(what.rejected_with()))
                                                        : carry_out(what.session(), what.kind(), what.body());
            if (outcome.fatal) return outcome;
            one.last = what.sequence();
            one.kept[what.sequence()] = {outcome.error, outcome.result};
            return outcome;
        }
        case wire::LogEntry::BODY_NOT_SET:
            break;
    }
    return failed(Error::Behind);
}

std::string ReplicatedState::snapshot() const {
    wire::ReplicatedState state;
    state.set_version(kVersion);
    state.set_next_session(next_);
    for (const auto& [id, one] : sessions_) {
        wire::SessionRecord* to = state.add_sessions();
        to->set_id(id), to->set_name(one.info.name), to->set_zone(one.info.zone),
            to->set_instance(one.info.instance);
        to->set_attempt(one.info.attempt), to->set_lease_ms(one.info.lease_ms),
            to->set_release(one.info.release);
        to->set_min_schema(one.info.min_schema), to->set_max_schema(one.info.max_schema),
            to->set_last_sequence(one.last);
        for (const auto& [number, kept] : one.kept) {
            wire::CachedResponse* k = to->add_cached_responses();
            k->set_sequence(number), k->set_error(std::uint32_t(kept.error)), k->set_result(kept.result);
        }
    }
    for (const auto& machine : machines_) {
        wire::StateMachineSnapshot* to = state.add_state_machines();
        to->set_kind(std::string(machine->kind())), to->set_schema(machine->schema()),
            to->set_bytes(machine->snapshot());
    }
    return state.SerializeAsString();
}

bool ReplicatedState::restore(std::string_view bytes) {
    wire::ReplicatedState state;
    if (!state.ParseFromArray(bytes.data(), int(bytes.size())) || state.version() != kVersion) return false;
    sessions_.clear();
    machines_ = make_();
    next_ = state.next_session();
    for (const wire::SessionRecord& from : state.sessions()) {
        One& one = sessions_[from.id()];
        one.info = {from.id(),       from.name(),    from.zone(),       from.instance(),  from.attempt(),
                    from.lease_ms(), from.release(), from.min_schema(), from.max_schema()};
        one.last = from.last_sequence();
        for (const wire::CachedResponse& kept : from.cached_responses())
            one.kept[kept.sequence()] = {Error(kept.error()), kept.result()};
    }
    for (const wire::StateMachineSnapshot& from : state.state_machines()) {
        StateMachine* machine = find(from.kind());
        if (!machine || !machine->restore(from.schema(), from.bytes())) return false;
    }
    for (const auto& machine : machines_) {
        bool there = false;
        for (const wire::StateMachineSnapshot& from : state.state_machines())
            there |= from.kind() == machine->kind();
        if (there) continue;
        for (const auto& [id, one] : sessions_) machine->session_opened(id, one.info.name, one.info.zone);
    }
    return true;
}

}  // namespace ochrehub::coordinator
