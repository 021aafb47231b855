// What a leader decides: proposals, commitment, reads, leadership transfer, when the recovery of another
// server is complete.
#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

#include "fleet/raft/raft.h"

namespace ochrehub::raft {

/// The greatest value that a majority of voters has reached. `own`: this server's; `none`: of a voter that
/// doesn't count.
template <class T, class GetValue>
T Raft::quorum_value(T own, T none, GetValue&& value_of) const {
    std::vector<T> values;
    for (const Member& member : log_.members()) {
        if (!member.voter) continue;
        if (member.id == settings_.self) {
            values.push_back(own);
            continue;
        }
        auto peer = peers_.find(member.id);
        bool counts = peer != peers_.end() && peer->second.recovery_id == 0;
        values.push_back(counts ? value_of(peer->second) : none);
    }
    if (values.empty()) return none;
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[values.size() / 2];
}

TimePoint Raft::quorum_contact_time() const {
    return quorum_value(now_, leader_since_, [](const Progress& peer) { return peer.last_contact; });
}

std::uint64_t Raft::append_entry(Entry::Kind kind, std::string data) {
    Entry entry{hard_state_.term, kind, std::move(data)};
    log_.append(entry);
    writes_.collecting().append.push_back(std::move(entry));
    return log_.last_index();
}

// ---- Requests

void Raft::on_event(const Propose& event) {
    if (role_ != Role::Leader) return reject(event.id, Error::NotLeader);
    bool full = proposals_.size() >= settings_.max_pending_requests;
    if (transfer_target_ != 0 || full) return reject(event.id, Error::Busy);
    std::uint64_t index = append_entry(Entry::Kind::Data, event.data);
    proposals_.push_back({index, event.id});
}

void Raft::on_event(const ReadIndex& event) {
    if (role_ != Role::Leader) return reject(event.id, Error::NotLeader);
    bool full = reads_.size() + deferred_reads_.size() >= settings_.max_pending_requests;
    if (full) return reject(event.id, Error::Busy);
    if (has_committed_in_term())
        reads_.push_back({event.id, commit_index_, round_ + 1});
    else
        deferred_reads_.push_back(event.id);
}

void Raft::on_event(const TransferLeadership& event) {
    if (role_ != Role::Leader || transfer_target_ != 0) return;
    NodeId target = 0;
    std::uint64_t longest = 0;
    for (const auto& [id, peer] : peers_) {
        bool requested = event.to == 0 || event.to == id;
        if (!requested || !is_voter(id) || peer.recovery_id != 0) continue;
        if (target != 0 && peer.match_index <= longest) continue;
        target = id;
        longest = peer.match_index;
    }
    if (target == 0) return;
    transfer_target_ = target;
    transfer_deadline_ = now_ + settings_.election_timeout;
    timeout_now_sent_ = false;
}

// ---- After each event

void Raft::run_leader() {
    commit_replicated_entries();
    bool removed_itself = !is_voter(settings_.self) && log_.membership_index() <= commit_index_;
    if (removed_itself) {
        send_heartbeats();
        return become_follower(hard_state_.term, 0);
    }
    track_members();
    serve_reads();
    complete_recoveries();
    promote_learner();
    continue_transfer();
    for (auto& [id, peer] : peers_) replicate_to(id, peer);
}

/// An entry of an older term is committed with one of this term after it, never by counting copies alone
/// (paper, 5.4.2).
void Raft::commit_replicated_entries() {
    std::uint64_t index = quorum_value<std::uint64_t>(writes_.durable_index(), 0,
                                                      [](const Progress& peer) { return peer.match_index; });
    if (index > commit_index_ && log_.term_at(index) == hard_state_.term) advance_commit_index(index);
}

void Raft::serve_reads() {
    if (!has_committed_in_term()) return;
    for (std::uint64_t id : deferred_reads_) reads_.push_back({id, commit_index_, round_ + 1});
    deferred_reads_.clear();
    std::uint64_t confirmed =
        quorum_value<std::uint64_t>(std::numeric_limits<std::uint64_t>::max(), 0,
                                    [](const Progress& peer) { return peer.acknowledged_round; });
    while (!reads_.empty() && reads_.front().round <= confirmed) {
        actions_->emplace_back(ReadReady{reads_.front().id, reads_.front().index});
        reads_.pop_front();
    }
    if (!reads_.empty() && reads_.front().round > heartbeat_round_) send_heartbeats();
}

/// A server that lost stored data may have voted in a term that it no longer knows. A leader elected by that
/// vote may be any of the other voters, and would have rejected this leader's rounds. So the recovery is
/// complete when all of them, not only a majority, have acknowledged a round that was sent after this leader
/// was notified of the loss, and the server holds all that this leader's log had then.
void Raft::complete_recoveries() {
    if (!has_committed_in_term()) return;
    for (auto& [id, peer] : peers_) {
        bool in_progress = peer.recovery_id != 0 && peer.recovery_completed_round == 0;
        if (!in_progress || peer.match_index < peer.recovery_target_index) continue;
        if (!others_acknowledged(id, peer.recovery_start_round)) continue;
        peer.recovery_completed_round = round_ + 1;
        if (!peer.snapshot && peer.next_index > log_.base_index()) send_append(id, peer, false);
    }
}

bool Raft::others_acknowledged(NodeId recovering, std::uint64_t round) const {
    const Members& members = log_.members();
    return std::all_of(members.begin(), members.end(), [&](const Member& member) {
        if (!member.voter || member.id == settings_.self || member.id == recovering) return true;
        const Progress& other = peers_.at(member.id);
        return other.recovery_id == 0 && other.acknowledged_round >= round;
    });
}

void Raft::continue_transfer() {
    if (transfer_target_ == 0) return;
    auto target = peers_.find(transfer_target_);
    bool eligible = target != peers_.end() && target->second.recovery_id == 0 && is_voter(transfer_target_);
    if (now_ >= transfer_deadline_ || !eligible) {
        transfer_target_ = 0;
        return;
    }
    if (timeout_now_sent_ || target->second.match_index != log_.last_index()) return;
    timeout_now_sent_ = true;
    send(transfer_target_, TimeoutNow{hard_state_.term});
}

}  // namespace ochrehub::raft
