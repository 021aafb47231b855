// A TCP relay between two processes: it listens in place of one and forwards each connection to it. Each
// direction can be cut, delayed or made to lose bytes, independent of the other. Runs on a thread of its own;
// functions may be called from any thread and have taken effect when they return. Loopback addresses only.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "ochrehub/balancer.h"

namespace ochrehub::lab {

enum class Direction : std::uint8_t { Forward, Backward };  ///< Forward: from the process that connects
enum class LossMode : std::uint8_t {
    /// As on a network that loses packets: nothing arrives, closes included, until the cut ends; then all
    /// does.
    Held,
    /// Bytes received during the cut are lost and later ones arrive: a gap in the stream, which TCP itself
    /// never
    /// has.
    Dropped,
};

class Relay {
public:
    using Endpoint = boost::asio::ip::tcp::endpoint;

    /// Listens from construction on (port 0: any free port). Throws std::invalid_argument for an address that
    /// is not loopback, boost::system::system_error if it can't listen.
    Relay(const Endpoint& listen, const Endpoint& target);
    /// Resets all connections.
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    Endpoint at() const;
    std::string address() const;  ///< "127.0.0.1:port"
    /// Sets the target of new connections, for instance of a restarted process.
    void target(const Endpoint& target);

    void cut(Direction direction, bool on, LossMode lost = LossMode::Held);
    /// Cuts both directions, with LossMode::Held.
    void stall(bool on);
    /// Delays the bytes received from now on, in order.
    void delay(Direction direction, Duration late);
    /// Closes all connections with a reset on both sides; new ones are accepted.
    void reset();
    /// Starts or stops refusing new connections at the port.
    void refuse(bool on);

    std::size_t open() const;                                  ///< open connections
    std::uint64_t connections() const;                         ///< accepted since the start
    std::uint64_t forwarded_bytes(Direction direction) const;  ///< bytes forwarded since the start

private:
    struct Core;
    std::shared_ptr<Core> core_;
};

}  // namespace ochrehub::lab
