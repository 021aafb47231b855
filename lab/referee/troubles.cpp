#include "lab/referee/troubles.h"

#include <algorithm>

namespace ochrehub::lab::referee {
namespace {

// A jitter beyond 16 times its mean comes once in nine million messages.
constexpr double kJitterMost = 16;
// What was held back by a partition is sent again by the kernel some time after it has healed.
constexpr Ms kHealed = 1000;

// A node is to be back to its service this long after a stall.
constexpr Ms kStallRecovery = 5000;

bool named(const std::vector<int>& some, int number) {
    return some.empty() || std::find(some.begin(), some.end(), number) != some.end();
}

}  // namespace

Troubles::Troubles(const Day& day) : day_(&day), holds_(day.nodes.size()) {}

Troubles::End Troubles::node_end(NodeNo node) const {
    return {Kind::Node, node, day_->nodes[std::size_t(node)].zone};
}
Troubles::End Troubles::server_end(ServerNo server) const {
    return {Kind::Server, server, day_->servers[std::size_t(server)].zone};
}

bool Troubles::is(const Fault& fault, const std::string& side, const End& end) const {
    if (end.kind == Kind::Node && !named(fault.nodes, end.number)) return false;
    if (end.kind == Kind::Server && !named(fault.servers, end.number)) return false;
    if (side == "clients") return end.kind == Kind::Client;
    if (side == "nodes") return end.kind == Kind::Node;
    if (side == "servers") return end.kind == Kind::Server;
    if (side == "discovery") return end.kind == Kind::Discovery;
    const auto& zones = day_->network.zones;
    return side.rfind("zone:", 0) == 0 && end.zone >= 0 && std::size_t(end.zone) < zones.size() &&
           side.compare(5, std::string::npos, zones[std::size_t(end.zone)]) == 0;
}

bool Troubles::parts(const Fault& fault, const End& a, const End& b, bool either_way) const {
    if (fault.kind != FaultKind::Partition) return false;
    if (is(fault, fault.between, a) && is(fault, fault.and_, b)) return true;
    return (either_way || !fault.one_way) && is(fault, fault.and_, a) && is(fault, fault.between, b);
}

void Troubles::note(const FaultMark& mark) {
    if (mark.fault < 0 || std::size_t(mark.fault) >= day_->faults.size()) return;
    const Fault& fault = day_->faults[std::size_t(mark.fault)];
    const bool partition = fault.kind == FaultKind::Partition;
    if (!partition && fault.kind != FaultKind::Silent && fault.kind != FaultKind::DiscoveryDown) return;
    const Ms at = ms(mark.at);
    if (mark.began) {
        events_.push_back({mark.fault, {at, kNever}});
    } else {
        for (Event& event : events_)
            if (event.fault == mark.fault && event.span.to == kNever)
                event.span.to = at + (partition ? kHealed : 0);
    }
    if (!partition) return;
    for (std::size_t n = 0; n < holds_.size(); ++n) {
        // A client reaches the nodes of its own zone.
        if (!parts(fault, {Kind::Client, kNobody, day_->nodes[n].zone}, node_end(NodeNo(n)), true)) continue;
        if (mark.began) {
            holds_[n].push_back({{at, kNever}, false});
        } else {
            for (Hold& hold : holds_[n])
                if (!hold.stall && hold.span.to == kNever) {
                    hold.span.to = at + kHealed;
                    break;
                }
        }
    }
}

void Troubles::note(const NodeChanged& change) {
    if (change.node < 0 || std::size_t(change.node) >= holds_.size()) return;
    auto& holds = holds_[std::size_t(change.node)];
    if (change.state == NodeState::Stalled) {
        holds.push_back({{ms(change.at), kNever}, true});
    } else if (change.state == NodeState::Resumed || change.state == NodeState::Killed ||
               change.state == NodeState::Ended) {
        for (Hold& hold : holds)
            if (hold.stall && hold.span.to == kNever) hold.span.to = ms(change.at);
    }
}

Ms Troubles::way(NodeNo node, ServerNo server) const {
    const auto& table = day_->network.ms;
    const auto from = std::size_t(day_->nodes[std::size_t(node)].zone);
    const auto to = std::size_t(day_->servers[std::size_t(server)].zone);
    const double mean = from < table.size() && to < table[from].size() ? table[from][to] : 0;
    return mean * (1 + kJitterMost * day_->network.jitter);
}

Ms Troubles::client_way() const {
    return day_->network.client_ms * (1 + kJitterMost * day_->network.jitter);
}

Ms Troubles::extended(Ms limit, NodeNo node, Ms from) const {
    for (const Hold& hold : holds_[std::size_t(node)])
        if (hold.span.from < limit && hold.span.to > from)
            limit += hold.span.to - std::max(hold.span.from, from);
    return limit;
}

Ms Troubles::stalled_until(Ms limit, NodeNo node, Ms from) const {
    for (const Hold& hold : holds_[std::size_t(node)])
        if (hold.stall && hold.span.from < limit && hold.span.to > from)
            limit += hold.span.to - std::max(hold.span.from, from);
    return limit;
}

bool Troubles::recovers_from_stall(NodeNo node, Ms from, Ms to) const {
    const auto& holds = holds_[std::size_t(node)];
    return std::any_of(holds.begin(), holds.end(), [&](const Hold& hold) {
        return hold.stall && hold.span.from < to && hold.span.to + kStallRecovery > from;
    });
}

bool Troubles::held_up(NodeNo node, Ms from, Ms to) const {
    const auto& holds = holds_[std::size_t(node)];
    return std::any_of(holds.begin(), holds.end(),
                       [&](const Hold& hold) { return hold.span.meets(from, to); });
}

bool Troubles::cut_off(NodeNo node, Ms from, Ms to) const {
    const auto& holds = holds_[std::size_t(node)];
    return std::any_of(holds.begin(), holds.end(),
                       [&](const Hold& hold) { return !hold.stall && hold.span.meets(from, to); });
}

bool Troubles::apart(NodeNo node, ServerNo server, Ms from, Ms to) const {
    return std::any_of(events_.begin(), events_.end(), [&](const Event& event) {
        const Fault& fault = day_->faults[std::size_t(event.fault)];
        if (!event.span.meets(from, to)) return false;
        if (fault.kind == FaultKind::Silent) return named(fault.servers, server);
        return parts(fault, node_end(node), server_end(server), true);
    });
}

bool Troubles::silent(ServerNo server, Ms at) const {
    return std::any_of(events_.begin(), events_.end(), [&](const Event& event) {
        const Fault& fault = day_->faults[std::size_t(event.fault)];
        return fault.kind == FaultKind::Silent && event.span.meets(at, at) && named(fault.servers, server);
    });
}

bool Troubles::without_discovery(NodeNo node, Ms from, Ms to) const {
    return std::any_of(events_.begin(), events_.end(), [&](const Event& event) {
        const Fault& fault = day_->faults[std::size_t(event.fault)];
        return event.span.meets(from, to) && (fault.kind == FaultKind::DiscoveryDown ||
                                              parts(fault, node_end(node), {Kind::Discovery}, true));
    });
}

bool Troubles::cut_from_discovery(NodeNo node) const {
    return std::any_of(events_.begin(), events_.end(), [&](const Event& event) {
        return event.span.to == kNever &&
               parts(day_->faults[std::size_t(event.fault)], {Kind::Discovery}, node_end(node), false);
    });
}

}  // namespace ochrehub::lab::referee
