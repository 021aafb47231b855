// One server of the emulated fleet, as a core: events with their time in, actions out. It knows neither
// sockets nor the network; whoever hosts it carries its answers.
//
// Of each request the core says once what became of it (AnswerOut), unless the process dies with it. A server
// is down until its first Start. Work (of requests, handshakes and probes) is given for a core of speed 1; a
// request takes its CPU first and waits on others then. An event may come late: whatever was due before it is
// done first, in its order and as of its own time, though the actions are told only then.
//
// Where the description of servers leaves it open:
//
// A cold server climbs with time, not with the work it has done. What it can do, for the budget that pushes
// it over, is its climb alone: crowding, its table and troubles do not count. Refused connections count as
// work.
//
// A keyed request counts from when it arrived, once work on it has begun; its effect takes place when all its
// work is done. Work that is stopped before (cancelled, or its process died) has none, and its key is free
// again. A repeat is answered Served without a slot or CPU once its first has finished; the group remembers
// over restarts.
//
// A hang stops requests in their slots, new ones included, and answers none that it has taken. What finds
// slots and room full is still turned away, and connections, handshakes and probes go on. A pause stops the
// whole machine: what comes meanwhile is read when it ends, and X-Expires-In counts from then.
//
// A fast error comes without a slot, and half of them have had their effect. Half of the resets come when the
// request has arrived, half when it has had its CPU; work goes on behind these as behind any lost connection.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "lab/model/day.h"
#include "lab/record/record.h"

namespace ochrehub::lab {

using ConnectionNo = std::uint64_t;  ///< chosen by the host, never given twice to one server

// Events.
struct Connecting {  ///< a node opens a connection: a handshake's work, or a refusal where the table is full
    ConnectionNo connection = 0;
    NodeNo node = 0;
};
/// Its last byte has arrived. One that comes before Connected waits for that; one with another still out on
/// its connection breaks it; one on a connection that the server does not hold ends as Reset at once.
struct RequestIn {
    ConnectionNo connection = 0;
    NodeNo node = 0;
    AttemptNo attempt = 0;
    int cls = 0;
    Duration work{}, wait{};           ///< on a core of speed 1; waiting on others
    std::optional<std::uint64_t> key;  ///< keyed classes
    Duration expires_in{-1};           ///< negative: none
};
struct ProbeIn {
    ConnectionNo connection = 0;
    NodeNo node = 0;
    bool load = false;  ///< GET /load: with a report as its body
};
/// By the node, or lost: what was out on it is told as Dropped, `ran` if work on it had begun, which may go
/// on.
struct ConnectionClosed {
    ConnectionNo connection = 0;
};
/// From the day's timeline. Each holds until it is told otherwise, over a restart too; only a drain ends with
/// its process. Other kinds than these are ignored.
struct Trouble {
    FaultKind kind{};  ///< Hang, FastErrors, Pauses, Slow, Resets, Spoilt, Crash, Drain
    bool on = true;
    double size = 0;
    Duration every{};  ///< Pauses
};
struct Start {  ///< its process starts; cold unless `warm`
    bool warm = false;
};
struct ServerWoken {};
using ServerEvent =
    std::variant<Connecting, RequestIn, ProbeIn, ConnectionClosed, Trouble, Start, ServerWoken>;

/// A load report as an answer carries it.
struct ServerReport {
    double queue = 0, latency_ms = 0, qps = 0;
};

// Actions, in order.
inline constexpr int kSpoiltWays = 8;
struct Connected {  ///< the handshake is done: the connection may be written to
    ConnectionNo connection = 0;
};
struct ConnectionRefused {
    ConnectionNo connection = 0;
};
/// Reset and Dropped put nothing on the wire: the first comes with ConnectionBroken, if the connection was
/// still there, the second with the node's own close. Served with `ran` false is a repeat that was dropped.
struct AnswerOut {
    ConnectionNo connection = 0;
    AttemptNo attempt = 0;  ///< zero: of a probe
    Ended how = Ended::Served;
    bool ran = true;
    int spoilt = 0;  ///< Spoilt: which way, from 0 to kSpoiltWays - 1
    std::optional<ServerReport> report;
    bool healthy = true;  ///< of a probe: 200, else 503
};
struct ConnectionBroken {  ///< by the server: reset with what is on it, or closed idle; all of them when it
                           ///< dies
    ConnectionNo connection = 0;
};
struct Worked {  ///< work that has reached it, of whatever kind, also what it turns away
    NodeNo node = 0;
    Duration work{};  ///< on a core of its own speed
    WorkKind kind = WorkKind::Request;
};
struct Became {  ///< Cold at a cold start, Warm once it has climbed, FellOver: down until it is started again
    ServerState state{};
    Duration window{};  ///< FellOver: the span that its work was counted over
};
/// Only when it is earlier than the one asked for before, or that one has come: a host keeps one timer.
struct WakeServerAt {
    TimePoint at{};
};
using ServerAction =
    std::variant<Connected, ConnectionRefused, AnswerOut, ConnectionBroken, Worked, Became, WakeServerAt>;
using ServerActions = std::vector<ServerAction>;

class Server {
public:
    /// `duplicates` drop repeats of keyed requests for a cell or zone: shared by the servers of one group, so
    /// that one host must run them on one thread. `limits`: what makes a cold server fall over.
    class KeyMemory;
    Server(ServerFigures figures, const std::vector<ClassFigures>& classes, const Limits& limits,
           std::shared_ptr<KeyMemory> duplicates, std::uint64_t seed);
    ~Server();
    Server(Server&&) noexcept;

    void handle(TimePoint now, const ServerEvent& event, ServerActions& actions);

    /// Requests in work and waiting, those included whose work goes on though nobody waits for them.
    int held() const;
    bool running() const;
    /// Part of its whole capacity that it has now, as far as it is cold; 0 while it is down.
    double warmth(TimePoint now) const;

    /// The memory that the servers of one group share.
    static std::shared_ptr<KeyMemory> make_memory();

private:
    class State;
    std::unique_ptr<State> state_;
};

}  // namespace ochrehub::lab
