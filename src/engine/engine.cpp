#include "engine/engine.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace ochrehub {

namespace {

bool proves_not_executed(Outcome outcome) {
    return outcome == Outcome::NotSent || outcome == Outcome::ConnectFailed || outcome == Outcome::Rejected;
}

}  // namespace

Engine::Engine(Scheduler& scheduler, const Settings& settings, std::uint64_t seed)
    : scheduler_(scheduler),
      balancer_(settings, seed),
      response_grace_(settings.response_grace),
      max_attempts_(settings.max_attempts) {
    for (const ClassSettings& c : settings.classes)
        class_may_retry_.push_back(c.idempotency != Idempotency::NonIdempotent);
}

// The scheduler may outlive the engine: none of the engine's timers may fire afterwards.
Engine::~Engine() {
    stop_timer(wake_timer_);
    for (auto& [id, request] : requests_) {
        stop_timer(request.overdue_timer);
        for (Attempt& attempt : request.attempts) stop_timer(attempt.timeout_timer);
    }
}

RequestId Engine::submit(IncomingRequest incoming, std::shared_ptr<ResponseSink> sink) {
    if (pre_submit_hook_) pre_submit_hook_();
    RequestId id = next_id_++;
    Request& request = requests_[id];
    request.id = id;
    request.sink = std::move(sink);
    request.message = std::move(incoming.message);
    request.deadline = incoming.request.deadline;
    request.receiving_body = incoming.request.receiving_body;
    std::size_t class_index = std::size_t(incoming.request.class_index);
    request.may_retry = class_index >= class_may_retry_.size() || class_may_retry_[class_index];
    ++open_requests_;
    if (!request.receiving_body) set_overdue_timer(request);
    incoming.request.request = id;
    // Posted, because the front must know the id before it can receive the response.
    pending_arrivals_.push_back(incoming.request);
    scheduler_.post([this] {
        RequestArrived event = pending_arrivals_.front();
        pending_arrivals_.pop_front();
        post(event);
    });
    return id;
}

// Guards against a request that never gets a response: whatever the fault, it fails within the response
// grace.
void Engine::set_overdue_timer(Request& request) {
    request.overdue_timer =
        scheduler_.call_at(request.deadline + response_grace_ / 2, [this, id = request.id] {
            Request* overdue = find(id);
            if (!overdue || overdue->completed) return;
            overdue->overdue_timer = 0;
            log_line(LogLevel::Error, "request %llu got no response by its deadline",
                     static_cast<unsigned long long>(id));
            complete(*overdue, {FinalStatus::Failed, {}, true, nullptr});
            post(ClientDisconnected{id});
            erase_if_finished(id);
        });
}

void Engine::body_received(RequestId id, TimePoint deadline) {
    Request* request = find(id);
    if (!request || request->completed || !request->receiving_body) return;
    request->receiving_body = false;
    request->deadline = deadline;
    set_overdue_timer(*request);
    for (std::size_t k = 0; k < request->attempts.size(); ++k) {
        Attempt& attempt = request->attempts[k];
        if (attempt.ended) continue;
        attempt.sent_at = scheduler_.now();  // a server starts when it has the last byte
        attempt.timeout_timer =
            scheduler_.call_at(deadline, [this, a = AttemptId{id, int(k)}] { attempt_timed_out(a); });
    }
    post(RequestBodyReceived{id, deadline});
}

bool Engine::may_have_been_executed(RequestId id) {
    Request* request = find(id);
    return request && std::any_of(request->attempts.begin(), request->attempts.end(),
                                  [](const Attempt& attempt) { return !attempt.not_executed; });
}

void Engine::client_disconnected(RequestId id) {
    Request* request = find(id);
    if (!request || request->completed) return;
    request->completed = true;
    request->sink.reset();
    stop_timer(request->overdue_timer);
    --open_requests_;
    scheduler_.post([this, id] {
        post(ClientDisconnected{id});
        erase_if_finished(id);
    });
}

