#include "fleet/config_distribution/document.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

namespace ochrehub::config_distribution {
namespace {

template <class... F>
struct Overloaded : F... {
    using F::operator()...;
};
template <class... F>
Overloaded(F...) -> Overloaded<F...>;

template <class Entries>
auto find(const Entries& entries, std::string_view name) {
    auto it = std::find_if(entries.begin(), entries.end(), [&](const auto& e) { return e.name == name; });
    return it == entries.end() ? nullptr : &*it;
}
/// Index by name, for contents with thousands of entries.
template <class Entries>
auto index_by_name(const Entries& entries) {
    std::map<std::string_view, const typename Entries::value_type*> out;
    for (const auto& e : entries) out.emplace(e.name, &e);
    return out;
}
template <class Entries>
void sort_by_name(Entries& entries) {
    std::sort(entries.begin(), entries.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
}

Failure failure(Error error, std::string about) {
    return {error, std::move(about)};
}

/// Checks names, duplicates and the number of entries.
template <class Entries>
std::optional<Failure> check_names(const Entries& entries, std::string_view what) {
    if (entries.size() > kMaxEntries)
        return failure(Error::TooLong, std::to_string(entries.size()) + " entries");
    std::set<std::string_view> seen;
    for (const auto& e : entries) {
        std::string about(what);
        about.append(" `").append(e.name.substr(0, kMaxNameBytes)).append("`");
        if (!is_valid_name(e.name)) return failure(Error::WrongValue, about + ": its name");
        if (!seen.insert(e.name).second) return failure(Error::Duplicate, about);
    }
    return {};
}

std::optional<Failure> check_content(const Limits& c) {
    if (auto bad = check_names(c.limits, "limit")) return bad;
    std::uint64_t sum = 0;
    for (const Limit& l : c.limits) {
        if (l.rate == 0 || l.rate > kMaxRate || l.burst > kMaxRate)
            return failure(Error::WrongValue, "limit `" + l.name + "`: rate or burst");
        if (l.floor > l.rate)
            return failure(Error::WrongValue, "limit `" + l.name + "`: a floor above its rate");
        sum += l.rate;
    }
    if (c.budget > kMaxRate) return failure(Error::WrongValue, "budget");
    if (c.budget != 0 && sum > c.budget)
        return failure(Error::OverBudget, "the sum of limits, " + std::to_string(sum) + " of " +
                                              std::to_string(c.budget) + " thousandths");
    return {};
}
std::optional<Failure> check_content(const Classes& c) {
    if (auto bad = check_names(c.classes, "class")) return bad;
    for (const ClassRule& r : c.classes) {
        if (r.retry == RetryRule::Unspecified)
            return failure(Error::WrongValue, "class `" + r.name + "`: must say whether it may be repeated");
        if (r.max_attempts == 0 || r.max_attempts > 10 ||
            (r.retry == RetryRule::Forbidden && r.max_attempts != 1))
            return failure(Error::WrongValue, "class `" + r.name + "`: attempts");
    }
    return {};
}
bool is_header_name(std::string_view name) {
    return !name.empty() && name.size() <= kMaxNameBytes && std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    });
}
bool is_printable(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c < 127; });
}
std::optional<Failure> check_content(const Headers& c) {
    if (c.rules.size() > kMaxEntries)
        return failure(Error::TooLong, std::to_string(c.rules.size()) + " rules");
    for (std::size_t i = 0; i < c.rules.size(); ++i) {
        const HeaderRule& r = c.rules[i];
        std::string about = "rule " + std::to_string(i + 1);
        if (!is_header_name(r.name))
            return failure(Error::WrongValue, about + ": its header's name, in small letters");
        if (r.value.size() > kMaxValueBytes || !is_printable(r.value) ||
            (r.action == HeaderAction::Remove) != r.value.empty() ||
            (!r.value.empty() && (r.value.front() == ' ' || r.value.back() == ' ')))
            return failure(Error::WrongValue, about + ": its value");
        if (i != 0 && r == c.rules[i - 1]) return failure(Error::Duplicate, about);
    }
    return {};
}
std::optional<Failure> check_content(const Partners& c) {
    if (auto bad = check_names(c.partners, "partner")) return bad;
    std::set<std::string_view> keys;
    for (const Partner& p : c.partners) {
        if (p.status == PartnerStatus::OnHold)
            return failure(Error::WrongValue, "partner `" + p.name + "`: must be open or shut");
        if (p.keys.size() > kMaxKeysPerPartner)
            return failure(Error::TooLong, "partner `" + p.name + "`: its keys");
        for (const std::string& key : p.keys) {
            if (!is_valid_name(key)) return failure(Error::WrongValue, "partner `" + p.name + "`: a key");
            if (!keys.insert(key).second)
                return failure(Error::Duplicate, "partner `" + p.name + "`: key `" + key + "`");
        }
    }
    return {};
}
std::optional<Failure> check_content(const Servers& c) {
    if (auto bad = check_names(c.servers, "server")) return bad;
    if (c.partial) return failure(Error::WrongValue, "a part of a list");
    if (c.revision != 0 && c.source != ListSource::Discovery)
        return failure(Error::WrongValue, "revision: of discovery's list alone");
    for (const Server& s : c.servers) {
        if (s.use != ServerUse::In && s.use != ServerUse::Out)
            return failure(Error::WrongValue, "server `" + s.name + "`: must be in or out");
        if (!s.zone.empty() && !is_valid_name(s.zone))
            return failure(Error::WrongValue, "server `" + s.name + "`: zone");
    }
    return {};
}

