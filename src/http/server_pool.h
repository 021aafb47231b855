// The connections to servers: carries the engine's attempts and probes, one request a connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "engine/counters.h"
#include "engine/types.h"
#include "http/connection.h"
#include "http/manner.h"

namespace ochrehub::http {

class ServerPool : public Upstream {
public:
    ServerPool(boost::asio::io_context& io, BufferPool& pool, UpstreamEvents& events,
               const Settings& settings, std::size_t most_connections, const Manner& manner = {},
               Counters* counters = nullptr);

    void servers(const Listing& listing) override;
    void start(AttemptId id, ServerId server, std::shared_ptr<const Message> message,
               Duration patience) override;
    bool stop(AttemptId id) override;
    void probe(ServerId server, Duration limit) override;
    void close_idle(ServerId server) override;
    void by_hand(std::uint64_t key, bool out) override;
    /// No more connections than this from now on, idle ones that are over it included.
    void keep_to(std::size_t most_connections);

private:
    using ConnectionPtr = std::shared_ptr<Connection>;
    struct Server {
        std::optional<Connection::Endpoint> address;
        bool sendable = false;            // listed, and neither draining nor gone
        std::uint64_t key = 0;            // what operators' words about it go by
        std::vector<ConnectionPtr> idle;  // the most recently used one last
    };
    struct IdHash {
        std::size_t operator()(const AttemptId& id) const {
            return std::hash<std::uint64_t>{}(id.request * 8 + std::uint64_t(id.attempt));
        }
    };
    struct IdSame {
        bool operator()(const AttemptId& a, const AttemptId& b) const {
            return a.request == b.request && a.attempt == b.attempt;
        }
    };

    Server* find(ServerId id) {
        auto it = servers_.find(id);
        return it == servers_.end() ? nullptr : &it->second;
    }
    bool may_send(ServerId id) {
        Server* server = find(id);
        return server && server->sendable && !out_.contains(server->key);
    }
    ConnectionPtr connection_to(ServerId id);
    void give_back(ServerId id, const ConnectionPtr& connection, bool reusable);
    void attempt_done(AttemptId id, ServerId server, const ConnectionPtr& connection,
                      Connection::Result result);
    void retire_idle();
    bool make_room();
    void end_later(AttemptId id, Outcome outcome);

    boost::asio::io_context& io_;
    BufferPool& pool_;
    UpstreamEvents& events_;
    Duration connect_timeout_, idle_most_;
    bool removal_binds_;
    std::size_t most_connections_, connections_ = 0;
    Manner manner_;
    Counters* counters_;
    std::unordered_set<std::uint64_t> out_;  // keys of servers out by hand
    std::unordered_map<ServerId, Server> servers_;  // those that may be sent to; what has left is forgotten
    std::unordered_map<AttemptId, ConnectionPtr, IdHash, IdSame> attempts_;
    boost::asio::steady_timer sweep_;
};

}  // namespace ochrehub::http
