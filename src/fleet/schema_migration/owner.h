// The side of a process that may own a migration: asks the keepers for it where it is wanted, and as its
// owner takes the shards through the stage that is written down. A core without I/O, clock or threads; the
// seed of its draws is its settings'.
//
// It never guesses what was done before it: the first order to each shard under an epoch looks, which shuts
// out the owner before it and tells how far the shard is. Its pace is bounded and yields to the holders'
// load. It stops at the end of its session as it counts it, and looks at the clock first whenever it is
// woken.
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
    bool can_own = true;                    ///< asks for what nobody owns
    std::uint32_t groups_per_order = 200;   ///< groups in one order
    std::size_t max_concurrent_shards = 2;  ///< shards at once
    double groups_per_second = 20'000;      ///< groups a second, over all shards
    double slowdown_start_load = 0.7,
           slowdown_end_load =
               0.95;         ///< load at which it begins to slow down, and at which it is at its least
    double min_pace = 0.05;  ///< part of its pace that it never goes below
    Duration response_timeout{1000};  ///< for an answer, then it asks again
    Duration initial_retry_delay{200},
        max_retry_delay{5000};  ///< between tries of a shard that could not go on, doubled each time
    int max_attempts = 6;       ///< then the migration is stopped
};

// ---- What happens
struct TimerFired {};
struct NewsReceived {  ///< by the keepers: with a renewal's answer or that to a command
    wire::News news;
    TimePoint until;  ///< the session's end, by this process's clock, its margin taken off
};
struct ReplyReceived {
    wire::Reply reply;
};
using OwnerEvent = std::variant<TimerFired, NewsReceived, ReplyReceived>;

// ---- What is to be done about it
struct SendOrder {  ///< to whoever holds the shard now
    wire::Order order;
};
struct SubmitCommand {  ///< to the keepers; what they answer comes back as NewsReceived
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
        bool is_state_known = false, done = false;  ///< under this epoch and stage
        bool is_order_pending = false;              ///< an order is
        TimePoint next_at{};  ///< out: when it is given up; else when it may be asked again
        int failures = 0;
        std::uint64_t groups = 0;                     ///< that it is known to be through with
        std::optional<wire::Command> pending_report;  ///< to the keepers, and not yet seen in what they tell
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
    std::uint32_t current_shard_ = 0;  ///< the shard after the one that was served last
    double load_ = 0;
    std::uint64_t orders_sent_ = 0;
};

}  // namespace ochrehub::schema_migration
