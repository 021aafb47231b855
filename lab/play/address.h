// Loopback addresses alone: none other is ever listened on or connected to.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace ochrehub::lab {

using Endpoint = boost::asio::ip::tcp::endpoint;

/// what() says which address is refused and why.
struct AddressError : std::invalid_argument {
    using std::invalid_argument::invalid_argument;
};

/// "127.b.c.d:port". Throws AddressError on anything else.
Endpoint loopback(const std::string& text);
/// Throws AddressError unless it is in 127.0.0.0/8.
void must_be_loopback(const boost::asio::ip::address& address);
std::string text_of(const Endpoint& address);

/// Addresses of this process's own machines, so that plays beside one another do not meet.
boost::asio::ip::address_v4 machine(unsigned number);

/// An address of its own with a port that the system chose, held for good: connections to it are refused
/// while nobody listens, and nobody else is given it.
class Held {
public:
    Held(boost::asio::io_context& io, const boost::asio::ip::address_v4& address);
    const Endpoint& at() const { return at_; }

private:
    boost::asio::ip::tcp::socket socket_;
    Endpoint at_;
};

/// Listens on it: non-blocking, deep queue.
boost::asio::ip::tcp::acceptor listen_at(boost::asio::io_context& io, const Endpoint& at);
/// What comes to the socket from now on is dropped unseen, or no more: a connect neither comes up nor is
/// refused.
void deafen(int descriptor, bool on);
/// Closes with a reset.
void reset(boost::asio::ip::tcp::socket& socket);
/// As many descriptors as the system lets this process have.
void raise_descriptor_limit();

}  // namespace ochrehub::lab
