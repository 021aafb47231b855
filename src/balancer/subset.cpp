#include "ochrehub/subset.h"

#include <algorithm>

#include "ochrehub/hash.h"

namespace ochrehub {
namespace {

/// Limit on node_count * width * keys: some milliseconds, in which the node does nothing else.
constexpr double kMaxAssignmentWork = 1e6;

}  // namespace

// Rendezvous hashing with bounded loads: the nodes in turn take their highest scores among the endpoints with
// free capacity. The capacity is the even number, rounded down, until that is used up everywhere, and then
// one more.
Subset compute_subset(const std::vector<std::uint64_t>& keys, int node_count, int node_index,
                      std::size_t width) {
    Subset out;
    std::size_t n = keys.size();
    width = std::min(width, n);
    if (width == 0 || node_index < 0 || node_index >= node_count ||
        double(node_count) * double(width) * double(n) > kMaxAssignmentWork)
        return out;
    std::size_t even = std::size_t(node_count) * width / n;
    std::size_t taken = 0;
    out.nodes_per_endpoint.assign(n, 0);
    out.assigned.assign(n, 0);
    std::vector<std::uint64_t> scores(n);
    std::vector<char> chosen(n);
    for (int node = 0; node < node_count; ++node) {
        std::uint64_t salt = mixed(std::uint64_t(node) + 1);
        for (std::size_t i = 0; i < n; ++i) scores[i] = mixed(keys[i] ^ salt);
        std::fill(chosen.begin(), chosen.end(), 0);
        for (std::size_t k = 0; k < width; ++k, ++taken) {
            int capacity = int(taken < even * n ? even : even + 1);
            std::size_t best = n;
            for (std::size_t i = 0; i < n; ++i) {
                if (chosen[i]) continue;
                // An endpoint with free capacity before one without; of those without, the least used; among
                // equals, the highest score.
                int over = best == n ? 0
                                     : std::max(out.nodes_per_endpoint[i] - capacity + 1, 0) -
                                           std::max(out.nodes_per_endpoint[best] - capacity + 1, 0);
                if (best == n || over < 0 || (over == 0 && scores[i] > scores[best])) best = i;
            }
            chosen[best] = 1;
            ++out.nodes_per_endpoint[best];
            if (node == node_index) out.assigned[best] = 1;
        }
    }
    return out;
}

const Subset& SubsetCache::get(const std::vector<std::uint64_t>& keys, int node_count, int node_index,
                               std::size_t width) {
    if (keys != keys_ || node_count != node_count_ || node_index != node_index_ || width != width_) {
        subset_ = compute_subset(keys, node_count, node_index, width);
        keys_ = keys;
        node_count_ = node_count;
        node_index_ = node_index;
        width_ = width;
    }
    return subset_;
}

}  // namespace ochrehub
