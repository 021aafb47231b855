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
#include "http/http_profile.h"

namespace ochrehub::http {

/// When a connection is used again. A second copy that comes some milliseconds behind an answer would be
/// taken for the next request's.
struct Reuse {
    /// Sooner behind an answer only where a new connection would cost too much, and then what it says is
    /// doubted. Some times what holds up a write of a busy server's: a turn of its scheduler, a
    /// retransmission between machines.
    std::chrono::milliseconds rest{30};
    /// Too much: more than one further handshake for so many requests, of which so many are put by.
    double spare_part = 1.0 / 256, spare_most = 8;
    /// Once a server has said what nobody asked for, no connection is used sooner for so long, whatever that
    /// costs. A node of many seldom sees such a server, so it remembers long.
    std::chrono::minutes wary{5};
    /// A doubted answer is too soon in less than this part of the shortest time that so many others have
    /// taken. Where that is less than `soonest_least` it says nothing: so much is the loop's own.
    double soonest_part = 0.5;
    int soonest_of = 32;
    Duration soonest_least{1};
};

class ServerPool : public Upstream {
public:
    ServerPool(boost::asio::io_context& io, BufferPool& pool, UpstreamEvents& events,
               const Settings& settings, std::size_t most_connections, const HttpProfile& profile = {},
               Counters* counters = nullptr, const Reuse& reuse = {});

    void update_endpoints(const EndpointList& listing) override;
    void start_attempt(AttemptId id, EndpointId server, std::shared_ptr<const Message> message,
                       Duration patience) override;
    bool cancel_attempt(AttemptId id) override;
    void probe(EndpointId server, Duration limit) override;
    void close_idle_connections(EndpointId server) override;
    void set_admin_override(std::uint64_t key, bool out) override;
    /// No more connections than this from now on, idle ones that are over it included.
    void keep_to(std::size_t most_connections);
    /// Those that come up, carry something or rest.
    std::size_t connections() const { return connections_; }
    /// How many of those in use should end, so that further requests find one.
    std::size_t missing() const;

private:
    using ConnectionPtr = std::shared_ptr<Connection>;
    struct Server {
        std::optional<Connection::Endpoint> address;
        bool sendable = false;  // listed, and neither draining nor gone
        std::optional<TimePoint> last_start;
        std::uint64_t key = 0;            // what operators' words about it go by
        std::vector<ConnectionPtr> idle;  // the most recently used one last
        Duration shortest{};              // time to an answer's first byte, of those that nobody doubts
        int answers = 0;                  // ... and how many they were
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

    Server* find(EndpointId id) {
        auto it = servers_.find(id);
        return it == servers_.end() ? nullptr : &it->second;
    }
    /// The list has this endpoint, not draining, at this address. It may be out by hand: it is still probed.
    bool is_listed(EndpointId id, const Connection::Endpoint& at) {
        Server* server = find(id);
        return server && server->sendable && server->address == at;
    }
    bool may_send(EndpointId id, const Connection::Endpoint& at) {
        return is_listed(id, at) && !out_.contains(find(id)->key);
    }
    ConnectionPtr connection_to(EndpointId id);
    void close_idle_before(Server& server, TimePoint start);
    void drop_displaced(const EndpointList& changes);
    void give_back(EndpointId id, const ConnectionPtr& connection, bool reusable);
    void attempt_done(AttemptId id, EndpointId server, const ConnectionPtr& connection,
                      Connection::Result result, bool doubted);
    void note_stalled(const Connection::Endpoint& server, bool passed_on);
    void learn(EndpointId id, const Connection::Result& result, bool doubted);
    Duration soonest(const Server& server) const;
    void beware();
    void retire_idle();
    bool make_room();
    void end_later(AttemptId id, Outcome outcome);

    boost::asio::io_context& io_;
    BufferPool& pool_;
    UpstreamEvents& events_;
    Duration connect_timeout_, idle_most_;
    bool removal_binds_;
    std::size_t most_connections_, connections_ = 0;
    HttpProfile profile_;
    Counters* counters_;
    Reuse reuse_;
    double spare_ = 0;  // handshakes for connections that need not rest
    Connection::Steady::time_point wary_until_{};
    std::unordered_set<std::uint64_t> out_;           // keys of servers out by hand
    std::unordered_map<EndpointId, Server> servers_;  // those that may be sent to; what has left is forgotten
    std::unordered_map<AttemptId, ConnectionPtr, IdHash, IdSame> attempts_;
    boost::asio::steady_timer sweep_;
};

}  // namespace ochrehub::http
