// What a leader does: entries and snapshots to others, what is agreed on, reads, members, doubts, handing
// over.
#include <algorithm>
#include <limits>

#include "fleet/raft/raft.h"

namespace ochrehub::raft {

template <class T, class F>
T Raft::reached(T own, T none, F&& of) const {
    std::vector<T> values;
    for (const Member& member : log_.members()) {
        if (!member.voter) continue;
        if (member.id == set_.self) {
            values.push_back(own);
            continue;
        }
        auto peer = peers_.find(member.id);
        values.push_back(peer == peers_.end() || peer->second.doubt != 0 ? none : of(peer->second));
    }
    if (values.empty()) return none;
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[values.size() / 2];
}

TimePoint Raft::majority_heard() const {
    return reached(now_, led_since_, [](const Peer& peer) { return peer.heard; });
}

std::uint64_t Raft::append(Entry entry) {
    log_.append(entry);
    write_.append.push_back(std::move(entry));
    return log_.last();
}

// ---- What is asked of it

void Raft::on(const Propose& event) {
    if (role_ != Role::Leader) return reject(event.id, Error::NotLeader);
    if (transfer_to_ != 0 || proposals_.size() >= set_.max_pending_requests)
        return reject(event.id, Error::Busy);
    proposals_.emplace_back(append({vote_.term, Entry::Kind::Data, event.data}), event.id);
}

void Raft::on(const ReadIndex& event) {
    if (role_ != Role::Leader) return reject(event.id, Error::NotLeader);
    if (reads_.size() + early_reads_.size() >= set_.max_pending_requests)
        return reject(event.id, Error::Busy);
    if (committed_ < began_)
        early_reads_.push_back(event.id);
    else
        reads_.push_back({event.id, committed_, round_ + 1});
}

void Raft::on(const ChangeMembership& event) {
    if (role_ != Role::Leader) return reject(event.id, Error::NotLeader);
    if (transfer_to_ != 0) return reject(event.id, Error::Busy);
    if (committed_ < began_ || log_.membership_index() > committed_)
        return reject(event.id, Error::MembershipChanging);
    Members members = log_.members();
    auto place = std::lower_bound(members.begin(), members.end(), event.member,
                                  [](const Member& m, NodeId id) { return m.id < id; });
    bool there = place != members.end() && place->id == event.member;
    if (event.member == 0 || there == event.add) return reject(event.id, Error::UnknownMember);
    bool learns = std::any_of(members.begin(), members.end(),
                              [&](const Member& m) { return !m.voter && m.id != event.member; });
    if (learns) return reject(event.id, Error::MembershipChanging);
    if (event.add) {
        members.insert(place, {event.member, false, event.address});
    } else {
        if (place->voter &&
            std::count_if(members.begin(), members.end(), [](const Member& m) { return m.voter; }) == 1)
            return reject(event.id, Error::LastVoter);
        members.erase(place);
    }
    append({vote_.term, Entry::Kind::Configuration, encode(members)});
}

void Raft::on(const TransferLeadership& event) {
    if (role_ != Role::Leader || transfer_to_ != 0) return;
    NodeId to = 0;
    std::uint64_t most = 0;
    for (const auto& [id, peer] : peers_) {
        if (!voter(id) || peer.doubt != 0 || (event.to != 0 && id != event.to)) continue;
        if (to == 0 || peer.match > most) to = id, most = peer.match;
    }
    if (to == 0) return;
    transfer_to_ = to;
    transfer_until_ = now_ + set_.election_timeout;
    transfer_told_ = false;
}

// ---- What comes of each event

void Raft::lead_on() {
    advance();
    if (!voter(set_.self) && log_.membership_index() <= committed_) {  // it has taken itself out
        beat();
        return follow(vote_.term, 0);
    }
    meet_members();
    answer_reads();
    settle_doubts();
    promote();
    hand_over();
    for (auto& [id, peer] : peers_) pump(id, peer);
}

void Raft::advance() {
    std::uint64_t index = reached<std::uint64_t>(durable_, 0, [](const Peer& peer) { return peer.match; });
    // An entry of an older term is agreed on with one of this term above it, never by counting alone.
    if (index > committed_ && log_.term(index) == vote_.term) commit(index);
}

void Raft::meet_members() {
    for (const Member& member : log_.members()) {
        if (member.id == set_.self || peers_.contains(member.id)) continue;
        Peer& peer = peers_[member.id];
        peer.next = log_.last() + 1;
        peer.heard = now_;
    }
    if (log_.membership_index() > committed_) return;
    for (auto it = peers_.begin(); it != peers_.end();) {
        const Members& members = log_.members();
        if (std::any_of(members.begin(), members.end(), [&](const Member& m) { return m.id == it->first; })) {
            ++it;
            continue;
        }
        pump(it->first, it->second);  // so that it may learn that it is out
        if (!it->second.snapshot) send_entries(it->first, it->second, false);
        it = peers_.erase(it);
    }
}

void Raft::answer_reads() {
    if (committed_ < began_) return;
    for (std::uint64_t id : early_reads_) reads_.push_back({id, committed_, round_ + 1});
    early_reads_.clear();
    std::uint64_t confirmed = reached<std::uint64_t>(std::numeric_limits<std::uint64_t>::max(), 0,
                                                     [](const Peer& peer) { return peer.answered; });
    for (; !reads_.empty() && reads_.front().round <= confirmed; reads_.pop_front())
        out_->emplace_back(ReadReady{reads_.front().id, reads_.front().index});
    if (!reads_.empty() && reads_.front().round > beat_round_) beat();
}

void Raft::settle_doubts() {
    for (auto& [id, peer] : peers_) {
        if (peer.doubt == 0 || peer.trusts_round != 0 || committed_ < began_ ||
            peer.match < peer.doubted_index)
            continue;
        // Who might lead in a later term by a vote that was forgotten would have refused this one's rounds.
        // That may be any of the others, so that all must have answered.
        bool all = true;
        for (const Member& member : log_.members()) {
            if (!member.voter || member.id == set_.self || member.id == id) continue;
            const Peer& other = peers_[member.id];
            all = all && other.doubt == 0 && other.answered >= peer.doubted_round;
        }
        if (!all) continue;
        peer.trusts_round = round_ + 1;
        if (!peer.snapshot && peer.next > log_.base()) send_entries(id, peer, false);
    }
}

void Raft::promote() {
    if (committed_ < began_ || log_.membership_index() > committed_ || transfer_to_ != 0) return;
    for (const Member& member : log_.members()) {
        if (member.voter || member.id == set_.self) continue;
        Peer& peer = peers_[member.id];
        if (peer.doubt != 0) continue;
        if (peer.catch_up == 0) peer.catch_up = log_.last(), peer.caught_since = now_;
        if (peer.match < peer.catch_up) continue;
        if (now_ - peer.caught_since >= set_.election_timeout) {  // too far behind still: another round
            peer.catch_up = log_.last(), peer.caught_since = now_;
            if (peer.match < peer.catch_up) continue;
        }
        Members members = log_.members();
        for (Member& m : members)
            if (m.id == member.id) m.voter = true;
        append({vote_.term, Entry::Kind::Configuration, encode(members)});
        return;
    }
}

void Raft::hand_over() {
    if (transfer_to_ == 0) return;
    auto peer = peers_.find(transfer_to_);
    if (now_ >= transfer_until_ || peer == peers_.end() || peer->second.doubt != 0 || !voter(transfer_to_)) {
        transfer_to_ = 0;
    } else if (!transfer_told_ && peer->second.match == log_.last()) {
        transfer_told_ = true;
        send(transfer_to_, TimeoutNow{vote_.term});
    }
}

// ---- To others

void Raft::beat() {
    beat_ = now_ + set_.heartbeat_interval;
    beat_round_ = round_ + 1;
    for (auto& [id, peer] : peers_) {
        if (peer.snapshot)
            send_piece(id, peer);
        else if (peer.next > log_.base())
            send_entries(id, peer, false);
    }
}

void Raft::pump(NodeId to, Peer& peer) {
    if (peer.snapshot) return;
    if (peer.next <= log_.base()) {
        peer.snapshot = log_.snapshot();
        peer.offset = 0;
        return send_piece(to, peer);
    }
    if (peer.probing) {
        if (peer.flying.empty()) {
            send_entries(to, peer, false);
            peer.flying.push_back(round_);
        }
        return;
    }
    while (peer.next <= log_.last() && peer.flying.size() < set_.max_inflight_appends)
        send_entries(to, peer, true);
}

void Raft::send_entries(NodeId to, Peer& peer, bool with_entries) {
    AppendEntries m{vote_.term,
                    peer.next - 1,
                    *log_.term(peer.next - 1),
                    committed_,
                    ++round_,
                    {},
                    peer.trusts_round != 0 ? peer.doubt : 0};
    if (with_entries) {
        std::size_t octets = 0;
        for (; peer.next <= log_.last(); ++peer.next) {
            const Entry& entry = log_.at(peer.next);
            octets += entry.data.size() + 16;
            if (!m.entries.empty() && octets > set_.max_append_bytes) break;
            m.entries.push_back(entry);
        }
        peer.flying.push_back(round_);
    }
    send(to, std::move(m));
}

void Raft::send_piece(NodeId to, Peer& peer) {
    const Snapshot& snapshot = *peer.snapshot;
    peer.pieces = ++round_;
    send(to, InstallSnapshot{vote_.term, round_, snapshot.last_included_index, snapshot.last_included_term,
                             peer.offset, snapshot.state.size(), snapshot.members,
                             snapshot.state.substr(std::size_t(peer.offset), set_.snapshot_chunk_bytes)});
}

Raft::Peer* Raft::answered(NodeId from, std::uint64_t round, std::uint64_t doubt) {
    auto found = peers_.find(from);
    if (found == peers_.end() || round > round_) return nullptr;
    Peer& peer = found->second;
    if (doubt != 0 && doubt != peer.doubt) {
        if (round <= peer.seen) return nullptr;  // an earlier life's, late
        peer.doubt = doubt;
        peer.match = 0;
        peer.doubted_round = round_ + 1;
        peer.doubted_index = log_.last();
        peer.trusts_round = 0;
        peer.snapshot.reset();
    } else if (doubt == 0 && peer.doubt != 0) {
        // What answers a round that was sent after the doubt was heard of comes from the life that had it, or
        // a later one.
        if (round < peer.doubted_round) return nullptr;
        peer.doubt = 0;
        peer.trusts_round = 0;
    }
    peer.seen = std::max(peer.seen, round);
    while (!peer.flying.empty() && peer.flying.front() <= round) peer.flying.pop_front();
    if (peer.doubt == 0) {
        peer.answered = std::max(peer.answered, round);
        peer.heard = now_;
    }
    return &peer;
}

void Raft::take(NodeId from, const AppendEntriesResponse& m) {
    if (m.term > vote_.term) return follow(m.term, 0);
    if (m.term < vote_.term || role_ != Role::Leader || m.index > log_.last() + 1) return;
    Peer* peer = answered(from, m.round, m.doubt);
    if (!peer) return;
    if (m.matches) {
        if (m.index > log_.last()) return;
        peer->match = std::max(peer->match, m.index);
        peer->next = std::max(peer->next, peer->match + 1);
        if (m.round >= peer->since) peer->probing = false;
        if (peer->snapshot && peer->snapshot->last_included_index <= peer->match) peer->snapshot.reset();
    } else if (m.round >= peer->since && !peer->snapshot && m.index > 0) {
        // It names the first of a term that is wrong somewhere; what it has said to match needs no looking at
        // again. But one in doubt may have lost that.
        if (peer->doubt != 0) peer->match = std::min(peer->match, m.index - 1);
        peer->next = std::max(m.index, peer->match + 1);
        peer->probing = true;
        peer->flying.clear();
        peer->since = round_ + 1;
    }
}

void Raft::take(NodeId from, const InstallSnapshotResponse& m) {
    if (m.term > vote_.term) return follow(m.term, 0);
    if (m.term < vote_.term || role_ != Role::Leader) return;
    Peer* peer = answered(from, m.round, m.doubt);
    if (!peer || !peer->snapshot || peer->snapshot->last_included_index != m.index) return;
    if (m.next >= peer->snapshot->state.size()) {
        peer->match = std::max(peer->match, m.index);
        peer->next = peer->match + 1;
        peer->snapshot.reset();
        peer->flying.clear();
        peer->probing = false;
        peer->since = round_ + 1;
    } else if (m.next > peer->offset || m.round == peer->pieces) {
        peer->offset = m.next;
        send_piece(from, *peer);
    }
}

}  // namespace ochrehub::raft