/// Effect of all rules on one header: whether the received value is kept, and which values are added.
struct HeaderEffect {
    bool keeps_received_value = true;
    std::vector<std::string_view> values;
    bool operator==(const HeaderEffect&) const = default;
};
std::map<std::string_view, HeaderEffect> header_effects(const Headers& c) {
    std::map<std::string_view, HeaderEffect> out;
    for (const HeaderRule& r : c.rules) {
        HeaderEffect& o = out[r.name];
        if (r.action != HeaderAction::Add) o = {false, {}};
        if (r.action != HeaderAction::Remove) o.values.push_back(r.value);
    }
    return out;
}

ServerUse use_of(const Servers& c, const std::map<std::string_view, const Server*>& by,
                 std::string_view name) {
    auto found = by.find(name);
    if (found != by.end()) return found->second->use;
    return c.partial                          ? ServerUse::LastResort
           : c.source == ListSource::Operator ? ServerUse::In
                                              : ServerUse::Out;
}

bool is_conflict(const Limits& a, const Limits& b) {
    std::uint64_t budget = std::min(a.budget ? a.budget : ~0ull, b.budget ? b.budget : ~0ull), sum = 0;
    if (budget == ~0ull) return false;
    auto in_a = index_by_name(a.limits), in_b = index_by_name(b.limits);
    for (const auto& [name, limit] : in_a) {
        auto other = in_b.find(name);
        sum += std::max(limit->rate, other == in_b.end() ? 0 : other->second->rate);
    }
    for (const auto& [name, limit] : in_b)
        if (!in_a.contains(name)) sum += limit->rate;
    return sum > budget;
}
bool is_conflict(const Classes& a, const Classes& b) {
    auto in_b = index_by_name(b.classes);
    return std::any_of(a.classes.begin(), a.classes.end(), [&](const ClassRule& r) {
        auto other = in_b.find(r.name);
        return other != in_b.end() && r.retry != RetryRule::Unspecified &&
               other->second->retry != RetryRule::Unspecified && r.retry != other->second->retry;
    });
}
bool is_conflict(const Headers& a, const Headers& b) {
    auto in_a = header_effects(a), in_b = header_effects(b);
    return std::any_of(in_a.begin(), in_a.end(), [&](const auto& one) {
        auto other = in_b.find(one.first);
        return other != in_b.end() && !(other->second == one.second);
    });
}
bool is_conflict(const Partners& a, const Partners& b) {
    auto in_b = index_by_name(b.partners);
    std::map<std::string_view, std::string_view> owners;
    for (const Partner& p : b.partners)
        for (const std::string& key : p.keys) owners.emplace(key, p.name);
    for (const Partner& p : a.partners) {
        auto other = in_b.find(p.name);
        if (other != in_b.end() && p.status != PartnerStatus::OnHold &&
            other->second->status != PartnerStatus::OnHold && p.status != other->second->status)
            return true;
        for (const std::string& key : p.keys) {
            auto owner = owners.find(key);
            if (owner != owners.end() && owner->second != p.name) return true;
        }
    }
    return false;
}
bool is_conflict(const Servers& a, const Servers& b) {
    if (a.source != b.source) return false;
    auto in_a = index_by_name(a.servers), in_b = index_by_name(b.servers);
    auto one = [&](const Server& s) {
        ServerUse x = use_of(a, in_a, s.name), y = use_of(b, in_b, s.name);
        return (x == ServerUse::In && y == ServerUse::Out) || (x == ServerUse::Out && y == ServerUse::In);
    };
    return std::any_of(a.servers.begin(), a.servers.end(), one) ||
           std::any_of(b.servers.begin(), b.servers.end(), one);
}

