#include "engine/engine.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace ochrehub {

Engine::Engine(Scheduler& scheduler, const Settings& settings, std::uint64_t seed)
    : scheduler_(scheduler),
      balancer_(settings, seed),
      grace_(settings.response_grace),
      max_attempts_(settings.max_attempts) {
    for (const ClassSettings& c : settings.classes)
        repeatable_.push_back(c.idempotency != Idempotency::NonIdempotent);
}

// Where a node goes and its scheduler stays, nothing that it armed may run.
Engine::~Engine() {
    stop_timer(wake_);
    for (auto& [id, request] : requests_) {
        stop_timer(request.overdue);
        for (Attempt& attempt : request.attempts) stop_timer(attempt.limit);
    }
}

RequestId Engine::submit(IncomingRequest call, std::shared_ptr<ResponseSink> caller) {
    if (look_) look_();
    RequestId id = next_id_++;
    Request& request = requests_[id];
    request.id = id;
    request.caller = std::move(caller);
    request.message = std::move(call.message);
    request.give_up_at = call.request.deadline;
    request.uploading = call.request.receiving_body;
    std::size_t cls = std::size_t(call.request.class_index);
    request.repeatable = cls >= repeatable_.size() || repeatable_[cls];
    ++unanswered_;
    if (!request.uploading) limit(request);
    call.request.request = id;
    // Behind the front's own work: it must know the id before it can hear the answer.
    arrived_.push_back(call.request);
    scheduler_.post([this] {
        RequestArrived event = arrived_.front();
        arrived_.pop_front();
        post(event);
    });
    return id;
}

// Guards against a request that nothing answers: whatever went wrong, it fails inside the rules' grace.
void Engine::limit(Request& request) {
    request.overdue = scheduler_.call_at(request.give_up_at + grace_ / 2, [this, id = request.id] {
        Request* late = find(id);
        if (!late || late->answered) return;
        late->overdue = 0;
        log_line(LogLevel::Error, "request %llu was left unanswered", static_cast<unsigned long long>(id));
        conclude(*late, {FinalStatus::Failed, {}, true, nullptr});
        post(ClientDisconnected{id});
        drop_if_over(id);
    });
}

void Engine::body_received(RequestId id, TimePoint give_up_at) {
    Request* request = find(id);
    if (!request || request->answered) return;
    request->uploading = false;
    request->give_up_at = give_up_at;
    limit(*request);
    for (std::size_t k = 0; k < request->attempts.size(); ++k) {
        Attempt& attempt = request->attempts[k];
        if (attempt.ended) continue;
        attempt.sent = scheduler_.now();  // a server begins with the last byte
        attempt.limit =
            scheduler_.call_at(give_up_at, [this, a = AttemptId{id, int(k)}] { attempt_late(a); });
    }
    post(RequestBodyReceived{id, give_up_at});
}

void Engine::client_disconnected(RequestId id) {
    Request* request = find(id);
    if (!request || request->answered) return;
    request->answered = true;
    request->caller.reset();
    stop_timer(request->overdue);
    --unanswered_;
    scheduler_.post([this, id] {
        post(ClientDisconnected{id});
        drop_if_over(id);
    });
}

void Engine::update_endpoints(const EndpointList& listing) {
    upstream_->update_endpoints(listing);
    const auto& entries = listing.update.entries;
    auto ready = [](const EndpointEntry& entry) { return entry.phase == Phase::Ready; };
    has_servers_ = has_servers_ || std::any_of(entries.begin(), entries.end(), ready);
    post(listing.update);
}

void Engine::set_admin_override(std::uint64_t key, bool out, TimePoint since) {
    upstream_->set_admin_override(key, out);
    post(AdminOverride{key, out, since});
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
    drain();
}

// Actions may bring further events at once. They wait here: the module is never entered again before all its
// actions are carried out.
void Engine::drain() {
    if (draining_) return;
    draining_ = true;
    Actions actions;
    while (!events_.empty()) {
        Event event = std::move(events_.front());
        events_.pop_front();
        actions.clear();
        balancer_.handle(scheduler_.now(), event, actions);
        if (decision_observer_) decision_observer_(scheduler_.now(), event, actions);
        for (const Action& action : actions) carry_out(action);
        // An event concludes others' requests too: a wake gives up all that have waited too long. Guards
        // against keeping them, and the buffers of their bodies, for good.
        for (RequestId id : concluded_) drop_if_over(id);
        concluded_.clear();
        if (const auto* ended = std::get_if<AttemptEnded>(&event)) drop_if_over(ended->request);
        if (const auto* came = std::get_if<RequestArrived>(&event)) drop_if_over(came->request);
        if (const auto* gone = std::get_if<ClientDisconnected>(&event)) drop_if_over(gone->request);
    }
    draining_ = false;
    if (counters_) counters_->unavailable_endpoints.set(std::int64_t(balancer_.unavailable_endpoints()));
}

