#include "lab/cold/world.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <utility>

namespace ochrehub::lab {
namespace {

constexpr double kFirstStart = 9000;  // by then each process knows what requests take
constexpr double kOutage = 6000;
constexpr double kProcessDown = 200;  // a process that restarts is away for this
constexpr double kPatience = 1500;
constexpr double kTurn = 5;  // requests take turns of so much CPU
constexpr double kProbeWork = 0.24;
constexpr int kRoom = 20;  // requests for each slot that may wait for one

enum class Kind {
    Arrive,
    Wake,
    Reach,
    CpuDone,
    Answer,
    Expire,
    Gone,
    ProbeReach,
    ProbeBack,
    List,
    Down,
    Up,
    Restart
};

struct Item {
    double at = 0;
    std::uint64_t order = 0;
    Kind kind{};
    std::size_t a = 0, b = 0;
    std::uint64_t c = 0;
    bool operator>(const Item& o) const { return at != o.at ? at > o.at : order > o.order; }
};

struct Call {  // one attempt
    std::size_t process = 0, server = 0;
    std::uint64_t life = 0, request = 0;
    int number = 0, cls = 0;
    double sent = 0, left = 0;  // CPU that it still needs
    bool ended = false, connects = false;
};

struct Connections {  // of one process at one server
    int open = 0, busy = 0;
    std::uint64_t life = 0;  // the server's
};

struct Open {
    int cls = 0, attempts = 0;
    std::vector<std::size_t> calls;
};

struct Process {
    std::unique_ptr<Module> module;
    std::uint64_t life = 0;
    double rate = 0, late = 0;  // requests a ms; how late lists come
    std::unordered_map<RequestId, Open> open;
    std::vector<Connections> connections;  // by server
};

struct Machine {
    double size = 1, started = -1e9;
    int zone = 0;
    bool up = true, listed = true, cold_start = false;
    std::uint64_t life = 0;
    int slots = 0, in_slots = 0, on_cores = 0;
    std::deque<std::size_t> waiting, for_core;
    std::vector<std::pair<double, double>> reached;  // while cold: when, its work
    double done = 0;
};

class World {
public:
    World(const ColdDay& day, std::uint64_t seed) : day_(day), random_(seed * 2654435761u + 17), seed_(seed) {
        set_.node_count = day.each_alone ? 1 : day.processes;
        set_.probes =
            day.probes == ColdDay::Probes::Drawn ? seed % 3 > 0 : day.probes != ColdDay::Probes::None;
        set_.probes_report_load =
            day.probes == ColdDay::Probes::Drawn ? seed % 3 == 2 : day.probes == ColdDay::Probes::Reports;
        set_.max_attempts = 4;
        set_.cancel = true;
        set_.probe_cost = day.price_probe;
        set_.cross_zone_cost = day.zones > 1 ? 0.2 : 0;
        // No rule may hold for one deployment's figures alone.
        set_.slow_start_initial_capacity = 0.2 + 0.3 * uniform();
        set_.slow_start_duration = Duration{5000 + 5000 * uniform()};
        set_.overload_factor = 1.2 + 2 * uniform();
        set_.overload_after = Duration{1000 + 1000 * uniform()};
        handshake_ = 3.2 + 2.8 * uniform();
        if (day.handshake >= 0) handshake_ = day.handshake;
        if (day.cold_from > 0) set_.slow_start_initial_capacity = day.cold_from;
        if (day.cold_time > 0) set_.slow_start_duration = Duration{day.cold_time};
        if (day.overload_factor > 0) set_.overload_factor = day.overload_factor;
        if (day.tip_after > 0) set_.overload_after = Duration{day.tip_after};
        double busy = 0;
        for (const ColdWork& work : day.work) {
            ClassSettings c;
            c.latency_objective =
                Duration{day.aim > 0 ? day.aim : std::max(400.0, 4 * (work.cpu + work.wait))};
            c.request_timeout = Duration{std::max(kPatience, 2 * c.latency_objective.count())};
            c.idempotency = Idempotency::Idempotent;
            set_.classes.push_back(c);
            mean_cpu_ += work.part * work.cpu;
            busy += work.part * (work.cpu + work.wait);
        }
        double capacity = 0;
        for (int i = 0; i < day.servers; ++i) {
            Machine m;
            m.size = day.two_sizes && i % 2 ? 0.5 : 1;
            m.zone = i % day.zones;
            double need = day.slots ? day.slots : 1.5 * day.cores * busy / mean_cpu_;
            m.slots = std::max(1, int(std::lround(need * m.size)));
            capacity += m.size * day.cores;
            machines_.push_back(std::move(m));
        }
        double weights = 0;
        auto weight = [&](int k) { return !day.uneven ? 1.0 : k % 4 == 0 ? 3.0 : 1.0 / 3; };
        for (int k = 0; k < day.processes; ++k) weights += weight(k);
        for (int k = 0; k < day.processes; ++k) {
            Process p;
            p.rate = day.load * capacity / mean_cpu_ * weight(k) / weights;
            p.late = day.list_late * uniform();
            processes_.push_back(std::move(p));
        }
        for (std::size_t k = 0; k < processes_.size(); ++k) begin(k);
        for (std::size_t k = 0; k < processes_.size(); ++k) put(gap(k), Kind::Arrive, k);
        plan();
    }

