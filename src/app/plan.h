// All that a node runs by, joined from whatever its files say.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "app/node_config.h"
#include "app/operators.h"
#include "app/rules.h"
#include "base/log.h"
#include "config/toml_file.h"
#include "discovery/static_list.h"
#include "fleet/membership/settings.h"
#include "http/http_profile.h"

namespace ochrehub::app {

struct Plan {
    NodeConfig node;
    OperatorSettings operators;
    http::HttpProfile profile;
    LogSettings log;
    /// Instead of discovery.
    std::optional<std::vector<discovery::StaticServer>> servers;
    membership::MembershipConfig fleet;
    KeepersTold keepers;
    std::string zone;             ///< where the node stands
    std::string audit_file_at;    ///< where the audit's file was named, worded to go before a fault
    std::string fleet_listen_at;  ///< ... and the fleet's address
    std::vector<config::TomlFile::Value> values;  ///< of a TOML file: to tell what a reload does not change
};

/// Reads everything anew and checks all of it. `start`: the names of the start, on a reload. Throws
/// ConfigError.
using ReadPlan = std::function<Plan(Occasion, const Names* start)>;

/// By GW_CONFIG and the operators' file, if its path is not empty.
Plan read_platform_plan(const std::string& operators_path, Occasion occasion, const Names* start);
/// By a TOML file.
Plan read_toml_plan(const std::string& path);
/// The same, its faults left in `file`.
Plan read_toml_plan(config::TomlFile& file);

}  // namespace ochrehub::app
