#include "fleet/schema/schema.h"

#include <algorithm>
#include <memory>
#include <optional>

#include "fleet/schema/pairs.h"
#include "fleet/schema/step.h"

namespace ochrehub::schema {
namespace {

/// A parsed group: its name and its items by tenant (or under the empty name).
template <class Item>
struct Items {
    std::string group;
    std::map<std::string, Item> items;
};
using MaybeError = std::optional<Error>;

bool split_key(std::string_view key, std::string_view& tenant, std::string_view& client) {
    std::size_t nul = key.find('\0');
    if (nul == std::string_view::npos || nul + 1 == key.size()) return false;
    tenant = key.substr(0, nul), client = key.substr(nul + 1);
    return true;
}
std::string make_key(std::string_view tenant, std::string_view client) {
    return std::string(tenant).append(1, '\0').append(client);
}

// Normal form of items

template <class M>
bool has_place(const M& m) {
    if constexpr (std::is_same_v<M, wire::Session4>)
        return !m.cell().empty() || !m.server().empty();
    else
        return m.cell() != 0 || !m.server().empty();
}
/// Brings an item into its normal form. False: the item is empty, whatever it keeps, and equal to a missing
/// one.
template <class M>
bool normalize(M& m) {
    auto& orders = *m.mutable_under_way();
    std::sort(orders.begin(), orders.end());
    orders.erase(std::unique(orders.begin(), orders.end()), orders.end());
    if (!has_place(m)) {
        if constexpr (std::is_same_v<M, wire::Binding>)
            m.set_idle_ms(0);
        else
            m.set_left_ms(kBindingLeaseMs);
    }
    return has_place(m) || !orders.empty();
}
bool is_valid(const wire::Use& use) {
    return use.window_ms() > 0 && use.left_ms() <= use.window_ms();
}

/// Whether the result of a step is in normal form. If not, its kept record was not made by a step.
template <class M>
bool is_normalized(const M& m) {
    if constexpr (requires { m.under_way(); }) {
        M normalized = m;
        return normalize(normalized) && same(normalized, m);
    } else if constexpr (std::is_same_v<M, wire::Use>) {
        return is_valid(m);
    } else {
        return true;
    }
}

// Parsing and serialization of groups of sessions and rates

template <class Item>
MaybeError add_item(Items<Item>& to, std::string_view tenant, Item item) {
    if constexpr (std::is_same_v<Item, wire::Use>) {
        if (!is_valid(item)) return Error::Malformed;
    } else if constexpr (!std::is_same_v<Item, wire::Bucket3>) {
        if (!normalize(item)) return {};
    }
    if (tenant.find('\0') != std::string_view::npos) return Error::Malformed;
    return to.items.emplace(tenant, std::move(item)).second ? MaybeError() : MaybeError(Error::Malformed);
}
bool set_group_name(std::string& group, std::string_view client) {
    if (client.empty() || (!group.empty() && group != client)) return false;
    group = client;
    return true;
}

/// One record per client: sessions 1 and rates 1.
template <class Combined, class Item, class Part, class Value>
MaybeError read_combined(const Group& group, Items<Item>& into, const Part& parts, const Value& value) {
    for (const Record& record : group) {
        Combined combined;
        if (!into.group.empty() || !set_group_name(into.group, record.key) || !read(record.value, combined))
            return Error::Malformed;
        for (const auto& part : parts(combined)) {
            if (!has_only_fields_of<std::decay_t<decltype(part)>>(serialize(part)) ||
                !has_only_fields_of<Item>(serialize(value(part))))
                return Error::Malformed;
            if (MaybeError error = add_item<Item>(into, part.tenant(), value(part))) return error;
        }
    }
    return {};
}
/// One record per tenant and client: rates 2 and 3, sessions 3 and 4.
template <class Item>
MaybeError read_per_tenant(const Group& group, Items<Item>& into) {
    for (const Record& record : group) {
        std::string_view tenant, client;
        Item item;
        if (!split_key(record.key, tenant, client) || !set_group_name(into.group, client) ||
            !read(record.value, item))
            return Error::Malformed;
        if (MaybeError error = add_item(into, tenant, std::move(item))) return error;
    }
    return {};
}
template <class Item>
Group write_per_tenant(const Items<Item>& from) {
    Group group;
    for (const auto& [tenant, item] : from.items)
        group.push_back({make_key(tenant, from.group), serialize(item)});
    return group;
}

MaybeError read_sessions1(const Group& group, Items<wire::Binding>& into) {
    return read_combined<wire::Sessions1>(
        group, into, [](const wire::Sessions1& all) -> const auto& { return all.bound(); },
        [](const wire::Bound& one) -> const wire::Binding& { return one.binding(); });
}
Group write_sessions1(const Items<wire::Binding>& from) {
    wire::Sessions1 all;
    for (const auto& [tenant, item] : from.items) {
        wire::Bound& one = *all.add_bound();
        one.set_tenant(tenant), *one.mutable_binding() = item;
    }
    return from.items.empty() ? Group() : Group{{from.group, serialize(all)}};
}
MaybeError read_sessions2(const Group& group, Items<wire::Binding>& into) {
    std::map<std::string, wire::Binding, std::less<>> items;
    std::map<std::string, int, std::less<>> seen;
    for (const Record& record : group) {
        std::string_view tenant, client;
        std::string_view key = record.key;
        bool place = key.starts_with('p');
        if ((!place && !key.starts_with('w')) || !split_key(key.substr(1), tenant, client) ||
            !set_group_name(into.group, client))
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
        if (MaybeError error = add_item(into, tenant, std::move(item))) return error;
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
        std::string key = make_key(tenant, from.group);
        if (has_place(item) || !item.beyond().empty()) group.push_back({"p" + key, serialize(place)});
        if (item.under_way_size()) group.push_back({"w" + key, serialize(work)});
    }
    return group;
}
MaybeError read_rates1(const Group& group, Items<wire::Use>& into) {
    return read_combined<wire::Rates1>(
        group, into, [](const wire::Rates1& all) -> const auto& { return all.uses(); },
        [](const wire::UseOf& one) -> const wire::Use& { return one.use(); });
}
Group write_rates1(const Items<wire::Use>& from) {
    wire::Rates1 all;
    for (const auto& [tenant, item] : from.items) {
        wire::UseOf& one = *all.add_uses();
        one.set_tenant(tenant), *one.mutable_use() = item;
    }
    return from.items.empty() ? Group() : Group{{from.group, serialize(all)}};
}

// Groups of a single record under its own key

template <class Item>
MaybeError read_single(const Group& group, Items<Item>& into) {
    for (const Record& record : group) {
        Item item;
        if (!into.group.empty() || !set_group_name(into.group, record.key) || !read(record.value, item))
            return Error::Malformed;
        if constexpr (std::is_same_v<Item, wire::Fence1>) {
            std::map<std::uint64_t, wire::FenceStep> steps;
            for (const wire::FenceStep& step : item.steps())
                if (!has_only_fields_of<wire::FenceStep>(serialize(step)) ||
                    !steps.emplace(step.step(), step).second)
                    return Error::Malformed;
            item.clear_steps();
            for (const auto& [number, step] : steps) *item.add_steps() = step;
        }
        into.items.emplace(std::string(), std::move(item));
    }
    return {};
}
template <class Item>
Group write_single(const Items<Item>& from) {
    Group group;
    for (const auto& [none, item] : from.items) group.push_back({from.group, serialize(item)});
    return group;
}

/// The parser and serializer of one version of a kind.
template <class Item>
struct Codec {
    MaybeError (*read)(const Group&, Items<Item>&);
    Group (*write)(const Items<Item>&);
};
constexpr Codec<wire::Binding> kSessions1{read_sessions1, write_sessions1},
    kSessions2{read_sessions2, write_sessions2};
constexpr Codec<wire::Session3> kSessions3{read_per_tenant, write_per_tenant};
constexpr Codec<wire::Session4> kSessions4{read_per_tenant, write_per_tenant};
constexpr Codec<wire::Use> kRates1{read_rates1, write_rates1}, kRates2{read_per_tenant, write_per_tenant};
constexpr Codec<wire::Bucket3> kRates3{read_per_tenant, write_per_tenant};
constexpr Codec<wire::Rules1> kRules1{read_single, write_single};
constexpr Codec<wire::Rules2> kRules2{read_single, write_single};
constexpr Codec<wire::Fence1> kFences1{read_single, write_single};
constexpr Codec<wire::Snapshot1> kSnapshots1{read_single, write_single};

Result failure(Error error, Kind kind, Version schema) {
    return Failure{error, std::string(name(kind)) + " " + std::to_string(schema)};
}
MaybeError check_size(const Group& group) {
    std::size_t size = 0;
    for (const Record& record : group) size += record.key.size() + record.value.size();
    return group.size() > kMaxGroupRecords || size > kMaxGroupBytes ? MaybeError(Error::TooLarge)
                                                                    : MaybeError();
}
Result finish(Kind kind, Version schema, Group group) {
    if (MaybeError error = check_size(group)) return failure(*error, kind, schema);
    std::sort(group.begin(), group.end(), [](const Record& a, const Record& b) { return a.key < b.key; });
    return group;
}

template <class From, class To, class Step>
Result apply_step(Kind kind, Version schema, const Group& group, const Codec<From>& from, const Codec<To>& to,
                  const Step& step) {
    Items<From> read;
    Items<To> made;
    MaybeError error = check_size(group);
    if (!error) error = from.read(group, read);
    if (error) return failure(*error, kind, schema);
    made.group = read.group;
    for (const auto& [tenant, item] : read.items) {
        To& into = made.items[tenant];
        error = step(item, into);
        if (!error && !is_normalized(into)) error = Error::Malformed;
        if (error) return failure(*error, kind, schema);
    }
    return finish(kind, schema, to.write(made));
}
template <class Item>
Result same_items(Kind kind, Version schema, const Group& group, const Codec<Item>& from,
                  const Codec<Item>& to) {
    return apply_step(kind, schema, group, from, to, [](const Item& item, Item& into) {
        into = item;
        return MaybeError();
    });
}
template <class Pair>
Result step_up(Kind kind, Version schema, const Group& group, const Codec<typename Pair::Old>& from,
               const Codec<typename Pair::New>& to) {
    return apply_step(kind, schema, group, from, to, up_item<Pair>);
}
template <class Pair>
Result step_down(Kind kind, Version schema, const Group& group, const Codec<typename Pair::New>& from,
                 const Codec<typename Pair::Old>& to) {
    return apply_step(kind, schema, group, from, to, down_item<Pair>);
}

}  // namespace

Version newest_version(Kind kind) {
    static constexpr Version kNewest[kKindCount] = {4, 3, 2, 1, 1};
    return std::size_t(kind) < kKindCount ? kNewest[std::size_t(kind)] : 0;
}

namespace {

/// Applies `step` to the items without a change of version.
template <class Step>
Result apply_in_place(Kind kind, Version schema, const Group& group, const Step& step) {
    auto same = [&](const auto& form) { return apply_step(kind, schema, group, form, form, step); };
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
    return failure(Error::UnknownSchema, kind, schema);
}

}  // namespace

Result canonical(Kind kind, Version schema, const Group& group) {
    return apply_in_place(kind, schema, group, [](const auto& item, auto& into) {
        into = item;
        return MaybeError();
    });
}

Result bare(Kind kind, Version schema, const Group& group) {
    return apply_in_place(kind, schema, group, [](const auto& item, auto& into) {
        into = without_behind(without_beyond(item));
        return MaybeError();
    });
}

Result up(Kind kind, Version from, const Group& group) {
    if (kind == Kind::Sessions) {
        if (from == 1) return same_items(kind, from, group, kSessions1, kSessions2);
        if (from == 2) return step_up<IdleToLease>(kind, from, group, kSessions2, kSessions3);
        if (from == 3) return step_up<CellToName>(kind, from, group, kSessions3, kSessions4);
    } else if (kind == Kind::Rates) {
        if (from == 1) return same_items(kind, from, group, kRates1, kRates2);
        if (from == 2) return step_up<WindowsToBucket>(kind, from, group, kRates2, kRates3);
    } else if (kind == Kind::Rules && from == 1) {
        return step_up<HexToBytes>(kind, from, group, kRules1, kRules2);
    }
    return failure(Error::UnknownSchema, kind, from + 1);
}

Result down(Kind kind, Version from, const Group& group) {
    if (kind == Kind::Sessions) {
        if (from == 2) return same_items(kind, from, group, kSessions2, kSessions1);
        if (from == 3) return step_down<IdleToLease>(kind, from, group, kSessions3, kSessions2);
        if (from == 4) return step_down<CellToName>(kind, from, group, kSessions4, kSessions3);
    } else if (kind == Kind::Rates) {
        if (from == 2) return same_items(kind, from, group, kRates2, kRates1);
        if (from == 3) return step_down<WindowsToBucket>(kind, from, group, kRates3, kRates2);
    } else if (kind == Kind::Rules && from == 2) {
        return step_down<HexToBytes>(kind, from, group, kRules2, kRules1);
    }
    return failure(Error::UnknownSchema, kind, from > newest_version(kind) ? from : from - 1);
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
    return split_key(key, tenant, client) ? client : std::string_view();
}

std::variant<Spent, Failure> spent(Kind kind, Version schema, const Group& group) {
    Spent sums;
    if (kind != Kind::Rates) return sums;
    Items<wire::Bucket3> buckets;
    Items<wire::Use> uses;
    MaybeError error = check_size(group);
    if (!error) {
        if (schema == 1)
            error = read_rates1(group, uses);
        else if (schema == 2)
            error = read_per_tenant(group, uses);
        else if (schema == 3)
            error = read_per_tenant(group, buckets);
        else
            error = Error::UnknownSchema;
    }
    // Where an older version keeps the exact amount, that one counts instead of the rounded one.
    for (const auto& [tenant, use] : uses.items)
        if (!error) error = up_item<WindowsToBucket>(use, buckets.items[tenant]);
    if (error) return std::get<Failure>(failure(*error, kind, schema));
    for (const auto& [tenant, bucket] : buckets.items) sums[tenant] = bucket.spent();
    return sums;
}

}  // namespace ochrehub::schema
