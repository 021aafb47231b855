#include "lab/shards/simulation.h"

#include <algorithm>

#include "fleet/shards/wire.h"
#include "lab/record/decision_recorder.h"

namespace ochrehub::lab::shards {

using fleet::Error;
using fleet::SessionId;
using fleet::ShardAssignment;
using fleet::ShardClient;
using fleet::ShardHolder;
using fleet::ShardMapPlanner;
namespace wire = fleet::wire;

struct Message {
    enum class Kind : std::uint8_t { Renew, Renewed, Over, Propose, Proposed, Asks, ToHolder, Answers };
    Kind kind = Kind::Renew;
    SessionId session = 0;
    std::uint64_t nonce = 0;
    std::string body, name, zone;
};

namespace {

constexpr std::size_t kCoordinators = 3;
constexpr Duration kTick{50};
constexpr std::size_t kNoHolder = ~std::size_t{0};

}  // namespace

std::string_view name(Mutant mutant) {
    constexpr std::string_view kNames[kMutants] = {"none",
                                                   "responds before backup ack",
                                                   "backup stores nothing",
                                                   "ignores session expiry",
                                                   "counts lease from response",
                                                   "stale clock after pause",
                                                   "reports caught up early",
                                                   "responds after stepping down",
                                                   "keeps session across restart",
                                                   "coordinators expire sessions early",
                                                   "new leader forgets leases",
                                                   "coordinators forget backup",
                                                   "hides loss",
                                                   "retries blindly"};
    return kNames[std::size_t(mutant)];
}

struct Simulation::Impl {
    // ---- Processes
    struct ProcessState {  // what every process has: a session and its renewals
        std::size_t process = 0;
        std::string name, zone;
        SessionId session = 0;
        std::uint64_t nonce = 0;
        std::map<std::uint64_t, TimePoint> renewal_requests;  // time of each renewal request, by nonce
        TimePoint next_renewal{}, next_core{Duration{1e15}}, renewed_early{};
    };
    struct HolderProcess : ProcessState {
        std::unique_ptr<fleet::Table> table;
        std::unique_ptr<ShardHolder> core;
        bool is_muted = false;
        TimePoint last{}, resumed{Duration{-1}}, before{};  // for StaleClockAfterPause
    };
    struct Worker {
        bool busy = false;
        TimePoint next{};
    };
    struct NodeProcess : ProcessState {
        std::unique_ptr<ShardClient> core;
        std::vector<Worker> workers;
        std::map<std::uint64_t, std::function<void(const ShardClient::Completed&)>> requests;
        std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>> seen;  // key: version, value
        std::uint64_t next_request = 1;
    };
    struct ActiveSession {
        TimePoint renewed_at{};
    };

    Simulation& simulation;
    SimulationSettings set;
    boost::random::taus88 random;
    std::unique_ptr<Network> net;
    std::vector<HolderProcess> holders;
    std::vector<NodeProcess> nodes;
    std::vector<std::pair<bool, std::size_t>> at;  // by process: whether it is a holder, and its index

    // ---- The coordinators' log
    std::unique_ptr<ShardMapPlanner> machine;
    std::map<SessionId, ActiveSession> sessions;
    std::map<SessionId, std::size_t> process_of;
    std::size_t leader = 0;
    SessionId last_session = 0;

    // ---- Recorded history
    std::vector<std::vector<Operation>> histories;
    std::vector<std::vector<bool>> dropped;
    std::uint64_t last_value = 0;
    std::map<std::pair<std::uint32_t, std::uint64_t>, SessionId>
        responded_by;  // holder that responded, by shard and view
    std::vector<std::string> violations;
    Result figures;
    std::optional<std::pair<std::uint64_t, AtEvent>> at_event;

