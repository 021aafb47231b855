// Membership: which updates are believed, and how they spread.
#include <algorithm>
#include <cmath>
#include <utility>

#include "fleet/membership/membership.h"
#include "fleet/membership/protocol_constants.h"

namespace ochrehub::membership {

void Membership::apply_update(const Update& update, bool by_itself) {
    if (update.incarnation > kMaxIncarnation) return;
    if (update.address == settings_.self) return apply_update_of_self(update);
    const std::uint32_t slot = slot_of(update.address);
    if (slot == kNoSlot) return apply_update_of_unknown(update);
    Slot& member = members_[slot];
    const bool is_same_incarnation = update.incarnation == member.update.incarnation;
    if (is_same_incarnation && update.state == MemberState::Suspect &&
        member.update.state == MemberState::Suspect)
        return confirm_suspicion(member, update.accuser);
    // What a member reports of itself counts without a new incarnation: a restarted process may differ.
    if (by_itself && is_same_incarnation && update.state == member.update.state) {
        member.update.role = update.role;
        member.update.zone = update.zone;
        member.update.plan_version = update.plan_version;
        member.update.self_report = update.self_report;
        return;
    }
    if (!supersedes(update, member.update)) return;
    const bool is_accused =
        member.update.state == MemberState::Suspect || member.update.state == MemberState::Dead;
    if (is_accused && update.state == MemberState::Alive && (update.self_report & kReportsDeaf) != 0)
        return apply_deaf_report(slot, update);
    if (update.state == MemberState::Suspect)
        start_suspicion(slot, update);
    else
        set_update(slot, update);
}

/// A dead member that was unknown needs no entry.
void Membership::apply_update_of_unknown(const Update& update) {
    if (!is_live(update.state)) return;
    const std::uint32_t slot = add(update);
    if (slot != kNoSlot && update.state == MemberState::Suspect) start_suspicion(slot, update);
}

/// A member that receives nothing has not learnt what it is accused of: its report refutes nothing.
void Membership::apply_deaf_report(std::uint32_t slot, const Update& update) {
    Slot& member = members_[slot];
    const bool is_changed = member.update.self_report != update.self_report;
    member.update.incarnation = update.incarnation;
    member.update.self_report = update.self_report;
    queue_update(slot, false);
    if (is_changed) actions_->push_back(MemberChanged{member.update, member.update.state});
}

void Membership::apply_update_of_self(const Update& update) {
    if (is_leaving()) return;
    if (update.state == MemberState::Alive) {
        // Of an earlier process at this address.
        if (update.incarnation > self_.incarnation) refute(update.incarnation, false);
    } else if (update.incarnation >= self_.incarnation) {
        refute(update.incarnation, update.state != MemberState::Left);
    }
}

void Membership::set_update(std::uint32_t slot, const Update& update) {
    Slot& member = members_[slot];
    const MemberState previous = member.update.state;
    const bool is_report_changed = member.update.self_report != update.self_report;
    if (previous == MemberState::Suspect) std::erase(suspects_, slot);
    live_count_ += std::size_t(is_live(update.state)) - std::size_t(is_live(previous));
    member.update = update;
    member.found_while_isolated = false;
    queue_update(slot, !is_live(update.state) || !is_live(previous));
    if (previous == update.state && !is_report_changed) return;
    if (previous != update.state) member.state_since = now_;
    actions_->push_back(MemberChanged{update, previous});
    if (!is_live(previous) && is_live(update.state)) reconnect_soon();
}

/// The sender of an accusation that is refuted has missed the refutation: gossip reaches nearly all members.
void Membership::correct_accusations(const Datagram& d) {
    Datagram response = make_datagram(DatagramKind::Gossip, 0, {});
    for (const Update& update : d.updates) {
        if (update.state != MemberState::Suspect && update.state != MemberState::Dead) continue;
        const Member* member = find(update.address);
        if (member && is_live(member->update.state) && member->update.incarnation > update.incarnation)
            response.updates.push_back(member->update);
    }
    if (response.updates.empty() || is_isolated()) return;
    ++counts_.sent;
    actions_->push_back(SendDatagram{d.from.address, std::move(response)});
}

void Membership::queue_update(std::uint32_t slot, bool urgent) {
    Slot& member = members_[slot];
    member.transmissions = 0;
    if (!std::exchange(member.queued, true)) queued_updates_.push_back(slot);
    urgent_count_ += int(urgent) - int(std::exchange(member.urgent, urgent));
    if (urgent && next_gossip_ == TimePoint::max())
        next_gossip_ = now_ + uniform() * settings_.probe_interval / kGossipRoundsPerInterval;
}

void Membership::queue_self() {
    self_queued_ = true;
    refuting_ = true;
    self_transmissions_ = 0;
    next_gossip_ = std::min(next_gossip_, now_);
}

int Membership::max_transmissions() const {
    return std::max(kMinTransmissions,
                    int(std::ceil(kTransmissionFactor * std::log10(double(live_count_ + 2)))));
}

void Membership::send_gossip() {
    const bool has_urgent = urgent_count_ != 0 || (self_queued_ && refuting_);
    if (!is_leaving() && !has_urgent) {
        next_gossip_ = TimePoint::max();
        return;
    }
    next_gossip_ = now_ + settings_.probe_interval / kGossipRoundsPerInterval;
    for (std::uint32_t slot : random_live_members(is_leaving() ? kLeaveFanout : kGossipFanout, {}))
        send(members_[slot].update.address, make_datagram(DatagramKind::Gossip, 0, {}));
    if (!is_leaving() || --leave_rounds_left_ > 0) return;
    ended_ = true;
    actions_->push_back(LeaveCompleted{});
}

Datagram Membership::make_datagram(DatagramKind kind, std::uint32_t sequence,
                                   const MemberAddress& about) const {
    Datagram d;
    d.kind = kind;
    d.sequence = sequence;
    d.from = self_;
    d.instance = settings_.instance;
    d.name = settings_.name;
    d.zone = settings_.zone_name;
    d.plan = plan_;
    d.about = about;
    return d;
}

void Membership::send_ping(const MemberAddress& to, const Update* first) {
    send(to, make_datagram(DatagramKind::Ping, ++sequence_, to), first);
}

void Membership::send(const MemberAddress& to, Datagram datagram, const Update* first) {
    if (first) datagram.updates.push_back(*first);
    std::size_t capacity = kMaxUpdates - datagram.updates.size();
    if (self_queued_ && capacity > 0) {
        datagram.updates.push_back(self_);
        --capacity;
        if (++self_transmissions_ >= max_transmissions() && !is_leaving()) self_queued_ = false;
    }
    // An isolated member's findings may be due to its own fault.
    if (is_isolated()) capacity = 0;
    add_queued_updates(datagram, capacity);
    drop_transmitted_updates();
    ++counts_.sent;
    actions_->push_back(SendDatagram{to, std::move(datagram)});
}

void Membership::add_queued_updates(Datagram& datagram, std::size_t capacity) {
    if (queued_updates_.size() > capacity) {  // the least transmitted first
        std::nth_element(queued_updates_.begin(), queued_updates_.begin() + std::ptrdiff_t(capacity),
                         queued_updates_.end(), [this](std::uint32_t a, std::uint32_t b) {
                             const int of_a = members_[a].transmissions;
                             const int of_b = members_[b].transmissions;
                             return of_a != of_b ? of_a < of_b : a < b;
                         });
    }
    const std::size_t count = std::min(capacity, queued_updates_.size());
    for (std::size_t i = 0; i < count; ++i) {
        Slot& member = members_[queued_updates_[i]];
        if (member.found_while_isolated) {
            member.transmissions = max_transmissions();
            continue;
        }
        datagram.updates.push_back(member.update);
        ++member.transmissions;
    }
}

void Membership::drop_transmitted_updates() {
    std::erase_if(queued_updates_, [this, limit = max_transmissions()](std::uint32_t slot) {
        Slot& member = members_[slot];
        if (member.transmissions < limit) return false;
        member.queued = false;
        urgent_count_ -= int(std::exchange(member.urgent, false));
        return true;
    });
}

}  // namespace ochrehub::membership
