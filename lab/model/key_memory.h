// The keys that the servers of one group have seen. Times in ms, of whichever server asks.
#pragma once

#include <boost/circular_buffer.hpp>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>

#include "lab/model/server.h"

namespace ochrehub::lab {

/// A key counts as seen once work on a request with it has begun, for the class's window from when that
/// request had arrived. Whether another one is a repeat goes by when it arrived, however long it has waited
/// since. A run that is stopped on its way has had no effect and is forgotten.
class Server::KeyMemory {
public:
    /// Beyond its window a key is kept this long for repeats that arrived in time and still wait.
    static constexpr double kLinger = 10000;

    using Run = std::uint64_t;
    enum class Seen { New, Running, Done };

    Seen look(int cls, std::uint64_t key, double arrived) const;
    Run begin(int cls, std::uint64_t key, double arrived, double window, double now);
    void finish(int cls, std::uint64_t key, Run run);
    void stop(int cls, std::uint64_t key, Run run);

    std::size_t size() const { return entries_.size(); }
    /// How often work with this key has run to its end, as far as the key is still known.
    int executions(int cls, std::uint64_t key) const;
    /// The most that any key has come to, forgotten ones included.
    int most_executions() const { return most_; }

private:
    struct Id {
        std::uint64_t key = 0;
        int cls = 0;
        bool operator==(const Id&) const = default;
        friend std::size_t hash_value(const Id& id) {
            return (id.key + static_cast<std::uint64_t>(id.cls)) * 0x9e3779b97f4a7c15;
        }
    };
    struct Entry {
        Run run = 0;
        double until = 0;
        bool running = false;
        int executions = 0;
    };
    struct Forget {
        Id id;
        Run run = 0;
        double at = 0;
    };

    void forget(double now);

    boost::unordered_flat_map<Id, Entry> entries_;  // never walked
    boost::circular_buffer<Forget> forgetting_;
    Run runs_ = 0;
    int most_ = 0;
};

}  // namespace ochrehub::lab
