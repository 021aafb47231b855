// An emulated node's watch on the server list: the node's own `Watch` in virtual time.
#pragma once

#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "discovery/watch.h"
#include "lab/sim/sim_node.h"

namespace ochrehub::lab {

class SimWatch : public DiscoverySource {
public:
    using Heard = std::function<void(const EndpointList&)>;

    SimWatch(const Day& day, Scheduler& scheduler, NodeWorld& world, std::uint64_t seed, Heard heard);

    void cached(const ListOut& known);
    void watch() override;
    void listed(ListCall call, const ListOut& list);
    void failed(ListCall call);
    void move();

private:
    void happens(const discovery::WatchEvent& event, const ListOut* list = nullptr);
    discovery::CallNo number(ListCall call) const;
    EndpointList listing_of(const ListOut& list);

    const Day& day_;
    Scheduler& scheduler_;
    NodeWorld& world_;
    Heard heard_;
    std::unordered_map<ServerNo, EndpointId> ids_;  // looked up only; never walked but to be cut
    EndpointId next_id_ = 0;
    discovery::Watch watch_;
    std::vector<std::pair<discovery::CallNo, ListCall>> out_;  // at most two
    TimerId timer_ = 0;
};

}  // namespace ochrehub::lab
