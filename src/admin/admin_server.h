// The second address: a listener with its own connections, for one call each.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>

#include "admin/calls.h"

namespace ochrehub::admin {

class Visit;

class AdminServer {
public:
    /// Descriptors that it may hold: its connections, the listener, and what its loop needs.
    static constexpr std::size_t kDescriptors = 22;

    /// Throws boost::system::system_error where it cannot listen. `node` is called on the loop of `io` alone.
    AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& control, Node node);

    const Node& node() const { return node_; }

private:
    friend class Visit;
    using Visits = std::list<std::shared_ptr<Visit>>;

    void accept();
    void make_room();

    boost::asio::io_context& io_;
    Node node_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_;
    Visits visits_;  // those that came first in front
};

}  // namespace ochrehub::admin
