// Days over settings drawn from a seed, quite unlike any site: several gateways, servers with slots, a fault.
// Judged from outside: the rules, and that no class is starved.
#include <gtest/gtest.h>

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
namespace {

enum class Fault { None, Errors, Hang, Crash, Drain, Restart, Full };

struct Drawn {
    Settings set;
    std::uint64_t seed = 0;
    int servers = 4, slots = 4, zones = 1, cells = 1;
    std::vector<double> took_ms;  // of each class, at a server that is warm and idle
    std::vector<double> mix;
    double load = 0.5, spread = 0.3, way_ms = 0.2, cross_ms = 1, length_ms = 20'000, leave = 0,
           grace_ms = 500;
    Fault fault = Fault::None;
    double fault_from = 6000, fault_till = 12'000;
    int struck = 1;  // servers
};

class DrawnDay {
public:
    struct Group {
        int asked = 0, served = 0, on_time = 0, refused = 0, failed = 0, untried = 0;
    };
    explicit DrawnDay(const Drawn& d) : d_(d), random_(d.seed * 77 + 5) {
        servers_.resize(std::size_t(d.servers));
        for (auto& s : servers_) s.free_at.assign(std::size_t(d.slots), 0);
        for (int g = 0; g < d.set.node_count; ++g) {
            Settings set = d.set;
            set.node_index = g;
            set.zone = d.zones > 1 ? g % d.zones : (d.zones == 1 ? 0 : kNone);
            zone_of_.push_back(g % std::max(1, d.zones));
            gates_.push_back(std::make_unique<Balancer>(set, d.seed * 131 + std::uint64_t(g)));
        }
        by_class.resize(d.set.classes.size());
        by_tenant.resize(std::max<std::size_t>(1, d.set.tenants.size()));
    }

