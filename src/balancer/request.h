// A request between its arrival and its final response, and its attempts.
#pragma once

#include <optional>
#include <vector>

#include "balancer/endpoint.h"
#include "ochrehub/balancer.h"

namespace ochrehub::balancer {

/// What is known about an attempt's execution.
enum class ExecutionState { Open, NotExecuted, PossiblyExecuted };

struct Attempt {
    EndpointIndex endpoint = 0;
    TimePoint sent{};
    ExecutionState execution = ExecutionState::Open;
    bool ended = false;
    bool timed_out = false;
    bool is_counted = true;           ///< in its endpoint's own_inflight
    bool on_idle_connection = false;  ///< sent on a connection that had not been used for a while
    int requests_before = 0;          ///< at the endpoint when it was sent, own and reported
};

struct Request {
    RequestId id = 0;
    int class_index = 0;
    int tenant = kNone;
    bool is_client_retry = false;
    bool finished = false;   ///< has its final response
    bool queued = false;     ///< in PendingQueue
    bool streaming = false;  ///< the response has begun
    bool receiving_body = false;
    double weight = 1;  ///< priority weight
    TimePoint arrived{};
    TimePoint deadline{};
    TimePoint useful_until{};                  ///< a later response earns nothing
    TimePoint retry_until = TimePoint::max();  ///< end of the deduplication window
    std::vector<Attempt> attempts;
    int open_attempts = 0;
    int load_probes = 0;                         ///< sent on its behalf
    std::optional<EndpointIndex> awaited_probe;  ///< the endpoint whose load probe it waits for
    bool skips_load_probes = false;              ///< too little time to wait for one, or for another
};

}  // namespace ochrehub::balancer
