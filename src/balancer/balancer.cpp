// Dispatches each event to the modules, in one order: the event itself, the subset, the pending queue,
// finished requests, the next wake-up. Every rule is in a module; include/ochrehub/balancer.h is the public
// interface.
#include "ochrehub/balancer.h"

#include <algorithm>
#include <utility>

#include "balancer/attempt_tracker.h"
#include "balancer/endpoint_picker.h"
#include "balancer/health_monitor.h"
#include "balancer/modules.h"
#include "balancer/pending_queue.h"
#include "balancer/request_table.h"

namespace ochrehub {

class Balancer::Impl {
public:
    Impl(Settings settings, std::uint64_t seed) : modules_(std::move(settings), seed) {}

    std::size_t unavailable_endpoints() const { return modules_.subset.unavailable(); }

    void handle(TimePoint now, const Event& event, Actions& actions) {
        modules_.now = now;
        modules_.actions = &actions;
        modules_.slow_start.record_event(now);
        std::visit([this](const auto& each) { on(each); }, event);
        update_subset();
        queue_.serve(send_);
        requests_.erase_finished();
        if (auto wakeup = modules_.timers.wakeup_to_request()) modules_.emit(SetTimer{*wakeup});
    }

private:
    void on(const EndpointUpdate& update) {
        if (auto delay = modules_.discovery.first_poll()) start_poll_timer(*delay);
        if (update.kind == UpdateKind::Failed) {  // the old list stays in force
            if (auto delay = modules_.discovery.poll_after_failure()) start_poll_timer(*delay);
            return;
        }
        modules_.registry.begin_update(update.kind);
        for (const EndpointEntry& entry : update.entries) {
            auto applied = modules_.registry.apply(entry, modules_.now);
            if (applied.is_new_process) reset(modules_.registry.at(applied.index));
        }
        if (update.kind != UpdateKind::Cached) {
            modules_.discovery.record_success();
            modules_.registry.forget_removed(modules_.now);
        }
        modules_.subset.invalidate();
    }

    void on(const AdminOverride& change) {
        modules_.subset.invalidate();
        modules_.registry.apply_override(change, modules_.now);
        if (change.drained) return;
        for (Endpoint& endpoint : modules_.registry.endpoints())
            if (!endpoint.registration.is_free && endpoint.entry.key == change.key) reset(endpoint);
    }

    void on(const HandoverPeerChanged& change) {
        // Only the slow-start budget is halved, which two processes of this node share during a handover.
        constexpr double kHalf = 0.5;
        modules_.slow_start.set_budget_fraction(change.peer_present ? kHalf : 1);
    }

    void on(const FleetSizeChanged& change) {
        modules_.settings.node_count = change.node_count;
        modules_.settings.node_index = change.node_index;
        modules_.subset.invalidate();
    }

    void on(const RequestArrived& event);

    void on(const RequestBodyReceived& event) { attempts_.on_body_received(event); }

    void on(const StreamStarted& event) {
        if (Request* request = requests_.find(event.request)) request->streaming = true;
    }

    void on(const AttemptEnded& event) { attempts_.on_attempt_ended(event); }

    void on(const ProbeEnded& event) { monitor_.on_probe_ended(event); }

    void on(const ClientDisconnected& event) {
        if (Request* request = requests_.find(event.request)) requests_.finish(*request);
    }

    void on(const TimerFired&) {
        modules_.timers.on_wakeup(modules_.now);
        while (auto target = modules_.timers.pop_due(modules_.now)) on_timer(*target);
    }

    void on_timer(const balancer::TimerTarget& target);
    void start_poll_timer(Duration delay);
    void reset(balancer::Endpoint& endpoint);
    void update_subset();

    using Endpoint = balancer::Endpoint;
    using Request = balancer::Request;

