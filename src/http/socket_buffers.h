// Bounds what the kernel holds for a connection. Left alone it keeps megabytes for each whose client or
// server reads slowly, and a platform may count them as the process's memory.
#pragma once

#include <cstddef>

namespace ochrehub::http {

/// Set on a socket before it connects, or once it is accepted. Where the kernel cannot, its own bounds stay.
/// `memory_mb`: what the process may hold in all.
void bound_socket_buffers(int socket, std::size_t memory_mb);

/// The same while all sockets together hold too much: what moves goes on, what stands still holds little.
void bound_socket_buffers_small(int socket);

}  // namespace ochrehub::http
