#include "balancer/endpoint_registry.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ochrehub::balancer {
namespace {

/// Shortest delay before a poll, the range of the first, and the longest, in ms.
constexpr Duration kMinPollDelay{125};
constexpr Duration kInitialPollDelay{375};
constexpr Duration kMaxPollDelay{1800};
/// Time that discovery takes for the poll of one node, and at most for those of all, in ms.
constexpr Duration kPollTimePerNode{50};
constexpr Duration kMaxFleetPollSpan{3250};
/// An endpoint that the list has lacked for this long is forgotten, in ms.
constexpr Duration kForgetAfter{60000};

}  // namespace

void EndpointRegistry::begin_update(UpdateKind kind) {
    if (kind == UpdateKind::Delta) return;
    for (Endpoint& endpoint : endpoints_) {
        endpoint.registration.listed = false;
        endpoint.registration.listed_before = endpoint.entry.phase != Phase::Removed;
    }
}

EndpointRegistry::AppliedEntry EndpointRegistry::apply(const EndpointEntry& entry, TimePoint now) {
    auto [found, is_new] = index_.try_emplace(entry.endpoint, 0);
    if (is_new) found->second = place(entry.endpoint, now);
    Endpoint& endpoint = endpoints_[found->second];
    EndpointRegistration& registration = endpoint.registration;
    std::optional<TimePoint>& started = endpoint.slow_start.started;
    bool removed = entry.phase == Phase::Removed;
    bool restarted =
        entry.last_start && (!endpoint.entry.last_start || *entry.last_start > *endpoint.entry.last_start);
    bool returned = !registration.listed_before && !removed && !settings_.removal_not_binding;
    if (restarted && (!started || *entry.last_start > *started)) started = entry.last_start;
    registration.listed = !removed;
    registration.listed_before = !removed;
    registration.draining = entry.phase == Phase::Draining || (registration.draining && removed);
    endpoint.entry = entry;
    if (endpoint.entry.weight <= 0) endpoint.entry.weight = 1;
    largest_weight_ = std::max(largest_weight_, endpoint.entry.weight);
    if (endpoint.entry.key == 0) endpoint.entry.key = endpoint.id;
    return {found->second, is_new || restarted || returned};
}

EndpointIndex EndpointRegistry::place(EndpointId id, TimePoint now) {
    auto is_free = [](const Endpoint& endpoint) { return endpoint.registration.is_free; };
    auto found = std::ranges::find_if(endpoints_, is_free);
    if (found == endpoints_.end()) found = endpoints_.emplace(found);
    found->id = id;
    found->registration.is_free = false;
    found->registration.last_listed = now;
    found->registration.rank = random_.bits();
    auto index = EndpointIndex(found - endpoints_.begin());
    auto rank = [this](EndpointIndex other) { return endpoints_[other].registration.rank; };
    ranked_.insert(std::ranges::upper_bound(ranked_, found->registration.rank, {}, rank), index);
    return index;
}

// Where endpoints are replaced by new ones for good, the memory held for them must not grow.
void EndpointRegistry::forget_removed(TimePoint now) {
    for (EndpointIndex index = 0; index < endpoints_.size(); ++index) {
        Endpoint& endpoint = endpoints_[index];
        EndpointRegistration& registration = endpoint.registration;
        if (registration.listed) registration.last_listed = now;
        bool stays = registration.is_free || registration.listed || settings_.removal_not_binding ||
                     registration.references > 0 || endpoint.health.probe_in_flight;
        if (stays || now - registration.last_listed < kForgetAfter) continue;
        index_.erase(endpoint.id);
        std::erase(ranked_, index);
        // Pending timers of its probes must not match the next endpoint in its place.
        endpoint.health.probe_epoch = std::exchange(endpoint, Endpoint{}).health.probe_epoch + 1;
        endpoint.registration.is_free = true;
    }
}

void EndpointRegistry::apply_override(const AdminOverride& change, TimePoint now) {
    std::erase_if(returned_by_admin_, [&](const auto& item) {
        return now - item.second.returned_at > 2 * settings_.slow_start_duration;
    });
    auto drained = drained_by_admin_.find(change.key);
    if (change.drained) {
        drained_by_admin_.emplace(change.key, change.since);
        return;
    }
    TimePoint drained_since = drained != drained_by_admin_.end() ? drained->second : change.since;
    returned_by_admin_[change.key] = {drained_since, change.since};
    drained_by_admin_.erase(change.key);
}

// Operators restart endpoints that they have drained: one that comes back is in slow start, as of the restart
// that discovery reported meanwhile, or of its return.
void EndpointRegistry::apply_returned_start(Endpoint& endpoint) const {
    auto found = returned_by_admin_.find(endpoint.entry.key);
    if (found == returned_by_admin_.end()) return;
    const ReturnedByAdmin& returned = found->second;
    std::optional<TimePoint>& started = endpoint.slow_start.started;
    bool restarted = endpoint.entry.last_start && *endpoint.entry.last_start > returned.drained_since;
    started = restarted ? endpoint.entry.last_start : std::max(started, {returned.returned_at});
}

bool EndpointRegistry::in_use(const Endpoint& endpoint) const {
    if (endpoint.registration.draining || endpoint.entry.phase == Phase::Draining) return false;
    if (drained_by_admin_.contains(endpoint.entry.key)) return false;
    return endpoint.registration.listed || settings_.removal_not_binding;
}

std::optional<EndpointIndex> EndpointRegistry::find(EndpointId id) const {
    auto found = index_.find(id);
    if (found == index_.end()) return std::nullopt;
    return found->second;
}

std::optional<Duration> DiscoveryPoller::first_poll() {
    if (std::exchange(started_, true) || !settings_.watches_discovery) return std::nullopt;
    return fleet_poll_span() * random_.uniform();
}

std::optional<Duration> DiscoveryPoller::poll_after_failure() {
    Duration initial = std::max(kInitialPollDelay, fleet_poll_span());
    double backoff = settings_.polls_discovery ? std::exp2(consecutive_failures_++) : 1;
    Duration delay = random_.uniform() * std::min(initial * backoff, std::max(kMaxPollDelay, initial));
    if (!settings_.watches_discovery) return std::nullopt;
    return std::max(kMinPollDelay, delay);
}

// Nodes that poll one service together must not queue for longer than a poll is waited for.
Duration DiscoveryPoller::fleet_poll_span() const {
    return settings_.polls_discovery * std::min(kPollTimePerNode * settings_.node_count, kMaxFleetPollSpan);
}

}  // namespace ochrehub::balancer
