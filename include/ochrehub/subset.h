// Which gateways use which servers, where each uses a few of many. All gateways of a tier work out the same
// from the same list, by their numbers alone, and send each other nothing: so a server has as many users as
// any other, and each user knows how many. No I/O, no clock, no state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ochrehub {

struct Subset {
    std::vector<int> nodes_per_endpoint;  ///< of each key: how many gateways use that server
    std::vector<char> assigned;           ///< of each key: whether this gateway does
};

/// `keys`: the servers, by numbers that are the same at every gateway, in any order, each once. `me` is this
/// gateway among `gateways`, from 0. `width` must be the same at all of them. Each gateway gets so many
/// servers (all, if there are fewer), each server the even number of gateways or one more; what the last
/// gateways find left makes that one less or two more now and then. A list that changes by one server moves
/// little else. Empty where that would take too long (`gateways * width * keys` above a million) or `me` is
/// none of them: then each may choose for itself.
Subset compute_subset(const std::vector<std::uint64_t>& keys, int node_count, int node_index,
                      std::size_t width);

/// share_out, which remembers its last answer: gateways ask every second, and lists change seldom.
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
