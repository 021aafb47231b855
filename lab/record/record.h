// What clients, servers and discovery of an emulated day did and saw, each from its own side. The one stream
// that the referee, the figures and traces are made from; nothing in it comes from what a node says of
// itself.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "ochrehub/balancer.h"  // Duration and TimePoint alone

namespace ochrehub::lab {

using TryId = std::uint64_t;   ///< one request as a client sent it, X-Trace-Id; never zero, never given twice
using CallId = std::uint64_t;  ///< a client's call over all its tries: the index of its arrival
using AttemptNo = std::uint64_t;  ///< one request as a server received it, given by the world; never zero
using NodeNo = int;               ///< 0, 1, ...
using ServerNo = int;             ///< place in Day::servers: one process life after another keeps it
inline constexpr int kNobody = -1;

/// A call of a client begins: its worth is asked for from here on.
struct CallBegan {
    TimePoint at{};
    CallId call = 0;
    int cls = 0, tenant = kNobody, zone = 0;
    bool over_share = false;  ///< beyond its tenant's share: worth little
    bool honours = true;      ///< its client comes back when it is told to, and not before
};
/// The last byte of a try is written to a connection that the node's machine accepted.
struct TrySent {
    TimePoint at{};
    TryId id = 0;
    CallId call = 0;
    NodeNo node = 0;
    int cls = 0, tenant = kNobody;
    std::optional<std::uint64_t> key;
    TimePoint give_up_at{};  ///< when this client stops waiting
    bool repeat = false;
    bool marked = false;  ///< ... and says so (X-Second-Try)
};
enum class Heard { Served, Refused, Failed };
/// The last byte of a whole answer.
struct TryAnswered {
    TimePoint at{};
    TryId id = 0;
    Heard heard = Heard::Failed;
    int status = 0;
    AttemptNo answer = 0;  ///< served: the attempt that the body names; zero: the body is no server's
    std::optional<Duration> advice;
};
/// The node ended the connection without a whole answer (or its machine was not there any more).
struct TryLost {
    TimePoint at{};
    TryId id = 0;
    bool node_gone = false;  ///< the process had died or its machine was cut off: it owes nothing
};
/// The client closed its connection: it gave up waiting, or left.
struct TryLeft {
    TimePoint at{};
    TryId id = 0;
};
/// The client is done with a call, one way or another.
struct CallEnded {
    TimePoint at{};
    CallId call = 0;
    Heard heard = Heard::Failed;  ///< what the last try came to
};
/// A client opened a connection to a node.
struct ClientConnected {
    TimePoint at{};
    NodeNo node = 0;
    bool hostile = false;
};

/// A server has a request's last byte.
struct AttemptArrived {
    TimePoint at{}, first_byte_at{};
    AttemptNo attempt = 0;
    TryId id = 0;
    ServerNo server = 0;
    NodeNo node = 0;
    Duration expires_in{-1};  ///< as its header says; negative: none
};
enum class Ended {
    Served,    ///< a whole 200, made by the attempt: it ran
    Error,     ///< 500: it may have run
    NeverRan,  ///< turned away with proof
    Spoilt,    ///< answered with what cannot be used: it ran
    Reset,     ///< the server broke the connection: it may have run
    Dropped,   ///< given up by the node before any answer; may have run
};
/// What the server did with an attempt, once for each; none where the server dies or the day ends first.
struct AttemptEnded {
    TimePoint at{};
    AttemptNo attempt = 0;
    Ended how = Ended::Served;
    bool ran = true;  ///< work on it had begun
};
/// The node closed the connection, or ended its sending on it, with this attempt out: it is out no more.
struct AttemptAbandoned {
    TimePoint at{};
    AttemptNo attempt = 0;
};
enum class WorkKind { Request, Probe, Handshake };
/// Work that reached a server, all of it: requests (turned away ones too), probes, new connections.
struct WorkArrived {
    TimePoint at{};
    ServerNo server = 0;
    NodeNo node = 0;
    Duration work{};  ///< on a core of this server's own speed
    WorkKind kind = WorkKind::Request;
};
enum class ServerState { Ready, Draining, Gone, Cold, Warm, FellOver };
/// What is true of a server's process. Cold: it has just started, beside Ready.
struct ServerChanged {
    TimePoint at{};
    ServerNo server = 0;
    ServerState state = ServerState::Ready;
    Duration window{};  ///< FellOver: over which span the work was counted
};
enum class ToldPhase { InService, Terminating, Terminated };
/// Discovery wrote to a node what it holds of a server; of a whole list, one for each entry.
struct Told {
    TimePoint at{};
    NodeNo node = 0;
    ServerNo server = 0;
    ToldPhase phase = ToldPhase::InService;
    TimePoint started{};            ///< zero: long ago
    bool whole_list_began = false;  ///< first entry of a whole list: what the list does not name is gone
};
/// A node's call to discovery came, was answered, or failed. A node without a call for long counts as told.
struct Asked {
    TimePoint at{};
    NodeNo node = 0;
    enum class What { Called, Answered, Failed } what = What::Called;
};
enum class NodeState { Started, Ready, Stopping, Killed, Ended, Reloaded, Stalled, Resumed };
struct NodeChanged {
    TimePoint at{};
    NodeNo node = 0;
    NodeState state = NodeState::Started;
};
/// A fault of the day's timeline began or ended.
struct FaultMark {
    TimePoint at{};
    int fault = 0;  ///< place in Day::faults
    bool began = true;
};

using Record = std::variant<CallBegan, TrySent, TryAnswered, TryLost, TryLeft, CallEnded, ClientConnected,
                            AttemptArrived, AttemptEnded, AttemptAbandoned, WorkArrived, ServerChanged, Told,
                            Asked, NodeChanged, FaultMark>;

/// Takes the records of a day, in the order of their times.
class Witness {
public:
    virtual ~Witness() = default;
    virtual void note(const Record& record) = 0;
};

}  // namespace ochrehub::lab
