// Discovery's client on sockets: carries out what `Watch` decides, over one kept connection, and reads lists.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/asio_scheduler.h"
#include "discovery/server_list.h"
#include "discovery/watch.h"
#include "engine/types.h"
#include "http/connection.h"

namespace ochrehub::discovery {

class Watcher : public DiscoverySource {
public:
    using Listed = std::function<void(const EndpointList&)>;

    /// `gone_stays`: a server that the list calls gone may still be used, so its id keeps its meaning.
    Watcher(boost::asio::io_context& io, Scheduler& scheduler, BufferPool& pool, Names names, bool gone_stays,
            const boost::asio::ip::tcp::endpoint& discovery, std::uint64_t seed, Listed listed);
    ~Watcher();

    /// Takes the list that the node was started with.
    void cached(const ServerList& known);
    void watch() override;
    /// Watches at another address from now on. What is out at the old one still counts until the new one has
    /// answered: no change is missed between them.
    void move_to(const boost::asio::ip::tcp::endpoint& discovery);

private:
    struct Out {
        CallNo call = 0;
        std::shared_ptr<http::Connection> connection;
    };

    /// Hands the event to the core and carries out what it says; `list` is what an Answered has brought.
    void happens(const WatchEvent& event, const ServerList* list = nullptr);
    void make(const MakeCall& call);
    void drop(CallNo call);
    void ended(CallNo call, const http::Connection::Result& result);
    EndpointList listing_of(const ServerList& list);
    void forget_unnamed(const ServerList& list);

    boost::asio::io_context& io_;
    Scheduler& scheduler_;
    BufferPool& pool_;
    Names names_;
    boost::asio::ip::tcp::endpoint discovery_;
    Listed listed_;
    Watch watch_;
    std::vector<Out> out_;                    // at most two: the call, and the one before it
    std::shared_ptr<http::Connection> idle_;  // to `discovery_`, for the next call
    const char* why_ = "";                    // of the last end, for the log
    TimerId timer_ = 0;
    std::unordered_map<std::string, EndpointId> ids_;  // of the servers listed; a number is never given twice
    EndpointId next_id_ = 0;
    bool gone_stays_;
};

}  // namespace ochrehub::discovery
