#include "lab/raft/mutants.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

#include "lab/raft/mutant_scenarios.h"
#include "lab/raft/random_faults.h"

namespace ochrehub::lab {
namespace {

using raft::NodeId;

template <class MessageType>
using ChangeMessage = std::function<void(RaftMutationContext&, NodeId receiver, MessageType&)>;

/// Changes messages of one type when they are received.
template <class MessageType>
RaftMutation changing_received(ChangeMessage<MessageType> change) {
    RaftMutation mutation;
    mutation.on_receive = [change](RaftMutationContext& context, NodeId to, NodeId, raft::Message& message) {
        if (auto* changed = std::get_if<MessageType>(&message)) change(context, to, *changed);
        return true;
    };
    return mutation;
}

RaftMutation with_flag(bool RaftMutation::*flag) {
    RaftMutation mutation;
    mutation.*flag = true;
    return mutation;
}

// ---- Votes

RaftMutation votes_twice() {
    RaftMutation mutation;
    mutation.on_send = [](RaftMutationContext& context, NodeId from, NodeId, raft::Message& message) {
        auto* vote = std::get_if<raft::RequestVoteResponse>(&message);
        if (vote && !vote->pre_vote && vote->term == context.core(from).term()) vote->vote_granted = true;
        return true;
    };
    return mutation;
}

RaftMutation forgets_vote_at_restart() {
    RaftMutation mutation;
    mutation.on_start = [](RaftMutationContext&, NodeId, raft::PersistentState& stored) {
        stored.hard_state.voted_for = 0;
    };
    return mutation;
}

RaftMutation votes_for_older_logs() {
    return changing_received<raft::RequestVote>([](RaftMutationContext&, NodeId, raft::RequestVote& request) {
        request.last_log_index = ~std::uint64_t(0);
        request.last_log_term = ~std::uint64_t(0);
    });
}

RaftMutation takes_pre_vote_for_vote() {
    return changing_received<raft::RequestVoteResponse>(
        [](RaftMutationContext& context, NodeId to, raft::RequestVoteResponse& response) {
            bool granted = response.pre_vote && response.vote_granted;
            if (granted && context.core(to).role() == raft::Role::Candidate) response.pre_vote = false;
        });
}

// ---- Commitment

RaftMutation counts_entries_of_older_terms() {
    using MatchIndexes = std::map<NodeId, std::uint64_t>;
    auto match_by_term = std::make_shared<std::map<std::uint64_t, MatchIndexes>>();
    RaftMutation mutation;
    mutation.on_receive = [match_by_term](RaftMutationContext& context, NodeId to, NodeId from,
                                          raft::Message& message) {
        auto* response = std::get_if<raft::AppendEntriesResponse>(&message);
        bool matches = response && response->success && response->recovery_id == 0;
        if (!matches || response->term != context.core(to).term()) return true;
        std::uint64_t& match = (*match_by_term)[response->term][from];
        match = std::max(match, response->index);
        return true;
    };
    mutation.on_send = [match_by_term](RaftMutationContext& context, NodeId from, NodeId,
                                       raft::Message& message) {
        auto* request = std::get_if<raft::AppendEntries>(&message);
        const raft::Raft& core = context.core(from);
        if (!request || core.role() != raft::Role::Leader) return true;
        std::vector<std::uint64_t> matches;
        for (const raft::Member& member : core.members()) {
            if (!member.voter) continue;
            MatchIndexes& of_term = (*match_by_term)[request->term];
            matches.push_back(member.id == from ? core.durable_index() : of_term[member.id]);
        }
        std::sort(matches.begin(), matches.end(), std::greater<>());
        if (matches.empty()) return true;
        request->leader_commit = std::max(request->leader_commit, matches[matches.size() / 2]);
        return true;
    };
    return mutation;
}

RaftMutation counts_learners() {
    RaftMutation mutation;
    mutation.on_receive = [](RaftMutationContext& context, NodeId to, NodeId from, raft::Message& message) {
        const raft::Raft& core = context.core(to);
        bool response = std::holds_alternative<raft::AppendEntriesResponse>(message);
        if (!response || core.role() != raft::Role::Leader) return true;
        const raft::Members& members = core.members();
        bool from_learner = std::any_of(members.begin(), members.end(), [from](const raft::Member& member) {
            return member.id == from && !member.voter;
        });
        auto voter = std::find_if(members.begin(), members.end(), [to](const raft::Member& member) {
            return member.voter && member.id != to;
        });
        if (from_learner && voter != members.end()) context.deliver(to, voter->id, message);
        return true;
    };
    return mutation;
}

RaftMutation applies_uncommitted_entries() {
    return changing_received<raft::AppendEntries>(
        [](RaftMutationContext&, NodeId, raft::AppendEntries& request) {
            request.leader_commit = request.prev_log_index + request.entries.size();
        });
}

RaftMutation applies_twice() {
    RaftMutation mutation;
    mutation.on_actions = [](RaftMutationContext& context, NodeId, raft::Actions& actions) {
        constexpr std::size_t kOneOf = 50;
        for (std::size_t i = 0; i < actions.size(); ++i) {
            auto* apply = std::get_if<raft::ApplyEntry>(&actions[i]);
            if (!apply || context.random_below(kOneOf) != 0) continue;
            raft::ApplyEntry again = *apply;
            again.id = 0;
            ++i;
            actions.insert(actions.begin() + std::ptrdiff_t(i),
                           raft::Action(std::in_place_type<raft::ApplyEntry>, again));
        }
    };
    return mutation;
}

// ---- The log

RaftMutation accepts_entries_of_an_older_leader() {
    return changing_received<raft::AppendEntries>(
        [](RaftMutationContext& context, NodeId to, raft::AppendEntries& request) {
            const raft::Raft& core = context.core(to);
            if (core.role() != raft::Role::Leader) request.term = std::max(request.term, core.term());
        });
}

RaftMutation truncates_too_much() {
    RaftMutation mutation;
    mutation.on_write = [](RaftMutationContext&, NodeId, raft::Write& write) {
        constexpr std::uint64_t kTooMuch = 3;
        if (!write.truncate_from) return;
        std::uint64_t from = *write.truncate_from;
        write.truncate_from = from > kTooMuch ? from - kTooMuch : 1;
    };
    return mutation;
}

RaftMutation sends_snapshot_without_members() {
    return changing_received<raft::InstallSnapshot>(
        [](RaftMutationContext&, NodeId, raft::InstallSnapshot& request) { request.members.clear(); });
}

// ---- Recovery of lost data

RaftMutation trusts_a_disk_that_lost_data() {
    RaftMutation mutation;
    mutation.on_start = [](RaftMutationContext&, NodeId, raft::PersistentState& stored) {
        stored.trusted = true;
    };
    return mutation;
}

RaftMutation completes_recovery_at_once() {
    auto recovery_ids = std::make_shared<std::map<NodeId, std::uint64_t>>();
    RaftMutation mutation;
    mutation.on_actions = [recovery_ids](RaftMutationContext&, NodeId id, raft::Actions& actions) {
        for (raft::Action& action : actions) {
            auto* send = std::get_if<raft::SendMessage>(&action);
            if (!send) continue;
            auto* response = std::get_if<raft::AppendEntriesResponse>(&send->message);
            if (response && response->recovery_id != 0) (*recovery_ids)[id] = response->recovery_id;
        }
    };
    mutation.on_receive = [recovery_ids](RaftMutationContext&, NodeId to, NodeId, raft::Message& message) {
        if (auto* request = std::get_if<raft::AppendEntries>(&message))
            request->completed_recovery_id = (*recovery_ids)[to];
        return true;
    };
    return mutation;
}

RaftMutation counts_recovering_servers() {
    return changing_received<raft::AppendEntriesResponse>(
        [](RaftMutationContext&, NodeId, raft::AppendEntriesResponse& response) {
            response.recovery_id = 0;
        });
}

std::vector<RaftMutant> vote_mutants() {
    constexpr std::uint64_t kTwoVotesSeed = 3;
    constexpr std::uint64_t kPreVoteSeed = 28;
    return {
        {"votes twice in a term", "two leaders in term", votes_twice, nullptr, kTwoVotesSeed},
        {"forgets its vote at a restart", "votes twice in term", forgets_vote_at_restart,
         exploration_scenario(ExplorationStart::Candidates, 6)},
        {"votes for a candidate whose log is older", "without the committed entry", votes_for_older_logs},
        {"takes a pre-vote for a vote", "two leaders in term", takes_pre_vote_for_vote, nullptr,
         kPreVoteSeed},
    };
}

std::vector<RaftMutant> commitment_mutants() {
    return {
        {"acknowledges writes before they are durable", "not on its disk",
         [] { return with_flag(&RaftMutation::completes_writes_early); }},
        {"counts entries of older terms", "without the committed entry", counts_entries_of_older_terms,
         figure_eight_scenario},
        {"counts a learner", "voters hold on disk", counts_learners},
        {"applies entries that are not committed", "voters hold on disk", applies_uncommitted_entries},
        {"accepts entries of an older leader", "deletes the committed entry",
         accepts_entries_of_an_older_leader, exploration_scenario(ExplorationStart::OldLeader, 3)},
        {"truncates more than conflicts", "disk", truncates_too_much},
    };
}

std::vector<RaftMutant> state_mutants() {
    return {
        {"sends a snapshot without members", "other members", sends_snapshot_without_members},
        {"takes a snapshot that includes more than its index", "of another state",
         [] { return with_flag(&RaftMutation::understates_snapshots); }},
        {"installs a snapshot without its state", "of another state",
         [] { return with_flag(&RaftMutation::ignores_snapshot_state); }},
        {"applies an entry twice", "applies twice", applies_twice},
        {"serves reads without a round", "serves a read",
         [] { return with_flag(&RaftMutation::serves_local_reads); }},
        {"responds before the entry is committed", "not linearizable",
         [] { return with_flag(&RaftMutation::responds_early); }},
    };
}

std::vector<RaftMutant> recovery_mutants() {
    return {
        {"trusts a disk that lost acknowledged data", "voters hold on disk", trusts_a_disk_that_lost_data},
        {"completes a recovery at once", "without the committed entry", completes_recovery_at_once,
         lost_acknowledgement_scenario},
        {"counts a recovering server", "voters hold on disk", counts_recovering_servers},
    };
}

/// The first violation that shows the mutant's fault; empty: none.
std::string matching_violation(const RaftMutant& mutant, const std::vector<std::string>& violations) {
    for (const std::string& violation : violations)
        if (violation.find(mutant.expected_violation) != std::string::npos) return violation;
    return {};
}

}  // namespace

const std::vector<RaftMutant>& raft_mutants() {
    static const std::vector<RaftMutant> kAll = [] {
        std::vector<RaftMutant> all;
        for (auto make : {vote_mutants, commitment_mutants, state_mutants, recovery_mutants}) {
            std::vector<RaftMutant> group = make();
            all.insert(all.end(), group.begin(), group.end());
        }
        return all;
    }();
    return kAll;
}

MutantDetection detect_mutant(const RaftMutant& mutant, std::uint64_t max_seed) {
    if (mutant.scenario) return {0, matching_violation(mutant, mutant.scenario(mutant.create()))};
    for (std::uint64_t i = 0; i <= max_seed; ++i) {
        RandomFaultSettings settings;
        settings.seed = i == 0 ? mutant.first_seed : i;
        settings.mutation = mutant.create();
        std::string violation = matching_violation(mutant, run_random_faults(settings).violations);
        if (!violation.empty()) return {settings.seed, violation};
    }
    return {};
}

}  // namespace ochrehub::lab
