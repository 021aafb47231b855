// Days over settings generated from a seed, quite unlike any site: several nodes, endpoints with slots, a
// fault. Judged from outside: the rules, and that no class is starved.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "bench_side.h"

namespace ochrehub::testing {

enum class Fault { None, Errors, Hang, Crash, Drain, Restart, Full };

struct Scenario {
    Settings set;
    std::uint64_t seed = 0;
    int endpoints = 4, slots = 4, zones = 1, cells = 1;
    std::vector<double> took_ms;  // of each class, at an endpoint that is warm and idle
    std::vector<double> mix;
    double load = 0.5, spread = 0.3, network_delay_ms = 0.2, cross_zone_delay_ms = 1, length_ms = 20'000,
           leave = 0, grace_ms = 500;
    Fault fault = Fault::None;
    double fault_from = 6000, fault_till = 12'000;
    int struck = 1;  // endpoints
};

class ScenarioSimulation {
public:
    struct Group {
        int offered = 0, served = 0, on_time = 0, refused = 0, failed = 0, untried = 0;
    };
    explicit ScenarioSimulation(const Scenario& d) : d_(d), random_(d.seed * 77 + 5) {
        endpoints_.resize(std::size_t(d.endpoints));
        for (auto& s : endpoints_) s.free_at.assign(std::size_t(d.slots), 0);
        for (int g = 0; g < d.set.node_count; ++g) {
            Settings set = d.set;
            set.node_index = g;
            set.zone = d.zones > 1 ? g % d.zones : (d.zones == 1 ? 0 : kNone);
            zone_of_.push_back(g % std::max(1, d.zones));
            nodes_.push_back(std::make_unique<Balancer>(set, d.seed * 131 + std::uint64_t(g)));
        }
        by_class.resize(d.set.classes.size());
        by_tenant.resize(std::max<std::size_t>(1, d.set.tenants.size()));
    }

    void run() {
        for (int g = 0; g < d_.set.node_count; ++g) send_endpoint_list(g, UpdateKind::Cached);
        double mean = 0, sum = 0;
        for (std::size_t c = 0; c < d_.mix.size(); ++c) mean += d_.mix[c] * d_.took_ms[c], sum += d_.mix[c];
        mean /= sum;
        rate_ = d_.load * d_.endpoints * d_.slots / mean;  // a ms
        mean_ = mean;
        at(draw_gap(), [this] { arrive(); });
        if (d_.fault != Fault::None) at(d_.fault_from, [this] { strike(); });
        while (!events_.empty() && events_.top().at <= d_.length_ms + 40'000) {
            Event e = events_.top();
            events_.pop();
            now_ = e.at;
            e.what();
        }
        for (auto& [id, r] : requests_)
            if (!r.answered && !r.gone) broken("rule 1: no answer, request " + std::to_string(id));
    }

    std::vector<Group> by_class, by_tenant;
    std::vector<std::string> breaks;

private:
    struct Event {
        double at;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
    };
    struct SimulatedEndpoint {
        std::vector<double> free_at;
        std::vector<double> leaves;  // when each that is held is done
        bool draining = false, struck = false;
        double started = -1e9;
    };
    struct Attempt {
        int endpoint;
        double sent;
        bool ended = false;
        Outcome outcome = Outcome::Cancelled;
    };
    struct Request {
        int node, cls, tenant;
        double came, deadline;
        bool answered = false, gone = false, concluded = false;
        std::vector<Attempt> attempts;
    };

    void broken(const std::string& what) {
        if (breaks.size() < 20) breaks.push_back(std::to_string(now_) + ": " + what);
    }
    double uniform() { return double(random_() >> 11) * 0x1p-53; }
    double draw_gap() { return -std::log(1 - uniform()) / rate_; }
    void at(double when, std::function<void()> what) {
        events_.push({std::max(when, now_), ++order_, std::move(what)});
    }
    /// To a node, in its next batch.
    void hand(double when, std::function<void()> what) {
        double step = d_.set.clock_granularity.count();
        at(std::ceil(when / step - 1e-9) * step, std::move(what));
    }
    bool down(int s) const {
        bool during = now_ >= d_.fault_from && now_ < d_.fault_till;
        return endpoints_[std::size_t(s)].struck && during;
    }
    int zone(int s) const { return s % std::max(1, d_.zones); }
    double way(int g, int s) const {
        return zone(s) == zone_of_[std::size_t(g)] ? d_.network_delay_ms : d_.cross_zone_delay_ms;
    }

