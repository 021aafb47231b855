// Attempts from send to end: what each teaches about its endpoint (latency, concurrency, outliers, health),
// and whether the request is retried or ends. Not responsible for which endpoint an attempt goes to.
#pragma once

#include "balancer/endpoint_picker.h"
#include "balancer/pending_queue.h"
#include "balancer/request_table.h"

namespace ochrehub::balancer {

class AttemptTracker {
public:
    struct Inputs {
        Modules& modules;
        HealthMonitor& monitor;
        EndpointPicker& picker;
        RequestTable& requests;
        PendingQueue& queue;
    };
    explicit AttemptTracker(const Inputs& inputs) : inputs_(inputs) {}

    /// Starts the request's next attempt.
    void send(Request& request, EndpointIndex index);
    void on_body_received(const RequestBodyReceived& event);
    void on_attempt_ended(const AttemptEnded& event);
    /// An AttemptTimeout timer fired.
    void on_attempt_timeout(RequestId id, std::uint64_t attempt);

private:
    void start_response_timer(const Request& request, const Endpoint& endpoint);
    bool closes_idle_connections(const Endpoint& endpoint, bool is_idle);
    void record_cross_zone(const Request& request, const Endpoint& endpoint, const AttemptEnded& event);
    void record_outcome(const Request& request, Attempt& attempt, const AttemptEnded& event);
    void record_response(const Request& request, const Attempt& attempt, Duration elapsed);
    void record_failed_trial(Endpoint& endpoint);
    void record_rejection(const Request& request, const Attempt& attempt, Duration elapsed);
    void record_failed_connection(Endpoint& endpoint, Duration elapsed);
    void record_timeout(Attempt& attempt);
    void retry_or_finish(Request& request, const Attempt& attempt, bool replayable);

    Inputs inputs_;
};

}  // namespace ochrehub::balancer
