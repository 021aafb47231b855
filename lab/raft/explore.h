// Keepers whose every step is chosen: for scenes by hand, and for all that can happen to three of them, to a
// depth. No draw is made. A clock moves only where its keeper is woken, so that any keeper may be late or
// early beside the others.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fleet/raft/raft.h"
#include "lab/raft/disk.h"
#include "lab/raft/judge.h"
#include "lab/raft/sabotage.h"

namespace ochrehub::lab {

/// Copies are independent, but for what a saboteur remembers by itself.
class RaftStage : public RaftSight {
public:
    struct Flying {
        raft::NodeId from = 0, to = 0;
        std::string octets;
        friend auto operator<=>(const Flying&, const Flying&) = default;
    };

    explicit RaftStage(std::size_t keepers, const Sabotage* sabotage = nullptr, std::size_t window = 8);

    // What may happen. Each is judged.
    void wake(raft::NodeId id);
    void sync(raft::NodeId id);  ///< all that it was given to write is on its disk, and it is told
    void take(std::size_t flying, bool again = false);  ///< arrives; `again`: and stays under way
    void crash(raft::NodeId id, bool keeps);  ///< with what is not synced, or without, and starts again
    void lose_disk(raft::NodeId id);          ///< all that it held, which is noticed as it starts again
    void propose(raft::NodeId id, std::string data);
    void read(raft::NodeId id);
    void change(raft::NodeId id, raft::NodeId member, bool add);

    // For scenes.
    /// All that is under way between these arrives, and all is synced, until nothing is left.
    void settle(const std::vector<raft::NodeId>& among);
    /// Whatever is under way from or to it is lost.
    void lose(raft::NodeId id);
    void lose_all() { flying_.clear(); }
    void under_way(const Flying& f) {
        flying_.insert(std::upper_bound(flying_.begin(), flying_.end(), f), f);
    }
    /// `id` is woken until it leads, with the votes of `among`; all else that is sent meanwhile is lost.
    bool elect(raft::NodeId id, const std::vector<raft::NodeId>& among);
    bool arrive(raft::NodeId from, raft::NodeId to);  ///< the first that is under way so

    const raft::Raft& core(raft::NodeId id) const override { return sides_[id - 1].core; }
    std::size_t draw(std::size_t) override { return 0; }
    void deliver(raft::NodeId to, raft::NodeId from, const raft::Message& message) override {
        happen(to, raft::MessageReceived{from, message});
    }
    std::size_t size() const { return sides_.size(); }
    const std::vector<Flying>& flying() const { return flying_; }
    bool writing(raft::NodeId id) const { return sides_[id - 1].write != 0; }
    const Judge& judge() const { return judge_; }
    /// Two that have it have the same cores, disks and messages: it is of what happened to each keeper, in
    /// its order.
    std::uint64_t digest() const;

private:
    struct Side {
        raft::Raft core;
        VirtualDisk disk;
        std::uint64_t write = 0;  ///< the last that is not synced; zero: none
        TimePoint clock{}, wake{};
        std::uint64_t past = 0, lives = 1;
    };

    raft::Raft begin(raft::NodeId id, const raft::PersistentState& disk, std::uint64_t life);
    void happen(raft::NodeId id, const raft::Event& event);
    void note(raft::NodeId id, const std::string& what);

    const Sabotage* sabotage_;
    std::size_t window_;
    std::vector<Side> sides_;
    std::vector<Flying> flying_;  ///< sorted
    Judge judge_;
    std::uint64_t asked_ = 0;
};

struct RaftExploration {
    /// What they have behind them.
    enum class From {
        Start,       ///< nothing
        Candidates,  ///< two ask for votes in one term
        Leader,      ///< one leads, with an entry proposed and not sent
        OldLeader,   ///< one leads; another that led before does not know, and its entries are under way
        Removal,     ///< one leads and takes another out; nobody knows yet
    };
    From from = From::Start;
    int depth = 6;
    int crashes = 1, wakes = 2, doubled = 1, proposals = 1, reads = 0;
    const Sabotage* sabotage = nullptr;
};
struct RaftExplored {
    std::uint64_t steps = 0;          ///< taken, each from a state of its own
    std::uint64_t states = 0;         ///< that differ
    std::vector<std::string> broken;  ///< the first few: what, and by which steps
};
/// All orders of: a message arrives (a lost one never does), or arrives and will once more; a disk has
/// written; a keeper is woken; one crashes with or without what was not synced and starts; a proposal or a
/// read at whoever leads.
RaftExplored explore_raft(const RaftExploration& exploration);
std::string name(RaftExploration::From from);

}  // namespace ochrehub::lab
