#include "lab/referee/node_lists.h"

#include <algorithm>
#include <cmath>

namespace ochrehub::lab::referee {
namespace {

constexpr Ms kToldAnyway = 6000;  // what is written counts as told by then, arrived or not
constexpr Ms kAfterWatch = 2000;  // a call that may wait is over this long after its wait
constexpr Ms kRounding = 1;       // starts are listed in whole ms
constexpr int kAfterFailure = 4;  // times as long may pass after a call that failed

}  // namespace

NodeLists::NodeLists(const Day& day, const Troubles& troubles, Ms start, Ms slack)
    : day_(&day),
      troubles_(&troubles),
      slack_(slack),
      servers_(day.servers.size()),
      table_(day.nodes.size() * servers_),
      nodes_(day.nodes.size()),
      listings_(servers_) {
    for (Node& node : nodes_) {
        node.lists.push_back(start);
        node.asked_at = start;
    }
}

void NodeLists::forget(NodeNo number, Ms at) {
    std::fill_n(table_.begin() + std::ptrdiff_t(std::size_t(number) * servers_), servers_, Entry{});
    Node fresh;
    fresh.lists.push_back(at);
    fresh.asked_at = at;
    nodes_[std::size_t(number)] = fresh;
}

void NodeLists::note(const NodeChanged& change) {
    if (change.node < 0 || std::size_t(change.node) >= nodes_.size()) return;
    if (change.state == NodeState::Killed || change.state == NodeState::Ended) {
        forget(change.node, ms(change.at));
    } else if (change.state == NodeState::Started) {
        // What it is started with may have been noted before its start.
        Node& node = nodes_[std::size_t(change.node)];
        if (!node.down) forget(change.node, ms(change.at));
        node.down = false;
        node.asked_at = ms(change.at);
        // A call that discovery read by now was the former process's, whose answer nobody waits for.
        node.calls = 0;
        node.failed = false;
    }
}

void NodeLists::note(const Told& told) {
    if (!known(told.node, told.server)) return;
    Node& node = nodes_[std::size_t(told.node)];
    const Ms at = ms(told.at);
    const bool cut = troubles_->cut_from_discovery(told.node);
    const Ms counts = cut ? at + kToldAnyway : at;
    if (told.whole_list_began) node.lists.push_back(counts);
    Entry& now = entry(told.node, told.server);
    const auto list = std::uint32_t(node.lists.size() - 1);
    const Ms started = ms(told.started);
    Phase phase = told.phase == ToldPhase::InService     ? Phase::InService
                  : told.phase == ToldPhase::Terminating ? Phase::Draining
                                                         : Phase::Gone;
    learnt(told.server, phase, started, at);
    if (phase == Phase::InService) {
        now.since = at;
    } else {
        const bool was_out = now.phase == Phase::Draining || now.phase == Phase::Gone;
        const bool was_omitted = now.phase != Phase::Never && now.list + 1 < node.lists.size();
        if (was_out)
            now.since = std::min(now.since, counts);
        else if (was_omitted)
            now.since = std::min(counts, node.lists[now.list + 1]);
        else
            now.since = counts;
    }
    now.phase = phase;
    now.list = list;
    if (!cut) now.started = std::max(now.started, started);
}

void NodeLists::note(const Asked& asked) {
    if (asked.node < 0 || std::size_t(asked.node) >= nodes_.size()) return;
    Node& node = nodes_[std::size_t(asked.node)];
    node.asked_at = ms(asked.at);
    if (asked.what == Asked::What::Called) {
        ++node.calls;
        node.called_at = node.asked_at;
    } else {
        node.calls = std::max(0, node.calls - 1);
        node.failed = asked.what == Asked::What::Failed;
    }
}

void NodeLists::note(const ServerChanged& change) {
    if (change.server < 0 || std::size_t(change.server) >= servers_) return;
    auto& listings = listings_[std::size_t(change.server)];
    const DiscoveryFigures& figures = day_->discovery;
    const Ms at = ms(change.at);
    switch (change.state) {
        case ServerState::Ready:
            listings.push_back({at + figures.add.count(), Phase::InService, at});
            break;
        case ServerState::Draining:
            listings.push_back({at + figures.notice.count(), Phase::Draining, 0});
            break;
        case ServerState::Gone:
            // Whether its machine said so can't be told from here.
            listings.push_back(
                {at + std::max(figures.notice, figures.silent_notice).count(), Phase::Gone, 0});
            break;
        case ServerState::Cold:
        case ServerState::Warm:
        case ServerState::FellOver:
            break;
    }
}

void NodeLists::learnt(ServerNo server, Phase phase, Ms started, Ms at) {
    auto& listings = listings_[std::size_t(server)];
    for (auto it = listings.rbegin(); it != listings.rend(); ++it) {
        if (it->phase != phase) continue;
        if (phase == Phase::InService && std::abs(it->started - started) > kRounding + slack_) continue;
        it->at = std::min(it->at, at);  // told to one node, so the list said it by then
        return;
    }
}

const NodeLists::Listing* NodeLists::deemed(NodeNo number, ServerNo server, Ms now, Ms& since) const {
    const auto& listings = listings_[std::size_t(server)];
    if (listings.empty() || !day_->limits.must_ask) return nullptr;
    const Node& node = nodes_[std::size_t(number)];
    Ms asked_at = node.asked_at;
    if (node.calls > 0) {
        asked_at = std::max(asked_at, node.called_at + day_->discovery.watch_most.count() + kAfterWatch);
    }
    if (asked_at + day_->limits.ask_within.count() + slack_ > now) return nullptr;
    // A call that never came to discovery has no record; it failed all the same.
    const bool failed = node.failed || troubles_->without_discovery(number, asked_at, now);
    const Ms patience = day_->limits.ask_within.count() * (failed ? kAfterFailure : 1) + slack_;
    if (asked_at + patience > now) return nullptr;
    for (auto it = listings.rbegin(); it != listings.rend(); ++it)
        if (it->at + patience <= now) {
            since = std::max(it->at, asked_at) + patience;
            return &*it;
        }
    return nullptr;
}

NodeLists::View NodeLists::view(NodeNo number, ServerNo server, Ms now) const {
    if (!known(number, server)) return {};
    const Entry& told = entry(number, server);
    const Node& node = nodes_[std::size_t(number)];
    View view{told.phase, told.since, false, 0};
    if (told.phase == Phase::Never) return view;
    if (told.list + 1 < node.lists.size()) {
        // Omitted by a whole list: gone, unless it was out of service before.
        if (told.phase == Phase::InService) view.since = node.lists[told.list + 1];
        view.phase = Phase::Gone;
    }
    Ms since = 0;
    if (const Listing* listing = deemed(number, server, now, since)) {
        const bool out = view.phase != Phase::InService;
        if (listing->phase == Phase::InService || !out) view = {listing->phase, since, true, listing->at};
    }
    return view;
}

bool NodeLists::knows_start(NodeNo number, ServerNo server, Ms start, Ms now) const {
    if (!known(number, server)) return false;
    if (entry(number, server).started >= start - kRounding - slack_) return true;
    Ms since = 0;
    const Listing* listing = deemed(number, server, now, since);
    return listing && listing->started >= start - kRounding - slack_;
}

}  // namespace ochrehub::lab::referee
