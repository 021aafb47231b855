#include "lab/referee/cold_starts.h"

#include <algorithm>

namespace ochrehub::lab::referee {

ColdStarts::ColdStarts(const Day& day, const NodeLists& lists, Ms start)
    : lists_(&lists),
      kept_(std::max(2 * day.limits.tip_after, day.limits.cold_time).count()),
      servers_(day.servers.size()) {
    for (std::size_t s = 0; s < servers_.size(); ++s)
        if (day.servers[s].starts_cold && day.servers[s].exists_from.count() <= 0) {
            servers_[s].cold = true;
            servers_[s].started = start;
        }
}

void ColdStarts::note(const WorkArrived& arrived) {
    if (arrived.server < 0 || std::size_t(arrived.server) >= servers_.size()) return;
    Server& server = servers_[std::size_t(arrived.server)];
    if (!server.cold) return;
    const Ms at = ms(arrived.at);
    while (!server.work.empty() && server.work.front().at < at - kept_) server.work.pop_front();
    server.work.push_back({at, arrived.work.count(), arrived.node,
                           lists_->knows_start(arrived.node, arrived.server, server.started, at)});
}

std::optional<ColdStarts::Verdict> ColdStarts::note(const ServerChanged& change) {
    if (change.server < 0 || std::size_t(change.server) >= servers_.size()) return std::nullopt;
    Server& server = servers_[std::size_t(change.server)];
    const Ms at = ms(change.at);
    switch (change.state) {
        case ServerState::Cold:
            server = {true, at, {}};
            return std::nullopt;
        case ServerState::Warm:
        case ServerState::Gone:
            server = {};
            return std::nullopt;
        case ServerState::Ready:
        case ServerState::Draining:
            return std::nullopt;
        case ServerState::FellOver:
            break;
    }
    Verdict verdict;
    verdict.started = server.started;
    verdict.from = at - change.window.count();
    std::vector<std::pair<NodeNo, Ms>> by_node;
    for (const Work& work : server.work) {
        if (work.at < verdict.from) continue;
        verdict.work += work.work;
        if (!work.told) continue;
        verdict.by_told += work.work;
        auto it = std::find_if(by_node.begin(), by_node.end(), [&](auto& p) { return p.first == work.node; });
        if (it == by_node.end())
            by_node.emplace_back(work.node, work.work);
        else
            it->second += work.work;
    }
    server = {};
    // Sums of work that are exactly two thirds must count as such.
    if (verdict.work <= 0 || verdict.by_told * 3 < verdict.work * 2 * (1 - 1e-9)) return std::nullopt;
    verdict.node = std::max_element(by_node.begin(), by_node.end(), [](auto& a, auto& b) {
                       return a.second < b.second;
                   })->first;
    return verdict;
}

}  // namespace ochrehub::lab::referee
