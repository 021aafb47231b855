// The endpoints that discovery lists, their drains and removals (rule 3), and operators' overrides of them.
// Also when discovery is polled again: with exponential backoff and jitter, spread so that the nodes of a
// tier do not queue up at one discovery service. Not responsible for health or for which endpoints are used.
#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "balancer/endpoint.h"
#include "balancer/random_source.h"
#include "ochrehub/balancer.h"

namespace ochrehub::balancer {

class EndpointRegistry {
public:
    EndpointRegistry(const Settings& settings, RandomSource& random) : settings_(settings), random_(random) {}

    struct AppliedEntry {
        EndpointIndex index = 0;
        bool is_new_process = false;  ///< new, restarted, or back after a removal
    };

    /// A list without the entries' effects: what a whole list does not name is removed.
    void begin_update(UpdateKind kind);
    AppliedEntry apply(const EndpointEntry& entry, TimePoint now);
    /// Drops endpoints that have long been removed. Their places are reused.
    void forget_removed(TimePoint now);

    void apply_override(const AdminOverride& change, TimePoint now);
    /// The start that an operator's return of the endpoint implies, if there was one.
    void apply_returned_start(Endpoint& endpoint) const;
    bool has_drained_by_admin() const { return !drained_by_admin_.empty(); }

    /// May get new requests: neither draining nor removed nor drained by an operator.
    bool in_use(const Endpoint& endpoint) const;

    Endpoint& at(EndpointIndex index) { return endpoints_[index]; }
    const Endpoint& at(EndpointIndex index) const { return endpoints_[index]; }
    std::vector<Endpoint>& endpoints() { return endpoints_; }
    std::optional<EndpointIndex> find(EndpointId id) const;
    /// All endpoints, in this node's random order.
    const std::vector<EndpointIndex>& ranked() const { return ranked_; }
    /// The largest weight ever listed.
    double largest_weight() const { return largest_weight_; }

private:
    struct ReturnedByAdmin {
        TimePoint drained_since{};
        TimePoint returned_at{};
    };

    EndpointIndex place(EndpointId id, TimePoint now);

    const Settings& settings_;
    RandomSource& random_;
    std::vector<Endpoint> endpoints_;
    std::unordered_map<EndpointId, EndpointIndex> index_;  ///< only for lookup: its order is not defined
    std::vector<EndpointIndex> ranked_;
    double largest_weight_ = 0;
    std::map<std::uint64_t, TimePoint> drained_by_admin_;         ///< entry keys, and since when
    std::map<std::uint64_t, ReturnedByAdmin> returned_by_admin_;  ///< entry keys, of late
};

/// When discovery is polled. Timers are DiscoveryPoll with the epoch that this class hands out.
class DiscoveryPoller {
public:
    DiscoveryPoller(const Settings& settings, RandomSource& random) : settings_(settings), random_(random) {}

    /// Delay until the first poll, in ms; none if there was one or the list needs no watch.
    std::optional<Duration> first_poll();
    /// Delay until the next poll after a failed one, in ms.
    std::optional<Duration> poll_after_failure();
    void record_success() { consecutive_failures_ = 0; }

    /// Starts a new epoch: polls of earlier ones are void.
    std::uint64_t next_epoch() { return ++epoch_; }
    bool is_current(std::uint64_t epoch) const { return epoch == epoch_; }

private:
    Duration fleet_poll_span() const;

    const Settings& settings_;
    RandomSource& random_;
    bool started_ = false;
    int consecutive_failures_ = 0;
    std::uint64_t epoch_ = 0;
};

}  // namespace ochrehub::balancer
