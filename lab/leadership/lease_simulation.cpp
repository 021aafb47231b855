#include "lab/leadership/lease_simulation.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "lab/leadership/lease_simulation_processes.h"
#include "lab/leadership/raft_coordinators.h"

namespace ochrehub::lab::leadership {

namespace core = ochrehub::leadership;

std::string_view name(Mutant mutant) {
    constexpr std::array<std::string_view, kMutants> kNames{"none",
                                                            "epoch not raised",
                                                            "lease from the answer",
                                                            "no fence",
                                                            "effect before it is written",
                                                            "repeats without asking",
                                                            "hands over at work",
                                                            "new leader gives less",
                                                            "ignores its lease",
                                                            "keepers count less",
                                                            "grants before rest",
                                                            "forgets what is retired",
                                                            "retires before the end",
                                                            "next owner asks nothing"};
    return kNames[std::size_t(mutant)];
}

namespace {

constexpr std::string_view kMachine = "duty";  ///< kind of the lease state machine

/// A mutant: grants to the next holder before the old one has stopped.
class EarlyGrantStateMachine : public core::LeaseStateMachine {
public:
    std::string apply(const coordinator::Command& command) override {
        std::string response = LeaseStateMachine::apply(command);
        if (command.session != 0) return response;
        const std::map current(roles().begin(), roles().end());
        for (const auto& [role, state] : current)
            if (state.release_requested)
                LeaseStateMachine::apply(
                    {state.holder, core::release_lease_command(role, state.epoch, true)});
        return response;
    }
};

SimulatedCoordinators::Machines machines(Mutant mutant) {
    SimulatedCoordinators::Machines all;
    if (mutant == Mutant::GrantsBeforeRest)
        all.push_back(std::make_unique<EarlyGrantStateMachine>());
    else
        all.push_back(std::make_unique<core::LeaseStateMachine>());
    return all;
}

std::unique_ptr<Coordinators> make_coordinators(const LeaseSimulationSettings& settings) {
    if (settings.real)
        return std::make_unique<RaftCoordinators>(settings.keepers, settings.seed,
                                                  [mutant = settings.mutant] { return machines(mutant); });
    SimulatedCoordinatorSettings out;
    out.keepers = settings.keepers;
    out.lease = settings.lease;
    if (settings.mutant == Mutant::LeaderGivesLess) out.new_leader_lease_factor = 0.02;
    if (settings.mutant == Mutant::KeepersCountLess) out.lease_factor = 0.4;
    return std::make_unique<SimulatedCoordinators>(out, machines(settings.mutant));
}

}  // namespace

NetSettings LeaseSimulation::net_settings(const LeaseSimulationSettings& settings) {
    NetSettings net;
    net.processes = settings.keepers + settings.holders + settings.receivers;
    net.delay_most = settings.delay_most;
    net.loss = settings.loss;
    net.doubled = settings.doubled;
    net.seed = settings.seed;
    return net;
}

LeaseSimulation::LeaseSimulation(const LeaseSimulationSettings& settings)
    : set_(settings),
      net_(net_settings(settings), {[this](std::size_t process, TimePoint own) { on_timer(process, own); },
                                    [this](std::size_t to, std::size_t from, TimePoint own,
                                           const Message& m) { on_message(to, from, own, m); }}),
      coordinators_(make_coordinators(settings)) {
    coordinators_->attach(net_);
    for (std::size_t i = 0; i < set_.holders; ++i)
        holders_.push_back(std::make_unique<LeaseHolderProcess>(*this, holder(i)));
    for (std::size_t i = 0; i < set_.receivers; ++i)
        receivers_.push_back(std::make_unique<ReceiverProcess>(*this, receiver(i)));
    for (std::size_t i = 0; i < net_.size(); ++i) {
        if (set_.skew_clocks) net_.clock(i, i % 2 ? 1.005 : 0.995);
        if (i < set_.keepers) restart(i);
    }
    while (!coordinators_->leads()) net_.run_to(net_.now() + Duration{10});
    create_jobs();
    for (std::size_t i = set_.keepers; i < net_.size(); ++i) restart(i);
    started_at_ = net_.now();
    events_ = 0;
}
LeaseSimulation::~LeaseSimulation() = default;

void LeaseSimulation::create_jobs() {
    for (std::size_t i = 0; i < set_.jobs; ++i) {
        if (set_.endless) {
            jobs_.push_back("duty" + std::to_string(i));
            continue;
        }
        coordinators_->operate(kMachine, core::create_job_command("job", 0));
        while (coordinators_->answers().empty()) net_.run_to(net_.now() + Duration{10});
        jobs_.push_back(core::decode_command_response(coordinators_->answers().back())->name);
        coordinators_->answers().clear();
    }
}

void LeaseSimulation::restart(std::size_t process) {
    net_.start(process);
    TimePoint own = net_.own(process);
    if (process < set_.keepers)
        coordinators_->started(process, own);
    else if (process < receiver(0))
        holders_[process - holder(0)]->started(own);
    else
        receivers_[process - receiver(0)]->started();
}

void LeaseSimulation::inject_at(std::uint64_t n, Fault fault, Duration duration) {
    planned_faults_.push_back({n, fault, duration});
}

void LeaseSimulation::inject(std::size_t process, Fault fault, Duration duration) {
    if (!net_.up(process)) return;
    if (fault == Fault::Kill) {
        net_.crash(process);
        if (process < set_.keepers) coordinators_->crashed(process);
    }
    if (fault == Fault::Stop) net_.stop(process);
    if (fault == Fault::CutToKeepers)
        for (std::size_t i = 0; i < set_.keepers; ++i)
            if (i != process) net_.cut(process, i);
    active_faults_.push_back({net_.now() + duration, process, fault});
}

void LeaseSimulation::undo(const ActiveFault& fault) {
    if (fault.fault == Fault::Kill && !net_.up(fault.process)) restart(fault.process);
    if (fault.fault == Fault::Stop) net_.go_on(fault.process);
    if (fault.fault == Fault::CutToKeepers)
        for (std::size_t i = 0; i < set_.keepers; ++i) net_.cut(fault.process, i, false);
}

void LeaseSimulation::undo_due_faults() {
    for (std::size_t i = 0; i < active_faults_.size();) {
        if (active_faults_[i].ends_at > net_.now()) {
            ++i;
            continue;
        }
        ActiveFault fault = active_faults_[i];
        active_faults_.erase(active_faults_.begin() + std::ptrdiff_t(i));
        undo(fault);
    }
}

bool LeaseSimulation::inject_planned_fault(std::size_t process) {
    ++events_;
    for (const PlannedFault& planned : planned_faults_) {
        if (planned.event != events_) continue;
        inject(process, planned.fault, planned.duration);
        return planned.fault == Fault::Kill;
    }
    return false;
}

void LeaseSimulation::on_timer(std::size_t process, TimePoint own) {
    if (inject_planned_fault(process)) return;
    if (process < set_.keepers) return coordinators_->woken(process, own);
    Timers& timers = process < receiver(0) ? holders_[process - holder(0)]->timers
                                           : receivers_[process - receiver(0)]->timers;
    timers.run_one(own);
    timers.arm(net_, process);
}

void LeaseSimulation::on_message(std::size_t process, std::size_t from, TimePoint own, const Message& m) {
    if (inject_planned_fault(process)) return;
    if (process < set_.keepers) return coordinators_->received(process, from, own, m);
    if (process < receiver(0)) {
        holders_[process - holder(0)]->received(from, own, m);
        holders_[process - holder(0)]->timers.arm(net_, process);
    } else {
        receivers_[process - receiver(0)]->received(from, own, m);
        receivers_[process - receiver(0)]->timers.arm(net_, process);
    }
}

void LeaseSimulation::run_to(TimePoint at) {
    while (net_.now() < at) {
        net_.run_to(std::min(at, net_.now() + Duration{5}));
        undo_due_faults();
        if (set_.transfer_at && !transferred_ && net_.now() >= started_at_ + *set_.transfer_at) {
            transferred_ = true;
            coordinators_->operate(kMachine, core::transfer_lease_command(jobs_.front()));
        }
    }
}

bool LeaseSimulation::all_jobs_removed() {
    const auto* machine = coordinators_->look(kMachine);
    if (!machine) return false;
    const auto& roles = static_cast<const core::LeaseStateMachine*>(machine)->roles();
    return std::none_of(jobs_.begin(), jobs_.end(),
                        [&](const std::string& job) { return roles.contains(job); });
}

void LeaseSimulation::run(Duration limit) {
    while (net_.now() < started_at_ + limit && !(all_jobs_removed() && active_faults_.empty()))
        run_to(net_.now() + Duration{50});
    if (!all_jobs_removed()) effects_.undone.push_back("a job is not removed");
    for (std::size_t i = 0; i < net_.size(); ++i) {
        net_.go_on(i);
        if (!net_.up(i)) restart(i);
    }
    run_to(net_.now() + Duration{200});
    redeliver_effects();
    record_undone_items();
}

/// Whatever was sent may lie in a socket's buffer and arrive once more, without any process's doing.
void LeaseSimulation::redeliver_effects() {
    const std::size_t rejected = effects_.rejected.size();
    if (set_.redeliver_all_at_end) {
        const std::vector<SentEffect> sent = sent_effects_;
        for (const SentEffect& effect : sent) {
            ReceiverProcess& to = *receivers_[effect.to - receiver(0)];
            to.received(effect.from, net_.own(to.self), effect.message);
            to.timers.arm(net_, to.self);
        }
    }
    run_to(net_.now() + Duration{200});
    effects_.rejected.resize(rejected);  // rejecting these is no fault of their senders
}

void LeaseSimulation::record_undone_items() {
    std::set<ItemKey> accounted;
    for (const auto& one : receivers_) {
        accounted.insert(one->done.begin(), one->done.end());
        accounted.insert(one->interrupted.begin(), one->interrupted.end());
    }
    for (const std::string& job : jobs_)
        for (std::uint64_t item = 1; item <= set_.items; ++item)
            if (!accounted.contains({job, item}))
                effects_.undone.push_back(job + " item " + std::to_string(item));
}

bool LeaseSimulation::is_about_to_send(std::size_t process) const {
    if (process < holder(0) || process >= receiver(0)) return false;
    return holders_[process - holder(0)]->is_about_to_send();
}

std::optional<std::size_t> LeaseSimulation::working_holder() const {
    for (const auto& process : holders_) {
        if (!net_.up(process->self) || net_.stopped(process->self)) continue;
        if (process->holder->current_epoch(net_.own(process->self), jobs_.front())) return process->self;
    }
    return std::nullopt;
}

}  // namespace ochrehub::lab::leadership