Limits common_part(const Limits& a, const Limits& b) {
    Limits out;
    auto in_b = index_by_name(b.limits);
    for (const Limit& l : a.limits) {
        auto other = in_b.find(l.name);
        if (other == in_b.end()) continue;
        const Limit& o = *other->second;
        out.limits.push_back(
            {l.name, std::min(l.rate, o.rate), std::min(l.burst, o.burst), std::min(l.floor, o.floor)});
    }
    return out;
}
Classes common_part(const Classes& a, const Classes& b) {
    Classes out;
    auto in_a = index_by_name(a.classes), in_b = index_by_name(b.classes);
    for (const ClassRule& r : a.classes) {
        auto other = in_b.find(r.name);
        bool same = other != in_b.end() && other->second->retry == r.retry;
        out.classes.push_back({r.name, same ? r.retry : RetryRule::Unspecified,
                               same ? std::min(r.max_attempts, other->second->max_attempts) : 1});
    }
    for (const ClassRule& r : b.classes)
        if (!in_a.contains(r.name)) out.classes.push_back({r.name, RetryRule::Unspecified, 1});
    return out;
}
Headers common_part(const Headers& a, const Headers& b) {
    Headers out;
    auto in_a = header_effects(a), in_b = header_effects(b);
    for (const HeaderRule& r : a.rules) {
        auto other = in_b.find(r.name);
        if (other != in_b.end() && other->second == in_a.find(r.name)->second) out.rules.push_back(r);
    }
    return out;
}
Partners common_part(const Partners& a, const Partners& b) {
    Partners out;
    auto in_a = index_by_name(a.partners), in_b = index_by_name(b.partners);
    for (const Partner& p : a.partners) {
        auto other = in_b.find(p.name);
        Partner both{p.name, PartnerStatus::OnHold, {}};
        if (other != in_b.end()) {
            if (other->second->status == p.status) both.status = p.status;
            const auto& keys = other->second->keys;
            std::copy_if(p.keys.begin(), p.keys.end(), std::back_inserter(both.keys),
                         [&](const std::string& key) {
                             return std::find(keys.begin(), keys.end(), key) != keys.end();
                         });
        }
        out.partners.push_back(std::move(both));
    }
    for (const Partner& p : b.partners)
        if (!in_a.contains(p.name)) out.partners.push_back({p.name, PartnerStatus::OnHold, {}});
    return out;
}
Servers common_part(const Servers& a, const Servers& b) {
    Servers out{a.source, 0, {}, a.partial || b.partial};
    auto in_a = index_by_name(a.servers), in_b = index_by_name(b.servers);
    auto add = [&](const Server& s) {
        ServerUse x = use_of(a, in_a, s.name), y = use_of(b, in_b, s.name);
        out.servers.push_back({s.name, x == y ? x : ServerUse::LastResort, s.zone});
    };
    for (const Server& s : a.servers) add(s);
    for (const Server& s : b.servers)
        if (!in_a.contains(s.name)) add(s);
    return out;
}

}  // namespace

Kind kind(const Content& content) {
    return Kind(content.index() + 1);
}
std::string_view name(Kind kind) {
    constexpr std::string_view kNames[] = {"limits", "classes", "headers", "partners", "servers"};
    return kNames[std::size_t(kind) - 1];
}
std::optional<Kind> kind_from_name(std::string_view text) {
    for (Kind kind : {Kind::Limits, Kind::Classes, Kind::Headers, Kind::Partners, Kind::Servers})
        if (name(kind) == text) return kind;
    return {};
}
std::string_view name(ConsistencyMode mode) {
    return mode == ConsistencyMode::Strict ? "strict" : "quick";
}
std::string_view name(ExpiryPolicy expiry_policy) {
    constexpr std::string_view kNames[] = {"keep", "caution", "refuse"};
    return kNames[std::size_t(expiry_policy)];
}

bool is_mode_allowed(const Content& content, ConsistencyMode mode) {
    if (std::holds_alternative<Classes>(content)) return mode == ConsistencyMode::Strict;
    const auto* servers = std::get_if<Servers>(&content);
    return !servers || servers->source != ListSource::Discovery || mode == ConsistencyMode::Bounded;
}

