// A client's session on a thread and an event loop of its own: the shell of `Session`. Passes on to its
// listeners what becomes of the session, and takes commands and queries from any thread without blocking.
// Decides nothing.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "base/asio_scheduler.h"
#include "base/clock.h"
#include "fleet/channel/peer_connections.h"
#include "fleet/coordinator/session.h"

namespace ochrehub::coordinator {

struct SessionThreadSettings {
    SessionSettings session;        ///< `instance` and `seed` are random where they aren't set
    std::string cluster;            ///< the cluster's name
    std::vector<std::string> keys;  ///< of the fleet; empty: connections aren't signed
    channel::DialSettings dial;
};

class SessionThread {
public:
    using Notification = std::variant<SessionRenewed, SessionLost, SessionUpdate>;
    /// Called on the session's thread. Must not block; posts to its own event loop what takes time.
    using Listener = std::function<void(const Notification&)>;
    /// Called once, on the session's thread, or with PossiblyExecuted from the destructor.
    using Callback = std::function<void(Error, std::string result)>;

    /// `clock`: a copy of the clock that listeners compare `SessionRenewed::until` with. Sends nothing before
    /// `start`.
    SessionThread(SessionThreadSettings settings, Clock clock);
    /// Joins the thread. Does not close the session: call `close` and wait for SessionLost before.
    // NOLINTNEXTLINE(bugprone-exception-escape): see its definition
    ~SessionThread();
    SessionThread(const SessionThread&) = delete;
    SessionThread& operator=(const SessionThread&) = delete;

    /// Before `start`. Each listener receives every notification, and picks the updates of its kind.
    void add_listener(Listener listener) { listeners_.push_back(std::move(listener)); }
    void start();

    // From any thread:
    void submit(std::string kind, std::string body, Callback callback);
    void query(std::string kind, std::string body, Callback callback);
    void close();
    void set_keys(std::vector<std::string> keys);
    SessionId session() const { return session_.load(std::memory_order_relaxed); }
    std::uint64_t renewals() const { return renewals_.load(std::memory_order_relaxed); }
    std::uint64_t sessions_lost() const { return sessions_lost_.load(std::memory_order_relaxed); }

private:
    static SessionThreadSettings with_random_ids(SessionThreadSettings settings);
    static channel::PeerConnectionsSettings peer_connections_settings(const SessionThreadSettings& settings);
    void connect_mesh();
    void handle(const SessionEvent& event);
    void perform(SendRequest& action);
    void perform(SessionRenewed& action) { notify(action); }
    void perform(SessionLost& action) { notify(action); }
    void perform(SessionUpdate& action) { notify(action); }
    void perform(CallCompleted& action);
    void perform(SetSessionTimer& action);
    void notify(const Notification& notification);
    void on_connected(std::uint64_t instance);
    void on_disconnected(std::uint64_t instance);
    template <class Event>
    void post_call(std::string kind, std::string body, Callback callback);

    const SessionThreadSettings settings_;
    Clock clock_;
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    AsioScheduler scheduler_;
    channel::PeerConnections peer_connections_;
    Session core_;
    std::vector<Listener> listeners_;
    std::map<std::string, std::uint64_t> connections_;        // instance by address, while connected
    std::map<std::string, std::vector<std::string>> unsent_;  // requests by address, until it is connected
    std::map<std::uint64_t, Callback> callbacks_;             // by call
    std::uint64_t next_call_ = 1;
    TimerId timer_ = 0;
    // Copies of the core's, for other threads
    std::atomic<SessionId> session_{0};
    std::atomic<std::uint64_t> renewals_{0};
    std::atomic<std::uint64_t> sessions_lost_{0};
    std::thread thread_;
};

}  // namespace ochrehub::coordinator
