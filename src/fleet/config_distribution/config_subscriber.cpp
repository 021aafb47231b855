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
bool is(const std::optional<Document>& document, const wire::Document& told) {
    return document && document->version == told.version() &&
           digest_octets(document->content) == told.digest();
}

}  // namespace

std::string_view name(ConfigMode mode) {
    constexpr std::string_view kNames[] = {"nothing", "version", "between", "keep", "caution", "refuse"};
    return kNames[std::size_t(mode)];
}

Holder::Holder(const HolderSettings& settings, std::vector<Document> kept, TimePoint now, Actions& actions)
    : set_(settings), patient_until_(now + settings.patience) {
    for (Document& document : kept) {
        std::string name = document.name;
        Held& held = documents_[name];
        held.in_force = std::move(document);
        settle(now, name, held, actions);
    }
    wake(now, actions);
}

void Holder::handle(TimePoint now, const Event& event, Actions& actions) {
    // The clock first: whatever has come, the permit may have ended while it waited.
    lapse(now, actions);
    if (const auto* renewed = std::get_if<Renewed>(&event)) {
        take(now, *renewed, actions);
    } else if (std::holds_alternative<Lost>(event)) {
        least_ = session_ + 1;
        until_ = std::min(until_, now);
        lapse(now, actions);
    } else if (const auto* verdict = std::get_if<Verdict>(&event)) {
        auto found = documents_.find(verdict->document);
        if (found != documents_.end()) {
            Held& held = found->second;
            auto asked = held.verdicts.find(verdict->version);
            if (asked != held.verdicts.end()) {
                asked->second = verdict->yes;
                held.reasons[verdict->version] = verdict->reason;
                settle(now, found->first, held, actions);
            }
        }
    } else if (std::holds_alternative<Woken>(event)) {
        for (auto& [name, held] : documents_)
            if (held.canary && held.permit.now.version == held.canary_version)
                settle(now, name, held, actions);
    } else if (const auto* switched = std::get_if<Switched>(&event)) {
        for (auto& [name, held] : documents_) {
            if (held.serial != switched->serial) continue;
            held.switched = switched->serial;
            if (this->held(now)) say(name, held, actions);
        }
    }
    wake(now, actions);
}

void Holder::lapse(TimePoint now, Actions& actions) {
    bool over = session_ != 0 && now >= until_, impatient = patient_ && now >= patient_until_;
    if (over) ++lapses_, session_ = 0;
    if (impatient) patient_ = false;
    if (!over && !impatient) return;
    for (auto& [name, held] : documents_) {
        if (over) held.told = false;
        settle(now, name, held, actions);
    }
}

void Holder::take(TimePoint now, const Renewed& renewed, Actions& actions) {
    if (renewed.news.empty() && renewed.session >= least_) {
        // The keepers don't know yet that this session acts on documents.
        actions.push_back(Say{subscribe_command()});
        return;
    }
    wire::News in;
    bool sound = in.ParseFromArray(renewed.news.data(), int(renewed.news.size()));
    // What brings no news, or old ones, proves nothing about what is in force: it does not lengthen the
    // permit either.
    if (!sound || renewed.session < least_ || renewed.until <= now || in.revision() < revision_) {
        ++refused_news_;
        return;
    }
    if (renewed.session > least_) least_ = renewed.session;
    if (session_ != renewed.session) {
        session_ = renewed.session;
        until_ = renewed.until;
    }
    until_ = std::max(until_, renewed.until);
    revision_ = in.revision();
    bool changed = false;
    for (auto& [name, held] : documents_) {
        held.told = held.draining = held.canary = held.said = held.gave_back = false;
        held.next_version = 0;
    }
    for (const auto& news : in.documents()) {
        if (!is_valid_name(news.name()) ||
            (documents_.size() >= kDocumentsMost && !documents_.contains(news.name())))
            continue;
        take(news.name(), news, actions, changed);
    }
    for (auto& [name, held] : documents_) {
        settle(now, name, held, actions);
    }
    actions.push_back(Extend{until_});
    if (changed) write(actions);
}

void Holder::take(const std::string& name, const wire::DocumentNews& news, Actions& actions, bool& changed) {
    Held& held = documents_[name];
    if (news.has_in_force()) {
        const wire::Document& told = news.in_force();
        std::optional<Document> document;
        if (!told.content().empty())
            document = read(told);
        else if (is(held.in_force, told))
            document = held.in_force;
        else if (is(held.next, told))
            document = held.next;
        // What cannot be read here is in force all the same: whatever older one is known must not be acted
        // on.
        if (document && document->name == name) {
            if (!told.content().empty())
                actions.push_back(Say{has(name, document->version, document->content)});
            changed |= !held.in_force || held.in_force->version != document->version;
            held.in_force = std::move(document);
            held.told = true;
        }
    } else {
        held.told = !held.in_force;
    }
    std::optional<Document> next;
    if (news.has_next()) {
        held.next_version = news.next().version();
        next = news.next().content().empty() ? (is(held.next, news.next()) ? held.next : std::nullopt)
                                             : read(news.next());
        held.canary = news.canary(), held.draining = news.draining(), held.said = news.said(),
        held.gave_back = news.gave_back();
        if (!next && !news.next().content().empty()) {
            // Not to be read by this release: that is a no.
            if (!held.said && !held.draining && !held.canary)
                actions.push_back(
                    Say{said(name, news.next().version(), false, "cannot be read by this release")});
            held.said = true;
        }
    }
    held.next = std::move(next);
    auto spoken_of = [&](std::uint64_t version) {
        return (held.in_force && held.in_force->version == version) ||
               (held.next && held.next->version == version);
    };
    std::erase_if(held.verdicts, [&](const auto& v) { return !spoken_of(v.first); });
    std::erase_if(held.reasons, [&](const auto& r) { return !spoken_of(r.first); });
    for (const auto* document : {&held.in_force, &held.next}) {
        if (!*document || held.verdicts.contains((*document)->version)) continue;
        held.verdicts[(*document)->version];
        actions.push_back(Check{**document});
    }
}

