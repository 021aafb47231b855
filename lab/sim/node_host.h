// The host of one simulated node: starts and ends its process, and holds what the kernel of a real one holds,
// connections that have not been accepted and requests that have not been read. Included by world.cpp alone.
#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "lab/sim/emulated_node.h"
#include "lab/sim/world.h"

namespace ochrehub::lab {

/// One node of the tier: its process, which may be killed and started again, and what its kernel holds for
/// it.
class World::NodeHost : public NodeWorld {
public:
    NodeHost(World& world, NodeNo number) : world_(world), number_(number) {
        place_ = {Place::What::Node, number, world.day_.nodes[std::size_t(number)].zone};
    }

    ConnectionNo connect(ServerNo server) override { return world_.open_link(number_, server); }
    void send(ConnectionNo connection, std::shared_ptr<const SimMessage> message,
              Duration patience) override {
        world_.send(connection, std::move(message), patience, false);
    }
    void send_probe(ConnectionNo connection) override {
        world_.send(connection, nullptr, Duration{-1}, true);
    }
    void close(ConnectionNo connection) override { world_.close_link(connection); }
    void reply(ClientConnection connection, TryId id, const SimReply& reply) override {
        world_.reply(number_, life_, connection, id, reply);
    }
    void close_client(ClientConnection connection) override { world_.close_client(connection); }
    bool has_unread_request(ClientConnection connection) const override {
        return unread_requests_.contains(connection);
    }
    ListCall ask_list(std::optional<std::uint64_t> index, Duration wait) override {
        return world_.ask_list(number_, index, wait);
    }
    void drop_list_call(ListCall call) override {
        world_.list_calls_.erase(call);
        world_.carry(place_, world_.discovery_place_, {},
                     [w = &world_, call] { w->tell_discovery(ListCallGone{call}); });
    }

    bool running() const { return node_ != nullptr; }
    template <class F>
    void enter(F f) {
        if (node_) scheduler_->enter(std::move(f));
    }
    /// A client's request has arrived. It lies unread in the connection's socket until the process reads it,
    /// which cannot be before it has accepted the connection.
    void request_arrived(std::shared_ptr<const Ask> ask) {
        if (!node_) return;
        unread_requests_.insert(ask->connection);
        auto opening = opening_.find(ask->connection);
        UnreadRequest request{scheduler_->now(), std::move(ask)};
        if (scheduler_->sheds() && opening != opening_.end())
            opening->second = std::move(request);
        else
            queue_request(std::move(request));
    }
    /// A client opens a connection. If it has given up and closed by the time that the process accepts the
    /// connection or reads its request, the process sees the close first and spends little on either.
    void opens(ClientConnection c) {
        if (!node_) return;
        opening_[c] = {};
        enter([this, c] {
            UnreadRequest request = std::move(opening_[c]);
            opening_.erase(c);
            if (scheduler_->sheds() && closed_.erase(c) > 0) {
                unread_requests_.erase(c);
                return scheduler_->was_cheap();
            }
            scheduler_->was_accept();
            node_->client_opened(c);
            if (request.ask) queue_request(std::move(request));
        });
    }
    void closes(ClientConnection c) {
        if (!node_) return;
        closed_.insert(c);
        scheduler_->enter([this, c] {
            if (closed_.erase(c) == 0) return scheduler_->was_nothing();
            scheduler_->was_cheap();
            node_->client_closed(c);
        });
    }
    SimNode* node() { return node_.get(); }
    NodeScheduler& scheduler() { return *scheduler_; }

    void start(std::unique_ptr<Meddler> meddler) {
        ++life_;
        scheduler_ = std::make_unique<NodeScheduler>(world_.scheduler_,
                                                     world_.day_.nodes[std::size_t(number_)].event_cpu);
        scheduler_->sheds(world_.options_.sheds);
        meddler_ = std::move(meddler);
        Settings settings = settings_of(world_.day_, number_);
        if (world_.options_.settings) world_.options_.settings(settings);
        std::uint64_t seed = mix(mix(world_.day_.seed, 0x6e6f6465), std::uint64_t(number_) << 20 | life_);
        SimFront::LoadStateHeard load_state;
        if (world_.options_.load_state)
            load_state = [this](const LoadState::Change& change) {
                world_.options_.load_state(number_, change);
            };
        scheduler_->enter([this, &settings, seed, &load_state] {
            node_ = std::make_unique<EmulatedNode>(world_.day_, number_, settings, *scheduler_, *this,
                                                   world_.discovery_->known(), seed, meddler_.get(),
                                                   world_.options_.bounded_admission, std::move(load_state));
        });
    }
    void end() {
        ++life_;
        node_.reset();
        scheduler_.reset();
        meddler_.reset();
        closed_.clear();
        unread_requests_.clear();
        opening_.clear();
    }

    std::uint32_t life() const { return life_; }
    const Place& place() const { return place_; }
    std::vector<ConnectionNo>& links() { return links_; }
    bool stopping = false, ready = false;

private:
    /// A request that has arrived and that the process has not read.
    struct UnreadRequest {
        TimePoint arrived;
        std::shared_ptr<const Ask> ask;  ///< null: none
    };

    void queue_request(UnreadRequest request) {
        scheduler_->enter_request(request.arrived,
                                  [this, ask = std::move(request.ask)] { read_request(*ask); });
    }
    void read_request(const Ask& ask) {
        unread_requests_.erase(ask.connection);
        if (scheduler_->sheds() && closed_.erase(ask.connection) > 0) {
            scheduler_->was_cheap();
            node_->client_closed(ask.connection);
            return;
        }
        world_.request_read(ask.connection);
        node_->client_asked(ask);
    }

    World& world_;
    NodeNo number_;
    Place place_;
    std::uint32_t life_ = 0;
    std::unique_ptr<NodeScheduler> scheduler_;
    std::unique_ptr<Meddler> meddler_;
    std::unique_ptr<SimNode> node_;
    std::vector<ConnectionNo> links_;
    boost::unordered_flat_set<ClientConnection>
        closed_;  // by their clients, which the process has yet to find
    boost::unordered_flat_set<ClientConnection> unread_requests_;
    /// Connections that the process has yet to accept, each with the request that came on it, if any.
    boost::unordered_flat_map<ClientConnection, UnreadRequest> opening_;
};

}  // namespace ochrehub::lab
