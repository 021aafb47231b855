// A process's part in the shards, on its own threads: one for connections and for the client, and workers
// that share the shards that the process holds. Any thread may send requests, and none waits: the callback
// runs on the service's thread. Runs ShardHolder and ShardClient, and decides nothing itself.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/asio_scheduler.h"
#include "base/clock.h"
#include "fleet/channel/peer_connections.h"
#include "fleet/coordinator/session_thread.h"
#include "fleet/shards/shard_client.h"
#include "fleet/shards/shard_holder.h"

namespace ochrehub::shards {

struct ShardServiceSettings {
    bool holds_shards = true;        ///< false: only a client
    std::size_t worker_threads = 2;  ///< that share the held shards
    TableSettings table;
    ShardHolder::Settings holder;  ///< an empty address: where `peer_connections` listens
    ShardClient::Settings client;  ///< shard_count and instance are set from `table` and `peer_connections`
    channel::PeerConnectionsSettings peer_connections;
    channel::PeerConnections::Endpoint listen;
};

class ShardService {
public:
    using Callback = std::function<void(const ShardClient::Completed&)>;

    /// Must be created before `coordinators` is started, and destroyed after it. Throws what PeerConnections
    /// throws.
    ShardService(ShardServiceSettings settings, Clock clock, coordinator::SessionThread& coordinators);
    ~ShardService();
    ShardService(const ShardService&) = delete;
    void start();

    // From any thread.
    /// `done` is called once, on the service's thread, unless the service is destroyed before. `within`: the
    /// timeout. `never_erased`: see ShardClient::Request.
    void request(bool writes, Write write, Duration within, Callback done, bool never_erased = false);
    /// Hands over the held shards; is_released() once that is done.
    void leave();
    bool is_released() const { return released_.load(std::memory_order_relaxed); }
    /// The number of the last received map.
    std::uint64_t map_number() const { return map_number_.load(std::memory_order_relaxed); }
    /// The records of the held shards; another process may be their primary by now.
    const Table& table() const { return table_; }

    channel::PeerConnections::Endpoint address() const { return peer_connections_.listen_address(); }

private:
    struct Worker;
    void on_session_event(const coordinator::SessionThread::Notification& told);
    void on_map(const std::string& map);
    void query_map();
    void deliver(std::uint64_t from, const std::string& body);
    void send(SessionId to, std::string body);
    void respond(std::uint64_t to, std::string body);
    void propose(std::string body);
    void handle(const ShardClient::Event& event);

    ShardServiceSettings set_;
    Clock clock_;
    coordinator::SessionThread& coordinators_;
    Table table_;
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    AsioScheduler scheduler_;
    channel::PeerConnections peer_connections_;
    ShardClient client_;
    SessionId session_ = 0;
    TimePoint valid_until_{};
    bool is_querying_map_ = false;
    std::set<std::string> dialed_;
    std::map<std::uint64_t, Callback> callbacks_;
    std::uint64_t next_id_ = 1;
    TimerId timer_ = 0;
    std::atomic<bool> released_{false};
    std::atomic<std::uint64_t> map_number_{0};
    std::vector<std::unique_ptr<Worker>> workers_;
    std::thread thread_;
};

}  // namespace ochrehub::shards
