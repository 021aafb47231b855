// All clients of a day and the front layer that spreads them over the nodes, as one core. Arrivals are drawn
// ahead and wait for nobody: an open loop.
//
// Who notes what. The core, as ClientsNote in the order it happened:
//   CallBegan  at the time the arrival was drawn for, also where the wake came late: a generator that is held
//   up may
//              not hide it. So only this one may bear a time before that of the batch; all others bear its
//              `now`.
//   TryLeft    when it closes a connection with a try out on it: where the client leaves, or kGivenUpStays
//   behind the
//              try's end where nothing has come by then. Where the connection had not come up yet there was
//              no TrySent for that id.
//   TryLost    when a connection with a try out is lost, unless the try is sent once more with the same id
//   because
//              the node had not read it. `node_gone` where the event says so, and where the try was not read
//              (`before_any`): nobody owes an answer then. Again there may have been no TrySent.
//   CallEnded  once for each CallBegan.
// The host, since it sees the bytes: TrySent when the last one has passed (again for an id that is sent once
// more: the later one counts), TryAnswered with the last byte of an answer and before it hands in Answered,
// and ClientConnected for each connection that came up. What the core does not know any more (a late answer,
// a connection that it closed) it takes as no fault, and so must the host: a CloseConnection may cross the
// other side's close.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "lab/model/day.h"
#include "lab/record/record.h"

namespace ochrehub::lab {

/// Numbered by the core; never given twice. Its low 32 bits are a place that is used again once the
/// connection is gone, so that a host can keep a table by them; never zero.
using ClientConnection = std::uint64_t;

// Events.
struct NodeUp {  ///< it has answered GET /healthz with 200 since its start
    NodeNo node = 0;
};
struct NodeDown {  ///< it died or began to stop; the front notices it in its own time
    NodeNo node = 0;
    bool told =
        false;  ///< the front was told, as before a planned restart: it sends nothing more there from now on
};
struct Answered {
    TryId id = 0;
    Heard heard = Heard::Failed;
    int status = 0;
    std::optional<Duration> advice;
    bool closes =
        false;  ///< the node closes the connection behind it: the core does so too, by CloseConnection
};
/// Refused, reset or closed by the node; a try may be out on it. A host that stops waiting for a connection
/// to come up tells it so too: the core cannot see whether one is up.
struct ConnectionLost {
    ClientConnection connection = 0;
    bool before_any = false;  ///< never came up, or closed between requests: the try on it was not read
    bool node_gone = false;
};
struct ClientsWoken {};  ///< never before the time that was asked for; once more than asked for is no fault
using ClientEvent = std::variant<NodeUp, NodeDown, Answered, ConnectionLost, ClientsWoken>;

// Actions, in order.
struct OpenConnection {
    ClientConnection connection = 0;
    NodeNo node = 0;
    bool hostile = false;  ///< nothing is sent on it by Ask; the host sends noise where `noise` is given
    int noise = -1;  ///< which bad bytes: hosts that have no bytes take it as a request that is answered 400.
                     ///< Counts up from 0; a host that has n kinds takes the rest by n
};
struct Ask {  ///< write this request on an open connection; it queues behind the connect where that is under
              ///< way
    ClientConnection connection = 0;
    NodeNo node = 0;
    TryId id = 0;
    CallId call = 0;
    int cls = 0, tenant = kNobody;
    std::optional<std::uint64_t> key;
    Duration work{}, wait{};  ///< for the server: X-Props
    Duration patience{};      ///< X-Expires-In
    bool repeat = false, marked = false;
    bool resent = false;  ///< the same try, id and all, on a fresh connection: the node had not read it
};
struct CloseConnection {
    ClientConnection connection = 0;
};
/// For the witness: CallBegan, CallEnded, TryLeft and, for tries that nothing more is heard of, TryLost (see
/// above).
struct ClientsNote {
    Record record;
};
/// Asks for ClientsWoken at this time; given when the time gets earlier or the last one has come. A host may
/// keep the latest of these alone or all of them.
struct WakeClientsAt {
    TimePoint at{};
};
using ClientAction = std::variant<OpenConnection, Ask, CloseConnection, ClientsNote, WakeClientsAt>;
using ClientActions = std::vector<ClientAction>;

/// Connections kept for good (ClientFigures::once), over all nodes; beyond this the oldest is closed.
inline constexpr std::size_t kMostKeptForGood = 16384;
/// A ConnectionFlood opens no more than this many in a second, first ones and renewed ones.
inline constexpr int kFloodOpensPerSecond = 2000;
/// So long a connection stays behind a try that was given up: an answer that comes too late is still heard.
inline constexpr Duration kGivenUpStays{70};
/// A hostile client closes a connection that the node leaves open for this long.
inline constexpr Duration kHostileMost{5000};

class Clients {
public:
    /// `start`: when the day begins, on the clock that events are told by. Keeps a reference to the day. Asks
    /// for its first wake with the first event; a ClientsWoken at any time before `start` will do.
    Clients(const Day& day, TimePoint start, std::uint64_t seed);
    ~Clients();

    void handle(TimePoint now, const ClientEvent& event, ClientActions& actions);
    /// Nothing more will come: all calls are over, no arrival is left and the crowd has stopped (at
    /// Day::length). Connections may still be open, and hostile ones may still come until their faults end.
    bool done() const;
    /// Open or coming up, hostile ones included.
    std::size_t connections() const;
    /// Calls that have begun and are not over.
    std::size_t open_calls() const;
    /// Places for calls and connections that it holds memory for: as many as were ever open together.
    std::size_t places() const;

private:
    class State;
    std::unique_ptr<State> state_;
};

}  // namespace ochrehub::lab
