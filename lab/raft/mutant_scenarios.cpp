#include "lab/raft/mutant_scenarios.h"

#include "lab/raft/stepped_cluster.h"

namespace ochrehub::lab {

std::vector<std::string> figure_eight_scenario(const RaftMutation& mutation) {
    constexpr int kMaxExchanges = 20;
    SteppedCluster cluster(3, &mutation, 1);
    cluster.elect(1, {1, 2});
    cluster.complete_writes(1);
    cluster.elect(3, {2, 3});
    cluster.complete_writes(3);
    cluster.crash(1, true);
    cluster.elect(1, {1, 2});
    cluster.complete_writes(1);
    cluster.fire_timer(1);
    // Up to the entry of 1's new term, which 2 has received and not written.
    for (int i = 0; i < kMaxExchanges && cluster.core(2).last_index() < 2; ++i) {
        cluster.deliver_next(1, 2);
        if (cluster.core(2).last_index() < 2) cluster.complete_writes(2);
        cluster.deliver_next(2, 1);
    }
    cluster.crash(2, false);
    cluster.crash(3, true);
    cluster.elect(3, {2, 3});
    return cluster.checker().violations();
}

std::vector<std::string> lost_acknowledgement_scenario(const RaftMutation& mutation) {
    constexpr int kMaxExchanges = 4;
    SteppedCluster cluster(3, &mutation);
    cluster.elect(1, {1, 2});
    cluster.fire_timer(1);
    cluster.settle({1, 2, 3});
    cluster.propose(1, "a");
    cluster.settle({1, 2});
    cluster.drop_all();
    cluster.lose_data(2);
    cluster.fire_timer(1);
    for (int i = 0; i < kMaxExchanges && !cluster.core(2).storage_trusted(); ++i) {
        cluster.deliver_next(1, 2);
        cluster.complete_writes(2);
        cluster.deliver_next(2, 1);
    }
    cluster.elect(3, {2, 3});
    return cluster.checker().violations();
}

RaftMutant::Scenario exploration_scenario(ExplorationStart start, int depth) {
    return [start, depth](const RaftMutation& mutation) {
        ExplorationSettings settings;
        settings.start = start;
        settings.depth = depth;
        settings.budget.timers = 0;
        settings.budget.duplicates = 0;
        settings.mutation = &mutation;
        return explore_raft(settings).violations;
    };
}

}  // namespace ochrehub::lab