    ColdOutcome run() {
        double end = last_start_ + set_.slow_start_duration.count() + 500;
        while (!items_.empty() && items_.top().at < end) {
            Item item = items_.top();
            items_.pop();
            now_ = item.at;
            ++outcome_.events;
            happen(item);
        }
        judge();
        return outcome_;
    }

private:
    double uniform() { return double(random_() >> 11) * 0x1p-53; }
    double gap(std::size_t k) { return -std::log(1 - uniform()) / std::max(1e-9, processes_[k].rate); }
    double wire() { return 0.2 + 0.5 * uniform(); }
    void put(double after, Kind kind, std::size_t a = 0, std::size_t b = 0, std::uint64_t c = 0) {
        items_.push({now_ + after, ++order_, kind, a, b, c});
    }

    void plan() {
        using Starts = ColdDay::Starts;
        std::vector<std::size_t> cold;
        double within = 0;
        std::size_t n = machines_.size();
        for (std::size_t i = 0; i < n; ++i) {
            bool it = day_.starts == Starts::One        ? i == 0
                      : day_.starts == Starts::SixInTen ? 10 * i < 6 * n
                      : day_.starts == Starts::ZoneLost ? 2 * i < n  // half of all, as one
                      : day_.starts == Starts::AllLost  ? true
                                                        : 3 * i < n;
            if (it) cold.push_back(i);
        }
        if (day_.starts == Starts::SixInTen) within = 7000;
        if (day_.starts == Starts::AllLost) within = 4000;
        for (std::size_t i : cold) {
            double at = kFirstStart + within * uniform();
            bool away = day_.starts != Starts::One && day_.starts != Starts::SixInTen;
            if (away) {
                put(kFirstStart - kOutage, Kind::Down, i);
                put(at + 50 * uniform(), Kind::Up, i);
            } else {  // a new one in its place, while the old one leaves
                Machine fresh;
                fresh.size = machines_[i].size, fresh.zone = machines_[i].zone,
                fresh.slots = machines_[i].slots;
                fresh.up = fresh.listed = false;
                machines_.push_back(std::move(fresh));
                put(at, Kind::Up, machines_.size() - 1);
                put(at - 500, Kind::Down, i, 1);
            }
            last_start_ = std::max(last_start_, at + 50);
        }
        double restart_at = 1000 + 2000 * uniform();
        for (std::size_t k = 0; k < processes_.size(); ++k) {
            if (day_.restarting <= 0) break;
            bool it =
                day_.restarting >= 1 || uniform() < day_.restarting || (k == 0 && processes_.size() < 4);
            if (!it) continue;
            double at = day_.restart_spread ? 500 + uniform() * 7000 : restart_at + 300 * uniform();
            for (int r = 0; r < (day_.restart_loop ? 6 : 1); ++r)
                put(kFirstStart + at + 1000.0 * r, Kind::Restart, k);
        }
    }

    EndpointEntry entry(std::size_t i) const {
        EndpointEntry e;
        e.endpoint = EndpointId(i + 1), e.zone = machines_[i].zone, e.kind = 0, e.weight = machines_[i].size;
        e.phase = machines_[i].listed ? Phase::Ready : Phase::Removed;
        if (machines_[i].started > 0) e.last_start = TimePoint{Duration{machines_[i].started}};
        return e;
    }

