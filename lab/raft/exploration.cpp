#include "lab/raft/exploration.h"

#include <functional>
#include <unordered_map>
#include <utility>

#include "lab/raft/stepped_cluster.h"

namespace ochrehub::lab {

using raft::NodeId;

std::string name(ExplorationStart start) {
    constexpr const char* kNames[] = {"start", "candidates", "leader", "old leader", "removal"};
    return kNames[int(start)];
}

namespace {

void start_with_candidates(SteppedCluster& cluster) {
    cluster.fire_timer(1);
    cluster.fire_timer(2);
    cluster.deliver_next(1, 3);
    cluster.deliver_next(3, 1);
    cluster.deliver_next(2, 3);
    cluster.deliver_next(3, 2);
    cluster.drop_all();
    cluster.complete_writes(1);
    cluster.complete_writes(2);
}

void start_with_leader(SteppedCluster& cluster) {
    cluster.elect(1, {1, 2});
    cluster.fire_timer(1);
    cluster.settle({1, 2, 3});
}

void start_with_old_leader(SteppedCluster& cluster) {
    start_with_leader(cluster);
    cluster.propose(1, "a");
    cluster.complete_writes(1);
    // Its message to 2 is late; meanwhile 3 is elected.
    SteppedCluster::InFlight late;
    for (const SteppedCluster::InFlight& message : cluster.in_flight())
        if (message.to == 2) late = message;
    cluster.elect(3, {2, 3});
    cluster.fire_timer(3);
    cluster.settle({2, 3});
    cluster.drop_all();
    cluster.put_in_flight(late);
}

SteppedCluster initial_cluster(const ExplorationSettings& settings) {
    SteppedCluster cluster(3, settings.mutation);
    switch (settings.start) {
        case ExplorationStart::Empty:
            break;
        case ExplorationStart::Candidates:
            start_with_candidates(cluster);
            break;
        case ExplorationStart::Leader:
            start_with_leader(cluster);
            cluster.propose(1, "a");
            break;
        case ExplorationStart::OldLeader:
            start_with_old_leader(cluster);
            break;
        case ExplorationStart::Removal:
            start_with_leader(cluster);
            cluster.change_membership(1, 3, false);
            break;
    }
    return cluster;
}

/// Distinguishes states that differ in what may still happen.
std::uint64_t digest(const EventBudget& budget) {
    constexpr std::uint64_t kMultiplier = 0xff51afd7ed558ccdu;
    int sum = budget.crashes * 10007 + budget.timers * 101 + budget.duplicates * 11 + budget.proposals * 3 +
              budget.reads;
    return std::uint64_t(sum) * kMultiplier;
}

class Explorer {
public:
    explicit Explorer(const ExplorationSettings& settings) : settings_(settings) {}

    ExplorationResult run() {
        visit(initial_cluster(settings_), settings_.depth, settings_.budget);
        return std::move(result_);
    }

private:
    static constexpr std::size_t kMaxViolations = 4;
    using Event = std::function<void(SteppedCluster&)>;

    /// A state, and how far it may still be explored.
    struct Node {
        const SteppedCluster& cluster;
        int depth;
        EventBudget budget;
    };

    void visit(const SteppedCluster& cluster, int depth, const EventBudget& budget) {
        if (!cluster.checker().violations().empty()) return record_violation(cluster);
        if (result_.violations.size() >= kMaxViolations) return;
        auto [explored, first] = explored_depth_.try_emplace(cluster.digest() ^ digest(budget), -1);
        if (first) ++result_.states;
        if (explored->second >= depth) return;
        explored->second = depth;
        if (depth == 0) return;
        Node node{cluster, depth, budget};
        explore_arrivals(node);
        for (NodeId id = 1; id <= cluster.size(); ++id) {
            explore_server(node, id);
            if (cluster.core(id).role() == raft::Role::Leader) explore_requests(node, id);
        }
    }

    void record_violation(const SteppedCluster& cluster) {
        if (result_.violations.size() >= kMaxViolations) return;
        std::string violation = cluster.checker().violations().front() + " after";
        for (const std::string& step : path_) violation += "; " + step;
        result_.violations.push_back(violation);
    }

    void take(const Node& node, std::string step, const EventBudget& left, const Event& event) {
        SteppedCluster after = node.cluster;
        event(after);
        ++result_.steps;
        path_.push_back(std::move(step));
        visit(after, node.depth - 1, left);
        path_.pop_back();
    }

    void explore_arrivals(const Node& node) {
        const std::vector<SteppedCluster::InFlight>& in_flight = node.cluster.in_flight();
        for (std::size_t i = 0; i < in_flight.size(); ++i) {
            if (i > 0 && in_flight[i] == in_flight[i - 1]) continue;
            std::string step = std::to_string(in_flight[i].from) + " to " + std::to_string(in_flight[i].to) +
                               " (" + std::to_string(raft::decode(in_flight[i].bytes)->index()) + ")";
            take(node, step, node.budget, [i](SteppedCluster& cluster) { cluster.deliver_at(i); });
            if (node.budget.duplicates == 0) continue;
            EventBudget left = node.budget;
            --left.duplicates;
            take(node, step + " duplicated", left,
                 [i](SteppedCluster& cluster) { cluster.deliver_at(i, true); });
        }
    }

    void explore_server(const Node& node, NodeId id) {
        std::string server = std::to_string(id);
        bool unsynced = node.cluster.has_unsynced(id);
        if (unsynced)
            take(node, server + " completes its writes", node.budget,
                 [id](SteppedCluster& cluster) { cluster.complete_writes(id); });
        if (node.budget.timers > 0) {
            EventBudget left = node.budget;
            --left.timers;
            take(node, server + "'s timer fires", left,
                 [id](SteppedCluster& cluster) { cluster.fire_timer(id); });
        }
        if (node.budget.crashes == 0) return;
        EventBudget left = node.budget;
        --left.crashes;
        take(node, server + " crashes", left, [id](SteppedCluster& cluster) { cluster.crash(id, false); });
        if (unsynced)
            take(node, server + " crashes and keeps its writes", left,
                 [id](SteppedCluster& cluster) { cluster.crash(id, true); });
    }

    void explore_requests(const Node& node, NodeId leader) {
        std::string server = std::to_string(leader);
        if (node.budget.proposals > 0) {
            EventBudget left = node.budget;
            --left.proposals;
            take(node, server + " receives a proposal", left,
                 [leader](SteppedCluster& cluster) { cluster.propose(leader, "b"); });
        }
        if (node.budget.reads > 0) {
            EventBudget left = node.budget;
            --left.reads;
            take(node, server + " receives a read", left,
                 [leader](SteppedCluster& cluster) { cluster.read(leader); });
        }
    }

    ExplorationSettings settings_;
    ExplorationResult result_;
    std::unordered_map<std::uint64_t, int> explored_depth_;  ///< by state: depth left when it was explored
    std::vector<std::string> path_;                          ///< to the current state
};

}  // namespace

ExplorationResult explore_raft(const ExplorationSettings& settings) {
    return Explorer(settings).run();
}

}  // namespace ochrehub::lab
