#include "fleet/channel/dialer.h"

#include <algorithm>

namespace ochrehub::channel {

Dialer::Dialer(const DialSettings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

void Dialer::again(TimePoint now, Entry& entry) {
    if (entry.instance != 0 && present_.contains(entry.instance)) {
        entry.state = State::Held;
        entry.since = now;
        return;
    }
    entry.state = State::Waiting;
    entry.wait = entry.wait <= Duration{0} ? settings_.initial_backoff
                                           : std::min(settings_.max_backoff, 2 * entry.wait);
    double drawn = double(random_() >> 11) * 0x1p-53;
    entry.due = now + entry.wait * (0.5 + 0.5 * drawn);
}

void Dialer::lost(TimePoint now, Entry& entry) {
    if (entry.state != State::Dialing && now - entry.since >= settings_.backoff_reset_after)
        entry.wait = Duration{0};
    again(now, entry);
}

void Dialer::handle(TimePoint now, const Event& event, Actions& actions) {
    if (const auto* wanted = std::get_if<AddressAdded>(&event)) {
        auto [at, fresh] = entries_.try_emplace(wanted->address);
        if (fresh) at->second.due = now;
    } else if (const auto* unwanted = std::get_if<AddressRemoved>(&event)) {
        if (entries_.erase(unwanted->address) > 0) actions.emplace_back(CloseDialed{unwanted->address});
    } else if (const auto* present = std::get_if<PeerConnected>(&event)) {
        present_.insert(present->instance);
    } else if (const auto* absent = std::get_if<PeerDisconnected>(&event)) {
        present_.erase(absent->instance);
        for (auto& [address, entry] : entries_)
            if (entry.state == State::Held && entry.instance == absent->instance) lost(now, entry);
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
            lost(now, at->second);
        }
    } else if (const auto* itself = std::get_if<SelfReached>(&event)) {
        auto at = entries_.find(itself->address);
        if (at != entries_.end()) at->second.state = State::Self;
    }

    TimePoint next = TimePoint::max();
    for (auto& [address, entry] : entries_) {
        if (entry.state == State::Dialing && entry.due <= now) {
            actions.emplace_back(CloseDialed{address, true});
            again(now, entry);
        }
        if (entry.state == State::Waiting && entry.due <= now) {
            if (entry.instance != 0 && present_.contains(entry.instance)) {
                entry.state = State::Held;
                entry.since = now;
                continue;
            }
            entry.state = State::Dialing;
            entry.due = now + settings_.connect_timeout;
            actions.emplace_back(Dial{address});
        }
        if (entry.state == State::Waiting || entry.state == State::Dialing) next = std::min(next, entry.due);
    }
    if (next == wake_ && !std::holds_alternative<TimerFired>(event)) return;
    wake_ = next;
    if (next != TimePoint::max()) actions.emplace_back(SetTimer{next});
}

}  // namespace ochrehub::channel