void Holder::settle(TimePoint now, const std::string& name, Held& held, Actions& actions) {
    auto taken = [&](const std::optional<Document>& document) {
        auto verdict = document ? held.verdicts.find(document->version) : held.verdicts.end();
        return verdict != held.verdicts.end() && verdict->second.value_or(false);
    };
    bool permitted = this->held(now) && held.told && taken(held.in_force);
    // The keepers count a canary's end anew with each leader; a process holds it for its length at most.
    bool canary = permitted && held.canary && taken(held.next);
    if (canary && held.canary_version != held.next->version)
        held.canary_version = held.next->version, held.canary_ends = now + held.next->scope->length;
    canary &= now < held.canary_ends;
    const std::optional<Document>& document = canary ? held.next : held.in_force;
    // What a version is never changes: where the same is acted on in the same way, nothing is to be handed
    // out anew.
    ConfigMode mode = !permitted      ? without(held)
                      : held.draining ? ConfigMode::Transitional
                                      : ConfigMode::Full;
    std::uint64_t version = document ? document->version : 0,
                  beside = mode == ConfigMode::Transitional ? held.next_version : 0;
    if (held.serial == 0
            ? mode == ConfigMode::None
            : held.permit.now.mode == mode && held.permit.now.version == version && held.beside == beside) {
        if (permitted) held.permit.until = until_;
    } else {
        EffectiveConfig acted{mode, version, {}};
        bool part = held.permit.now.mode == ConfigMode::Transitional && mode == ConfigMode::KeepCurrent;
        if (mode == ConfigMode::Transitional && held.next)
            acted.content = shared(intersection(held.in_force->content, held.next->content));
        else if (part)
            acted.content = held.permit.now.content;
        else if (mode != ConfigMode::None)
            acted.content = whole(*document, mode);
        held.beside = beside;
        apply(name, held, std::move(acted), canary ? held.canary_ends : TimePoint::max(), actions);
    }
    if (this->held(now)) say(name, held, actions);
}

/// How to act without a permit. Whoever has a session and no word on a document must not go on with what
/// others may have left.
ConfigMode Holder::without(const Held& held) const {
    if (!held.in_force) return ConfigMode::None;
    switch (held.in_force->expiry_policy) {
        case ExpiryPolicy::KeepCurrent:
            return session_ == 0 && !patient_ ? ConfigMode::KeepCurrent : ConfigMode::Conservative;
        case ExpiryPolicy::Conservative:
            return ConfigMode::Conservative;
        case ExpiryPolicy::DenyAll:
            break;
    }
    return ConfigMode::DenyAll;
}

std::shared_ptr<const Content> Holder::whole(const Document& document, ConfigMode mode) {
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

void Holder::apply(const std::string& name, Held& held, EffectiveConfig acted, TimePoint most,
                   Actions& actions) {
    Permit permit;
    permit.now = permit.then = acted;
    permit.until = until_, permit.most = most;
    if (acted.mode == ConfigMode::Full || acted.mode == ConfigMode::Transitional) {
        const Document& d = *held.in_force;
        ConfigMode then = d.expiry_policy == ExpiryPolicy::DenyAll ? ConfigMode::DenyAll
                          : d.expiry_policy == ExpiryPolicy::KeepCurrent && !patient_
                              ? ConfigMode::KeepCurrent
                              : ConfigMode::Conservative;
        // A canary is kept by nobody beyond its end.
        permit.then = {
            then, d.version,
            then == ConfigMode::KeepCurrent && acted.version == d.version ? acted.content : whole(d, then)};
    }
    held.permit = permit;
    held.serial = ++serial_;
    actions.push_back(Apply{name, held.serial, std::move(permit)});
}

void Holder::say(const std::string& name, Held& held, Actions& actions) {
    if (held.next && !held.draining && !held.canary && !held.said) {
        auto verdict = held.verdicts.find(held.next->version);
        if (verdict != held.verdicts.end() && verdict->second)
            actions.push_back(
                Say{said(name, held.next->version, *verdict->second, held.reasons[held.next->version])});
    }
    bool old = held.permit.now.mode == ConfigMode::Full || held.permit.now.mode == ConfigMode::KeepCurrent;
    if (held.draining && !held.gave_back && !old && held.switched == held.serial)
        actions.push_back(Say{release_command(name, held.next_version)});
}

void Holder::write(Actions& actions) const {
    std::vector<Document> all;
    for (const auto& [name, held] : documents_)
        if (held.in_force) all.push_back(*held.in_force);
    actions.push_back(Write{file_octets(all)});
}

void Holder::wake(TimePoint now, Actions& actions) const {
    TimePoint at = held(now) ? until_ : patient_ ? patient_until_ : TimePoint::max();
    if (held(now))
        for (const auto& [name, held] : documents_)
            if (held.canary && held.canary_ends > now) at = std::min(at, held.canary_ends);
    if (at != TimePoint::max()) actions.push_back(WakeAt{at});
}

std::vector<Holder::Status> Holder::status(TimePoint now) const {
    std::vector<Status> out;
    for (const auto& [name, held] : documents_) {
        const EffectiveConfig& acted = held.permit.at(now);
        out.push_back({name, held.in_force ? held.in_force->version : 0, acted.mode, acted.version});
    }
    return out;
}

}  // namespace ochrehub::config_distribution
