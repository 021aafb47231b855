// The configuration that the platform would give a node on a day.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/model/day.h"
#include "lab/play/address.h"
#include "lab/record/record.h"

namespace ochrehub::lab {

struct NodeAddresses {
    Endpoint listen, discovery;
    std::string peer_listen, peers_all;
    std::vector<std::string> peers;  ///< by node
};

/// What a node may hold: its figures, or a fault's where that binds from the beginning of the day.
NodeFigures limits_of(const Day& day, NodeNo node);
std::string node_name(NodeNo node);
/// GW_CONFIG's text. `known`: the server list in discovery's form.
std::string node_config(const Day& day, NodeNo node, const NodeAddresses& at, std::uint64_t seed,
                        const std::string& known);

}  // namespace ochrehub::lab
