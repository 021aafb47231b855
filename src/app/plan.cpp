#include "app/plan.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "app/toml_sections.h"
#include "fleet/config_distribution/max_inconsistency.h"

namespace ochrehub::app {
namespace {

std::uint64_t draw_seed() {
    std::random_device random;
    return std::uint64_t{random()} << 32 | random();
}

/// Without a file all is off.
config::LineFile read_operators(const std::string& path, OperatorSettings& into, const Names& names) {
    std::vector<config::Section> sections = operator_sections(into, &names.classes);
    if (path.empty()) {
        config::take_defaults(sections);
        return {};
    }
    config::LineFile file = config::read_line_file(path, sections);
    if (!file.faults.empty()) throw ConfigError(path + ": " + file.faults.front());
    return file;
}

std::string quoted(std::string_view text) {
    return std::string("\"").append(text).append("\"");
}

std::string item(const char* list, std::size_t i, const char* key = nullptr) {
    std::string name = std::string(list) + "[" + std::to_string(i) + "]";
    return key ? name + "." + key : name;
}

/// What no table can say: how settings must fit each other.
class Fitting {
public:
    Fitting(config::TomlFile& file, Told& told) : file_(file), told_(told) {}

    void check() {
        if (told_.node.control.port() != 0 && told_.node.control == told_.node.listen)
            file_.wrong("control", "is that of listen too");
        fleet();
        keepers();
        one_source_of_servers();
        same_twice("class", "name", told_.classes, [](const auto& c) { return c.decisions.name; });
        same_twice("tenant", "name", told_.tenants, [](const auto& t) { return t.name; });
        servers_apart();
        if (told_.classes.empty())
            file_.wrong("class", "is missing: at least one [[class]] says what is served");
        for (std::size_t i = 0; i < told_.classes.size(); ++i) {
            times(i);
            scope(i);
            default_methods(told_.classes[i]);
            reached(i);
        }
    }

private:
    void fleet() {
        membership::MembershipConfig& fleet = told_.fleet;
        if (!fleet.on) return;
        if (fleet.zone.empty()) fleet.zone = told_.node.zone;
        if (fleet.listen.port() == 0 && !file_.has("fleet.listen"))
            file_.wrong("fleet.listen", "is missing: where members' datagrams come in");
        if (fleet.listen.address().is_unspecified() && fleet.listen.port() != 0 &&
            fleet.advertise.port() == 0)
            file_.wrong("fleet.listen", "is no place to be reached at: `advertise` one beside it");
        if (fleet.advertise.port() != 0 && fleet.advertise.address().is_unspecified())
            file_.wrong("fleet.advertise", "is no place to be reached at");
        for (const char* key : {"fleet.listen", "fleet.advertise"}) {
            const auto& at = key == std::string_view("fleet.listen") ? fleet.listen : fleet.advertise;
            if (at.port() != 0 && !at.address().is_v4()) file_.wrong(key, "is no IPv4 address");
        }
        auto named = [&](const char* key, const std::string& name, std::size_t most) {
            if (std::string fault = membership::name_error(name, most); !fault.empty())
                file_.wrong(key, quoted(name) + " " + fault);
        };
        named("name", told_.node.name, membership::kMaxNameBytes);
        named(file_.has("fleet.zone") ? "fleet.zone" : "zone", fleet.zone, membership::kMaxZoneBytes);
        if (fleet.cluster.empty()) file_.wrong("fleet.cluster", "is empty");
        if (fleet.nodes_least > told_.node.nodes)
            file_.wrong("fleet.nodes_least", "is more than nodes, " + std::to_string(told_.node.nodes));
        if (fleet.key_file.empty()) return;
        membership::KeyFile read = membership::read_keys(fleet.key_file);
        if (!read.fault.empty()) file_.wrong("fleet.key_file", fleet.key_file + ": " + read.fault);
        fleet.keys = std::move(read.keys);
    }