    void begin(std::size_t k) {
        Process& p = processes_[k];
        Settings set = set_;
        set.node_index = day_.each_alone ? kNone : int(k);
        set.zone = int(k) % day_.zones;
        p.module = make_module(day_.twin, set, seed_ * 1000003 + k * 7919 + p.life * 104729 + 1);
        EndpointUpdate list;
        for (std::size_t i = 0; i < machines_.size(); ++i)
            if (machines_[i].listed) list.entries.push_back(entry(i));
        tell(k, list);
    }

    void tell(std::size_t k, const Event& event) {
        Actions actions;
        processes_[k].module->handle(TimePoint{Duration{now_}}, event, actions);
        for (const Action& action : actions) act(k, action);
    }

    void act(std::size_t k, const Action& action) {
        Process& p = processes_[k];
        if (const auto* f = std::get_if<Forward>(&action)) {
            auto it = p.open.find(f->request);
            if (it == p.open.end()) return;
            Open& open = it->second;
            Call call;
            call.process = k, call.server = f->endpoint - 1, call.life = p.life, call.request = f->request;
            call.number = open.attempts++, call.cls = open.cls, call.sent = now_;
            open.calls.push_back(calls_.size());
            call.connects = connect(p, call.server);
            put(wire(), Kind::Reach, calls_.size());
            if (f->timeout.count() > 0) put(f->timeout.count(), Kind::Expire, calls_.size());
            calls_.push_back(call);
        } else if (const auto* r = std::get_if<Reject>(&action)) {
            p.open.erase(r->request);
        } else if (const auto* d = std::get_if<Fail>(&action)) {
            p.open.erase(d->request);
        } else if (const auto* q = std::get_if<Probe>(&action)) {
            put(wire(), Kind::ProbeReach, k, q->endpoint - 1, p.life);
        } else if (const auto* w = std::get_if<SetTimer>(&action)) {
            double at = std::max(now_, w->at.time_since_epoch().count());
            items_.push({at, ++order_, Kind::Wake, k, 0, p.life});
        }
    }

    // One request at a time on each connection, as many as were ever busy together.
    bool connect(Process& p, std::size_t server) {
        if (p.connections.size() <= server) p.connections.resize(server + 1);
        Connections& c = p.connections[server];
        if (c.life != machines_[server].life) c = {0, 0, machines_[server].life};
        if (++c.busy <= c.open) return false;
        ++c.open;
        return true;
    }

    void disconnect(Process& p, std::size_t server, bool broken) {
        Connections& c = p.connections[server];
        if (c.life != machines_[server].life || c.busy == 0) return;
        --c.busy, c.open -= broken;
    }

    void reached(Machine& m, double work) {
        if (m.cold_start && now_ <= m.started + set_.slow_start_duration.count())
            m.reached.emplace_back(now_, work);
    }

    void end(std::size_t n, Outcome outcome) {
        Call& call = calls_[n];
        Process& p = processes_[call.process];
        if (std::exchange(call.ended, true) || call.life != p.life) return;
        disconnect(p, call.server, outcome == Outcome::Timeout || outcome == Outcome::ConnectFailed);
        bool concluded = outcome == Outcome::Ok && p.open.erase(call.request) > 0;
        served_ += concluded;
        tell(call.process, AttemptEnded{call.request,
                                        call.number,
                                        EndpointId(call.server + 1),
                                        outcome,
                                        Duration{now_ - call.sent},
                                        concluded,
                                        {}});
    }

    double warmth(const Machine& m, double at) const {
        double age = (at - m.started) / set_.slow_start_duration.count();
        return age >= 1 ? 1
                        : set_.slow_start_initial_capacity +
                              (1 - set_.slow_start_initial_capacity) * std::max(0.0, age);
    }

    void fill(Machine& m) {
        while (m.in_slots < m.slots && !m.waiting.empty()) {
            ++m.in_slots;
            m.for_core.push_back(m.waiting.front());
            m.waiting.pop_front();
        }
        double cores = day_.cores * m.size;
        while (m.on_cores < std::max(1.0, cores) && !m.for_core.empty()) {
            ++m.on_cores;
            std::size_t n = m.for_core.front();
            m.for_core.pop_front();
            double speed = std::min(1.0, cores) * warmth(m, now_);
            put(std::min(kTurn, calls_[n].left) / speed, Kind::CpuDone, n, 0, m.life);
        }
    }

