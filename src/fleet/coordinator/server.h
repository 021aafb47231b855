// A keeper as a process runs it: Replica over Raft, the folder on a thread of its own, connections to the
// other keepers and to whoever asks. On its loop's thread; it decides nothing.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/scheduler.h"
#include "fleet/channel/mesh.h"
#include "fleet/coordinator/durable_storage.h"
#include "fleet/coordinator/replica.h"
#include "fleet/raft/raft.h"

namespace ochrehub::coordinator {

struct ServerSettings {
    raft::Settings raft;  ///< its `self` is this keeper's number
    ReplicaSettings replica;
    channel::Mesh::Endpoint listen;
    std::string name, zone, cluster, data_directory;
    std::vector<std::string> keys;
    std::map<raft::KeeperId, std::string>
        dial_addresses;             ///< where others are dialled, instead of where they say
    raft::Members initial_members;  ///< of a new cluster
    StartMode start_mode = StartMode::Resume;
    std::uint32_t release = 0;
    std::size_t max_client_connections = 4096;  ///< connections of processes
};

class CoordinatorServer {
public:
    /// Opens its folder and listens. Throws what DurableStorage and Mesh throw.
    CoordinatorServer(boost::asio::io_context& io, Scheduler& scheduler, const ServerSettings& settings,
                      StateMachineFactory machines);
    ~CoordinatorServer();
    CoordinatorServer(const CoordinatorServer&) = delete;

    void start();
    /// It can't go on: its disk failed, or others have written what it does not know. Called once; end the
    /// process then.
    std::function<void(Error, const std::string& about)> stopped;

    channel::Mesh::Endpoint at() const { return mesh_.at(); }
    const Replica& replica() const { return replica_; }

private:
    static channel::MeshSettings mesh_settings(const ServerSettings& settings, std::uint64_t instance);
    void handle(const ReplicaEvent& event);
    void carry_out(ReplicaAction& action);
    void meet(const raft::Members& members);
    void stop(Error error, const std::string& about);

    boost::asio::io_context& io_;
    Scheduler& scheduler_;
    ServerSettings set_;
    std::unique_ptr<DurableStorage> storing_;
    raft::Disk disk_;
    raft::Raft raft_;
    Replica replica_;
    channel::Mesh mesh_;
    std::map<raft::KeeperId, std::uint64_t> instances_;
    std::map<raft::KeeperId, std::string> dialled_;
    TimerId timer_ = 0;
    bool stopped_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ochrehub::coordinator
