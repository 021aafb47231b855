// All that the platform tells a node, in GW_CONFIG and beside it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "discovery/server_list.h"
#include "engine/decode.h"
#include "ochrehub/balancer.h"

namespace ochrehub::app {

/// what() names the faulty key, and is a line for each fault where there are several.
struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct NodeConfig {
    std::string name;
    boost::asio::ip::tcp::endpoint listen, discovery;
    std::uint64_t seed = 0;
    std::size_t sockets = 1024, memory_mb = 192;
    Settings settings;
    Names names;
    ServerList known;                                       ///< the server list of last time; may be empty
    std::optional<boost::asio::ip::tcp::endpoint> control;  ///< the second address, if there is one
    std::optional<int> inherited;                           ///< the clients' listener, if it is handed down
    std::string scratch;  ///< a folder that the node's processes share while it lives; may be empty
};

/// $TMPDIR, or empty.
std::string scratch_folder();

/// At the start GW_DISCOVERY goes before the file. On reload the file does: it alone can have changed.
enum class Occasion { Start, Reload };

/// From the environment's GW_* and the file that GW_CONFIG names, all of it checked. Throws ConfigError.
NodeConfig read_node_config(Occasion occasion);
/// The same, with all faults and all values in force reported. Throws ConfigError where there is no file to
/// read.
NodeConfig read_node_config(Occasion occasion, Report& report);

}  // namespace ochrehub::app
