// One run of a fleet: how many members, what goes wrong and when, what is expected of it. Times are seconds,
// from when all know all. Drawn from a scenario and a seed; both worlds run the same day.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ochrehub::lab::fleet {

enum class FaultKind {
    Cut,      ///< what `who` sends to `to` does not arrive
    Loss,     ///< ... by share
    Late,     ///< ... by `ms`, drawn up to it
    Doubled,  ///< ... by share, twice
    Reorder,  ///< ... by share, held back behind what is sent within `ms`
    Pause,    ///< SIGSTOP, then SIGCONT
    Slow,     ///< runs a tenth of the time: stopped and let go in turn
    Kill,     ///< SIGKILL; started again at its place after `back_s`
    Leave,    ///< SIGTERM
    Replay,   ///< what crossed the links last is sent once more, by whoever is in between
    Clock,    ///< the process's clock runs at `rate` and jumps by `ms`; in virtual time alone
    Stall,    ///< connections to servers stand still without being closed
    Reset,    ///< ... are reset in the middle of a message
    Crawl,    ///< ... carry `bytes_s`
    Rekey,    ///< the file of keys of `who` now holds `keys`, and the process is told (SIGHUP); on processes
              ///< alone
};
const char* name(FaultKind kind);

struct Fault {
    FaultKind kind = FaultKind::Cut;
    double at_s = 0, for_s = 0;  ///< zero length: a moment; a cut without one lasts to the end
    std::vector<int> who, to;    ///< members; in `to` those from `members` on are servers
    bool both = false;           ///< the other direction too
    double part = 1, ms = 0, rate = 1, bytes_s = 1000;
    double back_s = -1;  ///< negative: never
    bool empty = false;  ///< ... with an empty folder
    std::string keys;    ///< a letter a line: all begin with "a"

    /// What `from` sends to `to` is touched by it.
    bool touches(int from, int to) const;
    bool of_connections() const {
        return kind == FaultKind::Stall || kind == FaultKind::Reset || kind == FaultKind::Crawl;
    }
    bool of_links() const { return kind <= FaultKind::Reorder || of_connections(); }
    /// One line of words.
    std::string text() const;
};

/// What is asked; negative: is not.
struct Expect {
    double deaths =
        0;  ///< times that a live one is taken for dead, by anybody but those that may die themselves
    double known_s = -1;     ///< a killed one is dead to all others
    double undone_s = -1;    ///< behind a pause's end all have it back
    double isolated_s = -1;  ///< one that is cut off, one way or both, says so, and is dead to all others
    double left_s = -1;      ///< one that leaves has left to all others
    double healed_s = -1;    ///< behind the last fault's end all is right
    double whole_s = -1;     ///< behind a kill, parts of those that are left add up to the whole again
    double served = -1;      ///< of the requests sent to those that run, this share at least
};

struct Day {
    std::string name;
    std::uint64_t seed = 1;
    int members = 5, servers = 0, seeds = 3;
    double interval_ms = 500, isolated_ms = 5000;
    double settle_s = 30, length_s = 60;
    std::string settings;  ///< further lines of each member's TOML file
    std::vector<Fault> faults;
    std::vector<bool> may_die;  ///< by member: to take it for dead breaks nothing
    Expect expect;

    /// When the last of the faults is over.
    double calm_from_s() const;
};

/// What is done to the fleet, in order.
struct Step {
    enum class Do { FaultOn, FaultOff, Stop, GoOn, Kill, Start, Leave, Replay, ClockOn, ClockOff, Rekey };
    double at_s = 0;
    Do what = Do::FaultOn;
    int fault = 0, who = -1;
};
std::vector<Step> steps(const Day& day);

}  // namespace ochrehub::lab::fleet
