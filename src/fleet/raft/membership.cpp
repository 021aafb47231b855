// A leader's changes of the members, one at a time: a new member is a learner until it has caught up.
#include <algorithm>
#include <utility>

#include "fleet/raft/raft.h"

namespace ochrehub::raft {

void Raft::on_event(const ChangeMembership& event) {
    if (role_ != Role::Leader) return reject(event.id, Error::NotLeader);
    if (transfer_target_ != 0) return reject(event.id, Error::Busy);
    bool change_pending = log_.membership_index() > commit_index_;
    if (!has_committed_in_term() || change_pending) return reject(event.id, Error::MembershipChanging);
    Members members = log_.members();
    if (std::optional<Error> error = apply_change(event, members)) return reject(event.id, *error);
    append_entry(Entry::Kind::Configuration, encode(members));
}

/// Nothing: `members` is what the change leads to.
std::optional<Error> Raft::apply_change(const ChangeMembership& event, Members& members) const {
    auto place = std::lower_bound(members.begin(), members.end(), event.member,
                                  [](const Member& member, NodeId id) { return member.id < id; });
    bool is_member = place != members.end() && place->id == event.member;
    if (event.member == 0 || is_member == event.add) return Error::UnknownMember;
    bool another_catches_up = std::any_of(members.begin(), members.end(), [&](const Member& member) {
        return !member.voter && member.id != event.member;
    });
    if (another_catches_up) return Error::MembershipChanging;
    if (event.add) {
        members.insert(place, {event.member, false, event.address});
        return std::nullopt;
    }
    auto voters =
        std::count_if(members.begin(), members.end(), [](const Member& member) { return member.voter; });
    if (place->voter && voters == 1) return Error::LastVoter;
    members.erase(place);
    return std::nullopt;
}

/// Keeps `peers_` in step with the members.
void Raft::track_members() {
    for (const Member& member : log_.members()) {
        if (member.id == settings_.self || peers_.contains(member.id)) continue;
        Progress& peer = peers_[member.id];
        peer.next_index = log_.last_index() + 1;
        peer.last_contact = now_;
    }
    if (log_.membership_index() <= commit_index_) drop_removed_members();
}

void Raft::drop_removed_members() {
    const Members& members = log_.members();
    for (auto it = peers_.begin(); it != peers_.end();) {
        auto& [id, peer] = *it;
        bool remains = std::any_of(members.begin(), members.end(),
                                   [id = id](const Member& member) { return member.id == id; });
        if (remains) {
            ++it;
            continue;
        }
        // The last message notifies it of its removal.
        replicate_to(id, peer);
        if (!peer.snapshot) send_append(id, peer, false);
        it = peers_.erase(it);
    }
}

/// Appends the configuration in which a learner that has caught up is a voter.
void Raft::promote_learner() {
    bool change_pending = log_.membership_index() > commit_index_;
    if (!has_committed_in_term() || change_pending || transfer_target_ != 0) return;
    Members members = log_.members();
    for (Member& member : members) {
        if (member.voter || member.id == settings_.self) continue;
        if (!has_caught_up(peers_.at(member.id))) continue;
        member.voter = true;
        append_entry(Entry::Kind::Configuration, encode(members));
        return;
    }
}

/// Catching up goes in rounds, each to the end of the log at its start. A learner is close enough when a
/// round took less than an election timeout (thesis, 4.2.1).
bool Raft::has_caught_up(Progress& learner) {
    if (learner.recovery_id != 0) return false;
    auto start_round = [&] {
        learner.catch_up_index = log_.last_index();
        learner.catch_up_started = now_;
    };
    if (learner.catch_up_index == 0) start_round();
    if (learner.match_index < learner.catch_up_index) return false;
    if (now_ - learner.catch_up_started < settings_.election_timeout) return true;
    start_round();
    return learner.match_index >= learner.catch_up_index;
}

}  // namespace ochrehub::raft
