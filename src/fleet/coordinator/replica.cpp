#include "fleet/coordinator/replica.h"

#include <coordinator.pb.h>

#include <algorithm>
#include <utility>

namespace ochrehub::coordinator {
namespace {

/// A timer that fires this much late means that the process was paused; no client could renew meanwhile.
constexpr Duration kPauseThreshold{250};
/// Of an entry in the log, beside its data.
constexpr std::size_t kEntryOverheadBytes = 32;

}  // namespace

Replica::Replica(const ReplicaSettings& settings, StateMachineFactory make_state_machines,
                 RaftHandler raft_handler, const raft::PersistentState& disk)
    : settings_(settings),
      raft_handler_(std::move(raft_handler)),
      state_(settings.limits, std::move(make_state_machines)),
      members_(disk.snapshot ? disk.snapshot->members : disk.initial_members),
      trusted_(disk.trusted) {}

void Replica::handle(TimePoint now, const ReplicaEvent& event, ReplicaActions& actions) {
    now_ = now;
    actions_ = &actions;
    if (stopped_) {
        actions.push_back(Stop{Error::UnknownEntry, "the snapshot"});
        return;
    }
    const bool was_paused = timer_ != TimePoint::max() && now - timer_ > kPauseThreshold;
    if (is_leader() && was_paused) {
        session_deadlines_.postpone_all(now - timer_);
        timeout_deadlines_.postpone_all(now - timer_);
    }
    std::visit([this](const auto& each) { handle_event(each); }, event);
    run_raft();
    if (!stopped_ && is_leader()) {
        if (timeout_scan_due_ && now_ >= next_timeout_scan_) scan_timeouts();
        expire_sessions();
        expire_timeouts();
    }
    if (!stopped_) take_snapshot_if_due();
    run_raft();
    set_timer();
    actions_ = nullptr;
}

void Replica::handle_event(const TimerFired&) {
    if (now_ >= raft_timer_) raft_timer_ = TimePoint::max();
    raft_events_.emplace_back(raft::TimerFired{});
}

void Replica::handle_event(const RaftMessageReceived& event) {
    raft_events_.emplace_back(raft::MessageReceived{event.from, event.message});
}

void Replica::handle_event(const WriteCompleted& event) {
    raft_events_.emplace_back(raft::WriteCompleted{event.number});
}

/// Finishes the actions of each event before the next event, so that writes keep their order.
void Replica::run_raft() {
    while (!raft_events_.empty() && !stopped_) {
        const raft::Event event = std::move(raft_events_.front());
        raft_events_.pop_front();
        raft::Actions actions;
        raft_handler_(now_, event, actions);
        for (raft::Action& action : actions) {
            if (stopped_) return;
            std::visit([this](auto& each) { handle_raft(each); }, action);
        }
        if (const auto* change = std::get_if<raft::ChangeMembership>(&event))
            confirm_membership_change(change->id);
    }
}

void Replica::handle_raft(raft::SendMessage& send) {
    actions_->push_back(std::move(send));
}

void Replica::handle_raft(raft::Write& write) {
    trusted_ |= write.recovered;
    actions_->push_back(std::move(write));
}

void Replica::handle_raft(raft::ApplyEntry& entry) {
    applied_ = entry.index;
    bytes_since_snapshot_ += entry.data.size() + kEntryOverheadBytes;
    const Outcome outcome = state_.apply(entry.data);
    if (outcome.is_fatal) return stop(outcome.error, "entry " + std::to_string(entry.index));
    if (is_leader() && !timeout_scan_due_) {
        timeout_scan_due_ = true;
        next_timeout_scan_ = std::max(now_, next_timeout_scan_);
    }
    if (outcome.session != 0 && is_leader() && !session_deadlines_.find(outcome.session))
        start_lease(outcome.session);
    if (entry.id == 0) return;
    if (auto pending = take_pending(entry.id)) complete(*pending, outcome);
}

void Replica::handle_raft(raft::RestoreSnapshot& restore) {
    if (!state_.restore(restore.snapshot.state)) return stop(Error::UnknownEntry, "a snapshot");
    applied_ = restore.snapshot.last_included_index;
    snapshot_index_ = restore.snapshot.last_included_index;
    snapshot_size_ = restore.snapshot.state.size();
    bytes_since_snapshot_ = 0;
}

/// All entries up to the read index are applied: Raft reports them first.
void Replica::handle_raft(raft::ReadReady& ready) {
    if (auto pending = take_pending(ready.id)) complete_read(*pending);
}

void Replica::handle_raft(raft::RoleChanged& became) {
    const bool is_elected = became.role == raft::Role::Leader && (!is_leader() || became.term != term_);
    const bool steps_down = is_leader() && became.role != raft::Role::Leader;
    role_ = became.role;
    term_ = became.term;
    leader_ = became.leader;
    if (is_elected) restart_deadlines();
    if (steps_down) clear_deadlines();
    actions_->push_back(became);
}

void Replica::handle_raft(raft::MembershipChanged& members) {
    members_ = members.members;
    actions_->push_back(std::move(members));
}

void Replica::handle_raft(raft::SetTimer& wake) {
    raft_timer_ = wake.at;
}

void Replica::stop(Error error, std::string about) {
    stopped_ = true;
    actions_->push_back(Stop{error, std::move(about)});
}

void Replica::take_snapshot_if_due() {
    const bool few_entries = applied_ - snapshot_index_ < settings_.snapshot_entries;
    const bool few_bytes = bytes_since_snapshot_ < std::max(settings_.snapshot_bytes, snapshot_size_);
    if (few_entries && few_bytes) return;
    std::string state = state_.snapshot();
    snapshot_size_ = state.size();
    bytes_since_snapshot_ = 0;
    snapshot_index_ = applied_;
    ++snapshots_;
    raft_events_.emplace_back(raft::SnapshotTaken{applied_, std::move(state)});
}

void Replica::set_timer() {
    TimePoint at = raft_timer_;
    if (is_leader()) {
        at = std::min({at, session_deadlines_.next_at(), timeout_deadlines_.next_at()});
        if (timeout_scan_due_) at = std::min(at, next_timeout_scan_);
    }
    if (at == timer_ && now_ < timer_) return;
    timer_ = at;
    if (at != TimePoint::max()) actions_->push_back(raft::SetTimer{at});
}

}  // namespace ochrehub::coordinator
