// Membership: whether this member is cut off. It finds that alone, from responses to its own datagrams:
// others cannot notify it if it does not receive them.
#include <algorithm>

#include "fleet/membership/membership.h"
#include "fleet/membership/protocol_constants.h"

namespace ochrehub::membership {

/// There is a member, or a seed, that should respond.
bool Membership::expects_responses() const {
    if (index_.empty()) return !settings_.seeds.empty();
    return std::any_of(index_.begin(), index_.end(), [this](const auto& entry) {
        return members_[entry.second].update.state != MemberState::Left;
    });
}

void Membership::on_response() {
    last_response_at_ = now_;
    next_isolation_probe_ = TimePoint::max();
    if (!is_isolated()) return;
    set_self_report(self_.self_report & std::uint8_t(~kReportsIsolated));
    // Suspects of that time have done nothing: their time starts again.
    for (std::uint32_t slot : suspects_) {
        Slot& member = members_[slot];
        member.suspected_at = now_;
        member.accuser_count = 0;
        member.final_probes = 0;
        confirm_suspicion(member, settings_.self.short_hash());
    }
    reconnect_soon();
}

void Membership::check_isolation() {
    const Duration probe_after = kIsolationProbeFraction * settings_.isolated_after;
    const std::uint8_t report = now_ - last_received_at_ >= probe_after ? kReportsDeaf : kReportsUnheard;
    const auto with_stall = std::uint8_t((self_.self_report & kReportsStalled) | report);
    // The last datagram may have come long after the last response: which of the two it is shows later.
    if (is_isolated()) return set_self_report(with_stall);
    // The same terms as in next_timer(): a difference that rounds the other way would set timers for now
    // without end.
    if (now_ < last_response_at_ + kIsolationProbeFraction * settings_.isolated_after) return;
    if (!expects_responses()) {
        last_response_at_ = now_;
        return;
    }
    if (now_ >= last_response_at_ + settings_.isolated_after) {
        ++counts_.isolated;
        next_isolation_probe_ = TimePoint::max();
        set_self_report(with_stall);
        next_reconnect_ = std::min(next_reconnect_, now_ + 2 * settings_.probe_interval);
    } else if (next_isolation_probe_ == TimePoint::max() || now_ >= next_isolation_probe_) {
        next_isolation_probe_ = now_ + settings_.probe_interval;
        for (std::uint32_t slot : random_live_members(kIsolationProbeFanout, {}))
            send_ping(members_[slot].update.address);
    }
}

void Membership::set_self_report(std::uint8_t report) {
    if (self_.self_report == report) return;
    self_.self_report = report;
    ++self_.incarnation;
    queue_self();
    actions_->push_back(SelfUpdate{report});
}

}  // namespace ochrehub::membership