    Impl(Simulation& w, const SimulationSettings& settings)
        : simulation(w), set(settings), random(unsigned(settings.seed * 2654435761u) | 64u) {
        NetSettings n;
        n.processes = kCoordinators;
        n.loss = set.loss;
        n.in_order = true;
        n.seed = set.seed;
        net = std::make_unique<Network>(
            n, Network::Hooks{
                   [this](std::size_t p, TimePoint own) { run_event(p, own, [&] { timer_fired(p, own); }); },
                   [this](std::size_t to, std::size_t from, TimePoint own, const Message& m) {
                       run_event(to, own, [&] { received(to, from, own, m); });
                   },
                   [this](std::size_t from, std::size_t, Message&) {
                       return !(from >= kCoordinators && at[from - kCoordinators].first &&
                                holders[at[from - kCoordinators].second].is_muted);
                   }});
        ShardMapPlanner::Settings v;
        v.shard_count = set.shards;
        machine = std::make_unique<ShardMapPlanner>(v);
        histories.resize(set.keys), dropped.resize(set.keys);
        for (std::size_t k = 0; k < kCoordinators; ++k)
            net->clock(k, rate()), net->wake_at(k, net->own(k) + kTick);
        holders.reserve(64), nodes.reserve(64);
        for (std::size_t i = 0; i < set.holders; ++i) add_holder();
        for (std::size_t i = 0; i < set.nodes; ++i) add_node();
    }

    double uniform() { return double(random()) * 0x1p-32; }
    double rate() { return 1 + set.clocks * (2 * uniform() - 1); }
    bool is_mutant(Mutant s) const { return set.mutant == s; }
    void report_violation(const std::string& what) {
        if (violations.size() < 10) violations.push_back(what);
    }

    std::size_t add_process(bool holder, std::size_t number) {
        std::size_t p = net->add();
        at.emplace_back(holder, number);
        net->clock(p, rate());
        net->wake_at(p, net->own(p));
        return p;
    }
    std::size_t add_holder() {
        HolderProcess& h = holders.emplace_back();
        std::size_t n = holders.size() - 1;
        h.process = add_process(true, n);
        h.name = "holder" + std::to_string(n);
        h.zone = "zone" + std::to_string(n % set.zones);
        restart_core(h);
        return n;
    }
    void restart_core(HolderProcess& h) {
        fleet::TableSettings t;
        t.shard_count = set.shards;
        t.max_lifetime = Duration(3'600'000);
        h.table = std::make_unique<fleet::Table>(t);
        ShardHolder::Settings s;
        s.address = h.name;
        s.page_records = set.page;
        h.core = std::make_unique<ShardHolder>(s, *h.table);
        h.renewal_requests.clear();
        h.last = h.next_renewal = h.next_core = net->own(h.process);
    }
    void add_node() {
        NodeProcess& n = nodes.emplace_back();
        n.process = add_process(false, nodes.size() - 1);
        n.name = "node" + std::to_string(nodes.size() - 1);
        n.zone = "zone" + std::to_string((nodes.size() - 1) % set.zones);
        n.workers.resize(set.workers);
        ShardClient::Settings c;
        c.shard_count = set.shards;
        c.instance = set.seed * 1000 + nodes.size();
        n.core = std::make_unique<ShardClient>(c);
    }
    ProcessState& shell(std::size_t process) {
        auto [holder, number] = at[process - kCoordinators];
        if (holder) return holders[number];
        return nodes[number];
    }

