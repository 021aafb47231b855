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

    void connect(Upstream& upstream, DiscoverySource& registry) {
        upstream_ = &upstream;
        registry_ = &registry;
    }

    /// Takes a request; `caller` hears its final answer. Never answers before it returns.
    RequestId submit(IncomingRequest call, std::shared_ptr<ResponseSink> caller);
    /// The body of a call that was submitted as uploading is whole; its client gives up at `give_up_at`.
    void body_received(RequestId id, TimePoint give_up_at);
    /// The client of this request has gone: nothing is owed any more.
    void client_disconnected(RequestId id);

    void update_endpoints(const EndpointList& listing);
    /// Called before each request is decided on, so that what must not be acted on any more is not.
    void set_pre_submit_hook(std::function<void()> look) { look_ = std::move(look); }
    /// Operators take a server out, or put it back cold at `since`; whether it is listed now does not matter.
    void set_admin_override(std::uint64_t key, bool out, TimePoint since);
    /// Another process of this node lives, or no longer does.
    void set_handover_peer_present(bool twin) { post(HandoverPeerChanged{twin}); }
    void set_fleet_size(int gateways, int me) { post(FleetSizeChanged{gateways < 1 ? 1 : gateways, me}); }
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
    std::size_t open_requests() const { return unanswered_; }
    /// Those whose messages are still held: unanswered, or with an attempt that has not ended.
    std::size_t held_requests() const { return requests_.size(); }
    /// There has been a list with a server that is ready.
    bool has_servers() const { return has_servers_; }

private:
    std::function<void()> look_;
    struct Attempt {
        EndpointId server = 0;
        TimePoint sent{}, begin_by = TimePoint::max();
        TimerId limit = 0;
        bool ended = false;
    };
    struct Request {
        RequestId id = 0;
        std::shared_ptr<ResponseSink> caller;
        std::shared_ptr<const Message> message;
        TimePoint give_up_at{};
        std::vector<Attempt> attempts;
        int open = 0;
        bool answered = false;
        bool timed_out = false;
        bool uploading = false;
        bool repeatable = true;
        TimerId overdue = 0;
    };

    void post(Event event);
    void drain();
    void carry_out(const Action& action);
    void forward(const Forward& action);
    bool still_wanted(Request& request);
    void limit(Request& request);
    void attempt_late(AttemptId id);
    void end_attempt(AttemptId id, AttemptResult result);
    bool conclude(Request& request, FinalResponse reply);
    void drop_if_over(RequestId id);
    void set_wake(TimePoint at);
    Request* find(RequestId id);
    void stop_timer(TimerId& timer);

    Scheduler& scheduler_;
    Balancer balancer_;
    DecisionObserver decision_observer_;  ///< empty: nobody observes
    Duration grace_;
    std::vector<bool> repeatable_;  // of each class: what may have run may be sent again
    int max_attempts_;
    Upstream* upstream_ = nullptr;
    Counters* counters_ = nullptr;
    DiscoverySource* registry_ = nullptr;
    TimerId wake_ = 0;
    std::unordered_map<RequestId, Request> requests_;
    RequestId next_id_ = 0;
    std::size_t unanswered_ = 0;
    std::deque<RequestArrived> arrived_;  // submitted, not yet told to the module
    std::deque<Event> events_;
    std::vector<RequestId> concluded_;  // while the event in hand was carried out
    bool draining_ = false;
    bool has_servers_ = false;
};

}  // namespace ochrehub