    void run() {
        for (int g = 0; g < d_.set.node_count; ++g) tell_list(g, UpdateKind::Cached);
        double mean = 0, sum = 0;
        for (std::size_t c = 0; c < d_.mix.size(); ++c) mean += d_.mix[c] * d_.took_ms[c], sum += d_.mix[c];
        mean /= sum;
        rate_ = d_.load * d_.servers * d_.slots / mean;  // a ms
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
    struct Server {
        std::vector<double> free_at;
        std::vector<double> leaves;  // when each that is held is done
        bool draining = false, struck = false;
        double started = -1e9;
    };
    struct Attempt {
        int server;
        double sent;
        bool ended = false;
        Outcome outcome = Outcome::Cancelled;
    };
    struct Request {
        int gate, cls, tenant;
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
    /// To a gateway, in its next batch.
    void hand(double when, std::function<void()> what) {
        double step = d_.set.clock_granularity.count();
        at(std::ceil(when / step - 1e-9) * step, std::move(what));
    }
    bool down(int s) const {
        bool during = now_ >= d_.fault_from && now_ < d_.fault_till;
        return servers_[std::size_t(s)].struck && during;
    }
    int zone(int s) const { return s % std::max(1, d_.zones); }
    double way(int g, int s) const { return zone(s) == zone_of_[std::size_t(g)] ? d_.way_ms : d_.cross_ms; }

    EndpointEntry listed(int s) const {
        EndpointEntry e = entry(EndpointId(s + 1), d_.zones > 0 ? zone(s) : kNone, s % std::max(1, d_.cells));
        const Server& it = servers_[std::size_t(s)];
        if (it.draining) e.phase = Phase::Draining;
        if (it.started > 0) e.last_start = testing::at(it.started);
        return e;
    }
    void tell_list(int g, UpdateKind kind) {
        EndpointUpdate update{kind, {}};
        for (int s = 0; s < d_.servers; ++s) update.entries.push_back(listed(s));
        tell(g, update);
    }
    void strike() {
        for (int s = 0; s < d_.struck; ++s) {
            Server& it = servers_[std::size_t(s)];
            it.struck = true;
            if (d_.fault == Fault::Drain || d_.fault == Fault::Restart) it.draining = true;
        }
        if (d_.fault == Fault::Drain || d_.fault == Fault::Restart)
            for (int g = 0; g < d_.set.node_count; ++g)
                hand(now_ + 200 * uniform(), [this, g] {
                    told_.resize(std::size_t(d_.set.node_count), 1e18);
                    told_[std::size_t(g)] = now_;
                    tell_list(g, UpdateKind::Delta);
                });
        if (d_.fault == Fault::Restart || d_.fault == Fault::Crash)
            at(d_.fault_till, [this] {
                for (int s = 0; s < d_.struck; ++s)
                    servers_[std::size_t(s)].draining = false, servers_[std::size_t(s)].started = now_;
                told_.clear();
                for (int g = 0; g < d_.set.node_count; ++g)
                    hand(now_ + 200 * uniform(), [this, g] { tell_list(g, UpdateKind::Delta); });
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
        r.gate = int(random_() % std::uint64_t(d_.set.node_count));
        r.came = now_;
        r.deadline = now_ + d_.set.classes[std::size_t(r.cls)].request_timeout.count();
        hand(now_, [this, id] {
            Request& q = requests_[id];
            ++by_class[std::size_t(q.cls)].asked, ++by_tenant[std::size_t(std::max(0, q.tenant))].asked;
            RequestArrived e;
            e.request = id, e.class_index = q.cls, e.tenant = q.tenant, e.deadline = testing::at(q.deadline);
            tell(q.gate, e);
        });
        if (uniform() < d_.leave)
            hand(now_ + uniform() * d_.set.classes[std::size_t(r.cls)].request_timeout.count(), [this, id] {
                Request& q = requests_[id];
                if (q.answered) return;
                q.gone = true;
                tell(q.gate, ClientDisconnected{id});
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
        gates_[std::size_t(g)]->handle(testing::at(now_), event, actions);
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
        Server& it = servers_[std::size_t(s)];
        if (r.answered) broken("rule 1: sent after its end");
        if (r.gone) broken("begun for a client that has gone");
        if (now_ >= r.deadline) broken("rule 1: sent after its time");
        if (int(r.attempts.size()) >= d_.set.max_attempts) broken("more attempts than allowed");
        if (it.draining && !told_.empty() && now_ > told_[std::size_t(g)])
            broken("rule 3: sent to one that drains");
        for (auto& t : r.attempts) {
            if (!t.ended) broken("two attempts at once");
            if (never_ran(t) || c.idempotency == Idempotency::Idempotent) continue;
            if (c.idempotency == Idempotency::NonIdempotent) broken("rule 2: unsafe, sent again");
            if (now_ > t.sent + c.deduplication_window.count()) broken("rule 2: behind the window");
            if (c.deduplication_scope == DeduplicationScope::Zone && zone(t.server) != zone(s))
                broken("rule 2: another zone");
            if (c.deduplication_scope == DeduplicationScope::Cell && t.server % d_.cells != s % d_.cells)
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
            Server& it = servers_[std::size_t(s)];
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
        AttemptEnded e{id, n, EndpointId(t.server + 1), how, Duration{now_ - t.sent}, r.answered || r.gone,
                       {}};
        if (how == Outcome::Cancelled) {  // not within the call that cancels
            hand(now_ + 1e-3, [this, e, g = r.gate] { tell(g, e); });
            return;
        }
        tell(r.gate, e);
    }

    void probe(int g, int s) {
        Server& it = servers_[std::size_t(s)];
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

    Drawn d_;
    std::mt19937_64 random_;
    double now_ = 0, rate_ = 0, mean_ = 0;
    std::uint64_t order_ = 0;
    RequestId last_ = 0;
    std::priority_queue<Event> events_;
    std::vector<Server> servers_;
    std::vector<int> zone_of_;
    std::vector<double> told_;
    std::vector<std::unique_ptr<Balancer>> gates_;
    std::map<RequestId, Request> requests_;
};

Drawn draw(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    auto u = [&] { return double(random() >> 11) * 0x1p-53; };
    auto pick = [&](std::initializer_list<double> of) {
        return *(of.begin() + std::ptrdiff_t(random() % of.size()));
    };
    auto logu = [&](double a, double b) { return a * std::exp(u() * std::log(b / a)); };
    Drawn d;
    d.seed = seed;
    d.servers = int(pick({1, 2, 3, 5, 8, 13}));
    d.slots = int(pick({1, 2, 4, 16}));
    d.zones = int(pick({0, 1, 1, 2, 3}));
    d.cells = int(pick({1, 2, 3}));
    d.spread = pick({0.05, 0.3, 0.6});
    d.way_ms = pick({0.1, 0.3, 2, 8});
    d.cross_ms = d.way_ms * pick({1, 3, 10});
    d.load = pick({0.05, 0.2, 0.4, 0.6});
    d.leave = pick({0, 0, 0.05});
    Settings& s = d.set;
    s.node_count = int(pick({1, 2, 3, 6}));
    s.clock_granularity = Duration{pick({0.5, 1, 2, 5, 10, 20})};
    s.probes = u() < 0.5;
    s.probes_report_load = s.probes && u() < 0.5;
    s.cancel = u() < 0.5;
    s.allows_hedging = u() < 0.3;
    s.retry_after = u() < 0.5;
    s.max_retry_after = Duration{pick({300, 1200, 10'000})};
    s.max_attempts = int(pick({1, 2, 3, 5}));
    s.slow_start_duration = Duration{pick({0, 3000, 10'000})};
    s.slow_start_initial_capacity = pick({0.1, 0.3, 0.8});
    s.overload_factor = pick({1.5, 2.5, 4});
    s.overload_after = Duration{pick({300, 1000, 3000})};
    s.over_quota_weight = pick({0, 0.2, 1});
    s.cross_zone_cost = pick({0, 0.02, 0.08, 0.4});
    s.probe_cost = pick({0, 0.002, 0.03, 0.06});
    s.connection_cost = pick({0, 0.05, 0.5});
    s.weights_track_load = u() < 0.3;
    double unit = logu(1, 300);  // ms of a request
    int classes = 1 + int(random() % 5);
    for (int c = 0; c < classes; ++c) {
        ClassSettings k;
        double took = unit * logu(0.4, 2.5);
        d.took_ms.push_back(took);
        d.mix.push_back(logu(0.1, 1));
        double least = took * (1 + 2.5 * d.spread) + 2 * d.cross_ms + 2 * s.clock_granularity.count();
        k.latency_objective = Duration{least * logu(1.2, 12)};
        k.request_timeout = k.latency_objective * pick({1, 1.5, 4});
        k.deduplication_window = Duration{k.request_timeout.count() * pick({0.3, 1, 5})};
        k.late_response_weight = pick({0, 0.3, 0.8});
        k.priority_weight = logu(0.3, 10);
        double e = u();
        k.idempotency = e < 0.4   ? Idempotency::Idempotent
                        : e < 0.7 ? Idempotency::IdempotentWithKey
                                  : Idempotency::NonIdempotent;
        k.deduplication_scope = DeduplicationScope(int(random() % 3));
        s.classes.push_back(k);
    }
    int tenants = int(pick({0, 0, 2, 4}));
    double mean = 0, sum = 0;
    for (std::size_t c = 0; c < d.mix.size(); ++c) mean += d.mix[c] * d.took_ms[c], sum += d.mix[c];
    double per_s = 1000 * d.load * d.servers * d.slots / (mean / sum);
    if (per_s > 1500) d.load *= 1500 / per_s, per_s = 1500;
    for (int t = 0; t < tenants; ++t) s.tenants.push_back({per_s * 1.5 / tenants, 1.0 / tenants});
    d.fault = Fault(int(random() % 7));
    d.struck = d.servers > 2 && u() < 0.8 ? 1 : d.servers > 3 ? d.servers / 2 : 0;
    if (d.struck == 0) d.fault = Fault::None;
    return d;
}

// What each of these days is drawn to be is in draw(); 134 has a sole server that turns work away, 316 and
// 365 have more requests than looks can serve.
TEST(DrawnSettings, KeepTheRulesAndStarveNoClass) {
    std::vector<std::uint64_t> seeds(40);
    std::iota(seeds.begin(), seeds.end(), 1);
    seeds.insert(seeds.end(), {134, 316, 365});
    for (std::uint64_t seed : seeds) {
        Drawn drawn = draw(seed);
        DrawnDay day(drawn);
        day.run();
        for (const std::string& what : day.breaks) ADD_FAILURE() << "seed " << seed << ": " << what;
        for (std::size_t c = 0; c < day.by_class.size(); ++c) {
            const auto& group = day.by_class[c];
            if (group.asked < 30) continue;
            EXPECT_GT(group.served, 0.4 * group.asked)
                << "seed " << seed << ", class " << c << " of " << group.asked;
        }
    }
}

// How many servers are used was weighed by what probes cost alone, whatever the requests needed.
TEST(DearProbes, LeaveNoServerUnusedThatIsNeeded) {
    for (double price : {0.06, 0.2, 1.0})
        for (double load : {0.4, 0.6}) {
            Drawn d = draw(1);
            d.servers = 8, d.slots = 2, d.zones = 1, d.cells = 1, d.leave = 0, d.way_ms = d.cross_ms = 0.3;
            d.took_ms = {300}, d.mix = {1}, d.spread = 0.3, d.load = load, d.length_ms = 30'000;
            d.fault = Fault::Full, d.struck = 1;
            Settings set;
            set.node_count = 1, set.probes = true, set.probes_report_load = false, set.cancel = true;
            set.clock_granularity = Duration{1}, set.max_attempts = 3;
            set.probe_cost = price, set.connection_cost = 0.05;
            ClassSettings unsafe;
            unsafe.latency_objective = Duration{800}, unsafe.request_timeout = Duration{1200},
            unsafe.priority_weight = 1, unsafe.late_response_weight = 0.5;
            unsafe.idempotency = Idempotency::NonIdempotent;
            set.classes = {unsafe};
            d.set = set;
            DrawnDay day(d);
            day.run();
            for (const std::string& what : day.breaks) ADD_FAILURE() << price << ", " << load << ": " << what;
            EXPECT_GT(day.by_class[0].served, 0.85 * day.by_class[0].asked)
                << price << ", " << load << " of " << day.by_class[0].asked;
        }
}

}  // namespace
}  // namespace ochrehub::testing