    void keepers() {
        KeepersTold& told = told_.keepers;
        if (!told.on) return;
        if (told.ask.empty()) file_.wrong("keepers.ask", "is missing: the addresses of some keepers");
        if (told.cluster.empty()) file_.wrong("keepers.cluster", "is empty");
        for (const std::string* name : {&told_.node.name, &told_.node.zone})
            if (std::string fault = membership::name_error(*name, membership::kMaxNameBytes); !fault.empty())
                file_.wrong(name == &told_.node.name ? "name" : "zone", quoted(*name) + " " + fault);
        std::optional<Duration> stated;
        if (told.stated > 0) stated = Duration{told.stated};
        if (auto bad = config_distribution::validate(config_distribution::lease_timing(told.lease, stated)))
            file_.wrong(file_.has("keepers.stated_ms") ? "keepers.stated_ms" : "keepers.lease_ms",
                        fleet::sentence(*bad));
        if (told.key_file.empty()) return;
        membership::KeyFile read = membership::read_keys(told.key_file);
        if (!read.fault.empty()) file_.wrong("keepers.key_file", told.key_file + ": " + read.fault);
        told.keys = std::move(read.keys);
    }

    void one_source_of_servers() {
        bool asks = told_.node.discovery.port() != 0;
        if (asks && !told_.servers.empty())
            file_.wrong("discovery", "stands beside [[server]]: servers come from one of the two");
        if (!asks && told_.servers.empty())
            file_.wrong("server",
                        "is missing: [[server]] with an address, or discovery, says where requests go");
        if (!asks && told_.settings.removal_not_binding)
            file_.wrong("safety.removal_not_binding",
                        "is for discovery alone: what is taken out of a file has gone");
    }

    template <class T, class Name>
    void same_twice(const char* list, const char* key, const std::vector<T>& items, Name name) {
        for (std::size_t i = 0; i < items.size(); ++i)
            for (std::size_t k = 0; k < i && !name(items[i]).empty(); ++k)
                if (name(items[k]) == name(items[i])) {
                    file_.wrong(item(list, i, key),
                                quoted(name(items[i])) + " is that of " + item(list, k) + " too");
                    break;
                }
    }

    // One known by another's address would be taken for it.
    void servers_apart() {
        const std::vector<discovery::StaticServer>& all = told_.servers;
        for (std::size_t i = 0; i < all.size(); ++i)
            for (std::size_t k = 0; k < i && !all[i].address.empty(); ++k) {
                bool same_address = all[i].address == all[k].address;
                if (!same_address && all[i].id() != all[k].id()) continue;
                file_.wrong(item("server", i, same_address ? "address" : "name"),
                            quoted(same_address ? all[i].address : all[i].id()) + " is that of " +
                                item("server", k) + " too");
                break;
            }
    }

    void times(std::size_t i) {
        const ClassSettings& c = told_.classes[i].decisions.settings;
        if (c.request_timeout >= c.latency_objective) return;
        const char* key = file_.has(item("class", i, "give_up_ms")) ? "give_up_ms" : "aim_ms";
        file_.wrong(item("class", i, key), "a client gives up before the aim");
    }

    // Servers of which this is not known would all be taken for one group: a repeat could run twice.
    void scope(std::size_t i) {
        const ClassSettings& c = told_.classes[i].decisions.settings;
        if (c.idempotency != Idempotency::IdempotentWithKey ||
            c.deduplication_scope == DeduplicationScope::All)
            return;
        bool zone = c.deduplication_scope == DeduplicationScope::Zone;
        for (std::size_t k = 0; k < told_.servers.size(); ++k) {
            const discovery::StaticServer& server = told_.servers[k];
            if (zone ? server.zone.empty() : server.cell == kNone)
                file_.wrong(item("server", k, zone ? "zone" : "cell"),
                            "is missing: " + item("class", i, "scope") + " goes by it");
        }
        if (zone && told_.node.discovery.port() != 0 && told_.node.zones.empty())
            file_.wrong("zones", "is missing: " + item("class", i, "scope") + " goes by them");
    }

