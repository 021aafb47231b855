#include "fleet/leadership/endpoint_list_follower.h"

#include <algorithm>

namespace ochrehub::leadership::endpoint_list {

void Follower::handle(TimePoint now, const FollowerEvent& event, FollowerActions& actions) {
    if (const auto* update = std::get_if<SessionUpdateReceived>(&event)) {
        on_update(now, *update, actions);
    } else if (const auto* list = std::get_if<FullListReceived>(&event)) {
        on_full_list(now, *list, actions);
    } else if (std::holds_alternative<DiscoveryResultUsed>(event)) {
        discovery_used_at_ = now;
        using_replicated_ = false;
    }
    watch_if_outdated(now, actions);
}

void Follower::watch_if_outdated(TimePoint now, FollowerActions& actions) {
    if (watching_) return;
    const Duration jitter = settings_.max_jitter * settings_.jitter_fraction;
    const TimePoint due = std::max(as_of_, discovery_used_at_) + settings_.max_age + jitter;
    if (now < due) {
        actions.push_back(FollowerSetTimer{due});
        return;
    }
    watching_ = true;
    watching_since_ = now;
    actions.push_back(StartDiscoveryWatch{});
}

void Follower::on_update(TimePoint now, const SessionUpdateReceived& event, FollowerActions& actions) {
    std::optional<SessionUpdate> update = decode_session_update(event.update);
    if (!update) return;
    const bool is_late = update->confirmed_round < confirmed_round_ || update->version < announced_version_;
    if (is_late) return;
    confirmed_round_ = update->confirmed_round;
    announced_version_ = update->version;
    announced_digest_ = update->digest;
    apply_changes(update->changes, actions);
    record_open_round({event.requested_at, update->open_round});
    confirm(now, actions);
    if (!is_up_to_date()) actions.push_back(FetchFullList{});
}

void Follower::apply_changes(const std::vector<Change>& changes, FollowerActions& actions) {
    const std::uint64_t previous_version = version_;
    for (const Change& change : changes) {
        if (change.version != version_ + 1) continue;
        for (const auto& [id, body] : change.upserted) endpoints_[id] = body;
        for (const std::string& id : change.removed) endpoints_.erase(id);
        version_ = change.version;
        if (using_replicated_) actions.push_back(ApplyChange{change.upserted, change.removed});
    }
    if (version_ != previous_version) digest_ = digest(endpoints_);
}

void Follower::record_open_round(const OpenRound& open) {
    if (open_rounds_.empty() || open_rounds_.back().round < open.round) {
        open_rounds_.push_back(open);
        return;
    }
    TimePoint& requested_at = open_rounds_.back().requested_at;
    requested_at = std::max(requested_at, open.requested_at);
}

void Follower::on_full_list(TimePoint now, const FullListReceived& event, FollowerActions& actions) {
    std::optional<FullList> list = decode_full_list(event.list);
    if (!list || list->version < announced_version_) return;
    if (list->version == version_ && list->digest == digest_) return;
    endpoints_ = std::move(list->endpoints);
    version_ = announced_version_ = list->version;
    digest_ = announced_digest_ = list->digest;
    if (using_replicated_) actions.push_back(ReplaceEndpoints{endpoints_});
    confirm(now, actions);
}

/// Derives from the confirmed rounds as of when the list is, and whether it comes into use.
void Follower::confirm(TimePoint now, FollowerActions& actions) {
    if (version_ == 0 || !is_up_to_date()) return;
    // A round that was open at a request is followed by one that was opened later; what closed that was
    // polled later still.
    while (!open_rounds_.empty() && open_rounds_.front().round < confirmed_round_) {
        as_of_ = std::max(as_of_, open_rounds_.front().requested_at);
        open_rounds_.pop_front();
    }
    if (watching_ && as_of_ > watching_since_ && now - as_of_ < settings_.max_age) {
        watching_ = false;
        actions.push_back(StopDiscoveryWatch{});
    }
    if (using_replicated_ || as_of_ <= discovery_used_at_) return;
    using_replicated_ = true;
    actions.push_back(ReplaceEndpoints{endpoints_});
}

}  // namespace ochrehub::leadership::endpoint_list