void Engine::carry_out(const Action& action) {
    std::visit(
        [this](const auto& a) {
            using T = std::decay_t<decltype(a)>;
            if constexpr (std::is_same_v<T, Forward>) {
                forward(a);
            } else if constexpr (std::is_same_v<T, Reject>) {
                if (Request* r = find(a.request))
                    conclude(*r, {FinalStatus::Rejected, a.retry_after, false, nullptr});
            } else if constexpr (std::is_same_v<T, Fail>) {
                if (Request* r = find(a.request))
                    conclude(*r, {FinalStatus::Failed, {}, r->timed_out, nullptr});
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
                registry_->watch();
            } else if constexpr (std::is_same_v<T, SetTimer>) {
                set_wake(a.at);
            } else {
                static_assert(std::is_same_v<T, Log>);
                log(LogLevel::Warn, a.text);
            }
        },
        action);
}

// A client that has left may not have been read to its end yet. Nothing begins for it, and nothing is owed.
bool Engine::still_wanted(Request& request) {
    if (request.answered) return false;
    if (!request.caller->is_client_disconnected()) return true;
    client_disconnected(request.id);
    return false;
}

bool Engine::may_send(AttemptId id) {
    Request* request = find(id.request);
    if (!request || std::size_t(id.attempt) >= request->attempts.size()) return false;
    TimePoint by = std::min(request->give_up_at, request->attempts[std::size_t(id.attempt)].begin_by);
    return (request->uploading || scheduler_.now() < by) && still_wanted(*request);
}

bool Engine::may_retry(AttemptId id) {
    Request* request = find(id.request);
    return request && request->repeatable && id.attempt + 1 < max_attempts_;
}

void Engine::forward(const Forward& action) {
    Request* request = find(action.request);
    if (!request) return;
    AttemptId id{action.request, int(request->attempts.size())};
    TimePoint now = scheduler_.now();
    Attempt& attempt = request->attempts.emplace_back();
    attempt.server = action.endpoint;
    attempt.sent = now;
    attempt.begin_by = action.send_deadline;
    ++request->open;
    if (now >= request->give_up_at || action.timeout.count() < 0 || !still_wanted(*request)) {
        end_attempt(id, {Outcome::NotSent, {}, nullptr});
        return;
    }
    TimePoint until = request->give_up_at;
    if (action.timeout.count() > 0) until = std::min(until, now + action.timeout);
    if (!request->uploading) attempt.limit = scheduler_.call_at(until, [this, id] { attempt_late(id); });
    upstream_->start_attempt(id, action.endpoint, request->message, until - now);
}

void Engine::attempt_late(AttemptId id) {
    Request* request = find(id.request);
    if (!request || request->attempts[std::size_t(id.attempt)].ended) return;
    // What was never written whole has not run, and the module may go on as it may after no other time-out.
    request->attempts[std::size_t(id.attempt)].limit = 0;
    bool written = upstream_->cancel_attempt(id);
    end_attempt(id, {written ? Outcome::Timeout : Outcome::ConnectFailed, {}, nullptr});
}

void Engine::end_attempt(AttemptId id, AttemptResult result) {
    Request* request = find(id.request);
    if (!request || std::size_t(id.attempt) >= request->attempts.size()) return;
    Attempt& attempt = request->attempts[std::size_t(id.attempt)];
    if (attempt.ended) return;
    attempt.ended = true;
    stop_timer(attempt.limit);
    --request->open;
    if ((result.outcome == Outcome::Ok || result.message) && !request->answered)
        conclude(
            *request,
            {FinalStatus::Served, {}, false, std::move(result.message), scheduler_.now() - attempt.sent});
    request->timed_out = result.outcome == Outcome::Timeout;
    post(AttemptEnded{id.request, id.attempt, attempt.server, result.outcome, scheduler_.now() - attempt.sent,
                      request->answered, result.report, request->message->replayable()});
}

bool Engine::conclude(Request& request, FinalResponse reply) {
    if (request.answered) return false;
    request.answered = true;
    --unanswered_;
    stop_timer(request.overdue);
    concluded_.push_back(request.id);
    std::shared_ptr<ResponseSink> caller = std::move(request.caller);
    caller->respond(std::move(reply));
    return true;
}

void Engine::drop_if_over(RequestId id) {
    Request* request = find(id);
    if (!request || !request->answered || request->open > 0) return;
    auto concerns = [id](const Event& event) {
        const auto* ended = std::get_if<AttemptEnded>(&event);
        return ended && ended->request == id;
    };
    if (std::any_of(events_.begin(), events_.end(), concerns)) return;  // dropped after that one
    requests_.erase(id);
}

void Engine::set_wake(TimePoint at) {
    stop_timer(wake_);
    wake_ = scheduler_.call_at(at, [this] {
        wake_ = 0;
        post(TimerFired{});
    });
}

void Engine::stop_timer(TimerId& timer) {
    if (timer != 0) scheduler_.cancel(std::exchange(timer, 0));
}

}  // namespace ochrehub
