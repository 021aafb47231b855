// Three or five keepers and some processes in virtual time: the cores as shipped, Raft and all, over
// lab/swarm/net.h, each keeper with a disk that takes its time and forgets in a crash what it had not
// written. A judge stands outside: it sees what machines carried out, what processes were answered and what
// their clocks say, and asks no core for its opinion.
//
// It checks: no session, and no time that a machine counts, is over at any keeper while its process still
// holds it by its own clock; each command is carried out once and the answers, with reads, are linearizable
// (appends and reads of one list: each operation's place in the list is no lower than what was complete
// before it began); keepers that have applied as much hold the same; and once all is healed every process
// gets a session and an answer.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub::lab {

/// Each breaks one promise, for the judge to find. Injected from outside: the cores know nothing of it.
enum class KeeperSaboteur {
    None,
    LeaseFromAnswer,  ///< a process counts its lease from the answer
    PauseUnseen,      ///< a process believes in its session until it is told otherwise
    NoMargin,         ///< ... for the whole lease, and clocks are further apart than they may be
    OldDeadlines,     ///< a new leader goes on with what it counted before it led
    FastLeader,       ///< keepers' clocks run at twice their rate
    TwiceApplied,     ///< a command that is sent again is carried out again
    ReadUnconfirmed,  ///< reads and renewals are answered without a read index
    ForgetsSessions,  ///< snapshots have no sessions
    ForgetsNumbers,   ///< snapshots have no numbers of commands
    ForgetsMachines,  ///< snapshots have machines without their state
    WrittenTooSoon,   ///< the disk says Written before it is
    Count
};
const char* name(KeeperSaboteur saboteur);

struct KeeperWorldSettings {
    std::size_t keepers = 3, processes = 3;
    std::uint64_t seed = 1;
    Duration faults{25'000}, settles{12'000};
    bool quiet = false;        ///< no faults but the crash below
    Duration lease{1200};      ///< short, so that it ends between two leaders
    Duration answers_late{0};  ///< what keepers say to processes takes up to so much longer, all the time
    std::uint64_t crash_at =
        0;  ///< at this event the keeper below crashes, and starts again a second later; 0: never
    std::size_t crash_who = 0;
    std::uint64_t snapshot_entries = 40;
    KeeperSaboteur saboteur = KeeperSaboteur::None;
};

struct KeeperVerdict {
    std::vector<std::string> wrong;  ///< what the judge found; the first ones
    std::uint64_t events = 0, commands = 0, reads = 0, uncertain = 0, sessions = 0, ended = 0, armed_over = 0,
                  leaders = 0, snapshots = 0,
                  again = 0;  ///< commands that came again and were recognised
};

KeeperVerdict run(const KeeperWorldSettings& settings);

}  // namespace ochrehub::lab
