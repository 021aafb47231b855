#include "fleet/membership/membership.h"

#include <algorithm>
#include <utility>

#include "base/slots.h"
#include "fleet/membership/protocol_constants.h"

namespace ochrehub::membership {

Membership::Membership(const Settings& settings, std::uint64_t seed) : settings_(settings) {
    random_.seed(std::uint32_t(seed * 0x9E3779B97F4A7C15ull >> 32) | 16);
    self_.address = settings_.self;
    self_.role = settings_.role;
    self_.zone = settings_.zone;
    self_.plan_version = settings_.plan_version;
    // A response to an earlier process at this address must not match a request of this one.
    sequence_ = settings_.instance;
}

void Membership::handle(TimePoint now, const Event& event, Actions& actions) {
    if (ended_) return;
    now_ = now;
    actions_ = &actions;
    if (timer_at_ && now - *timer_at_ > settings_.probe_timeout) skip_lost_time();
    std::visit([this](const auto& alternative) { on(alternative); }, event);
    if (ended_) return;
    // Never before now: time that was counted as lost once is not to be counted again with each datagram that
    // waited too.
    const TimePoint next = std::max(next_timer(), now_);
    if (timer_at_ == next || (timer_at_ && *timer_at_ <= now_ && next == now_)) return;
    timer_at_ = next;
    actions.push_back(SetTimer{next});
}

/// This process was paused: what it did not receive in that time says nothing of others.
void Membership::skip_lost_time() {
    const Duration lost = now_ - *timer_at_;
    ++counts_.late_timers;
    last_received_at_ += lost;
    last_response_at_ += lost;
    if (settings_.lifeguard) {
        adjust_local_health(1);
        probe_.slot = kNoSlot;
        relays_.clear();
        for (std::uint32_t slot : suspects_) members_[slot].dead_at += lost;
    }
    timer_at_.reset();
}

void Membership::on(const TimerFired& /*event*/) {
    timer_at_.reset();
    if (!started_) start();
    send_due_nacks();
    const bool is_probing = probe_.slot != kNoSlot && !probe_.acked;
    if (is_probing && !probe_.indirect_sent && now_ >= probe_.indirect_at) send_indirect_probes();
    if (now_ >= next_probe_ && !is_leaving()) {
        finish_probe();
        next_probe_ = now_ + settings_.probe_interval * (1 + local_health_score_);
        start_probe();
    }
    expire_suspicions();
    if (!is_leaving()) check_isolation();
    if (now_ >= next_gossip_) send_gossip();
    if (now_ >= next_reconnect_ && !is_leaving()) reconnect();
    if (now_ >= next_list_request_) request_list_from_random_member();
    if (now_ >= list_deadline_) retry_member_list();
}

void Membership::start() {
    started_ = true;
    next_probe_ = now_ + uniform() * settings_.probe_interval;
    next_gossip_ = now_;
    next_reconnect_ = now_ + (0.5 + uniform()) * kReconnectInterval;
    last_received_at_ = now_;
    last_response_at_ = now_;
    list_backoff_ = kInitialListBackoff;
    if (settings_.seeds.empty()) return;
    seed_index_ = random_below(std::uint32_t(settings_.seeds.size()));
    request_member_list(settings_.seeds[seed_index_], {});
}

TimePoint Membership::next_timer() const {
    TimePoint next = is_leaving() ? TimePoint::max() : std::min(next_probe_, next_reconnect_);
    next = std::min({next, next_gossip_, list_deadline_, next_list_request_});
    if (!is_leaving() && !is_isolated())
        next = std::min({next, last_response_at_ + settings_.isolated_after,
                         std::max(next_isolation_probe_,
                                  last_response_at_ + kIsolationProbeFraction * settings_.isolated_after)});
    if (probe_.slot != kNoSlot && !probe_.acked && !probe_.indirect_sent)
        next = std::min(next, probe_.indirect_at);
    for (std::uint32_t slot : suspects_) next = std::min(next, members_[slot].dead_at);
    for (const Relay& relay : relays_)
        next = std::min(next, relay.nack_sent ? relay.expires_at : relay.nack_at);
    return next;
}

void Membership::on(const DatagramReceived& event) {
    if (started_) on_datagram(event.datagram);
}

void Membership::on(const StallReported& event) {
    const std::uint8_t stalled = event.stalled ? kReportsStalled : 0;
    set_self_report(std::uint8_t((self_.self_report & kReportsIsolated) | stalled));
}

void Membership::on(const Leave& /*event*/) {
    if (is_leaving()) return;
    leave_rounds_left_ = kLeaveRounds;
    self_.state = MemberState::Left;
    self_queued_ = true;
    self_transmissions_ = 0;
    probe_.slot = kNoSlot;
    next_gossip_ = now_;
}

const Membership::Member* Membership::find(const MemberAddress& address) const {
    const std::uint32_t slot = slot_of(address);
    return slot == kNoSlot ? nullptr : &members_[slot];
}

std::uint32_t Membership::slot_of(const MemberAddress& address) const {
    auto it = index_.find(address);
    return it == index_.end() ? kNoSlot : it->second;
}

std::uint32_t Membership::add(const Update& update) {
    if (index_.size() >= settings_.max_members) {
        ++counts_.rejected_table_full;
        return kNoSlot;
    }
    const std::uint32_t slot = take_slot(members_, free_slots_);
    members_[slot] = Slot{};
    members_[slot].update = update;
    members_[slot].update.state = MemberState::Alive;
    members_[slot].state_since = now_;
    index_.emplace(update.address, slot);
    ++live_count_;
    const std::uint32_t position = random_below(std::uint32_t(probe_order_.size()) + 1);
    probe_order_.insert(probe_order_.begin() + position, slot);
    if (position < probe_position_) ++probe_position_;
    // What a member list holds spreads by lists: to gossip all of it is slow where many join at once.
    if (!applying_list_) queue_update(slot, true);
    ++list_new_members_;
    actions_->push_back(MemberChanged{members_[slot].update, std::nullopt});
    return slot;
}

void Membership::drop(std::uint32_t slot) {
    Slot& member = members_[slot];
    index_.erase(member.update.address);
    auto position = std::find(probe_order_.begin(), probe_order_.end(), slot);
    if (std::size_t(position - probe_order_.begin()) < probe_position_) --probe_position_;
    probe_order_.erase(position);
    if (member.queued) std::erase(queued_updates_, slot);
    urgent_count_ -= int(member.urgent);
    member = Slot{};
    free_slots_.push_back(slot);
}

std::vector<std::uint32_t> Membership::random_live_members(std::size_t count, const MemberAddress& except) {
    std::vector<std::uint32_t> chosen;
    if (probe_order_.empty()) return chosen;
    auto is_candidate = [&](std::uint32_t slot) {
        const Update& update = members_[slot].update;
        return is_live(update.state) && update.address != except &&
               std::find(chosen.begin(), chosen.end(), slot) == chosen.end();
    };
    for (std::size_t attempts = 4 * count; attempts > 0 && chosen.size() < count; --attempts) {
        const std::uint32_t slot = probe_order_[random_below(std::uint32_t(probe_order_.size()))];
        if (is_candidate(slot)) chosen.push_back(slot);
    }
    // Where most members are dead, or there are few, random draws miss.
    for (std::size_t i = 0; i < probe_order_.size() && chosen.size() < count; ++i)
        if (is_candidate(probe_order_[i])) chosen.push_back(probe_order_[i]);
    return chosen;
}

std::uint32_t Membership::random_below(std::uint32_t n) {
    return std::uint32_t(std::uint64_t(random_()) * n >> 32);
}

}  // namespace ochrehub::membership
