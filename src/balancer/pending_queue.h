// Requests that wait for an endpoint, most urgent first: the highest priority weight per ms of work, among
// equals the newest, which can still be in time. A request leaves it for an endpoint, or is finished when a
// response could no longer be in time.
#pragma once

#include <functional>
#include <vector>

#include "balancer/endpoint_picker.h"
#include "balancer/request_table.h"

namespace ochrehub::balancer {

class PendingQueue {
public:
    /// Starts an attempt of a request at an endpoint.
    using Send = std::function<void(Request&, EndpointIndex)>;

    struct Inputs {
        Modules& modules;
        const HealthMonitor& monitor;
        EndpointPicker& picker;
        RequestTable& requests;
    };
    explicit PendingQueue(const Inputs& inputs)
        : modules_(inputs.modules),
          monitor_(inputs.monitor),
          picker_(inputs.picker),
          requests_(inputs.requests) {}

    /// Queues a request, or finishes it if it is too late.
    void enqueue(Request& request);
    /// Sends the requests for which there is an endpoint. After every event.
    void serve(const Send& send);
    /// A StartDeadline timer of the request's attempt number `epoch` fired.
    void on_start_deadline(RequestId id, std::uint64_t epoch);
    /// Capacity came free: the queue is served without a pause.
    void resume() { paused_until_ = modules_.now; }

private:
    Duration time_to_start(const Request& request) const;
    double urgency(const Request& request) const;
    bool awaits_load_probe(const Request& request) const;
    bool all_drained_by_admin() const;
    void drop_unqueued();
    void update_load_probe_crowding();
    std::size_t send_those_with_endpoint(const Send& send);

    Modules& modules_;
    const HealthMonitor& monitor_;
    EndpointPicker& picker_;
    RequestTable& requests_;
    std::vector<Request*> queue_;     ///< owned by requests_
    TimePoint paused_until_{};        ///< nothing had capacity
    TimePoint retry_timer_due_{};     ///< of the ServeQueue timer
    bool skips_load_probes_ = false;  ///< too many requests wait for load probes
};

}  // namespace ochrehub::balancer
