// What a member knows of itself and of other members, as operators see it: plain values, JSON, and metrics.
// This is the only place that maps them to JSON keys and metric names. Pure functions; the clock is passed
// in.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/membership/membership.h"

namespace ochrehub::membership {

struct MembershipView {
    struct Member {
        Update update;
        std::string name;
        std::string zone;
        std::uint32_t instance = 0;
        std::uint32_t restarts = 0;
        bool met = false;
        bool doubled = false;    ///< two processes sent from its address within the last minute
        bool same_name = false;  ///< another live member has the same name
        TimePoint since{};       ///< of its current state
    };
    Update self;
    std::string name;
    std::string zone;
    std::string cluster;
    std::uint32_t instance = 0;
    TimePoint isolated_since{};
    int here = 1;     ///< nodes that serve, itself included
    int sharing = 1;  ///< FleetSizeDivisor::value
    std::size_t local_health_score = 0;
    Membership::Counts counts;
    std::uint64_t refused[kDecodeErrors] = {};  ///< datagrams, by DecodeError
    std::uint64_t unsent = 0;                   ///< UdpMember::send_failures
    std::uint64_t held = 0;                     ///< UdpMember::throttled_reads
    std::vector<Member> members;                ///< by address
};

std::string_view name(MemberState state);
/// The words for kReports... bits, separated by commas; empty: none is set.
std::string self_report_text(std::uint8_t report);
/// `a.b.c.d:port`
std::string to_string(const MemberAddress& address);

MembershipView make_view(const Membership& core, TimePoint now);
/// One object; times are how long ago, in seconds of this process's clock.
std::string to_json(const MembershipView& view, TimePoint now);
/// Metrics in the text format of Prometheus; their number does not depend on the size of the cluster.
std::string metrics(const MembershipView& view);

}  // namespace ochrehub::membership
