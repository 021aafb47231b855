#include "lab/raft/crash_sweep.h"

#include <utility>

namespace ochrehub::lab {
namespace {

class CrashRun {
public:
    explicit CrashRun(const CrashRunSettings& settings)
        : settings_(settings), simulation_(group_settings()) {}

    CrashRunResult run() {
        constexpr raft::NodeId kSpare = 4;
        constexpr Duration kHealTimeout{20'000};
        pass(Duration(2000));
        simulation_.start(kSpare);
        for (int attempt = 0; attempt < 5 && simulation_.core(kSpare).last_index() == 0; ++attempt) {
            simulation_.change_membership(kSpare, true);
            pass(Duration(100));
        }
        pass(Duration(300));
        raft::NodeId first_leader = simulation_.leader();
        simulation_.transfer_leadership(0);
        pass(Duration(300));
        bool transferred = first_leader != 0 && simulation_.leader() != first_leader;
        if (transferred) simulation_.change_membership(first_leader, false);
        pass(Duration(600));
        simulation_.stop_after_event_hook();
        if (crashed_server_ != 0) simulation_.start(crashed_server_);
        simulation_.heal(kHealTimeout);
        simulation_.finish();
        result_.violations = simulation_.checker().violations();
        return result_;
    }

private:
    RaftSimulationSettings group_settings() {
        RaftSimulationSettings group;
        group.seed = 11;
        group.spares = 1;
        group.clients = 2;
        group.snapshot_interval_entries = 12;
        group.retained_log_bytes = 0;
        group.think_time = Duration(40);
        group.mutation = settings_.mutation;
        group.after_event = [this](RaftSimulation& simulation, raft::NodeId id, std::uint64_t number) {
            if (settings_.crash_after_event == 0 || number != settings_.crash_after_event) return;
            result_.crashed = true;
            simulation.crash(id, settings_.unsynced);
            crashed_server_ = id;
        };
        return group;
    }

    void pass(Duration time) {
        constexpr Duration kStep{10};
        constexpr Duration kDowntime{200};
        TimePoint end = simulation_.net().now() + time;
        while (simulation_.net().now() < end) {
            simulation_.run(kStep);
            if (crashed_server_ == 0) continue;
            if (restart_at_ == TimePoint{}) restart_at_ = simulation_.net().now() + kDowntime;
            if (simulation_.net().now() >= restart_at_) simulation_.start(std::exchange(crashed_server_, 0));
        }
    }

    CrashRunSettings settings_;
    CrashRunResult result_;
    raft::NodeId crashed_server_ = 0;  ///< zero: none is down
    TimePoint restart_at_{};           ///< of the crashed server; valid once its crash was noticed
    RaftSimulation simulation_;        ///< the last member: its constructor handles events already
};

}  // namespace

CrashRunResult run_with_crash(const CrashRunSettings& settings) {
    return CrashRun(settings).run();
}

}  // namespace ochrehub::lab
