// What a member knows of itself and of the others, as operators are shown it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/membership/membership.h"

namespace ochrehub::membership {

struct MembershipView {
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
    std::uint64_t refused[kDecodeErrors] = {};
    std::uint64_t unsent = 0;
    std::uint64_t held = 0;    ///< times that a flood had to wait
    std::vector<One> members;  ///< in the order of their places
};

std::string_view name(MemberState state);
/// What a member says of itself, in self_report_text; empty: all is well.
std::string self_report_text(std::uint8_t said);
std::string text(const MemberAddress& place);

MembershipView make_view(const Membership& core, TimePoint now);
/// One object; times are how long ago, in seconds of this process's clock.
std::string to_json(const MembershipView& view, TimePoint now);
/// Figures in Prometheus' text format; their number does not depend on the tier's size.
std::string metrics(const MembershipView& view);

}  // namespace ochrehub::membership
