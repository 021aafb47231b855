#include "lab/raft/random_faults.h"

#include "lab/raft/simulation.h"

namespace ochrehub::lab {
namespace {

using raft::NodeId;

/// Injects one random fault, or repair, at a time.
class FaultInjector {
public:
    FaultInjector(RaftSimulation& simulation, const RaftSimulationSettings& group, bool lose_data)
        : simulation_(simulation),
          initial_servers_(group.servers),
          spares_(group.spares),
          lose_data_(lose_data),
          next_spare_(NodeId(group.servers + 1)) {}

    void inject() {
        NodeId id = random_server();
        switch (simulation_.random_below(16)) {
            case 0:
            case 1:
                return crash_minority(id);
            case 2:
                return crash_leader();
            case 3:
            case 4:
            case 5:
                return restart_some();
            case 6:
                simulation_.pause(id);
                ++simulation_.counts()["pauses"];
                return;
            case 7:
                for (NodeId other = 1; other <= simulation_.size(); ++other) simulation_.resume(other);
                return;
            case 8:
                return isolate(simulation_.leader() != 0 ? simulation_.leader() : id);
            case 9:
                return degrade_link(id);
            case 10:
            case 11:
                return reset_network();
            case 12:
                return skew_clock_and_disk(id);
            case 13:
                return change_membership();
            case 14:
                return simulation_.transfer_leadership(simulation_.random_below(2) == 0 ? 0 : id);
            default:
                return lose_data(id);
        }
    }

private:
    NodeId random_server() { return NodeId(1 + simulation_.random_below(simulation_.size())); }
    UnsyncedWrites random_unsynced() { return UnsyncedWrites(simulation_.random_below(3)); }
    bool has_started(NodeId id) const { return id < next_spare_; }

    std::size_t servers_down() const {
        std::size_t count = 0;
        for (NodeId id = 1; id <= simulation_.size(); ++id) count += has_started(id) && !simulation_.up(id);
        return count;
    }

    void crash_minority(NodeId id) {
        if (servers_down() * 2 < initial_servers_) simulation_.crash(id, random_unsynced());
    }

    void crash_leader() {
        NodeId leader = simulation_.leader();
        if (leader != 0) simulation_.crash(leader, random_unsynced());
    }

    void restart_some() {
        for (NodeId id = 1; id <= simulation_.size(); ++id)
            if (simulation_.random_below(2) == 0 && has_started(id)) simulation_.start(id);
    }

    /// Cuts most links of a server: to it, from it, or both ways.
    void isolate(NodeId id) {
        bool inbound = simulation_.random_below(2) == 0;
        bool both = simulation_.random_below(2) == 0;
        for (NodeId other = 1; other <= simulation_.size(); ++other) {
            if (other == id || simulation_.random_below(5) == 0) continue;
            if (inbound || both) simulation_.net().cut(other - 1, id - 1);
            if (!inbound || both) simulation_.net().cut(id - 1, other - 1);
        }
        ++simulation_.counts()["cuts"];
    }

    void degrade_link(NodeId id) {
        constexpr double kMaxDelayMs = 400;
        NodeId other = random_server();
        simulation_.net().cut(id - 1, other - 1);
        simulation_.net().delay(other - 1, id - 1, Duration(kMaxDelayMs * simulation_.random_fraction()));
        ++simulation_.counts()["cuts"];
    }

    void reset_network() {
        constexpr double kMaxShare = 0.2;
        auto random_share = [this] {
            return simulation_.random_below(2) == 0 ? 0 : kMaxShare * simulation_.random_fraction();
        };
        simulation_.net().heal();
        simulation_.net().loss(random_share());
        simulation_.net().doubled(random_share());
    }

    void skew_clock_and_disk(NodeId id) {
        constexpr double kMaxSyncMs = 600;
        constexpr double kUsualSyncMs = 3;
        simulation_.net().clock(id - 1, 0.99 + 0.02 * simulation_.random_fraction());
        bool slow = simulation_.random_below(3) == 0;
        double max_sync = slow ? kMaxSyncMs * simulation_.random_fraction() : kUsualSyncMs;
        simulation_.set_max_sync(id, Duration(max_sync));
    }

