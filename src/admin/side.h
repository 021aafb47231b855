// The operations side of a node: the second address in a thread and a loop of its own, so that a busy node
// holds up no answer. It reads what the node's loop publishes, and hands what operators say to that loop.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_set>
#include <vector>

#include "admin/admin_server.h"
#include "engine/counters.h"
#include "engine/types.h"
#include "takeover/store.h"

namespace ochrehub::admin {

class Side {
public:
    /// A server is out from now on, or back, cold since then. Called on the side's own thread.
    using ByHand = std::function<void(std::uint64_t key, bool out, TimePoint since)>;

    /// What another part of the node has to show here; called on the side's own thread.
    struct Fleet {
        std::function<std::string()> members, figures;
    };

    /// `counters` must outlive it. What `store` knows of is told before anything else, from the constructor.
    /// Throws boost::system::system_error where it cannot listen.
    Side(const boost::asio::ip::tcp::endpoint& control, Counters& counters, std::vector<std::string> classes,
         takeover::Store store, ByHand by_hand, Fleet fleet = {});
    /// Waits for its thread's end.
    ~Side();

    // For the node's loop.
    /// Answers calls from now on: what came before waits. Once the node has handled the list that it was
    /// started with.
    void start();
    void listed(const EndpointList& listing);
    void serves(bool does) { serves_.store(does, std::memory_order_relaxed); }

private:
    using Ids = std::unordered_set<std::string>;

    bool take(const std::string& id, bool out);
    bool known(const std::string& id);
    void store_changed_elsewhere();
    void tell(const takeover::ManualOverrides& before);
    void look();

    Counters& counters_;
    std::vector<std::string> classes_;
    takeover::Store store_;
    ByHand by_hand_;
    Ids ids_;  // listed, as the node's loop knows it
    std::mutex publishing_;
    std::shared_ptr<const Ids> published_ = std::make_shared<const Ids>();
    std::atomic<bool> serves_{false};
    boost::asio::io_context io_{1};
    boost::asio::steady_timer look_;
    std::chrono::steady_clock::time_point beat_at_{};
    AdminServer server_;
    std::thread thread_;
};

}  // namespace ochrehub::admin
