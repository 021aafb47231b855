#include "lab/coordinator/simulation.h"

#include <algorithm>

#include "lab/coordinator/simulation_state.h"

namespace ochrehub::lab {
namespace {

/// No run has as many.
constexpr std::uint64_t kMaxEvents = 3'000'000;
/// Rates of the processes' clocks, in terms of the simulation's.
constexpr double kMinClockRate = 0.995;
constexpr double kClockRateRange = 0.01;

}  // namespace

CoordinatorSimulation::CoordinatorSimulation(const CoordinatorSimulationSettings& settings)
    : settings_(settings),
      checker_([this](std::size_t process) { return net_.own(process); }),
      net_({settings.coordinators + settings.clients, Duration{0.2}, Duration{2}, 0, 0, true, settings.seed},
           {[this](std::size_t process, TimePoint own) { on_timer(process, own); },
            [this](std::size_t to, std::size_t from, TimePoint own, const Packet& packet) {
                on_packet(to, from, own, packet);
            }}),
      coordinators_(settings.coordinators),
      clients_(settings.clients) {
    for (std::size_t i = 0; i < settings.coordinators; ++i)
        members_.push_back({raft::NodeId(i + 1), true, process_name('k', i + 1)});
    for (std::size_t i = 0; i < net_.size(); ++i) {
        // Slow, exact or fast
        const double rate = settings_.no_random_faults
                                ? 1
                                : kMinClockRate + kClockRateRange * std::size_t(net_.uniform() * 3) / 2;
        net_.clock(i, rate);
    }
}

CoordinatorSimulationResult CoordinatorSimulation::run() {
    for (std::size_t i = 0; i < coordinators_.size(); ++i) {
        coordinators_[i].disk.durable.initial_members = members_;
        start_coordinator(i);
    }
    for (std::size_t i = 0; i < clients_.size(); ++i) start_client(i);
    heal_links();
    run_faults();
    settle();
    return result();
}

void CoordinatorSimulation::run_faults() {
    const TimePoint end = net_.now() + settings_.fault_phase;
    TimePoint next_fault = net_.now() + Duration{1500};
    while (net_.now() < end && result_.events < kMaxEvents && checker_.violations().empty()) {
        run_planned_crash();
        if (!settings_.no_random_faults && net_.now() >= next_fault) {
            inject_fault();
            next_fault = net_.now() + Duration{100 + 900 * net_.uniform()};
        }
        if (!settings_.no_random_faults) end_faults_due();
        if (!net_.step()) return;
    }
}

void CoordinatorSimulation::run_planned_crash() {
    if (settings_.crash_at_event == 0) return;
    if (!planned_crash_done_ && net_.happened() >= settings_.crash_at_event) {
        planned_crash_done_ = true;
        crash_coordinator(settings_.crashed_coordinator, false);
        planned_restart_at_ = net_.now() + Duration{1000};
    }
    if (planned_restart_at_ && net_.now() >= *planned_restart_at_) {
        planned_restart_at_.reset();
        restart_coordinator(settings_.crashed_coordinator);
    }
}

void CoordinatorSimulation::settle() {
    if (!checker_.violations().empty()) return;
    net_.heal();
    net_.loss(0);
    net_.doubled(0);
    for (std::size_t i = 0; i < coordinators_.size(); ++i) {
        if (!net_.up(i)) restart_coordinator(i);
        net_.go_on(i);
    }
    for (std::size_t i = 0; i < clients_.size(); ++i) {
        if (!net_.up(process_of(i))) {
            net_.start(process_of(i));
            start_client(i);
        }
        net_.go_on(process_of(i));
    }
    net_.run_to(net_.now() + settings_.settle_phase * 0.7);
    is_last_phase_ = true;
    net_.run_to(net_.now() + settings_.settle_phase * 0.3);
    check_served();
}

void CoordinatorSimulation::check_served() {
    for (std::size_t i = 0; i < clients_.size(); ++i) {
        const std::string client = "client " + std::to_string(i);
        if (clients_[i].session_id == 0) checker_.violated(client + " has no session after all faults ended");
        if (!clients_[i].served_at_end)
            checker_.violated(client + " received no response after all faults ended");
    }
    for (std::size_t i = 0; i < coordinators_.size(); ++i)
        if (!coordinators_[i].disk.durable.trusted)
            checker_.violated("coordinator " + std::to_string(i + 1) +
                              " is not trusted after all faults ended");
}

CoordinatorSimulationResult CoordinatorSimulation::result() {
    if (checker_.violations().empty()) checker_.check_history();
    result_.violations = checker_.violations();
    result_.sessions_ended = checker_.sessions_ended();
    result_.timeouts_expired = checker_.timeouts_expired();
    result_.events = net_.happened();
    return result_;
}

void CoordinatorSimulation::on_timer(std::size_t process, TimePoint own) {
    if (is_client(process))
        client_timer(client_of(process), own);
    else
        coordinator_timer(process, own);
}

void CoordinatorSimulation::on_packet(std::size_t to, std::size_t from, TimePoint own, const Packet& packet) {
    ++result_.events;
    if (is_client(to))
        client_packet(client_of(to), from, own, packet);
    else
        coordinator_packet(to, from, own, packet);
}

/// Later than the present moment: otherwise the rounding of two clocks could fire a timer early for ever.
void CoordinatorSimulation::set_timer(std::size_t process, TimePoint own) {
    net_.wake_at(process, std::max(own, net_.own(process) + Duration{1e-6}));
}

CoordinatorSimulationResult run(const CoordinatorSimulationSettings& settings) {
    return CoordinatorSimulation(settings).run();
}

}  // namespace ochrehub::lab