    // ---- Events
    template <class F>
    void run_event(std::size_t process, TimePoint, F&& f) {
        bool now = at_event && net->happened() == at_event->first && process >= kCoordinators &&
                   at[process - kCoordinators].first;
        if (!now) return f();
        std::size_t n = at[process - kCoordinators].second;
        simulation.faulted_holder_ = n;
        holders[n].is_muted = at_event->second == AtEvent::KillDuring;
        f();
        holders[n].is_muted = false;
        if (at_event->second == AtEvent::PauseAfter)
            simulation.pause(n);
        else
            simulation.kill(n);
    }
    void timer_fired(std::size_t process, TimePoint own) {
        if (process < kCoordinators) {
            tick(process, own);
            net->wake_at(process, own + kTick);
            return;
        }
        ProcessState& s = shell(process);
        if (own >= s.next_renewal) renew(s, own);
        auto [holder, number] = at[process - kCoordinators];
        if (own >= s.next_core) {
            s.next_core = TimePoint{Duration{1e15}};
            if (holder)
                handle(holders[number], own, ShardHolder::TimerFired{});
            else
                handle(nodes[number], own, ShardClient::TimerFired{});
        }
        if (!holder) work(nodes[number], own);
        arm(s);
    }
    void received(std::size_t to, std::size_t from, TimePoint own, const Message& m) {
        if (to < kCoordinators) return coordinator_received(to, from, own, m);
        ProcessState& s = shell(to);
        auto [holder, number] = at[to - kCoordinators];
        switch (m.kind) {
            case Message::Kind::Renewed: {
                auto renewal_requests = s.renewal_requests.find(m.nonce);
                if (renewal_requests == s.renewal_requests.end() ||
                    (s.session != 0 && m.session != s.session))
                    break;
                s.session = m.session;
                TimePoint when = is_mutant(Mutant::CountsLeaseFromResponse) ? own : renewal_requests->second;
                s.renewal_requests.erase(renewal_requests);
                if (holder) {
                    Duration lease = set.lease * (is_mutant(Mutant::IgnoresSessionExpiry) ? 100 : 1);
                    std::string news = mutate_map(m.body, s);
                    handle(holders[number], own,
                           ShardHolder::SessionRenewed{m.session, when + lease * 0.99 - Duration(50), news});
                } else {
                    handle(nodes[number], own, ShardClient::MapReceived{m.body});
                }
                break;
            }
            case Message::Kind::Over:
                if (m.session != s.session) break;
                s.session = 0;
                s.renewal_requests.clear();
                s.next_renewal = own;
                if (holder) handle(holders[number], own, ShardHolder::SessionExpired{});
                break;
            case Message::Kind::Proposed:
                renew_early(s, own);
                break;
            case Message::Kind::Asks:
            case Message::Kind::ToHolder:
                if (holder)
                    handle(holders[number], own, ShardHolder::MessageReceived{from, mutate_copies(m.body)});
                break;
            case Message::Kind::Answers:
                if (!holder) handle(nodes[number], own, ShardClient::MessageReceived{m.body});
                break;
            default:
                break;
        }
        arm(s);
    }
    void arm(ProcessState& s) {
        TimePoint next = std::min(s.next_renewal, s.next_core);
        auto [holder, number] = at[s.process - kCoordinators];
        if (!holder)
            for (const Worker& w : nodes[number].workers)
                if (!w.busy) next = std::min(next, w.next);
        // Slightly later, so that rounding between the two clocks never fires a timer before it is due.
        net->wake_at(s.process, std::max(next, net->own(s.process)) + Duration(1e-6));
    }

    // ---- Sessions
    void renew(ProcessState& s, TimePoint own) {
        s.next_renewal = own + set.lease / 3;
        Message m;
        m.session = s.session, m.name = s.name, m.zone = s.zone;
        m.nonce = ++s.nonce;
        s.renewal_requests[m.nonce] = own;
        if (s.renewal_requests.size() > 32) s.renewal_requests.erase(s.renewal_requests.begin());
        for (std::size_t k = 0; k < kCoordinators; ++k) net->send(s.process, k, m);
    }
    void renew_early(ProcessState& s, TimePoint own) {
        if (own < s.renewed_early + Duration(20)) return;
        s.renewed_early = own;
        renew(s, own);
    }

