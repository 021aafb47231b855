// What members report of one another: identity, state, and the incarnation that the report is about.
// Plain values without behaviour; they are copied between threads.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace ochrehub::membership {

/// Where a member receives datagrams. It is also the member's identity: a process that restarts at an address
/// is the same member, one that moves to another address is a new member.
struct MemberAddress {
    std::uint32_t host = 0;  ///< IPv4, in host byte order
    std::uint16_t port = 0;  ///< zero: no member
    // NOLINTNEXTLINE(modernize-use-nullptr): no zero is written here; the check reads a generated one.
    friend auto operator<=>(const MemberAddress&, const MemberAddress&) = default;

    /// False for the default value, which is the address of no member.
    bool known() const { return port != 0; }

    /// Identifies the accuser in an update, where two bytes must do. Collisions are possible and harmless:
    /// they only leave a suspect more time.
    std::uint16_t short_hash() const {
        return std::uint16_t((host * 0x9E3779B1u ^ port * 0x85EBCA6Bu) >> 16);
    }
};

enum class Role : std::uint8_t { Forwarder, Planner };

/// In ascending order of precedence within one incarnation.
enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Left };

/// True for a member that counts as running.
inline bool is_live(MemberState state) {
    return state == MemberState::Alive || state == MemberState::Suspect;
}

// What a member reports of itself: the bits of `Update::self_report`.
inline constexpr std::uint8_t kReportsDeaf = 1;     ///< it receives nothing from any member
inline constexpr std::uint8_t kReportsUnheard = 2;  ///< it receives datagrams, but no response to its own
inline constexpr std::uint8_t kReportsStalled = 4;  ///< the event loop that serves requests makes no progress
inline constexpr std::uint8_t kReportsIsolated = kReportsDeaf | kReportsUnheard;
inline constexpr std::uint8_t kReportsAll = kReportsIsolated | kReportsStalled;

/// The plan that a member serves by, as it reports it itself; zeros: none.
struct ActivePlan {
    std::uint32_t epoch = 0;
    std::uint32_t number = 0;
    friend bool operator==(const ActivePlan&, const ActivePlan&) = default;
};

/// One member's state at one incarnation: the unit of gossip.
struct Update {
    MemberAddress address;
    std::uint32_t incarnation = 0;  ///< raised by the member itself alone, to refute Suspect and Dead
    MemberState state = MemberState::Alive;
    Role role = Role::Forwarder;
    std::uint8_t zone = 0;
    std::uint8_t plan_version = 0;  ///< the newest version of plans that the member reads
    std::uint8_t self_report = 0;   ///< kReports... bits; the member raises its incarnation when they change
    std::uint16_t accuser = 0;      ///< Suspect: `short_hash` of the member whose own probe failed

    friend bool operator==(const Update&, const Update&) = default;
};

/// True if `a` supersedes `b`. Both must be about the same member.
inline bool supersedes(const Update& a, const Update& b) {
    return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.state > b.state;
}

}  // namespace ochrehub::membership
