#include "fleet/shards/shard_service.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <sstream>
#include <utility>

#include "base/log.h"
#include "base/side_thread.h"
#include "fleet/shards/wire.h"

namespace ochrehub::shards {
namespace {

std::string text(const channel::PeerConnections::Endpoint& at) {
    std::ostringstream out;
    out << at;
    return out.str();
}
ShardServiceSettings with_shared_values(ShardServiceSettings set) {
    set.client.shard_count = set.table.shard_count;
    set.client.instance = set.peer_connections.channel.self.instance;
    set.worker_threads = std::max<std::size_t>(1, set.worker_threads);
    return set;
}

}  // namespace

// One thread and its core, which has the shards with number % worker_threads == its index. Only this thread
// calls the core.
struct ShardService::Worker {
    Worker(ShardService& s, const ShardHolder::Settings& settings, Table& table, Clock clock)
        : service(s), work(io.get_executor()), scheduler(io, clock), core(settings, table) {}

    void post(std::function<void()> what) { boost::asio::post(io, std::move(what)); }
    void handle(const ShardHolder::Event& event) {
        ShardHolder::Actions actions;
        core.handle(scheduler.now(), event, actions);
        for (ShardHolder::Action& action : actions) {
            if (auto* wake = std::get_if<ShardHolder::SetTimer>(&action)) {
                if (timer != 0) scheduler.cancel(timer);
                timer = scheduler.call_at(wake->at, [this] {
                    timer = 0;
                    handle(ShardHolder::TimerFired{});
                });
                continue;
            }
            boost::asio::post(service.io_, [this, a = std::move(action)]() mutable {
                if (auto* tell = std::get_if<ShardHolder::SendMessage>(&a))
                    service.send(tell->to, std::move(tell->body));
                else if (auto* answered = std::get_if<ShardHolder::SendResponse>(&a))
                    service.respond(answered->to, std::move(answered->body));
                else if (auto* proposes = std::get_if<ShardHolder::SubmitCommand>(&a))
                    service.propose(std::move(proposes->body));
                else
                    service.query_map();
            });
        }
        if (core.map().number > 0) released.store(core.is_released(), std::memory_order_relaxed);
    }

