// The connections of an emulated node to its servers: does in virtual time what http::ServerPool does on
// sockets.
#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <deque>
#include <vector>

#include "lab/sim/sim_node.h"

namespace ochrehub::lab {

class SimPool : public Upstream {
public:
    SimPool(Scheduler& scheduler, NodeWorld& world, UpstreamEvents& events, const Settings& settings,
            std::size_t most_connections, Meddler* meddler);

    void update_endpoints(const EndpointList& listing) override;
    void start_attempt(AttemptId id, EndpointId server, std::shared_ptr<const Message> message,
                       Duration patience) override;
    bool cancel_attempt(AttemptId id) override;
    void probe(EndpointId server, Duration limit) override;
    void close_idle_connections(EndpointId server) override;

    void link_up(ConnectionNo connection);
    void link_refused(ConnectionNo connection);
    void link_answer(const LinkAnswer& answer);
    void link_broken(ConnectionNo connection);

    const Meddler::Hands& hands() const { return hands_; }
    Meddler::Hands& hands() { return hands_; }

private:
    enum class State : std::uint8_t { Connecting, Busy, Idle };
    struct Link {
        State state = State::Connecting;
        bool probe = false, own = true;  // own: of the engine's; else a meddler's
        EndpointId server = 0;
        AttemptId attempt;
        std::shared_ptr<const SimMessage> message;
        Duration patience{};
        TimePoint began{}, rested_at{};
        TimerId timer = 0;  // of the connecting, of a probe, or of an answer that does not end
    };
    struct Server {
        ServerNo number = kNobody;
        bool sendable = false;
        std::vector<ConnectionNo> idle;  // the most recently used one last
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
        return id < servers_.size() && servers_[id].number != kNobody ? &servers_[id] : nullptr;
    }
    ConnectionNo take(EndpointId id, Server& server);
    void begin(ConnectionNo number, Link& link);
    void finish(ConnectionNo number, Outcome outcome, const LinkAnswer* answer, bool reusable);
    void forget(ConnectionNo number, bool close);
    bool make_room();
    bool close_oldest();
    void retire_idle();
    void unlist_idle(const Link& link, ConnectionNo number);

    Scheduler& scheduler_;
    NodeWorld& world_;
    UpstreamEvents& events_;
    Duration connect_timeout_, idle_most_;
    bool removal_binds_;
    std::size_t most_connections_;
    Meddler* meddler_;
    Meddler::Hands hands_;
    std::vector<Server> servers_;  // by ServerId
    std::vector<EndpointId> sendable_;
    boost::unordered_flat_map<ConnectionNo, Link> links_;
    boost::unordered_flat_map<AttemptId, ConnectionNo, IdHash, IdSame> attempts_;
    std::deque<std::pair<TimePoint, ConnectionNo>>
        rested_;  // oldest first; what has been used since is passed over
};

}  // namespace ochrehub::lab