    void change_membership() {
        constexpr std::size_t kMinMembers = 3;
        NodeId leader = simulation_.leader();
        if (leader == 0) return;
        const raft::Members& members = simulation_.core(leader).members();
        if (next_spare_ <= initial_servers_ + spares_ && simulation_.random_below(2) == 0) {
            NodeId id = next_spare_++;
            simulation_.start(id);
            simulation_.change_membership(id, true);
        } else if (members.size() > kMinMembers) {
            simulation_.change_membership(members[simulation_.random_below(members.size())].id, false);
        } else {
            retry_additions();
        }
    }

    /// Of spares whose addition was rejected or lost.
    void retry_additions() {
        for (NodeId id = NodeId(initial_servers_ + 1); id < next_spare_; ++id)
            if (simulation_.up(id) && simulation_.core(id).last_index() == 0)
                simulation_.change_membership(id, true);
    }

    /// Only while no other server recovers: recovery needs all others.
    void lose_data(NodeId id) {
        if (!lose_data_ || !has_started(id)) return;
        for (NodeId other = 1; other <= simulation_.size(); ++other) {
            if (!simulation_.disk(other).durable().trusted) return;
            bool running = has_started(other) && simulation_.up(other);
            if (running && !simulation_.core(other).storage_trusted()) return;
        }
        simulation_.crash(id, UnsyncedWrites::Lost);
        std::size_t last = std::size_t(simulation_.disk(id).last_index());
        simulation_.lose_data(id, 1 + simulation_.random_below(last + 1));
    }

    RaftSimulation& simulation_;
    std::size_t initial_servers_;
    std::size_t spares_;
    bool lose_data_;
    NodeId next_spare_;  ///< the first spare that has not been started
};

/// In a storm messages take about as long as elections, so that these collide; entries go one at a time.
bool is_storm(std::uint64_t seed) {
    return seed % 4 == 3;
}

RaftSimulationSettings group_settings(const RandomFaultSettings& settings) {
    RaftSimulationSettings group;
    group.seed = settings.seed;
    group.servers = settings.servers.value_or(settings.seed % 2 == 0 ? 3 : 5);
    group.spares = 2;
    group.snapshot_interval_entries = settings.seed % 3 == 0 ? 0 : 20;
    group.retained_log_bytes = settings.seed % 5 == 0 ? 2048 : 0;
    group.in_order = settings.seed % 4 == 1;
    group.mutation = settings.mutation;
    if (is_storm(settings.seed)) {
        group.heartbeat_interval = Duration(10);
        group.election_timeout = Duration(50);
        group.max_delay = Duration(30);
        group.max_sync = Duration(10);
        group.max_append_bytes = 1;
        group.think_time = Duration(5);
    }
    return group;
}

}  // namespace

RandomFaultResult run_random_faults(const RandomFaultSettings& settings) {
    constexpr Duration kFirstElection{2500};
    constexpr Duration kHealTimeout{60'000};
    constexpr double kMinMsBetweenFaults = 20;
    constexpr double kRandomMsBetweenFaults = 400;
    bool storm = is_storm(settings.seed);
    double pace = storm ? 0.08 : 1;
    RaftSimulationSettings group = group_settings(settings);
    RaftSimulation simulation(group);
    simulation.run(kFirstElection * pace);
    FaultInjector faults(simulation, group, settings.lose_data);
    TimePoint end = simulation.net().now() + settings.time * (storm ? 0.2 : 1);
    auto sound = [&] { return simulation.checker().violations().empty(); };
    while (simulation.net().now() < end && sound()) {
        faults.inject();
        simulation.run(Duration(kMinMsBetweenFaults + kRandomMsBetweenFaults * simulation.random_fraction()) *
                       pace);
    }
    if (sound()) simulation.heal(kHealTimeout);
    simulation.finish();
    RandomFaultResult result;
    result.violations = simulation.checker().violations();
    result.counts = simulation.counts();
    result.committed = simulation.checker().last_committed();
    result.terms_with_leader = simulation.checker().terms_with_leader();
    result.operations = simulation.history().operations;
    result.events = simulation.events();
    return result;
}

}  // namespace ochrehub::lab
