// Coordinators, shard holders and nodes that send them requests, in virtual time: the shipped cores on a
// network that loses, delays and cuts messages. The coordinators are one log with a leader that moves and
// that expires sessions as the real one does. The invariant checker uses what the nodes received; besides
// that only the map in the log and which processes were killed.
#pragma once

#include <boost/random/taus88.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/shards/session_records.h"
#include "fleet/shards/shard_client.h"
#include "fleet/shards/shard_holder.h"
#include "lab/shards/history_checker.h"
#include "lab/swarm/net.h"

namespace ochrehub::lab::shards {

namespace fleet = ochrehub::shards;

/// Known faults of the cores, of the code around them or of the coordinators (as in mutation testing), each
/// of which the checker must find.
enum class Mutant : std::uint8_t {
    None,
    RespondsBeforeBackupAck,    ///< counts steps as acknowledged when they are sent to the backup
    BackupStoresNothing,        ///< the backup acknowledges writes and drops them
    IgnoresSessionExpiry,       ///< the primary responds after its session expired
    CountsLeaseFromResponse,    ///< the lease counts from the response instead of from the request
    StaleClockAfterPause,       ///< messages that waited during a pause are handled with the time before it
    ReportsCaughtUpEarly,       ///< a catch-up is reported complete before its pages are
    RespondsAfterSteppingDown,  ///< reports that it stepped down, and goes on serving
    KeepsSessionAcrossRestart,  ///< a restarted holder is empty and keeps its old session
    CoordinatorsExpireSessionsEarly,  ///< after a third of the lease
    NewLeaderForgetsLeases,           ///< and expires sessions at once
    CoordinatorsForgetBackup,         ///< another holder than the backup becomes primary
    HidesLoss,                        ///< lost records are reported as absent
    RetriesBlindly,                   ///< a node retries a write with an unknown outcome
};
inline constexpr int kMutants = 14;  ///< including None
std::string_view name(Mutant mutant);

struct SimulationSettings {
    std::size_t holders = 4, nodes = 3, shards = 8, zones = 2, keys = 24;
    std::uint64_t seed = 1;
    double loss = 0;
    double clocks = 0.005;  ///< max relative rate error of a process's clock
    Duration lease{3000};
    Duration think{30};       ///< mean pause of a node's worker between requests
    std::size_t workers = 3;  ///< per node
    std::size_t page = 4;     ///< records
    Duration deadline{2500};
    Mutant mutant = Mutant::None;
};

class Simulation {
public:
    explicit Simulation(const SimulationSettings& settings);
    ~Simulation();

    using Network = Net<struct Message>;
    TimePoint now() const;
    void run_to(TimePoint at);
    /// Runs `count` more events, as the network counts them.
    void run_events(std::uint64_t count);
    std::uint64_t events() const;
    /// The nodes' workers start no requests from now on.
    void stop_clients() { clients_stopped_ = true; }
    void start_clients() { clients_stopped_ = false; }

    // Faults, by the index of a holder or node.
    void kill(std::size_t holder);
    void start(std::size_t holder);
    void pause(std::size_t holder);
    void resume(std::size_t holder);
    void cut_from_coordinators(std::size_t holder, bool to, bool from);
    void cut(std::size_t from_holder, std::size_t to_holder);
    void cut_node(std::size_t node, std::size_t holder, bool to, bool from);
    void delay(std::size_t from_holder, std::size_t to_holder, Duration most);
    void delay_from_coordinators(std::size_t holder, Duration most);
    void heal();
    void stop_message_loss();
    void move_leader();
    void leave(std::size_t holder);
    std::size_t add_holder();
    bool up(std::size_t holder) const;
    /// Injects a fault into the holder that the event with this number is for. KillDuring: it sends none of
    /// the event's messages.
    enum class AtEvent : std::uint8_t { KillDuring, KillAfter, PauseAfter };
    void at_event(std::uint64_t number, AtEvent what);
    std::optional<std::size_t> faulted_holder() const { return faulted_holder_; }

    const fleet::ShardMap& map() const;
    std::size_t holder_of(
        fleet::SessionId session) const;  ///< its index; ~0: no running holder has the session
    const fleet::ShardHolder& holder(std::size_t n) const;
    std::size_t holders() const;

    /// Each shard has two holders, in two zones if there are two, and no holder is catching up.
    bool settled() const;

    struct Result {
        std::vector<std::string> violations;  ///< empty: all invariants held
        std::uint64_t answered = 0, unknown = 0, unavailable = 0, lost = 0, records = 0, views = 0;
        TimePoint last_answer{};
    };
    Result check() const;
    /// Both holders of each shard have the same records; to check once it is settled and the clients are
    /// stopped.
    bool copies_equal() const;

    /// One request by a node. `done` is called once.
    void ask(std::size_t node, bool writes, const fleet::Write& write,
             std::function<void(const fleet::ShardClient::Completed&)> done);
    fleet::SessionId node_session(std::size_t node) const;
    void kill_node(std::size_t node);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
    bool clients_stopped_ = false;
    std::optional<std::size_t> faulted_holder_;
};

}  // namespace ochrehub::lab::shards