void Engine::update_endpoints(const EndpointList& list) {
    upstream_->update_endpoints(list);
    const auto& entries = list.update.entries;
    auto ready = [](const EndpointEntry& entry) { return entry.phase == Phase::Ready; };
    has_servers_ = has_servers_ || std::any_of(entries.begin(), entries.end(), ready);
    post(list.update);
}

void Engine::set_admin_override(std::uint64_t key, bool drained, TimePoint since) {
    upstream_->set_admin_override(key, drained);
    post(AdminOverride{key, drained, since});
}

void Engine::probe_ended(EndpointId server, Duration elapsed, Outcome outcome, LoadReport report) {
    post(ProbeEnded{server, outcome, elapsed, report});
}

void Engine::attempt_ended(AttemptId id, AttemptResult result) {
    end_attempt(id, std::move(result));
}

Engine::Request* Engine::find(RequestId id) {
    auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
}

void Engine::post(Event event) {
    events_.push_back(std::move(event));
    process_events();
}

// Actions may cause further events at once. These are queued: the core handles the next event only after all
// actions of the previous one are executed.
void Engine::process_events() {
    if (processing_events_) return;
    processing_events_ = true;
    Actions actions;
    while (!events_.empty()) {
        Event event = std::move(events_.front());
        events_.pop_front();
        actions.clear();
        balancer_.handle(scheduler_.now(), event, actions);
        if (decision_observer_) decision_observer_(scheduler_.now(), event, actions);
        for (const Action& action : actions) execute(action);
        // An event may complete other requests: a timer rejects all that have waited too long. They are
        // erased here; otherwise they and their body buffers would be kept forever.
        for (RequestId id : completed_requests_) erase_if_finished(id);
        completed_requests_.clear();
        if (const auto* ended = std::get_if<AttemptEnded>(&event)) erase_if_finished(ended->request);
        if (const auto* arrived = std::get_if<RequestArrived>(&event)) erase_if_finished(arrived->request);
        if (const auto* disconnected = std::get_if<ClientDisconnected>(&event))
            erase_if_finished(disconnected->request);
    }
    processing_events_ = false;
    if (counters_) counters_->unavailable_endpoints.set(std::int64_t(balancer_.unavailable_endpoints()));
}

void Engine::execute(const Action& action) {
    std::visit(
        [this](const auto& a) {
            using T = std::decay_t<decltype(a)>;
            if constexpr (std::is_same_v<T, Forward>) {
                forward(a);
            } else if constexpr (std::is_same_v<T, Reject>) {
                if (Request* r = find(a.request))
                    complete(*r, {FinalStatus::Rejected, a.retry_after, false, nullptr});
            } else if constexpr (std::is_same_v<T, Fail>) {
                if (Request* r = find(a.request))
                    complete(*r, {FinalStatus::Failed, {}, r->timed_out, nullptr});
            } else if constexpr (std::is_same_v<T, Cancel>) {
                Request* r = find(a.request);
                if (!r || a.attempt < 0 || std::size_t(a.attempt) >= r->attempts.size()) return;
                if (r->attempts[std::size_t(a.attempt)].ended) return;
                AttemptId id{a.request, a.attempt};
                upstream_->cancel_attempt(id);
                end_attempt(id, {Outcome::Cancelled, {}, nullptr});
            } else if constexpr (std::is_same_v<T, Probe>) {
                upstream_->probe(a.endpoint, a.timeout);
            } else if constexpr (std::is_same_v<T, CloseIdleConnections>) {
                upstream_->close_idle_connections(a.endpoint);
            } else if constexpr (std::is_same_v<T, WatchEndpoints>) {
                discovery_->watch();
            } else if constexpr (std::is_same_v<T, SetTimer>) {
                set_wake_timer(a.at);
            } else {
                static_assert(std::is_same_v<T, Log>);
                log(LogLevel::Warn, a.text);
            }
        },
        action);
}

// The client may have disconnected without that having been read. Then no attempt starts and no response is
// sent.
bool Engine::check_client_waiting(Request& request) {
    if (request.completed) return false;
    if (!request.sink->is_client_disconnected()) return true;
    client_disconnected(request.id);
    return false;
}

