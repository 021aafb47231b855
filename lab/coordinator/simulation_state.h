// The simulation itself, for its source files: simulation.cpp (phases and messages),
// simulated_coordinators.cpp, simulated_clients.cpp and fault_injection.cpp.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/coordinator/replica.h"
#include "fleet/coordinator/session.h"
#include "lab/coordinator/invariant_checker.h"
#include "lab/coordinator/simulated_disk.h"
#include "lab/coordinator/simulation.h"
#include "lab/swarm/net.h"

namespace ochrehub::lab {

/// As "k3" or "p0".
inline std::string process_name(char kind, std::size_t number) {
    std::string name(1, kind);
    name += std::to_string(number);
    return name;
}

class CoordinatorSimulation {
public:
    explicit CoordinatorSimulation(const CoordinatorSimulationSettings& settings);
    CoordinatorSimulationResult run();

private:
    struct Packet {
        enum class Kind { Raft, Request, Response, Disconnect };
        Kind kind{};
        std::uint64_t instance = 0;  // of the client that sent a request
        std::string body;            // encoded
    };
    /// Times are the simulation's, if not said otherwise.
    struct Coordinator {
        SimulatedDisk disk;
        std::unique_ptr<raft::Raft> raft;  // null while it is down, as `replica`
        std::unique_ptr<coordinator::Replica> replica;
        TimePoint timer = TimePoint::max();  // by its own clock
        TimePoint restart_at = TimePoint::max();
        TimePoint resume_at = TimePoint::max();
        bool false_leadership_reported = false;  // by the mutant OldDeadlines
        std::uint64_t starts = 0;
    };
    struct Call {
        std::optional<std::size_t> operation;  // of the checker; none: a hold
        TimePoint requested_at{};              // by the client's clock
        double hold_ms = 0;
    };
    struct Client {
        std::unique_ptr<coordinator::Session> session;  // null while it is down
        TimePoint timer = TimePoint::max();             // by its own clock
        TimePoint next_call_at{};                       // by its own clock
        TimePoint restart_at = TimePoint::max();
        TimePoint resume_at = TimePoint::max();
        std::uint64_t instance = 0;
        std::uint64_t next_call = 1;
        std::uint64_t tags = 0;
        std::map<std::uint64_t, Call> calls;
        std::vector<std::uint64_t> held_timeouts;
        coordinator::SessionId session_id = 0;
        bool served_at_end = false;
    };

    // Phases and messages
    void run_faults();
    void run_planned_crash();
    void settle();
    void check_served();
    CoordinatorSimulationResult result();
    void on_timer(std::size_t process, TimePoint own);
    void on_packet(std::size_t to, std::size_t from, TimePoint own, const Packet& packet);
    void set_timer(std::size_t process, TimePoint own);
    bool is(CoordinatorMutant mutant) const { return settings_.mutant == mutant; }
    std::size_t process_of(std::size_t client) const { return coordinators_.size() + client; }
    bool is_client(std::size_t process) const { return process >= coordinators_.size(); }
    std::size_t client_of(std::size_t process) const { return process - coordinators_.size(); }

    // Coordinators
    void start_coordinator(std::size_t index);
    void restart_coordinator(std::size_t index);
    void crash_coordinator(std::size_t index, bool loses_disk);
    void handle_raft(std::size_t index, TimePoint now, const raft::Event& event, raft::Actions& actions);
    void handle_raft_with_old_deadlines(std::size_t index, TimePoint now, const raft::Event& event,
                                        raft::Actions& actions);
    std::string mutated_snapshot(const std::string& state) const;
    void handle(std::size_t index, TimePoint own, const coordinator::ReplicaEvent& event);
    void send_response(std::size_t index, const coordinator::SendResponse& response);
    void queue_write(Coordinator& node, TimePoint own, raft::Write write);
    void coordinator_timer(std::size_t index, TimePoint own);
    void coordinator_packet(std::size_t index, std::size_t from, TimePoint own, const Packet& packet);
    void set_coordinator_timer(std::size_t index);

    // Clients
    void start_client(std::size_t index);
    void crash_client(std::size_t index);
    void handle(std::size_t index, TimePoint own, const coordinator::SessionEvent& event);
    void session_renewed(std::size_t index, TimePoint own, const coordinator::SessionRenewed& renewed);
    void session_lost(std::size_t index, const coordinator::SessionLost& lost);
    void call_completed(std::size_t index, const coordinator::CallCompleted& completed);
    void make_call(std::size_t index, TimePoint own);
    void client_timer(std::size_t index, TimePoint own);
    void client_packet(std::size_t index, std::size_t from, TimePoint own, const Packet& packet);

    // Faults
    void inject_fault();
    void crash_randomly(std::size_t coordinator);
    void cut_randomly(std::size_t coordinator);
    void delay_randomly(std::size_t coordinator, std::size_t client);
    void end_faults_due();
    void heal_links();
    bool is_running(std::size_t process) const { return net_.up(process) && !net_.stopped(process); }
    std::size_t random_index(std::size_t count);
    Duration random_duration(double min_ms, double max_ms);
    std::size_t leader_or_random();

    const CoordinatorSimulationSettings settings_;
    CoordinatorInvariantChecker checker_;
    CoordinatorSimulationResult result_;
    Net<Packet> net_;
    raft::Members members_;
    std::vector<Coordinator> coordinators_;
    std::vector<Client> clients_;
    std::uint64_t instances_ = 0;  // given to clients
    bool is_last_phase_ = false;
    bool planned_crash_done_ = false;
    std::optional<TimePoint> planned_restart_at_;
    TimePoint pause_client_at_ = TimePoint::max();
    TimePoint heal_at_ = TimePoint::max();
};

}  // namespace ochrehub::lab
