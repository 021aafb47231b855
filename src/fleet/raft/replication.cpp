// A leader's messages to the others, entries and snapshots, and their responses.
#include <algorithm>
#include <utility>

#include "fleet/raft/raft.h"

namespace ochrehub::raft {

void Raft::send_heartbeats() {
    next_heartbeat_ = now_ + settings_.heartbeat_interval;
    heartbeat_round_ = round_ + 1;
    for (auto& [id, peer] : peers_) {
        if (peer.snapshot)
            send_snapshot_chunk(id, peer);
        else if (peer.next_index > log_.base_index())
            send_append(id, peer, false);
    }
}

/// Sends what the peer lacks, as far as its window allows.
void Raft::replicate_to(NodeId to, Progress& peer) {
    if (peer.snapshot) return;
    if (peer.next_index <= log_.base_index()) {
        peer.snapshot = log_.snapshot();
        peer.snapshot_offset = 0;
        return send_snapshot_chunk(to, peer);
    }
    if (peer.probing) {
        if (!peer.inflight_rounds.empty()) return;
        send_append(to, peer, false);
        peer.inflight_rounds.push_back(round_);
        return;
    }
    auto window_open = [&] { return peer.inflight_rounds.size() < settings_.max_inflight_appends; };
    while (peer.next_index <= log_.last_index() && window_open()) send_append(to, peer, true);
}

void Raft::send_append(NodeId to, Progress& peer, bool with_entries) {
    AppendEntries request;
    request.term = hard_state_.term;
    request.prev_log_index = peer.next_index - 1;
    request.prev_log_term = *log_.term_at(peer.next_index - 1);
    request.leader_commit = commit_index_;
    request.round = ++round_;
    request.completed_recovery_id = peer.recovery_completed_round != 0 ? peer.recovery_id : 0;
    if (with_entries) {
        request.entries = take_batch(peer);
        peer.inflight_rounds.push_back(round_);
    }
    send(to, std::move(request));
}

/// At least one entry, and as many as fit in one message; advances the peer's next index past them.
std::vector<Entry> Raft::take_batch(Progress& peer) const {
    constexpr std::size_t kEntryOverheadBytes = 16;
    std::vector<Entry> entries;
    std::size_t bytes = 0;
    for (; peer.next_index <= log_.last_index(); ++peer.next_index) {
        const Entry& entry = log_.entry(peer.next_index);
        bytes += entry.data.size() + kEntryOverheadBytes;
        if (!entries.empty() && bytes > settings_.max_append_bytes) break;
        entries.push_back(entry);
    }
    return entries;
}

void Raft::send_snapshot_chunk(NodeId to, Progress& peer) {
    const Snapshot& snapshot = *peer.snapshot;
    peer.snapshot_round = ++round_;
    InstallSnapshot request;
    request.term = hard_state_.term;
    request.round = round_;
    request.last_included_index = snapshot.last_included_index;
    request.last_included_term = snapshot.last_included_term;
    request.offset = peer.snapshot_offset;
    request.total_size = snapshot.state.size();
    request.members = snapshot.members;
    request.data = snapshot.state.substr(std::size_t(peer.snapshot_offset), settings_.snapshot_chunk_bytes);
    send(to, std::move(request));
}

/// Null where the response is none of this leader's rounds, or a late one from before the sender lost or
/// recovered its data.
Progress* Raft::record_response(NodeId from, std::uint64_t round, std::uint64_t recovery_id) {
    auto found = peers_.find(from);
    if (found == peers_.end() || round > round_) return nullptr;
    Progress& peer = found->second;
    if (!record_recovery(peer, round, recovery_id)) return nullptr;
    peer.responded_round = std::max(peer.responded_round, round);
    while (!peer.inflight_rounds.empty() && peer.inflight_rounds.front() <= round)
        peer.inflight_rounds.pop_front();
    if (peer.recovery_id == 0) {
        peer.acknowledged_round = std::max(peer.acknowledged_round, round);
        peer.last_contact = now_;
    }
    return &peer;
}

/// False: the response was sent before the peer's last restart.
bool Raft::record_recovery(Progress& peer, std::uint64_t round, std::uint64_t recovery_id) {
    if (recovery_id != 0 && recovery_id != peer.recovery_id) {
        if (round <= peer.responded_round) return false;
        peer.recovery_id = recovery_id;
        peer.match_index = 0;
        peer.recovery_start_round = round_ + 1;
        peer.recovery_target_index = log_.last_index();
        peer.recovery_completed_round = 0;
        peer.snapshot.reset();
    } else if (recovery_id == 0 && peer.recovery_id != 0) {
        // Only a round from after the recovery was reported is answered by the process that has completed it.
        if (round < peer.recovery_start_round) return false;
        peer.recovery_id = 0;
        peer.recovery_completed_round = 0;
    }
    return true;
}

void Raft::on_message(NodeId from, const AppendEntriesResponse& response) {
    if (response.term > hard_state_.term) return become_follower(response.term, 0);
    if (response.term < hard_state_.term || role_ != Role::Leader) return;
    if (response.index > log_.last_index() + 1) return;
    Progress* peer = record_response(from, response.round, response.recovery_id);
    if (!peer) return;
    bool current = response.round >= peer->ignore_rejections_before;
    if (response.success) {
        if (response.index > log_.last_index()) return;
        peer->match_index = std::max(peer->match_index, response.index);
        peer->next_index = std::max(peer->next_index, peer->match_index + 1);
        if (current) peer->probing = false;
        if (peer->snapshot && peer->snapshot->last_included_index <= peer->match_index)
            peer->snapshot.reset();
        return;
    }
    if (!current || peer->snapshot || response.index == 0) return;
    // A match that was acknowledged holds, unless the peer has lost it.
    if (peer->recovery_id != 0) peer->match_index = std::min(peer->match_index, response.index - 1);
    peer->next_index = std::max(response.index, peer->match_index + 1);
    peer->probing = true;
    peer->inflight_rounds.clear();
    peer->ignore_rejections_before = round_ + 1;
}

void Raft::on_message(NodeId from, const InstallSnapshotResponse& response) {
    if (response.term > hard_state_.term) return become_follower(response.term, 0);
    if (response.term < hard_state_.term || role_ != Role::Leader) return;
    Progress* peer = record_response(from, response.round, response.recovery_id);
    bool expected =
        peer && peer->snapshot && peer->snapshot->last_included_index == response.last_included_index;
    if (!expected) return;
    if (response.next_offset >= peer->snapshot->state.size()) {
        peer->match_index = std::max(peer->match_index, response.last_included_index);
        peer->next_index = peer->match_index + 1;
        peer->snapshot.reset();
        peer->inflight_rounds.clear();
        peer->probing = false;
        peer->ignore_rejections_before = round_ + 1;
    } else if (response.next_offset > peer->snapshot_offset || response.round == peer->snapshot_round) {
        peer->snapshot_offset = response.next_offset;
        send_snapshot_chunk(from, *peer);
    }
}

}  // namespace ochrehub::raft
