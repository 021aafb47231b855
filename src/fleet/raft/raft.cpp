#include "fleet/raft/raft.h"

#include <algorithm>

namespace ochrehub::raft {

const fleet::ErrorRow& row(Error error) {
    static constexpr fleet::ErrorRow kRows[] = {
        {"raft.not-leader", "this keeper does not lead", true,
         "ask the keeper that the answer names; if it names none, wait for an election or look at the "
         "keepers' links"},
        {"raft.busy", "too many proposals wait, or leadership is being handed over", true,
         "ask again later; if it lasts, look at the keepers' disks and links"},
        {"raft.changing", "a change of members is under way, or the leader has just begun", true,
         "wait until it is over, or take the new member out again"},
        {"raft.lost", "leadership was lost before it was known to be agreed on", true,
         "look whether it happened before asking again"},
        {"raft.unknown-member", "there is no such member, or it is one already", false,
         "look at the list of members"},
        {"raft.last-voter", "it is the only member that votes", false, "add another keeper first"},
    };
    return kRows[std::size_t(error)];
}

Raft::Raft(const Settings& settings, const PersistentState& disk, std::uint64_t seed)
    : set_(settings),
      random_(unsigned((seed ^ seed >> 32) * 2654435761u + settings.self * 40503u + 17)),
      log_(disk.initial_members, disk.snapshot, disk.first_index, disk.entries),
      vote_(disk.hard_state) {
    committed_ = log_.base();
    durable_ = log_.last();
    if (!disk.trusted) doubt_ = seed != 0 ? seed : 1;
    // What the log holds was accepted in that term, even if the disk has no vote of it.
    if (log_.last_term() > vote_.term) vote_ = {log_.last_term(), 0};
}

void Raft::begin() {
    begun_ = true;
    draw_patience();
    if (log_.snapshot()) out_->emplace_back(RestoreSnapshot{*log_.snapshot()});
}

void Raft::handle(TimePoint now, const Event& event, Actions& actions) {
    out_ = &actions;
    now_ = std::max(now, now_);
    if (!begun_) now_ = now, begin();
    // The clock comes first: what waited through a pause is answered by whoever leads now.
    if (role_ == Role::Leader && now_ - majority_heard() > set_.election_timeout)
        leave_lead(), follow(vote_.term, 0);
    std::visit([this](const auto& e) { on(e); }, event);
    finish();
    out_ = nullptr;
}

void Raft::on(const TimerFired&) {
    asked_.reset();
    if (role_ == Role::Leader) {
        if (now_ >= beat_) beat();
    } else if (now_ >= patience_) {
        leader_ = 0;
        if (may_campaign())
            campaign(true, false);
        else
            draw_patience();
    }
}

void Raft::on(const MessageReceived& event) {
    if (event.from == 0 || event.from == set_.self) return;
    std::visit([&](const auto& m) { take(event.from, m); }, event.message);
}

void Raft::on(const WriteCompleted& event) {
    if (event.number <= written_ || event.number > issued_) return;
    written_ = event.number;
    while (!writing_.empty() && writing_.front().number <= written_) {
        durable_ = writing_.front().last;
        writing_.pop_front();
    }
    while (!held_.empty() && held_.front().write <= written_) {
        send(held_.front().to, std::move(held_.front().message));
        held_.pop_front();
    }
    if (role_ == Role::Candidate && own_vote_ <= written_) votes_.insert(set_.self), count_votes();
}

void Raft::on(const SnapshotTaken& event) {
    if (event.index > committed_ || event.index <= log_.base() ||
        (log_.snapshot() && event.index <= log_.snapshot()->last_included_index))
        return;
    log_.compact(event.index, event.state, set_.retained_log_bytes);
    write_.snapshot = *log_.snapshot();
}

void Raft::finish() {
    if (role_ == Role::Leader) lead_on();
    if (role_ == Role::Follower && !elects()) role_ = Role::Learner;
    if (role_ == Role::Learner && elects()) role_ = Role::Follower;
    if (writes()) {
        write_.number = ++issued_;
        writing_.push_back({issued_, log_.last()});
        out_->emplace_back(std::exchange(write_, {}));
    }
    if (!said_ || said_->role != role_ || said_->term != vote_.term || said_->leader != leader_) {
        said_ = RoleChanged{role_, vote_.term, leader_};
        out_->emplace_back(*said_);
    }
    if (said_members_ != log_.changes()) {
        said_members_ = log_.changes();
        out_->emplace_back(MembershipChanged{log_.members()});
    }
    TimePoint due = patience_;
    if (role_ == Role::Leader) due = std::min(beat_, majority_heard() + set_.election_timeout + Duration(1));
    if (!asked_ || due < *asked_) {
        asked_ = due;
        out_->emplace_back(SetTimer{due});
    }
}

namespace {

bool voter_of(const Members& members, NodeId id) {
    return std::any_of(members.begin(), members.end(),
                       [&](const Member& m) { return m.id == id && m.voter; });
}

}  // namespace

bool Raft::voter(NodeId id) const {
    return voter_of(log_.members(), id);
}

bool Raft::elects() const {
    if (voter(set_.self)) return true;
    return log_.membership_index() > committed_ &&
           voter_of(log_.members_at(log_.membership_index() - 1), set_.self);
}

void Raft::send_behind(NodeId to, Message message) {
    std::uint64_t behind = last_write();
    if (behind <= written_) return send(to, std::move(message));
    // One that only says more of the same takes the place of the one before: a slow disk makes no queue.
    if (!held_.empty() && std::holds_alternative<AppendEntriesResponse>(message))
        for (Held& held : held_)
            if (held.write == behind && held.to == to &&
                std::holds_alternative<AppendEntriesResponse>(held.message)) {
                if (std::get<AppendEntriesResponse>(held.message).matches ==
                    std::get<AppendEntriesResponse>(message).matches) {
                    AppendEntriesResponse& old = std::get<AppendEntriesResponse>(held.message);
                    const AppendEntriesResponse& now = std::get<AppendEntriesResponse>(message);
                    if (old.matches && now.index < old.index) {
                        old.round = std::max(old.round, now.round);
                        return;
                    }
                    held.message = std::move(message);
                    return;
                }
            }
    held_.push_back({behind, to, std::move(message)});
}

void Raft::cut(std::uint64_t from) {
    log_.cut(from);
    durable_ = std::min(durable_, from - 1);
    for (Issued& issued : writing_) issued.last = std::min(issued.last, from - 1);
    write_.truncate_from = from;
}

}  // namespace ochrehub::raft
