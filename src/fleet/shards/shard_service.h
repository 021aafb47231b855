// A process's part in the shards, on threads of its own: one for its connections and for what it asks, and
// workers that share the shards it holds among them. Any thread asks, and none waits: what became of it is
// told on the side's own thread. The shell of Holder and Client; it decides nothing.
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
#include "fleet/channel/mesh.h"
#include "fleet/coordinator/session_thread.h"
#include "fleet/shards/shard_client.h"
#include "fleet/shards/shard_holder.h"

namespace ochrehub::shards {

struct ShardServiceSettings {
    bool holds_shards = true;        ///< else it only asks
    std::size_t worker_threads = 2;  ///< that work on the shards it holds
    TableSettings table;
    ShardHolder::Settings holder;  ///< its address is where this process listens, if it is empty
    ShardClient::Settings client;  ///< its shards and instance are those of the two others
    channel::MeshSettings mesh;
    channel::Mesh::Endpoint listen;
};

class ShardService {
public:
    using Callback = std::function<void(const ShardClient::Completed&)>;

    /// Before `keepers` is started, which must end before this does. Throws what Mesh throws.
    ShardService(ShardServiceSettings settings, Clock clock, coordinator::SessionThread& coordinators);
    ~ShardService();
    ShardService(const ShardService&) = delete;
    void start();

    // From any thread:
    /// `done` is called once, on the side's thread, unless the side ends before.
    void request(bool writes, Write write, Duration within, Callback done, bool never_erased = false);
    /// Hands on what it holds; `free` once that is done.
    void leave();
    bool is_released() const { return released_.load(std::memory_order_relaxed); }
    /// The view that the last map had.
    std::uint64_t map_number() const { return map_number_.load(std::memory_order_relaxed); }
    /// What this process holds; a record of it may be another's by now.
    const Table& table() const { return table_; }

    channel::Mesh::Endpoint address() const { return mesh_.at(); }

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
    channel::Mesh mesh_;
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
