// Datagrams between members and their octets. A datagram is at most 256 octets, its authentication included;
// all numbers are big-endian.
//
//     version 1, kind 1, cluster 4, sequence 4, sender 13, instance 4, plan epoch 4 and number 4, about 6,
//     name 1 and so many octets, zone's name 1 and so many, updates 1, updates of 15, tag 16
//
// An update: host 4, port 2, incarnation 4, state 2 bits, role 2 and said 4, zone 1, speaks 1, accuser 2. The
// sender is one without its accuser. The tag is the first half of an HMAC-SHA256 of all before it and stands
// there where keys are set. Version 1 had no cluster, instance, names or word of its own.
#pragma once

#include <boost/container/static_vector.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "fleet/keys/keys.h"
#include "fleet/membership/member.h"

namespace ochrehub::membership {

enum class Kind : std::uint8_t {
    Ping,     ///< are you there? `about`: who is meant, since an address may be another's by now
    Forward,  ///< ping `about` for me
    Ack,      ///< `about` is there
    Nack,     ///< `about` has not answered me yet
    Gossip,   ///< updates alone
    Fetch,    ///< the members behind `about`, in the order of their places
    Listed,   ///< ... are these; `about`: the last of them, or nobody where there are no more
};
inline constexpr std::uint8_t kKinds = 7;

using fleet::Keys, fleet::fingerprint, fleet::kTag;

inline constexpr std::size_t kMostOctets = 256, kHead = 44, kUpdate = 15;  // the head with empty names
inline constexpr std::size_t kNameMost = 20, kZoneMost = 11;
inline constexpr std::size_t kMostUpdates =
    (kMostOctets - kHead - kNameMost - kZoneMost - kTag) / kUpdate;  // 11

using Name = boost::container::static_vector<char, kNameMost>;
using ZoneName = boost::container::static_vector<char, kZoneMost>;

struct Datagram {
    Kind kind = Kind::Gossip;
    std::uint32_t sequence = 0;
    Update from;
    std::uint32_t instance = 0;  ///< drawn at each start: tells a process from the one before it at its place
    Name name;                   ///< of the sender, for people
    ZoneName zone;
    PlanInForce plan;
    Place about;
    boost::container::static_vector<Update, kMostUpdates> updates;
};

std::string encode(const Datagram& datagram, const Keys& keys, std::uint32_t cluster = 0);

enum class Fault : std::uint8_t { None, Short, Long, Forged, Version, Malformed, Cluster };
inline constexpr std::size_t kFaults = 7;
std::string_view name(Fault fault);

/// `out` counts only where there is no fault. Reads no octet outside of `octets`, whatever they claim.
Fault decode(std::string_view octets, const Keys& keys, Datagram& out, std::uint32_t cluster = 0);

}  // namespace ochrehub::membership
