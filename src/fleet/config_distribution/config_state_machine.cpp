#include "fleet/config_distribution/config_state_machine.h"

#include <algorithm>
#include <utility>

#include "fleet/config_distribution/wire_codec.h"

namespace ochrehub::config_distribution {
namespace {

ConfigResponse failed(Error error, std::string about) {
    return {Failure{error, std::move(about)}, 0, {}};
}
std::string numbered(std::string_view name, std::uint64_t version) {
    return std::string(name) + " " + std::to_string(version);
}

wire::Answer written(const ConfigResponse& answer, bool contents) {
    wire::Answer out;
    out.set_version(answer.version);
    if (answer.failure) {
        out.set_error(std::uint32_t(answer.failure->error) + 1);
        out.set_about(answer.failure->about);
    }
    for (const DocumentStatus& d : answer.documents) {
        auto& to = *out.mutable_status()->add_documents();
        to.set_name(d.name), to.set_phase(std::uint32_t(d.phase));
        if (d.in_force) write(*d.in_force, contents, *to.mutable_in_force());
        if (d.next) write(*d.next, contents, *to.mutable_next());
        for (const Document& b : d.history) write(b, contents, *to.add_before());
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
    ConfigResponse answer;
    if (!in.ParseFromArray(command.body.data(), int(command.body.size())))
        answer = failed(Error::Malformed, "a command");
    else
        answer = take(in, command.session);
    return written(answer, false).SerializeAsString();
}

std::string ConfigStateMachine::query(std::string_view question) const {
    wire::Question in;
    if (!in.ParseFromArray(question.data(), int(question.size())))
        return written(failed(Error::Malformed, "a question"), false).SerializeAsString();
    wire::Answer out = written(status(in.name()), !in.name().empty());
    out.mutable_status()->set_revision(revision_);
    return out.SerializeAsString();
}

ConfigResponse ConfigStateMachine::take(const wire::Command& command, coordinator::SessionId session) {
    using What = wire::Command::WhatCase;
    // Of a session that is over nothing counts: what it says of itself now is about a time in which others
    // hold its permits.
    auto asker = sessions_.find(session);
    bool live = asker != sessions_.end() && asker->second.attends;
    auto of = [&](const std::string& name) {
        auto found = documents_.find(name);
        return found == documents_.end() ? nullptr : &found->second;
    };
    switch (command.what_case()) {
        case What::kPropose:
            return take(command.propose());
        case What::kBack:
            return take(command.back());
        case What::kSaid: {
            const auto& c = command.said();
            State* state = of(c.name());
            if (!live || !state || state->phase != Phase::Staging || state->next.version != c.version())
                return failed(Error::Unknown, numbered(c.name(), c.version()));
            if (!asked(*state, sessions_[session]) || state->said[session].ack != AckStatus::Pending)
                return {{}, c.version(), {}};
            ++revision_;
            state->said[session] = {c.yes() ? AckStatus::Ack : AckStatus::Nack,
                                    c.reason().substr(0, kReasonMost)};
            state->has[session].insert(c.version());
            go_on(*state);
            return {{}, c.version(), {}};
        }
        case What::kGaveBack: {
            const auto& c = command.gave_back();
            State* state = of(c.name());
            if (!live || !state || state->phase != Phase::Draining || state->next.version != c.version())
                return failed(Error::Unknown, numbered(c.name(), c.version()));
            ++revision_;
            state->to_give.erase(session);
            go_on(*state);
            return {{}, c.version(), {}};
        }
        case What::kHas: {
            const auto& c = command.has();
            State* state = of(c.name());
            if (!live || !state) return failed(Error::Unknown, numbered(c.name(), c.version()));
            const Document* document =
                state->in_force && state->in_force->version == c.version()          ? &*state->in_force
                : state->phase != Phase::None && state->next.version == c.version() ? &state->next
                                                                                    : nullptr;
            if (!document || digest_octets(document->content) != c.digest())
                return failed(Error::NoVersion, numbered(c.name(), c.version()));
            ++revision_;
            state->has[session].insert(c.version());
            return {{}, c.version(), {}};
        }
        case What::kTimeOver: {
            const auto& c = command.time_over();
            for (auto& [name, state] : documents_) {
                if (state.key != c.key() || state.phase == Phase::None ||
                    state.armed_revision != c.revision())
                    continue;
                std::string who;
                for (const auto& [id, s] : sessions_) {
                    bool waits = state.phase == Phase::Draining
                                     ? state.to_give.contains(id)
                                     : asked(state, s) && state.said[id].ack == AckStatus::Pending;
                    if (waits && who.size() < kReasonMost) who += (who.empty() ? "" : ", ") + s.name;
                }
                stop(state, {Error::TimeOver,
                             numbered(name, state.next.version) + (who.empty() ? "" : ": waits for " + who)});
                return {};
            }
            return {};  // something has happened meanwhile
        }
        case What::kWithdraw: {
            const auto& c = command.withdraw();
            State* state = of(c.name());
            if (!state || state->phase == Phase::None || state->next.version != c.version())
                return failed(Error::Unknown, numbered(c.name(), c.version()));
            stop(*state, {Error::Withdrawn,
                          numbered(c.name(), c.version()) + ": by " + c.proposer().substr(0, kNameMost)});
            return {{}, c.version(), {}};
        }
        case What::kAttend: {
            auto found = sessions_.find(session);
            if (found == sessions_.end()) return failed(Error::Unknown, "a session");
            revision_ += !found->second.attends;
            found->second.attends = true;
            return {};
        }
        case What::WHAT_NOT_SET:
            break;
    }
    return failed(Error::Malformed, "a command");
}

// ---- Proposals

ConfigResponse ConfigStateMachine::take(const wire::Propose& c) {
    auto document = config_distribution::read(c.document());
    if (c.document().content().size() > kContentMost)
        return failed(Error::TooLong, c.document().name().substr(0, kNameMost));
    if (!document || c.stage_ms() > std::uint64_t(kStageMost.count()) ||
        c.stage_ms() < std::uint64_t(kStageLeast.count()))
        return failed(Error::Malformed, c.document().name().substr(0, kNameMost));
    return stage(
        {std::move(*document), c.base(), c.token(), !c.no_stops_none(), Duration{double(c.stage_ms())}});
}

ConfigResponse ConfigStateMachine::take(const wire::Back& c) {
    auto found = documents_.find(c.name());
    if (found == documents_.end()) return failed(Error::Unknown, c.name().substr(0, kNameMost));
    const auto& before = found->second.history;
    auto old =
        std::find_if(before.begin(), before.end(), [&](const Document& d) { return d.version == c.to(); });
    if (old == before.end()) return failed(Error::NoVersion, numbered(c.name(), c.to()));
    if (c.stage_ms() > std::uint64_t(kStageMost.count()) ||
        c.stage_ms() < std::uint64_t(kStageLeast.count()) || c.proposer().size() > kNameMost)
        return failed(Error::Malformed, c.name());
    Document next = *old;
    next.proposer = c.proposer(), next.proposed_at_s = c.when(), next.rollback_of = old->version;
    return stage({std::move(next), c.base(), c.token(), true, Duration{double(c.stage_ms())}});
}

std::optional<Failure> ConfigStateMachine::refused(const Proposal& p, const State* state) const {
    const Document& d = p.document;
    if (auto bad = validate(d.content)) return Failure{bad->error, d.name + ": " + bad->about};
    if (!allowed(d.content, d.mode))
        return Failure{
            Error::Mode,
            d.name + ": " + std::string(config_distribution::name(config_distribution::kind(d.content)))};
    if (!state && documents_.size() >= kDocumentsMost) return Failure{Error::Full, d.name};
    if (octets() + encode(d.content).size() > kMaxTotalContentBytes) return Failure{Error::Full, d.name};
    const Document* stands = state && state->in_force ? &*state->in_force : nullptr;
    if (state && state->phase != Phase::None)
        return Failure{Error::Busy, numbered(d.name, state->next.version) + " by " + state->next.proposer};
    if (p.base_version != (stands ? stands->version : 0))
        return Failure{
            Error::BaseMoved,
            d.name + ": made on " + std::to_string(p.base_version) + ", in force is " +
                (stands ? std::to_string(stands->version) + " by " + stands->proposer : std::string("none"))};
    if (d.scope && (!stands || (d.mode == ConsistencyMode::Strict && conflicts(stands->content, d.content))))
        return Failure{Error::Canary, d.name};
    if (!stands) return {};
    if (stands->mode != d.mode)
        return Failure{Error::ModeChanged,
                       d.name + ": " + std::string(config_distribution::name(stands->mode))};
    if (auto bad = check_successor(stands->content, d.content))
        return Failure{bad->error, d.name + ": " + bad->about};
    if (stands->content == d.content && stands->expiry_policy == d.expiry_policy)
        return Failure{Error::Same, numbered(d.name, stands->version)};
    return {};
}

ConfigResponse ConfigStateMachine::stage(Proposal&& p) {
    p.document.content = canonical(std::move(p.document.content));
    auto found = documents_.find(p.document.name);
    if (found != documents_.end() && p.token != 0)
        for (const auto& [token, version] : found->second.tokens)
            if (token == p.token) return {{}, version, {}};  // its answer was lost
    if (auto bad = refused(p, found == documents_.end() ? nullptr : &found->second))
        return {std::move(bad), 0, {}};
    ++revision_;
    State& state = documents_[p.document.name];
    if (state.key == 0) state.key = ++last_key_;
    state.next = std::move(p.document);
    state.next.version = ++state.last_version;
    state.phase = Phase::Staging;
    state.any_nack_aborts = p.any_nack_aborts;
    state.staging_timeout = p.staging_timeout;
    state.armed_revision = revision_;
    state.said.clear();
    state.to_give.clear();
    state.tokens.emplace_back(p.token, state.next.version);
    if (state.tokens.size() > kBeforeMost) state.tokens.pop_front();
    std::uint64_t version = state.next.version;
    go_on(state);
    return {{}, version, {}};
}

bool ConfigStateMachine::asked(const State& state, const Session& session) const {
    const auto& scope = state.next.scope;
    if (!session.attends) return false;
    return !scope || (scope->zone.empty() ? scope->node == session.name : scope->zone == session.zone);
}

void ConfigStateMachine::go_on(State& state) {
    if (state.phase == Phase::Staging) {
        std::size_t yes = 0, no = 0, open = 0;
        std::string why;
        for (const auto& [id, session] : sessions_) {
            if (!asked(state, session)) continue;
            auto said = state.said.find(id);
            AckStatus ack = said == state.said.end() ? AckStatus::Pending : said->second.ack;
            if (ack == AckStatus::Nack && no == 0) why = session.name + ": " + said->second.reason;
            ++(ack == AckStatus::Ack ? yes : ack == AckStatus::Nack ? no : open);
        }
        if (no != 0 && (state.any_nack_aborts || (yes == 0 && open == 0)))
            return stop(state,
                        {Error::NodeRefused, numbered(state.next.name, state.next.version) + ": " + why});
        if (open != 0) return;
        if (state.next.scope) {
            state.phase = Phase::Canary;
            state.armed_revision = ++revision_;
            return;
        }
        if (state.next.mode == ConsistencyMode::Bounded || !state.in_force) return enter(state);
        state.phase = Phase::Draining;
        for (const auto& [id, session] : sessions_)
            if (session.attends) state.to_give.insert(id);
    }
    if (state.phase == Phase::Draining && state.to_give.empty()) enter(state);
}

void ConfigStateMachine::enter(State& state) {
    ++revision_;
    if (state.in_force) state.history.push_front(std::move(*state.in_force));
    if (state.history.size() > kBeforeMost) state.history.pop_back();
    state.in_force = std::move(state.next);
    state.next = {};
    state.phase = Phase::None;
    state.said.clear();
    forget_octets(state);
}

void ConfigStateMachine::stop(State& state, Failure why) {
    ++revision_;
    state.aborted.push_back({state.next.version, std::move(why), state.next.proposer});
    if (state.aborted.size() > kEndedMost) state.aborted.pop_front();
    state.next = {};
    state.phase = Phase::None;
    state.said.clear();
    state.to_give.clear();
    forget_octets(state);
}

/// Who has octets of versions that nobody speaks of any more.
void ConfigStateMachine::forget_octets(State& state) {
    std::uint64_t stands = state.in_force ? state.in_force->version : 0;
    for (auto it = state.has.begin(); it != state.has.end();) {
        std::erase_if(it->second, [&](std::uint64_t version) { return version != stands; });
        it = it->second.empty() ? state.has.erase(it) : std::next(it);
    }
}

std::size_t ConfigStateMachine::octets() const {
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

// ---- Sessions and times

void ConfigStateMachine::session_opened(coordinator::SessionId session, std::string_view name,
                                        std::string_view zone) {
    ++revision_;
    sessions_[session] = {std::string(name.substr(0, kNameMost)), std::string(zone.substr(0, kNameMost)),
                          false};
}

void ConfigStateMachine::session_ended(coordinator::SessionId session) {
    if (sessions_.erase(session) == 0) return;
    ++revision_;
    for (auto& [name, state] : documents_) {
        state.said.erase(session);
        state.to_give.erase(session);
        state.has.erase(session);
        go_on(state);
    }
}

void ConfigStateMachine::timeouts(std::vector<coordinator::Timeout>& armed) const {
    for (const auto& [name, state] : documents_)
        if (state.phase != Phase::None)
            armed.push_back(
                {state.key, state.armed_revision,
                 state.phase == Phase::Canary ? state.next.scope->length : state.staging_timeout});
}

std::string ConfigStateMachine::on_timeout(std::uint64_t key, std::uint64_t revision) const {
    wire::Command out;
    out.mutable_time_over()->set_key(key);
    out.mutable_time_over()->set_revision(revision);
    return out.SerializeAsString();
}

std::string ConfigStateMachine::session_update(coordinator::SessionId id) const {
    auto session = sessions_.find(id);
    if (session == sessions_.end() || !session->second.attends) return {};
    wire::News out;
    out.set_revision(revision_);
    std::size_t room = kNewsMost;
    for (const auto& [name, state] : documents_) {
        auto& to = *out.add_documents();
        to.set_name(name);
        auto put = [&, &all = state.has](const Document& document, wire::Document& into) {
            auto has = all.find(id);
            config_distribution::write(document, has == all.end() || !has->second.contains(document.version),
                                       into);
            if (into.content().size() > room) into.clear_content();
            room -= into.content().size();
        };
        bool asks = state.phase != Phase::None && asked(state, session->second);
        if (state.in_force) put(*state.in_force, *to.mutable_in_force());
        if (!asks) continue;
        put(state.next, *to.mutable_next());
        auto said = state.said.find(id);
        to.set_canary(state.phase == Phase::Canary);
        to.set_draining(state.phase == Phase::Draining);
        to.set_said(said != state.said.end() && said->second.ack != AckStatus::Pending);
        to.set_gave_back(state.phase == Phase::Draining && !state.to_give.contains(id));
    }
    return out.SerializeAsString();
}

ConfigResponse ConfigStateMachine::status(std::string_view one) const {
    ConfigResponse out;
    for (const auto& [name, state] : documents_) {
        if (!one.empty() && name != one) continue;
        DocumentStatus d{name,
                         state.in_force,
                         {},
                         state.phase,
                         {state.history.begin(), state.history.end()},
                         {state.aborted.begin(), state.aborted.end()},
                         {}};
        if (state.phase != Phase::None) d.next = state.next;
        for (const auto& [id, session] : sessions_) {
            if (!session.attends) continue;
            NodeStatus n{session.name, session.zone, 0, AckStatus::Pending, {}, state.to_give.contains(id)};
            if (auto has = state.has.find(id); has != state.has.end() && !has->second.empty())
                n.version = *has->second.rbegin();
            if (auto said = state.said.find(id); said != state.said.end())
                n.ack = said->second.ack, n.reason = said->second.reason;
            d.nodes.push_back(std::move(n));
        }
        out.documents.push_back(std::move(d));
    }
    if (!one.empty() && out.documents.empty())
        return failed(Error::Unknown, std::string(one.substr(0, kNameMost)));
    return out;
}

}  // namespace ochrehub::config_distribution
