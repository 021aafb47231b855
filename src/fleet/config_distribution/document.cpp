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
/// By name, for contents of thousands of entries.
template <class Entries>
auto index(const Entries& entries) {
    std::map<std::string_view, const typename Entries::value_type*> out;
    for (const auto& e : entries) out.emplace(e.name, &e);
    return out;
}
template <class Entries>
void by_name(Entries& entries) {
    std::sort(entries.begin(), entries.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
}

Failure wrong(Error error, std::string about) {
    return {error, std::move(about)};
}

/// Names, doubles and the number of entries.
template <class Entries>
std::optional<Failure> names(const Entries& entries, std::string_view what) {
    if (entries.size() > kEntriesMost)
        return wrong(Error::TooLong, std::to_string(entries.size()) + " entries");
    std::set<std::string_view> seen;
    for (const auto& e : entries) {
        std::string about(what);
        about.append(" `").append(e.name.substr(0, kNameMost)).append("`");
        if (!is_valid_name(e.name)) return wrong(Error::WrongValue, about + ": its name");
        if (!seen.insert(e.name).second) return wrong(Error::Duplicate, about);
    }
    return {};
}

std::optional<Failure> sound(const Limits& c) {
    if (auto bad = names(c.limits, "limit")) return bad;
    std::uint64_t sum = 0;
    for (const Limit& l : c.limits) {
        if (l.rate == 0 || l.rate > kRateMost || l.burst > kRateMost)
            return wrong(Error::WrongValue, "limit `" + l.name + "`: rate or burst");
        if (l.floor > l.rate)
            return wrong(Error::WrongValue, "limit `" + l.name + "`: a floor above its rate");
        sum += l.rate;
    }
    if (c.budget > kRateMost) return wrong(Error::WrongValue, "budget");
    if (c.budget != 0 && sum > c.budget)
        return wrong(Error::OverBudget, "the sum of limits, " + std::to_string(sum) + " of " +
                                            std::to_string(c.budget) + " thousandths");
    return {};
}
std::optional<Failure> sound(const Classes& c) {
    if (auto bad = names(c.classes, "class")) return bad;
    for (const ClassRule& r : c.classes) {
        if (r.retry == RetryRule::Unspecified)
            return wrong(Error::WrongValue, "class `" + r.name + "`: must say whether it may be repeated");
        if (r.max_attempts == 0 || r.max_attempts > 10 ||
            (r.retry == RetryRule::Forbidden && r.max_attempts != 1))
            return wrong(Error::WrongValue, "class `" + r.name + "`: attempts");
    }
    return {};
}
bool token(std::string_view name) {
    return !name.empty() && name.size() <= kNameMost && std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    });
}
bool printable(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c < 127; });
}
std::optional<Failure> sound(const Headers& c) {
    if (c.rules.size() > kEntriesMost)
        return wrong(Error::TooLong, std::to_string(c.rules.size()) + " rules");
    for (std::size_t i = 0; i < c.rules.size(); ++i) {
        const HeaderRule& r = c.rules[i];
        std::string about = "rule " + std::to_string(i + 1);
        if (!token(r.name)) return wrong(Error::WrongValue, about + ": its header's name, in small letters");
        if (r.value.size() > kValueMost || !printable(r.value) ||
            (r.action == HeaderAction::Remove) != r.value.empty() ||
            (!r.value.empty() && (r.value.front() == ' ' || r.value.back() == ' ')))
            return wrong(Error::WrongValue, about + ": its value");
        if (i != 0 && r == c.rules[i - 1]) return wrong(Error::Duplicate, about);
    }
    return {};
}
std::optional<Failure> sound(const Partners& c) {
    if (auto bad = names(c.partners, "partner")) return bad;
    std::set<std::string_view> keys;
    for (const Partner& p : c.partners) {
        if (p.status == PartnerStatus::OnHold)
            return wrong(Error::WrongValue, "partner `" + p.name + "`: must be open or shut");
        if (p.keys.size() > kKeysMost) return wrong(Error::TooLong, "partner `" + p.name + "`: its keys");
        for (const std::string& key : p.keys) {
            if (!is_valid_name(key)) return wrong(Error::WrongValue, "partner `" + p.name + "`: a key");
            if (!keys.insert(key).second)
                return wrong(Error::Duplicate, "partner `" + p.name + "`: key `" + key + "`");
        }
    }
    return {};
}
std::optional<Failure> sound(const Servers& c) {
    if (auto bad = names(c.servers, "server")) return bad;
    if (c.partial) return wrong(Error::WrongValue, "a part of a list");
    if (c.revision != 0 && c.source != ListSource::Discovery)
        return wrong(Error::WrongValue, "revision: of discovery's list alone");
    for (const Server& s : c.servers) {
        if (s.use != ServerUse::In && s.use != ServerUse::Out)
            return wrong(Error::WrongValue, "server `" + s.name + "`: must be in or out");
        if (!s.zone.empty() && !is_valid_name(s.zone))
            return wrong(Error::WrongValue, "server `" + s.name + "`: zone");
    }
    return {};
}

