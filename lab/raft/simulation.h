// A consensus group in virtual time: cores, disks, a network, and clients that read, write, compare-and-set
// and append. Responsible for running it and for checking every event (invariant_checker.h) and the clients'
// history (linearizability.h); faults are injected by the caller. Single-threaded; all random numbers come
// from the seed, so that the same seed gives the same run.
#pragma once

#include <boost/random/taus88.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/raft/raft.h"
#include "lab/raft/invariant_checker.h"
#include "lab/raft/linearizability.h"
#include "lab/raft/mutation.h"
#include "lab/raft/virtual_disk.h"
#include "lab/swarm/net.h"

namespace ochrehub::lab {

class RaftSimulation;

struct RaftSimulationSettings {
    std::size_t servers = 3;  ///< initial members
    std::size_t spares = 0;   ///< servers that may join later
    std::size_t clients = 4;
    double loss = 0;         ///< share of messages that are lost
    double duplication = 0;  ///< share of messages that arrive twice
    bool in_order = false;
    Duration max_delay{2};                      ///< ms, of a message
    Duration max_sync{3};                       ///< ms, of a write
    std::size_t snapshot_interval_entries = 0;  ///< zero: no snapshots
    std::size_t retained_log_bytes = 2048;
    Duration think_time{20};           ///< ms, of a client between two operations, on average
    Duration heartbeat_interval{100};  ///< ms
    Duration election_timeout{1000};   ///< ms
    std::size_t max_append_bytes = 2000;
    std::uint64_t seed = 1;
    RaftMutation mutation;
    /// Called after each event of a server, its first included; `number` counts them over all servers from 1.
    std::function<void(RaftSimulation&, raft::NodeId, std::uint64_t number)> after_event = nullptr;
};

/// Which part of the writes that are not synced survives a crash.
enum class UnsyncedWrites { Lost, PartlyKept, Kept };

class RaftSimulation : public RaftMutationContext {
public:
    explicit RaftSimulation(const RaftSimulationSettings& settings);

    void run(Duration time);
    void crash(raft::NodeId id, UnsyncedWrites unsynced);
    void start(raft::NodeId id);
    /// Of a server that is down: entries from `from` on and its vote are lost, and its next start notices.
    void lose_data(raft::NodeId id, std::uint64_t from);
    void pause(raft::NodeId id) { net_->stop(id - 1); }
    void resume(raft::NodeId id) { net_->go_on(id - 1); }
    void change_membership(raft::NodeId member, bool add);
    void transfer_leadership(raft::NodeId to);
    void set_max_sync(raft::NodeId id, Duration max_sync) { server(id).max_sync = max_sync; }
    void stop_after_event_hook() { settings_.after_event = nullptr; }
    /// Removes all faults. True: within `timeout` all members have applied a new write and trust their disks;
    /// otherwise a violation is reported.
    bool heal(Duration timeout);
    /// To be called at the end: checks the history.
    void finish();

    Net<std::string>& net() { return *net_; }
    const RaftInvariantChecker& checker() const { return checker_; }
    raft::NodeId leader() const;  ///< of the highest term; zero: none
    bool up(raft::NodeId id) const { return net_->up(id - 1); }
    VirtualDisk& disk(raft::NodeId id) { return servers_[id - 1].disk; }
    std::size_t size() const { return servers_.size(); }  ///< spares included
    std::uint64_t events() const { return events_; }
    std::map<std::string, std::uint64_t>& counts() { return counts_; }
    const HistoryResult& history() const { return history_; }

    // RaftMutationContext
    const raft::Raft& core(raft::NodeId id) const override { return *servers_[id - 1].core; }
    void deliver(raft::NodeId to, raft::NodeId from, const raft::Message& message) override;
    double random_fraction() { return double(random_()) * 0x1p-32; }  ///< in [0, 1)
    std::size_t random_below(std::size_t below) override {
        return std::size_t(random_fraction() * double(below));
    }

private:
    // First byte of messages that come from outside the group.
    static constexpr char kWriteDone = 'w';        ///< of a server to itself: a write is synced
    static constexpr char kClientOperation = 'c';  ///< a client's operation reaches a server

    static std::string tagged(char tag, std::uint64_t number) {
        return std::string(1, tag).append(std::to_string(number));
    }

    struct Server {
        std::unique_ptr<raft::Raft> core;
        VirtualDisk disk;
        RegisterMap state;
        std::uint64_t applied_index = 0;
        std::uint64_t entries_since_snapshot = 0;
        TimePoint last_sync_done{};  ///< writes complete in order
        Duration max_sync{};
    };
    struct Client {
        TimePoint next_operation_at{};
        std::optional<std::size_t> operation;  ///< index of the one that is open
        TimePoint deadline{};                  ///< of that operation
        raft::NodeId target = 1;               ///< server that it believes to be the leader
    };
    struct OperationResult {
        std::optional<std::string> response;  ///< nothing: rejected
        bool possibly_executed = true;
    };

    Server& server(raft::NodeId id) { return servers_[id - 1]; }
    TimePoint local_time(raft::NodeId id) const { return net_->own(id - 1); }
    void on_message(std::size_t to, std::size_t from, TimePoint now, const std::string& bytes);
    void on_event(raft::NodeId id, TimePoint now, const raft::Event& event);
    void check(raft::NodeId id, const raft::Actions& actions);
    void carry_out(raft::NodeId id, raft::Actions& actions);
    void send(raft::NodeId id, raft::SendMessage& send);
    void write(raft::NodeId id, raft::Write& write);
    void apply(raft::NodeId id, const raft::ApplyEntry& entry);
    void restore(raft::NodeId id, const raft::RestoreSnapshot& restore);
    void reject(const raft::Rejected& rejected);
    void take_snapshot_if_due(raft::NodeId id);
    void remove_faults();
    bool all_members_applied(raft::NodeId leader, std::uint64_t index);
    std::string describe_servers();

    // simulation_clients.cpp
    void run_clients();
    bool find_target(Client& client);
    RegisterOperation random_operation(std::uint64_t number);
    std::string expected_value(const std::string& key) const;
    void start_operation(std::size_t client_index);
    void execute(raft::NodeId id, std::uint64_t operation_number);
    void execute_read(raft::NodeId id, std::uint64_t operation_number);
    void complete(std::uint64_t operation_number, const OperationResult& result);

    RaftSimulationSettings settings_;
    boost::random::taus88 random_;
    std::unique_ptr<Net<std::string>> net_;
    std::vector<Server> servers_;  ///< by id - 1
    RaftInvariantChecker checker_;
    std::vector<Client> clients_;
    std::vector<RegisterOperation> operations_;       ///< an operation's number is its index + 1
    std::vector<bool> not_executed_;                  ///< by operation: rejected before it could take effect
    std::map<std::uint64_t, std::size_t> client_of_;  ///< by number of an operation that a client waits for
    bool clients_running_ = true;
    std::uint64_t events_ = 0;
    std::uint64_t starts_ = 0;
    std::uint64_t last_operator_request_;  ///< id of the last request that is no client's
    std::map<std::string, std::uint64_t> counts_;
    HistoryResult history_;  ///< valid after finish()
};

}  // namespace ochrehub::lab
