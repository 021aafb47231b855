#include "fleet/coordinator/session_thread.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "base/log.h"
#include "base/side_thread.h"
#include "fleet/coordinator/random_id.h"

namespace ochrehub::coordinator {
namespace {

/// Requests that wait for one connection. The session sends again what is dropped.
constexpr std::size_t kMaxUnsentRequests = 256;
/// SessionSettings::seed when it isn't set, or less.
constexpr std::uint64_t kDefaultSeed = 1;

}  // namespace

SessionThreadSettings SessionThread::with_random_ids(SessionThreadSettings settings) {
    if (settings.session.instance == 0) settings.session.instance = random_id();
    if (settings.session.seed <= kDefaultSeed) settings.session.seed = random_id();
    return settings;
}

channel::PeerConnectionsSettings SessionThread::peer_connections_settings(
    const SessionThreadSettings& settings) {
    const SessionSettings& session = settings.session;
    channel::PeerConnectionsSettings peer_connections;
    peer_connections.channel.self.name = session.name;
    peer_connections.channel.self.zone = session.zone;
    peer_connections.channel.self.instance = session.instance;
    peer_connections.channel.self.release = session.release;
    peer_connections.channel.self.min_schema = session.min_schema;
    peer_connections.channel.self.max_schema = session.max_schema;
    peer_connections.channel.cluster = fleet::fingerprint(settings.cluster);
    peer_connections.channel.keys = settings.keys;
    // A dead connection is noticed, and dialed again, several times within a lease.
    peer_connections.channel.idle_timeout = session.lease / 6;
    peer_connections.channel.dead_timeout = session.lease / 2;
    peer_connections.dial = settings.dial;
    peer_connections.dial.initial_backoff =
        std::min(peer_connections.dial.initial_backoff, session.lease / 30);
    peer_connections.dial.max_backoff = std::min(peer_connections.dial.max_backoff, session.lease / 6);
    peer_connections.dial.connect_timeout =
        std::min(peer_connections.dial.connect_timeout, session.lease / 3);
    return peer_connections;
}

SessionThread::SessionThread(SessionThreadSettings settings, Clock clock)
    : settings_(with_random_ids(std::move(settings))),
      clock_(clock),
      work_(io_.get_executor()),
      scheduler_(io_, clock_),
      peer_connections_(io_, scheduler_, std::nullopt, peer_connections_settings(settings_), random_id()),
      core_(settings_.session) {
    connect_mesh();
}

// NOLINTNEXTLINE(bugprone-exception-escape): a callback must not throw; one that does ends the process.
SessionThread::~SessionThread() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
    // Calls that are posted and not handled yet complete too, and the connections finishes what it has
    // started.
    io_.restart();
    io_.poll();
    peer_connections_.close();
    io_.poll();
    for (auto& [call, callback] : std::exchange(callbacks_, {})) callback(Error::PossiblyExecuted, {});
}

void SessionThread::connect_mesh() {
    peer_connections_.on_connected = [this](const channel::Peer& peer) { on_connected(peer.instance); };
    peer_connections_.on_disconnected = [this](const channel::Peer& peer, channel::Error) {
        on_disconnected(peer.instance);
    };
    peer_connections_.on_message = [this](const channel::Peer& peer, channel::MessageKind kind,
                                          std::string body) {
        if (kind != channel::MessageKind::Response) return;
        for (const auto& [address, instance] : connections_)
            if (instance == peer.instance) return handle(ResponseReceived{address, std::move(body)});
    };
    peer_connections_.on_dial_failed = [this](const std::string& address, channel::Error) {
        unsent_.erase(address);
        handle(Disconnected{address});
    };
}

void SessionThread::start() {
    thread_ = side_thread(io_, [](const std::exception& error) {
        log_line(LogLevel::Error, "coordinator session: thread ended, the session is lost: %s", error.what());
    });
    boost::asio::post(io_, [this] {
        for (const std::string& address : settings_.session.coordinators)
            if (!peer_connections_.dial(address))
                log(LogLevel::Error, "coordinator session: invalid coordinator address",
                    {{"address", address}});
        handle(SessionTimerFired{});
    });
}

