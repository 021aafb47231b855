// All that can happen to a few members, to a depth: every order of delivery, loss, wake-up, a crash with its
// restart, a one-sided cut, a pause. No
// draw is made: whatever is explored is explored each time.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "fleet/membership/membership.h"

namespace ochrehub::lab {

struct Exploration {
    /// What the members have behind them when it begins.
    enum class From { Start, Settled, Suspicion, Death, Cut };

    std::size_t members = 3;
    From from = From::Settled;
    int depth = 4;    ///< things that happen, one after the other
    int losses = 2;   ///< datagrams lost among them
    int crashes = 1;  ///< of any member; one that has crashed may start again
    int cuts = 0;     ///< of what one sends to one other; mended at any time, at the end at the latest
    int pauses = 0;   ///< of any member: what comes for it waits, as in a socket
    std::uint64_t seed = 1;
    /// For tests that break something: may change what a member sends. False: it is not sent.
    std::function<bool(membership::SendDatagram&)> meddles;
};

struct Explored {
    std::uint64_t states = 0;  ///< each but the first by one thing that happened
    std::uint64_t ends = 0;    ///< at the depth; from each, all goes on without loss until it is right again
    std::uint64_t broken_count = 0;
    std::vector<std::string> broken;  ///< the first few: which promise, and what had happened
    double slowest_ms = 0;            ///< from an end until all was right
};

/// The promises: nobody goes back to an older word on a member; an incarnation never falls while its member
/// runs; once datagrams arrive again, all that run are soon known as Alive by all, and nobody else as here.
Explored explore(const Exploration& exploration);

}  // namespace ochrehub::lab
