// A coordinator as a process runs it: the Replica over Raft, the data directory on its own thread, and the
// connections to the other coordinators and to clients. Runs on its event loop's thread; it turns I/O into
// events and actions into I/O, and decides nothing.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/scheduler.h"
#include "fleet/channel/peer_connections.h"
#include "fleet/coordinator/durable_storage.h"
#include "fleet/coordinator/replica.h"
#include "fleet/raft/raft.h"

namespace ochrehub::coordinator {

struct ServerSettings {
    raft::Settings raft;  ///< `self`: this coordinator's id
    ReplicaSettings replica;
    channel::PeerConnections::Endpoint listen;
    std::string name;
    std::string zone;
    std::string cluster;  ///< the cluster's name
    std::string data_directory;
    std::vector<std::string> keys;  ///< of the fleet; empty: connections aren't signed
    /// Where to dial other coordinators, in place of the addresses that the members have.
    std::map<raft::NodeId, std::string> dial_addresses;
    raft::Members initial_members;  ///< of a new cluster
    StartMode start_mode = StartMode::Resume;
    std::uint32_t release = 0;
    std::size_t max_client_connections = 4096;
};

class CoordinatorServer {
public:
    /// Opens the data directory and listens. Throws what DurableStorage and PeerConnections throw.
    CoordinatorServer(boost::asio::io_context& io, Scheduler& scheduler, const ServerSettings& settings,
                      StateMachineFactory make_state_machines);
    ~CoordinatorServer();
    CoordinatorServer(const CoordinatorServer&) = delete;
    CoordinatorServer& operator=(const CoordinatorServer&) = delete;

    void start();
    /// Called once, when it can't continue: its disk failed, or a newer release has written what it can't
    /// read. The process should end then.
    std::function<void(Error, const std::string& about)> on_stopped;

    channel::PeerConnections::Endpoint listen_address() const { return peer_connections_.listen_address(); }
    const Replica& replica() const { return replica_; }

private:
    static channel::PeerConnectionsSettings peer_connections_settings(const ServerSettings& settings,
                                                                      std::uint64_t instance);
    void connect_mesh();
    void post(std::function<void()> task);
    void handle(const ReplicaEvent& event);
    void perform(raft::SendMessage& action);
    void perform(raft::Write& action);
    void perform(raft::RoleChanged& action);
    void perform(raft::MembershipChanged& action);
    void perform(raft::SetTimer& action);
    void perform(SendResponse& action);
    void perform(Stop& action);
    void dial_members(const raft::Members& members);
    std::map<raft::NodeId, std::string> addresses_of_others(const raft::Members& members) const;
    void stop(Error error, const std::string& about);

    boost::asio::io_context& io_;
    Scheduler& scheduler_;
    const ServerSettings settings_;
    std::unique_ptr<DurableStorage> storage_;
    raft::PersistentState disk_;  // for Raft's start; empty afterwards
    raft::Raft raft_;
    Replica replica_;
    channel::PeerConnections peer_connections_;
    std::map<raft::NodeId, std::uint64_t> connections_;  // instances of the connected coordinators
    std::map<raft::NodeId, std::string> dialed_;
    TimerId timer_ = 0;
    bool stopped_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once this object is gone
};

}  // namespace ochrehub::coordinator
