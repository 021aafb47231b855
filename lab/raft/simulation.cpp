#include "lab/raft/simulation.h"

#include <algorithm>
#include <utility>

#include "lab/record/decision_recorder.h"

namespace ochrehub::lab {
namespace {

/// Ids of requests from here on belong to no client.
constexpr std::uint64_t kFirstOperatorRequest = std::uint64_t(1) << 40;

NetSettings net_settings(const RaftSimulationSettings& settings) {
    NetSettings net;
    net.processes = settings.servers + settings.spares;
    net.delay_most = settings.max_delay;
    net.loss = settings.loss;
    net.doubled = settings.duplication;
    net.in_order = settings.in_order;
    net.seed = settings.seed;
    return net;
}

unsigned random_seed(std::uint64_t seed) {
    constexpr std::uint32_t kMultiplier = 747796405u;
    constexpr std::uint32_t kIncrement = 2891336453u;
    return unsigned(seed * kMultiplier + kIncrement);
}

}  // namespace

RaftSimulation::RaftSimulation(const RaftSimulationSettings& settings)
    : settings_(settings),
      random_(random_seed(settings.seed)),
      servers_(settings.servers + settings.spares),
      last_operator_request_(kFirstOperatorRequest) {
    auto on_timer = [this](std::size_t process, TimePoint now) {
        on_event(raft::NodeId(process + 1), now, raft::TimerFired{});
    };
    auto on_received = [this](std::size_t to, std::size_t from, TimePoint now, const std::string& bytes) {
        on_message(to, from, now, bytes);
    };
    net_ = std::make_unique<Net<std::string>>(net_settings(settings),
                                              Net<std::string>::Hooks{on_timer, on_received, nullptr});
    raft::Members members;
    for (raft::NodeId id = 1; id <= settings_.servers; ++id) members.push_back({id, true, {}});
    checker_.set_initial_members(members);
    for (raft::NodeId id = 1; id <= servers_.size(); ++id) {
        server(id).max_sync = settings_.max_sync;
        net_->crash(id - 1);
        if (id <= settings_.servers) server(id).disk.durable().initial_members = members;
    }
    for (raft::NodeId id = 1; id <= settings_.servers; ++id) start(id);
    clients_.resize(settings_.clients);
    for (Client& client : clients_)
        client.next_operation_at = net_->now() + settings_.think_time * random_fraction();
}

void RaftSimulation::run(Duration time) {
    constexpr Duration kClientInterval{2};
    TimePoint end = net_->now() + time;
    while (net_->now() < end) {
        net_->run_to(std::min(end, net_->now() + kClientInterval));
        run_clients();
    }
}

// ---- Faults and operators

void RaftSimulation::start(raft::NodeId id) {
    if (up(id)) return;
    net_->start(id - 1);
    Server& started = server(id);
    raft::PersistentState stored = started.disk.durable();
    if (settings_.mutation.on_start) settings_.mutation.on_start(*this, id, stored);
    raft::Settings settings;
    settings.self = id;
    settings.heartbeat_interval = settings_.heartbeat_interval;
    settings.election_timeout = settings_.election_timeout;
    settings.max_append_bytes = settings_.max_append_bytes;
    settings.snapshot_chunk_bytes = 300;
    settings.max_inflight_appends = 4;
    settings.max_pending_requests = 64;
    settings.retained_log_bytes = settings_.retained_log_bytes;
    std::uint64_t core_seed = (settings_.seed << 20) + ++starts_;
    started.core = std::make_unique<raft::Raft>(settings, stored, core_seed);
    started.state = {};
    started.applied_index = 0;
    started.entries_since_snapshot = 0;
    started.last_sync_done = net_->now();
    checker_.on_start(id);
    ++counts_["starts"];
    on_event(id, local_time(id), raft::TimerFired{});
}

void RaftSimulation::crash(raft::NodeId id, UnsyncedWrites unsynced) {
    if (!up(id)) return;
    net_->crash(id - 1);
    VirtualDisk& disk = server(id).disk;
    std::size_t surviving = 0;
    if (unsynced == UnsyncedWrites::Kept) surviving = disk.unsynced();
    if (unsynced == UnsyncedWrites::PartlyKept) surviving = random_below(disk.unsynced() + 1);
    disk.crash(surviving);
    ++counts_["crashes"];
}

void RaftSimulation::lose_data(raft::NodeId id, std::uint64_t from) {
    checker_.on_data_loss(id, server(id).disk);
    server(id).disk.lose_data(from);
    ++counts_["disks lost"];
}

void RaftSimulation::change_membership(raft::NodeId member, bool add) {
    raft::NodeId to = leader();
    if (to == 0) return;
    std::uint64_t request = ++last_operator_request_;
    checker_.on_request(request, false);
    on_event(to, local_time(to), raft::ChangeMembership{request, member, add, {}});
    ++counts_[add ? "additions requested" : "removals requested"];
}

void RaftSimulation::transfer_leadership(raft::NodeId to) {
    raft::NodeId from = leader();
    if (from == 0) return;
    on_event(from, local_time(from), raft::TransferLeadership{to});
    ++counts_["transfers requested"];
}

raft::NodeId RaftSimulation::leader() const {
    raft::NodeId found = 0;
    for (raft::NodeId id = 1; id <= servers_.size(); ++id) {
        bool leads = up(id) && !net_->stopped(id - 1) && core(id).role() == raft::Role::Leader;
        if (leads && (found == 0 || core(id).term() > core(found).term())) found = id;
    }
    return found;
}

// ---- Events of a server

void RaftSimulation::on_message(std::size_t to, std::size_t from, TimePoint now, const std::string& bytes) {
    raft::NodeId id = raft::NodeId(to + 1);
    raft::NodeId sender = raft::NodeId(from + 1);
    if (to == from) {
        std::uint64_t number = std::stoull(bytes.substr(1));
        if (bytes[0] == kClientOperation) return execute(id, number);
        server(id).disk.sync(number);
        return on_event(id, now, raft::WriteCompleted{number});
    }
    std::optional<raft::Message> message = raft::decode(bytes);
    if (!message) return checker_.report("a message cannot be decoded");
    const auto& on_receive = settings_.mutation.on_receive;
    if (on_receive && !on_receive(*this, id, sender, *message)) return;
    on_event(id, now, raft::MessageReceived{sender, std::move(*message)});
}

void RaftSimulation::deliver(raft::NodeId to, raft::NodeId from, const raft::Message& message) {
    on_event(to, local_time(to), raft::MessageReceived{from, message});
}

void RaftSimulation::on_event(raft::NodeId id, TimePoint now, const raft::Event& event) {
    if (!up(id)) return;
    std::uint64_t number = ++events_;
    raft::Actions actions;
    server(id).core->handle(now, event, actions);
    record_decision("raft", now, event, actions);
    if (settings_.mutation.on_actions) settings_.mutation.on_actions(*this, id, actions);
    check(id, actions);
    carry_out(id, actions);
    if (settings_.after_event) settings_.after_event(*this, id, number);
}

void RaftSimulation::check(raft::NodeId id, const raft::Actions& actions) {
    RaftInvariantChecker::Disks disks;
    for (raft::NodeId other = 1; other <= servers_.size(); ++other) disks[other] = &server(other).disk;
    checker_.on_event({id, server(id).core.get(), &server(id).disk}, actions, disks);
}

void RaftSimulation::carry_out(raft::NodeId id, raft::Actions& actions) {
    std::optional<std::uint64_t> early_write;
    for (raft::Action& action : actions) {
        if (auto* message = std::get_if<raft::SendMessage>(&action)) {
            send(id, *message);
        } else if (auto* to_write = std::get_if<raft::Write>(&action)) {
            write(id, *to_write);
            if (settings_.mutation.completes_writes_early) early_write = to_write->number;
        } else if (auto* entry = std::get_if<raft::ApplyEntry>(&action)) {
            apply(id, *entry);
        } else if (auto* snapshot = std::get_if<raft::RestoreSnapshot>(&action)) {
            restore(id, *snapshot);
        } else if (auto* ready = std::get_if<raft::ReadReady>(&action)) {
            if (ready->id >= kFirstOperatorRequest) continue;
            const std::string& key = operations_[std::size_t(ready->id - 1)].key;
            complete(ready->id, {server(id).state.read(key), true});
        } else if (auto* rejected = std::get_if<raft::Rejected>(&action)) {
            reject(*rejected);
        } else if (auto* timer = std::get_if<raft::SetTimer>(&action)) {
            net_->wake_at(id - 1, timer->at);
        }
    }
    if (early_write) on_event(id, local_time(id), raft::WriteCompleted{*early_write});
    take_snapshot_if_due(id);
}

void RaftSimulation::send(raft::NodeId id, raft::SendMessage& send) {
    if (send.to == 0 || send.to > servers_.size()) return;
    const auto& on_send = settings_.mutation.on_send;
    if (on_send && !on_send(*this, id, send.to, send.message)) return;
    net_->send(id - 1, send.to - 1, raft::encode(send.message));
}

void RaftSimulation::write(raft::NodeId id, raft::Write& write) {
    if (settings_.mutation.on_write) settings_.mutation.on_write(*this, id, write);
    Server& writer = server(id);
    writer.disk.write(write);
    TimePoint done = net_->now() + writer.max_sync * random_fraction();
    writer.last_sync_done = std::max(writer.last_sync_done, done);
    net_->later(id - 1, writer.last_sync_done - net_->now(), tagged(kWriteDone, write.number));
}

void RaftSimulation::apply(raft::NodeId id, const raft::ApplyEntry& entry) {
    Server& applying = server(id);
    std::string response = applying.state.apply(entry.data);
    applying.applied_index = entry.index;
    ++applying.entries_since_snapshot;
    if (entry.id != 0) complete(entry.id, {response, true});
}

void RaftSimulation::restore(raft::NodeId id, const raft::RestoreSnapshot& restore) {
    if (!settings_.mutation.ignores_snapshot_state) server(id).state.restore(restore.snapshot.state);
    server(id).applied_index = restore.snapshot.last_included_index;
    ++counts_["snapshots restored"];
}

void RaftSimulation::reject(const raft::Rejected& rejected) {
    if (rejected.id >= kFirstOperatorRequest || rejected.id == 0) return;
    ++counts_["rejected: " + std::string(raft::row(rejected.error).code)];
    auto client = client_of_.find(rejected.id);
    if (client != client_of_.end() && rejected.leader_hint != 0)
        clients_[client->second].target = rejected.leader_hint;
    complete(rejected.id, {std::nullopt, rejected.error == raft::Error::LeadershipLost});
}

void RaftSimulation::take_snapshot_if_due(raft::NodeId id) {
    Server& taking = server(id);
    std::size_t interval = settings_.snapshot_interval_entries;
    if (interval == 0 || taking.entries_since_snapshot < interval) return;
    taking.entries_since_snapshot = 0;
    ++counts_["snapshots taken"];
    std::uint64_t understated = settings_.mutation.understates_snapshots ? 1 : 0;
    on_event(id, local_time(id),
             raft::SnapshotTaken{taking.applied_index - understated, taking.state.snapshot()});
}

// ---- The end of a run

void RaftSimulation::remove_faults() {
    net_->heal();
    net_->loss(0);
    net_->doubled(0);
    for (raft::NodeId id = 1; id <= servers_.size(); ++id) {
        server(id).max_sync = settings_.max_sync;
        net_->clock(id - 1, 1);
        resume(id);
        if (server(id).core) start(id);
    }
    clients_running_ = false;
}

bool RaftSimulation::heal(Duration timeout) {
    constexpr Duration kProbeInterval{50};
    remove_faults();
    TimePoint end = net_->now() + timeout;
    std::uint64_t probe_index = 0;  ///< of a write that all members have to apply; zero: not proposed
    while (net_->now() < end) {
        run(kProbeInterval);
        raft::NodeId to = leader();
        if (to == 0) continue;
        if (probe_index != 0 && core(to).last_index() >= probe_index) {
            if (all_members_applied(to, probe_index)) return true;
            continue;
        }
        std::uint64_t request = ++last_operator_request_;
        checker_.on_request(request, false);
        RegisterOperation probe;
        probe.kind = RegisterOperation::Kind::Write;
        probe.key = "probe";
        probe.value = "1";
        on_event(to, local_time(to), raft::Propose{request, RegisterMap::command(probe)});
        if (core(to).role() == raft::Role::Leader) probe_index = core(to).last_index();
    }
    checker_.report("the group doesn't heal" + describe_servers());
    return false;
}

bool RaftSimulation::all_members_applied(raft::NodeId leader, std::uint64_t index) {
    const raft::Raft& leading = core(leader);
    if (leading.commit_index() < index) return false;
    const raft::Members& members = leading.members();
    return std::all_of(members.begin(), members.end(), [&](const raft::Member& member) {
        return up(member.id) && core(member.id).commit_index() >= index &&
               core(member.id).storage_trusted() && member.voter;
    });
}

std::string RaftSimulation::describe_servers() {
    std::string text;
    auto add = [&](const char* label, std::uint64_t number) { text += label + std::to_string(number); };
    for (raft::NodeId id = 1; id <= servers_.size(); ++id) {
        if (!up(id)) continue;
        const raft::Raft& shown = core(id);
        add("; server ", id);
        add(": role ", std::uint64_t(shown.role()));
        add(" term ", shown.term());
        add(" entries ", shown.first_index());
        add(" to ", shown.last_index());
        add(" committed ", shown.commit_index());
        text += shown.storage_trusted() ? " members" : " not trusted, members";
        for (const raft::Member& member : shown.members()) add(member.voter ? " " : " learner ", member.id);
    }
    return text;
}

void RaftSimulation::finish() {
    std::vector<RegisterOperation> possibly_executed;
    for (std::size_t i = 0; i < operations_.size(); ++i)
        if (!not_executed_[i]) possibly_executed.push_back(operations_[i]);
    history_ = check_history(possibly_executed);
    if (history_.verdict == Linearizability::NotLinearizable)
        checker_.report("the history of " + history_.key + " is not linearizable");
    if (history_.verdict == Linearizability::Undecided)
        checker_.report("the history of " + history_.key + " was not decided");
}

}  // namespace ochrehub::lab
