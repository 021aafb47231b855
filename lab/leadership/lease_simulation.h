// Lease holders, receivers and coordinators in virtual time. Roles are jobs of a number of items, each an
// effect at a receiver. Lease holders are leadership::LeaseHolder as shipped; receivers have
// fencing::FencingGuard as shipped and a disk; faults come from a script, an event's number or a seed. What
// the receivers recorded is checked by invariant_checker.h.
//
// Single-threaded. Every random number comes from the seed.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/leadership/lease_holder.h"
#include "lab/leadership/invariant_checker.h"
#include "lab/leadership/session_clients.h"
#include "lab/leadership/simulated_coordinators.h"

namespace ochrehub::lab::leadership {

/// Known-faulty implementations. The invariant checker must find each, by the fault named beside it.
enum class Mutant {
    None,
    EpochNotRaised,        ///< the next holder acts under the same epoch: any change of holders
    LeaseFromAnswer,       ///< the lease counts from the response: slow responses, then a one-sided cut
    NoFence,               ///< a lease holder paused
    EffectBeforeWritten,   ///< a receiver killed
    RepeatsWithoutAsking,  ///< responses lost
    HandsOverAtWork,       ///< a transfer
    LeaderGivesLess,       ///< the coordinators' leader killed
    IgnoresLease,          ///< a one-sided cut
    KeepersCountLess,      ///< the coordinators end sessions early: a one-sided cut
    GrantsBeforeRest,      ///< a transfer
    ForgetsRetired,        ///< late copies after the job's removal
    RetiresBeforeEnd,      ///< a lease holder paused meanwhile: the next one repeats all of it
    NextAsksNothing,       ///< a lease holder killed: the next one doesn't query the items' outcome
};
std::string_view name(Mutant mutant);
inline constexpr std::size_t kMutants = 14;  ///< with None

struct LeaseSimulationSettings {
    bool real = false;  ///< Raft, replicas and sessions as shipped; else SimulatedCoordinators
    std::size_t keepers = 3;
    std::size_t holders = 3;
    std::size_t receivers = 2;
    std::size_t jobs = 1;
    std::uint64_t items = 20;  ///< of each job
    Duration work_interval{50};
    bool endless = false;  ///< a standing role whose items never end
    Duration lease{3000};
    bool skew_clocks = true;              ///< by 1%, alternately
    std::optional<Duration> transfer_at;  ///< after the start: an operator transfers the first job
    bool redeliver_all_at_end = true;     ///< at the end every effect that was sent arrives once more
    double loss = 0;                      ///< probability per message
    double doubled = 0;                   ///< probability per message
    Duration delay_most{2};
    Duration patience{400};  ///< of sessions, for a response
    std::uint64_t seed = 1;
    Mutant mutant = Mutant::None;
};

enum class Fault { Kill, Stop, CutToKeepers };

class LeaseSimulation {
public:
    explicit LeaseSimulation(const LeaseSimulationSettings& settings);
    ~LeaseSimulation();
    LeaseSimulation(const LeaseSimulation&) = delete;
    LeaseSimulation& operator=(const LeaseSimulation&) = delete;

    std::size_t holder(std::size_t i) const { return set_.keepers + i; }
    std::size_t receiver(std::size_t i) const { return set_.keepers + set_.holders + i; }
    Network& net() { return net_; }
    Coordinators& coordinators() { return *coordinators_; }
    /// When the coordinators had a leader and the other processes were started.
    TimePoint started_at() const { return started_at_; }
    const EffectLog& effects() const { return effects_; }
    std::uint64_t events() const { return events_; }

    /// Injects a fault into the process that event `n` comes to, and undoes it after `duration`. Kill comes
    /// before the event, any other fault after it.
    void inject_at(std::uint64_t n, Fault fault, Duration duration);
    void inject(std::size_t process, Fault fault, Duration duration);
    void restart(std::size_t process);
    /// Runs until all jobs are removed, or for `limit`; then redelivers every effect that was sent.
    void run(Duration limit);
    void run_to(TimePoint at);
    bool all_jobs_removed();
    /// The process that holds the first job and is running. Only for aiming faults.
    std::optional<std::size_t> working_holder() const;
    /// This process has authorized an effect and is about to send it. Only for aiming faults.
    bool is_about_to_send(std::size_t process) const;

private:
    struct LeaseHolderProcess;
    struct ReceiverProcess;
    struct PlannedFault {
        std::uint64_t event = 0;
        Fault fault{};
        Duration duration{};
    };
    struct ActiveFault {
        TimePoint ends_at{};
        std::size_t process = 0;
        Fault fault{};
    };
    struct SentEffect {
        std::size_t from = 0;
        std::size_t to = 0;
        Message message;
    };

    static NetSettings net_settings(const LeaseSimulationSettings& settings);
    void create_jobs();
    void on_timer(std::size_t process, TimePoint own);
    void on_message(std::size_t process, std::size_t from, TimePoint own, const Message& message);
    /// True: the process was killed before it could handle this event.
    bool inject_planned_fault(std::size_t process);
    void undo(const ActiveFault& fault);
    void undo_due_faults();
    void redeliver_effects();
    void record_undone_items();

    LeaseSimulationSettings set_;
    Network net_;
    std::unique_ptr<Coordinators> coordinators_;
    TimePoint started_at_{};
    std::vector<std::string> jobs_;  ///< their names; of standing roles where set_.endless
    std::vector<std::unique_ptr<LeaseHolderProcess>> holders_;
    std::vector<std::unique_ptr<ReceiverProcess>> receivers_;
    std::vector<SentEffect> sent_effects_;
    std::vector<PlannedFault> planned_faults_;
    std::vector<ActiveFault> active_faults_;
    EffectLog effects_;
    std::uint64_t events_ = 0;  ///< since started_at_
    bool transferred_ = false;
};

}  // namespace ochrehub::lab::leadership
