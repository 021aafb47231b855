// Owns the decision module, its clock and its tables of requests and attempts. Turns what happens into the
// module's events, one at a time, and carries its actions out in order. It knows no clock, socket or protocol
// but through the seams it is given, and so runs unchanged on virtual time.
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

    /// Takes a request; `caller` hears its final answer. Never answers before it returns.
    RequestId submit(IncomingRequest incoming, std::shared_ptr<ResponseSink> sink);
    /// The body of a call that was submitted as uploading is whole; its client gives up at `give_up_at`.
    void body_received(RequestId id, TimePoint deadline);
    /// The client of this request has gone: nothing is owed any more.
    void client_disconnected(RequestId id);

    void update_endpoints(const EndpointList& list);
    /// Called before each request is decided on, so that what must not be acted on any more is not.
    void set_pre_submit_hook(std::function<void()> hook) { pre_submit_hook_ = std::move(hook); }
    /// Operators take a server out, or put it back cold at `since`; whether it is listed now does not matter.
    void set_admin_override(std::uint64_t key, bool drained, TimePoint since);
    /// Another process of this node lives, or no longer does.
    void set_handover_peer_present(bool present) { post(HandoverPeerChanged{present}); }
    void set_fleet_size(int node_count, int node_index) {
        post(FleetSizeChanged{node_count < 1 ? 1 : node_count, node_index});
    }
    /// Receives each event of the decision core and the actions it led to, before they are carried out: for
    /// recorders. Called on the engine's thread; must not call the engine.
    using DecisionObserver = std::function<void(TimePoint now, const Event& event, const Actions& actions)>;
    void observe_decisions(DecisionObserver observer) { decision_observer_ = std::move(observer); }
    /// Where the module's count of avoided servers goes; may be null.
    void set_counters(Counters* counters) { counters_ = counters; }
    /// It may still be written: its request is unanswered, its time and the window for a repeat are not over,
    /// and its caller is not gone; where that is, the request departs.
    bool may_send(AttemptId id) override;
    bool may_retry(AttemptId id) override;
    void attempt_ended(AttemptId id, AttemptResult result) override;
    void probe_ended(EndpointId server, Duration elapsed, Outcome outcome, LoadReport report) override;

    TimePoint now() const { return scheduler_.now(); }
    std::size_t open_requests() const { return open_requests_; }
    /// Those whose messages are still held: unanswered, or with an attempt that has not ended.
    std::size_t held_requests() const { return requests_.size(); }
    /// There has been a list with a server that is ready.
    bool has_servers() const { return has_servers_; }

private:
    std::function<void()> pre_submit_hook_;
    struct Attempt {
        EndpointId server = 0;
        TimePoint sent_at{}, send_deadline = TimePoint::max();
        TimerId timeout_timer = 0;
        bool ended = false;
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
    DecisionObserver decision_observer_;  ///< empty: nobody observes
    Duration response_grace_;
    std::vector<bool> class_may_retry_;  // of each class: what may have run may be sent again
    int max_attempts_;
    Upstream* upstream_ = nullptr;
    Counters* counters_ = nullptr;
    DiscoverySource* discovery_ = nullptr;
    TimerId wake_timer_ = 0;
    std::unordered_map<RequestId, Request> requests_;
    RequestId next_id_ = 0;
    std::size_t open_requests_ = 0;
    std::deque<RequestArrived> pending_arrivals_;  // submitted, not yet told to the module
    std::deque<Event> events_;
    std::vector<RequestId> completed_requests_;  // while the event in hand was carried out
    bool processing_events_ = false;
    bool has_servers_ = false;
};

}  // namespace ochrehub
