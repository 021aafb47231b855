// The requests without a final response or with attempts in flight, and how they end. Every Reject and Fail
// action of the balancer comes from finish_without_response; admission and the engine's deadline timer
// respond to clients by themselves. A request stays until its last attempt has ended.
#pragma once

#include <unordered_map>
#include <vector>

#include "balancer/modules.h"

namespace ochrehub::balancer {

class RequestTable {
public:
    explicit RequestTable(Modules& modules) : modules_(modules) {}

    Request& add(RequestId id) { return requests_[id]; }
    /// Null where it is not known any more. The pointer is valid until erase_finished.
    Request* find(RequestId id);

    /// The request has its final response: cancels the attempts in flight.
    void finish(Request& request);
    /// Rejects or fails a request that is not finished.
    void finish_without_response(Request& request);
    /// One of its attempts ended after it had finished.
    void on_attempt_of_finished(RequestId id) { finished_.push_back(id); }
    /// Drops finished requests without attempts in flight. Once per event.
    void erase_finished();

private:
    Modules& modules_;
    std::unordered_map<RequestId, Request> requests_;  ///< only for lookup: its order is not defined
    std::vector<RequestId> finished_;                  ///< of this event; may hold one twice
};

}  // namespace ochrehub::balancer
