// Deterministic subsetting: which nodes use which endpoints, if each uses a few of many. All nodes of a tier
// compute the same assignment from the same endpoint list without exchanging messages, so endpoints are used
// by equally many nodes, and each node knows by how many. No I/O, no clock, no state but a cached result.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ochrehub {

struct Subset {
    std::vector<int> nodes_per_endpoint;  ///< per key: how many nodes use that endpoint
    std::vector<char> assigned;           ///< per key: whether this node uses it
};

/// Assigns `width` endpoints (all, if there are fewer) to each of `node_count` nodes, and returns the subset
/// of node `node_index`, from 0.
///
/// `keys`: identify the endpoints, equal on all nodes, in any order, without duplicates. `width` must be
/// equal on all nodes. Each endpoint gets the even number of nodes or one more; what remains for the last
/// nodes makes that one less or two more at times. If the list changes by one endpoint, few other assignments
/// change.
///
/// Empty if node_index is not one of the nodes, or if the computation would take too long (node_count * width
/// * keys above a million); then each node may choose its own subset.
Subset compute_subset(const std::vector<std::uint64_t>& keys, int node_count, int node_index,
                      std::size_t width);

/// Caches the last result of compute_subset: nodes need it every second, and lists change seldom.
class SubsetCache {
public:
    const Subset& get(const std::vector<std::uint64_t>& keys, int node_count, int node_index,
                      std::size_t width);

private:
    std::vector<std::uint64_t> keys_;
    int node_count_ = 0, node_index_ = 0;
    std::size_t width_ = 0;
    Subset subset_;
};

}  // namespace ochrehub
