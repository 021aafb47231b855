// A migration in virtual time: keepers (a log in one copy, whose leader moves, with sessions counted as
// machine.h says), holders of shards, owners, nodes that write while it runs, one of them of the release
// before. The judge goes by what the nodes were answered and by what the holders have on their disks at the
// end, never by what an owner says.
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

/// What happens to whoever takes the migration's Nth message (orders, replies, commands and their answers).
struct Fault {
    enum class What : std::uint8_t {
        CrashBefore,  ///< ... without having taken it
        CrashBehind,  ///< ... done, but nothing of what it sends leaves
        Stop,         ///< ... done and said; then it stands still, and goes on where it was
    };
    std::uint64_t at = 0;  ///< from 1 on; 0: none
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
    Duration lease{600}, op{12};  ///< a node does something each so often
    Duration most{20'000};        ///< after which the simulation ends, whatever has come of it
    bool narrows = true;
    std::uint64_t refusals = 1000;
    m::OwnerSettings owner;
    /// A process of the release before: there until `old_stops`, let go again at `old_returns`, both counted
    /// from the start's time on.
    bool old_node = false;
    Duration old_stops{-1}, old_returns{-1};
    bool old_careless = false;             ///< it writes by what it knew, without a look at its lease
    std::size_t octets = ~std::size_t(0);  ///< of a shard's records
    /// What operators do when the migration first gets to a stage; once each.
    std::vector<std::pair<m::Stage, m::wire::Steer>> steers;
    /// By them too: called at each 20 ms.
    std::function<void(class Simulation&)> on_poll;
    bool again = false;  ///< behind a way back, it is begun once more

    // Those who do it wrong, to show that the judge sees it.
    m::Receiver::Convert convert = schema::convert;
    std::function<std::unique_ptr<m::Records>(m::MemoryRecords&)> records;
    /// May change what holders are asked; nothing: it is lost.
    std::function<bool(m::wire::Order&, const m::Receiver&)> order;
    std::function<std::optional<m::wire::Given>(m::wire::Ask&, m::Receiver&, m::Records&)> ask;
    std::function<bool(m::wire::Command&)> command;  ///< to the keepers
    bool charges_again = false;  ///< a node whose answer is lost writes the same once more, on what it finds
};

struct Outcome {
    m::Stage stage = m::Stage::None;
    std::uint32_t stopped = 0;  ///< as on the wire
    std::string about;
    std::vector<std::string> broken;  ///< promises, with what shows it
    std::uint64_t events = 0, messages = 0, acked = 0, refused = 0, old_refused = 0, epochs = 0;
    std::uint32_t old_told = 0;  ///< what the old node was last told by the keepers, as on the wire
    double took_ms = 0;
    Version level = 0;
};

Outcome run(const Settings& settings);

/// Each kind of crash and stop at the Nth message, for N = first, first + step, ...; and for each N a second
/// one at the Mth behind it, for each second_step-th M, the kinds of both by turns.
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
/// For `on_poll`.
m::MigrationStateMachine& machine(Simulation& simulation);
void steer(Simulation& simulation, m::wire::Steer way);
void resume_old_process(Simulation& simulation);
void bound(Simulation& simulation, std::size_t octets);
Duration since_start(const Simulation& simulation);

}  // namespace ochrehub::lab::migration
