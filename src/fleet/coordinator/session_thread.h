// A process's session with the keepers on a thread and a loop of its own: posts to its listeners what the
// session becomes, takes commands from any thread, and makes nobody wait. The shell of `Session`; it decides
// nothing.
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
#include "fleet/channel/mesh.h"
#include "fleet/coordinator/session.h"

namespace ochrehub::coordinator {

struct SessionThreadSettings {
    SessionSettings session;        ///< its instance and seed are drawn where they are zero
    std::string cluster;            ///< its name
    std::vector<std::string> keys;  ///< the fleet's
    channel::DialSettings dial;
};

class SessionThread {
public:
    using Notification = std::variant<SessionRenewed, SessionLost, SessionUpdate>;
    /// On the side's own thread; must not block, and post what it has to its own loop.
    using Listener = std::function<void(const Notification&)>;
    /// Once, on the side's own thread; from the destructor, Uncertain, where no answer came.
    using Callback = std::function<void(Error, std::string result)>;

    /// `clock`: a copy of the one that its listeners compare `SessionRenewed::until` with. Nothing is sent
    /// before `start`.
    SessionThread(SessionThreadSettings settings, Clock clock);
    /// Waits for its thread's end. The session is not handed back by that alone: `close` it before, and wait
    /// for SessionLost.
    ~SessionThread();

    /// Before `start`. All are told all; each picks its machines' news.
    void add_listener(Listener listener) { listeners_.push_back(std::move(listener)); }
    void start();

    // From any thread:
    void submit(std::string kind, std::string body, Callback callback);
    void query(std::string kind, std::string body, Callback callback);
    void close();
    void set_keys(std::vector<std::string> keys);
    SessionId session() const { return session_.load(std::memory_order_relaxed); }
    std::uint64_t renewals() const { return renewals_.load(std::memory_order_relaxed); }
    std::uint64_t lost() const { return lost_.load(std::memory_order_relaxed); }

private:
    static SessionThreadSettings drawn(SessionThreadSettings settings);
    static channel::MeshSettings mesh_settings(const SessionThreadSettings& settings);
    void handle(const SessionEvent& event);
    void carry_out(SessionAction& action);
    void say(const std::string& to, std::string body);
    void up(std::uint64_t instance);
    template <class Event>
    void ask(std::string kind, std::string body, Callback callback);

    SessionThreadSettings set_;
    Clock clock_;
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    AsioScheduler scheduler_;
    channel::Mesh mesh_;
    Session core_;
    std::vector<Listener> listeners_;
    std::map<std::string, std::uint64_t> instances_;          // by address, while connected
    std::map<std::string, std::vector<std::string>> unsent_;  // until the connection is up
    std::map<std::uint64_t, Callback> callbacks_;
    std::uint64_t next_call_ = 1;
    TimerId timer_ = 0;
    std::atomic<SessionId> session_{0};
    std::atomic<std::uint64_t> renewals_{0}, lost_{0};
    std::thread thread_;
};

}  // namespace ochrehub::coordinator
