// The membership of a day's nodes, beside them: a member's core for each, as it ships, on links that the
// day's partitions cut, killed, stopped and started with its node. What it gives a node is what `[fleet]`
// gives one: by how many to divide.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "fleet/membership/fleet_size_divisor.h"
#include "lab/swarm/swarm.h"

namespace ochrehub::lab {

class Tier {
public:
    static constexpr Duration kLook{100};  ///< as often as a node's own side looks
    /// Nothing that `from` sends reaches `to`.
    using Cut = std::function<bool(std::size_t from, std::size_t to)>;
    using Told = std::function<void(std::size_t node, int gateways, int me)>;

    Tier(std::size_t nodes, std::uint64_t seed, Cut cut, Told told);

    // Times are from the first start on and never go back.
    void start(Duration at, std::size_t node);
    void kill(Duration at, std::size_t node);
    void leave(Duration at, std::size_t node);
    void stall(Duration at, std::size_t node, bool on);
    /// To be called every kLook.
    void look(Duration at);

private:
    static Swarm::Settings settings(std::size_t nodes, std::uint64_t seed);
    void run_to(Duration at) { swarm_.run_to(std::max(at, swarm_.now())); }
    membership::FleetSizeDivisor fresh() const;

    struct One {
        membership::FleetSizeDivisor share;
        int gateways = 0, me = kNone;  ///< as it was told last; it knows neither of the fleet before
    };
    Cut cut_;
    Told told_;
    Swarm swarm_;
    std::vector<One> nodes_;
    std::vector<bool> stalled_;
};

}  // namespace ochrehub::lab