/// What a header comes to: whether its first value stays, and what is put behind it.
struct Outcome {
    bool stays = true;
    std::vector<std::string_view> values;
    bool operator==(const Outcome&) const = default;
};
std::map<std::string_view, Outcome> outcomes(const Headers& c) {
    std::map<std::string_view, Outcome> out;
    for (const HeaderRule& r : c.rules) {
        Outcome& o = out[r.name];
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

bool clash(const Limits& a, const Limits& b) {
    std::uint64_t budget = std::min(a.budget ? a.budget : ~0ull, b.budget ? b.budget : ~0ull), sum = 0;
    if (budget == ~0ull) return false;
    auto in_a = index(a.limits), in_b = index(b.limits);
    for (const auto& [name, limit] : in_a) {
        auto other = in_b.find(name);
        sum += std::max(limit->rate, other == in_b.end() ? 0 : other->second->rate);
    }
    for (const auto& [name, limit] : in_b)
        if (!in_a.contains(name)) sum += limit->rate;
    return sum > budget;
}
bool clash(const Classes& a, const Classes& b) {
    auto in_b = index(b.classes);
    return std::any_of(a.classes.begin(), a.classes.end(), [&](const ClassRule& r) {
        auto other = in_b.find(r.name);
        return other != in_b.end() && r.retry != RetryRule::Unspecified &&
               other->second->retry != RetryRule::Unspecified && r.retry != other->second->retry;
    });
}
bool clash(const Headers& a, const Headers& b) {
    auto in_a = outcomes(a), in_b = outcomes(b);
    return std::any_of(in_a.begin(), in_a.end(), [&](const auto& one) {
        auto other = in_b.find(one.first);
        return other != in_b.end() && !(other->second == one.second);
    });
}
bool clash(const Partners& a, const Partners& b) {
    auto in_b = index(b.partners);
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
bool clash(const Servers& a, const Servers& b) {
    if (a.source != b.source) return false;
    auto in_a = index(a.servers), in_b = index(b.servers);
    auto one = [&](const Server& s) {
        ServerUse x = use_of(a, in_a, s.name), y = use_of(b, in_b, s.name);
        return (x == ServerUse::In && y == ServerUse::Out) || (x == ServerUse::Out && y == ServerUse::In);
    };
    return std::any_of(a.servers.begin(), a.servers.end(), one) ||
           std::any_of(b.servers.begin(), b.servers.end(), one);
}

Limits part(const Limits& a, const Limits& b) {
    Limits out;
    auto in_b = index(b.limits);
    for (const Limit& l : a.limits) {
        auto other = in_b.find(l.name);
        if (other == in_b.end()) continue;
        const Limit& o = *other->second;
        out.limits.push_back(
            {l.name, std::min(l.rate, o.rate), std::min(l.burst, o.burst), std::min(l.floor, o.floor)});
    }
    return out;
}
Classes part(const Classes& a, const Classes& b) {
    Classes out;
    auto in_a = index(a.classes), in_b = index(b.classes);
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
Headers part(const Headers& a, const Headers& b) {
    Headers out;
    auto in_a = outcomes(a), in_b = outcomes(b);
    for (const HeaderRule& r : a.rules) {
        auto other = in_b.find(r.name);
        if (other != in_b.end() && other->second == in_a.find(r.name)->second) out.rules.push_back(r);
    }
    return out;
}
Partners part(const Partners& a, const Partners& b) {
    Partners out;
    auto in_a = index(a.partners), in_b = index(b.partners);
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
Servers part(const Servers& a, const Servers& b) {
    Servers out{a.source, 0, {}, a.partial || b.partial};
    auto in_a = index(a.servers), in_b = index(b.servers);
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
std::optional<Kind> kind_named(std::string_view text) {
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

bool allowed(const Content& content, ConsistencyMode mode) {
    if (std::holds_alternative<Classes>(content)) return mode == ConsistencyMode::Strict;
    const auto* servers = std::get_if<Servers>(&content);
    return !servers || servers->source != ListSource::Discovery || mode == ConsistencyMode::Bounded;
}

bool is_valid_name(std::string_view name) {
    return !name.empty() && name.size() <= kNameMost && std::all_of(name.begin(), name.end(), [](char c) {
        return c > ' ' && c < 127 && c != '"' && c != '`' && c != '#';
    });
}

std::optional<Failure> validate(const Content& content) {
    if (auto bad = std::visit([](const auto& c) { return sound(c); }, content)) return bad;
    if (std::size_t size = encode(content).size(); size > kContentMost)
        return wrong(Error::TooLong, std::to_string(size) + " octets of " + std::to_string(kContentMost));
    return {};
}

std::optional<Failure> check_successor(const Content& old, const Content& next) {
    if (old.index() != next.index()) return wrong(Error::KindChanged, std::string(name(kind(old))));
    if (const auto* a = std::get_if<Limits>(&old)) {
        auto in_b = index(std::get<Limits>(next).limits);
        for (const Limit& l : a->limits) {
            auto other = in_b.find(l.name);
            if (l.floor != 0 && (other == in_b.end() || other->second->floor < l.floor))
                return wrong(Error::Floor, "limit `" + l.name + "`");
        }
    }
    const auto *a = std::get_if<Servers>(&old), *b = std::get_if<Servers>(&next);
    if (a && a->source != b->source) return wrong(Error::KindChanged, "the list's source");
    return {};
}

bool conflicts(const Content& a, const Content& b) {
    if (a.index() != b.index()) return false;
    return std::visit([&](const auto& x) { return clash(x, std::get<std::decay_t<decltype(x)>>(b)); }, a);
}

Content intersection(const Content& a, const Content& b) {
    if (a.index() != b.index()) return conservative_subset(a);
    return std::visit([&](const auto& x) { return Content(part(x, std::get<std::decay_t<decltype(x)>>(b))); },
                      a);
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

Servers merge_lists(const Servers& list, const Servers& hand) {
    Servers out = list;
    auto said = index(hand.servers);
    for (Server& s : out.servers) {
        if (s.use == ServerUse::Out || s.use == ServerUse::Unspecified) continue;
        ServerUse word = use_of(hand, said, s.name);
        if (word == ServerUse::Out || word == ServerUse::Unspecified) s.use = ServerUse::Out;
        if (word == ServerUse::LastResort) s.use = ServerUse::LastResort;
    }
    return out;
}

Content canonical(Content content) {
    std::visit(Overloaded{[](Limits& c) { by_name(c.limits); }, [](Classes& c) { by_name(c.classes); },
                          [](Headers&) {},
                          [](Partners& c) {
                              by_name(c.partners);
                              for (Partner& p : c.partners) std::sort(p.keys.begin(), p.keys.end());
                          },
                          [](Servers& c) { by_name(c.servers); }},
               content);
    return content;
}

}  // namespace ochrehub::config_distribution
