// Random groups for tests, of every kind and version, and random changes as a process of that version makes
// them.
#pragma once

#include <records.pb.h>

#include <functional>
#include <map>
#include <string>

#include "fleet/schema/schema.h"

namespace ochrehub::schema {

namespace wire = records::wire;
/// Returns a random number below its argument.
using Draw = std::function<std::uint64_t(std::uint64_t below)>;

inline std::string bytes(const google::protobuf::MessageLite& m) {
    return m.SerializeAsString();
}
inline std::string key_of(const std::string& tenant, const std::string& client) {
    return tenant + std::string(1, '\0') + client;
}
inline std::uint64_t number(const Draw& draw) {
    switch (draw(4)) {
        case 0:
            return draw(4);
        case 1:
            return draw(100'000);
        case 2:
            return draw(kBindingLeaseMs * 2);
        default:
            return draw(std::uint64_t(1) << 40);
    }
}
template <class M>
void orders(const Draw& draw, M& m) {
    for (std::uint64_t i = draw(4); i; --i) m.add_under_way(draw(20));
}
template <class M>
void place(const Draw& draw, M& m) {
    if constexpr (std::is_same_v<M, wire::Session4>) {
        static const char* const kNames[] = {
            "", "cell-7", "rack north", "cell-07", "cell-4294967295", "cell-4294967296", "cell-", "cell-0"};
        m.set_cell(kNames[draw(8)]);
    } else {
        m.set_cell(draw(5) ? std::uint32_t(draw(9)) : 0xffffffffu);
    }
    m.set_server(draw(3) ? "s" + std::to_string(draw(9)) : "");
}
inline wire::Use use(const Draw& draw) {
    wire::Use u;
    u.set_window_ms(1 + number(draw) % 100'000), u.set_limit(number(draw) % 1'000'000);
    u.set_counted(number(draw) % 10'000'000), u.set_previous(draw(2) ? number(draw) % 10'000'000 : 0);
    u.set_left_ms(draw(u.window_ms() + 1)), u.set_rolls(draw(5));
    return u;
}

/// A group of client `c` without kept data. It need not be in normal form: orders may be duplicated, items
/// empty.
inline Group fresh(Kind kind, Version schema, const Draw& draw) {
    Group group;
    const std::string tenants[] = {"", "a", "dealer", "z"};
    wire::Sessions1 sessions;
    wire::Rates1 rates;
    for (const std::string& tenant : tenants) {
        if (draw(2)) continue;
        const std::string key = key_of(tenant, "c");
        if (kind == Kind::Sessions) {
            wire::Binding binding;
            place(draw, binding), orders(draw, binding), binding.set_idle_ms(number(draw));
            wire::Place2 where;
            where.set_cell(binding.cell()), where.set_server(binding.server()),
                where.set_idle_ms(binding.idle_ms());
            wire::Work2 work;
            *work.mutable_under_way() = binding.under_way();
            wire::Session3 three;
            place(draw, three), orders(draw, three), three.set_left_ms(number(draw));
            wire::Session4 four;
            place(draw, four), orders(draw, four), four.set_left_ms(number(draw));
            wire::Bound& bound = *sessions.add_bound();
            bound.set_tenant(tenant), *bound.mutable_binding() = binding;
            if (schema == 2 && draw(4)) group.push_back({"p" + key, bytes(where)});
            if (schema == 2 && draw(4)) group.push_back({"w" + key, bytes(work)});
            if (schema == 3) group.push_back({key, bytes(three)});
            if (schema == 4) group.push_back({key, bytes(four)});
        } else if (kind == Kind::Rates) {
            wire::Use one = use(draw);
            wire::UseOf& of = *rates.add_uses();
            of.set_tenant(tenant), *of.mutable_use() = one;
            wire::Bucket3 bucket;
            bucket.set_spent(number(draw)), bucket.set_burst(number(draw)), bucket.set_per_s(number(draw));
            if (schema == 2) group.push_back({key, bytes(one)});
            if (schema == 3) group.push_back({key, bytes(bucket)});
        } else if (group.empty()) {
            static const char* const kDigests[] = {"", "00ff", "ABcd", "abc", "zz"};
            wire::Rules1 one;
            one.set_version(number(draw)), one.set_digest(kDigests[draw(5)]), one.set_content("x");
            wire::Rules2 two;
            two.set_version(number(draw)), two.set_digest(std::string("\1\xff", draw(3))),
                two.set_content("y");
            wire::Fence1 fence;
            fence.set_epoch(number(draw));
            for (std::uint64_t i = draw(3); i; --i) fence.add_steps()->set_step(i);
            wire::Snapshot1 snapshot;
            snapshot.set_index(number(draw)), snapshot.set_state("state");
            if (kind == Kind::Rules) group.push_back({"rules", schema == 1 ? bytes(one) : bytes(two)});
            if (kind == Kind::Fences) group.push_back({"duty", bytes(fence)});
            if (kind == Kind::Snapshots) group.push_back({"machine", bytes(snapshot)});
        }
    }
    if (schema == 1 && kind == Kind::Sessions && sessions.bound_size())
        group.push_back({"c", bytes(sessions)});
    if (schema == 1 && kind == Kind::Rates && rates.uses_size()) group.push_back({"c", bytes(rates)});
    return group;
}

template <class M>
std::string changed(const std::string& value, const std::function<void(M&)>& change) {
    M m;
    m.ParseFromString(value);
    change(m);
    return bytes(m);
}
/// The record without what is kept for other versions.
template <class M>
std::string bare(const std::string& value) {
    return changed<M>(value, [](M& m) {
        m.clear_beyond();
        if constexpr (requires { m.clear_behind(); }) m.clear_behind();
    });
}
inline Group alone(Kind kind, Version schema, Group group) {
    for (Record& r : group) {
        if (kind == Kind::Sessions && schema == 1)
            r.value = changed<wire::Sessions1>(r.value, [](auto& all) {
                for (auto& one : *all.mutable_bound()) one.mutable_binding()->clear_beyond();
            });
        if (kind == Kind::Sessions && schema == 2 && r.key[0] == 'p') r.value = bare<wire::Place2>(r.value);
        if (kind == Kind::Sessions && schema == 3) r.value = bare<wire::Session3>(r.value);
        if (kind == Kind::Sessions && schema == 4) r.value = bare<wire::Session4>(r.value);
        if (kind == Kind::Rates && schema == 1)
            r.value = changed<wire::Rates1>(r.value, [](auto& all) {
                for (auto& one : *all.mutable_uses()) one.mutable_use()->clear_beyond();
            });
        if (kind == Kind::Rates && schema == 2) r.value = bare<wire::Use>(r.value);
        if (kind == Kind::Rates && schema == 3) r.value = bare<wire::Bucket3>(r.value);
        if (kind == Kind::Rules && schema == 1) r.value = bare<wire::Rules1>(r.value);
        if (kind == Kind::Rules && schema == 2) r.value = bare<wire::Rules2>(r.value);
    }
    return group;
}

/// The group after a write of a process of this version, which spends, moves or opens an order, and preserves
/// what it doesn't read.
inline Group written_on(Kind kind, Version schema, Group group, const Draw& draw) {
    auto moves = [&](auto& m) {
        if (draw(2)) place(draw, m);
        if (draw(2)) m.add_under_way(100 + draw(9));
    };
    auto counts = [&](wire::Use& u) {
        u.set_counted(u.counted() + draw(9));
        if (draw(4) == 0)
            u.set_previous(u.counted()), u.set_counted(draw(3)), u.set_rolls(u.rolls() + 1),
                u.set_left_ms(u.window_ms());
        if (draw(5) == 0) u.set_limit(draw(1000));
    };
    for (Record& r : group) {
        if (draw(3) == 0) continue;
        if (kind == Kind::Sessions && schema == 1)
            r.value = changed<wire::Sessions1>(r.value, [&](auto& all) {
                for (auto& one : *all.mutable_bound()) moves(*one.mutable_binding());
            });
        if (kind == Kind::Sessions && schema == 2 && r.key[0] == 'w')
            r.value = changed<wire::Work2>(r.value, [&](auto& m) { m.add_under_way(100 + draw(9)); });
        if (kind == Kind::Sessions && schema == 2 && r.key[0] == 'p')
            r.value = changed<wire::Place2>(r.value, [&](auto& m) {
                m.set_idle_ms(number(draw)), m.set_cell(std::uint32_t(1 + draw(5)));
            });
        if (kind == Kind::Sessions && schema == 3)
            r.value =
                changed<wire::Session3>(r.value, [&](auto& m) { moves(m), m.set_left_ms(number(draw)); });
        if (kind == Kind::Sessions && schema == 4)
            r.value =
                changed<wire::Session4>(r.value, [&](auto& m) { moves(m), m.set_left_ms(number(draw)); });
        if (kind == Kind::Rates && schema == 1)
            r.value = changed<wire::Rates1>(r.value, [&](auto& all) {
                for (auto& one : *all.mutable_uses()) counts(*one.mutable_use());
            });
        if (kind == Kind::Rates && schema == 2) r.value = changed<wire::Use>(r.value, counts);
        if (kind == Kind::Rates && schema == 3)
            r.value = changed<wire::Bucket3>(r.value, [&](auto& m) {
                m.set_spent(draw(4) ? m.spent() + draw(5'000'000) : m.spent() / 2);
            });
        if (kind == Kind::Rules && schema == 1)
            r.value = changed<wire::Rules1>(
                r.value, [&](auto& m) { m.set_version(m.version() + 1), m.set_digest("11"); });
        if (kind == Kind::Rules && schema == 2)
            r.value = changed<wire::Rules2>(
                r.value, [&](auto& m) { m.set_version(m.version() + 1), m.set_digest("\2"); });
    }
    return group;
}

/// The spent amount of a group in millionths by tenant, as its own release counts it.
inline std::map<std::string, std::uint64_t> face(Version schema, const Group& group) {
    std::map<std::string, std::uint64_t> sums;
    auto add = [&](const std::string& tenant, const wire::Use& u) {
        long double before =
            (long double)u.previous() * (long double)u.left_ms() / (long double)u.window_ms();
        sums[tenant] = u.counted() * kMillion + std::uint64_t(before * kMillion);
    };
    for (const Record& r : group) {
        std::string tenant = r.key.substr(0, r.key.find('\0'));
        wire::Rates1 all;
        wire::Use one;
        wire::Bucket3 bucket;
        if (schema == 1 && all.ParseFromString(r.value))
            for (const auto& u : all.uses()) add(u.tenant(), u.use());
        if (schema == 2 && one.ParseFromString(r.value)) add(tenant, one);
        if (schema == 3 && bucket.ParseFromString(r.value)) sums[tenant] = bucket.spent();
    }
    return sums;
}

}  // namespace ochrehub::schema
