// Events, and what every event ends with: role, write, notifications, timer.
#include "fleet/raft/raft.h"

#include <algorithm>
#include <utility>

namespace ochrehub::raft {
namespace {

unsigned random_seed(std::uint64_t seed, NodeId self) {
    // Odd multipliers spread neighbouring seeds and ids over the generator's state.
    constexpr std::uint64_t kSeedMultiplier = 2654435761u;
    constexpr std::uint64_t kNodeMultiplier = 40503u;
    constexpr std::uint64_t kOffset = 17;
    return unsigned((seed ^ seed >> 32) * kSeedMultiplier + self * kNodeMultiplier + kOffset);
}

}  // namespace

Raft::Raft(const Settings& settings, const PersistentState& stored, std::uint64_t seed)
    : settings_(settings),
      random_(random_seed(seed, settings.self)),
      log_(stored.initial_members, stored.snapshot, stored.first_index, stored.entries),
      writes_(log_.last_index()),
      hard_state_(stored.hard_state),
      commit_index_(log_.base_index()) {
    if (!stored.trusted) recovery_id_ = seed != 0 ? seed : 1;
    // Entries of a term were accepted in it, even if the vote of that term was never stored.
    if (log_.last_term() > hard_state_.term) hard_state_ = {log_.last_term(), 0};
}

void Raft::start() {
    started_ = true;
    reset_election_timer();
    if (log_.snapshot()) actions_->emplace_back(RestoreSnapshot{*log_.snapshot()});
}

void Raft::handle(TimePoint now, const Event& event, Actions& actions) {
    actions_ = &actions;
    now_ = std::max(now, now_);
    if (!started_) {
        now_ = now;
        start();
    }
    // Check quorum before the event itself: after a pause of this process, what queued up meanwhile must find
    // a leader that has already stepped down.
    bool quorum_lost = role_ == Role::Leader && now_ - quorum_contact_time() > settings_.election_timeout;
    if (quorum_lost) become_follower(hard_state_.term, 0);
    std::visit([this](const auto& alternative) { on_event(alternative); }, event);
    finish_event();
    actions_ = nullptr;
}

void Raft::on_event(const TimerFired&) {
    timer_.reset();
    if (role_ == Role::Leader) {
        if (now_ >= next_heartbeat_) send_heartbeats();
        return;
    }
    if (now_ < election_deadline_) return;
    leader_ = 0;
    if (may_campaign())
        start_pre_vote();
    else
        reset_election_timer();
}

void Raft::on_event(const MessageReceived& event) {
    if (event.from == 0 || event.from == settings_.self) return;
    std::visit([&](const auto& message) { on_message(event.from, message); }, event.message);
}

void Raft::on_event(const WriteCompleted& event) {
    if (!writes_.complete(event.number, *actions_)) return;
    if (role_ != Role::Candidate || own_vote_write_ > writes_.completed()) return;
    votes_.insert(settings_.self);
    count_votes();
}

void Raft::on_event(const SnapshotTaken& event) {
    bool behind_snapshot = log_.snapshot() && event.index <= log_.snapshot()->last_included_index;
    if (event.index > commit_index_ || event.index <= log_.base_index() || behind_snapshot) return;
    log_.compact(event.index, event.state, settings_.retained_log_bytes);
    writes_.collecting().snapshot = *log_.snapshot();
}

void Raft::finish_event() {
    if (role_ == Role::Leader) run_leader();
    if (role_ == Role::Follower && !counts_as_voter()) role_ = Role::Learner;
    if (role_ == Role::Learner && counts_as_voter()) role_ = Role::Follower;
    if (writes_.has_collected()) actions_->emplace_back(writes_.issue(log_.last_index()));
    report_changes();
    set_timer();
}

void Raft::report_changes() {
    RoleChanged current{role_, hard_state_.term, leader_};
    bool role_changed = !reported_role_ || reported_role_->role != current.role ||
                        reported_role_->term != current.term || reported_role_->leader != current.leader;
    if (role_changed) {
        reported_role_ = current;
        actions_->emplace_back(current);
    }
    if (reported_membership_version_ != log_.membership_version()) {
        reported_membership_version_ = log_.membership_version();
        actions_->emplace_back(MembershipChanged{log_.members()});
    }
}

/// A timer that fires too early does no harm, so that only an earlier one replaces it.
void Raft::set_timer() {
    constexpr Duration kPastQuorumTimeout{1};
    TimePoint due = election_deadline_;
    if (role_ == Role::Leader) {
        TimePoint quorum_deadline = quorum_contact_time() + settings_.election_timeout + kPastQuorumTimeout;
        due = std::min(next_heartbeat_, quorum_deadline);
    }
    if (timer_ && due >= *timer_) return;
    timer_ = due;
    actions_->emplace_back(SetTimer{due});
}

bool Raft::is_voter(NodeId id) const {
    const Members& members = log_.members();
    return std::any_of(members.begin(), members.end(),
                       [&](const Member& member) { return member.id == id && member.voter; });
}

void Raft::send(NodeId to, Message message) {
    actions_->emplace_back(SendMessage{to, std::move(message)});
}

void Raft::send_after_writes(NodeId to, Message message) {
    writes_.send_after_writes(to, std::move(message), *actions_);
}

void Raft::reject(std::uint64_t id, Error error) {
    actions_->emplace_back(Rejected{id, error, leader_});
}

void Raft::truncate_log(std::uint64_t from) {
    log_.truncate(from);
    writes_.limit_durable_index(from - 1);
    writes_.collecting().truncate_from = from;
}

/// In [0, 1).
double Raft::random_fraction() {
    return double(random_()) * 0x1p-32;
}

}  // namespace ochrehub::raft
