// What a leader counts: the leases of sessions and the timeouts of state machines. Each starts at its full
// length when the leader is elected; counting too long is safe, counting too short is not.
#include <coordinator.pb.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/coordinator/replica.h"

namespace ochrehub::coordinator {

void Replica::restart_deadlines() {
    session_deadlines_.clear();
    timeout_deadlines_.clear();
    state_.for_each_session([this](const SessionInfo& info) { start_lease(info.id); });
    scan_timeouts();
}

void Replica::clear_deadlines() {
    session_deadlines_.clear();
    timeout_deadlines_.clear();
    timeout_scan_due_ = false;
}

void Replica::start_lease(SessionId id) {
    const SessionInfo* info = state_.session(id);
    if (info && is_leader()) session_deadlines_.set(id, now_ + Duration{double(info->lease_ms)});
}

void Replica::scan_timeouts() {
    timeout_scan_due_ = false;
    next_timeout_scan_ = now_ + settings_.timeout_scan_interval;
    std::set<TimeoutKey> reported;
    std::vector<Timeout> timeouts;
    for (std::size_t i = 0; i < state_.state_machines().size(); ++i) {
        timeouts.clear();
        state_.state_machines()[i]->timeouts(timeouts);
        for (const Timeout& timeout : timeouts) {
            const TimeoutKey key{i, timeout.key};
            reported.insert(key);
            const auto* known = timeout_deadlines_.find(key);
            if (!known || known->revision != timeout.revision)
                timeout_deadlines_.set(key, now_ + timeout.length, timeout.revision);
        }
    }
    timeout_deadlines_.erase_if([&](const TimeoutKey& key) { return !reported.contains(key); });
}

void Replica::expire_sessions() {
    while (session_deadlines_.next_at() <= now_) {
        const SessionId id = session_deadlines_.next_key();
        if (!state_.session(id)) {
            session_deadlines_.erase(id);
            continue;
        }
        session_deadlines_.mark_expiring(id);
        ++sessions_expired_;
        wire::LogEntry entry;
        entry.mutable_session_expired()->set_session(id);
        PendingRequest pending;
        pending.kind = RequestKind::ExpireSession;
        pending.session = id;
        propose(entry, std::move(pending));
    }
}

void Replica::expire_timeouts() {
    while (timeout_deadlines_.next_at() <= now_) {
        const TimeoutKey key = timeout_deadlines_.next_key();
        const std::uint64_t revision = timeout_deadlines_.find(key)->revision;
        timeout_deadlines_.mark_expiring(key);
        wire::LogEntry entry;
        wire::TimeoutExpired& expired = *entry.mutable_timeout_expired();
        expired.set_kind(std::string(state_.state_machines()[key.machine]->kind()));
        expired.set_key(key.key);
        expired.set_revision(revision);
        PendingRequest pending;
        pending.kind = RequestKind::ExpireTimeout;
        pending.timeout = key;
        pending.revision = revision;
        propose(entry, std::move(pending));
    }
}

}  // namespace ochrehub::coordinator
