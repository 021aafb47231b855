// The table [fleet] of the TOML file, and the file with the keys of the cluster. This is the only place that
// maps the keys of that table to names of the code. Used at start-up and on reload; no state.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <string>
#include <vector>

#include "config/table.h"
#include "fleet/membership/datagram.h"
#include "ochrehub/balancer.h"

namespace ochrehub::membership {

/// The parsed section.
struct MembershipConfig {
    using Endpoint = boost::asio::ip::udp::endpoint;
    bool on = false;
    Endpoint listen;
    Endpoint advertise;  ///< without a port: the address that it listens on
    std::vector<Endpoint> join;
    std::string cluster;
    std::string zone;
    std::string key_file;
    std::vector<std::string> keys;  ///< from `key_file`
    int nodes_least = 0;            ///< the smallest FleetSizeDivisor; 0: half of `nodes`
    Duration interval{500};         ///< between probes
    Duration isolated{5000};        ///< without a response from any member
    Duration stalled{3000};         ///< without progress of the serving loop
};

/// Parses the section, with the help texts of its keys.
config::Table<MembershipConfig> settings();

struct KeyFile {
    std::vector<std::string> keys;
    std::string fault;  ///< empty: none; worded to follow the path, with the line at fault
};
/// One key per line, 16 to 128 printable characters; the first signs. Only the owner may have access to the
/// file.
KeyFile read_keys(const std::string& path);

/// What is wrong with a name that members send each other; empty: nothing.
std::string name_error(std::string_view name, std::size_t max_bytes);

}  // namespace ochrehub::membership
