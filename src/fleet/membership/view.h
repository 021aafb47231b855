// What a member knows of itself and of the others, as operators are shown it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/membership/membership.h"

namespace ochrehub::membership {

struct View {
    struct One {
        Update update;
        std::string name, zone;
        std::uint32_t instance = 0, restarts = 0;
        bool met = false, doubled = false, same_name = false;
        TimePoint since{};  ///< when its state became what it is
    };
    Update self;
    std::string name, zone, cluster;
    std::uint32_t instance = 0;
    TimePoint isolated_since{};
    int here = 1;     ///< nodes that serve, itself included, as it sees them
    int sharing = 1;  ///< by how many it divides
    std::size_t doubt = 0;
    Membership::Counts counts;
    std::uint64_t refused[kFaults] = {};
    std::uint64_t unsent = 0;
    std::uint64_t held = 0;    ///< times that a flood had to wait
    std::vector<One> members;  ///< in the order of their places
};

std::string_view name(State state);
/// What a member says of itself, in words; empty: all is well.
std::string words(std::uint8_t said);
std::string text(const Place& place);

View view_of(const Membership& core, TimePoint now);
/// One object; times are how long ago, in seconds of this process's clock.
std::string to_json(const View& view, TimePoint now);
/// Figures in Prometheus' text format; their number does not depend on the tier's size.
std::string metrics(const View& view);

}  // namespace ochrehub::membership
