#include <coordinator.pb.h>

#include <algorithm>
#include <functional>

#include "lab/coordinator/list_state_machine.h"
#include "lab/coordinator/simulation_state.h"
#include "lab/record/decision_recorder.h"

namespace ochrehub::lab {
namespace {

namespace wire = coordinator::wire;

constexpr Duration kElectionTimeout{400};
constexpr Duration kHeartbeatInterval{60};
/// Small enough that a snapshot is sent in several messages.
constexpr std::size_t kSnapshotChunkBytes = 300;
/// Added to every write by the mutant WriteReportedEarly.
constexpr Duration kEarlyReport{250};
/// A response's connection is the client's instance times this, plus its process; processes are fewer.
constexpr std::uint64_t kConnectionsPerInstance = 64;

}  // namespace

void CoordinatorSimulation::start_coordinator(std::size_t index) {
    Coordinator& node = coordinators_[index];
    raft::Settings raft_settings;
    raft_settings.self = raft::NodeId(index + 1);
    raft_settings.heartbeat_interval = kHeartbeatInterval;
    raft_settings.election_timeout = kElectionTimeout;
    raft_settings.snapshot_chunk_bytes = kSnapshotChunkBytes;
    coordinator::ReplicaSettings settings;
    settings.self = raft_settings.self;
    settings.snapshot_entries = settings_.snapshot_entries;
    ++node.starts;
    const std::uint64_t seed = settings_.seed * 1000 + index * 100 + node.starts;
    node.raft = std::make_unique<raft::Raft>(raft_settings, node.disk.durable, seed);
    node.false_leadership_reported = false;
    node.replica = std::make_unique<coordinator::Replica>(
        settings,
        [this, index] {
            coordinator::StateMachines machines;
            machines.push_back(std::make_unique<ListStateMachine>(checker_, index));
            return machines;
        },
        [this, index](TimePoint now, const raft::Event& event, raft::Actions& actions) {
            handle_raft(index, now, event, actions);
        },
        node.disk.durable);
    handle(index, net_.own(index), coordinator::TimerFired{});
}

void CoordinatorSimulation::restart_coordinator(std::size_t index) {
    net_.start(index);
    coordinators_[index].restart_at = TimePoint::max();
    start_coordinator(index);
}

void CoordinatorSimulation::crash_coordinator(std::size_t index, bool loses_disk) {
    Coordinator& node = coordinators_[index];
    for (std::size_t i = 0; i < clients_.size(); ++i)
        if (net_.uniform() < 0.5) net_.send(index, process_of(i), {Packet::Kind::Disconnect, 0, {}});
    net_.crash(index);
    // Any number of the pending writes may have become durable.
    SimulatedDisk& disk = node.disk;
    const auto durable = std::size_t(net_.uniform() * double(disk.pending.size() + 1));
    for (std::size_t i = 0; i < durable && i < disk.pending.size(); ++i) disk.apply(disk.pending[i].write);
    disk.pending.clear();
    node.replica.reset();
    node.raft.reset();
    node.timer = TimePoint::max();
    if (!loses_disk) return;
    disk.durable = {};
    disk.durable.initial_members = members_;
    disk.durable.trusted = false;
}

/// Raft, with the mutants that stand between it and the replica.
void CoordinatorSimulation::handle_raft(std::size_t index, TimePoint now, const raft::Event& event,
                                        raft::Actions& actions) {
    raft::Raft& raft = *coordinators_[index].raft;
    const auto* read = std::get_if<raft::ReadIndex>(&event);
    if (read && is(CoordinatorMutant::ReadUnconfirmed)) {
        actions.emplace_back(raft::ReadReady{read->id, 0});
        return;
    }
    const auto* propose = std::get_if<raft::Propose>(&event);
    if (propose && is(CoordinatorMutant::AppliedTwice)) {
        wire::LogEntry entry;
        entry.ParseFromString(propose->data);
        if (entry.has_command()) entry.mutable_command()->set_session(0);
        return raft.handle(now, raft::Propose{propose->id, entry.SerializeAsString()}, actions);
    }
    if (const auto* taken = std::get_if<raft::SnapshotTaken>(&event)) {
        ++result_.snapshots;
        return raft.handle(now, raft::SnapshotTaken{taken->index, mutated_snapshot(taken->state)}, actions);
    }
    if (is(CoordinatorMutant::OldDeadlines))
        return handle_raft_with_old_deadlines(index, now, event, actions);
    raft.handle(now, event, actions);
}

/// Reports leadership once, at the start, so that deadlines are counted from then on.
void CoordinatorSimulation::handle_raft_with_old_deadlines(std::size_t index, TimePoint now,
                                                           const raft::Event& event, raft::Actions& actions) {
    Coordinator& node = coordinators_[index];
    if (!std::exchange(node.false_leadership_reported, true))
        actions.push_back(raft::RoleChanged{raft::Role::Leader, 1, 0});
    raft::Actions all;
    node.raft->handle(now, event, all);
    for (raft::Action& action : all)
        if (!std::holds_alternative<raft::RoleChanged>(action)) actions.push_back(std::move(action));
}

std::string CoordinatorSimulation::mutated_snapshot(const std::string& bytes) const {
    wire::ReplicatedState state;
    state.ParseFromString(bytes);
    if (is(CoordinatorMutant::SnapshotNoSessions)) state.clear_sessions();
    if (is(CoordinatorMutant::SnapshotNoSequences))
        for (auto& session : *state.mutable_sessions()) {
            session.set_last_sequence(0);
            session.clear_cached_responses();
        }
    if (is(CoordinatorMutant::SnapshotNoMachines)) state.mutable_state_machines(0)->set_bytes("0 0 0");
    return state.SerializeAsString();
}

void CoordinatorSimulation::handle(std::size_t index, TimePoint own, const coordinator::ReplicaEvent& event) {
    Coordinator& node = coordinators_[index];
    const std::uint64_t applied_before = node.replica->applied();
    const std::uint64_t starts = node.starts;
    const double clock_rate = is(CoordinatorMutant::FastLeader) ? 2 : 1;
    coordinator::ReplicaActions actions;
    node.replica->handle(TimePoint{own.time_since_epoch() * clock_rate}, event, actions);
    record_decision("replica", own, event, actions);
    std::optional<std::uint64_t> reported_early;
    for (coordinator::ReplicaAction& action : actions) {
        if (auto* send = std::get_if<raft::SendMessage>(&action)) {
            net_.send(index, send->to - 1, {Packet::Kind::Raft, 0, raft::encode(send->message)});
        } else if (auto* write = std::get_if<raft::Write>(&action)) {
            if (is(CoordinatorMutant::WriteReportedEarly)) reported_early = write->number;
            queue_write(node, own, std::move(*write));
        } else if (const auto* response = std::get_if<coordinator::SendResponse>(&action)) {
            send_response(index, *response);
        } else if (const auto* timer = std::get_if<raft::SetTimer>(&action)) {
            node.timer = TimePoint{timer->at.time_since_epoch() / clock_rate};
        } else if (const auto* became = std::get_if<raft::RoleChanged>(&action)) {
            if (became->role == raft::Role::Leader) ++result_.leaders;
        } else if (const auto* stop = std::get_if<coordinator::Stop>(&action)) {
            checker_.violated("coordinator " + std::to_string(index + 1) + " stopped at " + stop->about);
        }
    }
    const coordinator::Replica& replica = *node.replica;
    if (replica.applied() != applied_before)
        checker_.state_hash(index, replica.applied(), std::hash<std::string>()(replica.state().snapshot()));
    if (reported_early && node.starts == starts)
        handle(index, own, coordinator::WriteCompleted{*reported_early});
    set_coordinator_timer(index);
}

void CoordinatorSimulation::queue_write(Coordinator& node, TimePoint own, raft::Write write) {
    Duration duration{0.1 + 3 * net_.uniform()};
    if (is(CoordinatorMutant::WriteReportedEarly)) duration += kEarlyReport;
    auto& pending = node.disk.pending;
    const TimePoint previous_done = pending.empty() ? own : pending.back().done_at;
    pending.push_back({std::max(own + duration, previous_done), std::move(write)});
}

/// A connection ends with its process: a restarted client doesn't receive the response.
void CoordinatorSimulation::send_response(std::size_t index, const coordinator::SendResponse& response) {
    const auto process = std::size_t(response.connection % kConnectionsPerInstance);
    if (clients_[client_of(process)].instance != response.connection / kConnectionsPerInstance) return;
    net_.send(index, process, {Packet::Kind::Response, 0, response.body});
}

void CoordinatorSimulation::set_coordinator_timer(std::size_t index) {
    const Coordinator& node = coordinators_[index];
    const auto& pending = node.disk.pending;
    const TimePoint next = pending.empty() ? node.timer : std::min(node.timer, pending.front().done_at);
    if (next != TimePoint::max()) set_timer(index, next);
}

void CoordinatorSimulation::coordinator_timer(std::size_t index, TimePoint own) {
    Coordinator& node = coordinators_[index];
    if (!node.replica) return;
    // One sync for all writes that are due.
    SimulatedDisk& disk = node.disk;
    std::optional<std::uint64_t> written;
    while (!disk.pending.empty() && disk.pending.front().done_at <= own) {
        disk.apply(disk.pending.front().write);
        written = disk.pending.front().write.number;
        disk.pending.pop_front();
    }
    if (written && !is(CoordinatorMutant::WriteReportedEarly))
        handle(index, own, coordinator::WriteCompleted{*written});
    if (node.replica && own >= node.timer) {
        node.timer = TimePoint::max();
        handle(index, own, coordinator::TimerFired{});
    }
    if (node.replica) set_coordinator_timer(index);
}

void CoordinatorSimulation::coordinator_packet(std::size_t index, std::size_t from, TimePoint own,
                                               const Packet& packet) {
    Coordinator& node = coordinators_[index];
    if (!node.replica) return;
    if (packet.kind == Packet::Kind::Raft) {
        auto message = raft::decode(packet.body);
        if (!message) return checker_.violated("a Raft message that cannot be decoded");
        return handle(index, own,
                      coordinator::RaftMessageReceived{raft::NodeId(from + 1), std::move(*message)});
    }
    wire::Request request;
    if (request.ParseFromString(packet.body) && request.has_command()) {
        const wire::Command& command = request.command();
        if (node.replica->state().cached_outcome(command.session(), command.sequence())) ++result_.duplicates;
    }
    const std::uint64_t connection = packet.instance * kConnectionsPerInstance + from;
    handle(index, own, coordinator::RequestReceived{connection, packet.body});
}

}  // namespace ochrehub::lab