    EndpointEntry listed(int s) const {
        EndpointEntry e = entry(EndpointId(s + 1), d_.zones > 0 ? zone(s) : kNone, s % std::max(1, d_.cells));
        const SimulatedEndpoint& it = endpoints_[std::size_t(s)];
        if (it.draining) e.phase = Phase::Draining;
        if (it.started > 0) e.last_start = testing::at(it.started);
        return e;
    }
    void send_endpoint_list(int g, UpdateKind kind) {
        EndpointUpdate update{kind, {}};
        for (int s = 0; s < d_.endpoints; ++s) update.entries.push_back(listed(s));
        tell(g, update);
    }
    void strike() {
        for (int s = 0; s < d_.struck; ++s) {
            SimulatedEndpoint& it = endpoints_[std::size_t(s)];
            it.struck = true;
            if (d_.fault == Fault::Drain || d_.fault == Fault::Restart) it.draining = true;
        }
        if (d_.fault == Fault::Drain || d_.fault == Fault::Restart)
            for (int g = 0; g < d_.set.node_count; ++g)
                hand(now_ + 200 * uniform(), [this, g] {
                    list_received_at_.resize(std::size_t(d_.set.node_count), 1e18);
                    list_received_at_[std::size_t(g)] = now_;
                    send_endpoint_list(g, UpdateKind::Delta);
                });
        if (d_.fault == Fault::Restart || d_.fault == Fault::Crash)
            at(d_.fault_till, [this] {
                for (int s = 0; s < d_.struck; ++s)
                    endpoints_[std::size_t(s)].draining = false, endpoints_[std::size_t(s)].started = now_;
                list_received_at_.clear();
                for (int g = 0; g < d_.set.node_count; ++g)
                    hand(now_ + 200 * uniform(), [this, g] { send_endpoint_list(g, UpdateKind::Delta); });
            });
    }

    void arrive() {
        if (now_ > d_.length_ms) return;
        at(now_ + draw_gap(), [this] { arrive(); });
        RequestId id = ++last_;
        Request& r = requests_[id];
        double x = uniform() * std::accumulate(d_.mix.begin(), d_.mix.end(), 0.0);
        r.cls = 0;
        for (std::size_t c = 0; c < d_.mix.size(); ++c) {
            if (x < d_.mix[c]) {
                r.cls = int(c);
                break;
            }
            x -= d_.mix[c];
        }
        r.tenant = d_.set.tenants.empty() ? kNone : int(random_() % d_.set.tenants.size());
        r.node = int(random_() % std::uint64_t(d_.set.node_count));
        r.came = now_;
        r.deadline = now_ + d_.set.classes[std::size_t(r.cls)].request_timeout.count();
        hand(now_, [this, id] {
            Request& q = requests_[id];
            ++by_class[std::size_t(q.cls)].offered, ++by_tenant[std::size_t(std::max(0, q.tenant))].offered;
            RequestArrived e;
            e.request = id, e.class_index = q.cls, e.tenant = q.tenant, e.deadline = testing::at(q.deadline);
            tell(q.node, e);
        });
        if (uniform() < d_.leave)
            hand(now_ + uniform() * d_.set.classes[std::size_t(r.cls)].request_timeout.count(), [this, id] {
                Request& q = requests_[id];
                if (q.answered) return;
                q.gone = true;
                tell(q.node, ClientDisconnected{id});
            });
        else
            at(r.deadline + d_.grace_ms + 2 * d_.set.clock_granularity.count(), [this, id] {
                Request& q = requests_[id];
                if (!q.answered && !q.gone)
                    broken("rule 1: late answer, request " + std::to_string(id)), q.gone = true;
            });
    }

