// A gateway under test, driven by hand-built events.
#pragma once

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub::testing {

inline TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}

inline ClassSettings make_class(Idempotency effect, DeduplicationScope scope = DeduplicationScope::All) {
    ClassSettings c;
    c.latency_objective = Duration{400};
    c.request_timeout = Duration{1000};
    c.deduplication_window = Duration{1500};
    c.idempotency = effect;
    c.deduplication_scope = scope;
    return c;
}

/// Classes: 0 free, 1 single-shot, 2 keyed/all, 3 keyed/zone, 4 keyed/cell.
inline Settings make_settings() {
    Settings set;
    set.zone = 0;
    set.classes = {make_class(Idempotency::Idempotent), make_class(Idempotency::NonIdempotent),
                   make_class(Idempotency::IdempotentWithKey),
                   make_class(Idempotency::IdempotentWithKey, DeduplicationScope::Zone),
                   make_class(Idempotency::IdempotentWithKey, DeduplicationScope::Cell)};
    set.max_attempts = 4;
    set.slow_start_duration = Duration{8000};
    set.slow_start_initial_capacity = 0.3;
    set.overload_factor = 2.5;
    set.overload_after = Duration{2000};
    set.probe_cost = 0.002;
    return set;
}

inline Settings unprobed() {
    Settings set = make_settings();
    set.probes = false;
    return set;
}

inline EndpointEntry entry(EndpointId id, int zone = 0, int cell = 0) {
    EndpointEntry e;
    e.endpoint = id;
    e.zone = zone;
    e.kind = 0;
    e.cell = cell;
    return e;
}

class Gateway {
public:
    explicit Gateway(Settings set = make_settings(), std::uint64_t seed = 7)
        : balancer_(std::move(set), seed) {}

    Actions tell(double ms, const Event& event) {
        now = ms;
        Actions actions;
        balancer_.handle(at(ms), event, actions);
        for (const Action& a : actions)
            if (const auto* wake = std::get_if<SetTimer>(&a)) wakes_.insert(wake->at);
        return actions;
    }
    Actions list(double ms, std::vector<EndpointEntry> entries, UpdateKind kind = UpdateKind::Full) {
        return tell(ms, EndpointUpdate{kind, std::move(entries)});
    }
    Actions arrive(double ms, RequestId id, int cls = 0, double patience = 1000) {
        RequestArrived e;
        e.request = id;
        e.class_index = cls;
        e.deadline = at(ms + patience);
        return tell(ms, e);
    }
    Actions end(double ms, RequestId id, int attempt, EndpointId server, Outcome outcome, double elapsed = 50,
                bool concluded = false) {
        return tell(ms, AttemptEnded{id, attempt, server, outcome, Duration{elapsed}, concluded, {}});
    }
    Actions ok(double ms, RequestId id, EndpointId server, double elapsed = 50) {
        return end(ms, id, 0, server, Outcome::Ok, elapsed, true);
    }
    Actions probe(double ms, EndpointId server, Outcome outcome, std::optional<double> inflight = {},
                  std::optional<double> queue = {}, double elapsed_ms = 1) {
        return tell(ms, ProbeEnded{server, outcome, Duration{elapsed_ms}, LoadReport{inflight, queue, {}}});
    }
    /// Lets the time pass to `ms`: hands in each wake-up that falls due and returns all that it brought.
    Actions run_to(double ms) {
        Actions all;
        while (!wakes_.empty() && *wakes_.begin() <= at(ms)) {
            TimePoint due = *wakes_.begin();
            wakes_.erase(wakes_.begin());
            Actions some = tell(std::max(now, due.time_since_epoch().count()), TimerFired{});
            all.insert(all.end(), some.begin(), some.end());
        }
        return all;
    }
    /// As run_to, with every probe answered at once by `answer(server)`.
    template <class F>
    Actions run_probed(double ms, F answer, double elapsed_ms = 1) {
        Actions all;
        while (!wakes_.empty() && *wakes_.begin() <= at(ms)) {
            Actions some = run_to(wakes_.begin()->time_since_epoch().count());
            for (std::size_t i = 0; i < some.size(); ++i)
                if (const auto* p = std::get_if<Probe>(&some[i])) {
                    Actions more = probe(now, p->endpoint, answer(p->endpoint), {}, {}, elapsed_ms);
                    some.insert(some.end(), more.begin(), more.end());
                }
            all.insert(all.end(), some.begin(), some.end());
        }
        return all;
    }

    /// Lets the time pass to `ms` as run_to, with each send answered by `serve(server)` -> {outcome, after
    /// how many ms}
    /// and each probe a millisecond later by `report(server)` -> inflight. Calls `seen(server)` for each
    /// send.
    template <class Serve, class Report, class Seen>
    void play(double ms, Actions first, Serve serve, Report report, Seen seen) {
        auto take = [&](const Actions& actions) {
            for (const Action& action : actions) {
                if (const auto* f = std::get_if<Forward>(&action)) {
                    seen(f->endpoint);
                    auto [outcome, elapsed] = serve(f->endpoint);
                    int attempt = attempts_[f->request]++;
                    ends_.emplace(now + elapsed, AttemptEnded{f->request,
                                                              attempt,
                                                              f->endpoint,
                                                              outcome,
                                                              Duration{elapsed},
                                                              outcome == Outcome::Ok,
                                                              {}});
                } else if (const auto* p = std::get_if<Probe>(&action)) {
                    ends_.emplace(now + 1, ProbeEnded{p->endpoint, Outcome::Ok, Duration{1},
                                                      LoadReport{report(p->endpoint), 0.0, {}}});
                }
            }
        };
        take(first);
        while (true) {
            double wake = wakes_.empty() ? ms + 1 : wakes_.begin()->time_since_epoch().count();
            double end = ends_.empty() ? ms + 1 : ends_.begin()->first;
            if (std::min(wake, end) > ms) return;
            if (wake <= end) {
                take(run_to(wake));
            } else {
                Event event = ends_.begin()->second;
                ends_.erase(ends_.begin());
                take(tell(std::max(now, end), event));
            }
        }
    }

    std::size_t avoided() const { return balancer_.unavailable_endpoints(); }

    double now = 0;

private:
    std::map<RequestId, int> attempts_;
    std::multimap<double, Event> ends_;
    Balancer balancer_;
    std::multiset<TimePoint> wakes_;
};

template <class T>
std::vector<T> all_of(const Actions& actions) {
    std::vector<T> found;
    for (const Action& a : actions)
        if (const T* t = std::get_if<T>(&a)) found.push_back(*t);
    return found;
}

inline std::optional<EndpointId> sent_to(const Actions& actions) {
    auto sends = all_of<Forward>(actions);
    return sends.empty() ? std::nullopt : std::optional(sends.front().endpoint);
}

}  // namespace ochrehub::testing
