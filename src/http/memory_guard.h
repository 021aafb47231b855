// Measures what base/memory_account.h cannot charge: what the kernel holds for the sockets of this process,
// and its resident memory. Ten times a second, as long as there are so many connections that it could matter.
// Acts on what costs no client anything: makes sockets' buffers small while they hold much, and gives unused
// pages back to the system. What is left above the limit's parts is excess(), for which peers have to be
// closed. Where the kernel does not say, it counts as nothing.
#pragma once

#include <chrono>
#include <cstddef>

#include "base/buffer_pool.h"
#include "engine/counters.h"

namespace ochrehub::http {

/// What the kernel holds for a socket: received and not read, written and not acknowledged.
std::size_t kernel_bytes(int socket);

class MemoryGuard {
public:
    using Steady = std::chrono::steady_clock;

    /// `counters` may be null.
    MemoryGuard(BufferPool& pool, Counters* counters) : pool_(pool), counters_(counters) {}

    void measure(Steady::time_point now);
    /// Bytes to be given back, of whatever kind, before the process is within the parts of its limit.
    std::size_t excess() const;
    std::size_t socket_bytes() const { return socket_bytes_; }
    std::size_t resident_bytes() const { return resident_bytes_; }

private:
    void measure_sockets();
    void bound_sockets();
    void trim(Steady::time_point now);
    std::size_t last_line_excess() const;
    void publish() const;

    BufferPool& pool_;
    Counters* counters_;
    std::size_t socket_bytes_ = 0, resident_bytes_ = 0;
    bool sockets_are_small_ = false;
    Steady::time_point trimmed_at_{};
};

}  // namespace ochrehub::http