    // ---- Coordinators
    template <class F>
    void change(F&& f) {
        std::vector<ShardAssignment> before = machine->map().entries;
        f();
        for (std::uint32_t n = 0; n < before.size(); ++n) {
            const ShardAssignment &was = before[n], &is = machine->map().entries[n];
            if (is.view != was.view) ++figures.views;
            if (!is.lost || is.origin == was.origin) continue;
            if (was.backup != 0 && sessions.contains(was.backup))
                report_violation("a shard was reported lost while its backup was alive");
            ++figures.lost;
            Operation loss;
            loss.what = Operation::What::Loss;
            loss.sure = false;
            loss.called = net->now();
            for (std::size_t key = 0; key < set.keys; ++key)
                if (fleet::shard_of(1, key_name(key), set.shards) == n)
                    histories[key].push_back(loss), dropped[key].push_back(false);
        }
    }
    void expire_session(SessionId session) {
        sessions.erase(session);
        change([&] {
            if (is_mutant(Mutant::CoordinatorsForgetBackup)) return forget_backup(session);
            machine->session_ended(session);
        });
    }
    void forget_backup(SessionId session) {
        std::vector<ShardAssignment> before = machine->map().entries;
        machine->session_ended(session);
        wire::Snapshot snapshot;
        snapshot.ParseFromString(machine->snapshot());
        for (wire::Entry& e : *snapshot.mutable_map()->mutable_entries()) {
            if (before[e.shard()].primary != session || before[e.shard()].backup != e.first() ||
                e.first() == 0)
                continue;
            for (const wire::Holder& h : snapshot.map().holders())
                if (h.session() != e.first()) {
                    e.set_first(h.session()), e.set_filling(0);
                    break;
                }
        }
        machine->restore(1, snapshot.SerializeAsString());
    }
    void tick(std::size_t coordinator, TimePoint own) {
        if (coordinator != leader) return;
        Duration lease = set.lease / (is_mutant(Mutant::CoordinatorsExpireSessionsEarly) ? 3 : 1);
        std::vector<SessionId> ended;
        for (const auto& [id, active] : sessions)
            if (own >= active.renewed_at + lease) ended.push_back(id);
        for (SessionId id : ended) expire_session(id);
    }
    void coordinator_received(std::size_t me, std::size_t from, TimePoint own, const Message& m) {
        if (me != leader) return;
        if (m.kind == Message::Kind::Renew) {
            Message response;
            SessionId id = m.session;
            if (id == 0) {
                id = ++last_session;
                sessions[id] = {};
                process_of[id] = from;
                change([&] { machine->session_opened(id, m.name, m.zone); });
            }
            auto session = sessions.find(id);
            response.session = id, response.nonce = m.nonce;
            if (session == sessions.end()) {
                response.kind = Message::Kind::Over;
            } else {
                session->second.renewed_at = own;
                response.kind = Message::Kind::Renewed;
                response.body = machine->session_update(id);
            }
            net->send(me, from, response);
        } else if (m.kind == Message::Kind::Propose && sessions.contains(m.session)) {
            change([&] { machine->apply({m.session, m.body}); });
            Message response;
            response.kind = Message::Kind::Proposed;
            net->send(me, from, response);
        }
    }
    void move_leader() {
        leader = (leader + 1 + random() % (kCoordinators - 1)) % kCoordinators;
        TimePoint own = net->own(leader);
        for (auto& [id, active] : sessions) active.renewed_at = own;
        if (!is_mutant(Mutant::NewLeaderForgetsLeases)) return;
        std::vector<SessionId> all;
        for (const auto& [id, active] : sessions)
            if (machine->map().holders.contains(id)) all.push_back(id);
        for (SessionId id : all)
            if (uniform() < 0.5) expire_session(id);
    }

