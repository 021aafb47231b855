// A link between two processes, byte for byte: it listens in the place of one and connects to it, and each
// direction can be cut, late or torn while the other goes on. On a thread of its own; all of it may be called
// from any thread, and holds once the call has returned. Loopback alone.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "ochrehub/balancer.h"

namespace ochrehub::lab {

enum class Direction : std::uint8_t { Forth, Back };  ///< Forth: from the process that connects
enum class Lost : std::uint8_t {
    Held,  ///< as on a network that loses packets: nothing arrives, closes included, until it is whole again,
           ///< then all does
    Dropped,  ///< what comes meanwhile is gone, and what comes behind it arrives: a torn stream, which TCP
              ///< never gives
};

class Relay {
public:
    using Endpoint = boost::asio::ip::tcp::endpoint;

    /// Listens from here on (port 0: any that is free). Throws std::invalid_argument for what is not
    /// loopback, and boost::system::system_error where it cannot listen.
    Relay(const Endpoint& listen, const Endpoint& target);
    /// Resets what is open.
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    Endpoint at() const;
    std::string address() const;  ///< "127.0.0.1:port"
    /// Where connections lead from now on: the process is another.
    void target(const Endpoint& target);

    void cut(Direction direction, bool on, Lost lost = Lost::Held);
    /// Both directions, held.
    void stall(bool on);
    /// What comes from now on arrives so much later, in order.
    void delay(Direction direction, Duration late);
    /// Ends all connections with a reset on both sides; those that follow come about.
    void reset();
    /// No new connection comes about: the port refuses, or takes them again.
    void refuse(bool on);

    std::size_t open() const;                          ///< connections now
    std::uint64_t connections() const;                 ///< up to now
    std::uint64_t crossed(Direction direction) const;  ///< octets handed on up to now

private:
    struct Core;
    std::shared_ptr<Core> core_;
};

}  // namespace ochrehub::lab