    void happen(const Item& item) {
        switch (item.kind) {
            case Kind::Arrive: {
                put(gap(item.a), Kind::Arrive, item.a);
                Process& p = processes_[item.a];
                if (!p.module) return;
                ++asked_;
                RequestArrived e;
                e.request = ++requests_;
                double draw = uniform();
                while (e.class_index + 1 < int(day_.work.size()) &&
                       draw >= day_.work[std::size_t(e.class_index)].part)
                    draw -= day_.work[std::size_t(e.class_index++)].part;
                Duration patience = set_.classes[std::size_t(e.class_index)].request_timeout;
                e.deadline = TimePoint{Duration{now_} + patience};
                p.open[e.request].cls = e.class_index;
                put(patience.count(), Kind::Gone, item.a, 0, e.request);
                return tell(item.a, e);
            }
            case Kind::Wake:
                if (processes_[item.a].life == item.c) tell(item.a, TimerFired{});
                return;
            case Kind::Reach: {
                Call& call = calls_[item.a];
                Machine& m = machines_[call.server];
                if (!m.up) return put(wire(), Kind::Answer, item.a, std::size_t(Outcome::ConnectFailed));
                if (call.connects) reached(m, handshake_);
                reached(m, day_.work[std::size_t(call.cls)].cpu);
                if ((day_.turns_away && m.cold_start && m.started > 0) ||
                    int(m.waiting.size()) >= kRoom * m.slots)
                    return put(day_.turned_away_after + wire(), Kind::Answer, item.a,
                               std::size_t(Outcome::Rejected));
                call.left = day_.work[std::size_t(call.cls)].cpu;
                m.waiting.push_back(item.a);
                return fill(m);
            }
            case Kind::CpuDone: {
                Machine& m = machines_[calls_[item.a].server];
                const ColdWork& work = day_.work[std::size_t(calls_[item.a].cls)];
                if (item.c != m.life) return;
                if (item.b == 0) {  // its CPU; then it waits in its slot
                    double& left = calls_[item.a].left;
                    --m.on_cores;
                    if ((left -= kTurn) > 0) {
                        m.for_core.push_back(item.a);
                        return fill(m);
                    }
                    if (m.cold_start && now_ <= m.started + set_.slow_start_duration.count())
                        m.done += work.cpu;
                    put(work.wait, Kind::CpuDone, item.a, 1, m.life);
                } else {
                    --m.in_slots;
                    put(wire(), Kind::Answer, item.a, std::size_t(Outcome::Ok));
                }
                return fill(m);
            }
            case Kind::Answer:
                return end(item.a, Outcome(item.b));
            case Kind::Expire:
                return end(item.a, Outcome::Timeout);
            case Kind::Gone: {
                Process& p = processes_[item.a];
                if (p.open.erase(item.c) && p.module) tell(item.a, ClientDisconnected{item.c});
                return;
            }
            case Kind::ProbeReach:  // answered beside the work
                reached(machines_[item.b], kProbeWork);
                return put(wire(), Kind::ProbeBack, item.a, item.b, item.c);
            case Kind::ProbeBack: {
                if (processes_[item.a].life != item.c) return;
                const Machine& m = machines_[item.b];
                ProbeEnded e;
                e.endpoint = EndpointId(item.b + 1), e.elapsed = Duration{1};
                e.outcome = m.up ? Outcome::Ok : Outcome::ConnectFailed;
                if (m.up && set_.probes_report_load)
                    e.report = {double(m.in_slots) + double(m.waiting.size()), double(m.waiting.size()), {}};
                return tell(item.a, e);
            }
            case Kind::List: {
                if (!processes_[item.a].module) return;
                return tell(item.a, EndpointUpdate{UpdateKind::Delta, {entry(item.b)}});
            }
            case Kind::Down: {
                Machine& m = machines_[item.a];
                m.listed = false;
                if (item.b == 0) {  // crashed: what it had is lost
                    m.up = false, ++m.life;
                    m.in_slots = m.on_cores = 0;
                    m.waiting.clear(), m.for_core.clear();
                }
                return spread(item.a);
            }
            case Kind::Up: {
                Machine& m = machines_[item.a];
                m.up = m.listed = m.cold_start = true;
                m.started = now_, ++m.life;
                return spread(item.a);
            }
            case Kind::Restart: {
                Process& p = processes_[item.a];
                if (day_.twin == Twin::ForgetsSends) return tell(item.a, HandoverPeerChanged{false});
                if (p.module) {
                    p.module.reset();
                    ++p.life;
                    p.open.clear(), p.connections.clear();
                    return put(kProcessDown, Kind::Restart, item.a, 1);
                }
                return item.b == 1 ? begin(item.a) : void();
            }
        }
    }

