// Datagrams between members and their encoding. A datagram has at most 256 bytes, its authentication
// included; all numbers are big-endian.
//
//     version 1, kind 1, cluster 4, sequence 4, sender 13, instance 4, plan epoch 4 and number 4, about 6,
//     name: size 1 and bytes, zone's name: size 1 and bytes, update count 1, updates of 15 each, tag 16
//
// An update: host 4, port 2, incarnation 4, state 2 bits, role 2 bits, self-report 4 bits, zone 1, plan
// version 1, accuser 2. The sender is an update without its accuser. The tag is the first half of an
// HMAC-SHA256 of all bytes before it, and is there if keys are set. Version 1 had no cluster, instance, names
// or self-report.
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
    Ping,         ///< `about`: who is meant, since an address may be another member's by now
    PingRequest,  ///< an indirect probe: ping `about` for me
    Ack,          ///< `about` is alive
    Nack,         ///< `about` has not responded to me yet
    Gossip,       ///< updates alone
    ListRequest,  ///< the members after `about`, by address
    ListPage,  ///< the response to ListRequest; `about`: the last of them, or no member if there are no more
};
inline constexpr std::uint8_t kDatagramKinds = 7;

using fleet::fingerprint;
using fleet::Keys;
using fleet::kTagBytes;

inline constexpr std::size_t kMaxDatagramBytes = 256;
inline constexpr std::size_t kHeaderBytes = 44;  ///< with empty names
inline constexpr std::size_t kUpdateBytes = 15;
inline constexpr std::size_t kMaxNameBytes = 20;
inline constexpr std::size_t kMaxZoneBytes = 11;
inline constexpr std::size_t kMaxUpdates =
    (kMaxDatagramBytes - kHeaderBytes - kMaxNameBytes - kMaxZoneBytes - kTagBytes) / kUpdateBytes;  ///< 11

using Name = boost::container::static_vector<char, kMaxNameBytes>;
using ZoneName = boost::container::static_vector<char, kMaxZoneBytes>;

struct Datagram {
    DatagramKind kind = DatagramKind::Gossip;
    std::uint32_t sequence = 0;  ///< a response repeats the request's
    Update from;                 ///< the sender, as it reports itself
    std::uint32_t instance = 0;  ///< of the sender: tells its process from an earlier one at its address
    Name name;                   ///< of the sender, shown to operators
    ZoneName zone;               ///< of the sender, shown to operators
    ActivePlan plan;             ///< of the sender
    MemberAddress about;
    boost::container::static_vector<Update, kMaxUpdates> updates;
};

/// Signed with the first key, if there is one.
std::string encode(const Datagram& datagram, const Keys& keys, std::uint32_t cluster = 0);

/// Why a datagram was rejected.
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
/// The label in metrics.
std::string_view name(DecodeError error);

/// `out` is valid only without an error. Reads no byte outside of `bytes`, whatever they claim.
DecodeError decode(std::string_view bytes, const Keys& keys, Datagram& out, std::uint32_t cluster = 0);

}  // namespace ochrehub::membership
