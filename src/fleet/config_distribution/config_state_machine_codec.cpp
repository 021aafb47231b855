// Encodes the state machine's commands, responses and snapshots.
#include <algorithm>
#include <utility>

#include "fleet/config_distribution/config_state_machine.h"
#include "fleet/config_distribution/wire_codec.h"

namespace ochrehub::config_distribution {

// Commands and responses

std::string propose_command(const Proposal& p) {
    wire::Command out;
    auto& c = *out.mutable_propose();
    to_wire(p.document, true, *c.mutable_document());
    c.set_base(p.base_version), c.set_token(p.token), c.set_no_stops_none(!p.any_nack_aborts),
        c.set_stage_ms(std::uint64_t(p.staging_timeout.count()));
    return out.SerializeAsString();
}
std::string rollback_command(std::string_view name, std::uint64_t to, const Proposal& as) {
    wire::Command out;
    auto& c = *out.mutable_back();
    c.set_name(std::string(name)), c.set_to(to), c.set_base(as.base_version), c.set_token(as.token),
        c.set_proposer(as.document.proposer);
    c.set_when(as.document.proposed_at_s), c.set_stage_ms(std::uint64_t(as.staging_timeout.count()));
    return out.SerializeAsString();
}
std::string ack_command(std::string_view name, std::uint64_t version, bool acked, std::string_view reason) {
    wire::Command out;
    auto& c = *out.mutable_said();
    c.set_name(std::string(name)), c.set_version(version), c.set_yes(acked),
        c.set_reason(std::string(reason.substr(0, kMaxReasonBytes)));
    return out.SerializeAsString();
}
std::string release_command(std::string_view name, std::uint64_t next) {
    wire::Command out;
    out.mutable_gave_back()->set_name(std::string(name));
    out.mutable_gave_back()->set_version(next);
    return out.SerializeAsString();
}
std::string content_received_command(std::string_view name, std::uint64_t version, const Content& content) {
    wire::Command out;
    auto& c = *out.mutable_has();
    c.set_name(std::string(name)), c.set_version(version), c.set_digest(content_digest(content));
    return out.SerializeAsString();
}
std::string withdraw_command(std::string_view name, std::uint64_t version, std::string_view by) {
    wire::Command out;
    auto& c = *out.mutable_withdraw();
    c.set_name(std::string(name)), c.set_version(version), c.set_proposer(std::string(by));
    return out.SerializeAsString();
}
std::string subscribe_command() {
    wire::Command out;
    out.mutable_attend();
    return out.SerializeAsString();
}
std::string status_query(std::string_view name) {
    wire::Question out;
    out.set_name(std::string(name));
    return out.SerializeAsString();
}

std::optional<ConfigResponse> decode_response(std::string_view bytes) {
    wire::Answer in;
    if (!in.ParseFromArray(bytes.data(), int(bytes.size())) || in.error() > kErrorCount) return {};
    ConfigResponse out;
    out.version = in.version();
    if (in.error() != 0) out.failure = Failure{Error(in.error() - 1), in.about()};
    for (const auto& d : in.status().documents()) {
        DocumentStatus to{d.name(), {}, {}, Phase(d.phase()), {}, {}, {}};
        if (d.phase() > std::uint32_t(Phase::Canary)) return {};
        if (d.has_in_force() && !(to.in_force = from_wire(d.in_force(), true))) return {};
        if (d.has_next() && !(to.next = from_wire(d.next(), true))) return {};
        for (const auto& b : d.before()) {
            auto document = from_wire(b, true);
            if (!document) return {};
            to.history.push_back(std::move(*document));
        }
        for (const auto& e : d.ended()) {
            if (e.error() >= kErrorCount) return {};
            to.aborted.push_back({e.version(), {Error(e.error()), e.about()}, e.proposer()});
        }
        for (const auto& n : d.nodes()) {
            if (n.word() > std::uint32_t(AckStatus::Nack)) return {};
            to.nodes.push_back(
                {n.name(), n.zone(), n.version(), AckStatus(n.word()), n.reason(), n.holds_up()});
        }
        out.documents.push_back(std::move(to));
    }
    return out;
}

// Snapshots

void ConfigStateMachine::encode_state(const std::string& name, const DocumentState& s,
                                      wire::DocumentState& to) const {
    to.set_name(name), to.set_key(s.key), to.set_last_version(s.last_version),
        to.set_phase(std::uint32_t(s.phase));
    if (s.in_force) to_wire(*s.in_force, true, *to.mutable_in_force());
    for (const Document& d : s.history) to_wire(d, true, *to.add_before());
    if (s.phase != Phase::None) to_wire(s.next, true, *to.mutable_next());
    to.set_no_stops_none(!s.any_nack_aborts), to.set_stage_ms(std::uint64_t(s.staging_timeout.count())),
        to.set_armed_revision(s.armed_revision);
    for (const auto& [id, said] : s.acks) {
        auto& one = *to.add_said();
        one.set_session(id), one.set_word(std::uint32_t(said.ack)), one.set_reason(said.reason);
    }
    for (coordinator::SessionId id : s.awaiting_release) to.add_to_give(id);
    for (const auto& [id, versions] : s.received) {
        auto& one = *to.add_has();
        one.set_session(id);
        for (std::uint64_t version : versions) one.add_versions(version);
    }
    for (const AbortedVersion& e : s.aborted) {
        auto& one = *to.add_ended();
        one.set_version(e.version), one.set_error(std::uint32_t(e.failure.error)),
            one.set_about(e.failure.about), one.set_proposer(e.proposer);
    }
    for (const auto& [token, version] : s.tokens) {
        auto& one = *to.add_tokens();
        one.set_token(token), one.set_version(version);
    }
}

bool ConfigStateMachine::decode_state(const wire::DocumentState& from, DocumentState& s) {
    s.key = from.key(), s.last_version = from.last_version(), s.phase = Phase(from.phase());
    if (from.phase() > std::uint32_t(Phase::Canary) || from.has_next() != (s.phase != Phase::None))
        return false;
    if (from.has_in_force() && !(s.in_force = from_wire(from.in_force()))) return false;
    for (const auto& b : from.before()) {
        auto document = from_wire(b);
        if (!document) return false;
        s.history.push_back(std::move(*document));
    }
    if (from.has_next()) {
        auto next = from_wire(from.next());
        if (!next || (s.phase == Phase::Canary) > next->canary_scope.has_value()) return false;
        s.next = std::move(*next);
    }
    s.any_nack_aborts = !from.no_stops_none(), s.staging_timeout = Duration{double(from.stage_ms())},
    s.armed_revision = from.armed_revision();
    for (const auto& one : from.said()) {
        if (one.word() > std::uint32_t(AckStatus::Nack)) return false;
        s.acks[one.session()] = {AckStatus(one.word()), one.reason()};
    }
    s.awaiting_release = {from.to_give().begin(), from.to_give().end()};
    for (const auto& one : from.has())
        s.received[one.session()] = {one.versions().begin(), one.versions().end()};
    for (const auto& e : from.ended()) {
        if (e.error() >= kErrorCount) return false;
        s.aborted.push_back({e.version(), {Error(e.error()), e.about()}, e.proposer()});
    }
    for (const auto& t : from.tokens()) s.tokens.emplace_back(t.token(), t.version());
    return true;
}

std::string ConfigStateMachine::snapshot() const {
    wire::State out;
    out.set_revision(revision_), out.set_last_key(last_key_);
    for (const auto& [name, state] : documents_) encode_state(name, state, *out.add_documents());
    for (const auto& [id, session] : sessions_) {
        auto& one = *out.add_sessions();
        one.set_id(id), one.set_name(session.name), one.set_zone(session.zone),
            one.set_attends(session.subscribed);
    }
    return out.SerializeAsString();
}

bool ConfigStateMachine::restore(std::uint32_t schema, std::string_view bytes) {
    wire::State in;
    if (schema != 1 || !in.ParseFromArray(bytes.data(), int(bytes.size()))) return false;
    DocumentStates documents;
    for (const auto& d : in.documents())
        if (!decode_state(d, documents[d.name()])) return false;
    documents_ = std::move(documents);
    sessions_.clear();
    for (const auto& s : in.sessions()) sessions_[s.id()] = {s.name(), s.zone(), s.attends()};
    revision_ = in.revision(), last_key_ = in.last_key();
    return true;
}

}  // namespace ochrehub::config_distribution
