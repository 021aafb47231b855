#include "fleet/coordinator/state.h"

#include <coordinator.pb.h>

namespace ochrehub::coordinator {
namespace {

constexpr std::uint32_t kVersion = 1;  // of the snapshot's own form

Outcome failed(Error error) {
    return {.error = error, .session = 0, .result = {}, .fatal = error == Error::Behind};
}

}  // namespace

State::State(const Bounds& bounds, MakeMachines make)
    : bounds_(bounds), make_(std::move(make)), machines_(make_()) {}

Machine* State::find(std::string_view kind) const {
    for (const auto& machine : machines_)
        if (machine->kind() == kind) return machine.get();
    return nullptr;
}

const Machine* State::machine(std::string_view kind) const {
    return find(kind);
}

const SessionInfo* State::session(SessionId id) const {
    auto found = sessions_.find(id);
    return found == sessions_.end() ? nullptr : &found->second.info;
}

std::optional<Outcome> State::answered(SessionId session, std::uint64_t number) const {
    auto found = sessions_.find(session);
    if (found == sessions_.end()) return std::nullopt;
    auto kept = found->second.kept.find(number);
    if (kept == found->second.kept.end()) return std::nullopt;
    return Outcome{
        .error = kept->second.error, .session = session, .result = kept->second.result, .again = true};
}

void State::end(SessionId id) {
    if (sessions_.erase(id) == 0) return;
    for (const auto& machine : machines_) machine->session_over(id);
}

Outcome State::carry_out(SessionId session, std::string_view kind, std::string_view body) {
    // A leader proposes nothing that it does not know. What another release's has put into the log cannot be
    // passed over: the others have carried it out.
    Machine* machine = find(kind);
    if (!machine) return failed(Error::Behind);
    return {.error = Error::None, .session = session, .result = machine->apply({session, body})};
}

Outcome State::apply(std::string_view bytes) {
    wire::Entry entry;
    if (!entry.ParseFromArray(bytes.data(), int(bytes.size()))) return failed(Error::Behind);
    switch (entry.what_case()) {
        case wire::Entry::kOpen: {
            const wire::Open& open = entry.open();
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
            if (sessions_.size() >= bounds_.sessions) return failed(Error::TooMany);
            SessionId id = next_++;
            SessionInfo info{id,
                             open.name(),
                             open.zone(),
                             open.instance(),
                             open.attempt(),
                             open.lease_ms(),
                             open.release(),
                             open.schema_least(),
                             open.schema_most()};
            sessions_[id].info = info;
            for (const auto& machine : machines_) machine->session_began(id, info.name, info.zone);
            return {.session = id};
        }
        case wire::Entry::kClose:
            end(entry.close().session());
            return {};
        case wire::Entry::kSessionOver:
            end(entry.session_over().session());
            return {};
        case wire::Entry::kOver: {
            const wire::Over& over = entry.over();
            Machine* machine = find(over.kind());
            if (!machine) return failed(Error::Behind);
            machine->apply({0, machine->over(over.key(), over.revision())});
            return {};
        }
        case wire::Entry::kDo: {
            const wire::Do& what = entry.do_();
            if (what.session() == 0) return carry_out(0, what.kind(), what.body());
            auto found = sessions_.find(what.session());
            if (found == sessions_.end()) return failed(Error::NoSession);
            One& one = found->second;
            if (what.number() <= one.last) {
                if (auto kept = answered(what.session(), what.number())) return *kept;
                return failed(Error::Forgotten);
            }
            if (what.number() != one.last + 1) return failed(Error::OutOfOrder);
            one.kept.erase(one.kept.begin(), one.kept.upper_bound(what.settled()));
            if (one.kept.size() >= bounds_.window)
                return failed(Error::Busy);  // more than it may leave unsettled
            Outcome outcome = what.refused() != 0 ? failed(Error(what.refused()))
                                                  : carry_out(what.session(), what.kind(), what.body());
            if (outcome.fatal) return outcome;
            one.last = what.number();
            one.kept[what.number()] = {outcome.error, outcome.result};
            return outcome;
        }
        case wire::Entry::WHAT_NOT_SET:
            break;
    }
    return failed(Error::Behind);
}

std::string State::snapshot() const {
    wire::State state;
    state.set_version(kVersion);
    state.set_next_session(next_);
    for (const auto& [id, one] : sessions_) {
        wire::Session* to = state.add_sessions();
        to->set_id(id), to->set_name(one.info.name), to->set_zone(one.info.zone),
            to->set_instance(one.info.instance);
        to->set_attempt(one.info.attempt), to->set_lease_ms(one.info.lease_ms),
            to->set_release(one.info.release);
        to->set_schema_least(one.info.schema_least), to->set_schema_most(one.info.schema_most),
            to->set_last(one.last);
        for (const auto& [number, kept] : one.kept) {
            wire::Kept* k = to->add_kept();
            k->set_number(number), k->set_error(std::uint32_t(kept.error)), k->set_result(kept.result);
        }
    }
    for (const auto& machine : machines_) {
        wire::MachineState* to = state.add_machines();
        to->set_kind(std::string(machine->kind())), to->set_schema(machine->schema()),
            to->set_bytes(machine->snapshot());
    }
    return state.SerializeAsString();
}

bool State::restore(std::string_view bytes) {
    wire::State state;
    if (!state.ParseFromArray(bytes.data(), int(bytes.size())) || state.version() != kVersion) return false;
    sessions_.clear();
    machines_ = make_();
    next_ = state.next_session();
    for (const wire::Session& from : state.sessions()) {
        One& one = sessions_[from.id()];
        one.info = {from.id(),       from.name(),    from.zone(),         from.instance(),   from.attempt(),
                    from.lease_ms(), from.release(), from.schema_least(), from.schema_most()};
        one.last = from.last();
        for (const wire::Kept& kept : from.kept())
            one.kept[kept.number()] = {Error(kept.error()), kept.result()};
    }
    for (const wire::MachineState& from : state.machines()) {
        Machine* machine = find(from.kind());
        if (!machine || !machine->restore(from.schema(), from.bytes())) return false;
    }
    for (const auto& machine : machines_) {
        bool there = false;
        for (const wire::MachineState& from : state.machines()) there |= from.kind() == machine->kind();
        if (there) continue;
        for (const auto& [id, one] : sessions_) machine->session_began(id, one.info.name, one.info.zone);
    }
    return true;
}

}  // namespace ochrehub::coordinator
