// A consensus group whose every step is chosen by the caller: for hand-written scenarios, and for exploring
// all orders of events (exploration.h). No random numbers. Single-threaded; a server's clock moves only when
// its timer is fired, so that any server may be early or late compared with the others.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "fleet/raft/raft.h"
#include "lab/raft/invariant_checker.h"
#include "lab/raft/mutation.h"
#include "lab/raft/virtual_disk.h"

namespace ochrehub::lab {

/// Copies are independent, except for what a mutation remembers itself.
class SteppedCluster : public RaftMutationContext {
public:
    struct InFlight {
        raft::NodeId from = 0;
        raft::NodeId to = 0;
        std::string bytes;
        friend auto operator<=>(const InFlight&, const InFlight&) = default;
    };

    /// `mutation`: null: none; must outlive the cluster and its copies.
    explicit SteppedCluster(std::size_t size, const RaftMutation* mutation = nullptr,
                            std::size_t max_inflight_appends = 8);

    // Steps. Each is checked.
    void fire_timer(raft::NodeId id);
    void complete_writes(raft::NodeId id);
    /// Delivers in_flight()[index]; `keep`: and leaves a duplicate in flight.
    void deliver_at(std::size_t index, bool keep = false);
    /// Crashes and starts again; `keep_unsynced`: with all writes that are not synced, otherwise with none.
    void crash(raft::NodeId id, bool keep_unsynced);
    /// Crashes, loses all stored data, and starts again with a disk that is not trusted.
    void lose_data(raft::NodeId id);
    void propose(raft::NodeId id, std::string data);
    void read(raft::NodeId id);
    void change_membership(raft::NodeId id, raft::NodeId member, bool add);

    // Sequences of steps, for scenarios.
    /// Delivers and completes writes among these servers until nothing is left.
    void settle(const std::vector<raft::NodeId>& among);
    void drop_all() { in_flight_.clear(); }
    void put_in_flight(const InFlight& message);
    /// Fires timers until `id` leads by the votes of `voters`; drops all else that is sent. False: it
    /// doesn't.
    bool elect(raft::NodeId id, const std::vector<raft::NodeId>& voters);
    /// Delivers the first message of this link. False: there is none.
    bool deliver_next(raft::NodeId from, raft::NodeId to);

    std::size_t size() const { return servers_.size(); }
    const std::vector<InFlight>& in_flight() const { return in_flight_; }  ///< sorted
    bool has_unsynced(raft::NodeId id) const { return server(id).unsynced_write != 0; }
    const RaftInvariantChecker& checker() const { return checker_; }
    /// Equal for clusters whose servers have gone through the same events, each in the same order, and whose
    /// messages in flight are the same.
    std::uint64_t digest() const;

    // RaftMutationContext
    const raft::Raft& core(raft::NodeId id) const override { return server(id).core; }
    std::size_t random_below(std::size_t) override { return 0; }
    void deliver(raft::NodeId to, raft::NodeId from, const raft::Message& message) override;

private:
    struct Server {
        raft::Raft core;
        VirtualDisk disk;
        std::uint64_t unsynced_write = 0;  ///< number of the last write that is not synced; zero: none
        TimePoint clock{};
        TimePoint timer{};
        std::uint64_t history_hash = 0;  ///< of all its steps
        std::uint64_t starts = 1;
    };

    Server& server(raft::NodeId id) { return servers_[id - 1]; }
    const Server& server(raft::NodeId id) const { return servers_[id - 1]; }
    raft::Raft start_core(raft::NodeId id, const raft::PersistentState& stored, std::uint64_t start_number);
    void on_event(raft::NodeId id, const raft::Event& event);
    void carry_out(raft::NodeId id, raft::Action& action);
    void send(raft::NodeId id, raft::SendMessage& send);
    void record_step(raft::NodeId id, const std::string& step);
    bool deliver_first_among(const std::vector<raft::NodeId>& among);
    bool complete_all_writes(const std::vector<raft::NodeId>& among);

    const RaftMutation* mutation_;
    std::size_t max_inflight_appends_;
    std::vector<Server> servers_;  ///< by id - 1
    std::vector<InFlight> in_flight_;
    RaftInvariantChecker checker_;
    std::uint64_t last_request_ = 0;  ///< id of the last proposal, read or change
};

}  // namespace ochrehub::lab
