#include "fleet/config_distribution/config_state_machine.h"

#include <algorithm>
#include <utility>

#include "fleet/config_distribution/wire_codec.h"

namespace ochrehub::config_distribution {
namespace {

ConfigResponse error_response(Error error, std::string about) {
    return {Failure{error, std::move(about)}, 0, {}};
}
std::string with_version(std::string_view name, std::uint64_t version) {
    return std::string(name) + " " + std::to_string(version);
}

wire::Answer to_wire(const ConfigResponse& response, bool contents) {
    wire::Answer out;
    out.set_version(response.version);
    if (response.failure) {
        out.set_error(std::uint32_t(response.failure->error) + 1);
        out.set_about(response.failure->about);
    }
    for (const DocumentStatus& d : response.documents) {
        auto& to = *out.mutable_status()->add_documents();
        to.set_name(d.name), to.set_phase(std::uint32_t(d.phase));
        if (d.in_force) to_wire(*d.in_force, contents, *to.mutable_in_force());
        if (d.next) to_wire(*d.next, contents, *to.mutable_next());
        for (const Document& b : d.history) to_wire(b, contents, *to.add_before());
        for (const AbortedVersion& e : d.aborted) {
            auto& ended = *to.add_ended();
            ended.set_version(e.version), ended.set_error(std::uint32_t(e.failure.error)),
                ended.set_about(e.failure.about), ended.set_proposer(e.proposer);
        }
        for (const NodeStatus& n : d.nodes) {
            auto& node = *to.add_nodes();
            node.set_name(n.name), node.set_zone(n.zone), node.set_version(n.version),
                node.set_word(std::uint32_t(n.ack));
            node.set_reason(n.reason), node.set_holds_up(n.blocks_drain);
        }
    }
    return out;
}

}  // namespace

std::string ConfigStateMachine::apply(const coordinator::Command& command) {
    wire::Command in;
    ConfigResponse response;
    if (!in.ParseFromArray(command.body.data(), int(command.body.size())))
        response = error_response(Error::Malformed, "a command");
    else
        response = handle(in, command.session);
    return to_wire(response, false).SerializeAsString();
}

std::string ConfigStateMachine::query(std::string_view request) const {
    wire::Question in;
    if (!in.ParseFromArray(request.data(), int(request.size())))
        return to_wire(error_response(Error::Malformed, "a question"), false).SerializeAsString();
    wire::Answer out = to_wire(status(in.name()), !in.name().empty());
    out.mutable_status()->set_revision(revision_);
    return out.SerializeAsString();
}

ConfigResponse ConfigStateMachine::handle(const wire::Command& command, coordinator::SessionId session) {
    using CommandCase = wire::Command::WhatCase;
    // Commands of an ended session are ignored: what they report may have changed since, as the session no
    // longer counts as using a version.
    auto sender = sessions_.find(session);
    bool is_subscribed = sender != sessions_.end() && sender->second.subscribed;
    auto find_document = [&](const std::string& name) {
        auto found = documents_.find(name);
        return found == documents_.end() ? nullptr : &found->second;
    };
    switch (command.what_case()) {
        case CommandCase::kPropose:
            return handle(command.propose());
        case CommandCase::kBack:
            return handle(command.back());
        case CommandCase::kSaid: {
            const auto& c = command.said();
            DocumentState* state = find_document(c.name());
            if (!is_subscribed || !state || state->phase != Phase::Staging ||
                state->next.version != c.version())
                return error_response(Error::Unknown, with_version(c.name(), c.version()));
            if (!is_addressed(*state, sessions_[session]) || state->acks[session].ack != AckStatus::Pending)
                return {{}, c.version(), {}};
            ++revision_;
            state->acks[session] = {c.yes() ? AckStatus::Ack : AckStatus::Nack,
                                    c.reason().substr(0, kMaxReasonBytes)};
            state->received[session].insert(c.version());
            advance(*state);
            return {{}, c.version(), {}};
        }
        case CommandCase::kGaveBack: {
            const auto& c = command.gave_back();
            DocumentState* state = find_document(c.name());
            if (!is_subscribed || !state || state->phase != Phase::Draining ||
                state->next.version != c.version())
                return error_response(Error::Unknown, with_version(c.name(), c.version()));
            ++revision_;
            state->awaiting_release.erase(session);
            advance(*state);
            return {{}, c.version(), {}};
        }
        case CommandCase::kHas: {
            const auto& c = command.has();
            DocumentState* state = find_document(c.name());
            if (!is_subscribed || !state)
                return error_response(Error::Unknown, with_version(c.name(), c.version()));
            const Document* document =
                state->in_force && state->in_force->version == c.version()          ? &*state->in_force
                : state->phase != Phase::None && state->next.version == c.version() ? &state->next
                                                                                    : nullptr;
            if (!document || content_digest(document->content) != c.digest())
                return error_response(Error::NoVersion, with_version(c.name(), c.version()));
            ++revision_;
            state->received[session].insert(c.version());
            return {{}, c.version(), {}};
        }
        case CommandCase::kTimeOver: {
            const auto& c = command.time_over();
            for (auto& [name, state] : documents_) {
                if (state.key != c.key() || state.phase == Phase::None ||
                    state.armed_revision != c.revision())
                    continue;
                std::string who;
                for (const auto& [id, s] : sessions_) {
                    bool waits = state.phase == Phase::Draining
                                     ? state.awaiting_release.contains(id)
                                     : is_addressed(state, s) && state.acks[id].ack == AckStatus::Pending;
                    if (waits && who.size() < kMaxReasonBytes) who += (who.empty() ? "" : ", ") + s.name;
                }
                abort_proposal(state, {Error::TimeOver, with_version(name, state.next.version) +
                                                            (who.empty() ? "" : ": waits for " + who)});
                return {};
            }
            return {};  // the proposal has advanced since
        }
        case CommandCase::kWithdraw: {
            const auto& c = command.withdraw();
            DocumentState* state = find_document(c.name());
            if (!state || state->phase == Phase::None || state->next.version != c.version())
                return error_response(Error::Unknown, with_version(c.name(), c.version()));
            abort_proposal(*state, {Error::Withdrawn, with_version(c.name(), c.version()) + ": by " +
                                                          c.proposer().substr(0, kMaxNameBytes)});
            return {{}, c.version(), {}};
        }
        case CommandCase::kAttend: {
            auto found = sessions_.find(session);
            if (found == sessions_.end()) return error_response(Error::Unknown, "a session");
            revision_ += !found->second.subscribed;
            found->second.subscribed = true;
            return {};
        }
        case CommandCase::WHAT_NOT_SET:
            break;
    }
    return error_response(Error::Malformed, "a command");
}

// Proposals

ConfigResponse ConfigStateMachine::handle(const wire::Propose& c) {
    auto document = from_wire(c.document());
    if (c.document().content().size() > kMaxContentBytes)
        return error_response(Error::TooLong, c.document().name().substr(0, kMaxNameBytes));
    if (!document || c.stage_ms() > std::uint64_t(kMaxStagingTimeout.count()) ||
        c.stage_ms() < std::uint64_t(kMinStagingTimeout.count()))
        return error_response(Error::Malformed, c.document().name().substr(0, kMaxNameBytes));
    return start_staging(
        {std::move(*document), c.base(), c.token(), !c.no_stops_none(), Duration{double(c.stage_ms())}});
}

ConfigResponse ConfigStateMachine::handle(const wire::Back& c) {
    auto found = documents_.find(c.name());
    if (found == documents_.end()) return error_response(Error::Unknown, c.name().substr(0, kMaxNameBytes));
    const auto& before = found->second.history;
    auto old =
        std::find_if(before.begin(), before.end(), [&](const Document& d) { return d.version == c.to(); });
    if (old == before.end()) return error_response(Error::NoVersion, with_version(c.name(), c.to()));
    if (c.stage_ms() > std::uint64_t(kMaxStagingTimeout.count()) ||
        c.stage_ms() < std::uint64_t(kMinStagingTimeout.count()) || c.proposer().size() > kMaxNameBytes)
        return error_response(Error::Malformed, c.name());
    Document next = *old;
    next.proposer = c.proposer(), next.proposed_at_s = c.when(), next.rollback_of = old->version;
    return start_staging({std::move(next), c.base(), c.token(), true, Duration{double(c.stage_ms())}});
}

std::optional<Failure> ConfigStateMachine::check_proposal(const Proposal& p,
                                                          const DocumentState* state) const {
    const Document& d = p.document;
    if (auto bad = validate(d.content)) return Failure{bad->error, d.name + ": " + bad->about};
    if (!is_mode_allowed(d.content, d.mode))
        return Failure{
            Error::Mode,
            d.name + ": " + std::string(config_distribution::name(config_distribution::kind(d.content)))};
    if (!state && documents_.size() >= kMaxDocuments) return Failure{Error::Full, d.name};
    if (total_content_bytes() + encode(d.content).size() > kMaxTotalContentBytes)
        return Failure{Error::Full, d.name};
    const Document* in_force = state && state->in_force ? &*state->in_force : nullptr;
    if (state && state->phase != Phase::None)
        return Failure{Error::Busy,
                       with_version(d.name, state->next.version) + " by " + state->next.proposer};
    if (p.base_version != (in_force ? in_force->version : 0))
        return Failure{Error::BaseMoved,
                       d.name + ": made on " + std::to_string(p.base_version) + ", in force is " +
                           (in_force ? std::to_string(in_force->version) + " by " + in_force->proposer
                                     : std::string("none"))};
    if (d.canary_scope &&
        (!in_force || (d.mode == ConsistencyMode::Strict && conflicts(in_force->content, d.content))))
        return Failure{Error::Canary, d.name};
    if (!in_force) return {};
    if (in_force->mode != d.mode)
        return Failure{Error::ModeChanged,
                       d.name + ": " + std::string(config_distribution::name(in_force->mode))};
    if (auto bad = check_successor(in_force->content, d.content))
        return Failure{bad->error, d.name + ": " + bad->about};
    if (in_force->content == d.content && in_force->expiry_policy == d.expiry_policy)
        return Failure{Error::Same, with_version(d.name, in_force->version)};
    return {};
}

ConfigResponse ConfigStateMachine::start_staging(Proposal&& p) {
    p.document.content = canonical(std::move(p.document.content));
    auto found = documents_.find(p.document.name);
    if (found != documents_.end() && p.token != 0)
        for (const auto& [token, version] : found->second.tokens)
            if (token == p.token) return {{}, version, {}};  // a retry whose first response was lost
    if (auto bad = check_proposal(p, found == documents_.end() ? nullptr : &found->second))
        return {std::move(bad), 0, {}};
    ++revision_;
    DocumentState& state = documents_[p.document.name];
    if (state.key == 0) state.key = ++last_key_;
    state.next = std::move(p.document);
    state.next.version = ++state.last_version;
    state.phase = Phase::Staging;
    state.any_nack_aborts = p.any_nack_aborts;
    state.staging_timeout = p.staging_timeout;
    state.armed_revision = revision_;
    state.acks.clear();
    state.awaiting_release.clear();
    state.tokens.emplace_back(p.token, state.next.version);
    if (state.tokens.size() > kMaxHistory) state.tokens.pop_front();
    std::uint64_t version = state.next.version;
    advance(state);
    return {{}, version, {}};
}

bool ConfigStateMachine::is_addressed(const DocumentState& state, const Session& session) const {
    const auto& canary_scope = state.next.canary_scope;
    if (!session.subscribed) return false;
    return !canary_scope || (canary_scope->zone.empty() ? canary_scope->node == session.name
                                                        : canary_scope->zone == session.zone);
}

void ConfigStateMachine::advance(DocumentState& state) {
    if (state.phase == Phase::Staging) {
        std::size_t acked = 0, nacked = 0, pending = 0;
        std::string why;
        for (const auto& [id, session] : sessions_) {
            if (!is_addressed(state, session)) continue;
            auto said = state.acks.find(id);
            AckStatus ack = said == state.acks.end() ? AckStatus::Pending : said->second.ack;
            if (ack == AckStatus::Nack && nacked == 0) why = session.name + ": " + said->second.reason;
            ++(ack == AckStatus::Ack ? acked : ack == AckStatus::Nack ? nacked : pending);
        }
        if (nacked != 0 && (state.any_nack_aborts || (acked == 0 && pending == 0)))
            return abort_proposal(
                state, {Error::NodeRefused, with_version(state.next.name, state.next.version) + ": " + why});
        if (pending != 0) return;
        if (state.next.canary_scope) {
            state.phase = Phase::Canary;
            state.armed_revision = ++revision_;
            return;
        }
        if (state.next.mode == ConsistencyMode::Bounded || !state.in_force) return put_in_force(state);
        state.phase = Phase::Draining;
        for (const auto& [id, session] : sessions_)
            if (session.subscribed) state.awaiting_release.insert(id);
    }
    if (state.phase == Phase::Draining && state.awaiting_release.empty()) put_in_force(state);
}

void ConfigStateMachine::put_in_force(DocumentState& state) {
    ++revision_;
    if (state.in_force) state.history.push_front(std::move(*state.in_force));
    if (state.history.size() > kMaxHistory) state.history.pop_back();
    state.in_force = std::move(state.next);
    state.next = {};
    state.phase = Phase::None;
    state.acks.clear();
    forget_received(state);
}

void ConfigStateMachine::abort_proposal(DocumentState& state, Failure why) {
    ++revision_;
    state.aborted.push_back({state.next.version, std::move(why), state.next.proposer});
    if (state.aborted.size() > kMaxAborted) state.aborted.pop_front();
    state.next = {};
    state.phase = Phase::None;
    state.acks.clear();
    state.awaiting_release.clear();
    forget_received(state);
}

/// Drops the records of received contents, except of the version in force.
void ConfigStateMachine::forget_received(DocumentState& state) {
    std::uint64_t in_force = state.in_force ? state.in_force->version : 0;
    for (auto it = state.received.begin(); it != state.received.end();) {
        std::erase_if(it->second, [&](std::uint64_t version) { return version != in_force; });
        it = it->second.empty() ? state.received.erase(it) : std::next(it);
    }
}

std::size_t ConfigStateMachine::total_content_bytes() const {
    std::size_t sum = 0;
    for (const auto& [name, state] : documents_) {
        if (state.in_force) sum += encode(state.in_force->content).size();
        if (state.phase != Phase::None) sum += encode(state.next.content).size();
        for (const Document& d : state.history) sum += encode(d.content).size();
    }
    return sum;
}

std::uint64_t ConfigStateMachine::in_force(std::string_view name) const {
    auto found = documents_.find(name);
    return found == documents_.end() || !found->second.in_force ? 0 : found->second.in_force->version;
}

// Sessions and timeouts

void ConfigStateMachine::session_opened(coordinator::SessionId session, std::string_view name,
                                        std::string_view zone) {
    ++revision_;
    sessions_[session] = {std::string(name.substr(0, kMaxNameBytes)),
                          std::string(zone.substr(0, kMaxNameBytes)), false};
}

void ConfigStateMachine::session_ended(coordinator::SessionId session) {
    if (sessions_.erase(session) == 0) return;
    ++revision_;
    for (auto& [name, state] : documents_) {
        state.acks.erase(session);
        state.awaiting_release.erase(session);
        state.received.erase(session);
        advance(state);
    }
}

void ConfigStateMachine::timeouts(std::vector<coordinator::Timeout>& armed) const {
    for (const auto& [name, state] : documents_)
        if (state.phase != Phase::None)
            armed.push_back(
                {state.key, state.armed_revision,
                 state.phase == Phase::Canary ? state.next.canary_scope->duration : state.staging_timeout});
}

std::string ConfigStateMachine::on_timeout(std::uint64_t key, std::uint64_t revision) const {
    wire::Command out;
    out.mutable_time_over()->set_key(key);
    out.mutable_time_over()->set_revision(revision);
    return out.SerializeAsString();
}

std::string ConfigStateMachine::session_update(coordinator::SessionId id) const {
    auto session = sessions_.find(id);
    if (session == sessions_.end() || !session->second.subscribed) return {};
    wire::News out;
    out.set_revision(revision_);
    std::size_t remaining_bytes = kMaxUpdateBytes;
    for (const auto& [name, state] : documents_) {
        auto& to = *out.add_documents();
        to.set_name(name);
        auto put = [&, &all = state.received](const Document& document, wire::Document& into) {
            auto has = all.find(id);
            to_wire(document, has == all.end() || !has->second.contains(document.version), into);
            if (into.content().size() > remaining_bytes) into.clear_content();
            remaining_bytes -= into.content().size();
        };
        bool is_recipient = state.phase != Phase::None && is_addressed(state, session->second);
        if (state.in_force) put(*state.in_force, *to.mutable_in_force());
        if (!is_recipient) continue;
        put(state.next, *to.mutable_next());
        auto said = state.acks.find(id);
        to.set_canary(state.phase == Phase::Canary);
        to.set_draining(state.phase == Phase::Draining);
        to.set_said(said != state.acks.end() && said->second.ack != AckStatus::Pending);
        to.set_gave_back(state.phase == Phase::Draining && !state.awaiting_release.contains(id));
    }
    return out.SerializeAsString();
}

ConfigResponse ConfigStateMachine::status(std::string_view requested) const {
    ConfigResponse out;
    for (const auto& [name, state] : documents_) {
        if (!requested.empty() && name != requested) continue;
        DocumentStatus d{name,
                         state.in_force,
                         {},
                         state.phase,
                         {state.history.begin(), state.history.end()},
                         {state.aborted.begin(), state.aborted.end()},
                         {}};
        if (state.phase != Phase::None) d.next = state.next;
        for (const auto& [id, session] : sessions_) {
            if (!session.subscribed) continue;
            NodeStatus n{session.name,       session.zone, 0,
                         AckStatus::Pending, {},           state.awaiting_release.contains(id)};
            if (auto has = state.received.find(id); has != state.received.end() && !has->second.empty())
                n.version = *has->second.rbegin();
            if (auto said = state.acks.find(id); said != state.acks.end())
                n.ack = said->second.ack, n.reason = said->second.reason;
            d.nodes.push_back(std::move(n));
        }
        out.documents.push_back(std::move(d));
    }
    if (!requested.empty() && out.documents.empty())
        return error_response(Error::Unknown, std::string(requested.substr(0, kMaxNameBytes)));
    return out;
}

}  // namespace ochrehub::config_distribution
