// The sections of the TOML file: every package's tables, joined.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "app/operators.h"
#include "app/rules.h"
#include "base/log.h"
#include "config/table.h"
#include "discovery/static_list.h"
#include "engine/settings.h"
#include "fleet/membership/settings.h"
#include "http/http_profile.h"

namespace ochrehub::app {

/// What the file says, section by section.
struct Told {
    struct Node {
        std::string name, zone;
        boost::asio::ip::tcp::endpoint listen, discovery, control;
        std::optional<std::uint64_t> seed;
        int nodes = 1;
        std::vector<std::string> zones;
    };
    struct Process {
        std::size_t sockets = 0, memory_mb = 0;
    };
    struct Class {
        NamedClass decisions;
        http::Route route;
    };

    Node node;
    Process process;
    Settings settings;
    http::HttpProfile profile;
    LogSettings log;
    membership::MembershipConfig fleet;
    KeepersTold keepers;
    std::vector<Class> classes;
    std::vector<std::string> class_names;
    std::vector<NamedTenant> tenants;
    std::vector<discovery::StaticServer> servers;
    OperatorSettings operators;
};

/// [log], which every process has.
config::Table<LogSettings> log_settings();
/// In the order of the reference. `into` must outlive them.
std::vector<config::Section> toml_sections(Told& into);

}  // namespace ochrehub::app
