// Drives the decision core: translates what fronts, upstreams and discovery report into its events, one at a
// time, and executes its actions in order. Owns the core and the tables of requests and attempts. Clock,
// sockets and protocols are behind the interfaces it is given, so it runs unchanged on virtual time.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "base/scheduler.h"
#include "engine/counters.h"
#include "engine/types.h"

namespace ochrehub {

class Engine : public UpstreamEvents {
public:
    Engine(Scheduler& scheduler, const Settings& settings, std::uint64_t seed);
    ~Engine() override;
    Engine(const Engine&) = delete;
    Engine& operator=(const Engine&) = delete;

    void connect(Upstream& upstream, DiscoverySource& discovery) {
        upstream_ = &upstream;
        discovery_ = &discovery;
    }

    /// Accepts a request; `sink` receives its final response, never before submit() returns.
    RequestId submit(IncomingRequest incoming, std::shared_ptr<ResponseSink> sink);
    /// The body of a request that was submitted with receiving_body is complete, or no longer waited for; its
    /// deadline is `deadline`. Only the first call counts.
    void body_received(RequestId id, TimePoint deadline);
    /// Whether an attempt of the request has been executed, or may be.
    bool may_have_been_executed(RequestId id);
    /// The client of this request has disconnected; no response is sent.
    void client_disconnected(RequestId id);

    void update_endpoints(const EndpointList& list);
    /// `hook` is called first in submit(), so that expired state is dropped before the request is decided on.
    void set_pre_submit_hook(std::function<void()> hook) { pre_submit_hook_ = std::move(hook); }
    /// Operators drain a server, or return it, in slow start as of `since`; it need not be listed now.
    void set_admin_override(std::uint64_t key, bool drained, TimePoint since);
    /// Whether another process of this node is running (takeover).
    void set_handover_peer_present(bool present) { post(HandoverPeerChanged{present}); }
    void set_fleet_size(int node_count, int node_index) {
        post(FleetSizeChanged{node_count < 1 ? 1 : node_count, node_index});
    }
    /// Receives each event of the decision core and the actions it led to, before they are carried out: for
    /// recorders. Called on the engine's thread; must not call the engine.
    using DecisionObserver = std::function<void(TimePoint now, const Event& event, const Actions& actions)>;
    void observe_decisions(DecisionObserver observer) { decision_observer_ = std::move(observer); }
    /// `counters` receives the number of unavailable endpoints; may be null.
    void set_counters(Counters* counters) { counters_ = counters; }
    /// True while the request is not completed, its deadline and the send deadline of a retry have not
    /// passed, and the client is connected. If the client has disconnected, the request is ended.
    bool may_send(AttemptId id) override;
    bool may_retry(AttemptId id) override;
    void attempt_ended(AttemptId id, AttemptResult result) override;
    void probe_ended(EndpointId server, Duration elapsed, Outcome outcome, LoadReport report) override;

    TimePoint now() const { return scheduler_.now(); }
    std::size_t open_requests() const { return open_requests_; }
    /// Requests whose messages are still held: not completed, or with an attempt that has not ended.
    std::size_t held_requests() const { return requests_.size(); }
    /// Whether any list so far had a server that was ready.
    bool has_servers() const { return has_servers_; }

private:
    std::function<void()> pre_submit_hook_;
    struct Attempt {
        EndpointId server = 0;
        TimePoint sent_at{}, send_deadline = TimePoint::max();
        TimerId timeout_timer = 0;
        bool ended = false;
        bool not_executed = false;
    };
    struct Request {
        RequestId id = 0;
        std::shared_ptr<ResponseSink> sink;
        std::shared_ptr<const Message> message;
        TimePoint deadline{};
        std::vector<Attempt> attempts;
        int open_attempts = 0;
        bool completed = false;
        bool timed_out = false;
        bool receiving_body = false;
        bool may_retry = true;
        TimerId overdue_timer = 0;
    };

    void post(Event event);
    void process_events();
    void execute(const Action& action);
    void forward(const Forward& action);
    bool check_client_waiting(Request& request);
    void set_overdue_timer(Request& request);
    void attempt_timed_out(AttemptId id);
    void end_attempt(AttemptId id, AttemptResult result);
    bool complete(Request& request, FinalResponse response);
    void erase_if_finished(RequestId id);
    void set_wake_timer(TimePoint at);
    Request* find(RequestId id);
    void stop_timer(TimerId& timer);

    Scheduler& scheduler_;
    Balancer balancer_;
    DecisionObserver decision_observer_;  ///< may be empty
    Duration response_grace_;
    std::vector<bool> class_may_retry_;  // per class: a request that may have been executed may be retried
    int max_attempts_;
    Upstream* upstream_ = nullptr;
    Counters* counters_ = nullptr;
    DiscoverySource* discovery_ = nullptr;
    TimerId wake_timer_ = 0;
    std::unordered_map<RequestId, Request> requests_;
    RequestId next_id_ = 0;
    std::size_t open_requests_ = 0;
    std::deque<RequestArrived> pending_arrivals_;  // submitted, not yet passed to the core
    std::deque<Event> events_;
    std::vector<RequestId> completed_requests_;  // while the current event was handled
    bool processing_events_ = false;
    bool has_servers_ = false;
};

}  // namespace ochrehub