    void spread(std::size_t i) {
        for (std::size_t k = 0; k < processes_.size(); ++k)
            put(std::min(day_.list_late, processes_[k].late * (0.7 + 0.6 * uniform())), Kind::List, k, i);
    }

    void judge() {
        double could = 0, did = 0, tip = set_.overload_after.count(), windows = 0;
        for (Machine& m : machines_) {
            if (!m.cold_start) continue;
            auto area = [&](double from, double to) {  // of its warmth; past its cold time it is warm
                double end = m.started + set_.slow_start_duration.count(),
                       cold_to = std::clamp(end, from, to);
                return (warmth(m, from) + warmth(m, cold_to)) / 2 * (cold_to - from) + (to - cold_to);
            };
            double sum = 0;
            std::size_t first = 0;
            for (const auto& [at, work] : m.reached) {
                // Of all windows that end with this send the earliest has the least budget; none begins
                // before the server does.
                double from = std::max(m.started, at - tip);
                for (sum += work; m.reached[first].first <= at - tip; ++first) sum -= m.reached[first].second;
                double budget =
                    set_.overload_factor * day_.cores * m.size * area(from, from + tip) / mean_cpu_;
                double excess = (sum / mean_cpu_ - budget) / (2 * std::sqrt(budget) + 2);
                bool inside = at >= m.started + tip;
                windows += inside, outcome_.part += inside ? sum / mean_cpu_ / budget : 0;
                if (excess > outcome_.worst)
                    outcome_.worst = excess, outcome_.sent = sum / mean_cpu_, outcome_.budget = budget;
            }
            could += day_.cores * m.size * area(m.started, m.started + set_.slow_start_duration.count());
            did += m.done;
        }
        outcome_.part /= std::max(1.0, windows);
        outcome_.used = could > 0 ? did / could : 0;
        outcome_.served = served_ / std::max(1.0, asked_);
    }

