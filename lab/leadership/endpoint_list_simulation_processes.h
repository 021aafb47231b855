// The processes of EndpointListSimulation: discovery and nodes. Internal to the simulation. Times are a
// process's own clock unless a comment says otherwise.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/leadership/endpoint_list_simulation.h"

namespace ochrehub::lab::leadership {

/// Handles one call at a time; watches wait for a change.
struct EndpointListSimulation::Discovery {
    /// A server as one process was sent it.
    struct Recipient {
        std::size_t process = 0;
        std::string server;
        friend auto operator<=>(const Recipient&, const Recipient&) = default;
    };

    explicit Discovery(EndpointListSimulation& owner) : simulation(owner) {}
    void start(TimePoint own);
    void on_call(TimePoint own, std::size_t from, const Message& m);

    EndpointListSimulation& simulation;
    Timers timers;
    std::map<std::string, std::string> servers;  ///< by id, their phase
    std::map<std::string, TimePoint> drained;    ///< when a server was listed as draining; simulation's clock
    std::map<Recipient, TimePoint> drains_sent;  ///< when a process was sent that; simulation's clock

private:
    struct Call {
        std::size_t from = 0;
        Message message;
        TimePoint received_at{};
    };
    struct ServerChange {
        std::uint64_t revision = 0;
        std::string server;
    };

    void drain(TimePoint own);
    std::optional<std::string> next_to_drain();
    void change(const std::string& server, const std::string& phase);
    void work(TimePoint own);
    void handle(TimePoint own, const Call& call);
    void wait_for_change(const Call& call);
    void fail(const Call& call);
    void respond(const Call& call);
    void record_drains_sent(const Call& call);

    std::uint64_t revision = 1000;
    std::vector<ServerChange> changes;
    std::deque<Call> queue;
    std::vector<Call> watches;
    bool busy = false;
    int next_server = 0;
    int drain_count = 0;
};

struct EndpointListSimulation::Node {
    /// Calls of the node itself have ids above this, those of its publisher below.
    static constexpr std::uint64_t kOwnCalls = 1ull << 32;

    Node(EndpointListSimulation& owner, std::size_t number) : simulation(owner), self(number) {}
    void started(TimePoint now);
    void received(std::size_t from, TimePoint now, const Message& m);
    bool publishes(TimePoint now) const;

    EndpointListSimulation& simulation;
    std::size_t self;
    Timers timers;
    std::map<std::string, TimePoint> last_requests;  ///< to servers that drain; simulation's clock
    bool restarted = false;
    bool hung = false;

private:
    EndpointListMutant mutant() const { return simulation.set_.mutant; }
    void create_cores(TimePoint now);
    void open_session();
    SessionHooks session_hooks();
    void start_timers(TimePoint now);
    std::string forged_update(const std::string& update);
    void send_requests(TimePoint now);

    void handle_lease(TimePoint now, const ochrehub::leadership::LeaseHolderEvent& event);
    void on_lease_timer(TimePoint now);
    void handle_publisher(TimePoint now, const ochrehub::leadership::endpoint_list::PublisherEvent& event);
    void start_watch(TimePoint now, const ochrehub::leadership::endpoint_list::StartWatch& watch);
    void handle_follower(TimePoint now, const ochrehub::leadership::endpoint_list::FollowerEvent& event);
    void set_follower_timer(TimePoint at);
    void use(const ochrehub::leadership::endpoint_list::DiscoveryResult& result);

    void call_discovery(std::uint64_t id, std::uint64_t since_revision, Duration timeout);
    void watch_discovery(TimePoint now);
    void on_call_failed(TimePoint now, const Message& m);
    void on_call_completed(TimePoint now, const Message& m);

    std::unique_ptr<CoordinatorSession> session;
    ochrehub::leadership::LeaseHolder lease_holder;
    ochrehub::leadership::endpoint_list::Publisher publisher;
    std::optional<ochrehub::leadership::endpoint_list::Follower> follower;
    std::optional<ochrehub::leadership::Epoch> epoch;  ///< under which it publishes
    std::map<std::string, std::string> view;           ///< servers by id, their phase
    bool watches_discovery = false;                    ///< by itself
    std::uint64_t own_call = 0;
    std::uint64_t own_revision = 0;  ///< of discovery's last response to itself; zero: none
    std::uint64_t forgeries = 0;
    std::uint64_t starts = 0;
    TimePoint last_lease_timer{-1e9 * Duration{1}};
    std::optional<TimePoint> follower_timer;
};

}  // namespace ochrehub::lab::leadership