    balancer::Modules modules_;
    balancer::HealthMonitor monitor_{modules_};
    balancer::EndpointPicker picker_{modules_, monitor_};
    balancer::RequestTable requests_{modules_};
    balancer::PendingQueue queue_{{modules_, monitor_, picker_, requests_}};
    balancer::AttemptTracker attempts_{{modules_, monitor_, picker_, requests_, queue_}};
    balancer::PendingQueue::Send send_ = [this](Request& request, balancer::EndpointIndex index) {
        attempts_.send(request, index);
    };
};

void Balancer::Impl::on(const RequestArrived& event) {
    const ClassSettings& settings = modules_.settings.classes[std::size_t(event.class_index)];
    const TimePoint now = modules_.now;
    Request& request = requests_.add(event.request);
    request.id = event.request;
    request.class_index = event.class_index;
    request.tenant = event.tenant;
    request.is_client_retry = event.is_client_retry;
    request.arrived = now;
    request.deadline = event.deadline;
    request.receiving_body = event.receiving_body;
    Duration extra = event.effort ? settings.latency_objective_per_effort * *event.effort : Duration{0};
    Duration objective = settings.latency_objective + extra;
    request.useful_until =
        settings.late_response_weight > 0 ? request.deadline : std::min(now + objective, request.deadline);
    // Where load probes take long, a request may have time for none.
    Duration probe_timeout = modules_.load_reports.load_probe_timeout();
    request.skips_load_probes =
        probe_timeout > std::max(balancer::kMinLoadProbeTimeout, (request.useful_until - now) / 4);
    request.weight = modules_.priority.weight_of(event, now);
    modules_.throughput.record_arrival(request.is_client_retry, now);
    if (!request.is_client_retry) {
        modules_.priority.record_arrival(request.class_index);
        modules_.retry.record_first_attempt();
    }
    queue_.enqueue(request);
}

void Balancer::Impl::on_timer(const balancer::TimerTarget& target) {
    using balancer::TimerKind;
    switch (target.kind) {
        case TimerKind::ProbeDue:
            return monitor_.on_probe_due(target.subject, target.epoch);
        case TimerKind::ProbeTimeout:
            return monitor_.on_probe_timeout(target.subject);
        case TimerKind::DiscoveryPoll:
            if (modules_.discovery.is_current(target.epoch)) modules_.emit(WatchEndpoints{});
            return;
        case TimerKind::StartDeadline:
            return queue_.on_start_deadline(target.subject, target.epoch);
        case TimerKind::AttemptTimeout:
            return attempts_.on_attempt_timeout(target.subject, target.epoch);
        case TimerKind::ServeQueue:
            return;
    }
}

void Balancer::Impl::start_poll_timer(Duration delay) {
    modules_.start_timer(delay, {balancer::TimerKind::DiscoveryPoll, 0, modules_.discovery.next_epoch()});
}

// A new process of an endpoint: nothing learnt from the last one holds.
void Balancer::Impl::reset(Endpoint& endpoint) {
    modules_.health.reset(endpoint.health);
    modules_.concurrency.reset(endpoint.concurrency);
    endpoint.load.contradicted_reports = 0;
    modules_.latency.reset(endpoint.latency, modules_.now);
    modules_.slow_start.reset_span(endpoint.slow_start);
    // Nodes that start together do not all begin with the same endpoint.
    endpoint.rotation.current = -modules_.random.uniform();
    modules_.registry.apply_returned_start(endpoint);
}

void Balancer::Impl::update_subset() {
    balancer::SubsetSelector& subset = modules_.subset;
    if (!subset.is_due(modules_.now)) return;
    subset.rebuild(modules_.now);
    for (balancer::EndpointIndex index : subset.order()) {
        Endpoint& endpoint = modules_.registry.at(index);
        modules_.concurrency.initialise(endpoint.concurrency, subset.nodes_per_endpoint(), modules_.now);
        if (subset.offer(endpoint)) monitor_.start_probing(index);
    }
}

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(TimePoint now, const Event& event, Actions& actions) {
    impl_->handle(now, event, actions);
}

std::size_t Balancer::unavailable_endpoints() const {
    return impl_->unavailable_endpoints();
}

}  // namespace ochrehub
