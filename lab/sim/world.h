// A day in virtual time: emulated clients, nodes, servers, discovery and network on one clock, in one thread.
#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "admission/load_state.h"
#include "lab/model/clients.h"
#include "lab/model/day.h"
#include "lab/model/discovery.h"
#include "lab/model/server.h"
#include "lab/sim/network.h"
#include "lab/sim/node_scheduler.h"
#include "lab/sim/sim_node.h"
#include "lab/sim/tier.h"
#include "lab/sim/virtual_scheduler.h"

namespace ochrehub::lab {

/// What differs from the day as it is drawn: for experiments and for tests that break something.
struct WorldOptions {
    std::function<std::unique_ptr<Meddler>(NodeNo)> meddler;
    std::function<void(Settings&)> settings;  ///< changes what the module is told
    bool bounded_admission = true;            ///< false: nodes let everything in
    bool sheds = true;                        ///< false: nodes read all in its order, however old
    bool fleet = false;  ///< nodes know each other, as by [fleet], and divide by those that are here
    std::function<void(NodeNo, const LoadState::Change&)>
        load_state;  ///< as nodes see it; hears of each change
};

class World {
public:
    static constexpr TimePoint kStart{Duration{1e6}};  ///< when days begin

    /// Keeps references to both.
    World(const Day& day, Witness& witness, WorldOptions options = {});
    ~World();

    /// Plays the day to its end, which is bounded: its length, the longest wait of a client, and 5 s.
    void run();
    TimePoint now() const { return scheduler_.now(); }
    std::uint64_t steps() const { return scheduler_.steps(); }

private:
    struct Link {  // between a node and a server
        std::uint32_t life = 0;
        bool node_open = false, server_open = false, ready = false, server_knows = false;
        NodeNo node = 0;
        std::uint32_t node_life = 0;
        ServerNo server = 0;
        AttemptNo attempt = 0;  // that is out at the server
        TimePoint to_server{}, to_node{};
        std::shared_ptr<const SimMessage> held;  // came before the handshake was done
        Duration held_patience{};
        TimePoint held_sent{};
        bool held_probe = false;
    };
    struct ClientLink {
        NodeNo node = 0;
        std::uint32_t node_life = 0;
        bool up = false, hostile = false;
        bool read = false;         // the node has read what is out on it
        bool answered = false;     // it has carried a whole response
        bool node_closed = false;  // ... or has closed it, which the client has yet to hear
        int noise = -1;
        TimePoint to_node{}, to_client{};
        TryId out = 0;
        std::optional<Ask> queued;
    };
    struct Host {  // of a server
        std::unique_ptr<Server> server;
        Place place;
        TimerId wake = 0;
        bool running = false;
        ServerNo successor = kNobody;     // at the same address, once this one has gone
        std::vector<ConnectionNo> links;  // open at the server
    };
    class NodeHost;

    // Servers.
    void tell_server(ServerNo server, const ServerEvent& event);
    void carry_out(ServerNo server, const ServerAction& action);
    void start_server(ServerNo server, bool warm);
    void stop_server(ServerNo server, ServerState state, bool silent);
    void deliver_request(ConnectionNo number);
    void break_link(ConnectionNo number);

    // Links.
    ConnectionNo open_link(NodeNo node, ServerNo server);
    void syn(ConnectionNo number);
    void send(ConnectionNo number, std::shared_ptr<const SimMessage> message, Duration patience, bool probe);
    void close_link(ConnectionNo number);
    Link* find_link(ConnectionNo number) {
        auto slot = std::uint32_t(number);
        return slot < links_.size() && links_[slot].life == number >> 32 ? &links_[slot] : nullptr;
    }
    void release_link(ConnectionNo number);
    template <class F>
    void to_node(ConnectionNo number, Link& link, F then);

    // Clients.
    void tell_clients(const ClientEvent& event);
    void carry_out(const ClientAction& action);
    void client_up(ClientConnection connection);
    void send_ask(ClientLink& link, const Ask& ask);
    void client_lost(ClientConnection connection, bool node_gone, TimePoint at);
    void reply(NodeNo node, std::uint32_t life, ClientConnection connection, TryId id, const SimReply& reply);
    void close_client(ClientConnection connection);
    /// The node reads the request that is out on this connection.
    void request_read(ClientConnection connection);

    // Discovery.
    void tell_discovery(const DiscoveryEvent& event);
    ListCall ask_list(NodeNo node, std::optional<std::uint64_t> index, Duration wait);

    // Nodes and the timeline.
    void start_node(NodeNo node);
    void kill_node(NodeNo node, NodeState state);
    void stop_node(NodeNo node);
    void end_when_quiet(NodeNo node, std::uint32_t life, TimePoint least, TimePoint most);
    void fault(int number, bool begins);
    void look_at_tier();
    Duration since_begin() const { return scheduler_.now() - begin_; }
    void note(const Record& record) { witness_.note(record); }

    /// Hands something over the network after its delay, not before `not_before`; what is cut off waits till
    /// that is over, as a connection would.
    template <class F>
    TimePoint carry(const Place& from, const Place& to, TimePoint not_before, F then);
    void healed();

    const Day& day_;
    Witness& witness_;
    WorldOptions options_;
    VirtualScheduler scheduler_;
    Network network_;
    Place client_{}, discovery_place_{Place::What::Discovery, 0, 0};
    std::vector<Host> hosts_;
    std::vector<std::unique_ptr<NodeHost>> nodes_;
    std::vector<Link> links_;
    std::vector<std::uint32_t> free_links_;
    boost::unordered_flat_map<ClientConnection, ClientLink> client_links_;
    std::unique_ptr<Clients> clients_;
    std::unique_ptr<Discovery> discovery_;
    struct ListWait {
        NodeNo node = 0;
        std::uint32_t life = 0;
    };
    boost::unordered_flat_map<ListCall, ListWait> list_calls_;
    ListCall list_call_ = 0;
    AttemptNo attempts_ = 0;
    TimerId clients_wake_ = 0, discovery_wake_ = 0;
    struct Held {
        Place from, to;
        Task then;
    };
    std::vector<Held> held_;
    std::vector<ServerActions> spare_server_actions_;
    std::vector<ClientActions> spare_client_actions_;
    std::unique_ptr<Tier> tier_;  // none without `fleet`
    TimePoint begin_{};
    std::vector<int> down_by_;  // of each server, faults that keep its process down
};

}  // namespace ochrehub::lab
