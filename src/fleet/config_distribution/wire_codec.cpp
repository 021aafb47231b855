#include "fleet/config_distribution/wire_codec.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ochrehub::config_distribution {
namespace {

void encode_fields(const Limits& c, wire::Content& out) {
    out.set_budget(c.budget);
    for (const Limit& l : c.limits) {
        auto& o = *out.add_limits();
        o.set_name(l.name), o.set_rate(l.rate), o.set_burst(l.burst), o.set_floor(l.floor);
    }
}
void encode_fields(const Classes& c, wire::Content& out) {
    for (const ClassRule& r : c.classes) {
        auto& o = *out.add_classes();
        o.set_name(r.name), o.set_repeat(std::uint32_t(r.retry)), o.set_attempts(r.max_attempts);
    }
}
void encode_fields(const Headers& c, wire::Content& out) {
    for (const HeaderRule& r : c.rules) {
        auto& o = *out.add_headers();
        o.set_act(std::uint32_t(r.action)), o.set_name(r.name), o.set_value(r.value);
    }
}
void encode_fields(const Partners& c, wire::Content& out) {
    for (const Partner& p : c.partners) {
        auto& o = *out.add_partners();
        o.set_name(p.name), o.set_standing(std::uint32_t(p.status));
        for (const std::string& key : p.keys) o.add_keys(key);
    }
}
void encode_fields(const Servers& c, wire::Content& out) {
    out.set_source(std::uint32_t(c.source)), out.set_revision(c.revision);
    for (const Server& s : c.servers) {
        auto& o = *out.add_servers();
        o.set_name(s.name), o.set_use(std::uint32_t(s.use)), o.set_zone(s.zone);
    }
}

/// False if the number is no value of the enum.
template <class Enum>
bool to_enum(std::uint32_t number, Enum max_value, Enum& into) {
    into = Enum(number);
    return number <= std::uint32_t(max_value);
}

std::optional<Content> decode_fields(const wire::Content& in) {
    switch (Kind(in.kind() > 255 ? 0 : in.kind())) {
        case Kind::Limits: {
            Limits c{in.budget(), {}};
            for (const auto& l : in.limits()) c.limits.push_back({l.name(), l.rate(), l.burst(), l.floor()});
            return c;
        }
        case Kind::Classes: {
            Classes c;
            for (const auto& r : in.classes()) {
                c.classes.push_back({r.name(), {}, r.attempts()});
                if (!to_enum(r.repeat(), RetryRule::Forbidden, c.classes.back().retry)) return {};
            }
            return c;
        }
        case Kind::Headers: {
            Headers c;
            for (const auto& r : in.headers()) {
                c.rules.push_back({{}, r.name(), r.value()});
                if (!to_enum(r.act(), HeaderAction::Remove, c.rules.back().action)) return {};
            }
            return c;
        }
        case Kind::Partners: {
            Partners c;
            for (const auto& p : in.partners()) {
                c.partners.push_back({p.name(), {}, {p.keys().begin(), p.keys().end()}});
                if (!to_enum(p.standing(), PartnerStatus::Closed, c.partners.back().status)) return {};
            }
            return c;
        }
        case Kind::Servers: {
            Servers c;
            c.revision = in.revision();
            if (!to_enum(in.source(), ListSource::Discovery, c.source)) return {};
            for (const auto& s : in.servers()) {
                c.servers.push_back({s.name(), {}, s.zone()});
                if (!to_enum(s.use(), ServerUse::LastResort, c.servers.back().use)) return {};
            }
            return c;
        }
    }
    return {};
}

}  // namespace

std::string encode(const Content& content) {
    wire::Content out;
    out.set_kind(std::uint32_t(kind(content)));
    std::visit([&](const auto& c) { encode_fields(c, out); }, canonical(content));
    return out.SerializeAsString();
}

std::optional<Content> decode(std::string_view bytes) {
    wire::Content in;
    if (bytes.size() > kMaxContentBytes || !in.ParseFromArray(bytes.data(), int(bytes.size()))) return {};
    auto content = decode_fields(in);
    // Rejects fields of a later release, which would be dropped silently.
    if (!content || encode(*content) != bytes) return {};
    return content;
}

Digest digest(std::string_view bytes) {
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(bytes.data(), bytes.size()));
    Digest out;
    std::copy(std::begin(canonical.digest), std::end(canonical.digest), out.begin());
    return out;
}

std::string content_digest(const Content& content) {
    Digest d = digest(encode(content));
    return {d.begin(), d.end()};
}

void to_wire(const Document& d, bool with_content, wire::Document& into) {
    std::string bytes = encode(d.content);
    Digest sum = digest(bytes);
    into.set_name(d.name), into.set_version(d.version);
    into.set_digest(std::string(sum.begin(), sum.end()));
    if (with_content) into.set_content(std::move(bytes));
    into.set_mode(std::uint32_t(d.mode)), into.set_choice(std::uint32_t(d.expiry_policy));
    into.set_proposer(d.proposer), into.set_when(d.proposed_at_s), into.set_of(d.rollback_of);
    if (d.canary_scope)
        into.set_zone(d.canary_scope->zone), into.set_node(d.canary_scope->node),
            into.set_canary_ms(std::uint64_t(d.canary_scope->duration.count()));
}

std::optional<Document> from_wire(const wire::Document& from, bool empty_content) {
    Document out{from.name(), from.version(), {}, {}, {}, from.proposer(), from.when(), {}, from.of()};
    if (!is_valid_name(out.name) || out.proposer.size() > kMaxNameBytes ||
        !to_enum(from.mode(), ConsistencyMode::Bounded, out.mode) ||
        !to_enum(from.choice(), ExpiryPolicy::DenyAll, out.expiry_policy))
        return {};
    if (from.canary_ms() != 0 || !from.zone().empty() || !from.node().empty()) {
        out.canary_scope = CanaryScope{from.zone(), from.node(), Duration{double(from.canary_ms())}};
        const std::string& where = from.zone().empty() ? from.node() : from.zone();
        if (from.zone().empty() == from.node().empty() || !is_valid_name(where) ||
            out.canary_scope->duration > kMaxCanaryDuration || from.canary_ms() == 0)
            return {};
    }
    if (from.content().empty() && empty_content) return out;
    auto content = decode(from.content());
    if (!content) return {};
    out.content = std::move(*content);
    return out;
}

}  // namespace ochrehub::config_distribution
