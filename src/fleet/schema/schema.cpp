#include "fleet/schema/schema.h"

#include <algorithm>
#include <memory>
#include <optional>

#include "fleet/schema/pairs.h"
#include "fleet/schema/step.h"

namespace ochrehub::schema {
namespace {

/// A group read: its name and, by tenant (or under the empty name), its items.
template <class Item>
struct Items {
    std::string group;
    std::map<std::string, Item> items;
};
using Fault = std::optional<Error>;

bool split(std::string_view key, std::string_view& tenant, std::string_view& client) {
    std::size_t nul = key.find('\0');
    if (nul == std::string_view::npos || nul + 1 == key.size()) return false;
    tenant = key.substr(0, nul), client = key.substr(nul + 1);
    return true;
}
std::string joined(std::string_view tenant, std::string_view client) {
    return std::string(tenant).append(1, '\0').append(client);
}

// ---- What an item says, each put in one form

template <class M>
bool placed(const M& m) {
    if constexpr (std::is_same_v<M, wire::Session4>)
        return !m.cell().empty() || !m.server().empty();
    else
        return m.cell() != 0 || !m.server().empty();
}
/// False: it says nothing, whatever is kept beside it, and is as good as none.
template <class M>
bool settle(M& m) {
    auto& orders = *m.mutable_under_way();
    std::sort(orders.begin(), orders.end());
    orders.erase(std::unique(orders.begin(), orders.end()), orders.end());
    if (!placed(m)) {
        if constexpr (std::is_same_v<M, wire::Binding>)
            m.set_idle_ms(0);
        else
            m.set_left_ms(kBindingLeaseMs);
    }
    return placed(m) || !orders.empty();
}
bool sound(const wire::Use& use) {
    return use.window_ms() > 0 && use.left_ms() <= use.window_ms();
}

/// Whether a step made what a reader would take as it is. What is not has been made of a kept record that no
/// step has kept.
template <class M>
bool clean(const M& m) {
    if constexpr (requires { m.under_way(); }) {
        M settled = m;
        return settle(settled) && same(settled, m);
    } else if constexpr (std::is_same_v<M, wire::Use>) {
        return sound(m);
    } else {
        return true;
    }
}

// ---- Groups of sessions and rates as octets, and back

template <class Item>
Fault add(Items<Item>& to, std::string_view tenant, Item item) {
    if constexpr (std::is_same_v<Item, wire::Use>) {
        if (!sound(item)) return Error::Malformed;
    } else if constexpr (!std::is_same_v<Item, wire::Bucket3>) {
        if (!settle(item)) return {};
    }
    if (tenant.find('\0') != std::string_view::npos) return Error::Malformed;
    return to.items.emplace(tenant, std::move(item)).second ? Fault() : Fault(Error::Malformed);
}
bool named(std::string& group, std::string_view client) {
    if (client.empty() || (!group.empty() && group != client)) return false;
    group = client;
    return true;
}

/// One record a client: sessions 1 and rates 1.
template <class Whole, class Item, class Part, class Value>
Fault read_whole(const Group& group, Items<Item>& into, const Part& parts, const Value& value) {
    for (const Record& record : group) {
        Whole whole;
        if (!into.group.empty() || !named(into.group, record.key) || !read(record.value, whole))
            return Error::Malformed;
        for (const auto& part : parts(whole)) {
            if (!only<std::decay_t<decltype(part)>>(octets(part)) || !only<Item>(octets(value(part))))
                return Error::Malformed;
            if (Fault fault = add<Item>(into, part.tenant(), value(part))) return fault;
        }
    }
    return {};
}
/// A record a tenant and client: rates 2 and 3, sessions 3 and 4.
template <class Item>
Fault read_each(const Group& group, Items<Item>& into) {
    for (const Record& record : group) {
        std::string_view tenant, client;
        Item item;
        if (!split(record.key, tenant, client) || !named(into.group, client) || !read(record.value, item))
            return Error::Malformed;
        if (Fault fault = add(into, tenant, std::move(item))) return fault;
    }
    return {};
}
template <class Item>
Group write_each(const Items<Item>& from) {
    Group group;
    for (const auto& [tenant, item] : from.items) group.push_back({joined(tenant, from.group), octets(item)});
    return group;
}

Fault read_sessions1(const Group& group, Items<wire::Binding>& into) {
    return read_whole<wire::Sessions1>(
        group, into, [](const wire::Sessions1& all) -> const auto& { return all.bound(); },
        [](const wire::Bound& one) -> const wire::Binding& { return one.binding(); });
}
Group write_sessions1(const Items<wire::Binding>& from) {
    wire::Sessions1 all;
    for (const auto& [tenant, item] : from.items) {
        wire::Bound& one = *all.add_bound();
        one.set_tenant(tenant), *one.mutable_binding() = item;
    }
    return from.items.empty() ? Group() : Group{{from.group, octets(all)}};
}
Fault read_sessions2(const Group& group, Items<wire::Binding>& into) {
    std::map<std::string, wire::Binding, std::less<>> items;
    std::map<std::string, int, std::less<>> seen;
    for (const Record& record : group) {
        std::string_view tenant, client;
        std::string_view key = record.key;
        bool place = key.starts_with('p');
        if ((!place && !key.starts_with('w')) || !split(key.substr(1), tenant, client) ||
            !named(into.group, client))
            return Error::Malformed;
        wire::Binding& item = items[std::string(tenant)];
        int& parts = seen[std::string(tenant)];
        if (parts & (place ? 1 : 2)) return Error::Malformed;
        parts |= place ? 1 : 2;
        if (place) {
            wire::Place2 from;
            if (!read(record.value, from)) return Error::Malformed;
            item.set_cell(from.cell()), item.set_server(from.server()), item.set_idle_ms(from.idle_ms());
            item.set_beyond(from.beyond());
        } else {
            wire::Work2 from;
            if (!read(record.value, from)) return Error::Malformed;
            *item.mutable_under_way() = from.under_way();
        }
    }
    for (auto& [tenant, item] : items)
        if (Fault fault = add(into, tenant, std::move(item))) return fault;
    return {};
}
Group write_sessions2(const Items<wire::Binding>& from) {
    Group group;
    for (const auto& [tenant, item] : from.items) {
        wire::Place2 place;
        place.set_cell(item.cell()), place.set_server(item.server()), place.set_idle_ms(item.idle_ms());
        place.set_beyond(item.beyond());
        wire::Work2 work;
        *work.mutable_under_way() = item.under_way();
        std::string key = joined(tenant, from.group);
        if (placed(item) || !item.beyond().empty()) group.push_back({"p" + key, octets(place)});
        if (item.under_way_size()) group.push_back({"w" + key, octets(work)});
    }
    return group;
}
Fault read_rates1(const Group& group, Items<wire::Use>& into) {
    return read_whole<wire::Rates1>(
        group, into, [](const wire::Rates1& all) -> const auto& { return all.uses(); },
        [](const wire::UseOf& one) -> const wire::Use& { return one.use(); });
}
Group write_rates1(const Items<wire::Use>& from) {
    wire::Rates1 all;
    for (const auto& [tenant, item] : from.items) {
        wire::UseOf& one = *all.add_uses();
        one.set_tenant(tenant), *one.mutable_use() = item;
    }
    return from.items.empty() ? Group() : Group{{from.group, octets(all)}};
}

// ---- Groups of one record under its own key

template <class Item>
Fault read_one(const Group& group, Items<Item>& into) {
    for (const Record& record : group) {
        Item item;
        if (!into.group.empty() || !named(into.group, record.key) || !read(record.value, item))
            return Error::Malformed;
        if constexpr (std::is_same_v<Item, wire::Fence1>) {
            std::map<std::uint64_t, wire::FenceStep> steps;
            for (const wire::FenceStep& step : item.steps())
                if (!only<wire::FenceStep>(octets(step)) || !steps.emplace(step.step(), step).second)
                    return Error::Malformed;
            item.clear_steps();
            for (const auto& [number, step] : steps) *item.add_steps() = step;
        }
        into.items.emplace(std::string(), std::move(item));
    }
    return {};
}
template <class Item>
Group write_one(const Items<Item>& from) {
    Group group;
    for (const auto& [none, item] : from.items) group.push_back({from.group, octets(item)});
    return group;
}

/// How one schema of a kind is read and written.
template <class Item>
struct Form {
    Fault (*read)(const Group&, Items<Item>&);
    Group (*write)(const Items<Item>&);
};
constexpr Form<wire::Binding> kSessions1{read_sessions1, write_sessions1},
    kSessions2{read_sessions2, write_sessions2};
constexpr Form<wire::Session3> kSessions3{read_each, write_each};
constexpr Form<wire::Session4> kSessions4{read_each, write_each};
constexpr Form<wire::Use> kRates1{read_rates1, write_rates1}, kRates2{read_each, write_each};
constexpr Form<wire::Bucket3> kRates3{read_each, write_each};
constexpr Form<wire::Rules1> kRules1{read_one, write_one};
constexpr Form<wire::Rules2> kRules2{read_one, write_one};
constexpr Form<wire::Fence1> kFences1{read_one, write_one};
constexpr Form<wire::Snapshot1> kSnapshots1{read_one, write_one};

Result refused(Error error, Kind kind, Version schema) {
    return Failure{error, std::string(name(kind)) + " " + std::to_string(schema)};
}
Fault bounded(const Group& group) {
    std::size_t size = 0;
    for (const Record& record : group) size += record.key.size() + record.value.size();
    return group.size() > kMaxGroupRecords || size > kMaxGroupBytes ? Fault(Error::TooLarge) : Fault();
}
Result out(Kind kind, Version schema, Group group) {
    if (Fault fault = bounded(group)) return refused(*fault, kind, schema);
    std::sort(group.begin(), group.end(), [](const Record& a, const Record& b) { return a.key < b.key; });
    return group;
}

template <class From, class To, class Step>
Result stepped(Kind kind, Version schema, const Group& group, const Form<From>& from, const Form<To>& to,
               const Step& step) {
    Items<From> read;
    Items<To> made;
    Fault fault = bounded(group);
    if (!fault) fault = from.read(group, read);
    if (fault) return refused(*fault, kind, schema);
    made.group = read.group;
    for (const auto& [tenant, item] : read.items) {
        To& into = made.items[tenant];
        fault = step(item, into);
        if (!fault && !clean(into)) fault = Error::Malformed;
        if (fault) return refused(*fault, kind, schema);
    }
    return out(kind, schema, to.write(made));
}
template <class Item>
Result same_items(Kind kind, Version schema, const Group& group, const Form<Item>& from,
                  const Form<Item>& to) {
    return stepped(kind, schema, group, from, to, [](const Item& item, Item& into) {
        into = item;
        return Fault();
    });
}
template <class Pair>
Result raised(Kind kind, Version schema, const Group& group, const Form<typename Pair::Old>& from,
              const Form<typename Pair::New>& to) {
    return stepped(kind, schema, group, from, to, up_item<Pair>);
}
template <class Pair>
Result lowered(Kind kind, Version schema, const Group& group, const Form<typename Pair::New>& from,
               const Form<typename Pair::Old>& to) {
    return stepped(kind, schema, group, from, to, down_item<Pair>);
}

}  // namespace

Version newest_version(Kind kind) {
    static constexpr Version kLast[kKindCount] = {4, 3, 2, 1, 1};
    return std::size_t(kind) < kKindCount ? kLast[std::size_t(kind)] : 0;
}

namespace {

/// `step` for the items of this schema, into the same one.
template <class Step>
Result within(Kind kind, Version schema, const Group& group, const Step& step) {
    auto same = [&](const auto& form) { return stepped(kind, schema, group, form, form, step); };
    switch (kind) {
        case Kind::Sessions:
            if (schema == 1) return same(kSessions1);
            if (schema == 2) return same(kSessions2);
            if (schema == 3) return same(kSessions3);
            if (schema == 4) return same(kSessions4);
            break;
        case Kind::Rates:
            if (schema == 1) return same(kRates1);
            if (schema == 2) return same(kRates2);
            if (schema == 3) return same(kRates3);
            break;
        case Kind::Rules:
            if (schema == 1) return same(kRules1);
            if (schema == 2) return same(kRules2);
            break;
        case Kind::Fences:
            if (schema == 1) return same(kFences1);
            break;
        case Kind::Snapshots:
            if (schema == 1) return same(kSnapshots1);
            break;
    }
    return refused(Error::UnknownSchema, kind, schema);
}

}  // namespace

Result canonical(Kind kind, Version schema, const Group& group) {
    return within(kind, schema, group, [](const auto& item, auto& into) {
        into = item;
        return Fault();
    });
}

Result bare(Kind kind, Version schema, const Group& group) {
    return within(kind, schema, group, [](const auto& item, auto& into) {
        into = without_behind(without_beyond(item));
        return Fault();
    });
}

Result up(Kind kind, Version from, const Group& group) {
    if (kind == Kind::Sessions) {
        if (from == 1) return same_items(kind, from, group, kSessions1, kSessions2);
        if (from == 2) return raised<IdleToLease>(kind, from, group, kSessions2, kSessions3);
        if (from == 3) return raised<CellToName>(kind, from, group, kSessions3, kSessions4);
    } else if (kind == Kind::Rates) {
        if (from == 1) return same_items(kind, from, group, kRates1, kRates2);
        if (from == 2) return raised<WindowsToBucket>(kind, from, group, kRates2, kRates3);
    } else if (kind == Kind::Rules && from == 1) {
        return raised<HexToOctets>(kind, from, group, kRules1, kRules2);
    }
    return refused(Error::UnknownSchema, kind, from + 1);
}

Result down(Kind kind, Version from, const Group& group) {
    if (kind == Kind::Sessions) {
        if (from == 2) return same_items(kind, from, group, kSessions2, kSessions1);
        if (from == 3) return lowered<IdleToLease>(kind, from, group, kSessions3, kSessions2);
        if (from == 4) return lowered<CellToName>(kind, from, group, kSessions4, kSessions3);
    } else if (kind == Kind::Rates) {
        if (from == 2) return same_items(kind, from, group, kRates2, kRates1);
        if (from == 3) return lowered<WindowsToBucket>(kind, from, group, kRates3, kRates2);
    } else if (kind == Kind::Rules && from == 2) {
        return lowered<HexToOctets>(kind, from, group, kRules2, kRules1);
    }
    return refused(Error::UnknownSchema, kind, from > newest_version(kind) ? from : from - 1);
}

Result convert(Kind kind, Version from, Version to, Group group) {
    if (from == to) return canonical(kind, from, group);
    while (from != to) {
        Result next = from < to ? up(kind, from, group) : down(kind, from, group);
        if (std::holds_alternative<Failure>(next)) return next;
        group = std::move(std::get<Group>(next));
        from += from < to ? 1u : ~0u;
    }
    return group;
}

std::string_view group_of(Kind kind, Version schema, std::string_view key) {
    if (schema == 0 || schema > newest_version(kind)) return {};
    if ((kind != Kind::Sessions && kind != Kind::Rates) || schema == 1) return key;
    if (kind == Kind::Sessions && schema == 2) {
        if (!key.starts_with('p') && !key.starts_with('w')) return {};
        key.remove_prefix(1);
    }
    std::string_view tenant, client;
    return split(key, tenant, client) ? client : std::string_view();
}

std::variant<Spent, Failure> spent(Kind kind, Version schema, const Group& group) {
    Spent sums;
    if (kind != Kind::Rates) return sums;
    Items<wire::Bucket3> buckets;
    Items<wire::Use> uses;
    Fault fault = bounded(group);
    if (!fault) {
        if (schema == 1)
            fault = read_rates1(group, uses);
        else if (schema == 2)
            fault = read_each(group, uses);
        else if (schema == 3)
            fault = read_each(group, buckets);
        else
            fault = Error::UnknownSchema;
    }
    // What older schemas count rounded up counts as what it is where they keep that.
    for (const auto& [tenant, use] : uses.items)
        if (!fault) fault = up_item<WindowsToBucket>(use, buckets.items[tenant]);
    if (fault) return std::get<Failure>(refused(*fault, kind, schema));
    for (const auto& [tenant, bucket] : buckets.items) sums[tenant] = bucket.spent();
    return sums;
}

}  // namespace ochrehub::schema
