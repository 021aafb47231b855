// What a follower receives from its leader: entries, and snapshots in chunks.
#include <algorithm>
#include <utility>

#include "fleet/raft/raft.h"

namespace ochrehub::raft {

void Raft::follow_leader(std::uint64_t term, NodeId leader) {
    become_follower(term, leader);
    leader_contact_time_ = now_;
    reset_election_timer();
}

void Raft::on_message(NodeId from, const AppendEntries& request) {
    if (request.term < hard_state_.term) {
        send(from, AppendEntriesResponse{hard_state_.term, request.round, false, 0, recovery_id_});
        return;
    }
    if (request.term == hard_state_.term && role_ == Role::Leader) return;
    follow_leader(request.term, from);

    bool mismatch = request.prev_log_index >= log_.base_index() &&
                    log_.term_at(request.prev_log_index) != request.prev_log_term;
    if (mismatch) {
        std::uint64_t conflict = conflict_index(request.prev_log_index);
        send_after_writes(
            from, AppendEntriesResponse{hard_state_.term, request.round, false, conflict, recovery_id_});
        return;
    }
    if (!store_entries(request)) return;
    if (request.completed_recovery_id != 0 && request.completed_recovery_id == recovery_id_) {
        recovery_id_ = 0;
        writes_.collecting().hard_state = hard_state_;
        writes_.collecting().recovered = true;
    }
    std::uint64_t last_sent = request.prev_log_index + request.entries.size();
    advance_commit_index(std::min(request.leader_commit, last_sent));
    send_after_writes(from,
                      AppendEntriesResponse{hard_state_.term, request.round, true, last_sent, recovery_id_});
}

/// The first index that the leader has to send again: the start of the term that conflicts, which may be
/// wrong as a whole, or the end of this log.
std::uint64_t Raft::conflict_index(std::uint64_t prev_log_index) const {
    std::uint64_t conflict = std::min(log_.last_index() + 1, prev_log_index);
    if (prev_log_index > log_.last_index()) return conflict;
    std::uint64_t conflicting_term = *log_.term_at(conflict);
    while (conflict > commit_index_ + 1 && log_.term_at(conflict - 1) == conflicting_term) --conflict;
    return conflict;
}

/// False: the request contradicts a committed entry, which no correct leader does.
bool Raft::store_entries(const AppendEntries& request) {
    std::uint64_t index = request.prev_log_index;
    for (const Entry& entry : request.entries) {
        ++index;
        if (index <= log_.base_index() || log_.term_at(index) == entry.term) continue;
        if (index <= commit_index_) return false;
        if (index <= log_.last_index()) truncate_log(index);
        log_.append(entry);
        writes_.collecting().append.push_back(entry);
    }
    return true;
}

void Raft::advance_commit_index(std::uint64_t index) {
    while (commit_index_ < index) {
        ++commit_index_;
        const Entry& entry = log_.entry(commit_index_);
        std::uint64_t id = 0;
        if (!proposals_.empty() && proposals_.front().index == commit_index_) {
            id = proposals_.front().id;
            proposals_.pop_front();
        }
        if (entry.kind != Entry::Kind::Data) continue;
        actions_->emplace_back(ApplyEntry{commit_index_, entry.term, id, entry.data});
    }
}

void Raft::on_message(NodeId from, const InstallSnapshot& request) {
    InstallSnapshotResponse response{hard_state_.term, request.round, request.last_included_index, 0,
                                     recovery_id_};
    if (request.term < hard_state_.term) return send(from, response);
    if (request.term == hard_state_.term && role_ == Role::Leader) return;
    follow_leader(request.term, from);
    response.term = hard_state_.term;
    response.next_offset = request.total_size;
    if (request.last_included_index <= commit_index_) {
        incoming_snapshot_.reset();
        return send_after_writes(from, response);
    }
    bool continues = incoming_snapshot_ && incoming_snapshot_->total_size == request.total_size &&
                     incoming_snapshot_->snapshot.last_included_index == request.last_included_index &&
                     incoming_snapshot_->snapshot.last_included_term == request.last_included_term;
    if (!continues) {
        Snapshot empty{request.last_included_index, request.last_included_term, request.members, {}};
        incoming_snapshot_ = IncomingSnapshot{std::move(empty), request.total_size};
    }
    std::string& state = incoming_snapshot_->snapshot.state;
    if (request.offset == state.size()) state += request.data;
    if (state.size() < request.total_size) {
        response.next_offset = state.size();
        return send(from, response);
    }
    install_snapshot();
    send_after_writes(from, response);
}

/// Entries that were acknowledged and don't conflict stay stored until the snapshot is durable too.
void Raft::install_snapshot() {
    Snapshot& snapshot = incoming_snapshot_->snapshot;
    std::uint64_t index = snapshot.last_included_index;
    std::optional<std::uint64_t> term_here = log_.term_at(index);
    if (term_here != snapshot.last_included_term) {
        if (term_here) truncate_log(index);
        writes_.limit_durable_index(index - 1);
    }
    log_.install(std::move(snapshot));
    incoming_snapshot_.reset();
    writes_.collecting().snapshot = *log_.snapshot();
    commit_index_ = index;
    actions_->emplace_back(RestoreSnapshot{*log_.snapshot()});
}

}  // namespace ochrehub::raft