    void tell(int g, const ochrehub::Event& event) {
        Actions actions;
        nodes_[std::size_t(g)]->handle(testing::at(now_), event, actions);
        for (const Action& a : actions) {
            if (auto* w = std::get_if<SetTimer>(&a)) {
                hand(w->at.time_since_epoch().count(), [this, g] { tell(g, TimerFired{}); });
            } else if (auto* f = std::get_if<Forward>(&a)) {
                send(g, *f);
            } else if (auto* p = std::get_if<Probe>(&a)) {
                if (!d_.set.probes) broken("a probe where none is allowed");
                probe(g, int(p->endpoint) - 1);
            } else if (auto* x = std::get_if<Reject>(&a)) {
                Request& r = requests_[x->request];
                const ClassSettings& k = d_.set.classes[std::size_t(r.cls)];
                bool free = k.idempotency == Idempotency::Idempotent ||
                            (k.idempotency == Idempotency::IdempotentWithKey &&
                             k.deduplication_scope == DeduplicationScope::All);
                if (!free)
                    for (auto& t : r.attempts)
                        if (!never_ran(t)) broken("rule 2: refused though it may have run");
                if (r.attempts.empty()) ++by_class[std::size_t(r.cls)].untried;
                final_answer(x->request, by_class[std::size_t(r.cls)].refused);
            } else if (auto* fail = std::get_if<Fail>(&a)) {
                final_answer(fail->request, by_class[std::size_t(requests_[fail->request].cls)].failed);
            } else if (auto* c = std::get_if<Cancel>(&a)) {
                if (!d_.set.cancel) broken("a cancel where none is allowed");
                end(c->request, c->attempt, Outcome::Cancelled);
            }
        }
    }
    static bool never_ran(const Attempt& t) {
        return t.ended && (t.outcome == Outcome::Rejected || t.outcome == Outcome::ConnectFailed ||
                           t.outcome == Outcome::NotSent);
    }
    void final_answer(RequestId id, int& count) {
        Request& r = requests_[id];
        if (r.answered) broken("rule 1: two answers");
        if (r.gone) return;
        r.answered = true;
        if (now_ > r.deadline + d_.grace_ms) broken("rule 1: an answer that is late");
        ++count;
    }

    void send(int g, const Forward& f) {
        Request& r = requests_[f.request];
        const ClassSettings& c = d_.set.classes[std::size_t(r.cls)];
        int s = int(f.endpoint) - 1;
        SimulatedEndpoint& it = endpoints_[std::size_t(s)];
        if (r.answered) broken("rule 1: sent after its end");
        if (r.gone) broken("begun for a client that has gone");
        if (now_ >= r.deadline) broken("rule 1: sent after its time");
        if (int(r.attempts.size()) >= d_.set.max_attempts) broken("more attempts than allowed");
        if (it.draining && !list_received_at_.empty() && now_ > list_received_at_[std::size_t(g)])
            broken("rule 3: sent to one that drains");
        for (auto& t : r.attempts) {
            if (!t.ended) broken("two attempts at once");
            if (never_ran(t) || c.idempotency == Idempotency::Idempotent) continue;
            if (c.idempotency == Idempotency::NonIdempotent) broken("rule 2: unsafe, sent again");
            if (now_ > t.sent + c.deduplication_window.count()) broken("rule 2: behind the window");
            if (c.deduplication_scope == DeduplicationScope::Zone && zone(t.endpoint) != zone(s))
                broken("rule 2: another zone");
            if (c.deduplication_scope == DeduplicationScope::Cell && t.endpoint % d_.cells != s % d_.cells)
                broken("rule 2: another cell");
        }
        int n = int(r.attempts.size());
        r.attempts.push_back({s, now_});
        double give_up = std::min(r.deadline, f.timeout.count() > 0 ? now_ + f.timeout.count() : 1e18);
        auto answer = [&](double when, Outcome how) {
            if (when >= give_up) when = give_up, how = Outcome::Timeout;
            RequestId id = f.request;
            hand(when, [this, id, n, how] { end(id, n, how); });
        };
        double there = now_ + way(g, s);
        if (down(s)) {
            if (d_.fault == Fault::Errors) return answer(there + way(g, s) + 1, Outcome::Error);
            if (d_.fault == Fault::Crash) return answer(there + way(g, s), Outcome::ConnectFailed);
            if (d_.fault == Fault::Hang) return answer(1e18, Outcome::Timeout);
            if (d_.fault == Fault::Full) return answer(there + way(g, s), Outcome::Rejected);
        }
        if (it.draining) return answer(there + way(g, s), Outcome::Rejected);
        hand_in(there, g, f.request, n, s, give_up);
    }
    void hand_in(double there, int g, RequestId id, int n, int s, double give_up) {
        at(there, [=, this] {
            SimulatedEndpoint& it = endpoints_[std::size_t(s)];
            Request& r = requests_[id];
            auto answer = [&](double when, Outcome how) {
                if (when >= give_up) when = give_up, how = Outcome::Timeout;
                hand(when, [=, this] { end(id, n, how); });
            };
            std::erase_if(it.leaves, [&](double t) { return t <= now_; });
            auto first = std::min_element(it.free_at.begin(), it.free_at.end());
            if (*first - now_ > 8 * mean_) return answer(now_ + way(g, s), Outcome::Rejected);
            std::lognormal_distribution<double> took(
                std::log(d_.took_ms[std::size_t(r.cls)]) - d_.spread * d_.spread / 2, d_.spread);
            double age = d_.set.slow_start_duration.count() > 0 && it.started > 0
                             ? (now_ - it.started) / d_.set.slow_start_duration.count()
                             : 1;
            double part = age >= 1 ? 1
                                   : d_.set.slow_start_initial_capacity +
                                         (1 - d_.set.slow_start_initial_capacity) * age;
            double done = std::max(*first, now_) + took(random_) / part;
            *first = done;
            it.leaves.push_back(done);
            answer(done + way(g, s), Outcome::Ok);
        });
    }