    // ---- Holders
    void propose(HolderProcess& h, const std::string& body) {
        Message m;
        m.kind = Message::Kind::Propose, m.session = h.session, m.body = body;
        for (std::size_t k = 0; k < kCoordinators; ++k) net->send(h.process, k, m);
    }
    void handle(HolderProcess& h, TimePoint own, const ShardHolder::Event& event) {
        TimePoint now = own;
        if (is_mutant(Mutant::StaleClockAfterPause) && h.resumed == net->now() &&
            std::holds_alternative<ShardHolder::MessageReceived>(event))
            now = h.before;
        else
            h.last = own;
        ShardHolder::Actions actions;
        h.core->handle(now, event, actions);
        record_decision("shard_holder", now, event, actions);
        for (ShardHolder::Action& action : actions)
            std::visit([&](auto& a) { carry_out(h, own, a); }, action);
    }
    void carry_out(HolderProcess& h, TimePoint own, ShardHolder::SendMessage& a) {
        auto to = process_of.find(a.to);
        if (to == process_of.end()) return;
        if (is_mutant(Mutant::RespondsBeforeBackupAck) || is_mutant(Mutant::ReportsCaughtUpEarly))
            forge_acknowledgements(h, own, a.body);
        Message m;
        m.kind = Message::Kind::ToHolder, m.body = std::move(a.body);
        net->send(h.process, to->second, std::move(m));
    }
    void carry_out(HolderProcess& h, TimePoint, ShardHolder::SendResponse& a) {
        wire::Message decoded;
        decoded.ParseFromString(a.body);
        for (const wire::Answer& one : decoded.answers()) {
            if (h.is_muted) break;
            bool is_definite = one.error() == 0 || Error(one.error()) == Error::Changed ||
                               Error(one.error()) == Error::BothHoldersLost;
            if (!is_definite || one.shard() >= machine->map().entries.size()) continue;
            if (machine->map().entries[one.shard()].primary != h.session)
                report_violation(h.name + " responded for shard " + std::to_string(one.shard()) +
                                 " after it was assigned to another holder");
            auto [it, fresh] = responded_by.try_emplace({one.shard(), one.view()}, one.holder());
            if (it->second != one.holder())
                report_violation("two holders responded for shard " + std::to_string(one.shard()) +
                                 " in one view");
        }
        Message m;
        m.kind = Message::Kind::Answers, m.body = std::move(a.body);
        net->send(h.process, std::size_t(a.to), std::move(m));
    }
    void carry_out(HolderProcess& h, TimePoint, ShardHolder::SubmitCommand& a) { propose(h, a.body); }
    void carry_out(HolderProcess& h, TimePoint own, ShardHolder::QueryMap&) { renew_early(h, own); }
    void carry_out(HolderProcess& h, TimePoint, ShardHolder::SetTimer& a) { h.next_core = a.at; }

    // ---- Mutants
    std::string mutate_map(const std::string& news, ProcessState& s) {
        if (!is_mutant(Mutant::HidesLoss) && !is_mutant(Mutant::RespondsAfterSteppingDown)) return news;
        fleet::ShardMap map;
        if (!fleet::decode(news, map)) return news;
        for (std::uint32_t n = 0; n < map.entries.size(); ++n) {
            ShardAssignment& e = map.entries[n];
            if (is_mutant(Mutant::HidesLoss)) e.lost = false;
            if (!is_mutant(Mutant::RespondsAfterSteppingDown) || !e.stepping_down || e.primary != s.session)
                continue;
            e.stepping_down = false;
            propose(holders[at[s.process - kCoordinators].second],
                    ShardMapPlanner::stepped_down_command(n, e.view));
        }
        return fleet::encode(map);
    }
    std::string mutate_copies(const std::string& body) {
        if (!is_mutant(Mutant::BackupStoresNothing)) return body;
        wire::Message m;
        m.ParseFromString(body);
        for (wire::Copy& c : *m.mutable_copies())
            for (wire::Step& step : *c.mutable_steps())
                if (step.what() == wire::Step::PUT) step.clear_record();
        return m.SerializeAsString();
    }
    void forge_acknowledgements(HolderProcess& h, TimePoint own, const std::string& body) {
        wire::Message sent, forged;
        sent.ParseFromString(body);
        for (const wire::Copy& c : sent.copies()) {
            if (is_mutant(Mutant::ReportsCaughtUpEarly)) {
                if (c.number() == 1 && !c.keeps())
                    propose(h, ShardMapPlanner::caught_up_command(c.shard(), c.view()));
                continue;
            }
            wire::Copied& back = *forged.add_copied();
            back.set_shard(c.shard()), back.set_view(c.view()), back.set_from(c.to()), back.set_to(c.from());
            back.set_stream(c.stream()), back.set_upto(c.number() + std::uint64_t(c.steps_size()) - 1);
        }
        if (forged.copied_size() > 0)
            handle(h, own, ShardHolder::MessageReceived{0, forged.SerializeAsString()});
    }