    static void default_methods(Told::Class& c) {
        if (!c.route.methods.empty()) return;
        if (c.decisions.settings.idempotency == Idempotency::Idempotent)
            c.route.methods = {"GET", "HEAD", "OPTIONS"};
        if (c.decisions.settings.idempotency == Idempotency::IdempotentWithKey)
            c.route.methods = {"POST", "PUT", "PATCH", "DELETE"};
    }

    // A class that never gets a request is a slip that nothing else would show.
    void reached(std::size_t i) {
        const http::Route& route = told_.classes[i].route;
        auto taken = [&](const std::string& method) {
            return std::any_of(told_.classes.begin(), told_.classes.begin() + std::ptrdiff_t(i),
                               [&](const Told::Class& before) {
                                   const http::Route& r = before.route;
                                   return r.path == route.path &&
                                          (method.empty() ? r.methods.empty() : r.lists(method));
                               });
        };
        bool all = route.methods.empty() ? taken("")
                                         : std::all_of(route.methods.begin(), route.methods.end(), taken);
        if (all)
            file_.wrong(item("class", i),
                        "takes no request: those before it take all on " + quoted(route.path));
    }

    config::TomlFile& file_;
    Told& told_;
};

}  // namespace

Plan read_platform_plan(const std::string& operators_path, Occasion occasion, const Names* start) {
    Plan plan;
    plan.node = read_node_config(occasion);
    config::LineFile file = read_operators(operators_path, plan.operators, start ? *start : plan.node.names);
    plan.audit_file_at = operators_path + ": line " + std::to_string(file.line_of("audit_file")) + ": " +
                         quoted("audit_file " + plan.operators.audit.file) + " ";
    return plan;
}

Plan read_toml_plan(config::TomlFile& file) {
    Told told;
    file.read(toml_sections(told));
    if (!file.readable()) return {};
    Fitting(file, told).check();

    Plan plan;
    plan.node.name = told.node.name;
    plan.node.listen = told.node.listen;
    plan.node.discovery = told.node.discovery;
    if (told.node.control.port() != 0) plan.node.control = told.node.control;
    plan.node.scratch = scratch_folder();
    plan.node.seed = told.node.seed ? *told.node.seed : draw_seed();
    plan.node.sockets = told.process.sockets;
    plan.node.memory_mb = told.process.memory_mb;
    Names& names = plan.node.names;
    names.zones = told.node.zones;
    const std::string& zone = told.node.zone;
    if (!zone.empty() && index_of(names.zones, zone) == kNone) names.zones.push_back(zone);
    plan.profile = told.profile;
    plan.profile.trace_seed = plan.node.seed;
    Settings& settings = plan.node.settings = told.settings;
    settings.node_count = told.node.nodes;
    settings.zone = index_of(names.zones, zone);
    settings.polls_discovery = settings.watches_discovery = told.node.discovery.port() != 0;
    for (const Told::Class& c : told.classes) {
        names.classes.push_back(c.decisions.name);
        settings.classes.push_back(c.decisions.settings);
        plan.profile.routes.push_back(c.route);
    }
    for (const NamedTenant& tenant : told.tenants) {
        names.tenants.push_back(tenant.name);
        settings.tenants.push_back(tenant.settings);
    }
    if (!settings.polls_discovery) plan.servers = told.servers;
    plan.operators = told.operators;
    plan.log = told.log;
    plan.fleet = told.fleet;
    plan.keepers = told.keepers;
    plan.zone = told.node.zone;
    plan.fleet_listen_at = file.worded("fleet.listen", "");
    plan.audit_file_at = file.worded("audit.file", quoted(told.operators.audit.file) + " ");
    plan.values = file.values();
    return plan;
}

Plan read_toml_plan(const std::string& path) {
    config::TomlFile file(path);
    Plan plan = read_toml_plan(file);
    std::string all;
    for (const std::string& fault : file.faults()) all.append(all.empty() ? "" : "\n").append(fault);
    if (!all.empty()) throw ConfigError(all);
    return plan;
}

}  // namespace ochrehub::app
