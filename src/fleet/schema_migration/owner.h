// The owner of a migration: claims it at the coordinators if it has no owner, and leads the shards through
// the current stage. A core without I/O, clock or threads.
//
// It assumes nothing about earlier progress: the first order to each shard in an epoch only queries the
// shard's state, which also fences the previous owner. Its pace is bounded and decreases with the load of the
// holders. It stops when its session has expired by its own clock, which it checks first on every event.
#pragma once

#include <schema_migration.pb.h>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "fleet/schema_migration/error.h"
#include "ochrehub/balancer.h"

namespace ochrehub::schema_migration {

struct OwnerSettings {
    bool can_own = true;                    ///< claims a migration without an owner
    std::uint32_t groups_per_order = 200;   ///< limit of one order
    std::size_t max_concurrent_shards = 2;  ///< shards with a pending order
    double groups_per_second = 20'000;      ///< over all shards
    double slowdown_start_load = 0.7;       ///< of a holder, from which on the pace decreases
    double slowdown_end_load = 0.95;        ///< of a holder, from which on the pace is min_pace
    double min_pace = 0.05;                 ///< fraction of groups_per_second
    Duration response_timeout{1000};        ///< after which a request is sent again
    Duration initial_retry_delay{200};      ///< after a shard's failure; doubles with each further failure
    Duration max_retry_delay{5000};
    int max_attempts = 6;  ///< of a shard, after which the failure is reported and the migration pauses
};

// Events

struct TimerFired {};
/// From the coordinators, with a session update or the response to a command.
struct NewsReceived {
    wire::News news;
    TimePoint until;  ///< the session's expiry by this process's clock, minus its safety margin
};
struct ReplyReceived {
    wire::Reply reply;
};
using OwnerEvent = std::variant<TimerFired, NewsReceived, ReplyReceived>;

// Actions

/// To the current holder of the shard.
struct SendOrder {
    wire::Order order;
};
/// To the coordinators; the response comes as NewsReceived.
struct SubmitCommand {
    wire::Command command;
};
struct SetTimer {
    TimePoint at;
};
using OwnerAction = std::variant<SendOrder, SubmitCommand, SetTimer>;
using OwnerActions = std::vector<OwnerAction>;

class Owner {
public:
    explicit Owner(const OwnerSettings& settings) : settings_(settings) {}
    void handle(TimePoint now, const OwnerEvent& event, OwnerActions& actions);

    bool is_owner() const { return is_owner_; }
    std::uint64_t orders() const { return orders_sent_; }

private:
    struct Shard {
        bool is_state_known = false, done = false;  ///< in this epoch and stage
        bool is_order_pending = false;              ///< waits for its reply
        TimePoint next_at{};  ///< the deadline of a pending order, or the time of the next attempt
        int failures = 0;
        std::uint64_t groups = 0;  ///< that the shard is known to have processed
        std::optional<wire::Command>
            pending_report;  ///< to the coordinators, until it is visible in their news
    };

    void handle_event(const TimerFired&) {}
    void handle_event(const NewsReceived& event);
    void handle_event(const ReplyReceived& event);
    void produce_actions(OwnerActions& actions);
    void send_order(std::uint32_t shard, OwnerActions& actions);
    Duration pacing_delay(std::uint64_t groups) const;

    OwnerSettings settings_;
    TimePoint now_{}, until_{}, next_order_{}, requested_at_{};
    bool is_owner_ = false, wants_ownership_ = false, has_requested_ = false;
    wire::Status status_;
    std::vector<Shard> shards_;
    std::uint32_t current_shard_ = 0;  ///< the shard of the last order
    double load_ = 0;
    std::uint64_t orders_sent_ = 0;
};

}  // namespace ochrehub::schema_migration
