// Constants of the membership protocol that no setting changes.
#pragma once

#include <cstddef>
#include <cstdint>

#include "ochrehub/balancer.h"

namespace ochrehub::membership {

// Dissemination.
inline constexpr int kGossipRoundsPerInterval = 2;  ///< while an urgent update is queued
inline constexpr std::size_t kGossipFanout = 2;     ///< members per round
/// An update is transmitted this many times the decimal logarithm of the members, and at least as often as
/// this.
inline constexpr double kTransmissionFactor = 4;
inline constexpr int kMinTransmissions = 8;
inline constexpr int kLeaveRounds = 4;
inline constexpr std::size_t kLeaveFanout = 4;  ///< members per round
/// Incarnations rise by one with each refutation. A higher one than this was made up, and refuting it could
/// end in the last number there is, after which nothing could be refuted.
inline constexpr std::uint32_t kMaxIncarnation = 1u << 31;

// Anti-entropy.
inline constexpr Duration kInitialListBackoff{1000};  ///< after the first list; doubles with each
inline constexpr Duration kMaxListBackoff{32'000};
inline constexpr int kMaxPageAttempts = 4;
inline constexpr int kListAttemptsPerSeed = 3;
inline constexpr Duration kReconnectInterval{10'000};   ///< between pings to dead members and unseen seeds
inline constexpr std::size_t kFastReconnectFanout = 3;  ///< dead members per ping round after one came back
inline constexpr std::size_t kMaxFastReconnects = 64;   ///< rounds

// Failure detector.
inline constexpr double kNackFraction = 0.8;  ///< of probe_timeout: before the requester ends its probe
/// A response to one of this many last sequence numbers counts as a response.
inline constexpr std::uint32_t kRecentSequences = 256;
inline constexpr Duration kDuplicateWindow{
    60'000};                               ///< in which two processes at one address are reported once
inline constexpr int kMaxFinalProbes = 2;  ///< of a suspect: a datagram or its ack may be lost

// Isolation.
/// Of isolated_after without a response: from then on random members are pinged.
inline constexpr double kIsolationProbeFraction = 0.6;
inline constexpr std::size_t kIsolationProbeFanout = 3;  ///< members per probe interval

}  // namespace ochrehub::membership
