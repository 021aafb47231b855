#include "lab/raft/saboteurs.h"

#include <algorithm>
#include <memory>

#include "lab/raft/explore.h"

namespace ochrehub::lab {

using namespace raft;
using raft::Action, raft::Actions;

namespace {

Sabotage receiving(std::function<bool(RaftSight&, NodeId to, NodeId from, Message&)> f) {
    Sabotage s;
    s.receives = std::move(f);
    return s;
}
Sabotage starting(std::function<void(RaftSight&, NodeId, PersistentState&)> f) {
    Sabotage s;
    s.starts = std::move(f);
    return s;
}
template <class T>
Sabotage on_receipt(std::function<void(RaftSight&, NodeId to, T&)> f) {
    return receiving([f](RaftSight& w, NodeId to, NodeId, Message& m) {
        if (T* it = std::get_if<T>(&m)) f(w, to, *it);
        return true;
    });
}

Sabotage votes_twice() {
    Sabotage s;
    s.sends = [](RaftSight& w, NodeId from, NodeId, Message& m) {
        if (auto* vote = std::get_if<RequestVoteResponse>(&m);
            vote && !vote->pre_vote && vote->term == w.core(from).term())
            vote->vote_granted = true;
        return true;
    };
    return s;
}

Sabotage counts_old_terms() {
    // What the leader of a term has heard that others have.
    auto matches = std::make_shared<std::map<std::uint64_t, std::map<NodeId, std::uint64_t>>>();
    Sabotage s;
    s.receives = [matches](RaftSight& w, NodeId to, NodeId from, Message& m) {
        if (auto* a = std::get_if<AppendEntriesResponse>(&m);
            a && a->success && a->recovery_id == 0 && a->term == w.core(to).term())
            (*matches)[a->term][from] = std::max((*matches)[a->term][from], a->index);
        return true;
    };
    s.sends = [matches](RaftSight& w, NodeId from, NodeId, Message& m) {
        auto* a = std::get_if<AppendEntries>(&m);
        if (!a || w.core(from).role() != Role::Leader) return true;
        std::vector<std::uint64_t> have;
        for (const Member& member : w.core(from).members())
            if (member.voter)
                have.push_back(member.id == from ? w.core(from).durable_index()
                                                 : (*matches)[a->term][member.id]);
        std::sort(have.begin(), have.end(), std::greater<>());
        if (!have.empty()) a->leader_commit = std::max(a->leader_commit, have[have.size() / 2]);
        return true;
    };
    return s;
}

Sabotage counts_learners() {
    return receiving([](RaftSight& w, NodeId to, NodeId from, Message& m) {
        if (!std::holds_alternative<AppendEntriesResponse>(m) || w.core(to).role() != Role::Leader)
            return true;
        const Members& members = w.core(to).members();
        bool learner = std::any_of(members.begin(), members.end(),
                                   [&](const Member& x) { return x.id == from && !x.voter; });
        if (!learner) return true;
        for (const Member& member : members)
            if (member.voter && member.id != to) {
                w.deliver(to, member.id, m);
                break;
            }
        return true;
    });
}

Sabotage trusts_at_once() {
    auto doubts = std::make_shared<std::map<NodeId, std::uint64_t>>();
    Sabotage s;
    s.acts = [doubts](RaftSight&, NodeId id, Actions& actions) {
        for (Action& action : actions)
            if (auto* send = std::get_if<SendMessage>(&action))
                if (auto* a = std::get_if<AppendEntriesResponse>(&send->message); a && a->recovery_id != 0)
                    (*doubts)[id] = a->recovery_id;
    };
    s.receives = [doubts](RaftSight&, NodeId to, NodeId, Message& m) {
        if (auto* a = std::get_if<AppendEntries>(&m)) a->completed_recovery_id = (*doubts)[to];
        return true;
    };
    return s;
}

Sabotage applies_twice() {
    Sabotage s;
    s.acts = [](RaftSight& w, NodeId, Actions& actions) {
        for (std::size_t i = 0; i < actions.size(); ++i)
            if (auto* applied = std::get_if<ApplyEntry>(&actions[i]); applied && w.draw(50) == 0) {
                ApplyEntry again = *applied;
                again.id = 0;
                actions.insert(actions.begin() + std::ptrdiff_t(i) + 1,
                               Action(std::in_place_type<ApplyEntry>, again));
                ++i;
            }
    };
    return s;
}

Sabotage cuts_too_much() {
    Sabotage s;
    s.writes = [](RaftSight&, NodeId, Write& write) {
        if (write.truncate_from)
            *write.truncate_from = *write.truncate_from > 3 ? *write.truncate_from - 3 : 1;
    };
    return s;
}

/// Figure 8 of Ongaro and Ousterhout (2014) with three: an entry of an old term is with a majority, and one
/// with an entry of a younger term, that nobody else has, is elected.
std::vector<std::string> figure_eight(const Sabotage& sabotage) {
    RaftStage stage(3, &sabotage, 1);
    stage.elect(1, {1, 2});
    stage.sync(1);
    stage.elect(3, {2, 3});
    stage.sync(3);
    stage.crash(1, true);
    stage.elect(1, {1, 2});
    stage.sync(1);
    stage.wake(1);
    for (int i = 0; i < 20 && stage.core(2).last_index() < 2;
         ++i) {  // up to its entry of the new term, which is not written yet
        stage.arrive(1, 2);
        if (stage.core(2).last_index() < 2) stage.sync(2);
        stage.arrive(2, 1);
    }
    stage.crash(2, false);
    stage.crash(3, true);
    stage.elect(3, {2, 3});
    return stage.judge().broken();
}

/// What one had promised and lost would be missing from the next leader's log, were its word taken before it
/// has it again.
std::vector<std::string> lost_promise(const Sabotage& sabotage) {
    RaftStage stage(3, &sabotage);
    stage.elect(1, {1, 2});
    stage.wake(1);
    stage.settle({1, 2, 3});
    stage.propose(1, "a");
    stage.settle({1, 2});
    stage.lose_all();
    stage.lose_disk(2);
    stage.wake(1);
    for (int i = 0; i < 4 && !stage.core(2).storage_trusted(); ++i) {
        stage.arrive(1, 2);
        stage.sync(2);
        stage.arrive(2, 1);
    }
    stage.elect(3, {2, 3});
    return stage.judge().broken();
}

std::function<std::vector<std::string>(const Sabotage&)> explored(RaftExploration::From from, int depth) {
    return [from, depth](const Sabotage& sabotage) {
        RaftExploration e;
        e.from = from;
        e.depth = depth;
        e.wakes = 0;
        e.doubled = 0;
        e.sabotage = &sabotage;
        return explore_raft(e).broken;
    };
}

Sabotage with(bool Sabotage::*flag) {
    Sabotage s;
    s.*flag = true;
    return s;
}

}  // namespace

const std::vector<Saboteur>& raft_saboteurs() {
    static const std::vector<Saboteur> kAll{
        {"votes twice in a term", "two leaders in term", votes_twice, nullptr, 3},
        {"forgets its vote at a restart", "votes twice in term",
         [] { return starting([](RaftSight&, NodeId, PersistentState& d) { d.hard_state.voted_for = 0; }); },
         explored(RaftExploration::From::Candidates, 6)},
        {"takes what it is asked for by a candidate whose log is older", "without what was agreed on",
         [] {
             return on_receipt<RequestVote>(
                 [](RaftSight&, NodeId, RequestVote& m) { m.last_log_term = m.last_log_index = ~std::uint64_t(0); });
         }},
        {"takes a pre-vote for a vote", "two leaders in term",
         [] {
             return on_receipt<RequestVoteResponse>([](RaftSight& w, NodeId to, RequestVoteResponse& m) {
                 if (m.pre_vote && m.vote_granted && w.core(to).role() == Role::Candidate) m.pre_vote = false;
             });
         },
         nullptr, 28},
        {"says that it has written before it has", "not on its disk", [] { return with(&Sabotage::early); }},
        {"counts entries of older terms", "without what was agreed on", counts_old_terms, figure_eight},
        {"counts a learner", "have on their disks", counts_learners},
        {"applies what is not agreed on yet", "have on their disks",
         [] {
             return on_receipt<AppendEntries>([](RaftSight&, NodeId, AppendEntries& m) {
                 m.leader_commit = m.prev_log_index + m.entries.size();
             });
         }},
        {"takes entries of an older leader", "cuts what was agreed on",
         [] {
             return on_receipt<AppendEntries>([](RaftSight& w, NodeId to, AppendEntries& m) {
                 if (w.core(to).role() != Role::Leader) m.term = std::max(m.term, w.core(to).term());
             });
         },
         explored(RaftExploration::From::OldLeader, 3)},
        {"cuts more than is wrong", "disk", cuts_too_much},
        {"sends a snapshot without members", "other members",
         [] {
             return on_receipt<InstallSnapshot>(
                 [](RaftSight&, NodeId, InstallSnapshot& m) { m.members.clear(); });
         }},
        {"makes a snapshot that holds more than it says", "of another state",
         [] { return with(&Sabotage::behind); }},
        {"does not take the state of a snapshot", "of another state", [] { return with(&Sabotage::deaf); }},
        {"applies an entry twice", "applies twice", applies_twice},
        {"answers reads without a round", "answers a read", [] { return with(&Sabotage::local_reads); }},
        {"answers before it is agreed on", "not linearizable", [] { return with(&Sabotage::hasty); }},
        {"trusts a disk that has lost what was promised", "have on their disks",
         [] { return starting([](RaftSight&, NodeId, PersistentState& d) { d.trusted = true; }); }},
        {"ends a doubt at once", "without what was agreed on", trusts_at_once, lost_promise},
        {"counts one in doubt", "have on their disks",
         [] {
             return on_receipt<AppendEntriesResponse>(
                 [](RaftSight&, NodeId, AppendEntriesResponse& m) { m.recovery_id = 0; });
         }},
    };
    return kAll;
}

Caught catch_saboteur(const Saboteur& saboteur, std::uint64_t most) {
    auto shown = [&](const std::vector<std::string>& broken) -> std::string {
        for (const std::string& what : broken)
            if (what.find(saboteur.shows) != std::string::npos) return what;
        return {};
    };
    if (saboteur.scene) return {0, shown(saboteur.scene(saboteur.make()))};
    for (std::uint64_t i = 0; i <= most; ++i) {
        std::uint64_t seed = i == 0 ? saboteur.seed : i;
        ChaosSettings set;
        set.seed = seed;
        set.sabotage = saboteur.make();
        ChaosResult r = chaos(set);
        if (std::string what = shown(r.broken); !what.empty()) return {seed, what};
    }
    return {};
}

}  // namespace ochrehub::lab
