#include "fleet/coordinator/session_thread.h"

#include <boost/asio/post.hpp>
#include <random>
#include <utility>

#include "base/log.h"
#include "base/side_thread.h"

namespace ochrehub::coordinator {
namespace {

constexpr std::size_t kUnsent =
    256;  // messages that wait for one connection; what is more goes again by itself

std::uint64_t draw() {
    std::random_device device;
    std::uint64_t number = std::uint64_t(device()) << 32 | device();
    return number == 0 ? 1 : number;
}

}  // namespace

SessionThreadSettings SessionThread::drawn(SessionThreadSettings settings) {
    if (settings.session.instance == 0) settings.session.instance = draw();
    if (settings.session.seed <= 1) settings.session.seed = draw();
    return settings;
}

channel::MeshSettings SessionThread::mesh_settings(const SessionThreadSettings& settings) {
    channel::MeshSettings mesh;
    channel::Peer& self = mesh.channel.self;
    self.name = settings.session.name, self.zone = settings.session.zone,
    self.instance = settings.session.instance;
    self.release = settings.session.release, self.schema_least = settings.session.min_schema,
    self.schema_most = settings.session.max_schema;
    mesh.channel.cluster = fleet::fingerprint(settings.cluster);
    mesh.channel.keys = settings.keys;
    mesh.channel.idle = settings.session.lease / 6, mesh.channel.dead = settings.session.lease / 2;
    mesh.dial = settings.dial;
    mesh.dial.first = std::min(mesh.dial.first, settings.session.lease / 30);
    mesh.dial.most = std::min(mesh.dial.most, settings.session.lease / 6);
    mesh.dial.limit = std::min(mesh.dial.limit, settings.session.lease / 3);
    return mesh;
}

SessionThread::SessionThread(SessionThreadSettings settings, Clock clock)
    : set_(drawn(std::move(settings))),
      clock_(clock),
      work_(io_.get_executor()),
      scheduler_(io_, clock_),
      mesh_(io_, scheduler_, std::nullopt, mesh_settings(set_), draw()),
      core_(set_.session) {
    mesh_.up = [this](const channel::Peer& peer) { up(peer.instance); };
    mesh_.down = [this](const channel::Peer& peer, channel::Error) {
        std::vector<std::string> gone;
        for (const auto& [address, instance] : instances_)
            if (instance == peer.instance) gone.push_back(address);
        for (const std::string& address : gone) instances_.erase(address), handle(Disconnected{address});
    };
    mesh_.deliver = [this](const channel::Peer& peer, channel::Kind kind, std::string body) {
        if (kind != channel::Kind::Answer) return;
        for (const auto& [address, instance] : instances_)
            if (instance == peer.instance) return handle(ResponseReceived{address, std::move(body)});
    };
    mesh_.unreached = [this](const std::string& address, channel::Error) {
        unsent_.erase(address);
        handle(Disconnected{address});
    };
}

SessionThread::~SessionThread() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
    // What was asked and not looked at yet is answered too, and what still hangs on the mesh ends.
    io_.restart();
    io_.poll();
    mesh_.close();
    io_.poll();
    for (auto& [call, callback] : std::exchange(callbacks_, {})) callback(Error::Uncertain, {});
}

void SessionThread::start() {
    thread_ = side_thread(io_, [](const std::exception& error) {
        log_line(LogLevel::Error, "keepers: %s: this process has no session any more", error.what());
    });
    boost::asio::post(io_, [this] {
        for (const std::string& address : set_.session.coordinators)
            if (!mesh_.dial(address)) log(LogLevel::Error, "no address of a keeper:", {{"address", address}});
        handle(SessionTimerFired{});
    });
}

template <class Event>
void SessionThread::ask(std::string kind, std::string body, Callback callback) {
    boost::asio::post(io_, [this, kind = std::move(kind), body = std::move(body),
                            callback = std::move(callback)]() mutable {
        std::uint64_t call = next_call_++;
        callbacks_.emplace(call, std::move(callback));
        handle(Event{call, std::move(kind), std::move(body)});
    });
}

void SessionThread::submit(std::string kind, std::string body, Callback callback) {
    ask<CommandRequested>(std::move(kind), std::move(body), std::move(callback));
}

void SessionThread::query(std::string kind, std::string body, Callback callback) {
    ask<QueryRequested>(std::move(kind), std::move(body), std::move(callback));
}

void SessionThread::close() {
    boost::asio::post(io_, [this] { handle(CloseRequested{}); });
}

void SessionThread::set_keys(std::vector<std::string> keys) {
    boost::asio::post(io_, [this, keys = std::move(keys)]() mutable { mesh_.use(std::move(keys)); });
}

void SessionThread::handle(const SessionEvent& event) {
    SessionActions actions;
    core_.handle(scheduler_.now(), event, actions);
    for (SessionAction& action : actions) carry_out(action);
    session_.store(core_.id(), std::memory_order_relaxed);
    renewals_.store(core_.renewals(), std::memory_order_relaxed);
    lost_.store(core_.lost(), std::memory_order_relaxed);
}

void SessionThread::carry_out(SessionAction& action) {
    auto tell = [this](const Notification& told) {
        for (const Listener& listener : listeners_) listener(told);
    };
    if (auto* out = std::get_if<SendRequest>(&action)) {
        say(out->to, std::move(out->body));
    } else if (const auto* held = std::get_if<SessionRenewed>(&action)) {
        tell(*held);
    } else if (const auto* lost = std::get_if<SessionLost>(&action)) {
        tell(*lost);
    } else if (const auto* news = std::get_if<SessionUpdate>(&action)) {
        tell(*news);
    } else if (auto* answered = std::get_if<CallCompleted>(&action)) {
        auto found = callbacks_.find(answered->call);
        if (found == callbacks_.end()) return;
        Callback callback = std::move(found->second);
        callbacks_.erase(found);
        callback(answered->error, std::move(answered->result));
    } else if (const auto* wake = std::get_if<SetSessionTimer>(&action)) {
        scheduler_.cancel(timer_);
        timer_ = scheduler_.call_at(wake->at, [this] {
            timer_ = 0;
            handle(SessionTimerFired{});
        });
    }
}

void SessionThread::say(const std::string& to, std::string body) {
    if (auto found = instances_.find(to); found != instances_.end()) {
        // What does not fit goes again by itself.
        mesh_.send(found->second, channel::Kind::Ask, std::move(body));
        return;
    }
    mesh_.dial(to);
    if (std::uint64_t instance = mesh_.instance_at(to); instance != 0) {
        instances_[to] = instance;
        mesh_.send(instance, channel::Kind::Ask, std::move(body));
        return;
    }
    auto& waiting = unsent_[to];
    if (waiting.size() < kUnsent) waiting.push_back(std::move(body));
}

void SessionThread::up(std::uint64_t instance) {
    for (const auto& [address, waiting] : unsent_)
        if (mesh_.instance_at(address) == instance) instances_[address] = instance;
    for (const std::string& address : set_.session.coordinators)
        if (mesh_.instance_at(address) == instance) instances_[address] = instance;
    for (const auto& [address, there] : instances_) {
        if (there != instance) continue;
        auto found = unsent_.find(address);
        if (found == unsent_.end()) continue;
        // They may have waited for long: only the last ones are of use, and a session asks again by itself.
        for (std::string& body : std::exchange(found->second, {}))
            mesh_.send(instance, channel::Kind::Ask, std::move(body));
        unsent_.erase(address);
    }
}

}  // namespace ochrehub::coordinator
