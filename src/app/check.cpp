#include <cstdio>
#include <cstdlib>

#include "app/commands.h"
#include "app/keeper_config.h"
#include "app/plan.h"
#include "fleet/config_distribution/max_inconsistency.h"

namespace ochrehub::app {
namespace {

bool ends_with(const std::string& path, std::string_view end) {
    return std::string_view(path).ends_with(end);
}

void print_value(const std::string& name, const std::string& value, const std::string& source) {
    std::printf("%s %s (%s)\n", name.c_str(), value.empty() ? "unset" : value.c_str(), source.c_str());
}

int check_toml(const std::string& path) {
    config::TomlFile file(path);
    KeepersTold keepers;
    if (is_keeper_file(path))
        read_keeper_file(file);
    else
        keepers = read_toml_plan(file).keepers;
    std::vector<std::string> faults = file.faults();
    for (const std::string& fault : faults) std::printf("%s\n", fault.c_str());
    for (const config::TomlFile::Value& v : file.values()) {
        std::string source = v.at.line > 0     ? path + ":" + std::to_string(v.at.line)
                             : v.value.empty() ? "no default"
                                               : "default";
        print_value(v.name, v.value, source);
    }
    if (keepers.on && faults.empty())
        std::printf(
            "stated time: strict 0 ms, quick %.0f ms; a canary of a quick document may contradict the others "
            "for its own length more\n",
            config_distribution::max_inconsistency(config_distribution::lease_timing(keepers.lease),
                                                   config_distribution::ConsistencyMode::Bounded)
                .count());
    return faults.empty() ? 0 : 1;
}

/// `path`, of the operators' file, may be null: there is none.
int check_platform(const std::string* path) {
    Report node;
    Names names;
    bool read = false;
    try {
        names = read_node_config(Occasion::Start, node).names;
        read = true;
    } catch (const ConfigError& error) {
        node.faults.emplace_back(error.what());
    }
    // Without GW_CONFIG no class is known, and none is held against the file.
    OperatorSettings settings;
    config::LineFile operators;
    if (path)
        operators =
            config::read_line_file(*path, operator_sections(settings, read ? &names.classes : nullptr));
    for (const auto* faults : {&operators.faults, &node.faults})
        for (const std::string& fault : *faults) std::printf("%s\n", fault.c_str());
    for (const config::LineFile::Value& v : operators.values)
        print_value(v.name, v.value,
                    v.line > 0        ? "file line " + std::to_string(v.line)
                    : v.value.empty() ? "no default"
                                      : "default");
    for (const Report::Value& v : node.values) print_value(v.name, v.value, v.source);
    return operators.faults.empty() && node.faults.empty() ? 0 : 1;
}

}  // namespace

int check(const std::vector<std::string>& paths) {
    int status = 0;
    bool platform = false;
    const std::string* operators = nullptr;
    for (const std::string& path : paths) {
        if (ends_with(path, ".toml")) {
            status |= check_toml(path);
            continue;
        }
        platform = true;
        if (ends_with(path, ".json"))
            setenv("GW_CONFIG", path.c_str(), 1);  // read as a start would with it
        else
            operators = &path;
    }
    return platform ? status | check_platform(operators) : status;
}

}  // namespace ochrehub::app
