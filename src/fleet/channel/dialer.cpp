#include "fleet/channel/dialer.h"

#include <algorithm>

namespace ochrehub::channel {

Dialer::Dialer(const DialSettings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

void Dialer::schedule_retry(TimePoint now, Entry& entry) {
    if (entry.instance != 0 && connected_peers_.contains(entry.instance)) {
        entry.state = State::PeerConnected;
        entry.since = now;
        return;
    }
    entry.state = State::Waiting;
    entry.backoff = entry.backoff <= Duration{0} ? settings_.initial_backoff
                                                 : std::min(settings_.max_backoff, 2 * entry.backoff);
    double random_fraction = double(random_() >> 11) * 0x1p-53;
    entry.deadline = now + entry.backoff * (0.5 + 0.5 * random_fraction);
}

void Dialer::handle_lost(TimePoint now, Entry& entry) {
    if (entry.state != State::Dialing && now - entry.since >= settings_.backoff_reset_after)
        entry.backoff = Duration{0};
    schedule_retry(now, entry);
}

void Dialer::handle(TimePoint now, const Event& event, Actions& actions) {
    if (const auto* added = std::get_if<AddressAdded>(&event)) {
        auto [entry, is_new] = entries_.try_emplace(added->address);
        if (is_new) entry->second.deadline = now;
    } else if (const auto* removed = std::get_if<AddressRemoved>(&event)) {
        if (entries_.erase(removed->address) > 0) actions.emplace_back(CloseDialed{removed->address});
    } else if (const auto* connected = std::get_if<PeerConnected>(&event)) {
        connected_peers_.insert(connected->instance);
    } else if (const auto* disconnected = std::get_if<PeerDisconnected>(&event)) {
        connected_peers_.erase(disconnected->instance);
        for (auto& [address, entry] : entries_)
            if (entry.state == State::PeerConnected && entry.instance == disconnected->instance)
                handle_lost(now, entry);
    } else if (const auto* reached = std::get_if<DialSucceeded>(&event)) {
        auto at = entries_.find(reached->address);
        if (at != entries_.end() && at->second.state == State::Dialing) {
            at->second.state = State::Connected;
            at->second.since = now;
            at->second.instance = reached->instance;
        }
    } else if (const auto* ended = std::get_if<ConnectionEnded>(&event)) {
        auto at = entries_.find(ended->address);
        if (at != entries_.end() &&
            (at->second.state == State::Dialing || at->second.state == State::Connected)) {
            handle_lost(now, at->second);
        }
    } else if (const auto* self_reached = std::get_if<SelfReached>(&event)) {
        auto at = entries_.find(self_reached->address);
        if (at != entries_.end()) at->second.state = State::Self;
    }

    TimePoint next = TimePoint::max();
    for (auto& [address, entry] : entries_) {
        if (entry.state == State::Dialing && entry.deadline <= now) {
            actions.emplace_back(CloseDialed{address, true});
            schedule_retry(now, entry);
        }
        if (entry.state == State::Waiting && entry.deadline <= now) {
            if (entry.instance != 0 && connected_peers_.contains(entry.instance)) {
                entry.state = State::PeerConnected;
                entry.since = now;
                continue;
            }
            entry.state = State::Dialing;
            entry.deadline = now + settings_.connect_timeout;
            actions.emplace_back(Dial{address});
        }
        if (entry.state == State::Waiting || entry.state == State::Dialing)
            next = std::min(next, entry.deadline);
    }
    if (next == timer_at_ && !std::holds_alternative<TimerFired>(event)) return;
    timer_at_ = next;
    if (next != TimePoint::max()) actions.emplace_back(SetTimer{next});
}

}  // namespace ochrehub::channel
