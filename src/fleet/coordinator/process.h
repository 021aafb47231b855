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
#include "fleet/coordinator/replica.h"
#include "fleet/coordinator/storing.h"
#include "fleet/raft/raft.h"

namespace ochrehub::coordinator {

struct ProcessSettings {
    raft::Settings raft;  ///< its `self` is this keeper's number
    ReplicaSettings replica;
    channel::Mesh::Endpoint listen;
    std::string name, zone, cluster, folder;
    std::vector<std::string> keys;
    std::map<raft::NodeId, std::string> reach;  ///< where others are dialled, instead of where they say
    raft::Members members;                      ///< of the cluster's beginning
    Begin begin = Begin::Again;
    std::uint32_t release = 0;
    std::size_t asking = 4096;  ///< connections of processes
};

class KeeperProcess {
public:
    /// Opens its folder and listens. Throws what Storing and Mesh throw.
    KeeperProcess(boost::asio::io_context& io, Scheduler& scheduler, const ProcessSettings& settings,
                  MakeMachines machines);
    ~KeeperProcess();
    KeeperProcess(const KeeperProcess&) = delete;

    void start();
    /// It can't go on: its disk failed, or others have written what it does not know. Called once; end the
    /// process then.
    std::function<void(Error, const std::string& about)> stopped;

    channel::Mesh::Endpoint at() const { return mesh_.at(); }
    const Replica& replica() const { return replica_; }

private:
    static channel::MeshSettings mesh_settings(const ProcessSettings& settings, std::uint64_t instance);
    void handle(const ReplicaEvent& event);
    void carry_out(ReplicaAction& action);
    void meet(const raft::Members& members);
    void stop(Error error, const std::string& about);

    boost::asio::io_context& io_;
    Scheduler& scheduler_;
    ProcessSettings set_;
    std::unique_ptr<Storing> storing_;
    raft::PersistentState disk_;
    raft::Raft raft_;
    Replica replica_;
    channel::Mesh mesh_;
    std::map<raft::NodeId, std::uint64_t> instances_;
    std::map<raft::NodeId, std::string> dialled_;
    TimerId timer_ = 0;
    bool stopped_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ochrehub::coordinator
