// A node's side of the replicated endpoint list: which endpoints the node uses, and when it polls discovery
// by itself, as a node without coordinators does. A core without I/O; it does not publish
// (endpoint_list_publisher.h).
//
// Clock: the process's monotonic clock, as passed to each call. Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fleet/leadership/endpoint_list.h"

namespace ochrehub::leadership::endpoint_list {

struct FollowerSettings {
    /// A node polls discovery by itself once its list is older than `max_age + jitter_fraction * max_jitter`.
    Duration max_age{6000};
    /// Spreads a tier that loses its coordinators: 50 ms per node of the tier, at most 5 s.
    Duration max_jitter{5000};
    double jitter_fraction = 0;  ///< random, from the node's seed: 0 to 1
};

// Events

/// A SessionUpdate of the state machine.
struct SessionUpdateReceived {
    TimePoint requested_at{};  ///< when the renewal that it answers was sent
    std::string update;        ///< encoded
};
/// The response to FetchFullList.
struct FullListReceived {
    std::string list;  ///< encoded FullList
};
/// The node uses a response of discovery's to itself, as follower or as publisher.
struct DiscoveryResultUsed {};
/// The time of the last FollowerSetTimer was reached.
struct FollowerTimerFired {};
using FollowerEvent =
    std::variant<SessionUpdateReceived, FullListReceived, DiscoveryResultUsed, FollowerTimerFired>;

// Actions

/// Replace all endpoints: those that are not listed are removed.
struct ReplaceEndpoints {
    Endpoints endpoints;
};
struct ApplyChange {
    Endpoints upserted;
    std::vector<std::string> removed;
};
/// Query the state machine: FullListReceived follows.
struct FetchFullList {};
/// Watch discovery by this node itself, until StopDiscoveryWatch.
struct StartDiscoveryWatch {};
/// No further requests to discovery. The response to the one in flight still counts.
struct StopDiscoveryWatch {};
/// Replaces the previous timer.
struct FollowerSetTimer {
    TimePoint at{};
};
using FollowerAction = std::variant<ReplaceEndpoints, ApplyChange, FetchFullList, StartDiscoveryWatch,
                                    StopDiscoveryWatch, FollowerSetTimer>;
using FollowerActions = std::vector<FollowerAction>;

/// Two independent states:
///
///     watching discovery: no --list older than max_age and jitter--> yes --replicated list newer than the
///     start
///                         of the watch, and younger than max_age--> no
///     using the replicated list: no --it is newer than discovery's last response--> yes
///                                yes --DiscoveryResultUsed--> no
///
/// The watch ends earlier than the replicated list comes into use: while it runs each response is newer than
/// the replicated list, which would never be used again.
class Follower {
public:
    Follower(const FollowerSettings& settings, TimePoint start)
        : settings_(settings), as_of_(start), discovery_used_at_(start) {}

    void handle(TimePoint now, const FollowerEvent& event, FollowerActions& actions);

    bool is_watching_discovery() const { return watching_; }
    /// The replicated list is as of this moment or later (endpoint_list.h, rounds).
    TimePoint as_of() const { return as_of_; }
    std::uint64_t version() const { return version_; }

private:
    struct OpenRound {
        TimePoint requested_at{};  ///< of the last renewal that showed this round as open
        std::uint64_t round = 0;
    };

    void on_update(TimePoint now, const SessionUpdateReceived& event, FollowerActions& actions);
    void on_full_list(TimePoint now, const FullListReceived& event, FollowerActions& actions);
    void apply_changes(const std::vector<Change>& changes, FollowerActions& actions);
    void record_open_round(const OpenRound& open);
    void confirm(TimePoint now, FollowerActions& actions);
    void watch_if_outdated(TimePoint now, FollowerActions& actions);
    bool is_up_to_date() const { return version_ == announced_version_ && digest_ == announced_digest_; }

    FollowerSettings settings_;
    TimePoint as_of_;
    TimePoint discovery_used_at_;  ///< when the node last used a response of discovery's; at first its start
    TimePoint watching_since_{};   ///< valid while watching_
    bool watching_ = false;        ///< discovery is watched by this node itself
    bool using_replicated_ = false;        ///< the node uses endpoints_
    std::uint64_t version_ = 0;            ///< of endpoints_; zero: no list yet
    std::uint64_t digest_ = digest({});    ///< of endpoints_
    Endpoints endpoints_;                  ///< the replicated list, whether or not it is in use
    std::uint64_t announced_version_ = 0;  ///< the newest that the state machine has announced
    std::uint64_t announced_digest_ = 0;   ///< at announced_version_
    std::uint64_t confirmed_round_ = 0;    ///< the newest that the state machine has announced
    std::deque<OpenRound> open_rounds_;    ///< that are not known to be confirmed, ascending
};

}  // namespace ochrehub::leadership::endpoint_list
