// Simulates a migration in virtual time: coordinators (modeled as one log whose leader changes, with
// sessions), holders of shards, owners, and nodes that write during the migration, one of them of the
// previous release. The invariant checker uses the responses that the nodes received and the holders' storage
// at the end, never an owner's reports.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/schema_migration/migration_state_machine.h"
#include "fleet/schema_migration/owner.h"
#include "fleet/schema_migration/receiver.h"

namespace ochrehub::lab::migration {

namespace m = ochrehub::schema_migration;
using schema::Kind;
using schema::Version;

/// A fault of the process that receives the migration's Nth message (order, reply, command or its response).
struct Fault {
    enum class What : std::uint8_t {
        CrashBefore,  ///< before it handles the message
        CrashBehind,  ///< after it handled the message, but its messages are lost
        Stop,         ///< paused after it handled the message and sent its own, then resumed
    };
    std::uint64_t at = 0;  ///< starting at 1; 0: no fault
    What what = What::CrashBefore;
    Duration length{400};
};

struct Settings {
    Kind kind = Kind::Sessions;
    Version from = 3, to = 4;
    std::uint32_t shards = 16;
    std::size_t groups = 32, holders = 3, owners = 2, nodes = 2;
    std::uint64_t seed = 1;
    double loss = 0, doubled = 0;
    std::vector<Fault> faults;
    Duration lease{600}, op{12};  ///< op: between the operations of a node
    Duration most{20'000};        ///< time limit of the run
    bool narrows = true;
    std::uint64_t refusals = 1000;
    m::OwnerSettings owner;
    /// A process of the previous release: paused at `old_stops` and resumed at `old_returns`, both after the
    /// start of the run. Negative: never.
    bool old_node = false;
    Duration old_stops{-1}, old_returns{-1};
    bool old_careless = false;  ///< it writes with the version it knew, without checking its lease
    std::size_t max_shard_bytes = ~std::size_t(0);  ///< capacity of a shard
    /// Commands of operators when the migration first enters a stage; each is sent once.
    std::vector<std::pair<m::Stage, m::wire::Steer>> steers;
    /// Further actions of operators: called every 20 ms.
    std::function<void(class Simulation&)> on_poll;
    bool again = false;  ///< after it was undone, the migration is started again

    // Mutants, which the invariant checker must detect.
    m::Receiver::Convert convert = schema::convert;
    std::function<std::unique_ptr<m::Records>(m::MemoryRecords&)> records;
    /// May change an order to a holder. False: the order is lost.
    std::function<bool(m::wire::Order&, const m::Receiver&)> order;
    std::function<std::optional<m::wire::Given>(m::wire::Ask&, m::Receiver&, m::Records&)> ask;
    std::function<bool(m::wire::Command&)> command;  ///< to the coordinators
    bool charges_again = false;  ///< a node repeats a write whose response was lost, on the current record
};

struct Outcome {
    m::Stage stage = m::Stage::None;
    std::uint32_t stopped = 0;  ///< an on_wire error
    std::string about;
    std::vector<std::string> broken;  ///< violated invariants, with details
    std::uint64_t events = 0, messages = 0, acked = 0, refused = 0, old_refused = 0, epochs = 0;
    std::uint32_t old_told = 0;  ///< the on_wire error that the coordinators last sent to the old process
    double took_ms = 0;
    Version level = 0;
};

Outcome run(const Settings& settings);

/// Runs with each kind of fault at the Nth message, for N = first, first + step, ...; and for each N runs
/// with a second fault at every second_step-th message after it, alternating the kinds of both.
struct FaultSweep {
    Settings settings;
    std::uint64_t first = 1, step = 1, second_step = 0;  ///< second_step 0: no second fault
    int jobs = 1;
};
struct FaultSweepResult {
    std::uint64_t runs = 0, over = 0, messages = 0, broken = 0, longest = 0;
    std::vector<std::string> first_broken;
};
FaultSweepResult sweep(const FaultSweep& sweep);

class Simulation;
/// For use in `on_poll`.
m::MigrationStateMachine& machine(Simulation& simulation);
void steer(Simulation& simulation, m::wire::Steer way);
void resume_old_process(Simulation& simulation);
void bound(Simulation& simulation, std::size_t max_bytes);
Duration since_start(const Simulation& simulation);

}  // namespace ochrehub::lab::migration
