// Reading a socket with the age of its bytes.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "ochrehub/balancer.h"

namespace ochrehub::http {

/// Sets on a listener, before it listens, what its connections then have from it: bytes are stamped as they
/// come, also those of connections that nobody has accepted yet.
void hand_down(boost::asio::ip::tcp::acceptor& acceptor);
/// The next connection; would_block where there is none.
int accept_one(boost::asio::ip::tcp::acceptor& acceptor, boost::system::error_code& error);
/// Its far side has closed or reset it, also where bytes before that are still unread. Never waits; false
/// where the kernel does not say.
bool gone(int socket);

/// A read of it would not wait: bytes lie there, or its end. Never waits.
bool readable(int socket);

/// How many bytes written to it, its end counted as one, the far side's system does not have yet; none where
/// the kernel does not say.
int unacknowledged(int socket);

/// At most so long ago bytes last arrived, read or not; none where the kernel does not say.
std::optional<Duration> since_last_arrival(int socket);

/// The last bytes, `count` at most, of the `unread` that lie in it, all of which stay there; none where the
/// kernel does not give them.
std::optional<std::string> peek_tail(int socket, std::size_t unread, std::size_t count);

struct Received {
    std::size_t bytes = 0;
    boost::system::error_code error;  ///< would_block, eof, ...
    Duration age{0};                  ///< of the last of them; zero where the kernel does not say
};
Received receive(boost::asio::ip::tcp::socket& socket, char* into, std::size_t room);

/// What bytes that are old by their stamp are to be judged by: the stamp is of the clock on the wall, which
/// is set.
struct Look {
    bool gone = false;  ///< the far side has closed
    Duration age{0};    ///< since bytes last came, at most
};
Look look(boost::asio::ip::tcp::socket& socket, Duration stamped);

}  // namespace ochrehub::http
