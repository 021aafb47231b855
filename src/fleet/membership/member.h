// What members of the tier say of one another: who, in which state, and as of which incarnation.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace ochrehub::membership {

/// Where a member's datagrams reach it, which is also its identity: an instance that restarts there is the
/// same member, one that moves is another.
struct Place {
    std::uint32_t host = 0;  ///< IPv4, in the machine's byte order
    std::uint16_t port = 0;

    friend auto operator<=>(const Place&, const Place&) = default;
    bool known() const { return port != 0; }
    /// Who it was that said something, where two octets must do.
    std::uint16_t mark() const { return std::uint16_t((host * 0x9E3779B1u ^ port * 0x85EBCA6Bu) >> 16); }
};

enum class Role : std::uint8_t { Forwarder, Planner };
/// In the order in which one outranks another of the same incarnation.
enum class State : std::uint8_t { Alive, Suspect, Dead, Left };

/// What a member says of itself, bits of `Update::said`.
inline constexpr std::uint8_t kSaysDeaf = 1;     ///< it hears nobody
inline constexpr std::uint8_t kSaysUnheard = 2;  ///< it hears, and nobody answers
inline constexpr std::uint8_t kSaysStalled = 4;  ///< its own loop, which serves requests, stands still
inline constexpr std::uint8_t kSaysIsolated = kSaysDeaf | kSaysUnheard, kSaysAll = 7;

/// The plan that a member serves by, in its own words; zeros: none.
struct PlanInForce {
    std::uint32_t epoch = 0, number = 0;
    friend bool operator==(const PlanInForce&, const PlanInForce&) = default;
};

struct Update {
    Place who;
    std::uint32_t incarnation = 0;  ///< raised by `who` alone, to refute what is said of it
    State state = State::Alive;
    Role role = Role::Forwarder;
    std::uint8_t zone = 0;
    std::uint8_t speaks = 0;    ///< the newest version of plans that it reads
    std::uint8_t said = 0;      ///< by `who` of itself; it raises its incarnation where that changes
    std::uint16_t accuser = 0;  ///< Suspect: the mark of whoever found it silent itself

    friend bool operator==(const Update&, const Update&) = default;
};

/// `a` is newer than `b`, both of the same member.
inline bool outranks(const Update& a, const Update& b) {
    return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.state > b.state;
}

}  // namespace ochrehub::membership