template <class Event>
void SessionThread::post_call(std::string kind, std::string body, Callback callback) {
    boost::asio::post(io_, [this, kind = std::move(kind), body = std::move(body),
                            callback = std::move(callback)]() mutable {
        const std::uint64_t call = next_call_++;
        callbacks_.emplace(call, std::move(callback));
        handle(Event{call, std::move(kind), std::move(body)});
    });
}

void SessionThread::submit(std::string kind, std::string body, Callback callback) {
    post_call<CommandRequested>(std::move(kind), std::move(body), std::move(callback));
}

void SessionThread::query(std::string kind, std::string body, Callback callback) {
    post_call<QueryRequested>(std::move(kind), std::move(body), std::move(callback));
}

void SessionThread::close() {
    boost::asio::post(io_, [this] { handle(CloseRequested{}); });
}

void SessionThread::set_keys(std::vector<std::string> keys) {
    boost::asio::post(
        io_, [this, keys = std::move(keys)]() mutable { peer_connections_.set_keys(std::move(keys)); });
}

void SessionThread::handle(const SessionEvent& event) {
    SessionActions actions;
    core_.handle(scheduler_.now(), event, actions);
    for (SessionAction& action : actions) std::visit([this](auto& each) { perform(each); }, action);
    session_.store(core_.id(), std::memory_order_relaxed);
    renewals_.store(core_.renewals(), std::memory_order_relaxed);
    sessions_lost_.store(core_.sessions_lost(), std::memory_order_relaxed);
}

void SessionThread::notify(const Notification& notification) {
    for (const Listener& listener : listeners_) listener(notification);
}

void SessionThread::perform(CallCompleted& action) {
    auto found = callbacks_.extract(action.call);
    if (!found.empty()) found.mapped()(action.error, std::move(action.result));
}

void SessionThread::perform(SetSessionTimer& action) {
    scheduler_.cancel(timer_);
    timer_ = scheduler_.call_at(action.at, [this] {
        timer_ = 0;
        handle(SessionTimerFired{});
    });
}

/// What exceeds the capacity of the connections is dropped; the session sends it again.
void SessionThread::perform(SendRequest& action) {
    if (auto found = connections_.find(action.to); found != connections_.end()) {
        peer_connections_.send(found->second, channel::MessageKind::Request, std::move(action.body));
        return;
    }
    peer_connections_.dial(action.to);
    if (const std::uint64_t instance = peer_connections_.instance_at(action.to); instance != 0) {
        connections_[action.to] = instance;
        peer_connections_.send(instance, channel::MessageKind::Request, std::move(action.body));
        return;
    }
    auto& unsent = unsent_[action.to];
    if (unsent.size() < kMaxUnsentRequests) unsent.push_back(std::move(action.body));
}

void SessionThread::on_disconnected(std::uint64_t instance) {
    std::vector<std::string> addresses;
    for (const auto& [address, connected] : connections_)
        if (connected == instance) addresses.push_back(address);
    for (const std::string& address : addresses) {
        connections_.erase(address);
        handle(Disconnected{address});
    }
}

void SessionThread::on_connected(std::uint64_t instance) {
    for (const auto& [address, requests] : unsent_)
        if (peer_connections_.instance_at(address) == instance) connections_[address] = instance;
    for (const std::string& address : settings_.session.coordinators)
        if (peer_connections_.instance_at(address) == instance) connections_[address] = instance;
    for (const auto& [address, connected] : connections_) {
        if (connected != instance) continue;
        auto unsent = unsent_.extract(address);
        if (unsent.empty()) continue;
        for (std::string& body : unsent.mapped())
            peer_connections_.send(instance, channel::MessageKind::Request, std::move(body));
    }
}

}  // namespace ochrehub::coordinator
