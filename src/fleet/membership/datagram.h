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

enum class DatagramKind : std::uint8_t {
    Ping,         ///< are you there? `about`: who is meant, since an address may be another's by now
    PingRequest,  ///< ping `about` for me
    Ack,          ///< `about` is there
    Nack,         ///< `about` has not answered me yet
    Gossip,       ///< updates alone
    ListRequest,  ///< the members behind `about`, in the order of their places
    ListPage,     ///< ... are these; `about`: the last of them, or nobody where there are no more
};
inline constexpr std::uint8_t kDatagramKinds = 7;

using fleet::Keys, fleet::fingerprint, fleet::kTag;

inline constexpr std::size_t kMaxDatagramBytes = 256, kHeaderBytes = 44,
                             kUpdateBytes = 15;  // the head with empty names
inline constexpr std::size_t kMaxNameBytes = 20, kMaxZoneBytes = 11;
inline constexpr std::size_t kMaxUpdates =
    (kMaxDatagramBytes - kHeaderBytes - kMaxNameBytes - kMaxZoneBytes - kTag) / kUpdateBytes;  // 11

using Name = boost::container::static_vector<char, kMaxNameBytes>;
using ZoneName = boost::container::static_vector<char, kMaxZoneBytes>;

struct Datagram {
    DatagramKind kind = DatagramKind::Gossip;
    std::uint32_t sequence = 0;
    Update from;
    std::uint32_t instance = 0;  ///< drawn at each start: tells a process from the one before it at its place
    Name name;                   ///< of the sender, for people
    ZoneName zone;
    ActivePlan plan;
    MemberAddress about;
    boost::container::static_vector<Update, kMaxUpdates> updates;
};

std::string encode(const Datagram& datagram, const Keys& keys, std::uint32_t cluster = 0);

enum class DecodeError : std::uint8_t {
    None,
    TooShort,
    TooLong,
    AuthenticationFailed,
    UnsupportedVersion,
    Malformed,
    WrongCluster
};
inline constexpr std::size_t kDecodeErrors = 7;
std::string_view name(DecodeError fault);

/// `out` counts only where there is no fault. Reads no octet outside of `octets`, whatever they claim.
DecodeError decode(std::string_view octets, const Keys& keys, Datagram& out, std::uint32_t cluster = 0);

}  // namespace ochrehub::membership
