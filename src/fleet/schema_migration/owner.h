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
    bool willing = true;        ///< asks for what nobody owns
    std::uint32_t batch = 200;  ///< groups in one order
    std::size_t window = 2;     ///< shards at once
    double per_s = 20'000;      ///< groups a second, over all shards
    double yields_from = 0.7,
           yields_to = 0.95;  ///< load at which it begins to slow down, and at which it is at its least
    double least = 0.05;      ///< part of its pace that it never goes below
    Duration patience{1000};  ///< for an answer, then it asks again
    Duration again{200},
        again_most{5000};  ///< between tries of a shard that could not go on, doubled each time
    int tries = 6;         ///< then the migration is stopped
};

// ---- What happens
struct Woken {};
struct Told {  ///< by the keepers: with a renewal's answer or that to a command
    wire::News news;
    TimePoint until;  ///< the session's end, by this process's clock, its margin taken off
};
struct Replied {
    wire::Reply reply;
};
using OwnerEvent = std::variant<Woken, Told, Replied>;

// ---- What is to be done about it
struct Give {  ///< to whoever holds the shard now
    wire::Order order;
};
struct Propose {  ///< to the keepers; what they answer comes back as Told
    wire::Command command;
};
struct WakeAt {
    TimePoint at;
};
using OwnerAction = std::variant<Give, Propose, WakeAt>;
using OwnerActions = std::vector<OwnerAction>;

class Owner {
public:
    explicit Owner(const OwnerSettings& settings) : set_(settings) {}
    void handle(TimePoint now, const OwnerEvent& event, OwnerActions& actions);

    bool owns() const { return owns_; }
    std::uint64_t orders() const { return orders_; }

private:
    struct Shard {
        bool looked = false, done = false;  ///< under this epoch and stage
        bool out = false;                   ///< an order is
        TimePoint next{};                   ///< out: when it is given up; else when it may be asked again
        int failed = 0;
        std::uint64_t groups = 0;           ///< that it is known to be through with
        std::optional<wire::Command> said;  ///< to the keepers, and not yet seen in what they tell
    };

    void on(const Woken&) {}
    void on(const Told& told);
    void on(const Replied& replied);
    void act(OwnerActions& actions);
    void order(std::uint32_t shard, OwnerActions& actions);
    Duration pause(std::uint64_t groups) const;

    OwnerSettings set_;
    TimePoint now_{}, until_{}, next_order_{}, asked_{};
    bool owns_ = false, asks_ = false, asked_once_ = false;
    wire::Status status_;
    std::vector<Shard> shards_;
    std::uint32_t at_ = 0;  ///< the shard after the one that was served last
    double load_ = 0;
    std::uint64_t orders_ = 0;
};

}  // namespace ochrehub::schema_migration
