// What a follower takes from its leader: entries, and snapshots in pieces.
#include <algorithm>

#include "fleet/raft/raft.h"

namespace ochrehub::raft {

void Raft::obey(std::uint64_t term, NodeId leader) {
    follow(term, leader);
    heard_ = now_;
    draw_patience();
}

void Raft::take(NodeId from, const AppendEntries& m) {
    if (m.term < vote_.term) return send(from, AppendEntriesResponse{vote_.term, m.round, false, 0, doubt_});
    if (m.term == vote_.term && role_ == Role::Leader) return;
    obey(m.term, from);

    if (m.previous_index >= log_.base() && log_.term(m.previous_index) != m.previous_term) {
        std::uint64_t below = std::min(log_.last() + 1, m.previous_index);
        if (m.previous_index <= log_.last())  // all of the other term may be wrong
            for (std::uint64_t wrong = *log_.term(below);
                 below > committed_ + 1 && log_.term(below - 1) == wrong;)
                --below;
        return send_behind(from, AppendEntriesResponse{vote_.term, m.round, false, below, doubt_});
    }
    std::uint64_t index = m.previous_index;
    for (const Entry& entry : m.entries) {
        ++index;
        if (index <= log_.base() || log_.term(index) == entry.term) continue;
        if (index <= committed_) return;  // no leader by these rules would say so
        if (index <= log_.last()) cut(index);
        log_.append(entry);
        write_.append.push_back(entry);
    }
    if (m.trusts != 0 && m.trusts == doubt_) {
        doubt_ = 0;
        write_.hard_state = vote_;
        write_.recovered = true;
    }
    commit(std::min(m.committed, index));
    send_behind(from, AppendEntriesResponse{vote_.term, m.round, true, index, doubt_});
}

void Raft::commit(std::uint64_t index) {
    for (; committed_ < index;) {
        const Entry& entry = log_.at(++committed_);
        std::uint64_t id = 0;
        if (!proposals_.empty() && proposals_.front().first == committed_) {
            id = proposals_.front().second;
            proposals_.pop_front();
        }
        if (entry.kind == Entry::Kind::Data)
            out_->emplace_back(ApplyEntry{committed_, entry.term, id, entry.data});
    }
}

void Raft::take(NodeId from, const InstallSnapshot& m) {
    if (m.term < vote_.term)
        return send(from, InstallSnapshotResponse{vote_.term, m.round, m.index, 0, doubt_});
    if (m.term == vote_.term && role_ == Role::Leader) return;
    obey(m.term, from);
    if (m.index <= committed_) {
        pieces_.reset();
        return send_behind(from, InstallSnapshotResponse{vote_.term, m.round, m.index, m.size, doubt_});
    }
    if (!pieces_ || pieces_->last_included_index != m.index || pieces_->last_included_term != m.index_term ||
        pieces_size_ != m.size) {
        pieces_ = Snapshot{m.index, m.index_term, m.members, {}};
        pieces_size_ = m.size;
    }
    if (m.offset == pieces_->state.size()) pieces_->state += m.octets;
    if (pieces_->state.size() < pieces_size_)
        return send(from,
                    InstallSnapshotResponse{vote_.term, m.round, m.index, pieces_->state.size(), doubt_});

    // Entries that are promised and not in conflict stay on the disk until the snapshot is there too.
    auto here = log_.term(m.index);
    if (here && here != m.index_term) cut(m.index);
    if (here != m.index_term) {
        durable_ = std::min(durable_, m.index - 1);
        for (Issued& issued : writing_) issued.last = std::min(issued.last, m.index - 1);
    }
    log_.reset(std::move(*pieces_));
    pieces_.reset();
    write_.snapshot = *log_.snapshot();
    committed_ = m.index;
    out_->emplace_back(RestoreSnapshot{*log_.snapshot()});
    send_behind(from, InstallSnapshotResponse{vote_.term, m.round, m.index, m.size, doubt_});
}

}  // namespace ochrehub::raft