    const ColdDay& day_;
    std::mt19937_64 random_;
    std::uint64_t seed_, order_ = 0;
    RequestId requests_ = 0;
    Settings set_;
    double handshake_ = 0, mean_cpu_ = 0, now_ = 0, last_start_ = 0, served_ = 0, asked_ = 0;
    std::vector<Process> processes_;
    std::vector<Machine> machines_;
    std::vector<Call> calls_;
    std::priority_queue<Item, std::vector<Item>, std::greater<>> items_;
    ColdOutcome outcome_;
};

}  // namespace

ColdOutcome run(const ColdDay& day, std::uint64_t seed) {
    return World(day, seed).run();
}

std::vector<ColdDay> cold_days(int processes) {
    using Starts = ColdDay::Starts;
    std::vector<ColdDay> days;
    auto add = [&](const char* name, auto change) {
        ColdDay day;
        day.name = name, day.processes = processes;
        change(day);
        days.push_back(day);
    };
    using Probes = ColdDay::Probes;
    const std::vector<ColdWork> waits = {{4, 60, 0.6}, {10, 120, 0.4}};
    add("one", [](ColdDay&) {});
    add("one, even traffic", [](ColdDay& d) { d.uneven = false, d.load = 1; });
    add("one, load 0.3", [](ColdDay& d) { d.load = 0.3; });
    add("one, load 1.3", [](ColdDay& d) { d.load = 1.3; });
    add("one of two, load 1.3", [](ColdDay& d) { d.servers = 2, d.load = 1.3; });
    add("one, two sizes", [](ColdDay& d) { d.two_sizes = true, d.load = 1.3; });
    add("one, no probes", [](ColdDay& d) { d.probes = Probes::None, d.load = 1; });
    add("one, turns away", [](ColdDay& d) { d.turns_away = true, d.load = 1; });
    add("one, waits on others", [&](ColdDay& d) { d.work = waits, d.load = 1; });
    add("one, slots 5 x", [&](ColdDay& d) { d.work = waits, d.slots = 150, d.load = 1; });
    add("six in ten", [](ColdDay& d) { d.servers = 10, d.starts = Starts::SixInTen, d.load = 1; });
    add("six in ten, load 1.3",
        [](ColdDay& d) { d.servers = 10, d.starts = Starts::SixInTen, d.load = 1.3; });
    add("six in ten of 60", [](ColdDay& d) { d.servers = 60, d.starts = Starts::SixInTen; });
    add("third after outage", [](ColdDay& d) { d.starts = Starts::AfterOutage, d.load = 1; });
    add("half after outage", [](ColdDay& d) { d.starts = Starts::ZoneLost, d.load = 0.9; });
    add("all after outage", [](ColdDay& d) { d.starts = Starts::AllLost, d.load = 1; });
    add("all, turn away", [](ColdDay& d) { d.starts = Starts::AllLost, d.load = 1, d.turns_away = true; });
    add("all, slots 5 x", [&](ColdDay& d) { d.starts = Starts::AllLost, d.work = waits, d.slots = 150; });
    add("all after outage, 1.3", [&](ColdDay& d) {
        d.starts = Starts::AllLost, d.work = waits, d.load = 1.3, d.probes = Probes::None;
    });
    add("half after outage, 1.3", [&](ColdDay& d) {
        d.starts = Starts::ZoneLost, d.work = waits, d.load = 1.3, d.probes = Probes::None;
    });
    add("half, few, slots 5 x", [&](ColdDay& d) {
        d.starts = Starts::ZoneLost, d.servers = 2, d.work = waits, d.slots = 150, d.load = 1.3;
    });
    add("three zones",
        [](ColdDay& d) { d.zones = 3, d.servers = 12, d.starts = Starts::AfterOutage, d.load = 1; });
    add("1 in 10 restart", [](ColdDay& d) { d.restarting = 0.1, d.restart_spread = true, d.load = 1.3; });
    add("7 in 10 restart", [](ColdDay& d) { d.restarting = 0.7, d.load = 1.3; });
    add("all restart", [](ColdDay& d) { d.restarting = 1, d.load = 1.3; });
    add("all in a loop", [](ColdDay& d) { d.restarting = 1, d.restart_loop = true, d.load = 1.3; });
    add("all, turn away, a loop", [](ColdDay& d) {
        d.starts = Starts::AllLost, d.turns_away = true, d.restarting = 1, d.restart_loop = true,
        d.load = 1.3;
    });
    add("all restart, one of two",
        [](ColdDay& d) { d.restarting = 1, d.servers = 2, d.load = 1.3, d.turns_away = true; });
    // Where the cold budget itself is what binds: reports, a small factor, a long span, and few or no warm
    // servers. Where servers turn all away, after a while, neither limits in flight nor the rest behind a
    // refusal hold anything back.
    auto binds = [&](const char* name, auto change) {
        add(name, [&](ColdDay& d) {
            d.servers = 4, d.cores = 1, d.load = 0.8, d.probes = Probes::Reports;
            d.overload_factor = 1.2, d.tip_after = 3000, d.cold_time = 10000, d.cold_from = 0.3;
            d.starts = Starts::AllLost, d.work = {{5, 0, 1}}, d.turns_away = true, d.turned_away_after = 20;
            change(d);
        });
    };
    auto waiting = [](ColdDay& d) {
        d.starts = Starts::ZoneLost, d.load = 1.2, d.cold_time = 20000, d.cold_from = 0.2,
        d.turns_away = false;
        d.work = {{20, 100, 1}};
    };
    auto tight = [](ColdDay& d) { d.work = {{100, 0, 1}}, d.aim = 150, d.turned_away_after = 0; };
    auto loop = [](ColdDay& d) { d.restarting = 1, d.restart_loop = true; };
    binds("binds", [](ColdDay&) {});
    binds("binds, ten come back", [](ColdDay& d) { d.servers = 10; });
    binds("binds, two sizes", [](ColdDay& d) { d.two_sizes = true; });
    binds("binds, no probes", [](ColdDay& d) { d.probes = Probes::None; });
    binds("binds, a loop", loop);
    binds("binds, tight aims", tight);
    binds("binds, tight, a loop", [&](ColdDay& d) { tight(d), loop(d); });
    binds("binds, waits", waiting);
    binds("binds, connections", [&](ColdDay& d) { waiting(d), d.cores = 2, d.work = {{5, 300, 1}}; });
    return days;
}

}  // namespace ochrehub::lab