    ShardService& service;
    boost::asio::io_context io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    AsioScheduler scheduler;
    ShardHolder core;
    TimerId timer = 0;
    std::atomic<bool> released{false};
    std::thread thread;
};

ShardService::ShardService(ShardServiceSettings settings, Clock clock,
                           coordinator::SessionThread& coordinators)
    : set_(with_shared_values(std::move(settings))),
      clock_(clock),
      coordinators_(coordinators),
      table_(set_.table),
      work_(io_.get_executor()),
      scheduler_(io_, clock_),
      peer_connections_(io_, scheduler_, set_.listen, set_.peer_connections,
                        set_.peer_connections.channel.self.instance),
      client_(set_.client) {
    if (set_.holder.address.empty()) set_.holder.address = text(peer_connections_.listen_address());
    peer_connections_.on_message = [this](const channel::Peer& peer, channel::MessageKind kind,
                                          std::string body) {
        if (kind == channel::MessageKind::Shard) deliver(peer.instance, body);
    };
    for (std::size_t i = 0; set_.holds_shards && i < set_.worker_threads; ++i) {
        ShardHolder::Settings holder = set_.holder;
        holder.worker_index = i, holder.worker_count = set_.worker_threads;
        workers_.push_back(std::make_unique<Worker>(*this, holder, table_, clock_));
    }
    coordinators_.add_listener([this](const coordinator::SessionThread::Notification& what) {
        boost::asio::post(io_, [this, what] { on_session_event(what); });
    });
}

ShardService::~ShardService() {
    for (auto& worker : workers_) worker->io.stop();
    for (auto& worker : workers_)
        if (worker->thread.joinable()) worker->thread.join();
    io_.stop();
    if (thread_.joinable()) thread_.join();
    io_.restart();
    io_.poll();
    peer_connections_.close();
    io_.poll();
}

void ShardService::start() {
    auto ended = [](const std::exception& error) {
        log_line(LogLevel::Error,
                 "shards: thread ended by an exception: %s; this process takes no further part in the shards",
                 error.what());
    };
    for (auto& worker : workers_) {
        Worker* w = worker.get();
        w->post([w] { w->handle(ShardHolder::TimerFired{}); });
        w->thread = side_thread(w->io, ended);
    }
    thread_ = side_thread(io_, ended);
}

void ShardService::request(bool writes, Write write, Duration within, Callback done, bool never_erased) {
    boost::asio::post(io_, [this, writes, write = std::move(write), within, done = std::move(done),
                            never_erased]() mutable {
        std::uint64_t id = next_id_++;
        callbacks_.emplace(id, std::move(done));
        handle(ShardClient::Request{id, writes, std::move(write), scheduler_.now() + within, never_erased});
    });
}

void ShardService::leave() {
    for (auto& worker : workers_) worker->post([w = worker.get()] { w->handle(ShardHolder::Leave{}); });
}

void ShardService::on_session_event(const coordinator::SessionThread::Notification& what) {
    if (const auto* held = std::get_if<coordinator::SessionRenewed>(&what)) {
        session_ = held->session, valid_until_ = held->until;
        for (auto& worker : workers_)
            worker->post([w = worker.get(), s = session_, until = valid_until_] {
                w->handle(ShardHolder::SessionRenewed{s, until, {}});
            });
    } else if (const auto* lost = std::get_if<coordinator::SessionLost>(&what)) {
        if (lost->session == session_) session_ = 0;
        for (auto& worker : workers_)
            worker->post([w = worker.get()] { w->handle(ShardHolder::SessionExpired{}); });
    } else if (const auto& one = std::get<coordinator::SessionUpdate>(what); one.kind == "views") {
        on_map(one.bytes);
    }
}

void ShardService::on_map(const std::string& map) {
    if (session_ != 0)
        for (auto& worker : workers_)
            worker->post([w = worker.get(), s = session_, until = valid_until_, map] {
                w->handle(ShardHolder::SessionRenewed{s, until, map});
            });
    handle(ShardClient::MapReceived{map});
    map_number_.store(client_.map().number, std::memory_order_relaxed);
    std::set<std::string> addresses;
    for (const auto& [session, place] : client_.map().holders)
        if (session != session_ && place.address != set_.holder.address) addresses.insert(place.address);
    for (const std::string& address : addresses)
        if (!dialed_.contains(address)) peer_connections_.dial(address);
    for (const std::string& address : dialed_)
        if (!addresses.contains(address)) peer_connections_.drop(address);
    dialed_ = std::move(addresses);
    released_ = std::all_of(workers_.begin(), workers_.end(),
                            [](const auto& w) { return w->released.load(std::memory_order_relaxed); });
}

void ShardService::query_map() {
    if (std::exchange(is_querying_map_, true)) return;
    coordinators_.query("views", {}, [this](coordinator::Error error, std::string map) {
        boost::asio::post(io_, [this, error, map = std::move(map)] {
            is_querying_map_ = false;
            if (error == coordinator::Error::None && !map.empty()) on_map(map);
        });
    });
}

void ShardService::propose(std::string body) {
    coordinators_.submit("views", std::move(body), [this](coordinator::Error error, const std::string&) {
        if (error == coordinator::Error::None) boost::asio::post(io_, [this] { query_map(); });
    });
}

void ShardService::send(SessionId to, std::string body) {
    if (to == session_) return deliver(0, body);
    auto holder = client_.map().holders.find(to);
    if (holder == client_.map().holders.end()) return;
    // Without a connection the message is dropped. Streams and requests are resent by themselves, as they are
    // when a message is lost on a connection.
    if (std::uint64_t instance = peer_connections_.instance_at(holder->second.address); instance != 0)
        peer_connections_.send(instance, channel::MessageKind::Shard, std::move(body));
}

void ShardService::respond(std::uint64_t to, std::string body) {
    if (to == 0) return deliver(0, body);
    peer_connections_.send(to, channel::MessageKind::Shard, std::move(body));
}

void ShardService::deliver(std::uint64_t from, const std::string& body) {
    wire::Message message;
    if (!message.ParseFromString(body)) return;
    if (message.answers_size() > 0) handle(ShardClient::MessageReceived{body});
    if (workers_.empty()) return;
    std::vector<wire::Message> parts(workers_.size());
    for (wire::Ask& a : *message.mutable_asks()) parts[a.shard() % parts.size()].add_asks()->Swap(&a);
    for (wire::Copy& c : *message.mutable_copies()) parts[c.shard() % parts.size()].add_copies()->Swap(&c);
    for (wire::Copied& c : *message.mutable_copied()) parts[c.shard() % parts.size()].add_copied()->Swap(&c);
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (parts[i].ByteSizeLong() == 0) continue;
        workers_[i]->post([w = workers_[i].get(), from, part = parts[i].SerializeAsString()] {
            w->handle(ShardHolder::MessageReceived{from, part});
        });
    }
}

void ShardService::handle(const ShardClient::Event& event) {
    ShardClient::Actions actions;
    client_.handle(scheduler_.now(), event, actions);
    for (ShardClient::Action& action : actions) {
        if (auto* say = std::get_if<ShardClient::SendMessage>(&action)) {
            send(say->to, std::move(say->body));
        } else if (auto* done = std::get_if<ShardClient::Completed>(&action)) {
            auto it = callbacks_.find(done->id);
            Callback told = std::move(it->second);
            callbacks_.erase(it);
            told(*done);
        } else {
            if (timer_ != 0) scheduler_.cancel(timer_);
            timer_ = scheduler_.call_at(std::get<ShardClient::SetTimer>(action).at, [this] {
                timer_ = 0;
                handle(ShardClient::TimerFired{});
            });
        }
    }
}

}  // namespace ochrehub::shards
