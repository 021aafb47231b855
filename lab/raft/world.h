// A few keepers in virtual time: cores, disks, a network, clients that read, write, compare and append,
// faults, and a judge at each event. The same seed gives the same run.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/raft/raft.h"
#include "lab/raft/disk.h"
#include "lab/raft/history.h"
#include "lab/raft/judge.h"
#include "lab/raft/sabotage.h"
#include "lab/swarm/net.h"

namespace ochrehub::lab {

class RaftWorld;

struct RaftWorldSettings {
    std::size_t keepers = 3, spares = 0;  ///< spares: that may be made members
    std::size_t clients = 4;
    double loss = 0, doubled = 0;
    bool in_order = false;
    Duration delay_most{2}, sync_most{3};
    std::size_t snapshot_each = 0;  ///< entries; 0: none
    std::size_t kept = 2048;
    Duration think{20};
    Duration heartbeat{100}, election{1000};
    std::size_t batch = 2000;
    std::uint64_t seed = 1;
    Sabotage sabotage;
    std::function<void(RaftWorld&, raft::NodeId, std::uint64_t number)> each =
        nullptr;  ///< behind each event of a keeper, its first included
};

enum class Keeps { Nothing, Some, All };  ///< of what is not synced, in a crash

class RaftWorld : public RaftSight {
public:
    explicit RaftWorld(const RaftWorldSettings& settings);

    void run(Duration time);  ///< clients go on meanwhile
    void crash(raft::NodeId id, Keeps keeps);
    void start(raft::NodeId id);
    void lose_disk(raft::NodeId id, std::uint64_t from);  ///< of one that is down
    void stop(raft::NodeId id) { net_->stop(id - 1); }
    void go_on(raft::NodeId id) { net_->go_on(id - 1); }
    void change(raft::NodeId member, bool add);
    void transfer(raft::NodeId to);
    void slow_disk(raft::NodeId id, Duration most) { node(id).sync_most = most; }
    void clients_stop() { clients_on_ = false; }
    /// All is mended; within `patience` one leads, and a write is agreed on and applied by all members.
    bool heals(Duration patience);
    /// Whole, at its end: judges the history as well.
    void finish();

    Net<std::string>& net() { return *net_; }
    Judge& judge() { return judge_; }
    raft::NodeId leader() const;  ///< of the highest term; zero: none
    bool up(raft::NodeId id) const { return net_->up(id - 1); }
    const raft::Raft& core(raft::NodeId id) const override { return *nodes_[id - 1].core; }
    void deliver(raft::NodeId to, raft::NodeId from, const raft::Message& message) override {
        happen(to, net_->own(to - 1), raft::MessageReceived{from, message});
    }
    VirtualDisk& disk(raft::NodeId id) { return nodes_[id - 1].disk; }
    std::size_t size() const { return nodes_.size(); }
    std::uint64_t events() const { return events_; }
    void nothing_more() { set_.each = nullptr; }
    std::map<std::string, std::uint64_t> counts;
    HistoryResult history;
    const std::vector<Call>& calls() const { return calls_; }
    double uniform() { return double(random_()) * 0x1p-32; }
    std::size_t draw(std::size_t below) override { return std::size_t(uniform() * double(below)); }

private:
    struct Node {
        std::unique_ptr<raft::Raft> core;
        VirtualDisk disk;
        Registers state;
        std::uint64_t applied = 0, since_snapshot = 0;
        TimePoint synced{};
        Duration sync_most{};
        std::map<std::uint64_t, std::size_t> asked;  ///< ids of calls
    };
    struct Client {
        TimePoint next{};
        std::optional<std::size_t> call;
        TimePoint until{};
        raft::NodeId guess = 1;
    };

    Node& node(raft::NodeId id) { return nodes_[id - 1]; }
    void received(std::size_t to, std::size_t from, TimePoint own, const std::string& octets);
    void happen(raft::NodeId id, TimePoint own, const raft::Event& event);
    void carry_out(raft::NodeId id, raft::Actions& actions);
    void clients();
    void end_call(std::uint64_t id, std::optional<std::string> answer, bool happened);
    void ask(raft::NodeId id, std::uint64_t call);

    RaftWorldSettings set_;
    boost::random::taus88 random_;
    std::unique_ptr<Net<std::string>> net_;
    std::vector<Node> nodes_;
    Judge judge_;
    std::vector<Client> clients_;
    std::vector<Call> calls_;
    std::map<std::uint64_t, std::size_t> by_call_;  ///< client of a call that it waits for
    std::vector<bool> never_;                       ///< calls that certainly did not happen
    bool clients_on_ = true;
    std::uint64_t events_ = 0, lives_ = 0, operators_ = std::uint64_t(1) << 40;
};

/// Faults drawn from the seed for `time`, then all is mended. What was broken; empty: nothing.
struct ChaosResult {
    std::vector<std::string> broken;
    std::map<std::string, std::uint64_t> counts;
    std::uint64_t agreed = 0, terms = 0, calls = 0, events = 0;
};
struct ChaosSettings {
    std::uint64_t seed = 1;
    Duration time{30'000};
    Sabotage sabotage;
    bool disks_lost = true;  ///< one disk at a time that is noticed to have lost what it had promised
    std::optional<std::size_t> keepers;
};
ChaosResult chaos(const ChaosSettings& settings);

}  // namespace ochrehub::lab
