// Membership: probes, direct and through others, and local health.
#include <algorithm>
#include <utility>

#include "fleet/membership/membership.h"
#include "fleet/membership/protocol_constants.h"

namespace ochrehub::membership {

void Membership::on_datagram(const Datagram& d) {
    if (d.from.address == settings_.self) return;
    ++counts_.received;
    last_received_at_ = now_;
    apply_update(d.from, true);
    record_contact(d);
    const bool is_response =
        d.kind == DatagramKind::Ack || d.kind == DatagramKind::Nack || d.kind == DatagramKind::ListPage;
    if (is_response && sequence_ - d.sequence < kRecentSequences) on_response();
    applying_list_ = d.kind == DatagramKind::ListPage;
    for (const Update& update : d.updates) apply_update(update, false);
    applying_list_ = false;
    switch (d.kind) {
        case DatagramKind::Ping:
            return on_ping(d);
        case DatagramKind::PingRequest:
            return relay_probe(d);
        case DatagramKind::Ack:
            return on_ack(d);
        case DatagramKind::Nack:
            return on_nack(d);
        case DatagramKind::Gossip:
            return correct_accusations(d);
        case DatagramKind::ListRequest:
            return send_member_list_page(d);
        case DatagramKind::ListPage:
            return on_member_list_page(d);
    }
}

void Membership::on_ping(const Datagram& d) {
    if (d.about != settings_.self) {
        ++counts_.misaddressed;
        return;
    }
    // The sender must learn what it may have to refute, or it would come and go.
    const Member* member = find(d.from.address);
    const bool is_believed =
        !member || d.from.state == MemberState::Left ||
        (member->update.state == MemberState::Alive && member->update.incarnation <= d.from.incarnation);
    const Update belief = member ? member->update : Update{};
    send(d.from.address, make_datagram(DatagramKind::Ack, d.sequence, settings_.self),
         is_believed ? nullptr : &belief);
}

bool Membership::is_probe_response(const Datagram& d) const {
    return probe_.slot != kNoSlot && d.sequence == probe_.sequence && d.about == probe_.target;
}

void Membership::on_ack(const Datagram& d) {
    if (is_probe_response(d)) {
        probe_.acked = true;
        return;
    }
    auto relay = std::find_if(relays_.begin(), relays_.end(), [&](const Relay& one) {
        return one.sequence == d.sequence && one.target == d.about && d.from.address == d.about;
    });
    if (relay == relays_.end()) return;
    const Relay done = *relay;
    relays_.erase(relay);
    send(done.requester, make_datagram(DatagramKind::Ack, done.requester_sequence, done.target));
}

void Membership::on_nack(const Datagram& d) {
    if (is_probe_response(d)) probe_.nacks = std::min(probe_.nacks + 1, probe_.expected_nacks);
}

void Membership::shuffle_probe_order() {
    for (std::size_t i = probe_order_.size(); i > 1; --i)
        std::swap(probe_order_[i - 1], probe_order_[random_below(std::uint32_t(i))]);
}

void Membership::start_probe() {
    for (std::size_t tried = 0; tried < probe_order_.size(); ++tried) {
        if (probe_position_ >= probe_order_.size()) {
            probe_position_ = 0;
            shuffle_probe_order();
        }
        const std::uint32_t slot = probe_order_[probe_position_++];
        if (!is_live(members_[slot].update.state)) continue;
        const Update belief = members_[slot].update;
        probe_ = Probe{};
        probe_.slot = slot;
        probe_.target = belief.address;
        probe_.sequence = ++sequence_;
        probe_.indirect_at = now_ + settings_.probe_timeout * (1 + local_health_score_);
        probe_.end = next_probe_;
        ++counts_.probes;
        // A suspect learns of the suspicion with the ping that it may still answer.
        send(probe_.target, make_datagram(DatagramKind::Ping, probe_.sequence, probe_.target),
             belief.state == MemberState::Suspect ? &belief : nullptr);
        return;
    }
}

void Membership::send_indirect_probes() {
    probe_.indirect_sent = true;
    // Directly once more: the first ping or its ack may have been lost.
    send(probe_.target, make_datagram(DatagramKind::Ping, probe_.sequence, probe_.target));
    for (std::uint32_t slot : random_live_members(std::size_t(settings_.indirect_probes), probe_.target)) {
        send(members_[slot].update.address,
             make_datagram(DatagramKind::PingRequest, probe_.sequence, probe_.target));
        ++probe_.expected_nacks;
    }
}

void Membership::finish_probe() {
    const Probe probe = std::exchange(probe_, Probe{});
    if (probe.slot == kNoSlot) return;
    if (probe.acked) return adjust_local_health(-1);
    ++counts_.failed_probes;
    // Helpers that are silent too count against this member, not against the target.
    adjust_local_health(probe.expected_nacks > 0 ? probe.expected_nacks - probe.nacks : 1);
    if (slot_of(probe.target) != probe.slot) return;
    Update update = members_[probe.slot].update;
    update.accuser = settings_.self.short_hash();
    if (update.state == MemberState::Alive) {
        update.state = MemberState::Suspect;
        start_suspicion(probe.slot, update);
        send_ping(probe.target, &update);
    } else if (update.state == MemberState::Suspect) {
        confirm_suspicion(members_[probe.slot], update.accuser);
    }
}

void Membership::relay_probe(const Datagram& d) {
    if (relays_.size() >= kMaxRelays || d.about == settings_.self || !d.about.known()) return;
    Relay relay;
    relay.sequence = ++sequence_;
    relay.requester_sequence = d.sequence;
    relay.requester = d.from.address;
    relay.target = d.about;
    relay.nack_at = now_ + kNackFraction * settings_.probe_timeout;
    relay.expires_at = now_ + 2 * settings_.probe_interval;
    relays_.push_back(relay);
    const Member* member = find(d.about);
    const Update belief = member ? member->update : Update{};
    send(d.about, make_datagram(DatagramKind::Ping, relay.sequence, d.about),
         member && belief.state != MemberState::Alive ? &belief : nullptr);
}

void Membership::send_due_nacks() {
    for (Relay& relay : relays_) {
        if (relay.nack_sent || now_ < relay.nack_at) continue;
        relay.nack_sent = true;
        send(relay.requester, make_datagram(DatagramKind::Nack, relay.requester_sequence, relay.target));
    }
    std::erase_if(relays_, [this](const Relay& relay) { return now_ >= relay.expires_at; });
}

void Membership::adjust_local_health(int by) {
    if (!settings_.lifeguard) return;
    local_health_score_ = std::clamp(local_health_score_ + by, 0, kMaxLocalHealthScore);
}

void Membership::record_contact(const Datagram& d) {
    const std::uint32_t slot = slot_of(d.from.address);
    if (slot == kNoSlot) return;
    Slot& member = members_[slot];
    member.plan = d.plan;
    member.last_received = now_;
    member.name = d.name;
    member.zone_name = d.zone;
    if (std::exchange(member.met, true) && d.instance != member.instance) record_instance(member, d);
    member.instance = d.instance;
}

/// Another process sends from this member's address.
void Membership::record_instance(Slot& member, const Datagram& d) {
    // One that goes back to the previous instance is two processes.
    const bool is_duplicate = d.instance == member.previous_instance && member.restarts > 0;
    const bool is_reported = is_duplicate && member.duplicate_seen_at != TimePoint{} &&
                             now_ - member.duplicate_seen_at < kDuplicateWindow;
    member.previous_instance = member.instance;
    if (is_duplicate) {
        member.duplicate_seen_at = now_;
        ++counts_.duplicates;
    } else {
        ++member.restarts;
    }
    if (!is_reported) actions_->push_back(MemberRestarted{d.from.address, d.instance, is_duplicate});
}

}  // namespace ochrehub::membership
