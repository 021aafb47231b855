// Counters of requests, attempts and servers, shared by the statistics output and the admin address. The
// node's event loop is the only writer; any thread may read at any time.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace ochrehub {

/// A counter with a single writer, so an addition needs no atomic read-modify-write.
class Counter {
public:
    void add(std::int64_t more = 1) { set(get() + more); }
    void set(std::int64_t value) { value_.store(value, std::memory_order_relaxed); }
    std::int64_t get() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> value_{0};
};

/// What may run short.
enum class Resource { Memory, ClientConnections, ServerConnections, kResources };

inline const char* name(Resource resource) {
    static constexpr std::array kNames{"memory", "client_connections", "server_connections"};
    return kNames[std::size_t(resource)];
}

struct Counters {
    /// Requests of one class by the response that was sent completely: succeeded is 200 (in deployments
    /// outside the platform: below 400), rejected 429 or 503, failed any other. A request whose client
    /// disconnected is counted in none of them.
    struct Class {
        Counter succeeded, rejected, failed;
    };

    explicit Counters(std::size_t class_count) : classes(class_count) {}

    std::vector<Class> classes;
    Counter active_requests;     ///< accepted, neither responded to completely nor abandoned by the client
    Counter attempts_sent;       ///< attempts written completely to a server
    Counter given_up_for_stop;   ///< requests that a stop ended before their own deadline
    Counter uploads_given_up;    ///< request bodies that their server did not take in time
    Counter responses_given_up;  ///< responses that had begun and whose server fell silent
    Counter buffer_bytes;        ///< held in buffers of messages
    Counter head_bytes;          ///< held in heads and short bodies
    Counter connection_bytes;    ///< charged for connections
    Counter socket_bytes;        ///< held by the kernel for connections
    Counter refused_for_memory;  ///< requests that were not whole, refused for lack of memory
    Counter memory_trims;        ///< unused memory was given back to the system
    /// Clients that stood still, closed for others, by what ran short.
    std::array<Counter, std::size_t(Resource::kResources)> closed_stalled;
    Counter listed_endpoints;       ///< servers in the list
    Counter unavailable_endpoints;  ///< listed servers that get no new requests
};

}  // namespace ochrehub
