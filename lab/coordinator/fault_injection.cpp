#include <algorithm>

#include "lab/coordinator/simulation_state.h"

namespace ochrehub::lab {

std::size_t CoordinatorSimulation::random_index(std::size_t count) {
    return std::min(count - 1, std::size_t(net_.uniform() * double(count)));
}

Duration CoordinatorSimulation::random_duration(double min_ms, double max_ms) {
    return Duration{min_ms + (max_ms - min_ms) * net_.uniform()};
}

std::size_t CoordinatorSimulation::leader_or_random() {
    for (std::size_t i = 0; i < coordinators_.size(); ++i)
        if (coordinators_[i].raft && coordinators_[i].raft->role() == raft::Role::Leader) return i;
    return random_index(coordinators_.size());
}

void CoordinatorSimulation::inject_fault() {
    const double choice = net_.uniform();
    const bool affects_links = choice >= 0.5;
    if (affects_links && heal_at_ == TimePoint::max()) heal_at_ = net_.now() + random_duration(200, 3000);
    const std::size_t coordinator =
        net_.uniform() < 0.5 ? leader_or_random() : random_index(coordinators_.size());
    const std::size_t client = random_index(clients_.size());
    const std::size_t client_process = process_of(client);
    if (choice < 0.16) {
        crash_randomly(coordinator);
    } else if (choice < 0.32) {
        if (!is_running(coordinator)) return;
        net_.stop(coordinator);
        coordinators_[coordinator].resume_at = net_.now() + random_duration(100, 5000);
    } else if (choice < 0.44) {
        if (!is_running(client_process)) return;
        net_.stop(client_process);
        clients_[client].resume_at = net_.now() + random_duration(100, 6000);
    } else if (choice < 0.5) {
        if (!net_.up(client_process)) return;
        crash_client(client);
        clients_[client].restart_at = net_.now() + random_duration(10, 1500);
    } else if (choice < 0.7) {
        cut_randomly(coordinator);
    } else if (choice < 0.78) {
        const std::size_t other = random_index(net_.size());
        if (other == coordinator) return;
        net_.cut(coordinator, other);
        net_.cut(other, coordinator);
    } else if (choice < 0.84) {
        net_.loss(0.3 * net_.uniform());
        net_.doubled(0.2 * net_.uniform());
    } else if (choice < 0.9) {
        delay_randomly(coordinator, client);
    } else {
        heal_links();
        net_.loss(0);
        net_.doubled(0);
    }
}

/// With its disk at times, if no other coordinator's data is lost.
void CoordinatorSimulation::crash_randomly(std::size_t coordinator) {
    if (!net_.up(coordinator)) return;
    const bool all_trusted = std::all_of(coordinators_.begin(), coordinators_.end(),
                                         [](const Coordinator& one) { return one.disk.durable.trusted; });
    crash_coordinator(coordinator, all_trusted && net_.uniform() < 0.12);
    const bool is_short = net_.uniform() < 0.3;
    coordinators_[coordinator].restart_at =
        net_.now() + (is_short ? random_duration(2, 60) : random_duration(60, 2500));
}

/// One way: what a coordinator sends, or what is sent to it, is lost.
void CoordinatorSimulation::cut_randomly(std::size_t coordinator) {
    const bool outgoing = net_.uniform() < 0.5;
    const bool clients_too = net_.uniform() < 0.5;
    const std::size_t count = clients_too ? net_.size() : coordinators_.size();
    for (std::size_t i = 0; i < count; ++i) {
        if (i == coordinator) continue;
        if (outgoing)
            net_.cut(coordinator, i);
        else
            net_.cut(i, coordinator);
    }
}

/// A short delay does not make a client look for another coordinator; a paused client meets it later.
void CoordinatorSimulation::delay_randomly(std::size_t coordinator, std::size_t client) {
    const bool is_short = net_.uniform() < 0.6;
    for (std::size_t i = 0; i < net_.size(); ++i)
        if (i != coordinator)
            net_.delay(coordinator, i, is_short ? random_duration(100, 300) : random_duration(0, 1200));
    if (is_short && is_running(process_of(client)) && net_.uniform() < 0.5)
        pause_client_at_ = net_.now() + random_duration(500, 2000);
}

void CoordinatorSimulation::heal_links() {
    net_.heal();
    if (settings_.max_response_delay <= Duration{0}) return;
    for (std::size_t i = 0; i < coordinators_.size(); ++i)
        for (std::size_t k = 0; k < clients_.size(); ++k)
            net_.delay(i, process_of(k), settings_.max_response_delay);
}

void CoordinatorSimulation::end_faults_due() {
    if (net_.now() >= heal_at_) {
        heal_at_ = TimePoint::max();
        heal_links();
    }
    if (net_.now() >= pause_client_at_) {
        pause_client_at_ = TimePoint::max();
        const std::size_t client = random_index(clients_.size());
        if (is_running(process_of(client))) {
            net_.stop(process_of(client));
            clients_[client].resume_at = net_.now() + random_duration(2500, 5000);
        }
    }
    for (std::size_t i = 0; i < coordinators_.size(); ++i) {
        if (coordinators_[i].restart_at <= net_.now()) restart_coordinator(i);
        if (coordinators_[i].resume_at > net_.now()) continue;
        coordinators_[i].resume_at = TimePoint::max();
        net_.go_on(i);
    }
    for (std::size_t i = 0; i < clients_.size(); ++i) {
        if (clients_[i].restart_at <= net_.now()) {
            clients_[i].restart_at = TimePoint::max();
            net_.start(process_of(i));
            start_client(i);
        }
        if (clients_[i].resume_at > net_.now()) continue;
        clients_[i].resume_at = TimePoint::max();
        net_.go_on(process_of(i));
    }
}

}  // namespace ochrehub::lab
