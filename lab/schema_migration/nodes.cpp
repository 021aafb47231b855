#include "lab/schema_migration/nodes.h"

#include <algorithm>
#include <utility>

namespace ochrehub::lab::migration {
namespace {

namespace wire = records::wire;
using schema::kMillion;

std::string key(const std::string& tenant, const std::string& client) {
    return tenant + std::string(1, '\0') + client;
}
std::string cell_name(std::uint32_t cell) {
    return cell ? std::string("cell-").append(std::to_string(cell)) : std::string();
}
std::uint32_t cell_number(const Write& write) {
    return std::uint32_t(1 + write.id % 7);
}
schema::Record& at(Group& group, const std::string& name) {
    for (schema::Record& record : group)
        if (record.key == name) return record;
    group.push_back({name, {}});
    return group.back();
}
template <class M, class Change>
void change(Group& group, const std::string& name, const Change& how) {
    schema::Record& record = at(group, name);
    M message;
    message.ParseFromString(record.value);
    how(message);
    record.value = message.SerializeAsString();
}
template <class M>
void orders(M& m, const Write& write) {
    auto& all = *m.mutable_under_way();
    if (write.id) all.Add(write.id);
    all.erase(std::remove(all.begin(), all.end(), write.closes), all.end());
}
template <class M>
void place(M& m, const Write& write) {
    m.set_server(server_of(write));
    if constexpr (std::is_same_v<M, wire::Session4>) {
        if (write.moves || m.cell().empty()) m.set_cell(cell_of(write, 4));
    } else {
        if (write.moves || !m.cell()) m.set_cell(cell_number(write));
    }
}

}  // namespace

std::string server_of(const Write& write) {
    return std::string("s").append(std::to_string(write.id));
}
std::string cell_of(const Write& write, Version schema) {
    // Every third name has no number in older versions.
    return schema >= 4 && write.id % 3 == 0 ? std::string("rack ").append(std::to_string(write.id))
                                            : cell_name(cell_number(write));
}

Group applied(Kind kind, Version schema, Group group, const Write& write) {
    const std::string each = key(write.tenant, write.group);
    if (kind == Kind::Sessions) {
        if (schema == 1) {
            change<wire::Sessions1>(group, write.group, [&](wire::Sessions1& all) {
                wire::Binding* binding = nullptr;
                for (auto& one : *all.mutable_bound())
                    if (one.tenant() == write.tenant) binding = one.mutable_binding();
                if (!binding) {
                    wire::Bound& one = *all.add_bound();
                    one.set_tenant(write.tenant);
                    binding = one.mutable_binding();
                }
                orders(*binding, write), place(*binding, write), binding->set_idle_ms(0);
            });
        } else if (schema == 2) {
            change<wire::Place2>(group, std::string("p").append(each),
                                 [&](wire::Place2& m) { place(m, write), m.set_idle_ms(0); });
            change<wire::Work2>(group, std::string("w").append(each),
                                [&](wire::Work2& m) { orders(m, write); });
        } else if (schema == 3) {
            change<wire::Session3>(group, each, [&](wire::Session3& m) {
                orders(m, write), place(m, write), m.set_left_ms(schema::kBindingLeaseMs);
            });
        } else {
            change<wire::Session4>(group, each, [&](wire::Session4& m) {
                orders(m, write), place(m, write), m.set_left_ms(schema::kBindingLeaseMs);
            });
        }
    } else {
        auto spend = [&](wire::Use& use) {
            if (!use.window_ms()) use.set_window_ms(60'000), use.set_limit(1000), use.set_left_ms(60'000);
            use.set_counted(use.counted() + 1);
        };
        if (schema == 1) {
            change<wire::Rates1>(group, write.group, [&](wire::Rates1& all) {
                for (auto& one : *all.mutable_uses())
                    if (one.tenant() == write.tenant) return spend(*one.mutable_use());
                wire::UseOf& one = *all.add_uses();
                one.set_tenant(write.tenant), spend(*one.mutable_use());
            });
        } else if (schema == 2) {
            change<wire::Use>(group, each, spend);
        } else {
            change<wire::Bucket3>(group, each, [&](wire::Bucket3& m) { m.set_spent(m.spent() + kMillion); });
        }
    }
    std::sort(group.begin(), group.end(), [](const auto& a, const auto& b) { return a.key < b.key; });
    return group;
}

Group initial_group(Kind kind, Version schema, const std::string& name, std::uint64_t seed) {
    // Created in the newest version, so that older versions have something to keep.
    Version newest = schema::newest_version(kind);
    Group group;
    std::uint64_t i = 0;
    for (const char* tenant : kTenants) {
        ++i;
        if (kind == Kind::Sessions) {
            wire::Session4 session;
            session.set_cell(i == 2 ? "rack north" : cell_name(std::uint32_t(i + seed % 3)));
            session.set_server("first"), session.set_left_ms(schema::kBindingLeaseMs + i),
                session.add_under_way(1'000'000'000 + seed * 10 + i);
            group.push_back({key(tenant, name), session.SerializeAsString()});
        } else {
            wire::Bucket3 bucket;
            bucket.set_burst(1'000'500'000), bucket.set_per_s(16'666'666),
                bucket.set_spent(seed * 333'333 + i * 250'001);
            group.push_back({key(tenant, name), bucket.SerializeAsString()});
        }
    }
    std::sort(group.begin(), group.end(), [](const auto& a, const auto& b) { return a.key < b.key; });
    return std::get<Group>(schema::convert(kind, newest, schema, group));
}

bool parse_contents(Kind kind, Version schema, const Group& group, Contents& contents) {
    auto taken = schema::canonical(kind, schema, group);
    if (!std::holds_alternative<Group>(taken)) return false;
    auto session = [&](const std::string& tenant, const auto& m) {
        Contents::Tenant& t = contents.tenants[tenant];
        for (std::uint64_t order : m.under_way()) t.orders.insert(order);
        t.server = m.server();
        if constexpr (std::is_same_v<std::decay_t<decltype(m)>, wire::Session4>)
            t.cell = m.cell();
        else
            t.cell = cell_name(m.cell());
        ++t.records;
    };
    auto use = [&](const std::string& tenant, const wire::Use& u) {
        Contents::Tenant& t = contents.tenants[tenant];
        long double before =
            (long double)u.previous() * (long double)u.left_ms() / (long double)u.window_ms();
        t.spent += u.counted() * kMillion + std::uint64_t(before * kMillion);
        ++t.records;
    };
    for (const schema::Record& r : group) {
        std::string tenant = r.key.substr(0, r.key.find('\0'));
        if (kind == Kind::Sessions && schema == 1) {
            wire::Sessions1 all;
            all.ParseFromString(r.value);
            for (const auto& one : all.bound()) session(one.tenant(), one.binding());
        } else if (kind == Kind::Sessions && schema == 2) {
            Contents::Tenant& t = contents.tenants[tenant.substr(1)];
            if (tenant[0] == 'p') {
                wire::Place2 place;
                place.ParseFromString(r.value);
                t.server = place.server(), t.cell = cell_name(place.cell()), ++t.records;
            } else {
                wire::Work2 work;
                work.ParseFromString(r.value);
                for (std::uint64_t order : work.under_way()) t.orders.insert(order);
            }
        } else if (kind == Kind::Sessions && schema == 3) {
            wire::Session3 one;
            one.ParseFromString(r.value);
            session(tenant, one);
        } else if (kind == Kind::Sessions) {
            wire::Session4 one;
            one.ParseFromString(r.value);
            session(tenant, one);
        } else if (schema == 1) {
            wire::Rates1 all;
            all.ParseFromString(r.value);
            for (const auto& one : all.uses()) use(one.tenant(), one.use());
        } else if (schema == 2) {
            wire::Use one;
            one.ParseFromString(r.value);
            use(tenant, one);
        } else {
            wire::Bucket3 one;
            one.ParseFromString(r.value);
            contents.tenants[tenant].spent += one.spent(), ++contents.tenants[tenant].records;
        }
    }
    return true;
}

void WriteHistory::attempted(const Write& write) {
    writes_[write.id] = {write};
    tried_by_group_[write.group].insert(write.id);
}

void WriteHistory::acked(const Write& write, std::uint64_t version, Version schema) {
    Done& done = writes_[write.id];
    done.acked = true, done.version = version, done.schema = schema;
    acked_by_group_[write.group].insert(write.id);
    std::uint64_t& last = last_[write.group][write.tenant];
    if (!last || writes_[last].version < version) last = write.id;
    ++acks_;
}

const std::set<std::uint64_t>& WriteHistory::acked_of(const std::string& group) const {
    static const std::set<std::uint64_t> none;
    auto found = acked_by_group_.find(group);
    return found == acked_by_group_.end() ? none : found->second;
}

void WriteHistory::compare(const std::string& group, const Contents& contents,
                           const std::set<std::uint64_t>& sure, const char* when) {
    const std::set<std::uint64_t>& tried = tried_by_group_[group];
    std::map<std::string, std::uint64_t> acked, all;
    std::set<std::uint64_t> may_be_closed, closed;
    for (std::uint64_t id : tried) {
        const Done& done = writes_[id];
        ++all[done.write.tenant];
        if (sure.contains(id)) ++acked[done.write.tenant];
        if (!done.write.closes) continue;
        may_be_closed.insert(done.write.closes);
        if (sure.contains(id)) closed.insert(done.write.closes);
    }
    auto say = [&](const std::string& tenant, const std::string& what) {
        violation(std::string(when) + ": " + group + " of " + tenant + ": " + what);
    };
    for (const auto& first : first_[group].tenants) {
        const std::string& tenant = first.first;
        const Contents::Tenant& was = first.second;
        auto found = contents.tenants.find(tenant);
        if (found == contents.tenants.end()) {
            say(tenant, "is missing");
            continue;
        }
        const Contents::Tenant& is = found->second;
        if (is.records != 1) say(tenant, "is stored " + std::to_string(is.records) + " times");
        if (kind_ == Kind::Rates) {
            std::uint64_t least = was.spent + acked[tenant] * schema::kMillion,
                          most = was.spent + (all[tenant] + 1) * schema::kMillion;
            if (is.spent + 1 < least)
                say(tenant,
                    "spent " + std::to_string(is.spent) + ", was " + std::to_string(least) + " at least");
            if (is.spent > most)
                say(tenant, "spent " + std::to_string(is.spent) + ", charged twice: " + std::to_string(most) +
                                " at most");
            continue;
        }
        auto must_be = [&](std::uint64_t order) {
            if (!may_be_closed.contains(order) && is.orders.count(order) != 1)
                say(tenant, "order " + std::to_string(order) + " is stored " +
                                std::to_string(is.orders.count(order)) + " times");
        };
        for (std::uint64_t order : was.orders) must_be(order);
        for (std::uint64_t id : sure)
            if (writes_[id].write.tenant == tenant) must_be(id);
        for (std::uint64_t order : is.orders) {
            if (!was.orders.contains(order) &&
                !(tried.contains(order) && writes_[order].write.tenant == tenant))
                say(tenant, "order " + std::to_string(order) + " was never opened");
            if (closed.contains(order)) say(tenant, "order " + std::to_string(order) + " was closed");
            if (is.orders.count(order) > 1)
                say(tenant, "order " + std::to_string(order) + " is stored twice");
        }
    }
    for (const auto& [tenant, is] : contents.tenants)
        if (!first_[group].tenants.contains(tenant)) say(tenant, "was never written");
}

void WriteHistory::read(const std::string& group, Version, const Contents& contents,
                        const std::set<std::uint64_t>& acked_before) {
    compare(group, contents, acked_before, "read");
}

void WriteHistory::end(const std::map<std::string, Contents>& groups, Version, bool exact_cells) {
    for (const auto& [group, was] : first_) {
        auto found = groups.find(group);
        if (found == groups.end()) {
            violation("end: " + group + " is missing");
            continue;
        }
        compare(group, found->second, acked_by_group_[group], "end");
        if (kind_ != Kind::Sessions) continue;
        for (const auto& [tenant, is] : found->second.tenants) {
            // If the outcome of all writes is known, the place is that of the last write.
            std::uint64_t last = last_[group][tenant];
            bool unsure = false;
            std::uint64_t moved = 0;
            for (std::uint64_t id : tried_by_group_[group]) {
                const Done& done = writes_[id];
                if (done.write.tenant != tenant) continue;
                if (!done.acked) unsure = true;
                if (done.write.moves && done.acked && (!moved || writes_[moved].version < done.version))
                    moved = id;
            }
            auto first = was.tenants.find(tenant);
            if (unsure || first == was.tenants.end()) continue;
            std::string server = last ? server_of(writes_[last].write) : first->second.server;
            if (is.server != server)
                violation("end: " + group + " of " + tenant + ": is with " + is.server + ", was bound to " +
                          server);
            std::string cell =
                moved ? cell_of(writes_[moved].write, writes_[moved].schema) : first->second.cell;
            if (exact_cells && is.cell != cell)
                violation("end: " + group + " of " + tenant + ": is in " + is.cell + ", was in " + cell);
        }
    }
    for (const auto& [group, is] : groups)
        if (!first_.contains(group)) violation("end: " + group + " was never written");
}

}  // namespace ochrehub::lab::migration
