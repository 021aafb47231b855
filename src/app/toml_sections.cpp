#include "app/toml_sections.h"

#include <charconv>

namespace ochrehub::app {
namespace {

using config::Table;

constexpr std::size_t kSocketsLeast = 32, kMemoryLeast = 8, kMost = 1 << 20;

Table<Told::Node> node_settings() {
    return {
        config::address({.name = "listen", .fallback = "127.0.0.1:8080", .help = "where clients connect"},
                        &Told::Node::listen),
        config::address(
            {.name = "control", .help = "the second address, for operators; without it there is none"},
            &Told::Node::control),
        config::text(
            {.name = "name", .fallback = "ochrehub", .help = "what the node calls itself in its log"},
            &Told::Node::name),
        {{.name = "seed", .help = "hexadecimal, for random choices; without it one is drawn"},
         [](Told::Node& node, std::string_view text) -> std::string {
             std::uint64_t seed = 0;
             auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
             if (error != std::errc{} || end != text.data() + text.size())
                 return "is not a hexadecimal number";
             node.seed = seed;
             return {};
         }},
        config::number({.name = "nodes", .fallback = "1", .help = "how many such nodes share the servers"},
                       &Told::Node::nodes, 1, 100000),
        config::text({.name = "zone", .help = "where the node stands"}, &Told::Node::zone),
        {{.name = "zones", .kind = config::Kind::Texts, .help = "with discovery: all the zones there are"},
         [](Told::Node& node, std::string_view value) -> std::string {
             if (value.empty()) return "is no name";
             node.zones.emplace_back(value);
             return {};
         }},
        config::address({.name = "discovery", .help = "where to ask for servers, instead of `[[server]]`"},
                        &Told::Node::discovery)};
}

Table<Told::Process> process_settings() {
    return {config::number({.name = "sockets",
                            .fallback = "1024",
                            .help = "descriptors it may hold, or the process's own limit if that is less"},
                           &Told::Process::sockets, kSocketsLeast, kMost),
            config::number({.name = "memory_mb", .fallback = "192", .help = "memory that it may hold"},
                           &Told::Process::memory_mb, kMemoryLeast, kMost)};
}

Table<Told::Class> classes(std::vector<std::string>& names) {
    Table<Told::Class> table;
    config::join(table, class_settings(), &Told::Class::decisions);
    config::join(table, http::route_settings(), &Told::Class::route);
    for (config::Setting<Told::Class>& setting : table)
        if (setting.name == "name")  // rules further down may name it
            setting.take = [take = setting.take, &names](Told::Class& told, std::string_view value) {
                names.emplace_back(value);
                return take(told, value);
            };
    return table;
}

}  // namespace

Table<LogSettings> log_settings() {
    return {
        config::word({.name = "format", .fallback = "text", .help = "`text`, or `json`: an object a line"},
                     &LogSettings::format, {{"text", LogFormat::Text}, {"json", LogFormat::Json}}),
        config::word({.name = "level",
                      .fallback = "info",
                      .help = "the least that is written: `debug`, `info`, `warn` or `error`"},
                     &LogSettings::level,
                     {{"debug", LogLevel::Debug},
                      {"info", LogLevel::Info},
                      {"warn", LogLevel::Warn},
                      {"error", LogLevel::Error}})};
}

std::vector<config::Section> toml_sections(Told& into) {
    Table<Told> limits, health;
    config::join(limits, process_settings(), &Told::process);
    config::join(limits, limit_settings(), &Told::settings);
    config::join(health, health_settings(), &Told::settings);
    config::join(health, http::probe_settings(), &Told::profile);
    std::vector<config::Section> sections{
        {"", node_settings(), into.node},
        config::Section::list("class", classes(into.class_names), into.classes),
        config::Section::list("server", discovery::static_settings(), into.servers),
        config::Section::list("tenant", tenant_settings(), into.tenants),
        {"http", http::settings(), into.profile},
        {"health", health, into},
        {"limits", limits, into},
        {"safety", safety_settings(), into.settings},
        {"prices", price_settings(), into.settings},
        {"log", log_settings(), into.log},
        {"fleet", membership::settings(), into.fleet},
        {"keepers", keepers_settings(), into.keepers}};
    for (config::Section& section : operator_sections(into.operators, &into.class_names))
        sections.push_back(std::move(section));
    return sections;
}

}  // namespace ochrehub::app
