// The table [fleet] of the TOML file, and the file of the tier's keys.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <string>
#include <vector>

#include "config/table.h"
#include "fleet/membership/datagram.h"
#include "ochrehub/balancer.h"

namespace ochrehub::membership {

struct MembershipConfig {
    using Endpoint = boost::asio::ip::udp::endpoint;
    bool on = false;
    Endpoint listen, advertise;  ///< `advertise` without a port: where it listens
    std::vector<Endpoint> join;
    std::string cluster, zone, key_file;
    std::vector<std::string> keys;  ///< from `key_file`
    int nodes_least = 0;            ///< 0: half of `nodes`
    Duration interval{500}, isolated{5000}, stalled{3000};
};

config::Table<MembershipConfig> settings();

struct KeyFile {
    std::vector<std::string> keys;
    std::string fault;  ///< worded to follow the path, with its line where one is at fault
};
/// A key a line, 16 to 128 printable characters, the first signs. Others than the owner may not read it.
KeyFile read_keys(const std::string& path);

/// What is wrong with a name that members tell each other, or nothing.
std::string name_error(std::string_view name, std::size_t most);

}  // namespace ochrehub::membership
