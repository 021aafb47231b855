#include "http/socket_buffers.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace ochrehub::http {

namespace {

/// Written and not sent, as the far side takes no more. What is on its way is not counted, so that it bounds
/// no fast connection.
constexpr int kMaxUnsentBytes = 32 * 1024;
/// Written and not acknowledged, where the far side's machine has vanished.
constexpr int kMaxSendBytes = 256 * 1024;
/// Received and not read, as a part of the memory limit: of 1,024 connections all were two thirds of it. The
/// kernel doubles it for its own part.
constexpr std::size_t kUnreadBytesPerMb = std::size_t{1024} * 2 / 3;
constexpr std::size_t kLeastUnreadBytes = std::size_t{64} * 1024;
constexpr std::size_t kMostUnreadBytes = std::size_t{256} * 1024;

/// While all sockets together hold too much, in each direction. The kernel doubles it.
constexpr int kSmallBytes = 16 * 1024;

void set_option(int socket, int level, int option, int value) {
    (void)setsockopt(socket, level, option, &value, sizeof value);
}

}  // namespace

void bound_socket_buffers(int socket, std::size_t memory_mb) {
    std::size_t unread = std::clamp(memory_mb * kUnreadBytesPerMb, kLeastUnreadBytes, kMostUnreadBytes);
    set_option(socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, kMaxUnsentBytes);
    set_option(socket, SOL_SOCKET, SO_SNDBUF, kMaxSendBytes);
    set_option(socket, SOL_SOCKET, SO_RCVBUF, int(unread));
}

void bound_socket_buffers_small(int socket) {
    set_option(socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, kSmallBytes);
    set_option(socket, SOL_SOCKET, SO_SNDBUF, kSmallBytes);
    set_option(socket, SOL_SOCKET, SO_RCVBUF, kSmallBytes);
}

}  // namespace ochrehub::http
