// What is counted of requests, attempts and servers: one definition each, for the figures and the second
// address alike. Written by the node's loop alone, where the event happens; read by any thread at any time.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace ochrehub {

/// Has one writer, so that an addition needs no lock.
class Counter {
public:
    void add(std::int64_t more = 1) { set(get() + more); }
    void set(std::int64_t value) { value_.store(value, std::memory_order_relaxed); }
    std::int64_t get() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> value_{0};
};

struct Counters {
    /// Of whole requests of a class, by the answer that went out whole: 200 (off the platform: below 400),
    /// 429 or 503, any other. One whose client left is in none of them.
    struct Class {
        Counter succeeded, rejected, failed;
    };

    explicit Counters(std::size_t class_count) : classes(class_count) {}

    std::vector<Class> classes;
    Counter active_requests;        ///< requests taken and neither answered whole nor left
    Counter attempts_sent;          ///< attempts written whole to a server
    Counter listed_endpoints;       ///< servers in the list
    Counter unavailable_endpoints;  ///< ... that get nothing new now
};

}  // namespace ochrehub
