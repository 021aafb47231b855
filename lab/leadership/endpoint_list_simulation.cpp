#include "lab/leadership/endpoint_list_simulation.h"

#include <algorithm>
#include <utility>

#include "fleet/leadership/lease_state_machine.h"
#include "lab/leadership/endpoint_list_simulation_processes.h"
#include "lab/leadership/raft_coordinators.h"

namespace ochrehub::lab::leadership {

namespace core = ochrehub::leadership;

namespace {

constexpr Duration kInFlight{3};  ///< a message that was sent within this time may not have arrived

SimulatedCoordinators::Machines machines() {
    SimulatedCoordinators::Machines all;
    all.push_back(std::make_unique<core::LeaseStateMachine>());
    all.push_back(std::make_unique<core::endpoint_list::StateMachine>());
    return all;
}

std::unique_ptr<Coordinators> make_coordinators(const EndpointListSimulationSettings& settings) {
    if (settings.real) return std::make_unique<RaftCoordinators>(settings.keepers, settings.seed, machines);
    SimulatedCoordinatorSettings out;
    out.keepers = settings.keepers;
    return std::make_unique<SimulatedCoordinators>(out, machines());
}

}  // namespace

NetSettings EndpointListSimulation::net_settings(const EndpointListSimulationSettings& settings) {
    NetSettings net;
    net.processes = settings.keepers + settings.nodes + 1;
    net.seed = settings.seed;
    net.in_order = true;
    return net;
}

EndpointListSimulation::EndpointListSimulation(const EndpointListSimulationSettings& settings)
    : set_(settings),
      net_(net_settings(settings), {[this](std::size_t process, TimePoint own) { on_timer(process, own); },
                                    [this](std::size_t to, std::size_t from, TimePoint own,
                                           const Message& m) { on_message(to, from, own, m); }}),
      coordinators_(make_coordinators(settings)),
      discovery_(std::make_unique<Discovery>(*this)) {
    coordinators_->attach(net_);
    discovery_->start(net_.own(discovery()));
    discovery_->timers.arm(net_, discovery());
    for (std::size_t i = 0; i < net_.size(); ++i) {
        if (i != discovery()) net_.clock(i, i % 2 ? 1.005 : 0.995);
        if (i < set_.keepers) coordinators_->started(i, net_.own(i));
    }
    for (std::size_t i = 0; i < set_.nodes; ++i) {
        nodes_.push_back(std::make_unique<Node>(*this, set_.keepers + i));
        nodes_.back()->started(net_.own(set_.keepers + i));
    }
}
EndpointListSimulation::~EndpointListSimulation() = default;

void EndpointListSimulation::on_timer(std::size_t process, TimePoint own) {
    count_event();
    if (!net_.up(process)) return;
    if (process < set_.keepers) return coordinators_->woken(process, own);
    Timers& timers = process == discovery() ? discovery_->timers : node(process).timers;
    timers.run_one(own);
    timers.arm(net_, process);
}

void EndpointListSimulation::on_message(std::size_t to, std::size_t from, TimePoint own, const Message& m) {
    count_event();
    if (!net_.up(to)) return;
    if (to < set_.keepers) return coordinators_->received(to, from, own, m);
    if (to == discovery()) {
        discovery_->on_call(own, from, m);
        discovery_->timers.arm(net_, to);
    } else {
        node(to).received(from, own, m);
        node(to).timers.arm(net_, to);
    }
}

void EndpointListSimulation::count_event() {
    ++events_;
    for (const PlannedFault& planned : planned_faults_)
        if (planned.event == events_) inject(planned.fault, planned.duration);
}

void EndpointListSimulation::inject_at(std::uint64_t n, PublisherFault fault, Duration duration) {
    planned_faults_.push_back({n, fault, duration});
}

std::optional<std::size_t> EndpointListSimulation::publisher() const {
    for (const auto& node : nodes_)
        if (net_.up(node->self) && !net_.stopped(node->self) && node->publishes(net_.own(node->self)))
            return node->self;
    return std::nullopt;
}

void EndpointListSimulation::inject(PublisherFault fault, Duration duration) {
    if (fault == PublisherFault::KeepersGone || fault == PublisherFault::KeepersAndBack) {
        for (std::size_t i = 0; i < set_.keepers; ++i) {
            net_.crash(i);
            coordinators_->crashed(i);
        }
        active_faults_.push_back({net_.now() + duration, 0, fault});
        return;
    }
    auto process = publisher();
    if (!process) return;
    inject_into(*process, fault);
    active_faults_.push_back({net_.now() + duration, *process, fault});
    if (fault == PublisherFault::Kill || fault == PublisherFault::Stop)
        excused_until_[*process] = net_.now() + duration;
}

void EndpointListSimulation::inject_into(std::size_t process, PublisherFault fault) {
    if (fault == PublisherFault::Kill) net_.crash(process);
    if (fault == PublisherFault::Stop) net_.stop(process);
    if (fault == PublisherFault::Hang) {
        node(process).hung = true;
        // What is in flight will not be read.
        std::erase_if(discovery_->drains_sent, [&](const auto& sent) {
            return sent.first.process == process && sent.second > net_.now() - kInFlight;
        });
    }
    for (std::size_t i = 0; i < set_.keepers; ++i) {
        if (fault == PublisherFault::CutToKeepers) net_.cut(process, i);
        if (fault == PublisherFault::CutFromKeepers) net_.cut(i, process);
    }
    if (fault == PublisherFault::CutToDiscovery) net_.cut(process, discovery());
    if (fault == PublisherFault::CutFromDiscovery) net_.cut(discovery(), process);
}

void EndpointListSimulation::undo(const ActiveFault& fault) {
    const std::size_t process = fault.process;
    if (fault.fault == PublisherFault::KeepersAndBack)
        for (std::size_t i = 0; i < set_.keepers; ++i) {
            net_.start(i);
            coordinators_->started(i, net_.own(i));
        }
    if (fault.fault == PublisherFault::Kill) {
        net_.start(process);
        // What the killed process had read is lost.
        std::erase_if(discovery_->drains_sent,
                      [&](const auto& sent) { return sent.first.process == process; });
        node(process).restarted = true;
        node(process).started(net_.own(process));
    }
    if (fault.fault == PublisherFault::Hang) node(process).hung = false;
    if (fault.fault == PublisherFault::Stop) net_.go_on(process);
    for (std::size_t i = 0; i < set_.keepers && fault.fault != PublisherFault::KeepersGone; ++i) {
        net_.cut(process, i, false);
        net_.cut(i, process, false);
    }
    net_.cut(process, discovery(), false);
    net_.cut(discovery(), process, false);
}

void EndpointListSimulation::undo_due_faults() {
    for (std::size_t i = 0; i < active_faults_.size();) {
        if (active_faults_[i].ends_at > net_.now()) {
            ++i;
            continue;
        }
        const ActiveFault fault = active_faults_[i];
        active_faults_.erase(active_faults_.begin() + std::ptrdiff_t(i));
        undo(fault);
    }
}

void EndpointListSimulation::run_to(TimePoint at) {
    while (net_.now() < at) {
        net_.run_to(std::min(at, net_.now() + Duration{20}));
        undo_due_faults();
    }
}

/// Until when a node may send requests to a server that was listed as draining at `listed`.
TimePoint EndpointListSimulation::last_request_limit(const Node& node, const std::string& server,
                                                     TimePoint listed) const {
    auto excused = excused_until_.find(node.self);
    // A node that was paused or killed is held to it from when it went on.
    const TimePoint from = excused == excused_until_.end() ? listed : std::max(listed, excused->second);
    const TimePoint limit = from + set_.poll_limit + set_.known_limit;
    auto sent = discovery_->drains_sent.find({node.self, server});
    if (sent == discovery_->drains_sent.end()) return limit;
    const TimePoint known =
        excused == excused_until_.end() ? sent->second : std::max(sent->second, excused->second);
    return std::min(limit, known + set_.known_limit);
}

EndpointListOutcome EndpointListSimulation::outcome() {
    EndpointListOutcome out = outcome_;
    out.seconds = net_.now().time_since_epoch().count() / 1000;
    for (const auto& [server, listed] : discovery_->drained) {
        ++out.drains;
        for (const auto& node : nodes_) {
            auto last = node->last_requests.find(server);
            if (last == node->last_requests.end()) {
                out.known_after.push_back(Duration{0});
                continue;
            }
            out.known_after.push_back(last->second - listed);
            const TimePoint limit = last_request_limit(*node, server, listed);
            if (last->second <= limit) continue;
            out.violations.push_back(server + " was sent requests by " + std::to_string(node->self) +
                                     " for " + std::to_string(int((last->second - listed).count())) +
                                     " ms, " + std::to_string(int((last->second - limit).count())) +
                                     " ms beyond the limit");
        }
    }
    std::sort(out.known_after.begin(), out.known_after.end());
    return out;
}

}  // namespace ochrehub::lab::leadership
