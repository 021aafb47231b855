#include "balancer/pending_queue.h"

#include <algorithm>

namespace ochrehub::balancer {
namespace {

/// Requests tried without success before the rest are left, and how long they are left, in ms.
constexpr std::size_t kMaxMisses = 6;
constexpr Duration kQueuePause{3};
/// Divisor of the request's time that bounds kResponseTransfer.
constexpr double kTransferDivisor = 10;
/// Multiple of the expected response time that is kept for the response.
constexpr double kResponseReserve = 1.4;
/// Fraction of its time that a request waits for its first attempt. It is rejected shortly before half of its
/// time has passed, so that its client has the other half for a retry.
constexpr double kMaxWaitFraction = 0.47;
/// A start deadline closer than this has passed, in ms.
constexpr double kStartTolerance = 0.5;

}  // namespace

void PendingQueue::enqueue(Request& request) {
    if (time_to_start(request).count() <= 0 || all_drained_by_admin())
        return requests_.finish_without_response(request);
    request.queued = true;
    double own_urgency = urgency(request);
    auto position =
        std::ranges::find_if(queue_, [&](const Request* other) { return urgency(*other) <= own_urgency; });
    queue_.insert(position, &request);
    modules_.start_timer(time_to_start(request),
                         {TimerKind::StartDeadline, request.id, request.attempts.size()});
}

void PendingQueue::on_start_deadline(RequestId id, std::uint64_t epoch) {
    Request* request = requests_.find(id);
    if (!request || !request->queued || request->attempts.size() != epoch) return;
    Duration remaining = time_to_start(*request);
    if (remaining.count() <= kStartTolerance) return requests_.finish_without_response(*request);
    modules_.start_timer(remaining, {TimerKind::StartDeadline, id, epoch});
}

void PendingQueue::serve(const Send& send) {
    if (all_drained_by_admin()) {
        for (Request* request : queue_) requests_.finish_without_response(*request);
    }
    drop_unqueued();
    if (queue_.empty() || modules_.now < paused_until_) return;
    update_load_probe_crowding();
    std::size_t misses = send_those_with_endpoint(send);
    drop_unqueued();
    if (misses >= kMaxMisses) paused_until_ = modules_.now + kQueuePause;
    if (queue_.empty() || retry_timer_due_ > modules_.now) return;
    // Capacity comes with time too, and a small node sees few events.
    retry_timer_due_ = modules_.now + kQueuePause;
    modules_.start_timer(kQueuePause, {TimerKind::ServeQueue, 0, 0});
}

// A load probe serves one request or two: many that wait for them would leave endpoints with capacity idle.
void PendingQueue::update_load_probe_crowding() {
    auto awaits = [this](const Request* request) { return awaits_load_probe(*request); };
    skips_load_probes_ =
        queue_.size() > kMaxMisses &&
        (skips_load_probes_ || std::size_t(std::ranges::count_if(queue_, awaits)) > kMaxMisses);
    picker_.set_skips_load_probes(skips_load_probes_);
}

std::size_t PendingQueue::send_those_with_endpoint(const Send& send) {
    std::size_t misses = 0;
    for (Request* request : queue_) {
        if (!skips_load_probes_ && awaits_load_probe(*request)) continue;
        bool probes_are_slow = modules_.load_reports.load_probe_timeout() > kMinLoadProbeTimeout;
        if (request->awaited_probe && probes_are_slow) request->skips_load_probes = true;
        request->awaited_probe.reset();
        if (auto endpoint = picker_.pick(*request))
            send(*request, *endpoint);
        else if (++misses >= kMaxMisses)
            break;
    }
    return misses;
}

// What is finished is about to be dropped by the request table.
void PendingQueue::drop_unqueued() {
    std::erase_if(queue_, [](const Request* request) { return !request->queued; });
}

// From now to the latest useful start, in ms.
Duration PendingQueue::time_to_start(const Request& request) const {
    const Modules& m = modules_;
    double max_baseline_ms = kMaxBaselinePerObjective * m.class_of(request).latency_objective.count();
    double expected_ms = std::min(m.latency.baseline_ms(request.class_index), max_baseline_ms);
    TimePoint latest =
        request.useful_until - Duration{kResponseReserve * expected_ms * m.latency.fleet_ratio(m.now)};
    latest -= std::min(kResponseTransfer, (request.useful_until - request.arrived) / kTransferDivisor);
    if (request.attempts.empty())
        latest = std::min(latest, request.arrived + kMaxWaitFraction * (request.deadline - request.arrived));
    return latest - m.now;
}

double PendingQueue::urgency(const Request& request) const {
    return request.weight / std::max(1.0, modules_.latency.baseline_ms(request.class_index));
}

bool PendingQueue::awaits_load_probe(const Request& request) const {
    return request.awaited_probe &&
           monitor_.is_awaiting_load_probe(modules_.registry.at(*request.awaited_probe));
}

bool PendingQueue::all_drained_by_admin() const {
    return modules_.subset.order().empty() && modules_.registry.has_drained_by_admin();
}

}  // namespace ochrehub::balancer
