#include "lab/raft/explore.h"

#include <algorithm>
#include <unordered_map>

#include "ochrehub/hash.h"

namespace ochrehub::lab {

using namespace raft;
using raft::Action, raft::Actions, raft::Event, raft::Settings, raft::SetTimer, raft::TimerFired;

RaftStage::RaftStage(std::size_t keepers, const Sabotage* sabotage, std::size_t window)
    : sabotage_(sabotage), window_(window) {
    Members first;
    for (NodeId id = 1; id <= keepers; ++id) first.push_back({id, true, {}});
    judge_.members(first);
    for (NodeId id = 1; id <= keepers; ++id) {
        PersistentState disk;
        disk.initial_members = first;
        sides_.push_back({begin(id, disk, 1), {}, 0, {}, {}, 0, 1});
        sides_.back().disk.there() = disk;
        judge_.started(id);
    }
    for (NodeId id = 1; id <= keepers; ++id) happen(id, TimerFired{});
}

Raft RaftStage::begin(NodeId id, const PersistentState& disk, std::uint64_t life) {
    Settings set;
    set.self = id;
    set.retained_log_bytes = 0;
    set.max_append_bytes = 1;
    set.max_inflight_appends = window_;
    PersistentState found = disk;
    if (sabotage_ && sabotage_->starts) sabotage_->starts(*this, id, found);
    return Raft(set, found, id * 1000 + life);
}

void RaftStage::note(NodeId id, const std::string& what) {
    Side& side = sides_[id - 1];
    side.past = hashed(what, side.past * 0x9e3779b97f4a7c15u + 1);
}

void RaftStage::happen(NodeId id, const Event& event) {
    Side& side = sides_[id - 1];
    Actions actions;
    side.core.handle(side.clock, event, actions);
    if (sabotage_ && sabotage_->acts) sabotage_->acts(*this, id, actions);
    Judge::Disks disks;
    for (NodeId other = 1; other <= sides_.size(); ++other) disks[other] = &sides_[other - 1].disk;
    judge_.after({id, &side.core, &side.disk}, actions, disks);
    for (Action& action : actions) {
        if (auto* send = std::get_if<SendMessage>(&action)) {
            if (send->to == 0 || send->to > sides_.size()) continue;
            if (sabotage_ && sabotage_->sends && !sabotage_->sends(*this, id, send->to, send->message))
                continue;
            Flying f{id, send->to, encode(send->message)};
            flying_.insert(std::upper_bound(flying_.begin(), flying_.end(), f), f);
        } else if (auto* write = std::get_if<Write>(&action)) {
            if (sabotage_ && sabotage_->writes) sabotage_->writes(*this, id, *write);
            side.disk.write(*write);
            side.write = write->number;
        } else if (auto* wake = std::get_if<SetTimer>(&action)) {
            side.wake = wake->at;
        }
    }
}

void RaftStage::wake(NodeId id) {
    Side& side = sides_[id - 1];
    note(id, "wake");
    side.clock = std::max(side.clock, side.wake);
    happen(id, TimerFired{});
}

void RaftStage::sync(NodeId id) {
    Side& side = sides_[id - 1];
    if (side.write == 0) return;
    note(id, "sync");
    std::uint64_t number = std::exchange(side.write, 0);
    side.disk.sync(number);
    happen(id, WriteCompleted{number});
}

void RaftStage::take(std::size_t flying, bool again) {
    Flying f = flying_[flying];
    if (!again) flying_.erase(flying_.begin() + std::ptrdiff_t(flying));
    note(f.to, "from " + std::to_string(f.from) + f.octets);
    auto message = decode(f.octets);
    if (!message) return judge_.fault("a message is not read back");
    if (sabotage_ && sabotage_->receives && !sabotage_->receives(*this, f.to, f.from, *message)) return;
    happen(f.to, MessageReceived{f.from, std::move(*message)});
}

void RaftStage::lose_disk(NodeId id) {
    judge_.loses(id, sides_[id - 1].disk);
    sides_[id - 1].disk.lose(1);
    crash(id, false);
}

void RaftStage::crash(NodeId id, bool keeps) {
    Side& side = sides_[id - 1];
    note(id, keeps ? "crash" : "crash and lose");
    side.disk.crash(keeps ? side.disk.unsynced() : 0);
    side.write = 0;
    side.wake = side.clock;
    side.core = begin(id, side.disk.there(), ++side.lives);
    judge_.started(id);
    happen(id, TimerFired{});
}

void RaftStage::propose(NodeId id, std::string data) {
    note(id, "propose " + data);
    judge_.asked(++asked_, false);
    happen(id, Propose{asked_, std::move(data)});
}

void RaftStage::read(NodeId id) {
    note(id, "read");
    judge_.asked(++asked_, true);
    happen(id, ReadIndex{asked_});
}

void RaftStage::change(NodeId id, NodeId member, bool add) {
    note(id, "change");
    judge_.asked(++asked_, false);
    happen(id, ChangeMembership{asked_, member, add, {}});
}

std::uint64_t RaftStage::digest() const {
    std::uint64_t all = 1;
    for (const Side& side : sides_) all = (all ^ side.past) * 0x9e3779b97f4a7c15u + side.write;
    for (const Flying& f : flying_) all = hashed(f.octets, all * 31 + f.from * 8 + f.to);
    return all;
}

// ---- Scenes

void RaftStage::settle(const std::vector<NodeId>& among) {
    auto in = [&](NodeId id) { return std::find(among.begin(), among.end(), id) != among.end(); };
    for (bool any = true; any;) {
        any = false;
        for (NodeId id : among)
            if (writing(id)) sync(id), any = true;
        for (std::size_t i = 0; i < flying_.size(); ++i)
            if (in(flying_[i].from) && in(flying_[i].to)) {
                take(i);
                any = true;
                break;
            }
    }
}

void RaftStage::lose(NodeId id) {
    std::erase_if(flying_, [&](const Flying& f) { return f.from == id || f.to == id; });
}

bool RaftStage::elect(NodeId id, const std::vector<NodeId>& among) {
    for (NodeId other : among)
        if (other != id) wake(other);  // its patience is over too
    lose_all();
    for (int i = 0; i < 4 && core(id).role() != Role::Leader; ++i) {
        wake(id);
        // Votes alone: what the new leader sends at once is lost.
        for (bool any = true; any && core(id).role() != Role::Leader;) {
            any = false;
            for (NodeId other : among)
                if (writing(other)) sync(other), any = true;
            for (std::size_t m = 0; m < flying_.size() && !any; ++m)
                if (std::count(among.begin(), among.end(), flying_[m].from) &&
                    std::count(among.begin(), among.end(), flying_[m].to))
                    take(m), any = true;
        }
    }
    lose_all();
    return core(id).role() == Role::Leader;
}

bool RaftStage::arrive(NodeId from, NodeId to) {
    for (std::size_t i = 0; i < flying_.size(); ++i)
        if (flying_[i].from == from && flying_[i].to == to) {
            take(i);
            return true;
        }
    return false;
}

// ---- All that can happen

std::string name(RaftExploration::From from) {
    constexpr const char* kNames[] = {"start", "candidates", "leader", "old leader", "removal"};
    return kNames[int(from)];
}

namespace {

RaftStage root(const RaftExploration& e) {
    using From = RaftExploration::From;
    RaftStage stage(3, e.sabotage);
    switch (e.from) {
        case From::Start:
            break;
        case From::Candidates:
            for (NodeId id : {1u, 2u}) stage.wake(id);
            stage.arrive(1, 3), stage.arrive(3, 1);
            stage.arrive(2, 3), stage.arrive(3, 2);
            stage.lose_all();
            stage.sync(1), stage.sync(2);
            break;
        case From::Leader:
            stage.elect(1, {1, 2});
            stage.wake(1);
            stage.settle({1, 2, 3});
            stage.propose(1, "a");
            break;
        case From::OldLeader:
            stage.elect(1, {1, 2});
            stage.wake(1);
            stage.settle({1, 2, 3});
            stage.propose(1, "a");
            stage.sync(1);
            {
                // What it sent is late; meanwhile another is elected.
                RaftStage::Flying late{};
                for (const RaftStage::Flying& f : stage.flying())
                    if (f.to == 2) late = f;
                stage.elect(3, {2, 3});
                stage.wake(3);
                stage.settle({2, 3});
                stage.lose_all();
                stage.under_way(late);
            }
            break;
        case From::Removal:
            stage.elect(1, {1, 2});
            stage.wake(1);
            stage.settle({1, 2, 3});
            stage.change(1, 3, false);
            break;
    }
    return stage;
}

class Explorer {
public:
    explicit Explorer(const RaftExploration& e) : e_(e) {}
    RaftExplored run() {
        go(root(e_), e_.depth, e_.crashes, e_.wakes, e_.doubled, e_.proposals, e_.reads);
        return std::move(result_);
    }

private:
    void go(const RaftStage& stage, int depth, int crashes, int wakes, int doubled, int proposals,
            int reads) {
        if (!stage.judge().broken().empty()) {
            if (result_.broken.size() < 4) {
                std::string what = stage.judge().broken().front() + " after";
                for (const std::string& step : path_) what += "; " + step;
                result_.broken.push_back(what);
            }
            return;
        }
        if (result_.broken.size() >= 4) return;
        std::uint64_t here = stage.digest() ^ std::uint64_t(crashes * 10007 + wakes * 101 + doubled * 11 +
                                                            proposals * 3 + reads) *
                                                  0xff51afd7ed558ccdu;
        auto [seen, first] = seen_.try_emplace(here, -1);
        if (first) ++result_.states;
        if (seen->second >= depth) return;
        seen->second = depth;
        if (depth == 0) return;
        auto next = [&](std::string step, int c, int w, int d, int p, int r,
                        const std::function<void(RaftStage&)>& happens) {
            RaftStage after = stage;
            happens(after);
            ++result_.steps;
            path_.push_back(std::move(step));
            go(after, depth - 1, c, w, d, p, r);
            path_.pop_back();
        };
        for (std::size_t i = 0; i < stage.flying().size(); ++i) {
            const RaftStage::Flying& f = stage.flying()[i];
            if (i > 0 && f == stage.flying()[i - 1]) continue;
            std::string step = std::to_string(f.from) + " to " + std::to_string(f.to) + " (" +
                               std::to_string(decode(f.octets)->index()) + ")";
            next(step, crashes, wakes, doubled, proposals, reads, [&](RaftStage& s) { s.take(i); });
            if (doubled > 0)
                next(step + " again", crashes, wakes, doubled - 1, proposals, reads,
                     [&](RaftStage& s) { s.take(i, true); });
        }
        for (NodeId id = 1; id <= stage.size(); ++id) {
            std::string who = std::to_string(id);
            if (stage.writing(id))
                next(who + " has written", crashes, wakes, doubled, proposals, reads,
                     [&](RaftStage& s) { s.sync(id); });
            if (wakes > 0)
                next(who + " wakes", crashes, wakes - 1, doubled, proposals, reads,
                     [&](RaftStage& s) { s.wake(id); });
            if (crashes > 0) {
                next(who + " crashes", crashes - 1, wakes, doubled, proposals, reads,
                     [&](RaftStage& s) { s.crash(id, false); });
                if (stage.writing(id))
                    next(who + " crashes and keeps", crashes - 1, wakes, doubled, proposals, reads,
                         [&](RaftStage& s) { s.crash(id, true); });
            }
            if (stage.core(id).role() != Role::Leader) continue;
            if (proposals > 0)
                next(who + " is asked", crashes, wakes, doubled, proposals - 1, reads,
                     [&](RaftStage& s) { s.propose(id, "b"); });
            if (reads > 0)
                next(who + " is read", crashes, wakes, doubled, proposals, reads - 1,
                     [&](RaftStage& s) { s.read(id); });
        }
    }

    RaftExploration e_;
    RaftExplored result_;
    std::unordered_map<std::uint64_t, int> seen_;
    std::vector<std::string> path_;
};

}  // namespace

RaftExplored explore_raft(const RaftExploration& exploration) {
    return Explorer(exploration).run();
}

}  // namespace ochrehub::lab
