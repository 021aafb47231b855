// Discovery as a core: learns late of what servers do, answers calls in turn at a limited rate.
//
// Each call takes 1 / calls_per_s of its one clerk and is dealt with at the end of that; one whose turn has
// not come after call_most fails then and costs nothing. A watch whose turn is over waits without costing
// anything more. Its wait counts from when it was asked. At one instant: what becomes known comes before what
// is dealt with, that before waits that end, and all of that before the event handed in (but a call that its
// node ended is out first).
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "lab/model/day.h"
#include "lab/record/record.h"

namespace ochrehub::lab {

using ListCall = std::uint64_t;  ///< a node's call, numbered by the host

// Events.
/// What has become of a server's process; discovery notices it in its own time. What is noticed after
/// something newer of the same server (a silent death after the restart that followed it) is dropped. Other
/// states are ignored.
struct ServerIs {
    ServerNo server = 0;
    ServerState state{};  ///< Ready (started, at `started`), Draining, Gone
    TimePoint started{};
    bool silent = false;  ///< Gone: nothing told it, the machine only says nothing any more
};
struct ListAsked {
    ListCall call = 0;
    NodeNo node = 0;
    std::optional<std::uint64_t> index;  ///< a watch from this revision on; none: the whole list
    Duration wait{};
};
struct ListCallGone {  ///< the node closed its connection
    ListCall call = 0;
};
/// Of the timeline: both hold until the next one. Down: calls and watches end by reset; it goes on noticing.
/// Stale: what it knew at the beginning is all it answers by; a call from any other revision gets that whole
/// list. Empty: it lists nothing under a new revision, and afterwards the whole under another; it goes on
/// noticing.
struct DiscoveryIs {
    bool down = false, stale = false, empty = false;
};
struct DiscoveryWoken {};  ///< never before the time that was asked for; once more than asked for is no fault
using DiscoveryEvent = std::variant<ServerIs, ListAsked, ListCallGone, DiscoveryIs, DiscoveryWoken>;

struct Listed {
    ServerNo server = 0;
    ToldPhase phase = ToldPhase::InService;
    TimePoint started{};  ///< zero: long ago
};

// Actions.
struct ListOut {
    ListCall call = 0;
    NodeNo node = 0;
    std::uint64_t revision = 0;
    bool complete = false;
    std::vector<Listed> members;
};
struct ListFailed {
    ListCall call = 0;
    NodeNo node = 0;
    bool reset = false;  ///< by a broken connection, else 503
};
/// Asks for DiscoveryWoken at this time; given when the time gets earlier or the last one has come.
struct WakeDiscoveryAt {
    TimePoint at{};
};
using DiscoveryAction = std::variant<ListOut, ListFailed, WakeDiscoveryAt>;
using DiscoveryActions = std::vector<DiscoveryAction>;

/// Changes that it remembers; a watch from before the oldest of them gets the whole list.
inline constexpr std::size_t kChangesKept = 512;

class Discovery {
public:
    /// Revisions begin at a number drawn from the seed. Servers that exist at the start are known, warm and
    /// started long ago unless they start cold.
    Discovery(const Day& day, TimePoint start, std::uint64_t seed);
    ~Discovery();

    void handle(TimePoint now, const DiscoveryEvent& event, DiscoveryActions& actions);
    /// The whole list as it is known now, stale or not: what a node is started with. Its call is 0, its node
    /// nobody.
    ListOut known() const;
    /// Calls that wait for their turn and watches.
    std::size_t waiting() const;

private:
    class State;
    std::unique_ptr<State> state_;
};

}  // namespace ochrehub::lab
