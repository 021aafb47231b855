// Who leads: patience, pre-vote, votes, handing over, stepping down.
#include <algorithm>

#include "fleet/raft/raft.h"

namespace ochrehub::raft {

void Raft::draw_patience() {
    patience_ = now_ + set_.election_timeout * (1 + uniform());
}

bool Raft::hears_leader() const {
    // A leader that had lost its majority has stepped down before it came here.
    return role_ == Role::Leader || (leader_ != 0 && now_ - heard_ < set_.election_timeout);
}

void Raft::campaign(bool pre, bool transfer) {
    leader_ = 0;
    votes_.clear();
    transferred_ = transfer;
    draw_patience();
    if (pre) {
        role_ = Role::PreCandidate;
        votes_.insert(set_.self);
    } else {
        role_ = Role::Candidate;
        vote_ = {vote_.term + 1, set_.self};
        write_.hard_state = vote_;
        held_.clear();
        pieces_.reset();
        own_vote_ = last_write();
    }
    RequestVote ask{vote_.term + (pre ? 1 : 0), log_.last(), log_.last_term(), pre, transfer};
    for (const Member& member : log_.members()) {
        if (member.id == set_.self || !member.voter) continue;
        if (pre)
            send(member.id, ask);
        else
            send_behind(member.id, ask);
    }
    count_votes();
}

void Raft::count_votes() {
    std::size_t voters = 0, given = 0;
    for (const Member& member : log_.members()) {
        if (!member.voter) continue;
        ++voters;
        given += votes_.contains(member.id);
    }
    if (given * 2 <= voters) return;
    if (role_ == Role::PreCandidate)
        campaign(false, false);
    else
        lead();
}

void Raft::take(NodeId from, const RequestVote& m) {
    if (!m.transfer && m.term >= vote_.term && hears_leader()) return;
    bool newer =
        m.last_term != log_.last_term() ? m.last_term > log_.last_term() : m.last_index >= log_.last();
    if (m.pre) {
        bool granted = doubt_ == 0 && m.term > vote_.term && newer;
        return send(from, RequestVoteResponse{granted ? m.term : vote_.term, true, granted});
    }
    if (m.term < vote_.term) return send(from, RequestVoteResponse{vote_.term, false, false});
    if (m.term > vote_.term) follow(m.term, 0);
    if (doubt_ != 0 || !newer || (vote_.voted_for != 0 && vote_.voted_for != from))
        return send(from, RequestVoteResponse{vote_.term, false, false});
    if (vote_.voted_for == 0) {
        vote_.voted_for = from;
        write_.hard_state = vote_;
    }
    draw_patience();
    send_behind(from, RequestVoteResponse{vote_.term, false, true});
}

void Raft::take(NodeId from, const RequestVoteResponse& m) {
    if (m.pre && m.granted) {
        if (role_ != Role::PreCandidate || m.term != vote_.term + 1) return;
    } else {
        if (m.term > vote_.term) return follow(m.term, 0);
        if (!m.granted || role_ != Role::Candidate || m.term != vote_.term) return;
    }
    votes_.insert(from);
    count_votes();
}

void Raft::take(NodeId from, const TimeoutNow& m) {
    if (m.term != vote_.term || role_ != Role::Follower || leader_ != from || !may_campaign()) return;
    campaign(false, true);
}

void Raft::lead() {
    role_ = Role::Leader;
    leader_ = set_.self;
    votes_.clear();
    peers_.clear();
    round_ = 0;
    led_since_ = now_;
    transfer_to_ = 0;
    meet_members();
    began_ = append({vote_.term, Entry::Kind::NoOp, {}});
    beat();
}

void Raft::follow(std::uint64_t term, NodeId leader) {
    if (role_ == Role::Leader) leave_lead();
    if (term > vote_.term) {
        vote_ = {term, 0};
        write_.hard_state = vote_;
        // What was promised to an older term's leader may no longer hold once it is written.
        held_.clear();
        pieces_.reset();
        draw_patience();
    }
    role_ = Role::Follower;
    leader_ = leader;
}

void Raft::leave_lead() {
    role_ = Role::Follower;
    leader_ = 0;
    for (const auto& [index, id] : proposals_) reject(id, Error::LeadershipLost);
    for (const Asked& read : reads_) reject(read.id, Error::LeadershipLost);
    for (std::uint64_t id : early_reads_) reject(id, Error::LeadershipLost);
    proposals_.clear();
    reads_.clear();
    early_reads_.clear();
    peers_.clear();
    transfer_to_ = 0;
    draw_patience();
}

}  // namespace ochrehub::raft
