#include "lab/raft/stepped_cluster.h"

#include <algorithm>
#include <utility>

#include "ochrehub/hash.h"

namespace ochrehub::lab {

using raft::NodeId;

namespace {

constexpr std::uint64_t kHashMultiplier = 0x9e3779b97f4a7c15u;

bool contains(const std::vector<NodeId>& ids, NodeId id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

SteppedCluster::SteppedCluster(std::size_t size, const RaftMutation* mutation,
                               std::size_t max_inflight_appends)
    : mutation_(mutation), max_inflight_appends_(max_inflight_appends) {
    raft::PersistentState stored;
    for (NodeId id = 1; id <= size; ++id) stored.initial_members.push_back({id, true, {}});
    checker_.set_initial_members(stored.initial_members);
    for (NodeId id = 1; id <= size; ++id) {
        servers_.push_back({start_core(id, stored, 1), {}, 0, {}, {}, 0, 1});
        servers_.back().disk.durable() = stored;
        checker_.on_start(id);
    }
    for (NodeId id = 1; id <= size; ++id) on_event(id, raft::TimerFired{});
}

raft::Raft SteppedCluster::start_core(NodeId id, const raft::PersistentState& stored,
                                      std::uint64_t start_number) {
    constexpr std::uint64_t kSeedsPerServer = 1000;
    raft::Settings settings;
    settings.self = id;
    settings.retained_log_bytes = 0;
    settings.max_append_bytes = 1;
    settings.max_inflight_appends = max_inflight_appends_;
    raft::PersistentState found = stored;
    if (mutation_ && mutation_->on_start) mutation_->on_start(*this, id, found);
    return raft::Raft(settings, found, id * kSeedsPerServer + start_number);
}

void SteppedCluster::record_step(NodeId id, const std::string& step) {
    std::uint64_t& hash = server(id).history_hash;
    hash = hashed(step, hash * kHashMultiplier + 1);
}

void SteppedCluster::on_event(NodeId id, const raft::Event& event) {
    raft::Actions actions;
    server(id).core.handle(server(id).clock, event, actions);
    if (mutation_ && mutation_->on_actions) mutation_->on_actions(*this, id, actions);
    RaftInvariantChecker::Disks disks;
    for (NodeId other = 1; other <= servers_.size(); ++other) disks[other] = &server(other).disk;
    checker_.on_event({id, &server(id).core, &server(id).disk}, actions, disks);
    for (raft::Action& action : actions) carry_out(id, action);
}

void SteppedCluster::carry_out(NodeId id, raft::Action& action) {
    if (auto* message = std::get_if<raft::SendMessage>(&action)) {
        send(id, *message);
    } else if (auto* write = std::get_if<raft::Write>(&action)) {
        if (mutation_ && mutation_->on_write) mutation_->on_write(*this, id, *write);
        server(id).disk.write(*write);
        server(id).unsynced_write = write->number;
    } else if (auto* timer = std::get_if<raft::SetTimer>(&action)) {
        server(id).timer = timer->at;
    }
}

void SteppedCluster::send(NodeId id, raft::SendMessage& send) {
    if (send.to == 0 || send.to > servers_.size()) return;
    bool dropped = mutation_ && mutation_->on_send && !mutation_->on_send(*this, id, send.to, send.message);
    if (!dropped) put_in_flight({id, send.to, raft::encode(send.message)});
}

void SteppedCluster::put_in_flight(const InFlight& message) {
    in_flight_.insert(std::upper_bound(in_flight_.begin(), in_flight_.end(), message), message);
}

void SteppedCluster::deliver(NodeId to, NodeId from, const raft::Message& message) {
    on_event(to, raft::MessageReceived{from, message});
}

// ---- Steps

void SteppedCluster::fire_timer(NodeId id) {
    record_step(id, "timer");
    server(id).clock = std::max(server(id).clock, server(id).timer);
    on_event(id, raft::TimerFired{});
}

void SteppedCluster::complete_writes(NodeId id) {
    if (!has_unsynced(id)) return;
    record_step(id, "write");
    std::uint64_t number = std::exchange(server(id).unsynced_write, 0);
    server(id).disk.sync(number);
    on_event(id, raft::WriteCompleted{number});
}

void SteppedCluster::deliver_at(std::size_t index, bool keep) {
    InFlight delivered = in_flight_[index];
    if (!keep) in_flight_.erase(in_flight_.begin() + std::ptrdiff_t(index));
    record_step(delivered.to, "from " + std::to_string(delivered.from) + delivered.bytes);
    std::optional<raft::Message> message = raft::decode(delivered.bytes);
    if (!message) return checker_.report("a message cannot be decoded");
    bool dropped = mutation_ && mutation_->on_receive &&
                   !mutation_->on_receive(*this, delivered.to, delivered.from, *message);
    if (!dropped) on_event(delivered.to, raft::MessageReceived{delivered.from, std::move(*message)});
}

void SteppedCluster::crash(NodeId id, bool keep_unsynced) {
    record_step(id, keep_unsynced ? "crash" : "crash and lose");
    Server& crashed = server(id);
    crashed.disk.crash(keep_unsynced ? crashed.disk.unsynced() : 0);
    crashed.unsynced_write = 0;
    crashed.timer = crashed.clock;
    crashed.core = start_core(id, crashed.disk.durable(), ++crashed.starts);
    checker_.on_start(id);
    on_event(id, raft::TimerFired{});
}

void SteppedCluster::lose_data(NodeId id) {
    checker_.on_data_loss(id, server(id).disk);
    server(id).disk.lose_data(1);
    crash(id, false);
}

void SteppedCluster::propose(NodeId id, std::string data) {
    record_step(id, "propose " + data);
    checker_.on_request(++last_request_, false);
    on_event(id, raft::Propose{last_request_, std::move(data)});
}

void SteppedCluster::read(NodeId id) {
    record_step(id, "read");
    checker_.on_request(++last_request_, true);
    on_event(id, raft::ReadIndex{last_request_});
}

void SteppedCluster::change_membership(NodeId id, NodeId member, bool add) {
    record_step(id, "change");
    checker_.on_request(++last_request_, false);
    on_event(id, raft::ChangeMembership{last_request_, member, add, {}});
}

std::uint64_t SteppedCluster::digest() const {
    std::uint64_t digest = 1;
    for (const Server& server : servers_)
        digest = (digest ^ server.history_hash) * kHashMultiplier + server.unsynced_write;
    for (const InFlight& message : in_flight_)
        digest = hashed(message.bytes, digest * 31 + message.from * 8 + message.to);
    return digest;
}

// ---- Sequences of steps

bool SteppedCluster::complete_all_writes(const std::vector<NodeId>& among) {
    bool any = false;
    for (NodeId id : among) {
        if (!has_unsynced(id)) continue;
        complete_writes(id);
        any = true;
    }
    return any;
}

bool SteppedCluster::deliver_first_among(const std::vector<NodeId>& among) {
    for (std::size_t i = 0; i < in_flight_.size(); ++i) {
        if (!contains(among, in_flight_[i].from) || !contains(among, in_flight_[i].to)) continue;
        deliver_at(i);
        return true;
    }
    return false;
}

void SteppedCluster::settle(const std::vector<NodeId>& among) {
    for (bool progress = true; progress;) {
        progress = complete_all_writes(among);
        progress = deliver_first_among(among) || progress;
    }
}

bool SteppedCluster::elect(NodeId id, const std::vector<NodeId>& voters) {
    constexpr int kMaxCampaigns = 4;
    for (NodeId voter : voters)
        if (voter != id) fire_timer(voter);  // so that it no longer relies on an earlier leader
    drop_all();
    auto leads = [&] { return core(id).role() == raft::Role::Leader; };
    for (int campaign = 0; campaign < kMaxCampaigns && !leads(); ++campaign) {
        fire_timer(id);
        for (bool progress = true; progress && !leads();) {
            progress = complete_all_writes(voters);
            if (!progress) progress = deliver_first_among(voters);
        }
    }
    drop_all();
    return leads();
}

bool SteppedCluster::deliver_next(NodeId from, NodeId to) {
    for (std::size_t i = 0; i < in_flight_.size(); ++i) {
        if (in_flight_[i].from != from || in_flight_[i].to != to) continue;
        deliver_at(i);
        return true;
    }
    return false;
}

}  // namespace ochrehub::lab
