// Who leads: election timeouts, pre-vote, votes, leadership transfer, stepping down.
#include <algorithm>

#include "fleet/raft/raft.h"

namespace ochrehub::raft {

void Raft::reset_election_timer() {
    election_deadline_ = now_ + settings_.election_timeout * (1 + random_fraction());
}

/// While it holds, candidates are ignored: a server that was cut off must not end a working leader's term
/// (thesis, 4.2.3).
bool Raft::has_current_leader() const {
    // A leader that lost its quorum has stepped down before it looks at a message (see handle).
    if (role_ == Role::Leader) return true;
    return leader_ != 0 && now_ - leader_contact_time_ < settings_.election_timeout;
}

/// The candidate's log is at least as up to date as this one (paper, 5.4.1).
bool Raft::log_is_current(const RequestVote& request) const {
    if (request.last_log_term != log_.last_term()) return request.last_log_term > log_.last_term();
    return request.last_log_index >= log_.last_index();
}

/// A voter, or one whose removal is in its log and not committed: it may hold the only log from which the
/// removal can be committed (thesis, 4.2.2).
bool Raft::counts_as_voter() const {
    if (is_voter(settings_.self)) return true;
    if (log_.membership_index() <= commit_index_) return false;
    const Members& before = log_.members_at(log_.membership_index() - 1);
    return std::any_of(before.begin(), before.end(),
                       [this](const Member& member) { return member.id == settings_.self && member.voter; });
}

void Raft::begin_campaign(Role role) {
    role_ = role;
    leader_ = 0;
    votes_.clear();
    reset_election_timer();
}

void Raft::start_pre_vote() {
    begin_campaign(Role::PreCandidate);
    votes_.insert(settings_.self);
    request_votes({hard_state_.term + 1, log_.last_index(), log_.last_term(), true, false});
}

void Raft::start_election(bool leadership_transfer) {
    begin_campaign(Role::Candidate);
    hard_state_ = {hard_state_.term + 1, settings_.self};
    writes_.collecting().hard_state = hard_state_;
    writes_.drop_held();
    incoming_snapshot_.reset();
    own_vote_write_ = writes_.last_number();
    request_votes({hard_state_.term, log_.last_index(), log_.last_term(), false, leadership_transfer});
}

void Raft::request_votes(const RequestVote& request) {
    for (const Member& member : log_.members()) {
        if (member.id == settings_.self || !member.voter) continue;
        if (request.pre_vote)
            send(member.id, request);
        else
            send_after_writes(member.id, request);
    }
    count_votes();
}

void Raft::count_votes() {
    std::size_t voters = 0;
    std::size_t granted = 0;
    for (const Member& member : log_.members()) {
        if (!member.voter) continue;
        ++voters;
        granted += votes_.contains(member.id);
    }
    if (granted * 2 <= voters) return;
    if (role_ == Role::PreCandidate)
        start_election(false);
    else
        become_leader();
}

void Raft::on_message(NodeId from, const RequestVote& request) {
    if (!request.leadership_transfer && request.term >= hard_state_.term && has_current_leader()) return;
    bool eligible = recovery_id_ == 0 && log_is_current(request);
    if (request.pre_vote) {
        bool granted = eligible && request.term > hard_state_.term;
        send(from, RequestVoteResponse{granted ? request.term : hard_state_.term, true, granted});
        return;
    }
    if (request.term < hard_state_.term) {
        send(from, RequestVoteResponse{hard_state_.term, false, false});
        return;
    }
    if (request.term > hard_state_.term) become_follower(request.term, 0);
    bool voted_for_another = hard_state_.voted_for != 0 && hard_state_.voted_for != from;
    if (!eligible || voted_for_another) {
        send(from, RequestVoteResponse{hard_state_.term, false, false});
        return;
    }
    if (hard_state_.voted_for == 0) {
        hard_state_.voted_for = from;
        writes_.collecting().hard_state = hard_state_;
    }
    reset_election_timer();
    send_after_writes(from, RequestVoteResponse{hard_state_.term, false, true});
}

void Raft::on_message(NodeId from, const RequestVoteResponse& response) {
    if (response.pre_vote && response.vote_granted) {
        if (role_ != Role::PreCandidate || response.term != hard_state_.term + 1) return;
    } else {
        if (response.term > hard_state_.term) return become_follower(response.term, 0);
        bool is_vote = response.vote_granted && response.term == hard_state_.term;
        if (role_ != Role::Candidate || !is_vote) return;
    }
    votes_.insert(from);
    count_votes();
}

void Raft::on_message(NodeId from, const TimeoutNow& request) {
    bool from_current_leader = request.term == hard_state_.term && leader_ == from;
    if (!from_current_leader || role_ != Role::Follower || !may_campaign()) return;
    start_election(true);
}

void Raft::become_leader() {
    role_ = Role::Leader;
    leader_ = settings_.self;
    votes_.clear();
    peers_.clear();
    round_ = 0;
    leader_since_ = now_;
    transfer_target_ = 0;
    track_members();
    term_start_index_ = append_entry(Entry::Kind::NoOp, {});
    send_heartbeats();
}

/// `leader`: of `term`; zero: unknown.
void Raft::become_follower(std::uint64_t term, NodeId leader) {
    if (role_ == Role::Leader) step_down();
    if (term > hard_state_.term) {
        hard_state_ = {term, 0};
        writes_.collecting().hard_state = hard_state_;
        // What they acknowledge to an older term's leader may be overwritten once it is durable.
        writes_.drop_held();
        incoming_snapshot_.reset();
        reset_election_timer();
    }
    role_ = Role::Follower;
    leader_ = leader;
}

/// Ends this server's leadership: requests that are pending get a result.
void Raft::step_down() {
    role_ = Role::Follower;
    leader_ = 0;
    for (const PendingProposal& proposal : proposals_) reject(proposal.id, Error::LeadershipLost);
    for (const PendingRead& read : reads_) reject(read.id, Error::LeadershipLost);
    for (std::uint64_t id : deferred_reads_) reject(id, Error::LeadershipLost);
    proposals_.clear();
    reads_.clear();
    deferred_reads_.clear();
    peers_.clear();
    transfer_target_ = 0;
    reset_election_timer();
}

}  // namespace ochrehub::raft