    void end(RequestId id, int n, Outcome how) {
        Request& r = requests_[id];
        Attempt& t = r.attempts[std::size_t(n)];
        if (t.ended) return;
        t.ended = true, t.outcome = how;
        if (how == Outcome::Ok && !r.answered && !r.gone) {
            r.answered = true;
            Group& c = by_class[std::size_t(r.cls)];
            ++c.served, ++by_tenant[std::size_t(std::max(0, r.tenant))].served;
            c.on_time += now_ - r.came <= d_.set.classes[std::size_t(r.cls)].latency_objective.count();
        }
        AttemptEnded e{id, n, EndpointId(t.endpoint + 1), how, Duration{now_ - t.sent}, r.answered || r.gone,
                       {}};
        if (how == Outcome::Cancelled) {  // not within the call that cancels
            hand(now_ + 1e-3, [this, e, g = r.node] { tell(g, e); });
            return;
        }
        tell(r.node, e);
    }

    void probe(int g, int s) {
        SimulatedEndpoint& it = endpoints_[std::size_t(s)];
        std::erase_if(it.leaves, [&](double t) { return t <= now_; });
        double n = double(it.leaves.size());
        Outcome how = down(s) && d_.fault == Fault::Crash    ? Outcome::ConnectFailed
                      : down(s) && d_.fault == Fault::Errors ? Outcome::Error
                                                             : Outcome::Ok;
        double took = 2 * way(g, s) + 0.3;
        LoadReport report;
        if (d_.set.probes_report_load) report = {n, std::max(0.0, n - d_.slots), {}};
        hand(now_ + took, [=, this] { tell(g, ProbeEnded{EndpointId(s + 1), how, Duration{took}, report}); });
    }

    Scenario d_;
    std::mt19937_64 random_;
    double now_ = 0, rate_ = 0, mean_ = 0;
    std::uint64_t order_ = 0;
    RequestId last_ = 0;
    std::priority_queue<Event> events_;
    std::vector<SimulatedEndpoint> endpoints_;
    std::vector<int> zone_of_;
    std::vector<double> list_received_at_;
    std::vector<std::unique_ptr<Balancer>> nodes_;
    std::map<RequestId, Request> requests_;
};

}  // namespace ochrehub::testing
