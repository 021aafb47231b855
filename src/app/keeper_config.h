// The TOML file of a keeper: [keeper], [[member]] for each of the cluster's, [log].
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "base/log.h"
#include "config/toml_file.h"
#include "fleet/coordinator/server.h"
#include "ochrehub/balancer.h"

namespace ochrehub::app {

struct KeeperTold {
    struct Keeper {
        int number = 0;
        boost::asio::ip::tcp::endpoint listen;
        std::string name, zone, folder, cluster, key_file;
        std::vector<std::string> keys;  ///< from `key_file`
        Duration heartbeat{}, election{};
        std::uint64_t snapshot_entries = 0;
        std::size_t snapshot_mb = 0, asking = 0;
    };
    struct Member {
        int number = 0;
        boost::asio::ip::tcp::endpoint address;
    };
    Keeper keeper;
    std::vector<Member> members;
    LogSettings log;
};

/// Is this a keeper's file, and no node's?
bool is_keeper_file(const std::string& path);
/// Its faults are left in `file`.
KeeperTold read_keeper_file(config::TomlFile& file);
/// Throws ConfigError.
KeeperTold read_keeper_file(const std::string& path);
coordinator::ServerSettings process_settings(const KeeperTold& told, coordinator::StartMode begin);

}  // namespace ochrehub::app