bool Engine::may_send(AttemptId id) {
    Request* request = find(id.request);
    if (!request || std::size_t(id.attempt) >= request->attempts.size()) return false;
    TimePoint deadline =
        std::min(request->deadline, request->attempts[std::size_t(id.attempt)].send_deadline);
    return (request->receiving_body || scheduler_.now() < deadline) && check_client_waiting(*request);
}

bool Engine::may_retry(AttemptId id) {
    Request* request = find(id.request);
    return request && request->may_retry && id.attempt + 1 < max_attempts_;
}

void Engine::forward(const Forward& action) {
    Request* request = find(action.request);
    if (!request) return;
    AttemptId id{action.request, int(request->attempts.size())};
    TimePoint now = scheduler_.now();
    Attempt& attempt = request->attempts.emplace_back();
    attempt.server = action.endpoint;
    attempt.sent_at = now;
    attempt.send_deadline = action.send_deadline;
    ++request->open_attempts;
    if (now >= request->deadline || action.timeout.count() < 0 || !check_client_waiting(*request)) {
        end_attempt(id, {Outcome::NotSent, {}, nullptr});
        return;
    }
    TimePoint deadline = request->deadline;
    if (action.timeout.count() > 0) deadline = std::min(deadline, now + action.timeout);
    if (!request->receiving_body)
        attempt.timeout_timer = scheduler_.call_at(deadline, [this, id] { attempt_timed_out(id); });
    upstream_->start_attempt(id, action.endpoint, request->message, deadline - now);
}

void Engine::attempt_timed_out(AttemptId id) {
    Request* request = find(id.request);
    if (!request || request->attempts[std::size_t(id.attempt)].ended) return;
    // An attempt that was not written completely has not been executed. It is reported as ConnectFailed,
    // because the core may then retry, which it may not after a timeout.
    request->attempts[std::size_t(id.attempt)].timeout_timer = 0;
    bool fully_written = upstream_->cancel_attempt(id);
    end_attempt(id, {fully_written ? Outcome::Timeout : Outcome::ConnectFailed, {}, nullptr});
}

void Engine::end_attempt(AttemptId id, AttemptResult result) {
    Request* request = find(id.request);
    if (!request || std::size_t(id.attempt) >= request->attempts.size()) return;
    Attempt& attempt = request->attempts[std::size_t(id.attempt)];
    if (attempt.ended) return;
    attempt.ended = true;
    attempt.not_executed = proves_not_executed(result.outcome);
    stop_timer(attempt.timeout_timer);
    --request->open_attempts;
    if ((result.outcome == Outcome::Ok || result.message) && !request->completed)
        complete(
            *request,
            {FinalStatus::Served, {}, false, std::move(result.message), scheduler_.now() - attempt.sent_at});
    request->timed_out = result.outcome == Outcome::Timeout;
    post(AttemptEnded{id.request, id.attempt, attempt.server, result.outcome,
                      scheduler_.now() - attempt.sent_at, request->completed, result.report,
                      request->message->replayable()});
}

bool Engine::complete(Request& request, FinalResponse response) {
    if (request.completed) return false;
    request.completed = true;
    --open_requests_;
    stop_timer(request.overdue_timer);
    completed_requests_.push_back(request.id);
    std::shared_ptr<ResponseSink> sink = std::move(request.sink);
    sink->respond(std::move(response));
    return true;
}

void Engine::erase_if_finished(RequestId id) {
    Request* request = find(id);
    if (!request || !request->completed || request->open_attempts > 0) return;
    auto ends_attempt_of_request = [id](const Event& event) {
        const auto* ended = std::get_if<AttemptEnded>(&event);
        return ended && ended->request == id;
    };
    if (std::any_of(events_.begin(), events_.end(), ends_attempt_of_request))
        return;  // erased after that event
    requests_.erase(id);
}

void Engine::set_wake_timer(TimePoint at) {
    stop_timer(wake_timer_);
    wake_timer_ = scheduler_.call_at(at, [this] {
        wake_timer_ = 0;
        post(TimerFired{});
    });
}

void Engine::stop_timer(TimerId& timer) {
    if (timer != 0) scheduler_.cancel(std::exchange(timer, 0));
}

}  // namespace ochrehub
