// Keepers, holders of shards and nodes that ask them, in virtual time: the cores as shipped, on a network
// that loses, delays and cuts. The keepers are one log with a leader that moves, which counts sessions as
// theirs does. The judge looks at what nodes were told, and beside that only at the map that the log agreed
// on and at who was killed.
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

/// Cores, shells or keepers that are wrong in one way, which the judge must find.
enum class Mutant : std::uint8_t {
    None,
    RespondsBeforeBackupAck,          ///< takes its own messages to the second for acknowledged
    BackupStoresNothing,              ///< acknowledges and forgets
    IgnoresSessionExpiry,             ///< goes on answering
    CountsLeaseFromResponse,          ///< its lease, instead of from before it asked
    StaleClockAfterPause,             ///< handles what waited with the time of before
    ReportsCaughtUpEarly,             ///< before the pages are over
    RespondsAfterSteppingDown,        ///< says that it has stopped, and has not
    KeepsSessionAcrossRestart,        ///< comes back empty under its old session
    CoordinatorsExpireSessionsEarly,  ///< after a third of their length
    NewLeaderForgetsLeases,           ///< and lets each session end at once
    CoordinatorsForgetBackup,         ///< put one that is being filled in the first's place
    HidesLoss,                        ///< what is lost is called absent
    RetriesBlindly,                   ///< a node sends a write again of which it was not told
};
inline constexpr int kMutants = 14;  ///< with None
std::string_view name(Mutant mutant);

struct SimulationSettings {
    std::size_t holders = 4, nodes = 3, shards = 8, zones = 2, keys = 24;
    std::uint64_t seed = 1;
    double loss = 0;
    double clocks = 0.005;  ///< clocks are so much fast or slow at most
    Duration lease{3000};
    Duration think{30};       ///< of a node's worker, between answers
    std::size_t workers = 3;  ///< of each node
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
    /// So many events more, as the network counts them.
    void run_events(std::uint64_t count);
    std::uint64_t events() const;
    /// Nobody begins anything from now on.
    void stop_clients() { clients_stopped_ = true; }
    void start_clients() { clients_stopped_ = false; }

    // Faults, by numbers of holders and nodes.
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
    /// Kills the holder that the event with this number reaches, `in` it: what it would have sent is not. Or
    /// stops it behind it.
    enum class AtEvent : std::uint8_t { KillDuring, KillAfter, PauseAfter };
    void at_event(std::uint64_t number, AtEvent what);
    std::optional<std::size_t> faulted_holder() const { return faulted_holder_; }

    const fleet::ShardMap& map() const;
    std::size_t holder_of(fleet::SessionId session) const;  ///< its number; ~0: none that lives
    const fleet::ShardHolder& holder(std::size_t n) const;
    std::size_t holders() const;

    /// Each shard with two holders, in two zones where there are two, and none being filled.
    bool settled() const;

    struct Result {
        std::vector<std::string> violations;  ///< empty: all promises held
        std::uint64_t answered = 0, unknown = 0, unavailable = 0, lost = 0, records = 0, views = 0;
        TimePoint last_answer{};
    };
    Result check() const;
    /// Both holders of each shard have the same, once it is settled and quiet.
    bool copies_equal() const;

    /// One ask by a node; for scripts. `done` is called once.
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
