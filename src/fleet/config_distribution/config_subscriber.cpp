#include "fleet/config_distribution/config_subscriber.h"

#include <algorithm>
#include <utility>

#include "fleet/config_distribution/config_state_machine.h"
#include "fleet/config_distribution/document_file.h"
#include "fleet/config_distribution/wire_codec.h"

namespace ochrehub::config_distribution {
namespace {

std::shared_ptr<const Content> shared(Content content) {
    return std::make_shared<const Content>(std::move(content));
}
bool matches(const std::optional<Document>& document, const wire::Document& announced) {
    return document && document->version == announced.version() &&
           content_digest(document->content) == announced.digest();
}

}  // namespace

std::string_view name(ConfigMode mode) {
    constexpr std::string_view kNames[] = {"nothing", "version", "between", "keep", "caution", "refuse"};
    return kNames[std::size_t(mode)];
}

ConfigSubscriber::ConfigSubscriber(const ConfigSubscriberSettings& settings, std::vector<Document> stored,
                                   TimePoint now, Actions& actions)
    : settings_(settings), startup_ends_at_(now + settings.conservative_startup) {
    for (Document& document : stored) {
        std::string name = document.name;
        DocumentState& state = documents_[name];
        state.in_force = std::move(document);
        update_config(now, name, state, actions);
    }
    set_timer(now, actions);
}

void ConfigSubscriber::handle(TimePoint now, const Event& event, Actions& actions) {
    // The clock is checked first: the lease may have expired while the event was queued.
    expire_lease(now, actions);
    if (const auto* renewed = std::get_if<LeaseRenewed>(&event)) {
        handle_renewal(now, *renewed, actions);
    } else if (std::holds_alternative<SessionLost>(event)) {
        min_session_ = session_ + 1;
        expires_at_ = std::min(expires_at_, now);
        expire_lease(now, actions);
    } else if (const auto* result = std::get_if<CheckCompleted>(&event)) {
        auto found = documents_.find(result->document);
        if (found != documents_.end()) {
            DocumentState& state = found->second;
            auto pending = state.check_results.find(result->version);
            if (pending != state.check_results.end()) {
                pending->second = result->accepted;
                state.nack_reasons[result->version] = result->reason;
                update_config(now, found->first, state, actions);
            }
        }
    } else if (std::holds_alternative<TimerFired>(event)) {
        for (auto& [name, state] : documents_)
            if (state.canary && state.lease.current.version == state.canary_version)
                update_config(now, name, state, actions);
    } else if (const auto* applied = std::get_if<ConfigApplied>(&event)) {
        for (auto& [name, state] : documents_) {
            if (state.serial != applied->serial) continue;
            state.applied_serial = applied->serial;
            if (has_session(now)) send_commands(name, state, actions);
        }
    }
    set_timer(now, actions);
}

void ConfigSubscriber::expire_lease(TimePoint now, Actions& actions) {
    bool expired = session_ != 0 && now >= expires_at_,
         startup_ended = in_startup_ && now >= startup_ends_at_;
    if (expired) ++lease_expirations_, session_ = 0;
    if (startup_ended) in_startup_ = false;
    if (!expired && !startup_ended) return;
    for (auto& [name, state] : documents_) {
        if (expired) state.confirmed = false;
        update_config(now, name, state, actions);
    }
}

void ConfigSubscriber::handle_renewal(TimePoint now, const LeaseRenewed& renewed, Actions& actions) {
    if (renewed.update.empty() && renewed.session >= min_session_) {
        // The coordinators don't know yet that this session subscribes to documents.
        actions.push_back(SendCommand{subscribe_command()});
        return;
    }
    wire::News received;
    bool parsed = received.ParseFromArray(renewed.update.data(), int(renewed.update.size()));
    // A malformed or stale update proves nothing about what is in force, so it does not extend the lease.
    if (!parsed || renewed.session < min_session_ || renewed.expires_at <= now ||
        received.revision() < revision_) {
        ++rejected_updates_;
        return;
    }
    if (renewed.session > min_session_) min_session_ = renewed.session;
    if (session_ != renewed.session) {
        session_ = renewed.session;
        expires_at_ = renewed.expires_at;
    }
    expires_at_ = std::max(expires_at_, renewed.expires_at);
    revision_ = received.revision();
    bool changed = false;
    for (auto& [name, state] : documents_) {
        state.confirmed = state.draining = state.canary = state.acked = state.released = false;
        state.next_version = 0;
    }
    for (const auto& news : received.documents()) {
        if (!is_valid_name(news.name()) ||
            (documents_.size() >= kMaxDocuments && !documents_.contains(news.name())))
            continue;
        update_document(news.name(), news, actions, changed);
    }
    for (auto& [name, state] : documents_) {
        update_config(now, name, state, actions);
    }
    actions.push_back(ExtendLeases{expires_at_});
    if (changed) write_file(actions);
}

void ConfigSubscriber::update_document(const std::string& name, const wire::DocumentNews& news,
                                       Actions& actions, bool& changed) {
    DocumentState& state = documents_[name];
    if (news.has_in_force()) {
        const wire::Document& announced = news.in_force();
        std::optional<Document> document;
        if (!announced.content().empty())
            document = from_wire(announced);
        else if (matches(state.in_force, announced))
            document = state.in_force;
        else if (matches(state.next, announced))
            document = state.next;
        // A version that cannot be decoded here is in force all the same: an older known version must not be
        // used.
        if (document && document->name == name) {
            if (!announced.content().empty())
                actions.push_back(
                    SendCommand{content_received_command(name, document->version, document->content)});
            changed |= !state.in_force || state.in_force->version != document->version;
            state.in_force = std::move(document);
            state.confirmed = true;
        }
    } else {
        state.confirmed = !state.in_force;
    }
    std::optional<Document> next;
    if (news.has_next()) {
        state.next_version = news.next().version();
        next = news.next().content().empty() ? (matches(state.next, news.next()) ? state.next : std::nullopt)
                                             : from_wire(news.next());
        state.canary = news.canary(), state.draining = news.draining(), state.acked = news.said(),
        state.released = news.gave_back();
        if (!next && !news.next().content().empty()) {
            // A version that this release cannot decode is rejected.
            if (!state.acked && !state.draining && !state.canary)
                actions.push_back(SendCommand{
                    ack_command(name, news.next().version(), false, "cannot be read by this release")});
            state.acked = true;
        }
    }
    state.next = std::move(next);
    auto is_current = [&](std::uint64_t version) {
        return (state.in_force && state.in_force->version == version) ||
               (state.next && state.next->version == version);
    };
    std::erase_if(state.check_results, [&](const auto& v) { return !is_current(v.first); });
    std::erase_if(state.nack_reasons, [&](const auto& r) { return !is_current(r.first); });
    for (const auto* document : {&state.in_force, &state.next}) {
        if (!*document || state.check_results.contains((*document)->version)) continue;
        state.check_results[(*document)->version];
        actions.push_back(CheckDocument{**document});
    }
}

void ConfigSubscriber::update_config(TimePoint now, const std::string& name, DocumentState& state,
                                     Actions& actions) {
    auto is_accepted = [&](const std::optional<Document>& document) {
        auto result = document ? state.check_results.find(document->version) : state.check_results.end();
        return result != state.check_results.end() && result->second.value_or(false);
    };
    bool permitted = has_session(now) && state.confirmed && is_accepted(state.in_force);
    // Each new leader restarts the timeout of a canary; a node therefore limits it to its duration by its own
    // clock.
    bool canary = permitted && state.canary && is_accepted(state.next);
    if (canary && state.canary_version != state.next->version)
        state.canary_version = state.next->version,
        state.canary_ends_at = now + state.next->canary_scope->duration;
    canary &= now < state.canary_ends_at;
    const std::optional<Document>& document = canary ? state.next : state.in_force;
    // The content of a version never changes: with the same version and mode, no new lease is needed.
    ConfigMode mode = !permitted       ? mode_without_lease(state)
                      : state.draining ? ConfigMode::Transitional
                                       : ConfigMode::Full;
    std::uint64_t version = document ? document->version : 0,
                  transition_to = mode == ConfigMode::Transitional ? state.next_version : 0;
    if (state.serial == 0 ? mode == ConfigMode::None
                          : state.lease.current.mode == mode && state.lease.current.version == version &&
                                state.transition_to == transition_to) {
        if (permitted) state.lease.expires_at = expires_at_;
    } else {
        EffectiveConfig effective{mode, version, {}};
        bool keeps_transitional =
            state.lease.current.mode == ConfigMode::Transitional && mode == ConfigMode::KeepCurrent;
        if (mode == ConfigMode::Transitional && state.next)
            effective.content = shared(intersection(state.in_force->content, state.next->content));
        else if (keeps_transitional)
            effective.content = state.lease.current.content;
        else if (mode != ConfigMode::None)
            effective.content = content_for(*document, mode);
        state.transition_to = transition_to;
        apply_config(name, state, std::move(effective), canary ? state.canary_ends_at : TimePoint::max(),
                     actions);
    }
    if (has_session(now)) send_commands(name, state, actions);
}

/// The mode without a lease. A node that has a session without confirmation of a document must not keep a
/// version that others may have released.
ConfigMode ConfigSubscriber::mode_without_lease(const DocumentState& state) const {
    if (!state.in_force) return ConfigMode::None;
    switch (state.in_force->expiry_policy) {
        case ExpiryPolicy::KeepCurrent:
            return session_ == 0 && !in_startup_ ? ConfigMode::KeepCurrent : ConfigMode::Conservative;
        case ExpiryPolicy::Conservative:
            return ConfigMode::Conservative;
        case ExpiryPolicy::DenyAll:
            break;
    }
    return ConfigMode::DenyAll;
}

std::shared_ptr<const Content> ConfigSubscriber::content_for(const Document& document, ConfigMode mode) {
    switch (mode) {
        case ConfigMode::Full:
        case ConfigMode::KeepCurrent:
            return shared(document.content);
        case ConfigMode::DenyAll:
            return shared(deny_all(document.content));
        default:
            return shared(conservative_subset(document.content));
    }
}

void ConfigSubscriber::apply_config(const std::string& name, DocumentState& state, EffectiveConfig effective,
                                    TimePoint canary_ends_at, Actions& actions) {
    ConfigLease lease;
    lease.current = lease.after_expiry = effective;
    lease.expires_at = expires_at_, lease.canary_ends_at = canary_ends_at;
    if (effective.mode == ConfigMode::Full || effective.mode == ConfigMode::Transitional) {
        const Document& d = *state.in_force;
        ConfigMode expired_mode = d.expiry_policy == ExpiryPolicy::DenyAll ? ConfigMode::DenyAll
                                  : d.expiry_policy == ExpiryPolicy::KeepCurrent && !in_startup_
                                      ? ConfigMode::KeepCurrent
                                      : ConfigMode::Conservative;
        // No node keeps a canary beyond its end.
        lease.after_expiry = {expired_mode, d.version,
                              expired_mode == ConfigMode::KeepCurrent && effective.version == d.version
                                  ? effective.content
                                  : content_for(d, expired_mode)};
    }
    state.lease = lease;
    state.serial = ++serial_;
    actions.push_back(ApplyConfig{name, state.serial, std::move(lease)});
}

void ConfigSubscriber::send_commands(const std::string& name, DocumentState& state, Actions& actions) {
    if (state.next && !state.draining && !state.canary && !state.acked) {
        auto result = state.check_results.find(state.next->version);
        if (result != state.check_results.end() && result->second)
            actions.push_back(SendCommand{ack_command(name, state.next->version, *result->second,
                                                      state.nack_reasons[state.next->version])});
    }
    bool uses_old_version =
        state.lease.current.mode == ConfigMode::Full || state.lease.current.mode == ConfigMode::KeepCurrent;
    if (state.draining && !state.released && !uses_old_version && state.applied_serial == state.serial)
        actions.push_back(SendCommand{release_command(name, state.next_version)});
}

void ConfigSubscriber::write_file(Actions& actions) const {
    std::vector<Document> all;
    for (const auto& [name, state] : documents_)
        if (state.in_force) all.push_back(*state.in_force);
    actions.push_back(WriteFile{encode_file(all)});
}

void ConfigSubscriber::set_timer(TimePoint now, Actions& actions) const {
    TimePoint at = has_session(now) ? expires_at_ : in_startup_ ? startup_ends_at_ : TimePoint::max();
    if (has_session(now))
        for (const auto& [name, state] : documents_)
            if (state.canary && state.canary_ends_at > now) at = std::min(at, state.canary_ends_at);
    if (at != TimePoint::max()) actions.push_back(SetTimer{at});
}

std::vector<ConfigSubscriber::Status> ConfigSubscriber::status(TimePoint now) const {
    std::vector<Status> out;
    for (const auto& [name, state] : documents_) {
        const EffectiveConfig& effective = state.lease.at(now);
        out.push_back(
            {name, state.in_force ? state.in_force->version : 0, effective.mode, effective.version});
    }
    return out;
}

}  // namespace ochrehub::config_distribution