bool is_valid_name(std::string_view name) {
    return !name.empty() && name.size() <= kMaxNameBytes && std::all_of(name.begin(), name.end(), [](char c) {
        return c > ' ' && c < 127 && c != '"' && c != '`' && c != '#';
    });
}

std::optional<Failure> validate(const Content& content) {
    if (auto bad = std::visit([](const auto& c) { return check_content(c); }, content)) return bad;
    if (std::size_t size = encode(content).size(); size > kMaxContentBytes)
        return failure(Error::TooLong,
                       std::to_string(size) + " bytes of " + std::to_string(kMaxContentBytes));
    return {};
}

std::optional<Failure> check_successor(const Content& old, const Content& next) {
    if (old.index() != next.index()) return failure(Error::KindChanged, std::string(name(kind(old))));
    if (const auto* a = std::get_if<Limits>(&old)) {
        auto in_b = index_by_name(std::get<Limits>(next).limits);
        for (const Limit& l : a->limits) {
            auto other = in_b.find(l.name);
            if (l.floor != 0 && (other == in_b.end() || other->second->floor < l.floor))
                return failure(Error::Floor, "limit `" + l.name + "`");
        }
    }
    const auto *a = std::get_if<Servers>(&old), *b = std::get_if<Servers>(&next);
    if (a && a->source != b->source) return failure(Error::KindChanged, "the list's source");
    return {};
}

bool conflicts(const Content& a, const Content& b) {
    if (a.index() != b.index()) return false;
    return std::visit([&](const auto& x) { return is_conflict(x, std::get<std::decay_t<decltype(x)>>(b)); },
                      a);
}

Content intersection(const Content& a, const Content& b) {
    if (a.index() != b.index()) return conservative_subset(a);
    return std::visit(
        [&](const auto& x) { return Content(common_part(x, std::get<std::decay_t<decltype(x)>>(b))); }, a);
}

Content conservative_subset(const Content& content) {
    return std::visit(
        Overloaded{[](const Limits& c) -> Content {
                       Limits out;
                       for (const Limit& l : c.limits)
                           if (l.floor != 0)
                               out.limits.push_back(
                                   {l.name, l.floor, l.burst * (l.floor * 1000 / l.rate) / 1000, l.floor});
                       return out;
                   },
                   [](const Classes& c) -> Content {
                       Classes out;
                       for (const ClassRule& r : c.classes)
                           out.classes.push_back({r.name, RetryRule::Unspecified, 1});
                       return out;
                   },
                   [](const Headers&) -> Content { return Headers{}; },
                   [](const Partners& c) -> Content {
                       Partners out;
                       for (const Partner& p : c.partners)
                           out.partners.push_back({p.name, PartnerStatus::OnHold, {}});
                       return out;
                   },
                   [](const Servers& c) -> Content {
                       Servers out{c.source, 0, {}, true};
                       for (const Server& s : c.servers)
                           out.servers.push_back(
                               {s.name,
                                s.use == ServerUse::In ? ServerUse::LastResort : ServerUse::Unspecified,
                                s.zone});
                       return out;
                   }},
        content);
}

Content deny_all(const Content& content) {
    Content out = conservative_subset(content);
    if (auto* limits = std::get_if<Limits>(&out)) limits->limits.clear();
    if (auto* servers = std::get_if<Servers>(&out))
        for (Server& s : servers->servers) s.use = ServerUse::Unspecified;
    return out;
}

Servers merge_lists(const Servers& list, const Servers& operator_list) {
    Servers out = list;
    auto operator_entries = index_by_name(operator_list.servers);
    for (Server& s : out.servers) {
        if (s.use == ServerUse::Out || s.use == ServerUse::Unspecified) continue;
        ServerUse operator_use = use_of(operator_list, operator_entries, s.name);
        if (operator_use == ServerUse::Out || operator_use == ServerUse::Unspecified) s.use = ServerUse::Out;
        if (operator_use == ServerUse::LastResort) s.use = ServerUse::LastResort;
    }
    return out;
}

Content canonical(Content content) {
    std::visit(Overloaded{[](Limits& c) { sort_by_name(c.limits); },
                          [](Classes& c) { sort_by_name(c.classes); }, [](Headers&) {},
                          [](Partners& c) {
                              sort_by_name(c.partners);
                              for (Partner& p : c.partners) std::sort(p.keys.begin(), p.keys.end());
                          },
                          [](Servers& c) { sort_by_name(c.servers); }},
               content);
    return content;
}

}  // namespace ochrehub::config_distribution
