#include "lab/raft/bench.h"

#include <chrono>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "fleet/raft/raft.h"

namespace ochrehub::lab {
namespace {

using raft::NodeId;

class BenchGroup {
public:
    static constexpr NodeId kSize = 3;

    BenchGroup() {
        raft::PersistentState stored;
        for (NodeId id = 1; id <= kSize; ++id) stored.initial_members.push_back({id, true, {}});
        for (NodeId id = 1; id <= kSize; ++id) {
            raft::Settings settings;
            settings.self = id;
            cores_.emplace_back(settings, stored, id);
        }
        for (NodeId id = 1; id <= kSize; ++id) handle(id, raft::TimerFired{});
    }

    void handle(NodeId id, const raft::Event& event) {
        raft::Actions actions;
        cores_[id - 1].handle(TimePoint{now_}, event, actions);
        std::uint64_t last_write = 0;
        for (const raft::Action& action : actions) {
            if (const auto* message = std::get_if<raft::SendMessage>(&action)) send(id, *message);
            if (const auto* write = std::get_if<raft::Write>(&action)) last_write = write->number;
            if (const auto* applied = std::get_if<raft::ApplyEntry>(&action))
                result_.committed += applied->id != 0;
        }
        if (last_write != 0) handle(id, raft::WriteCompleted{last_write});
    }

    void settle() {
        while (!in_flight_.empty()) {
            InFlight next = std::move(in_flight_.front());
            in_flight_.pop_front();
            handle(next.to, raft::MessageReceived{next.from, *raft::decode(next.bytes)});
        }
    }

    void advance(Duration time) { now_ += time; }

    void take_snapshots() {
        for (NodeId id = 1; id <= kSize; ++id)
            handle(id, raft::SnapshotTaken{cores_[id - 1].commit_index(), "state"});
    }

    RaftBenchResult& result() { return result_; }

private:
    struct InFlight {
        NodeId from = 0;
        NodeId to = 0;
        std::string bytes;
    };

    void send(NodeId from, const raft::SendMessage& message) {
        std::string bytes = raft::encode(message.message);
        result_.message_bytes += bytes.size();
        ++result_.messages;
        in_flight_.push_back({from, message.to, std::move(bytes)});
    }

    std::vector<raft::Raft> cores_;  ///< by id - 1
    std::deque<InFlight> in_flight_;
    Duration now_{0};
    RaftBenchResult result_;
};

}  // namespace

RaftBenchResult run_raft_bench(const RaftBenchSettings& settings) {
    constexpr NodeId kLeader = 1;
    constexpr std::uint64_t kProposalsPerSnapshot = 100'000;
    constexpr Duration kPastElectionTimeout{2500};
    constexpr Duration kBatchInterval{0.01};
    constexpr Duration kHeartbeatInterval{100};
    BenchGroup group;
    group.advance(kPastElectionTimeout);
    group.handle(kLeader, raft::TimerFired{});
    group.settle();
    auto began = std::chrono::steady_clock::now();
    std::string data(settings.proposal_bytes, 'x');
    for (std::uint64_t i = 0; i < settings.proposals; i += settings.at_once) {
        for (std::uint64_t k = 0; k < settings.at_once; ++k)
            group.handle(kLeader, raft::Propose{i + k + 1, data});
        group.settle();
        group.advance(kBatchInterval);
        if (i % kProposalsPerSnapshot >= settings.at_once) continue;
        group.advance(kHeartbeatInterval);
        group.take_snapshots();
        group.handle(kLeader, raft::TimerFired{});
        group.settle();
    }
    group.result().seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    return group.result();
}

}  // namespace ochrehub::lab
