// Membership: what gossip alone does not repair. A joining member requests the member list, page by page, and
// again after growing intervals; dead members and unseen seeds are pinged, which heals a partition however
// long it was.
#include <algorithm>

#include "fleet/membership/membership.h"
#include "fleet/membership/protocol_constants.h"

namespace ochrehub::membership {

/// Requests the members after the address `after`; the default address: all.
void Membership::request_member_list(const MemberAddress& from, const MemberAddress& after) {
    if (from == settings_.self) return;
    list_request_ = ++sequence_;
    list_source_ = from;
    list_position_ = after;
    if (!after.known()) list_new_members_ = 0;
    list_deadline_ = now_ + 2 * settings_.probe_timeout * (1 + local_health_score_);
    send(from, make_datagram(DatagramKind::ListRequest, list_request_, after));
}

void Membership::request_list_from_random_member() {
    next_list_request_ = TimePoint::max();
    const std::vector<std::uint32_t> chosen = random_live_members(1, {});
    if (!chosen.empty() && list_request_ == 0)
        request_member_list(members_[chosen.front()].update.address, {});
}

/// A page that was lost is requested again; a seed that stays silent gives way to the next. If all do, the
/// reconnects go on.
void Membership::retry_member_list() {
    list_request_ = 0;
    list_deadline_ = TimePoint::max();
    if (++page_attempts_ < kMaxPageAttempts) return request_member_list(list_source_, list_position_);
    page_attempts_ = 0;
    if (++list_attempts_ < kListAttemptsPerSeed * int(settings_.seeds.size())) {
        seed_index_ = (seed_index_ + 1) % settings_.seeds.size();
        request_member_list(settings_.seeds[seed_index_], {});
    } else if (live_count_ > 0) {
        next_list_request_ = now_ + list_backoff_;
    }
}

void Membership::send_member_list_page(const Datagram& request) {
    Datagram page = make_datagram(DatagramKind::ListPage, request.sequence, {});
    for (auto it = index_.upper_bound(request.about); it != index_.end(); ++it) {
        const Update& update = members_[it->second].update;
        if (!is_live(update.state) || update.address == request.from.address) continue;
        if (page.updates.size() == kMaxUpdates) {
            page.about = page.updates.back().address;
            break;
        }
        page.updates.push_back(update);
    }
    ++counts_.sent;
    actions_->push_back(SendDatagram{request.from.address, std::move(page)});
}

void Membership::on_member_list_page(const Datagram& d) {
    if (list_request_ == 0 || d.sequence != list_request_ || d.from.address != list_source_) return;
    list_request_ = 0;
    page_attempts_ = 0;
    list_deadline_ = TimePoint::max();
    // Pages come in ascending order; one that does not would be requested without end.
    if (d.about.known() && d.about > list_position_) return request_member_list(list_source_, d.about);
    // Where many members join at once, gossip is slower than lists, and misses some.
    if (list_new_members_ == 0 && list_backoff_ >= kMaxListBackoff) return;
    next_list_request_ = now_ + (0.5 + uniform()) * list_backoff_;
    list_backoff_ = std::min(2 * list_backoff_, kMaxListBackoff);
}

/// A partition that has healed shows only if dead members are pinged. Each member pings one now and then, so
/// that all together ping each as often, whatever the size of the cluster.
void Membership::reconnect() {
    const bool is_fast = fast_reconnects_left_ > 0 || is_isolated();
    if (fast_reconnects_left_ > 0) --fast_reconnects_left_;
    const double jitter = 0.75 + 0.5 * uniform();
    const Duration interval = fast_reconnects_left_ > 0 ? settings_.probe_interval / 2
                              : is_isolated()           ? 2 * settings_.probe_interval
                                                        : kReconnectInterval;
    next_reconnect_ = now_ + jitter * interval;
    const std::vector<std::uint32_t> dead = collect_dead_members();
    list_attempts_ = 0;
    page_attempts_ = 0;
    request_list_from_unseen_seed();
    if (dead.empty())
        fast_reconnects_left_ = 0;
    else
        ping_dead_members(dead, is_fast);
}

/// All dead members by address. Those past dead_retention are dropped, also those that left.
std::vector<std::uint32_t> Membership::collect_dead_members() {
    std::vector<std::uint32_t> expired;
    std::vector<std::uint32_t> dead;
    for (const auto& [address, slot] : index_) {
        const Slot& member = members_[slot];
        if (is_live(member.update.state)) continue;
        if (now_ - member.state_since > settings_.dead_retention)
            expired.push_back(slot);
        else if (member.update.state == MemberState::Dead)
            dead.push_back(slot);
    }
    for (std::uint32_t slot : expired) drop(slot);
    return dead;
}

void Membership::request_list_from_unseen_seed() {
    std::vector<MemberAddress> unseen;
    for (const MemberAddress& seed : settings_.seeds) {
        const Member* member = find(seed);
        if (seed != settings_.self && (!member || !is_live(member->update.state))) unseen.push_back(seed);
    }
    if (list_request_ != 0 || unseen.empty()) return;
    list_attempts_ =
        kListAttemptsPerSeed * int(settings_.seeds.size());  // no retry before the next reconnect
    request_member_list(unseen[random_below(std::uint32_t(unseen.size()))], {});
}

void Membership::ping_dead_members(const std::vector<std::uint32_t>& dead, bool fast) {
    std::size_t first = random_below(std::uint32_t(dead.size()));
    if (fast) {
        // In the order of their addresses, so that none is left out.
        auto next = std::find_if(dead.begin(), dead.end(), [this](std::uint32_t slot) {
            return members_[slot].update.address > last_reconnect_target_;
        });
        first = std::size_t(next - dead.begin());
    }
    const std::size_t count = std::min(dead.size(), fast ? kFastReconnectFanout : 1);
    for (std::size_t i = 0; i < count; ++i) {
        const Update belief = members_[dead[(first + i) % dead.size()]].update;
        last_reconnect_target_ = belief.address;
        send_ping(belief.address, &belief);
    }
}

/// A member came back from the dead: most likely it is not the only one.
void Membership::reconnect_soon() {
    const std::size_t dead = index_.size() - std::min(index_.size(), live_count_);
    fast_reconnects_left_ = std::min(2 * dead, kMaxFastReconnects);
    if (dead > 0)
        next_reconnect_ = std::min(next_reconnect_, now_ + uniform() * settings_.probe_interval / 2);
}

}  // namespace ochrehub::membership