    // ---- Nodes
    void handle(NodeProcess& n, TimePoint own, const ShardClient::Event& event) {
        ShardClient::Actions actions;
        n.core->handle(own, event, actions);
        record_decision("shard_client", own, event, actions);
        for (ShardClient::Action& action : actions) {
            if (auto* tell = std::get_if<ShardClient::SendMessage>(&action)) {
                auto to = process_of.find(tell->to);
                if (to == process_of.end()) continue;
                Message m;
                m.kind = Message::Kind::Asks, m.body = std::move(tell->body);
                net->send(n.process, to->second, std::move(m));
            } else if (auto* done = std::get_if<ShardClient::Completed>(&action)) {
                auto ask = n.requests.find(done->id);
                auto f = std::move(ask->second);
                n.requests.erase(ask);
                f(*done);
            } else {
                n.next_core = std::get<ShardClient::SetTimer>(action).at;
            }
        }
    }
    void ask(NodeProcess& n, TimePoint own, bool writes, const fleet::Write& write,
             std::function<void(const ShardClient::Completed&)> f) {
        std::uint64_t id = n.next_request++;
        n.requests[id] = std::move(f);
        handle(n, own, ShardClient::Request{id, writes, write, own + set.deadline});
    }
    static std::string key_name(std::size_t key) { return "key" + std::to_string(key); }
    static std::uint64_t value_of(const std::optional<fleet::Record>& record) {
        return record ? std::stoull(record->payload) : kAbsent;
    }
    void work(NodeProcess& n, TimePoint own) {
        for (std::size_t i = 0; i < n.workers.size(); ++i) {
            Worker& w = n.workers[i];
            if (w.busy || own < w.next) continue;
            w.next = own + set.think * (0.5 + uniform());
            if (!simulation.clients_stopped_) begin(n, own, i);
        }
    }
    void begin(NodeProcess& n, TimePoint own, std::size_t worker) {
        std::size_t key = std::size_t(random() % set.keys);
        double kind = uniform();
        Operation o;
        o.called = net->now();
        o.sure = false;
        fleet::Write w;
        w.record.kind = 1, w.record.key = key_name(key), w.record.partner = 1,
        w.record.lifetime = Duration(3'600'000);
        bool writes = kind >= 0.45;
        if (writes) {
            o.what = kind < 0.7 ? Operation::What::Write : Operation::What::Swap;
            o.value = ++last_value;
            if (kind > 0.97) o.value = kAbsent, w.erase = true;
            w.record.payload = std::to_string(o.value);
            if (o.what == Operation::What::Swap) {
                auto [version, value] = n.seen[key];
                w.expected_version = version;
                o.expected = value;
            }
        }
        std::size_t at_history = histories[key].size();
        histories[key].push_back(o);
        dropped[key].push_back(false);
        n.workers[worker].busy = true;
        ask(n, own, writes, w, [this, &n, key, at_history, worker, w](const ShardClient::Completed& d) {
            done(n, key, at_history, worker, w, d);
        });
    }
    void done(NodeProcess& n, std::size_t key, std::size_t index, std::size_t worker, const fleet::Write& w,
              const ShardClient::Completed& d) {
        Operation& o = histories[key][index];
        bool reads = o.what == Operation::What::Read;
        auto end = [&] {
            n.workers[worker].busy = false;
            n.workers[worker].next = net->own(n.process) + set.think * (0.5 + uniform());
        };
        if (d.error == Error::Unknown) {
            ++figures.unknown;
            if (is_mutant(Mutant::RetriesBlindly) && !w.expected_version && !simulation.clients_stopped_) {
                ask(n, net->own(n.process), true, w,
                    [this, &n, key, index, worker, w](const ShardClient::Completed& again) {
                        done(n, key, index, worker, w, again);
                    });
                return;
            }
            return end();  // it may still take effect
        }
        end();
        if (!d.error || d.error == Error::Changed || d.error == Error::BothHoldersLost) {
            ++figures.answered;
            figures.last_answer = net->now();
            o.sure = true;
            o.answered = net->now();
            if (!d.error && !reads) {
                if (o.what == Operation::What::Swap || !w.erase)
                    n.seen[key] = {w.erase ? 0 : d.version, o.value};
                return;
            }
            o.what = Operation::What::Read;
            o.value = d.error == Error::BothHoldersLost ? kLost : value_of(d.record);
            n.seen[key] = {d.record ? d.record->version : 0, d.record ? o.value : kAbsent};
        } else {
            ++figures.unavailable;
            dropped[key][index] = true;
        }
    }
};

Simulation::Simulation(const SimulationSettings& settings) : impl_(std::make_unique<Impl>(*this, settings)) {}
Simulation::~Simulation() = default;

TimePoint Simulation::now() const {
    return impl_->net->now();
}
void Simulation::run_to(TimePoint at) {
    impl_->net->run_to(at);
}
void Simulation::run_events(std::uint64_t count) {
    for (std::uint64_t end = events() + count; events() < end && impl_->net->step();) {
    }
}
std::uint64_t Simulation::events() const {
    return impl_->net->happened();
}

void Simulation::kill(std::size_t holder) {
    impl_->net->crash(impl_->holders[holder].process);
}
void Simulation::start(std::size_t holder) {
    Impl::HolderProcess& h = impl_->holders[holder];
    if (impl_->net->up(h.process)) return;
    if (!impl_->is_mutant(Mutant::KeepsSessionAcrossRestart)) h.session = 0;
    impl_->restart_core(h);
    impl_->net->start(h.process);
    impl_->net->wake_at(h.process, impl_->net->own(h.process));
}
void Simulation::pause(std::size_t holder) {
    impl_->net->stop(impl_->holders[holder].process);
}
void Simulation::resume(std::size_t holder) {
    Impl::HolderProcess& h = impl_->holders[holder];
    h.resumed = now();
    h.before = h.last;
    impl_->net->go_on(h.process);
}
void Simulation::cut_from_coordinators(std::size_t holder, bool to, bool from) {
    for (std::size_t k = 0; k < kCoordinators; ++k) {
        if (to) impl_->net->cut(impl_->holders[holder].process, k);
        if (from) impl_->net->cut(k, impl_->holders[holder].process);
    }
}
void Simulation::cut(std::size_t from, std::size_t to) {
    impl_->net->cut(impl_->holders[from].process, impl_->holders[to].process);
}
void Simulation::cut_node(std::size_t node, std::size_t holder, bool to, bool from) {
    std::size_t n = impl_->nodes[node].process, h = impl_->holders[holder].process;
    if (to) impl_->net->cut(n, h);
    if (from) impl_->net->cut(h, n);
}
void Simulation::delay(std::size_t from, std::size_t to, Duration most) {
    impl_->net->delay(impl_->holders[from].process, impl_->holders[to].process, most);
}
void Simulation::delay_from_coordinators(std::size_t holder, Duration most) {
    for (std::size_t k = 0; k < kCoordinators; ++k)
        impl_->net->delay(k, impl_->holders[holder].process, most);
}
void Simulation::heal() {
    impl_->net->heal();
}
void Simulation::stop_message_loss() {
    impl_->net->loss(0);
}
void Simulation::move_leader() {
    impl_->move_leader();
}
void Simulation::leave(std::size_t holder) {
    Impl::HolderProcess& h = impl_->holders[holder];
    if (impl_->net->up(h.process)) impl_->handle(h, impl_->net->own(h.process), ShardHolder::Leave{});
}
std::size_t Simulation::add_holder() {
    return impl_->add_holder();
}
bool Simulation::up(std::size_t holder) const {
    return impl_->net->up(impl_->holders[holder].process);
}
void Simulation::at_event(std::uint64_t number, AtEvent what) {
    faulted_holder_.reset();
    impl_->at_event = {number, what};
}

const fleet::ShardMap& Simulation::map() const {
    return impl_->machine->map();
}
std::size_t Simulation::holder_of(SessionId session) const {
    for (std::size_t n = 0; n < impl_->holders.size(); ++n)
        if (session != 0 && impl_->holders[n].session == session && up(n)) return n;
    return kNoHolder;
}
const ShardHolder& Simulation::holder(std::size_t n) const {
    return *impl_->holders[n].core;
}
std::size_t Simulation::holders() const {
    return impl_->holders.size();
}

bool Simulation::settled() const {
    const auto& holders = map().holders;
    for (const ShardAssignment& e : map().entries) {
        if (e.primary == 0 || e.backup == 0 || e.catching_up != 0 || e.stepping_down) return false;
        const std::string& zone = holders.at(e.primary).zone;
        bool another = std::any_of(holders.begin(), holders.end(),
                                   [&](const auto& h) { return !h.second.leaving && h.second.zone != zone; });
        if (another && holders.at(e.backup).zone == zone) return false;
    }
    return true;
}

Simulation::Result Simulation::check() const {
    Result result = impl_->figures;
    result.violations = impl_->violations;
    for (std::size_t key = 0; key < impl_->histories.size(); ++key) {
        std::vector<Operation> kept;
        for (std::size_t i = 0; i < impl_->histories[key].size(); ++i)
            if (const Operation& o = impl_->histories[key][i];
                !impl_->dropped[key][i] && (o.sure || o.what != Operation::What::Read))
                kept.push_back(o);
        result.records += kept.size();
        if (!linearizable(kept))
            result.violations.push_back("the history of key " + std::to_string(key) + " is not linearizable");
    }
    return result;
}

bool Simulation::copies_equal() const {
    for (std::uint32_t n = 0; n < map().entries.size(); ++n) {
        const ShardAssignment& e = map().entries[n];
        std::map<std::string, std::string> contents[2];
        for (int side = 0; side < 2; ++side) {
            std::size_t h = holder_of(side ? e.backup : e.primary);
            if (h == kNoHolder) return false;
            std::vector<fleet::Record> records;
            TimePoint own = impl_->net->own(impl_->holders[h].process);
            for (std::optional<std::size_t> from = 0; from;)
                from = impl_->holders[h].table->scan(n, 100, *from, own, records);
            for (const fleet::Record& r : records)
                contents[side][r.key] = std::to_string(r.version) + " " + r.payload;
        }
        if (contents[0] != contents[1]) return false;
    }
    return true;
}

void Simulation::ask(std::size_t node, bool writes, const fleet::Write& write,
                     std::function<void(const ShardClient::Completed&)> done) {
    Impl::NodeProcess& n = impl_->nodes[node];
    if (!impl_->net->up(n.process)) return;
    impl_->ask(n, impl_->net->own(n.process), writes, write, std::move(done));
    impl_->arm(n);
}
SessionId Simulation::node_session(std::size_t node) const {
    return impl_->nodes[node].session;
}
void Simulation::kill_node(std::size_t node) {
    impl_->net->crash(impl_->nodes[node].process);
}

}  // namespace ochrehub::lab::shards
