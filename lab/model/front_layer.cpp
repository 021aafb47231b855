#include "lab/model/front_layer.h"

#include <algorithm>

namespace ochrehub::lab {

FrontLayer::FrontLayer(const Day& day) : late_(day.front_notice) {
    std::size_t zones = std::max<std::size_t>(1, day.network.zones.size());
    for (const NodeFigures& node : day.nodes) {
        nodes_.push_back({std::max(0, node.zone), false, false, 0});
        zones = std::max(zones, std::size_t(nodes_.back().zone) + 1);
    }
    zones_.resize(zones);
}

void FrontLayer::up(NodeNo node) {
    if (!known(node)) return;
    Node& it = nodes_[std::size_t(node)];
    it.up = true;
    ++it.life;
    if (it.believed) return;
    it.believed = true;
    auto add = [&](std::vector<NodeNo>& to) {
        to.insert(std::lower_bound(to.begin(), to.end(), node), node);
    };
    add(zones_[std::size_t(it.zone)]);
    add(all_);
}

void FrontLayer::down(TimePoint now, NodeNo node, bool told) {
    if (!known(node) || !nodes_[std::size_t(node)].up) return;
    nodes_[std::size_t(node)].up = false;
    if (told) {
        if (nodes_[std::size_t(node)].believed) take_out(node);
        return;
    }
    notices_.push_back({now + late_, node, nodes_[std::size_t(node)].life});
}

NodeNo FrontLayer::choose(TimePoint now, int zone, std::uint64_t hash) {
    notice(now);
    // A client of a zone that the day does not name has no nodes of its own.
    bool named = zone >= 0 && std::size_t(zone) < zones_.size();
    const std::vector<NodeNo>& from =
        named && !zones_[std::size_t(zone)].empty() ? zones_[std::size_t(zone)] : all_;
    if (from.empty()) return kNobody;
    return from[std::size_t((hash >> 32) * from.size() >> 32)];
}

bool FrontLayer::believes(TimePoint now, NodeNo node) {
    notice(now);
    return known(node) && nodes_[std::size_t(node)].believed;
}

void FrontLayer::notice(TimePoint now) {
    while (!notices_.empty() && notices_.front().at <= now) {
        Notice due = notices_.front();
        notices_.pop_front();
        if (nodes_[std::size_t(due.node)].life == due.life) take_out(due.node);
    }
}

void FrontLayer::take_out(NodeNo node) {
    Node& it = nodes_[std::size_t(node)];
    it.believed = false;
    std::erase(zones_[std::size_t(it.zone)], node);
    std::erase(all_, node);
}

}  // namespace ochrehub::lab
