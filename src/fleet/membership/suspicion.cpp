// Membership: how long a suspect has, what shortens that, and how this member refutes suspicions of itself.
#include <algorithm>
#include <cmath>

#include "fleet/membership/membership.h"
#include "fleet/membership/protocol_constants.h"

namespace ochrehub::membership {

void Membership::start_suspicion(std::uint32_t slot, const Update& update) {
    set_update(slot, update);
    Slot& member = members_[slot];
    suspects_.push_back(slot);
    member.suspected_at = now_;
    member.accuser_count = 0;
    member.final_probes = 0;
    confirm_suspicion(member, update.accuser);
}

Duration Membership::min_suspicion_time() const {
    const double log_members = std::log10(double(live_count_ + 1));
    return settings_.suspicion_multiplier * std::max(1.0, log_members) * settings_.probe_interval;
}

/// A suspect's time falls from max_suspicion_factor times the shortest to the shortest, by the logarithm of
/// its accusers: a lone accuser may be the one that is cut off.
void Membership::confirm_suspicion(Slot& member, std::uint16_t accuser) {
    if (!settings_.lifeguard) {  // plain SWIM: each suspect has the shortest time
        if (member.accuser_count++ == 0) member.dead_at = member.suspected_at + min_suspicion_time();
        return;
    }
    const int max_accusers = std::clamp(int(live_count_) - 1, 1, kMaxConfirmations + 1);
    auto end = member.accusers.begin() + member.accuser_count;
    const bool is_known = std::find(member.accusers.begin(), end, accuser) != end;
    if (is_known || member.accuser_count >= max_accusers || member.final_probes > 0) return;
    member.accusers[std::size_t(member.accuser_count++)] = accuser;
    const Duration shortest = min_suspicion_time();
    const Duration span = shortest * (settings_.max_suspicion_factor - 1);
    const double confirmed =
        max_accusers > 1 ? std::log(double(member.accuser_count)) / std::log(double(max_accusers)) : 1;
    member.dead_at = member.suspected_at + shortest + span * (1 - confirmed);
    member.update.accuser = accuser;
    queue_update(slot_of(member.update.address), false);
}

void Membership::expire_suspicions() {
    for (std::size_t i = 0; i < suspects_.size();) {
        const std::uint32_t slot = suspects_[i];
        if (now_ < members_[slot].dead_at) {
            ++i;
            continue;
        }
        if (settings_.confirm_before_dead && members_[slot].final_probes < kMaxFinalProbes) {
            send_final_probes(slot);
            continue;
        }
        Update update = members_[slot].update;
        update.state = MemberState::Dead;
        update.accuser = 0;
        set_update(slot, update);  // removes it from suspects_
        // To a member that receives nothing all others are dead; others may still receive its gossip.
        if (is_isolated()) members_[slot].found_while_isolated = true;
    }
}

/// Gossip misses a member now and then, also with a refutation: before a suspect is dead it is probed once
/// more, and others are sent the suspicion, to which they respond with a refutation that they know
/// (correct_accusations).
void Membership::send_final_probes(std::uint32_t slot) {
    const Update update = members_[slot].update;
    ++members_[slot].final_probes;
    members_[slot].dead_at = now_ + 2 * settings_.probe_timeout;
    send_ping(update.address, &update);
    for (std::uint32_t other : random_live_members(std::size_t(settings_.indirect_probes), update.address))
        send(members_[other].update.address, make_datagram(DatagramKind::Gossip, 0, {}), &update);
}

void Membership::refute(std::uint32_t incarnation, bool lowers_health) {
    self_.incarnation = incarnation + 1;
    ++counts_.refutations;
    if (lowers_health) adjust_local_health(1);
    queue_self();
}

}  // namespace ochrehub::membership
