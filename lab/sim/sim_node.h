// A process of the emulated tier and what it is given of its world. Times, messages and files reach it
// through these seams alone, so that whatever runs in a node (forwarders, planners) can be hosted beside it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/scheduler.h"
#include "engine/types.h"
#include "lab/model/clients.h"
#include "lab/model/day.h"
#include "lab/model/discovery.h"
#include "lab/model/server.h"

namespace ochrehub::lab {

/// A request as it goes from client to node to server.
struct SimMessage : Message {
    TryId id = 0;
    CallId call = 0;
    int cls = 0;
    std::optional<std::uint64_t> key;
    Duration work{}, wait{};
    TimePoint give_up_at{};  ///< as the node reckons it
};
/// A server's answer on its way back.
struct SimAnswer : Message {
    AttemptNo attempt = 0;
};

/// What came back on a connection to a server.
struct LinkAnswer {
    ConnectionNo connection = 0;
    AttemptNo attempt = 0;
    float queue = -1;  ///< of its load report; negative: none
    Ended how = Ended::Served;
    std::uint8_t spoilt = 0;
    bool healthy = true;
};

/// A node's answer to a client.
struct SimReply {
    Heard heard = Heard::Failed;
    int status = 0;
    AttemptNo answer = 0;
    Duration advice{0};
    bool closes = false;
};

/// The world as one node reaches it. All of it is for the node that runs just now.
class NodeWorld {
public:
    virtual ~NodeWorld() = default;

    // To servers. A connection is Connecting until link_up or link_refused; one that never comes up says
    // nothing.
    virtual ConnectionNo connect(ServerNo server) = 0;
    virtual void send(ConnectionNo connection, std::shared_ptr<const SimMessage> message,
                      Duration patience) = 0;
    virtual void send_probe(ConnectionNo connection) = 0;
    virtual void close(ConnectionNo connection) = 0;

    // To clients.
    virtual void reply(ClientConnection connection, TryId id, const SimReply& reply) = 0;
    virtual void close_client(ClientConnection connection) = 0;
    /// A request has arrived on this connection and lies unread in its socket.
    virtual bool has_unread_request(ClientConnection connection) const = 0;

    // To discovery.
    virtual ListCall ask_list(std::optional<std::uint64_t> index, Duration wait) = 0;
    virtual void drop_list_call(ListCall call) = 0;
};

/// Each call comes with the node's scheduler entered (NodeScheduler::enter).
class SimNode {
public:
    virtual ~SimNode() = default;

    virtual void client_opened(ClientConnection connection) = 0;
    virtual void client_asked(const Ask& ask) = 0;
    virtual void sharers(int, int) {}  ///< by how many nodes it divides, and which it is: [fleet]
    virtual void client_noise(ClientConnection connection) = 0;  ///< bytes that cannot be read
    virtual void client_closed(ClientConnection connection) = 0;

    virtual void link_up(ConnectionNo connection) = 0;
    virtual void link_refused(ConnectionNo connection) = 0;
    virtual void link_answer(const LinkAnswer& answer) = 0;
    virtual void link_broken(ConnectionNo connection) = 0;

    virtual void listed(ListCall call, const ListOut& list) = 0;
    virtual void list_failed(ListCall call) = 0;

    /// SIGTERM: from now on each answer closes its connection.
    virtual void drain() = 0;
    /// Nothing is under way.
    virtual bool quiet() const = 0;
    /// SIGHUP; `moved`: discovery is at another address.
    virtual void reload(bool moved) = 0;
};

/// What a test puts into a node to break a promise on purpose. Every call happens inside the node; `hands`
/// does what no sound node would.
class Meddler {
public:
    struct Hands {
        Scheduler* scheduler = nullptr;
        /// Sends a request to this server, whatever engine and module think of it.
        std::function<void(ServerNo, std::shared_ptr<const SimMessage>)> send;
        /// Opens a connection and keeps it, for a request later: one that drains takes no new connections.
        std::function<ConnectionNo(ServerNo)> open;
        std::function<void(ConnectionNo, std::shared_ptr<const SimMessage>)> send_on;
        /// Writes an answer on a client's connection.
        std::function<void(ClientConnection, TryId, const SimReply&)> reply;
    };

    virtual ~Meddler() = default;
    virtual void started(const Hands&, const SimMessage&, ServerNo) {}
    virtual void ended(const Hands&, const SimMessage&, ServerNo, Outcome) {}
    /// May change the reply. False: it is not sent.
    virtual bool replying(const Hands&, ClientConnection, const SimMessage&, SimReply&) { return true; }
    virtual void told(const Hands&, ServerNo, ToldPhase) {}
};

}  // namespace ochrehub::lab
