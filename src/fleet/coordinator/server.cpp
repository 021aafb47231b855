#include "fleet/coordinator/server.h"

#include <boost/asio/post.hpp>
#include <cstring>
#include <utility>

#include "base/log.h"
#include "fleet/coordinator/random_id.h"
#include "fleet/coordinator/role_name.h"
#include "fleet/store/posix_files.h"

namespace ochrehub::coordinator {

channel::PeerConnectionsSettings CoordinatorServer::peer_connections_settings(const ServerSettings& settings,
                                                                              std::uint64_t instance) {
    const Duration election_timeout = settings.raft.election_timeout;
    channel::PeerConnectionsSettings peer_connections;
    peer_connections.channel.self = {
        settings.name, settings.zone, instance, settings.raft.self, settings.release, 0, 0};
    peer_connections.channel.cluster = fleet::fingerprint(settings.cluster);
    peer_connections.channel.keys = settings.keys;
    peer_connections.channel.idle_timeout = election_timeout;
    peer_connections.channel.dead_timeout = election_timeout * 3;
    peer_connections.dial.initial_backoff = settings.raft.heartbeat_interval;
    peer_connections.dial.max_backoff = election_timeout;
    peer_connections.dial.connect_timeout = election_timeout * 2;
    peer_connections.max_accepted_peers = settings.max_client_connections;
    return peer_connections;
}

CoordinatorServer::CoordinatorServer(boost::asio::io_context& io, Scheduler& scheduler,
                                     const ServerSettings& settings, StateMachineFactory make_state_machines)
    : io_(io),
      scheduler_(scheduler),
      settings_(settings),
      storage_(std::make_unique<DurableStorage>(
          std::make_unique<store::PosixFiles>(settings.data_directory),
          DurableStorage::Settings{
              {storage_cluster_id(settings.cluster)}, settings.start_mode, settings.initial_members})),
      disk_(storage_->disk()),
      raft_(settings.raft, disk_, random_id()),
      replica_(
          settings.replica, std::move(make_state_machines),
          [this](TimePoint now, const raft::Event& event, raft::Actions& actions) {
              raft_.handle(now, event, actions);
          },
          disk_),
      peer_connections_(io, scheduler, settings.listen, peer_connections_settings(settings, random_id()),
                        random_id()) {
    if (!disk_.trusted)
        log(LogLevel::Warn,
            "coordinator: acknowledged entries or votes are missing from the data directory; it does not "
            "vote "
            "until every other voter has responded",
            {{"folder", settings_.data_directory}});
    disk_ = {};
    connect_mesh();
}

CoordinatorServer::~CoordinatorServer() {
    *alive_ = false;
    scheduler_.cancel(timer_);
    storage_.reset();
    peer_connections_.close();
}

void CoordinatorServer::connect_mesh() {
    peer_connections_.on_connected = [this](const channel::Peer& peer) {
        if (peer.coordinator_id != 0) connections_[peer.coordinator_id] = peer.instance;
    };
    peer_connections_.on_disconnected = [this](const channel::Peer& peer, channel::Error) {
        auto found = connections_.find(peer.coordinator_id);
        if (found != connections_.end() && found->second == peer.instance) connections_.erase(found);
    };
    peer_connections_.on_message = [this](const channel::Peer& peer, channel::MessageKind kind,
                                          std::string body) {
        if (kind == channel::MessageKind::Request)
            return handle(RequestReceived{peer.instance, std::move(body)});
        if (kind != channel::MessageKind::Raft || peer.coordinator_id == 0 ||
            peer.coordinator_id == settings_.raft.self)
            return;
        if (auto message = raft::decode(body))
            handle(RaftMessageReceived{peer.coordinator_id, std::move(*message)});
    };
}

void CoordinatorServer::start() {
    storage_->start(
        [this](std::uint64_t number) { post([this, number] { handle(WriteCompleted{number}); }); },
        [this](int error) {
            post([this, error] {
                stop(Error::StorageFailed, settings_.data_directory + ": " + std::strerror(error));
            });
        });
    dial_members(raft_.members().empty() ? settings_.initial_members : raft_.members());
    handle(TimerFired{});
}

/// From any thread: runs the task on the loop, unless this object is gone by then.
void CoordinatorServer::post(std::function<void()> task) {
    boost::asio::post(io_, [alive = alive_, task = std::move(task)] {
        if (*alive) task();
    });
}

void CoordinatorServer::handle(const ReplicaEvent& event) {
    if (stopped_) return;
    ReplicaActions actions;
    replica_.handle(scheduler_.now(), event, actions);
    for (ReplicaAction& action : actions) {
        if (stopped_) return;
        std::visit([this](auto& each) { perform(each); }, action);
    }
}

void CoordinatorServer::perform(raft::SendMessage& action) {
    // A message without a connection is lost; Raft sends again.
    auto found = connections_.find(action.to);
    if (found == connections_.end()) return;
    peer_connections_.send(found->second, channel::MessageKind::Raft, raft::encode(action.message));
}

void CoordinatorServer::perform(raft::Write& action) {
    storage_->write(std::move(action));
}

void CoordinatorServer::perform(raft::RoleChanged& action) {
    const LogLevel level = action.role == raft::Role::Leader ? LogLevel::Info : LogLevel::Debug;
    log(level, "coordinator: role changed",
        {{"role", role_name(action.role)}, {"term", action.term}, {"leader", action.leader}});
}

void CoordinatorServer::perform(raft::MembershipChanged& action) {
    dial_members(action.members);
}

void CoordinatorServer::perform(raft::SetTimer& action) {
    scheduler_.cancel(timer_);
    timer_ = scheduler_.call_at(action.at, [this] {
        timer_ = 0;
        handle(TimerFired{});
    });
}

void CoordinatorServer::perform(SendResponse& action) {
    peer_connections_.send(action.connection, channel::MessageKind::Response, std::move(action.body));
}

void CoordinatorServer::perform(Stop& action) {
    stop(action.error, action.about);
}

void CoordinatorServer::dial_members(const raft::Members& members) {
    bool is_member = false;
    for (const raft::Member& member : members) is_member |= member.id == settings_.raft.self;
    if (!is_member) log(LogLevel::Info, "coordinator: not a member", {{"number", settings_.raft.self}});
    std::map<raft::NodeId, std::string> wanted = addresses_of_others(members);
    for (const auto& [id, address] : dialed_) {
        auto found = wanted.find(id);
        if (found == wanted.end() || found->second != address) peer_connections_.drop(address);
    }
    for (const auto& [id, address] : wanted) {
        auto found = dialed_.find(id);
        if (found != dialed_.end() && found->second == address) continue;
        if (!peer_connections_.dial(address))
            log(LogLevel::Error, "coordinator: invalid member address",
                {{"number", id}, {"address", address}});
    }
    dialed_ = std::move(wanted);
}

std::map<raft::NodeId, std::string> CoordinatorServer::addresses_of_others(
    const raft::Members& members) const {
    std::map<raft::NodeId, std::string> addresses;
    for (const raft::Member& member : members) {
        if (member.id == settings_.raft.self) continue;
        auto configured = settings_.dial_addresses.find(member.id);
        addresses[member.id] =
            configured == settings_.dial_addresses.end() ? member.address : configured->second;
    }
    return addresses;
}

void CoordinatorServer::stop(Error error, const std::string& about) {
    if (std::exchange(stopped_, true)) return;
    log_line(LogLevel::Error, "%s", fleet::sentence(row(error), about).c_str());
    if (on_stopped) on_stopped(error, about);
}

}  // namespace ochrehub::coordinator
