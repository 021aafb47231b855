#include "lab/sim/tier.h"

#include <utility>

namespace ochrehub::lab {

using membership::MemberState;

Swarm::Settings Tier::settings(std::size_t nodes, std::uint64_t seed) {
    Swarm::Settings set;
    set.members = nodes;
    set.seeds = std::min<std::size_t>(3, nodes);
    set.seed = seed;
    set.start_all = false;
    return set;
}

membership::FleetSizeDivisor Tier::fresh() const {
    int nodes = int(swarm_.size());
    return membership::FleetSizeDivisor(
        {nodes, (nodes + 1) / 2, Duration{5000}, Duration{1000}});  // as Side has it
}

Tier::Tier(std::size_t nodes, std::uint64_t seed, Cut cut, Told told)
    : cut_(std::move(cut)), told_(std::move(told)), swarm_(settings(nodes, seed)), stalled_(nodes) {
    swarm_.way = [this](std::size_t from, std::size_t to) {
        return cut_(from, to) ? std::vector<Duration>{} : std::vector<Duration>{Duration{0}};
    };
    for (std::size_t i = 0; i < nodes; ++i) nodes_.push_back({fresh(), int(nodes), kNone});
}

void Tier::start(Duration at, std::size_t node) {
    run_to(at);
    swarm_.start(node);
    stalled_[node] = false;
    nodes_[node] = {fresh(), int(swarm_.size()), kNone};
}

void Tier::kill(Duration at, std::size_t node) {
    run_to(at);
    if (swarm_.up(node)) swarm_.crash(node);
}

void Tier::leave(Duration at, std::size_t node) {
    run_to(at);
    if (swarm_.up(node)) swarm_.leave(node);
}

void Tier::stall(Duration at, std::size_t node, bool on) {
    run_to(at);
    if (!swarm_.up(node) || stalled_[node] == on) return;
    stalled_[node] = on;
    on ? swarm_.stop(node) : swarm_.go_on(node);
}

void Tier::look(Duration at) {
    run_to(at);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (!swarm_.up(i) || stalled_[i]) continue;
        One& one = nodes_[i];
        int here = 1, me = 0;
        swarm_.core(i).for_each_member([&](const membership::Membership::Member& member) {
            bool counts = member.update.state <= MemberState::Suspect;
            here += counts;
            me += counts && member.update.address < swarm_.place(i);
        });
        int gateways = one.share.update(TimePoint{} + at, here);
        if (here != gateways) me = kNone;
        if (gateways == one.gateways && me == one.me) continue;
        one.gateways = gateways;
        one.me = me;
        told_(i, gateways, me);
    }
}

}  // namespace ochrehub::lab
